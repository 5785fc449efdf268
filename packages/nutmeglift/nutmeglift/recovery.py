"""What becomes of a request when an attempt or a connection fails."""

from collections.abc import Iterable
import dataclasses

import msgspec

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import states

MAX_FAILURE_COUNT = 4
MAX_REFUSAL_COUNT = 16
MAX_PIPELINE_WAIT_SECONDS = 5.0
PIPELINE_RETRY_SECONDS = 0.1
REOPEN_SECONDS = 0.25


@dataclasses.dataclass(frozen=True)
class Failure:
    """Why an attempt ended without its answer.

    Attributes:
        detail: what happened.
        vm: the VM at fault, where known.
        refused: whether an agent refused the attempt as new work.
        not_run: whether it is proven that no layer ran for the attempt.
        kind: kind of the error that the caller gets if nothing helps.
    """

    detail: str
    vm: ids.VmId | None = None
    refused: bool = False
    not_run: bool = False
    kind: errors.ErrorKind = errors.ErrorKind.STAGE_FAILED


@dataclasses.dataclass(frozen=True)
class Restart:
    """Go on with a fresh attempt over the prompt and the released tokens."""

    attempt: ids.Attempt


@dataclasses.dataclass(frozen=True)
class Wait:
    """Look for a pipeline again later."""

    seconds: float


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """Answer the caller with an error."""

    error: errors.NutmegError


Action = Restart | Wait | GiveUp


class RequestRecovery:
    """Decides how one request goes on after its failures.

    Attributes:
        attempt: the attempt that counts.
        failed: VMs that failed or refused this request.
    """

    def __init__(self) -> None:
        self.attempt = ids.Attempt(1)
        self.failed: set[ids.VmId] = set()
        self._failures = 0
        self._refusals = 0
        self._may_have_run = False
        self._waiting_since: float | None = None

    def dispatched(self) -> None:
        """Notes that the attempt was given to its first stage."""
        self._waiting_since = None

    def fail(self, failure: Failure, released: int) -> Action:
        """Decides on a failed attempt.

        Args:
            failure: why it failed.
            released: number of tokens that the caller has.
        """
        if not failure.not_run:
            self._may_have_run = True
        if failure.vm is not None:
            self.failed.add(failure.vm)
        if failure.refused:
            self._refusals += 1
        else:
            self._failures += 1
        if (
            self._failures >= MAX_FAILURE_COUNT
            or self._refusals >= MAX_REFUSAL_COUNT
        ):
            return GiveUp(
                errors.StageFailedError(
                    failure.detail, kind=failure.kind, ran=self.ran(released)
                )
            )
        self.attempt = ids.Attempt(self.attempt + 1)
        return Restart(self.attempt)

    def no_pipeline(
        self, now: float, error: errors.NutmegError, released: int
    ) -> Action:
        """Decides when no pipeline can take the attempt now."""
        if self._waiting_since is None:
            self._waiting_since = now
        if now - self._waiting_since < MAX_PIPELINE_WAIT_SECONDS:
            return Wait(PIPELINE_RETRY_SECONDS)
        return GiveUp(
            errors.StageFailedError(
                error.detail,
                kind=error.kind,
                ran=self.ran(released),
                retry_after=error.retry_after,
            )
        )

    def ran(self, released: int) -> states.Ran:
        """Tells truthfully whether layers ran for the request.

        Args:
            released: number of tokens that the caller has.
        """
        if released:
            return states.Ran.RAN
        if self._may_have_run:
            return states.Ran.UNKNOWN
        return states.Ran.NOT_RUN


def replace_stage(
    pipeline: messages.Pipeline,
    failure: Failure,
    fresh: messages.Pipeline,
) -> tuple[int, messages.Pipeline] | None:
    """Finds a replacement for the stage at fault.

    Args:
        pipeline: the pipeline of the failed attempt.
        failure: why it failed.
        fresh: a pipeline that could take the request now.

    Returns:
        Index of the replaced stage and the new pipeline, or None.
    """
    indexes = [
        index
        for index, stage in enumerate(pipeline.stages)
        if stage.vm == failure.vm
    ]
    if failure.refused or len(indexes) != 1 or len(pipeline.stages) == 1:
        return None
    index = indexes[0]
    old = pipeline.stages[index]
    used = {stage.vm for stage in pipeline.stages}
    for stage in fresh.stages:
        same = (stage.first_layer, stage.end_layer) == (
            old.first_layer,
            old.end_layer,
        )
        if same and stage.vm not in used:
            stages = list(pipeline.stages)
            stages[index] = stage
            return index, msgspec.structs.replace(
                pipeline, stages=tuple(stages)
            )
    return None


@dataclasses.dataclass
class _Suspect:
    incarnation: ids.Incarnation | None
    since: float


class Reopenings:
    """Tells broken connections from lost agents.

    An agent whose connection broke gets REOPEN_SECONDS to be connected again
    under the same incarnation; its attempts then go on.
    """

    def __init__(self) -> None:
        self._incarnation_by_vm: dict[ids.VmId, ids.Incarnation] = {}
        self._suspect_by_vm: dict[ids.VmId, _Suspect] = {}

    def note_up(self, vm: ids.VmId, incarnation: ids.Incarnation) -> bool:
        """Notes an open connection.

        Returns:
            Whether the agent that was connected before is lost by this.
        """
        self._suspect_by_vm.pop(vm, None)
        before = self._incarnation_by_vm.get(vm)
        self._incarnation_by_vm[vm] = incarnation
        return before is not None and before != incarnation

    def note_down(self, vm: ids.VmId, now: float) -> None:
        """Notes that a connection broke."""
        incarnation = self._incarnation_by_vm.get(vm)
        self._suspect_by_vm[vm] = _Suspect(incarnation, now)

    def note_unreachable(self, vm: ids.VmId) -> bool:
        """Notes that a new connection was refused.

        Returns:
            Whether the agent is lost by this.
        """
        return self._lose(vm)

    def lost(self, vm: ids.VmId, now: float) -> bool:
        """Tells whether an agent's time to come back has run out."""
        suspect = self._suspect_by_vm.get(vm)
        if suspect is None or now - suspect.since < REOPEN_SECONDS:
            return False
        return self._lose(vm)

    def _lose(self, vm: ids.VmId) -> bool:
        if self._suspect_by_vm.pop(vm, None) is None:
            return False
        self._incarnation_by_vm.pop(vm, None)
        return True


@dataclasses.dataclass(frozen=True)
class Differences:
    """How a router's and an agent's attempts differ.

    Attributes:
        missing: attempts that the agent does not go on with.
        unknown: attempts that the router does not wait for.
    """

    missing: tuple[messages.HeldAttempt, ...]
    unknown: tuple[messages.HeldAttempt, ...]


def compare(
    awaited: Iterable[messages.HeldAttempt],
    held: Iterable[messages.HeldAttempt],
    current: Iterable[messages.HeldAttempt],
) -> Differences:
    """Compares attempts after a connection was reopened.

    Args:
        awaited: the router's attempts through the agent at that moment.
        held: the agent's attempts of the router.
        current: the router's attempts through the agent now.
    """
    held_set = set(held)
    current_set = set(current)
    missing = (set(awaited) - held_set) & current_set
    return Differences(
        tuple(sorted(missing, key=_order)),
        tuple(sorted(held_set - current_set, key=_order)),
    )


def _order(held: messages.HeldAttempt) -> tuple[str, int]:
    return held.request, held.attempt
