"""Queues positions and runs them on the engine in batches."""

import asyncio
import collections
from collections.abc import Callable

from nutmeglift import engine as engines
from nutmeglift import errors
from nutmeglift_agent import stage_attempt
from nutmeglift_wire import metrics as metric

MAX_BATCH_POSITIONS = 4096

Batch = list[stage_attempt.WorkItem]
ResultsHandler = Callable[[Batch, tuple[engines.StepResult, ...]], None]
FailureHandler = Callable[[stage_attempt.StageAttempt, str], None]


class BatchQueue:
    """Collects queued positions and runs one batch at a time."""

    def __init__(
        self,
        engine: engines.BaseEngine,
        metrics: metric.BaseMetrics,
        *,
        on_results: ResultsHandler,
        on_failure: FailureHandler,
    ) -> None:
        self._engine = engine
        self._metrics = metrics
        self._on_results = on_results
        self._on_failure = on_failure
        self._ready: collections.deque[stage_attempt.WorkItem] = (
            collections.deque()
        )
        self._wake = asyncio.Event()
        self._releases: set[asyncio.Task[None]] = set()

    def add(self, work: stage_attempt.WorkItem) -> None:
        """Queues positions."""
        self._ready.append(work)
        self._wake.set()

    def release(self, sequence: str) -> None:
        """Frees a sequence's KV cache in the background."""
        task = asyncio.ensure_future(self._release(sequence))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    async def run(self) -> None:
        """Runs batches until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._ready:
                await self._run_batch(self._take_batch())

    def _take_batch(self) -> Batch:
        batch: Batch = []
        positions = 0
        while self._ready and positions < MAX_BATCH_POSITIONS:
            work = self._ready.popleft()
            if work.attempt.stopped:
                continue
            positions += len(work.values)
            batch.append(work)
        return batch

    async def _run_batch(self, batch: Batch) -> None:
        if not batch:
            return
        items = tuple(stage_attempt.make_step_item(work) for work in batch)
        try:
            results = await self._engine.step(items)
        except errors.NutmegError as error:
            self._fail_batch(batch, error.detail)
            return
        self._metrics.count("engine.steps")
        if len(results) != len(batch):
            self._fail_batch(
                batch, "the engine returned a wrong number of results"
            )
            return
        self._on_results(batch, results)

    def _fail_batch(self, batch: Batch, detail: str) -> None:
        for work in batch:
            self._on_failure(work.attempt, detail)

    async def _release(self, sequence: str) -> None:
        try:
            await self._engine.release(sequence)
        except errors.NutmegError:
            self._metrics.count("engine.release_failed")
