"""Lets requests wait for a router's first configuration.

Load: after all routers were killed, their callers come back as soon as the
ports are open, and have one attempt left. A router reads its configuration
within some tens of milliseconds. Callers beyond the limits are refused
immediately, so that they can go to another router.
"""

import asyncio

from nutmeglift_gateway import board as boards

MAX_WAIT_SECONDS = 0.25
"""Longest wait: half of the shortest latency objective of a stream."""
MAX_WAITING_COUNT = 256
"""Requests that wait at a time."""


class ConfigurationGate:
    """Counts the requests that wait for the first configuration."""

    def __init__(self) -> None:
        self._waiting_count = 0

    async def wait(self, board: boards.Board) -> None:
        """Waits for a confirmed configuration, or until a limit is reached."""
        if board.is_configured or board.refusing:
            return
        if self._waiting_count >= MAX_WAITING_COUNT:
            return
        changed = asyncio.Event()
        board.listeners.add(changed.set)
        self._waiting_count += 1
        try:
            async with asyncio.timeout(MAX_WAIT_SECONDS):
                while not board.is_configured and not board.refusing:
                    await changed.wait()
                    changed.clear()
        except TimeoutError:
            return
        finally:
            self._waiting_count -= 1
            board.listeners.discard(changed.set)
