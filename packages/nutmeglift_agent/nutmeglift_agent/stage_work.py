"""Stages of requests' pipelines that run on the engine beside this agent."""

import asyncio
import collections
from collections.abc import Callable

from nutmeglift import codec
from nutmeglift import engine as engines
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import states
from nutmeglift import streams
from nutmeglift_agent import stage_attempt
from nutmeglift_wire import metrics as metric

MAX_BATCH_POSITIONS = 4096
MAX_ENDED_REQUESTS = 8192

PostToAgent = Callable[[str, codec.AnyMessage], None]
PostTokens = Callable[[ids.VmId, list[messages.TokenItem]], bool]
PostToRouter = Callable[[ids.VmId, codec.AnyMessage], None]


class StageWork:
    """Runs the stages' positions in batches and passes the results on."""

    def __init__(
        self,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        engine: engines.BaseEngine,
        metrics: metric.BaseMetrics,
        *,
        post_to_agent: PostToAgent,
        post_to_router: PostToRouter,
        post_tokens: PostTokens,
        accepts_work: Callable[[], bool],
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._accepts_work = accepts_work
        self._engine = engine
        self._metrics = metrics
        self._post_to_agent = post_to_agent
        self._post_to_router = post_to_router
        self._post_tokens = post_tokens
        self._attempt_by_request: dict[
            ids.RequestId, stage_attempt.StageAttempt
        ] = {}
        # The last attempt ended of each request, so that none starts again.
        self._ended: collections.OrderedDict[ids.RequestId, ids.Attempt] = (
            collections.OrderedDict()
        )
        self._ready: collections.deque[stage_attempt.Work] = collections.deque()
        self._wake = asyncio.Event()
        self._releases: set[asyncio.Task[None]] = set()

    @property
    def in_flight(self) -> int:
        """Number of attempts with a stage here."""
        return len(self._attempt_by_request)

    def start(self, start: messages.StartAttempt) -> None:
        """Starts an attempt as its first stage, or refuses it."""
        if self._refuse(start, 0):
            return
        attempt = self._open(start, 0, len(start.tokens))
        if attempt is None:
            return
        self._open_following(
            stage_attempt.strip_tokens(start), 1, len(start.tokens)
        )
        self._arrive(attempt, 0, start.tokens)

    def open_stage(self, opening: messages.OpenStage) -> None:
        """Starts an attempt as a later stage, or refuses it."""
        if self._refuse(opening.start, opening.stage):
            return
        if self._open(opening.start, opening.stage, opening.positions):
            self._open_following(
                opening.start, opening.stage + 1, opening.positions
            )

    def take_hop(self, hop: messages.Hop) -> None:
        """Takes hidden states from the stage before."""
        attempt = self._find(hop.request, hop.attempt)
        if attempt is None:
            return
        if hop.first_layer != attempt.stage.first_layer:
            self._metrics.count("hop.wrong_range")
            self._fail(attempt, "a hop for other layers", self._vm)
            return
        self._arrive(attempt, hop.position, hop.hidden)

    def take_token(self, token: messages.NextToken) -> None:
        """Takes a sampled token, as the first stage."""
        attempt = self._find(token.request, token.attempt)
        if attempt is not None:
            self._arrive(attempt, token.position, (token.token,))

    def cancel(self, request: ids.RequestId, attempt: ids.Attempt) -> None:
        """Ends a request's attempt and all earlier ones, arrived or not."""
        self._note_ended(request, attempt)
        found = self._attempt_by_request.get(request)
        if found is not None and found.start.attempt <= attempt:
            self._close(found)

    def lose_peer(self, address: str, reason: errors.NutmegError) -> None:
        """Fails the attempts that run through a lost agent."""
        for attempt in list(self._attempt_by_request.values()):
            stages = attempt.start.pipeline.stages
            for stage in stages[attempt.index + 1 :] + stages[:1]:
                if stage.address == address and stage.vm != self._vm:
                    self._fail(attempt, reason.detail, stage.vm)
                    break

    def lose_router(self, router: ids.VmId) -> None:
        """Ends the attempts of a router that is gone."""
        for attempt in list(self._attempt_by_request.values()):
            if attempt.start.router == router:
                self._close(attempt)

    def lose_orphans(self, routers: set[ids.VmId]) -> None:
        """Ends the attempts of all routers but these."""
        for attempt in list(self._attempt_by_request.values()):
            if attempt.start.router not in routers:
                self._metrics.count("attempt.orphaned")
                self._close(attempt)

    def held_by(self, router: ids.VmId) -> tuple[messages.HeldAttempt, ...]:
        """Returns the attempts that go on for a router."""
        return tuple(
            attempt.held
            for attempt in self._attempt_by_request.values()
            if attempt.start.router == router
        )

    async def run(self) -> None:
        """Runs batches for ever."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._ready:
                await self._run_batch(self._take_batch())

    def _refuse(self, start: messages.StartAttempt, index: int) -> bool:
        kind = None
        if start.pipeline.stages[index].incarnation != self._incarnation:
            kind = errors.ErrorKind.NO_BACKEND
        elif not self._accepts_work():
            kind = errors.ErrorKind.DRAINING
        if kind is None:
            return False
        self._metrics.count("attempt.refused")
        refusal = messages.AttemptFailed(
            start.request,
            start.attempt,
            kind,
            f"refused by stage {index}",
            states.Ran.NOT_RUN,
            self._vm,
        )
        self._post_to_router(start.router, refusal)
        return True

    def _open(
        self, start: messages.StartAttempt, index: int, positions: int
    ) -> stage_attempt.StageAttempt | None:
        old = self._attempt_by_request.get(start.request)
        ended = self._ended.get(start.request, ids.Attempt(0))
        newest = max(ended, old.start.attempt if old is not None else ended)
        if start.attempt <= newest:
            self._metrics.count("attempt.old")
            return None
        if old is not None:
            self._close(old)
        attempt = stage_attempt.StageAttempt(
            start,
            index,
            positions,
            f"{start.request}.{start.attempt}",
            streams.PositionGate(),
        )
        self._attempt_by_request[start.request] = attempt
        return attempt

    def _open_following(
        self, start: messages.StartAttempt, index: int, positions: int
    ) -> None:
        # On the same connection as the hops, so that it comes before them.
        if index == len(start.pipeline.stages):
            return
        opening = messages.OpenStage(start, index, positions)
        self._post_to_agent(start.pipeline.stages[index].address, opening)

    def _find(
        self, request: ids.RequestId, number: ids.Attempt
    ) -> stage_attempt.StageAttempt | None:
        found = self._attempt_by_request.get(request)
        if found is None or found.start.attempt != number:
            self._metrics.count("hop.old_attempt")
            return None
        return found

    def _arrive(
        self,
        attempt: stage_attempt.StageAttempt,
        position: int,
        values: tuple[int, ...],
    ) -> None:
        accepted = attempt.gate.accept(position, len(values))
        match accepted.arrival:
            case streams.Arrival.NEXT:
                skip = accepted.skip
                work = stage_attempt.Work(
                    attempt, position + skip, values[skip:]
                )
                self._ready.append(work)
                self._wake.set()
            case streams.Arrival.GAP:
                self._metrics.count("hop.gap")
                self._fail(attempt, f"position {position} is early", self._vm)
            case _:
                self._metrics.count("hop.duplicate")

    def _take_batch(self) -> list[stage_attempt.Work]:
        batch: list[stage_attempt.Work] = []
        positions = 0
        while self._ready and positions < MAX_BATCH_POSITIONS:
            work = self._ready.popleft()
            if work.attempt.stopped:
                continue
            positions += len(work.values)
            batch.append(work)
        return batch

    async def _run_batch(self, batch: list[stage_attempt.Work]) -> None:
        if not batch:
            return
        items = tuple(stage_attempt.make_item(work) for work in batch)
        try:
            results = await self._engine.step(items)
        except errors.NutmegError as error:
            for work in batch:
                self._fail(work.attempt, error.detail, self._vm)
            return
        self._metrics.count("engine.steps")
        output = stage_attempt.Output()
        if len(results) != len(batch):
            for work in batch:
                self._fail(work.attempt, "the engine miscounted", self._vm)
            return
        for work, result in zip(batch, results, strict=True):
            self._take_result(work, result, output)
        self._send(output)

    def _take_result(
        self,
        work: stage_attempt.Work,
        result: engines.StepResult,
        output: stage_attempt.Output,
    ) -> None:
        attempt = work.attempt
        if attempt.stopped:
            return
        if result.error:
            self._fail(attempt, result.error, self._vm)
            return
        if attempt.is_last:
            self._take_tokens(work, result, output)
            return
        after = attempt.start.pipeline.stages[attempt.index + 1]
        hop = messages.Hop(
            attempt.start.request,
            attempt.start.attempt,
            work.position,
            result.hidden,
            after.first_layer,
        )
        output.hops_by_address.setdefault(after.address, []).append(hop)

    def _take_tokens(
        self,
        work: stage_attempt.Work,
        result: engines.StepResult,
        output: stage_attempt.Output,
    ) -> None:
        if not result.tokens:
            return
        attempt = work.attempt
        start = attempt.start
        first = max(work.position, attempt.positions - 1)
        done = first - (attempt.positions - 1) + len(result.tokens)
        finish = stage_attempt.finish_of(result, done >= start.max_tokens)
        item = messages.TokenItem(
            start.request,
            start.attempt,
            start.first_sequence + first - (attempt.positions - 1),
            result.tokens,
            result.texts,
            finish,
        )
        output.items_by_router.setdefault(start.router, []).append(item)
        if finish is not None:
            return
        following = messages.NextToken(
            start.request,
            start.attempt,
            first + len(result.tokens),
            result.tokens[-1],
        )
        address = start.pipeline.stages[0].address
        output.next_by_address.setdefault(address, []).append(following)

    def _send(self, output: stage_attempt.Output) -> None:
        for router, items in output.items_by_router.items():
            if not self._post_tokens(router, items):
                self.lose_router(router)
        for address, following in output.next_by_address.items():
            frame = messages.NextTokenFrame(tuple(following))
            self._post_to_agent(address, frame)
        for address, hops in output.hops_by_address.items():
            self._post_to_agent(address, messages.HopFrame(tuple(hops)))

    def _fail(
        self,
        attempt: stage_attempt.StageAttempt,
        detail: str,
        vm: ids.VmId | None,
    ) -> None:
        if attempt.stopped:
            return
        self._metrics.count("attempt.failed")
        self._close(attempt)
        failure = messages.AttemptFailed(
            attempt.start.request,
            attempt.start.attempt,
            errors.ErrorKind.STAGE_FAILED,
            detail,
            states.Ran.UNKNOWN,
            vm,
        )
        self._post_to_router(attempt.start.router, failure)

    def _close(self, attempt: stage_attempt.StageAttempt) -> None:
        attempt.stopped = True
        self._note_ended(attempt.start.request, attempt.start.attempt)
        self._attempt_by_request.pop(attempt.start.request, None)
        task = asyncio.ensure_future(self._release(attempt.sequence))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    def _note_ended(self, request: ids.RequestId, attempt: ids.Attempt) -> None:
        before = self._ended.pop(request, ids.Attempt(0))
        self._ended[request] = max(before, attempt)
        if len(self._ended) > MAX_ENDED_REQUESTS:
            self._ended.popitem(last=False)

    async def _release(self, sequence: str) -> None:
        try:
            await self._engine.release(sequence)
        except errors.NutmegError:
            self._metrics.count("engine.release_failed")
