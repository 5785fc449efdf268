"""Clocks, handed to everything that waits or measures time."""

import abc
import asyncio
import time


class BaseClock(abc.ABC):
    """Tells the time and sleeps."""

    @abc.abstractmethod
    def now(self) -> float:
        """Returns monotonic seconds."""

    @abc.abstractmethod
    def utc(self) -> float:
        """Returns seconds since the epoch."""

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Returns after so many seconds."""


class LoopClock(BaseClock):
    """The running event loop's clock."""

    def now(self) -> float:
        """Returns the loop's monotonic seconds."""
        return asyncio.get_running_loop().time()

    def utc(self) -> float:
        """Returns the system's seconds since the epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Sleeps on the loop."""
        await asyncio.sleep(seconds)


class PausableClock(LoopClock):
    """A process's clock that a test can pause, as a frozen VM would be.

    Timers that fall due during a pause fire when it ends.
    """

    def __init__(self) -> None:
        self._running = asyncio.Event()
        self._running.set()

    def utc(self) -> float:
        """Returns the loop's seconds, so that tests are repeatable."""
        return self.now()

    async def sleep(self, seconds: float) -> None:
        """Sleeps on the loop, and on until the pause ends."""
        await asyncio.sleep(seconds)
        await self._running.wait()

    async def wait_until_running(self) -> None:
        """Waits until the process is not paused."""
        await self._running.wait()

    def pause(self) -> None:
        """Freezes the process."""
        self._running.clear()

    def resume(self) -> None:
        """Lets the process go on."""
        self._running.set()
