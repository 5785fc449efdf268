"""Lets few connections read much in one turn of the event loop."""

import asyncio
import collections
from collections.abc import Callable

CONNECTIONS_PER_TURN = 2
"""Connections that read on in one turn; each reads at most 256 KiB in it, which
takes 0.3 ms."""


class ReadTurns:
    """Resumes connections that have read much, one after another."""

    def __init__(self) -> None:
        self._loop: asyncio.AbstractEventLoop | None = None
        self._waiting: collections.deque[Callable[[], None]] = (
            collections.deque()
        )

    def add(self, resume: Callable[[], None]) -> None:
        """Calls a function once all that were added before have been called.

        Args:
            resume: resumes reading; called in a later turn of the event loop.
        """
        loop = asyncio.get_running_loop()
        if loop is not self._loop:
            # Those of a loop that has ended don't read.
            self._waiting.clear()
            self._loop = loop
        if not self._waiting:
            loop.call_soon(self._run)
        self._waiting.append(resume)

    def _run(self) -> None:
        for _ in range(min(len(self._waiting), CONNECTIONS_PER_TURN)):
            self._waiting.popleft()()
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._run)


SHARED_TURNS = ReadTurns()
"""The turns of the process, as all connections share its event loop."""
