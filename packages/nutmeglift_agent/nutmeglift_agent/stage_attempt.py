"""One stage of one attempt, and its way through the engine."""

import dataclasses

from nutmeglift import engine as engines
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import states
from nutmeglift import streams


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
