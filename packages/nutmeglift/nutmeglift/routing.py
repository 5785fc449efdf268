"""Chooses a pipeline for each request."""

import collections
from collections.abc import Callable
import dataclasses
import random

from nutmeglift import control_messages
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import plan

WORK_UNIT = 1


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A runner that can be chosen now.

    Attributes:
        vm: its VM.
        address: address of its agent.
        incarnation: the agent's incarnation.
        failure_domain: where it runs.
    """

    vm: ids.VmId
    address: str
    incarnation: ids.Incarnation
    failure_domain: ids.FailureDomain


class Routing:
    """Chooses pipelines by the plan and the work in flight."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._plan = plan.Plan()
        self._in_flight_by_vm: collections.Counter[ids.VmId] = (
            collections.Counter()
        )
        self._load_by_vm: dict[ids.VmId, messages.LoadReport] = {}

    def set_plan(self, new_plan: plan.Plan) -> None:
        """Takes a new plan into force."""
        self._plan = new_plan

    def note_load(
        self, vm: ids.VmId, load: messages.LoadReport, now: float
    ) -> None:
        """Takes a load report that arrived now."""
        self._load_by_vm[vm] = load

    def note_cache_events(
        self, vm: ids.VmId, events: control_messages.CacheEvents, now: float
    ) -> None:
        """Takes cache events that arrived now."""

    def choose(
        self,
        model: ids.ModelId,
        version: ids.VersionId,
        adapter: ids.AdapterId | None,
        *,
        tokens: tuple[int, ...],
        find: Callable[[ids.VmId], Candidate | None],
        avoid: frozenset[ids.VmId],
        now: float,
    ) -> messages.Pipeline:
        """Chooses a whole pipeline.

        Args:
            model: the model.
            version: its version.
            adapter: the adapter.
            tokens: the prompt.
            find: returns a VM's candidate, or None when it can't be used.
            avoid: VMs to use only when there is no other way.
            now: seconds.

        Raises:
            errors.RefusedError: some layer has no usable runner.
        """
        usable = [
            (assignment, found)
            for assignment in self._plan.assignments
            if assignment.model == model
            and assignment.version == version
            and (found := find(assignment.vm)) is not None
        ]
        stages: list[messages.Stage] = []
        layer = 0
        end = max((a.end_layer for a, _ in usable), default=0)
        while layer < end:
            fitting = [(a, c) for a, c in usable if a.first_layer == layer]
            if not fitting:
                break
            assignment, found = min(
                fitting, key=lambda pair: self._cost(pair[0].vm, avoid)
            )
            stages.append(_make_stage(assignment, found))
            layer = assignment.end_layer
        whole = max(
            (a.end_layer for a in self._plan.assignments if a.model == model),
            default=0,
        )
        if not stages or layer < whole:
            raise errors.RefusedError(
                f"no runner holds layer {layer} of {model} {version}",
                kind=errors.ErrorKind.NO_BACKEND,
                retry_after=1.0,
            )
        return messages.Pipeline(model, version, adapter, tuple(stages))

    def started(self, pipeline: messages.Pipeline, now: float) -> None:
        """Notes that a request was given to a pipeline."""
        for stage in pipeline.stages:
            self._in_flight_by_vm[stage.vm] += WORK_UNIT

    def ended(
        self, pipeline: messages.Pipeline, failed: ids.VmId | None, now: float
    ) -> None:
        """Notes that a request left a pipeline.

        Args:
            pipeline: the pipeline.
            failed: the VM at fault, or None.
            now: seconds.
        """
        for stage in pipeline.stages:
            self._in_flight_by_vm[stage.vm] -= WORK_UNIT

    def _cost(
        self, vm: ids.VmId, avoid: frozenset[ids.VmId]
    ) -> tuple[bool, int, float]:
        return (vm in avoid, self._in_flight_by_vm[vm], self._rng.random())


def _make_stage(
    assignment: plan.Assignment, found: Candidate
) -> messages.Stage:
    return messages.Stage(
        found.vm,
        found.address,
        found.incarnation,
        assignment.first_layer,
        assignment.end_layer,
    )
