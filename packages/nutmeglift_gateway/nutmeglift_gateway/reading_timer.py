"""Limits the time for bytes of a caller that may have arrived already."""

import asyncio
from collections.abc import Callable

READ_TURN_SECONDS = 0.001
"""Shortest delay of a timer; the event loop reads from sockets before it."""


class ReadingTimer:
    """A timer that fires only after the event loop has read from sockets.

    After a delay, event loops may run timers before they read.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.TimerHandle | None = None

    def set(self, seconds: float, call: Callable[[], None]) -> None:
        """Calls a function after a time; replaces the call before."""
        self.cancel()
        self._handle = self._loop.call_later(
            seconds, self._call_after_reading, call
        )

    def cancel(self) -> None:
        """Cancels the call, if one is set."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _call_after_reading(self, call: Callable[[], None]) -> None:
        self._handle = self._loop.call_later(READ_TURN_SECONDS, call)
