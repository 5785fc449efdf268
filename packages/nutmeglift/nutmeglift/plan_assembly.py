"""Assembly of a plan from layer ranges and their maximum flow."""

from collections.abc import Mapping
from collections.abc import Sequence

from nutmeglift import declaration
from nutmeglift import fleet
from nutmeglift import flow
from nutmeglift import ids
from nutmeglift import placement
from nutmeglift import plan

NEGLIGIBLE_FLOW_RATIO = 1e-6

RangeByVm = Mapping[ids.VmId, placement.Range]


def link_limits(
    declared: declaration.Declaration, model: declaration.Model
) -> dict[tuple[ids.FailureDomain, ids.FailureDomain], float]:
    """Returns the links' capacity for a model, in positions per second."""
    limits = {}
    for link in declared.links:
        limit = link.bytes_per_second / model.hidden_bytes
        first, second = link.between
        limits[first, second] = limit
        limits[second, first] = limit
    return limits


def make_links(
    versions: Sequence[fleet.ModelVersion], declared: declaration.Declaration
) -> tuple[plan.LinkLimit, ...]:
    """Returns the links' capacity for the hidden states of each model."""
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


def make_assignments(
    runners: Sequence[fleet.Runner],
    version: fleet.ModelVersion,
    range_by_vm: RangeByVm,
    largest: flow.Flow,
) -> list[plan.Assignment]:
    """Returns the assignments of one model version.

    Entries with a negligible part of the flow are left out.
    """
    runner_by_vm = {runner.vm: runner for runner in runners}
    assignments = []
    for vm, held in range_by_vm.items():
        inflow = largest.inflow_by_vm.get(vm, {})
        smallest = NEGLIGIBLE_FLOW_RATIO * largest.tokens_per_second
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


def make_holders(
    runners: Sequence[fleet.Runner], range_by_vm: RangeByVm
) -> list[flow.RangeHolder]:
    """Returns flow holders for the runners that hold a range."""
    return [
        flow.RangeHolder(
            runner.vm,
            runner.failure_domain,
            runner.layer_positions_per_second,
            range_by_vm[runner.vm].first_layer,
            range_by_vm[runner.vm].end_layer,
        )
        for runner in runners
        if runner.vm in range_by_vm
    ]


def assemble(
    runners: Sequence[fleet.Runner],
    declared: declaration.Declaration,
    ranges_by_version: Mapping[plan.VersionKey, RangeByVm],
    generation: int,
    fencing_number: ids.FencingNumber,
) -> plan.Plan:
    """Returns the plan with the maximum flow through given layer ranges.

    Args:
        runners: the runners that may be used.
        declared: the configuration in force.
        ranges_by_version: layer ranges that the runners already hold.
        generation: generation of the plan.
        fencing_number: fencing number of the planner's lease.
    """
    versions = fleet.routed_versions(declared)
    assignments: list[plan.Assignment] = []
    for version in versions:
        range_by_vm = ranges_by_version.get(version.key, {})
        holders = make_holders(runners, range_by_vm)
        limits = link_limits(declared, version.model)
        largest = flow.max_flow(holders, version.model.layers, limits)
        present = {holder.vm: range_by_vm[holder.vm] for holder in holders}
        assignments += make_assignments(runners, version, present, largest)
    return make_plan(
        versions, declared, assignments, generation, fencing_number
    )


def make_plan(
    versions: Sequence[fleet.ModelVersion],
    declared: declaration.Declaration,
    assignments: Sequence[plan.Assignment],
    generation: int,
    fencing_number: ids.FencingNumber,
) -> plan.Plan:
    """Returns a plan that consists of the given assignments."""
    return plan.Plan(
        generation,
        fencing_number,
        tuple(sorted(assignments, key=lambda a: (a.model, a.version, a.vm))),
        make_links(versions, declared),
        {version.model.id: version.model.layers for version in versions},
    )
