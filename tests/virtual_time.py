"""Event loops whose clocks advance to the next timer when they are idle."""

import asyncio
from collections.abc import Coroutine
import selectors
import socket
from typing import Any
from typing import TypeVar

Result = TypeVar("Result")

MAX_VIRTUAL_SECONDS = 24 * 3600.0
START_SECONDS = 1000.0
"""First time of a loop with sockets; a real clock has no times near 0 either.
"""
ITERATION_SECONDS = 100e-6
"""Virtual processor time of one iteration of a loop with sockets. It lets
deadlines pass beside a peer that sends without end."""
IDLE_SELECT_SECONDS = 1e-3
"""Real time to wait for events before a loop with sockets counts as idle."""
PROBE_COUNT = 4
"""Probes sent in turn: a handshake takes three segments, each of which is
queued when the one before it has arrived."""
MAX_BLOCK_SECONDS = 60.0
"""Real time after which a loop without any timer fails."""


class _VirtualTimeSelector(selectors.BaseSelector):
    """Selector that never blocks: it advances its clock by the timeout."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self.now = 0.0

    def register(self, fileobj, events, data=None):
        return self._selector.register(fileobj, events, data)

    def unregister(self, fileobj):
        return self._selector.unregister(fileobj)

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("every task is waiting and no timer is set")
        if timeout > 0:
            self.now += timeout
        return self._selector.select(0)

    def get_map(self):
        return self._selector.get_map()

    def close(self) -> None:
        self._selector.close()


class _LoopbackProbe:
    """Waits until the loopback interface has delivered what was sent.

    A probe is delivered after the segments that were queued before it, however
    late the kernel processes its queue.
    """

    def __init__(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self._sender = socket.create_connection(listener.getsockname())
            self._receiver, _ = listener.accept()
        self._sender.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._receiver.settimeout(MAX_BLOCK_SECONDS)

    def wait(self) -> None:
        for _ in range(PROBE_COUNT):
            self._sender.send(b"x")
            self._receiver.recv(1)

    def close(self) -> None:
        self._sender.close()
        self._receiver.close()


class _LoopbackSelector(_VirtualTimeSelector):
    """Selector that advances its clock only if no event is on its way.

    Attributes:
        job_count: number of jobs that run in other threads.
    """

    def __init__(self) -> None:
        super().__init__()
        self._probe = _LoopbackProbe()
        self.now = START_SECONDS
        self.job_count = 0

    def select(self, timeout=None):
        events = self._selector.select(0)
        idle = not events and (timeout is None or timeout > 0)
        if idle and (timeout is None or self.job_count):
            events = self._block()
        elif idle:
            self._probe.wait()
            events = self._selector.select(IDLE_SELECT_SECONDS)
            if not events:
                self.now += timeout
                return events
        self.now += ITERATION_SECONDS
        return events

    def close(self) -> None:
        self._probe.close()
        super().close()

    def _block(self):
        """Waits in real time for an event that no timer can replace."""
        events = self._selector.select(MAX_BLOCK_SECONDS)
        if not events:
            raise RuntimeError(
                f"no event in {MAX_BLOCK_SECONDS} s of real time, with "
                f"{self.job_count} jobs in other threads"
            )
        return events


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that runs deterministically in virtual time."""

    def __init__(self, selector: _VirtualTimeSelector | None = None) -> None:
        self._virtual_selector = selector or _VirtualTimeSelector()
        super().__init__(self._virtual_selector)
        # Timers that differ by less fire in the same iteration.
        self._clock_resolution = 1e-9

    def time(self) -> float:
        if self._virtual_selector.now > MAX_VIRTUAL_SECONDS:
            raise RuntimeError("the test ran for over 24 h of virtual time")
        return self._virtual_selector.now


class LoopbackTimeLoop(VirtualTimeLoop):
    """An event loop in virtual time with real sockets.

    Both ends of each connection belong to this process and use the loopback
    interface. The clock stands still while data is on its way, and while a job
    runs in another thread. How fast the machine is has no influence on it.
    """

    def __init__(self) -> None:
        self._loopback_selector = _LoopbackSelector()
        super().__init__(self._loopback_selector)

    def advance(self, seconds: float) -> None:
        """Advances the clock, as a callback that takes this long does."""
        self._loopback_selector.now += seconds

    def run_in_executor(self, executor, func, *args):
        future = super().run_in_executor(executor, func, *args)
        self._loopback_selector.job_count += 1
        future.add_done_callback(self._count_finished_job)
        return future

    def _count_finished_job(self, future: asyncio.Future[Any]) -> None:
        self._loopback_selector.job_count -= 1


def run(work: Coroutine[Any, Any, Result]) -> Result:
    """Runs a coroutine to completion in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(work)
