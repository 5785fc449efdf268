"""One stage of one attempt, and its way through the engine."""

import collections
from collections.abc import Iterable
import dataclasses

import msgspec

from nutmeglift import engine as engines
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import states
from nutmeglift import streams

MAX_ENDED_REQUESTS = 8192


class EndedAttempts:
    """Remembers the last ended attempt of requests, so that none runs again."""

    def __init__(self) -> None:
        self._last_by_request: collections.OrderedDict[
            ids.RequestId, ids.Attempt
        ] = collections.OrderedDict()

    def note(self, request: ids.RequestId, attempt: ids.Attempt) -> None:
        """Notes that an attempt and all earlier ones ended."""
        before = self._last_by_request.pop(request, ids.Attempt(0))
        self._last_by_request[request] = max(before, attempt)
        if len(self._last_by_request) > MAX_ENDED_REQUESTS:
            self._last_by_request.popitem(last=False)

    def last(self, request: ids.RequestId) -> ids.Attempt:
        """Returns the last attempt that ended, or 0."""
        return self._last_by_request.get(request, ids.Attempt(0))


@dataclasses.dataclass
class StageAttempt:
    """One stage of one attempt of a request.

    Attributes:
        start: the attempt.
        index: index of this stage.
        positions: number of prompt positions.
        sequence: name of the KV cache at the engine.
        gate: lets each position through once.
        oldest: the first attempt whose KV cache it goes on with.
        old_last: the last attempt whose last stage was replaced, or 0.
        old_end: what it and earlier ones sent counts up to this position.
        stopped: whether it has ended.
        broken: whether it waits for the router to replace a stage.
        swept_position: next position at the last search for idle attempts.
        last_token: the last token sent to the first stage, if any.
    """

    start: messages.StartAttempt
    index: int
    positions: int
    sequence: str
    gate: streams.PositionFilter
    oldest: ids.Attempt
    old_last: ids.Attempt = ids.Attempt(0)
    old_end: int = 0
    stopped: bool = False
    broken: bool = False
    swept_position: int = -1
    last_token: messages.NextToken | None = None

    @property
    def held(self) -> messages.HeldAttempt:
        """The attempt's name."""
        return messages.HeldAttempt(self.start.request, self.start.attempt)

    @property
    def stage(self) -> messages.Stage:
        """This stage."""
        return self.start.pipeline.stages[self.index]

    @property
    def is_last(self) -> bool:
        """Whether the model's last layer runs here."""
        return self.index == len(self.start.pipeline.stages) - 1

    def go_on(self, replacement: messages.ReplaceStage) -> bool:
        """Goes on as a later attempt, of which one stage is replaced.

        Returns:
            False if positions were run that the replacement can't agree with:
            it may sample another token than the one that stood there.
        """
        start = replacement.start
        self.positions += start.first_sequence - self.start.first_sequence
        self.start = msgspec.structs.replace(
            self.start,
            attempt=start.attempt,
            pipeline=start.pipeline,
            max_tokens=start.max_tokens,
            first_sequence=start.first_sequence,
        )
        self.broken = False
        if replacement.stage < len(start.pipeline.stages) - 1:
            return True
        self.old_last = replacement.replaced
        self.old_end = self.positions
        return self.gate.next_position <= self.positions

    def accepts(self, number: ids.Attempt, end: int) -> bool:
        """Tells whether positions sent under an attempt's number count.

        Args:
            number: the number.
            end: one past the last position.
        """
        if not self.oldest <= number <= self.start.attempt:
            return False
        return number > self.old_last or end <= self.old_end

    def stage_sent_to(self, address: str) -> messages.Stage | None:
        """Returns the later or first stage at an address, if any is there."""
        stages = self.start.pipeline.stages
        for stage in stages[self.index + 1 :] + stages[:1]:
            if stage.address == address:
                return stage
        return None


def make_attempt(
    start: messages.StartAttempt, index: int, positions: int
) -> StageAttempt:
    """Returns a stage that has run nothing yet."""
    sequence = f"{start.request}.{start.attempt}"
    gate = streams.PositionFilter()
    return StageAttempt(start, index, positions, sequence, gate, start.attempt)


def find_idle(
    attempts: Iterable[StageAttempt],
) -> dict[ids.VmId, list[messages.HeldAttempt]]:
    """Returns by router the attempts that ran nothing since the last call."""
    idle_by_router: dict[ids.VmId, list[messages.HeldAttempt]] = {}
    for attempt in attempts:
        if attempt.swept_position == attempt.gate.next_position:
            idle = idle_by_router.setdefault(attempt.start.router, [])
            idle.append(attempt.held)
        attempt.swept_position = attempt.gate.next_position
    return idle_by_router


@dataclasses.dataclass(frozen=True)
class Work:
    """Consecutive positions that wait for the engine.

    Attributes:
        attempt: the attempt.
        position: first position.
        values: tokens or hidden states, shape (positions,).
    """

    attempt: StageAttempt
    position: int
    values: tuple[int, ...]


class Output:
    """Messages of one engine step, gathered by receiver.

    Attributes:
        hops_by_address: hidden states for the next stages.
        next_by_address: sampled tokens for the first stages.
        items_by_router: tokens for the routers.
    """

    def __init__(self) -> None:
        self.hops_by_address: dict[str, list[messages.Hop]] = {}
        self.next_by_address: dict[str, list[messages.NextToken]] = {}
        self.items_by_router: dict[ids.VmId, list[messages.TokenItem]] = {}


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


def make_item(work: Work) -> engines.StepItem:
    """Returns what the engine has to run."""
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


def make_hop(
    attempt: StageAttempt, position: int, hidden: tuple[int, ...]
) -> messages.Hop:
    """Returns hidden states from a position on, for the next stage."""
    return messages.Hop(
        attempt.start.request,
        attempt.start.attempt,
        position,
        hidden,
        attempt.start.pipeline.stages[attempt.index + 1].first_layer,
    )


def make_token_item(
    work: Work, result: engines.StepResult
) -> messages.TokenItem:
    """Returns the sampled tokens of a last stage's step, for the router."""
    attempt = work.attempt
    start = attempt.start
    number = _first_sampled(work) - (attempt.positions - 1)
    exhausted = number + len(result.tokens) >= start.max_tokens
    return messages.TokenItem(
        start.request,
        start.attempt,
        start.first_sequence + number,
        result.tokens,
        result.texts,
        finish_of(result, exhausted),
    )


def make_next_token(
    work: Work, result: engines.StepResult
) -> messages.NextToken:
    """Returns the last sampled token, for the first stage."""
    start = work.attempt.start
    return messages.NextToken(
        start.request,
        start.attempt,
        _first_sampled(work) + len(result.tokens),
        result.tokens[-1],
    )


def make_failure(
    start: messages.StartAttempt,
    detail: str,
    vm: ids.VmId | None,
    kind: errors.ErrorKind,
    ran: states.Ran = states.Ran.UNKNOWN,
) -> messages.AttemptFailed:
    """Returns the word to the router that an attempt failed."""
    return messages.AttemptFailed(
        start.request, start.attempt, kind, detail, ran, vm
    )


def _first_sampled(work: Work) -> int:
    return max(work.position, work.attempt.positions - 1)


def finish_of(
    result: engines.StepResult, exhausted: bool
) -> states.FinishReason | None:
    """Returns why a stream ended with a step, if it did.

    Args:
        result: the step's result.
        exhausted: whether all tokens asked for are generated.
    """
    if result.stop:
        return states.FinishReason.STOP
    return states.FinishReason.LENGTH if exhausted else None
