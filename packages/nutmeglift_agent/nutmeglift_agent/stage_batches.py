"""Batches of positions before the engine."""

import asyncio
import collections
from collections.abc import Callable

from nutmeglift import engine as engines
from nutmeglift import errors
from nutmeglift_agent import stage_attempt
from nutmeglift_wire import metrics as metric

MAX_BATCH_POSITIONS = 4096

Batch = list[stage_attempt.WorkItem]
TakeResults = Callable[[Batch, tuple[engines.StepResult, ...]], None]
FailAttempt = Callable[[stage_attempt.StageAttempt, str], None]


class BatchQueue:
    """Gathers waiting positions and runs them one batch after the other."""

    def __init__(
        self,
        engine: engines.BaseEngine,
        metrics: metric.BaseMetrics,
        *,
        take: TakeResults,
        fail: FailAttempt,
    ) -> None:
        self._engine = engine
        self._metrics = metrics
        self._handle_results = take
        self._fail = fail
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
        """Frees a sequence's KV cache, without waiting for it."""
        task = asyncio.ensure_future(self._release(sequence))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    async def run(self) -> None:
        """Runs batches for ever."""
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
            self._fail_batch(batch, "the engine miscounted")
            return
        self._handle_results(batch, results)

    def _fail_batch(self, batch: Batch, detail: str) -> None:
        for work in batch:
            self._fail(work.attempt, detail)

    async def _release(self, sequence: str) -> None:
        try:
            await self._engine.release(sequence)
        except errors.NutmegError:
            self._metrics.count("engine.release_failed")
