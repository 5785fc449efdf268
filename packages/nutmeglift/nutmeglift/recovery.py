"""Recovery of requests after failed attempts and broken connections."""

from collections.abc import Iterable
import dataclasses

import msgspec

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import states

MAX_FAILURE_COUNT = 4
MAX_REFUSAL_COUNT = 16
MAX_ENDED_COUNT = 2
"""Agents that may be lost while a request begins on them, before it counts as
the cause."""
MAX_BEGIN_TOKENS = 1
"""An attempt that releases more tokens than this has outlived its beginning."""
MAX_PIPELINE_WAIT_SECONDS = 5.0
PIPELINE_RETRY_SECONDS = 0.1
REOPEN_SECONDS = 0.25


@dataclasses.dataclass(frozen=True)
class Failure:
    """Reason for which an attempt failed.

    Attributes:
        detail: description of the failure.
        vm: the VM at fault, if known.
        refused: whether an agent refused the attempt as new work.
        not_run: whether it is proven that no layer ran for the attempt.
        kind: kind of the error returned to the caller if recovery fails.
        lost: whether the agent on the VM at fault was lost.
    """

    detail: str
    vm: ids.VmId | None = None
    refused: bool = False
    not_run: bool = False
    kind: errors.ErrorKind = errors.ErrorKind.STAGE_FAILED
    lost: bool = False


@dataclasses.dataclass(frozen=True)
class Restart:
    """Start a new attempt over the prompt and the released tokens."""

    attempt: ids.Attempt


@dataclasses.dataclass(frozen=True)
class Wait:
    """Retry the pipeline selection after a delay."""

    seconds: float


@dataclasses.dataclass(frozen=True)
class Abort:
    """Abort the request and return an error to the caller."""

    error: errors.NutmegError


Action = Restart | Wait | Abort


class RequestRecovery:
    """Decides how to continue one request after failures.

    Attributes:
        attempt: the current attempt.
        failed: VMs that failed or refused the request.
    """

    def __init__(self) -> None:
        self.attempt = ids.Attempt(1)
        self.failed: set[ids.VmId] = set()
        self._failures = 0
        self._refusals = 0
        self._released_at_start = 0
        self._failed_at_begin: set[ids.VmId] = set()
        self._ended: set[ids.VmId] = set()
        self._may_have_run = False
        self._waiting_since: float | None = None

    def record_dispatch(self) -> None:
        """Records that the attempt was sent to its first stage."""
        self._waiting_since = None

    def record_lost(self, vm: ids.VmId) -> bool:
        """Records that an agent was lost.

        Returns:
            Whether the request may not be sent to another agent: it has failed
            on too many agents as it began, and all of them were lost.
        """
        if vm in self._failed_at_begin:
            self._ended.add(vm)
        return len(self._ended) >= MAX_ENDED_COUNT

    def fail(self, failure: Failure, released: int) -> Action:
        """Decides how to continue after a failed attempt.

        Args:
            failure: reason of the failure.
            released: number of tokens released to the caller.
        """
        if not failure.not_run:
            self._may_have_run = True
        if failure.vm is not None:
            self.failed.add(failure.vm)
        if failure.refused:
            self._refusals += 1
        else:
            self._failures += 1
        begun = released - self._released_at_start > MAX_BEGIN_TOKENS
        self._released_at_start = released
        if begun:
            self._failed_at_begin.clear()
            self._ended.clear()
        elif failure.vm is not None and not failure.refused:
            self._failed_at_begin.add(failure.vm)
            if failure.lost:
                self._ended.add(failure.vm)
        if (
            len(self._ended) >= MAX_ENDED_COUNT
            or self._failures >= MAX_FAILURE_COUNT
            or self._refusals >= MAX_REFUSAL_COUNT
        ):
            return Abort(
                errors.StageFailedError(
                    failure.detail, kind=failure.kind, ran=self.ran(released)
                )
            )
        self.attempt = ids.Attempt(self.attempt + 1)
        return Restart(self.attempt)

    def handle_no_pipeline(
        self, now: float, error: errors.NutmegError, released: int
    ) -> Action:
        """Decides how to continue when no pipeline is available."""
        if self._waiting_since is None:
            self._waiting_since = now
        if now - self._waiting_since < MAX_PIPELINE_WAIT_SECONDS:
            return Wait(PIPELINE_RETRY_SECONDS)
        return Abort(
            errors.StageFailedError(
                error.detail,
                kind=error.kind,
                ran=self.ran(released),
                retry_after=error.retry_after,
            )
        )

    def ran(self, released: int) -> states.Ran:
        """Returns whether layers ran for the request, as far as is proven.

        Args:
            released: number of tokens released to the caller.
        """
        if released:
            return states.Ran.RAN
        if self._may_have_run:
            return states.Ran.UNKNOWN
        return states.Ran.NOT_RUN


def replace_stage(
    pipeline: messages.Pipeline,
    failure: Failure,
    alternative: messages.Pipeline,
) -> tuple[int, messages.Pipeline] | None:
    """Returns a pipeline with a replacement for the stage at fault.

    Args:
        pipeline: the pipeline of the failed attempt.
        failure: reason of the failure.
        alternative: a pipeline that could run the request now.

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
    for stage in alternative.stages:
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


class ReconnectTracker:
    """Distinguishes broken connections from lost agents.

    After its connection breaks, an agent has REOPEN_SECONDS to be connected
    again under the same incarnation. Its attempts then continue.
    """

    def __init__(self) -> None:
        self._incarnation_by_vm: dict[ids.VmId, ids.Incarnation] = {}
        self._suspect_by_vm: dict[ids.VmId, _Suspect] = {}

    def record_connected(
        self, vm: ids.VmId, incarnation: ids.Incarnation
    ) -> bool:
        """Records an established connection.

        Returns:
            Whether the previously connected agent is lost, since the
            incarnation differs.
        """
        self._suspect_by_vm.pop(vm, None)
        before = self._incarnation_by_vm.get(vm)
        self._incarnation_by_vm[vm] = incarnation
        return before is not None and before != incarnation

    def record_disconnected(self, vm: ids.VmId, now: float) -> None:
        """Records that a connection broke."""
        incarnation = self._incarnation_by_vm.get(vm)
        self._suspect_by_vm[vm] = _Suspect(incarnation, now)

    def record_unreachable(self, vm: ids.VmId) -> bool:
        """Records that a new connection was refused.

        Returns:
            Whether the agent is now considered lost.
        """
        return self._remove_lost(vm)

    def lost(self, vm: ids.VmId, now: float) -> bool:
        """Returns whether an agent's time to reconnect has expired."""
        suspect = self._suspect_by_vm.get(vm)
        if suspect is None or now - suspect.since < REOPEN_SECONDS:
            return False
        return self._remove_lost(vm)

    def _remove_lost(self, vm: ids.VmId) -> bool:
        if self._suspect_by_vm.pop(vm, None) is None:
            return False
        self._incarnation_by_vm.pop(vm, None)
        return True


@dataclasses.dataclass(frozen=True)
class AttemptDifferences:
    """Differences between the attempts of a router and of an agent.

    Attributes:
        missing: attempts that the agent no longer runs.
        unknown: attempts that the router does not wait for.
    """

    missing: tuple[messages.HeldAttempt, ...]
    unknown: tuple[messages.HeldAttempt, ...]


def compare(
    awaited: Iterable[messages.HeldAttempt],
    held: Iterable[messages.HeldAttempt],
    current: Iterable[messages.HeldAttempt],
) -> AttemptDifferences:
    """Compares attempts after a connection was re-established.

    Args:
        awaited: the router's attempts through the agent at the time of the
            reconnect.
        held: the router's attempts that the agent has a stage of.
        current: the router's attempts through the agent now.
    """
    held_set = set(held)
    current_set = set(current)
    missing = (set(awaited) - held_set) & current_set
    return AttemptDifferences(
        tuple(sorted(missing, key=_order)),
        tuple(sorted(held_set - current_set, key=_order)),
    )


def _order(held: messages.HeldAttempt) -> tuple[str, int]:
    return held.request, held.attempt
