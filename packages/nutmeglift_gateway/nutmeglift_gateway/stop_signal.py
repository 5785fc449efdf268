"""Receives SIGTERM, from the beginning of a process on.

The platform counts the grace period from the moment at which it sends the
signal. A router gets it also while the program is loaded, long before its event
loop runs, so the time of receipt is kept. This module imports little, as it is
loaded before the ports are opened.
"""

import abc
from collections.abc import Callable
import signal
import time


class BaseStopSignal(abc.ABC):
    """The platform's request to end the process."""

    @abc.abstractmethod
    def watch(self, on_received: Callable[[], None]) -> None:
        """Sets what is called once the signal has been received.

        Args:
            on_received: called once; immediately, if the signal has already
                been received. It may be called between any two instructions of
                the main thread.
        """

    @abc.abstractmethod
    def age(self) -> float:
        """Returns the seconds since the first signal; 0 without one."""


class StopSignal(BaseStopSignal):
    """SIGTERM of this process."""

    def __init__(self) -> None:
        """Initializes a signal that is not received yet."""
        self._received_at: float | None = None
        self._on_received: Callable[[], None] | None = None

    def install(self) -> None:
        """Handles the signal from now on, in place of ending the process.

        Python runs such a handler between two instructions of the main thread,
        also while modules are imported and before an event loop runs.
        """
        signal.signal(signal.SIGTERM, self._receive)

    def watch(self, on_received: Callable[[], None]) -> None:
        """Sets what is called once the signal has been received."""
        self._on_received = on_received
        self.install()
        if self._received_at is not None:
            self._notify()

    def age(self) -> float:
        """Returns the seconds since the first signal; 0 without one."""
        if self._received_at is None:
            return 0.0
        return time.monotonic() - self._received_at

    def _receive(self, number: int, frame: object) -> None:
        if self._received_at is not None:
            # The grace period isn't prolonged.
            return
        self._received_at = time.monotonic()
        self._notify()

    def _notify(self) -> None:
        on_received, self._on_received = self._on_received, None
        if on_received is not None:
            on_received()


class MemoryStopSignal(BaseStopSignal):
    """In-memory replacement for the platform's signal.

    Attributes:
        seconds: the age of the signal once it has been received.
    """

    def __init__(self, seconds: float = 0.0, *, is_received: bool) -> None:
        """Initializes a signal.

        Args:
            seconds: its age.
            is_received: whether it has been received.
        """
        self.seconds = seconds
        self._is_received = is_received
        self._on_received: Callable[[], None] | None = None

    def watch(self, on_received: Callable[[], None]) -> None:
        """Sets what is called once the signal has been received."""
        self._on_received = on_received
        if self._is_received:
            on_received()

    def age(self) -> float:
        """Returns the age that was set; 0 before the signal is received."""
        return self.seconds if self._is_received else 0.0

    def receive(self) -> None:
        """Receives the signal now."""
        self._is_received = True
        if self._on_received is not None:
            self._on_received()
