"""Stages of requests' pipelines that run on the engine beside this agent."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses

from nutmeglift import codec
from nutmeglift import engine as engines
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import states
from nutmeglift import streams
from nutmeglift_wire import metrics as metric

MAX_BATCH_POSITIONS = 4096

PostToAgent = Callable[[str, codec.AnyMessage], None]
PostTokens = Callable[[ids.VmId, list[messages.TokenItem]], None]
PostToRouter = Callable[[ids.VmId, codec.AnyMessage], None]


@dataclasses.dataclass
class StageAttempt:
    """One stage of one attempt of a request.

    Attributes:
        start: the attempt.
        index: index of this stage.
        positions: number of prompt positions.
        sequence: name of the KV cache at the engine.
        gate: lets each position through once.
        stopped: whether it has ended.
    """

    start: messages.StartAttempt
    index: int
    positions: int
    sequence: str
    gate: streams.PositionGate
    stopped: bool = False

    @property
    def stage(self) -> messages.Stage:
        """This stage."""
        return self.start.pipeline.stages[self.index]

    @property
    def is_last(self) -> bool:
        """Whether the model's last layer runs here."""
        return self.index == len(self.start.pipeline.stages) - 1


@dataclasses.dataclass(frozen=True)
class _Work:
    attempt: StageAttempt
    position: int
    values: tuple[int, ...]


class _Output:
    """Messages of one engine step, gathered by receiver."""

    def __init__(self) -> None:
        self.hops_by_address: dict[str, list[messages.Hop]] = {}
        self.next_by_address: dict[str, list[messages.NextToken]] = {}
        self.items_by_router: dict[ids.VmId, list[messages.TokenItem]] = {}


class StageWork:
    """Runs the stages' positions in batches and passes the results on."""

    def __init__(
        self,
        vm: ids.VmId,
        engine: engines.BaseEngine,
        metrics: metric.BaseMetrics,
        *,
        post_to_agent: PostToAgent,
        post_to_router: PostToRouter,
        post_tokens: PostTokens,
    ) -> None:
        self._vm = vm
        self._engine = engine
        self._metrics = metrics
        self._post_to_agent = post_to_agent
        self._post_to_router = post_to_router
        self._post_tokens = post_tokens
        self._attempt_by_request: dict[ids.RequestId, StageAttempt] = {}
        self._ready: collections.deque[_Work] = collections.deque()
        self._wake = asyncio.Event()
        self._releases: set[asyncio.Task[None]] = set()

    @property
    def in_flight(self) -> int:
        """Number of attempts with a stage here."""
        return len(self._attempt_by_request)

    def start(self, start: messages.StartAttempt) -> None:
        """Starts an attempt as its first stage."""
        attempt = self._open(start, 0, len(start.tokens))
        if attempt is None:
            return
        self._open_following(strip_tokens(start), 1, len(start.tokens))
        self._arrive(attempt, 0, start.tokens)

    def open_stage(self, opening: messages.OpenStage) -> None:
        """Starts an attempt as a later stage."""
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
        """Ends a request's attempt and all earlier ones."""
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

    async def run(self) -> None:
        """Runs batches for ever."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._ready:
                await self._run_batch(self._take_batch())

    def _open(
        self, start: messages.StartAttempt, index: int, positions: int
    ) -> StageAttempt | None:
        old = self._attempt_by_request.get(start.request)
        if old is not None and old.start.attempt >= start.attempt:
            self._metrics.count("attempt.old")
            return None
        if old is not None:
            self._close(old)
        attempt = StageAttempt(
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
    ) -> StageAttempt | None:
        found = self._attempt_by_request.get(request)
        if found is None or found.start.attempt != number:
            self._metrics.count("hop.old_attempt")
            return None
        return found

    def _arrive(
        self, attempt: StageAttempt, position: int, values: tuple[int, ...]
    ) -> None:
        accepted = attempt.gate.accept(position, len(values))
        match accepted.arrival:
            case streams.Arrival.NEXT:
                skip = accepted.skip
                work = _Work(attempt, position + skip, values[skip:])
                self._ready.append(work)
                self._wake.set()
            case streams.Arrival.GAP:
                self._metrics.count("hop.gap")
                self._fail(attempt, f"position {position} is early", self._vm)
            case _:
                self._metrics.count("hop.duplicate")

    def _take_batch(self) -> list[_Work]:
        batch: list[_Work] = []
        positions = 0
        while self._ready and positions < MAX_BATCH_POSITIONS:
            work = self._ready.popleft()
            if work.attempt.stopped:
                continue
            positions += len(work.values)
            batch.append(work)
        return batch

    async def _run_batch(self, batch: list[_Work]) -> None:
        if not batch:
            return
        items = tuple(_make_item(work) for work in batch)
        try:
            results = await self._engine.step(items)
        except errors.NutmegError as error:
            for work in batch:
                self._fail(work.attempt, error.detail, self._vm)
            return
        self._metrics.count("engine.steps")
        output = _Output()
        for work, result in zip(batch, results, strict=True):
            self._take_result(work, result, output)
        self._send(output)

    def _take_result(
        self, work: _Work, result: engines.StepResult, output: _Output
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
        self, work: _Work, result: engines.StepResult, output: _Output
    ) -> None:
        if not result.tokens:
            return
        attempt = work.attempt
        start = attempt.start
        first = max(work.position, attempt.positions - 1)
        done = first - (attempt.positions - 1) + len(result.tokens)
        finish = _finish_of(result, done >= start.max_tokens)
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

    def _send(self, output: _Output) -> None:
        for router, items in output.items_by_router.items():
            self._post_tokens(router, items)
        for address, following in output.next_by_address.items():
            frame = messages.NextTokenFrame(tuple(following))
            self._post_to_agent(address, frame)
        for address, hops in output.hops_by_address.items():
            self._post_to_agent(address, messages.HopFrame(tuple(hops)))

    def _fail(
        self, attempt: StageAttempt, detail: str, vm: ids.VmId | None
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

    def _close(self, attempt: StageAttempt) -> None:
        attempt.stopped = True
        self._attempt_by_request.pop(attempt.start.request, None)
        task = asyncio.ensure_future(self._release(attempt.sequence))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    async def _release(self, sequence: str) -> None:
        try:
            await self._engine.release(sequence)
        except errors.NutmegError:
            self._metrics.count("engine.release_failed")


def strip_tokens(
    start: messages.StartAttempt,
) -> messages.StartAttempt:
    """Returns the attempt without its prompt, for the later stages."""
    return messages.StartAttempt(
        start.request,
        start.attempt,
        start.router,
        start.pipeline,
        (),
        start.max_tokens,
        start.first_sequence,
        start.priority,
        start.deadline_seconds,
    )


def _make_item(work: _Work) -> engines.StepItem:
    attempt = work.attempt
    pipeline = attempt.start.pipeline
    return engines.StepItem(
        attempt.sequence,
        pipeline.model,
        pipeline.version,
        pipeline.adapter,
        work.position,
        work.values,
        attempt.stage.first_layer,
        attempt.stage.end_layer,
        attempt.positions - 1,
    )


def _finish_of(
    result: engines.StepResult, exhausted: bool
) -> states.FinishReason | None:
    if result.stop:
        return states.FinishReason.STOP
    return states.FinishReason.LENGTH if exhausted else None
