"""Cancels tasks and waits until they have ended."""

import asyncio
from collections.abc import Iterable
from typing import Any

REPEAT_SECONDS = 1.0
"""Delay after which a task that goes on is cancelled again. A task that ends
its connections needs less."""


async def cancel_and_wait(tasks: "Iterable[asyncio.Task[Any]]") -> None:
    """Cancels tasks until all of them have ended.

    `asyncio.wait_for` of Python 3.11 drops a cancellation that arrives together
    with the awaited result; libraries use it, too. A task that goes on is
    therefore cancelled again.

    Args:
        tasks: the tasks; their results and errors are discarded.
    """
    listed = list(tasks)
    pending = {task for task in listed if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=REPEAT_SECONDS)
    await asyncio.gather(*listed, return_exceptions=True)
