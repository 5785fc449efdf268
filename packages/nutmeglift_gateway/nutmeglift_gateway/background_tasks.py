"""Tasks that run in the background."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from nutmeglift_gateway import decision_log


class BackgroundTasks:
    """Runs tasks to completion and logs their exceptions."""

    def __init__(self, log: decision_log.DecisionLog) -> None:
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> "asyncio.Task[None]":
        """Starts a task on the running event loop."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._log.write("internal error", detail=repr(error))
