"""State of one stage of one attempt, and its messages and engine steps."""

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
    """Records the last ended attempt of each request.

    An ended attempt is never started again. Only the `MAX_ENDED_REQUESTS` most
    recently updated requests are kept.
    """

    def __init__(self) -> None:
        self._last_by_request: collections.OrderedDict[
            ids.RequestId, ids.Attempt
        ] = collections.OrderedDict()

    def record(self, request: ids.RequestId, attempt: ids.Attempt) -> None:
        """Records that an attempt and all earlier ones have ended."""
        previous = self._last_by_request.pop(request, ids.Attempt(0))
        self._last_by_request[request] = max(previous, attempt)
        if len(self._last_by_request) > MAX_ENDED_REQUESTS:
            self._last_by_request.popitem(last=False)

    def last(self, request: ids.RequestId) -> ids.Attempt:
        """Returns a request's last ended attempt, or 0 if none is recorded."""
        return self._last_by_request.get(request, ids.Attempt(0))


@dataclasses.dataclass
class StageAttempt:
    """One stage of one attempt of a request.

    Attributes:
        start: the message that started the attempt.
        index: index of this stage in the pipeline.
        positions: number of prompt positions.
        sequence: identifier of the engine's sequence and its KV cache.
        position_filter: accepts each position exactly once, in order.
        oldest_attempt: the first attempt whose KV cache is still in use.
        last_superseded_attempt: the last attempt whose last stage was replaced,
            or 0.
        superseded_end_position: end (exclusive) of the positions that are valid
            when sent under that or an earlier attempt.
        stopped: whether the attempt has ended.
        broken: whether the attempt waits for the router to replace a stage.
        last_checked_position: next position at the last check for idle
            attempts.
        last_token: the last token sent to the first stage, if any.
    """

    start: messages.StartAttempt
    index: int
    positions: int
    sequence: str
    position_filter: streams.PositionFilter
    oldest_attempt: ids.Attempt
    last_superseded_attempt: ids.Attempt = ids.Attempt(0)
    superseded_end_position: int = 0
    stopped: bool = False
    broken: bool = False
    last_checked_position: int = -1
    last_token: messages.NextToken | None = None

    @property
    def held_attempt(self) -> messages.HeldAttempt:
        """The request and attempt that identify this to the router."""
        return messages.HeldAttempt(self.start.request, self.start.attempt)

    @property
    def stage(self) -> messages.Stage:
        """This stage."""
        return self.start.pipeline.stages[self.index]

    @property
    def is_last(self) -> bool:
        """Whether the model's last layer runs here."""
        return self.index == len(self.start.pipeline.stages) - 1

    def apply_replacement(self, replacement: messages.ReplaceStage) -> bool:
        """Continues as a later attempt in which one stage is replaced.

        Returns:
            False if a position past the released tokens was already run while
            the last stage is replaced: the new stage may sample a different
            token there.
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
        self.last_superseded_attempt = replacement.replaced
        self.superseded_end_position = self.positions
        return self.position_filter.next_position <= self.positions

    def accepts(self, attempt: ids.Attempt, end: int) -> bool:
        """Returns whether positions sent under an attempt are valid here.

        What superseded attempts sent is valid only up to
        `superseded_end_position`.

        Args:
            attempt: number of the attempt under which they were sent.
            end: one past the last position.
        """
        if not self.oldest_attempt <= attempt <= self.start.attempt:
            return False
        return (
            attempt > self.last_superseded_attempt
            or end <= self.superseded_end_position
        )

    def find_receiving_stage(self, address: str) -> messages.Stage | None:
        """Returns the stage at an address that receives messages from this one.

        These are the later stages and the first one. Returns None if none of
        them is at the address.
        """
        stages = self.start.pipeline.stages
        for stage in stages[self.index + 1 :] + stages[:1]:
            if stage.address == address:
                return stage
        return None


def make_attempt(
    start: messages.StartAttempt, index: int, positions: int
) -> StageAttempt:
    """Returns a stage that has not run any position yet."""
    sequence = f"{start.request}.{start.attempt}"
    position_filter = streams.PositionFilter()
    return StageAttempt(
        start, index, positions, sequence, position_filter, start.attempt
    )


def find_idle(
    attempts: Iterable[StageAttempt],
) -> dict[ids.VmId, list[messages.HeldAttempt]]:
    """Returns, by router, the attempts without progress since the last call."""
    idle_by_router: dict[ids.VmId, list[messages.HeldAttempt]] = {}
    for attempt in attempts:
        if (
            attempt.last_checked_position
            == attempt.position_filter.next_position
        ):
            idle = idle_by_router.setdefault(attempt.start.router, [])
            idle.append(attempt.held_attempt)
        attempt.last_checked_position = attempt.position_filter.next_position
    return idle_by_router


@dataclasses.dataclass(frozen=True)
class WorkItem:
    """Consecutive positions of an attempt, queued for the engine.

    Attributes:
        attempt: the attempt.
        position: the first position.
        values: tokens or hidden states, shape (positions,).
    """

    attempt: StageAttempt
    position: int
    values: tuple[int, ...]


class StepOutput:
    """Messages produced by one engine step, grouped by receiver.

    Attributes:
        hops_by_address: hidden states for the next stages.
        tokens_by_address: sampled tokens for the first stages.
        items_by_router: tokens for the routers.
    """

    def __init__(self) -> None:
        self.hops_by_address: dict[str, list[messages.Hop]] = {}
        self.tokens_by_address: dict[str, list[messages.NextToken]] = {}
        self.items_by_router: dict[ids.VmId, list[messages.TokenItem]] = {}


def strip_prompt(
    start: messages.StartAttempt,
) -> messages.StartAttempt:
    """Returns the message without its prompt, for the later stages."""
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


def make_step_item(work: WorkItem) -> engines.StepItem:
    """Returns the engine step for a work item."""
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
    """Returns the message that carries hidden states to the next stage.

    Args:
        attempt: the attempt.
        position: position of the first hidden state.
        hidden: hidden states of consecutive positions.
    """
    return messages.Hop(
        attempt.start.request,
        attempt.start.attempt,
        position,
        hidden,
        attempt.start.pipeline.stages[attempt.index + 1].first_layer,
    )


def make_token_item(
    work: WorkItem, result: engines.StepResult
) -> messages.TokenItem:
    """Returns the tokens sampled by a last stage's step, for the router."""
    attempt = work.attempt
    start = attempt.start
    offset = _first_sampled(work) - (attempt.positions - 1)
    exhausted = offset + len(result.tokens) >= start.max_tokens
    return messages.TokenItem(
        start.request,
        start.attempt,
        start.first_sequence + offset,
        result.tokens,
        result.texts,
        finish_reason_of(result, exhausted),
    )


def make_next_token(
    work: WorkItem, result: engines.StepResult
) -> messages.NextToken:
    """Returns the message that carries the last sampled token to stage 0."""
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
    """Returns the message that reports a failed attempt to the router."""
    return messages.AttemptFailed(
        start.request, start.attempt, kind, detail, ran, vm
    )


def _first_sampled(work: WorkItem) -> int:
    return max(work.position, work.attempt.positions - 1)


def finish_reason_of(
    result: engines.StepResult, exhausted: bool
) -> states.FinishReason | None:
    """Returns why a step ended the stream, or None if it did not.

    Args:
        result: the step's result.
        exhausted: whether `max_tokens` tokens have been generated.
    """
    if result.stop:
        return states.FinishReason.STOP
    return states.FinishReason.LENGTH if exhausted else None
