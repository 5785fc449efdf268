"""Clocks, injected into everything that waits or measures time."""

import abc
import asyncio
import time


class BaseClock(abc.ABC):
    """Reads the time and sleeps."""

    @abc.abstractmethod
    def now(self) -> float:
        """Returns a monotonic time in seconds."""

    @abc.abstractmethod
    def utc(self) -> float:
        """Returns the seconds since the Unix epoch."""

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Sleeps for the given number of seconds."""


class LoopClock(BaseClock):
    """The running event loop's clock."""

    def now(self) -> float:
        """Returns the event loop's monotonic time in seconds."""
        return asyncio.get_running_loop().time()

    def utc(self) -> float:
        """Returns the system clock's seconds since the Unix epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Sleeps on the event loop."""
        await asyncio.sleep(seconds)


class PausableClock(LoopClock):
    """A clock that a test can pause, to simulate a frozen VM.

    Timers that expire during a pause fire when it ends.
    """

    def __init__(self) -> None:
        self._running = asyncio.Event()
        self._running.set()

    def utc(self) -> float:
        """Returns the loop's time, so that tests are reproducible."""
        return self.now()

    async def sleep(self, seconds: float) -> None:
        """Sleeps on the event loop, and longer while the clock is paused."""
        await asyncio.sleep(seconds)
        await self._running.wait()

    async def wait_until_running(self) -> None:
        """Waits until the clock is not paused."""
        await self._running.wait()

    def pause(self) -> None:
        """Pauses the clock."""
        self._running.clear()

    def resume(self) -> None:
        """Resumes the clock."""
        self._running.set()
