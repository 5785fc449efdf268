"""Selection of the runners that a router connects to in a large fleet."""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

import xxhash

from nutmeglift import ids
from nutmeglift import plan

MIN_RUNNER_COUNT_PER_RANGE = 2


@dataclasses.dataclass(frozen=True)
class ControlBudget:
    """A router's budget for control traffic on its connections.

    Attributes:
        bytes_per_second: budget for control traffic.
        bytes_per_heartbeat: size of a heartbeat with its load report, in both
            directions together.
        heartbeat_seconds: interval between heartbeats.
    """

    bytes_per_second: float
    bytes_per_heartbeat: float
    heartbeat_seconds: float

    @property
    def connections(self) -> int:
        """Maximum number of connections within the budget."""
        each = self.bytes_per_heartbeat / self.heartbeat_seconds
        return int(self.bytes_per_second / each)


_RangeKey = tuple[ids.ModelId, ids.VersionId, int, int]


def choose_runners(
    router: ids.VmId, whole: plan.Plan, connections: int
) -> frozenset[ids.VmId]:
    """Returns the runners that a router connects to.

    Rendezvous hashing ranks the runners of each layer range, so that a
    change of routers or runners changes few connections. Every range gets
    its proportional share, at least MIN_RUNNER_COUNT_PER_RANGE, and its
    failure domains alternate. The minimum may make the subset larger than
    requested.

    Args:
        router: the router's VM.
        whole: the plan in force.
        connections: requested number of runners.
    """
    if connections >= len({a.vm for a in whole.assignments}):
        return frozenset(a.vm for a in whole.assignments)
    members_by_range: dict[_RangeKey, list[plan.Assignment]] = (
        collections.defaultdict(list)
    )
    for a in whole.assignments:
        key = (a.model, a.version, a.first_layer, a.end_layer)
        members_by_range[key].append(a)
    chosen: set[ids.VmId] = set()
    for members in members_by_range.values():
        share = connections * len(members) / len(whole.assignments)
        wanted = max(MIN_RUNNER_COUNT_PER_RANGE, round(share))
        chosen.update(
            _alternate_domains(_rank_by_hash(router, members), wanted)
        )
    return frozenset(chosen)


def restrict_plan(whole: plan.Plan, vms: frozenset[ids.VmId]) -> plan.Plan:
    """Returns the plan with only the assignments of the given runners."""
    return plan.Plan(
        whole.generation,
        whole.fencing_number,
        tuple(a for a in whole.assignments if a.vm in vms),
        whole.links,
        whole.layers_by_model,
    )


def _rank_by_hash(
    router: ids.VmId, members: Sequence[plan.Assignment]
) -> list[plan.Assignment]:
    return sorted(
        members,
        key=lambda a: (
            xxhash.xxh64_intdigest(f"{router}/{a.vm}".encode()),
            a.vm,
        ),
    )


def _alternate_domains(
    ranked: list[plan.Assignment], wanted: int
) -> list[ids.VmId]:
    """Selects the first of each failure domain, then the second, and so on."""
    seen_by_domain: Mapping[ids.FailureDomain, list[int]] = (
        collections.defaultdict(list)
    )
    ordered = []
    for index, assignment in enumerate(ranked):
        seen = seen_by_domain[assignment.failure_domain]
        ordered.append((len(seen), index, assignment.vm))
        seen.append(index)
    return [vm for _, _, vm in sorted(ordered)[:wanted]]
