"""Places the routed model versions on the runners."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools

from nutmeglift import declaration
from nutmeglift import flow
from nutmeglift import ids
from nutmeglift import placement
from nutmeglift import plan

WEIGHT_MEMORY_SHARES = (0.4, 0.7, 1.0)
"""Shares of the memory that weights may take, tried in this order.

The rest is left to the KV cache.
"""
MAX_GRIDS = 8
MOVE_WEIGHT = 0.2
"""Loss of flow that is accepted to keep all weights where they are."""
REPLICA_WEIGHT = 0.3
HOP_WEIGHT = 0.002
SURPLUS_TOLERANCE = 0.1
"""Surplus of speed with which a version gives no runner away."""
NEGLIGIBLE_SHARE = 1e-6


@dataclasses.dataclass(frozen=True)
class Runner:
    """A model runner that can be given layers.

    Attributes:
        vm: its VM.
        failure_domain: where it runs.
        layer_positions_per_second: speed: layers times positions a second.
        memory_bytes: memory for weights.
        backend_class: its backend class.
    """

    vm: ids.VmId
    failure_domain: ids.FailureDomain
    layer_positions_per_second: float
    memory_bytes: int
    backend_class: str = ""


@dataclasses.dataclass(frozen=True)
class ModelVersion:
    """What is placed: one version of a model.

    Attributes:
        model: the model.
        version: the version's name.
        demand: share of the fleet's work expected for it, relative.
    """

    model: declaration.Model
    version: ids.VersionId
    demand: float

    @property
    def key(self) -> tuple[ids.ModelId, ids.VersionId]:
        """Names it."""
        return (self.model.id, self.version)


@dataclasses.dataclass(frozen=True)
class Placed:
    """A placement of one model version.

    Attributes:
        range_by_vm: the layers of each runner.
        flow: its largest flow.
        score: flow, less what moves and missing replicas cost.
    """

    range_by_vm: Mapping[ids.VmId, placement.Range]
    flow: flow.Flow
    score: float


def make_plan(
    runners: Sequence[Runner],
    declared: declaration.Declaration,
    previous: plan.Plan,
    fencing_number: ids.FencingNumber | None = None,
) -> plan.Plan:
    """Returns a placement of the routed model versions on the runners.

    Args:
        runners: the runners that may be used.
        declared: the configuration in force.
        previous: the plan in force, from which few runners should move.
        fencing_number: number of the lease; None for the previous plan's.
    """
    versions = routed_versions(declared)
    runners_by_key = divide_runners(runners, versions, previous)
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
        assignments += _make_assignments(members, version, placed)
    if fencing_number is None:
        fencing_number = previous.fencing_number
    return plan.Plan(
        previous.generation + 1,
        fencing_number,
        tuple(sorted(assignments, key=lambda a: (a.model, a.version, a.vm))),
        _make_links(versions, declared),
        {version.model.id: version.model.layers for version in versions},
    )


def routed_versions(declared: declaration.Declaration) -> list[ModelVersion]:
    """Returns the model versions that routes lead to, most demand first."""
    model_by_id = {model.id: model for model in declared.models}
    demand_by_key: dict[tuple[ids.ModelId, ids.VersionId], float] = {}
    for route in declared.routes:
        key = (route.model, route.version)
        demand_by_key[key] = demand_by_key.get(key, 0.0) + route.demand
    versions = [
        ModelVersion(model_by_id[model], version, demand)
        for (model, version), demand in demand_by_key.items()
    ]
    return sorted(versions, key=lambda v: (-v.demand, v.key))


def count_moved_layers(old: plan.Plan, new: plan.Plan) -> int:
    """Returns how many layers the runners have to load for a new plan."""
    held = {(a.vm, a.model, a.version): _range_of(a) for a in old.assignments}
    return sum(
        _range_of(a).count_missing_from(held.get((a.vm, a.model, a.version)))
        for a in new.assignments
    )


def divide_runners(
    runners: Sequence[Runner],
    versions: Sequence[ModelVersion],
    previous: plan.Plan,
) -> dict[tuple[ids.ModelId, ids.VersionId], list[Runner]]:
    """Gives each model version runners by its demand, few of them new to it."""
    members: dict[tuple[ids.ModelId, ids.VersionId], list[Runner]] = {
        version.key: [] for version in versions
    }
    if not versions:
        return members
    total = sum(r.layer_positions_per_second for r in runners)
    work = [max(v.demand, 1e-9) * v.model.layers for v in versions]
    wanted_by_key = {
        version.key: total * part / sum(work)
        for version, part in zip(versions, work, strict=True)
    }
    old_by_vm = {a.vm: (a.model, a.version) for a in previous.assignments}
    ordered = _by_kind_and_domain(runners)
    free: list[Runner] = []
    for runner in ordered:
        key = old_by_vm.get(runner.vm)
        if key in members:
            members[key].append(runner)
        else:
            free.append(runner)
    for key, held in members.items():
        members[key] = _keep_share(held, wanted_by_key[key])
        kept = {runner.vm for runner in members[key]}
        free += [runner for runner in held if runner.vm not in kept]
    for runner in free:
        key = max(
            members,
            key=lambda k: (
                _missing(members, wanted_by_key, k) / wanted_by_key[k]
            ),
        )
        members[key].append(runner)
    return members


def _keep_share(held: Sequence[Runner], wanted: float) -> list[Runner]:
    """Returns runners of every kind that together have the wanted speed."""
    total = sum(r.layer_positions_per_second for r in held)
    if total <= wanted * (1 + SURPLUS_TOLERANCE):
        return list(held)
    kept: list[Runner] = []
    due = 0.0
    for runner in held:
        due += runner.layer_positions_per_second * wanted / total
        if due >= runner.layer_positions_per_second / 2:
            due -= runner.layer_positions_per_second
            kept.append(runner)
    return kept


def _missing(
    members: Mapping[tuple[ids.ModelId, ids.VersionId], Sequence[Runner]],
    wanted_by_key: Mapping[tuple[ids.ModelId, ids.VersionId], float],
    key: tuple[ids.ModelId, ids.VersionId],
) -> float:
    present = sum(r.layer_positions_per_second for r in members[key])
    return wanted_by_key[key] - present


def _by_kind_and_domain(runners: Sequence[Runner]) -> list[Runner]:
    """Sorts by speed, the failure domains taking turns."""
    ordered: list[tuple[float, int, Runner]] = []
    turn_by_kind: dict[tuple[float, ids.FailureDomain], int] = {}
    for runner in sorted(runners, key=lambda r: r.vm):
        kind = (runner.layer_positions_per_second, runner.failure_domain)
        turn_by_kind[kind] = turn_by_kind.get(kind, 0) + 1
        ordered.append((-kind[0], turn_by_kind[kind], runner))
    ordered.sort(key=lambda o: (o[0], o[1], o[2].failure_domain, o[2].vm))
    return [runner for _, _, runner in ordered]


def _can_hold(
    runners: Sequence[Runner],
    model: declaration.Model,
    used_bytes_by_vm: Mapping[ids.VmId, int],
) -> bool:
    slots = _make_slots(runners, model, used_bytes_by_vm, 1.0)
    return sum(slot.max_layers for slot in slots) >= model.layers


def _make_slots(
    runners: Sequence[Runner],
    model: declaration.Model,
    used_bytes_by_vm: Mapping[ids.VmId, int],
    share: float,
) -> list[placement.Slot]:
    slots = []
    for runner in runners:
        used = used_bytes_by_vm.get(runner.vm, 0)
        free = runner.memory_bytes * share - used
        max_layers = min(model.layers, int(free // model.layer_bytes))
        if max_layers > 0:
            slots.append(
                placement.Slot(
                    runner.vm,
                    runner.failure_domain,
                    runner.layer_positions_per_second,
                    max_layers,
                )
            )
    return slots


def _place_version(
    runners: Sequence[Runner],
    version: ModelVersion,
    declared: declaration.Declaration,
    previous: plan.Plan,
    used_bytes_by_vm: Mapping[ids.VmId, int],
) -> Placed:
    model = version.model
    slots: list[placement.Slot] = []
    for share in WEIGHT_MEMORY_SHARES:
        slots = _make_slots(runners, model, used_bytes_by_vm, share)
        room = sum(slot.max_layers for slot in slots)
        if room >= placement.REPLICA_DOMAINS * model.layers:
            break
    held_by_vm = {
        a.vm: _range_of(a)
        for a in previous.assignments
        if (a.model, a.version) == version.key
    }
    limits = link_limits(declared, model)
    empty = Placed({}, flow.Flow(0.0, {}), -1.0)
    tried = (
        _score(slots, grid, held, model, limits, held_by_vm)
        for grid, held in _candidates(slots, model.layers, held_by_vm)
    )
    return max(itertools.chain([empty], tried), key=lambda p: p.score)


def _candidates(
    slots: Sequence[placement.Slot],
    layers: int,
    held_by_vm: Mapping[ids.VmId, placement.Range],
) -> list[tuple[placement.Grid, Mapping[ids.VmId, placement.Range]]]:
    """Returns the grids to try, each with the ranges to start from."""
    found: list[tuple[placement.Grid, Mapping[ids.VmId, placement.Range]]] = []
    if held_by_vm:
        bounds = {0, layers}
        for held in held_by_vm.values():
            bounds |= {held.first_layer, held.end_layer}
        found.append((placement.Grid(sorted(bounds)), held_by_vm))
    for cells in _cell_counts(slots, layers):
        found.append((placement.even_grid(layers, cells), {}))
    return found


def _cell_counts(slots: Sequence[placement.Slot], layers: int) -> list[int]:
    sizes = sorted({slot.max_layers for slot in slots}, reverse=True)
    needed = [-(-layers // size) for size in sizes]
    counts: dict[int, None] = {}
    for count in needed:
        for cells in (count, 2 * count, 3 * count):
            if cells <= layers:
                counts[cells] = None
    return sorted(counts)[:MAX_GRIDS]


def _score(
    slots: Sequence[placement.Slot],
    grid: placement.Grid,
    start: Mapping[ids.VmId, placement.Range],
    model: declaration.Model,
    limits: flow.LinkLimits,
    held_by_vm: Mapping[ids.VmId, placement.Range],
) -> Placed:
    range_by_vm = placement.place(slots, grid, start)
    holders = [
        flow.Holder(
            slot.vm,
            slot.failure_domain,
            slot.rate,
            range_by_vm[slot.vm].first_layer,
            range_by_vm[slot.vm].end_layer,
        )
        for slot in slots
        if slot.vm in range_by_vm
    ]
    largest = flow.max_flow(holders, model.layers, limits)
    moved = sum(
        held.count_missing_from(held_by_vm.get(vm))
        for vm, held in range_by_vm.items()
    )
    total = sum(held.layers for held in range_by_vm.values())
    score = largest.tokens_per_second
    if held_by_vm:
        score *= 1 - MOVE_WEIGHT * moved / max(1, total)
    score *= 1 - REPLICA_WEIGHT * (1 - _replica_share(holders, model.layers))
    score *= 1 - HOP_WEIGHT * min(100, grid.cells)
    return Placed(range_by_vm, largest, score)


def _replica_share(holders: Sequence[flow.Holder], layers: int) -> float:
    """Returns the share of layers held in several failure domains."""
    domains: list[set[ids.FailureDomain]] = [set() for _ in range(layers)]
    for holder in holders:
        for layer in range(holder.first_layer, holder.end_layer):
            domains[layer].add(holder.failure_domain)
    held = sum(len(d) >= placement.REPLICA_DOMAINS for d in domains)
    return held / layers


def link_limits(
    declared: declaration.Declaration, model: declaration.Model
) -> dict[tuple[ids.FailureDomain, ids.FailureDomain], float]:
    """Returns what the links carry of a model's hidden states."""
    limits = {}
    for link in declared.links:
        limit = link.bytes_per_second / model.hidden_bytes
        first, second = link.between
        limits[first, second] = limit
        limits[second, first] = limit
    return limits


def _make_links(
    versions: Sequence[ModelVersion], declared: declaration.Declaration
) -> tuple[plan.LinkLimit, ...]:
    latency_by_pair = {}
    for link in declared.links:
        first, second = link.between
        latency_by_pair[first, second] = link.latency_seconds
        latency_by_pair[second, first] = link.latency_seconds
    model_by_id = {v.model.id: v.model for v in versions}
    return tuple(
        plan.LinkLimit(name, *pair, limit, latency_by_pair[pair])
        for name, model in sorted(model_by_id.items())
        for pair, limit in sorted(link_limits(declared, model).items())
    )


def _make_assignments(
    runners: Sequence[Runner], version: ModelVersion, placed: Placed
) -> list[plan.Assignment]:
    runner_by_vm = {runner.vm: runner for runner in runners}
    assignments = []
    for vm, held in placed.range_by_vm.items():
        inflow = placed.flow.inflow_by_vm.get(vm, {})
        smallest = NEGLIGIBLE_SHARE * placed.flow.tokens_per_second
        entries = tuple(
            plan.Entry(layer, amount)
            for layer, amount in sorted(inflow.items())
            if amount > smallest
        )
        assignments.append(
            plan.Assignment(
                vm,
                version.model.id,
                version.version,
                held.first_layer,
                held.end_layer,
                sum(entry.tokens_per_second for entry in entries),
                entries,
                runner_by_vm[vm].failure_domain,
                runner_by_vm[vm].backend_class,
            )
        )
    return assignments


def _range_of(assignment: plan.Assignment) -> placement.Range:
    return placement.Range(assignment.first_layer, assignment.end_layer)
