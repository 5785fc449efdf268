"""Placement of the routed model versions on the runners."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools

from nutmeglift import declaration
from nutmeglift import fleet
from nutmeglift import flow
from nutmeglift import ids
from nutmeglift import placement
from nutmeglift import plan
from nutmeglift import plan_assembly

WEIGHT_MEMORY_RATIOS = (0.4, 0.7, 1.0)
"""Fractions of the memory allowed for weights, tried in this order.

The remainder is left to the KV cache.
"""
MAX_GRID_COUNT = 8
MOVED_LAYERS_PENALTY_RATIO = 0.2
"""Relative loss of flow accepted to avoid moving all layers."""
MISSING_REPLICAS_PENALTY_RATIO = 0.3
PENALTY_RATIO_PER_STAGE = 0.01
"""Relative loss of flow accepted to save each token one stage."""

Runner = fleet.Runner


@dataclasses.dataclass(frozen=True)
class ScoredPlacement:
    """A placement of one model version with its score.

    Attributes:
        range_by_vm: the layer range of each runner.
        flow: the maximum flow through the placement.
        score: the flow in tokens per second, reduced by the penalties for
            moved layers, missing replicas and stages.
    """

    range_by_vm: Mapping[ids.VmId, placement.Range]
    flow: flow.Flow
    score: float


def make_plan(
    runners: Sequence[fleet.Runner],
    declared: declaration.Declaration,
    previous: plan.Plan,
    fencing_number: ids.FencingNumber | None = None,
) -> plan.Plan:
    """Returns a plan that places the routed model versions on the runners.

    Args:
        runners: the runners that may be used.
        declared: the configuration in force.
        previous: the plan in force; changes to it are kept few.
        fencing_number: fencing number of the lease; None to use the previous
            plan's.
    """
    versions = fleet.routed_versions(declared)
    runners_by_key = fleet.divide_runners(runners, versions, previous)
    assignments: list[plan.Assignment] = []
    used_bytes_by_vm: dict[ids.VmId, int] = {}
    for version in versions:
        members = runners_by_key[version.key]
        if not _can_hold(members, version.model, used_bytes_by_vm):
            members = list(runners)
        placed = _place_version(
            members, version, declared, previous, used_bytes_by_vm
        )
        for vm, held in placed.range_by_vm.items():
            used = held.layers * version.model.layer_bytes
            used_bytes_by_vm[vm] = used_bytes_by_vm.get(vm, 0) + used
        assignments += plan_assembly.make_assignments(
            members, version, placed.range_by_vm, placed.flow
        )
    if fencing_number is None:
        fencing_number = previous.fencing_number
    return plan_assembly.make_plan(
        versions,
        declared,
        assignments,
        previous.generation + 1,
        fencing_number,
    )


def count_moved_layers(old: plan.Plan, new: plan.Plan) -> int:
    """Returns how many layers the runners must load to change plans."""
    held = {(a.vm, a.model, a.version): _range_of(a) for a in old.assignments}
    return sum(
        _range_of(a).count_missing_from(held.get((a.vm, a.model, a.version)))
        for a in new.assignments
    )


def _can_hold(
    runners: Sequence[fleet.Runner],
    model: declaration.Model,
    used_bytes_by_vm: Mapping[ids.VmId, int],
) -> bool:
    capacities = _make_capacities(runners, model, used_bytes_by_vm, 1.0)
    return sum(capacity.max_layers for capacity in capacities) >= model.layers


def _make_capacities(
    runners: Sequence[fleet.Runner],
    model: declaration.Model,
    used_bytes_by_vm: Mapping[ids.VmId, int],
    share: float,
) -> list[placement.RunnerCapacity]:
    capacities = []
    for runner in runners:
        used = used_bytes_by_vm.get(runner.vm, 0)
        free = runner.memory_bytes * share - used
        max_layers = min(model.layers, int(free // model.layer_bytes))
        if max_layers > 0:
            capacities.append(
                placement.RunnerCapacity(
                    runner.vm,
                    runner.failure_domain,
                    runner.layer_positions_per_second,
                    max_layers,
                )
            )
    return capacities


def _place_version(
    runners: Sequence[fleet.Runner],
    version: fleet.ModelVersion,
    declared: declaration.Declaration,
    previous: plan.Plan,
    used_bytes_by_vm: Mapping[ids.VmId, int],
) -> ScoredPlacement:
    model = version.model
    capacities: list[placement.RunnerCapacity] = []
    for share in WEIGHT_MEMORY_RATIOS:
        capacities = _make_capacities(runners, model, used_bytes_by_vm, share)
        room = sum(capacity.max_layers for capacity in capacities)
        if room >= placement.WANTED_REPLICA_DOMAIN_COUNT * model.layers:
            break
    held_by_vm = {
        a.vm: _range_of(a)
        for a in previous.assignments
        if (a.model, a.version) == version.key
    }
    limits = plan_assembly.link_limits(declared, model)
    empty = ScoredPlacement({}, flow.Flow(0.0, {}), -1.0)
    scored = (
        _score_placement(capacities, grid, held, model, limits, held_by_vm)
        for grid, held in _make_search_starts(
            capacities, model.layers, held_by_vm
        )
    )
    return max(itertools.chain([empty], scored), key=lambda p: p.score)


def _make_search_starts(
    capacities: Sequence[placement.RunnerCapacity],
    layers: int,
    held_by_vm: Mapping[ids.VmId, placement.Range],
) -> list[tuple[placement.Grid, Mapping[ids.VmId, placement.Range]]]:
    """Returns the grids to try, each with the initial ranges of the search."""
    found: list[tuple[placement.Grid, Mapping[ids.VmId, placement.Range]]] = []
    if held_by_vm:
        bounds = {0, layers}
        for held in held_by_vm.values():
            bounds |= {held.first_layer, held.end_layer}
        found.append((placement.Grid(sorted(bounds)), held_by_vm))
    for cells in _cell_counts(capacities, layers):
        found.append((placement.make_even_grid(layers, cells), {}))
    return found


def _cell_counts(
    capacities: Sequence[placement.RunnerCapacity], layers: int
) -> list[int]:
    sizes = sorted(
        {capacity.max_layers for capacity in capacities}, reverse=True
    )
    needed = [-(-layers // size) for size in sizes]
    counts: dict[int, None] = {}
    for count in needed:
        for cells in (count, 2 * count, 3 * count):
            if cells <= layers:
                counts[cells] = None
    return sorted(counts)[:MAX_GRID_COUNT]


def _score_placement(
    capacities: Sequence[placement.RunnerCapacity],
    grid: placement.Grid,
    start: Mapping[ids.VmId, placement.Range],
    model: declaration.Model,
    limits: flow.LinkLimits,
    held_by_vm: Mapping[ids.VmId, placement.Range],
) -> ScoredPlacement:
    range_by_vm = placement.place(capacities, grid, start)
    holders = [
        flow.RangeHolder(
            capacity.vm,
            capacity.failure_domain,
            capacity.rate,
            range_by_vm[capacity.vm].first_layer,
            range_by_vm[capacity.vm].end_layer,
        )
        for capacity in capacities
        if capacity.vm in range_by_vm
    ]
    largest = flow.max_flow(holders, model.layers, limits)
    moved = sum(
        held.count_missing_from(held_by_vm.get(vm))
        for vm, held in range_by_vm.items()
    )
    total = sum(held.layers for held in range_by_vm.values())
    score = largest.tokens_per_second
    if held_by_vm:
        score *= 1 - MOVED_LAYERS_PENALTY_RATIO * moved / max(1, total)
    score *= 1 - MISSING_REPLICAS_PENALTY_RATIO * (
        1 - _replicated_layer_ratio(holders, model.layers)
    )
    score *= max(0.0, 1 - PENALTY_RATIO_PER_STAGE * largest.mean_stages)
    return ScoredPlacement(range_by_vm, largest, score)


def _replicated_layer_ratio(
    holders: Sequence[flow.RangeHolder], layers: int
) -> float:
    """Returns the fraction of layers held in enough failure domains."""
    domains: list[set[ids.FailureDomain]] = [set() for _ in range(layers)]
    for holder in holders:
        for layer in range(holder.first_layer, holder.end_layer):
            domains[layer].add(holder.failure_domain)
    held = sum(len(d) >= placement.WANTED_REPLICA_DOMAIN_COUNT for d in domains)
    return held / layers


def _range_of(assignment: plan.Assignment) -> placement.Range:
    return placement.Range(assignment.first_layer, assignment.end_layer)
