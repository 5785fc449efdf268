"""An event loop whose clock advances to the next timer when it is idle."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any
from typing import TypeVar

Result = TypeVar("Result")

MAX_VIRTUAL_SECONDS = 24 * 3600.0


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


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that runs deterministically in virtual time."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)
        # Timers that differ by less fire in the same iteration.
        self._clock_resolution = 1e-9

    def time(self) -> float:
        if self._virtual_selector.now > MAX_VIRTUAL_SECONDS:
            raise RuntimeError("the test ran for over 24 h of virtual time")
        return self._virtual_selector.now


def run(work: Coroutine[Any, Any, Result]) -> Result:
    """Runs a coroutine to completion in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(work)
