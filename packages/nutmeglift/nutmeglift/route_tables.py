"""Lookup tables for routing decisions, built once for each plan."""

from collections.abc import Callable
import dataclasses

from nutmeglift import ids
from nutmeglift import loads
from nutmeglift import plan

LIMITING_LINK_MAX_RATIO = 4.0
"""A link limits only up to this multiple of a runner's planned flow."""
LINK_COST_WEIGHT = 2.0
"""A link's cost is compared with the sum of a runner's and a candidate's."""
MIN_PLANNED_TOKENS_PER_SECOND = 1e-3
MAX_SAMPLED_RUNNER_COUNT = 4
"""Runners that are compared for one stage, besides a cache holder."""


class RunnerState:
    """Routing state of one runner, shared by the tables of all versions.

    Attributes:
        vm: the runner's VM.
        number: the runner's number in the prefix index.
        failure_domain: the VM's failure domain.
        load: estimate of the work in flight on the runner.
        planned: planned flow, in tokens per second.
        cost: requests in flight divided by the planned flow and the weight.
        inverse_weight: reciprocal of the runner's weight.
        usable: False from a failed lookup of the runner until the next
            refresh.
        awaits_slow_start: whether the slow start has yet to begin.
        slow_start_began_at: clock time at which the slow start began; None
            when it has ended or there was none.
        incarnation: incarnation of the agent at the last lookup.
        forwarded_by_domain: this router's requests in flight that the
            runner forwards, by failure domain of the receiver.
        link_limit_by_domain: capacity of the limiting links, in tokens per
            second, by failure domain of the receiver.
        link_cost_by_domain: requests in flight on each limiting link
            divided by its capacity, times LINK_COST_WEIGHT.
    """

    __slots__ = (
        "awaits_slow_start",
        "cost",
        "failure_domain",
        "forwarded_by_domain",
        "incarnation",
        "inverse_weight",
        "link_cost_by_domain",
        "link_limit_by_domain",
        "load",
        "number",
        "planned",
        "slow_start_began_at",
        "usable",
        "vm",
    )

    def __init__(self, vm: ids.VmId, number: int) -> None:
        self.vm = vm
        self.number = number
        self.failure_domain = ids.FailureDomain("")
        self.load = loads.RunnerLoad()
        self.planned = MIN_PLANNED_TOKENS_PER_SECOND
        self.cost = 1.0
        self.inverse_weight = 1.0
        self.usable = True
        self.awaits_slow_start = False
        self.slow_start_began_at: float | None = None
        self.incarnation: ids.Incarnation | None = None
        self.forwarded_by_domain: dict[ids.FailureDomain, int] = {}
        self.link_limit_by_domain: dict[ids.FailureDomain, float] = {}
        self.link_cost_by_domain: dict[ids.FailureDomain, float] = {}

    def set_weight(self, weight: float) -> None:
        """Sets the fraction of its planned flow that the runner receives."""
        self.inverse_weight = 1.0 / weight
        self.update_cost()

    def update_cost(self) -> None:
        """Recomputes the cost after a change of load, plan or weight."""
        requests = self.load.own + self.load.others + 1.0
        self.cost = requests * self.inverse_weight / self.planned

    def record_forwarded(self, domain: ids.FailureDomain, by: int) -> None:
        """Records a change in the requests forwarded to a failure domain."""
        sent = max(0, self.forwarded_by_domain.get(domain, 0) + by)
        self.forwarded_by_domain[domain] = sent
        self._update_link_cost(domain)

    def set_link_limits(self, limits: dict[ids.FailureDomain, float]) -> None:
        """Sets the capacity of the limiting links, in tokens per second."""
        self.link_limit_by_domain = limits
        self.link_cost_by_domain = {}
        for domain in limits:
            self._update_link_cost(domain)

    def _update_link_cost(self, domain: ids.FailureDomain) -> None:
        limit = self.link_limit_by_domain.get(domain)
        if limit is not None:
            sent = self.forwarded_by_domain.get(domain, 0)
            self.link_cost_by_domain[domain] = (
                LINK_COST_WEIGHT * (sent + 1) / limit
            )


class Candidate:
    """A runner that can be entered at a given layer.

    Attributes:
        state: the runner's routing state.
        first_layer: the layer at which requests enter.
        end_layer: one past the last layer that the runner executes.
        planned: planned flow that enters here, in tokens per second.
        in_flight: this router's requests in flight that entered here.
        cost: requests in flight, plus one, divided by the planned flow.
    """

    __slots__ = (
        "cost",
        "end_layer",
        "first_layer",
        "in_flight",
        "planned",
        "state",
    )

    def __init__(
        self,
        state: RunnerState,
        first_layer: int,
        end_layer: int,
        tokens_per_second: float,
    ) -> None:
        self.state = state
        self.first_layer = first_layer
        self.end_layer = end_layer
        self.planned = max(tokens_per_second, MIN_PLANNED_TOKENS_PER_SECOND)
        self.in_flight = 0
        self.cost = 0.0
        self.change_in_flight(0)

    def change_in_flight(self, by: int) -> None:
        """Records a change in this router's requests that entered here."""
        self.in_flight = max(0, self.in_flight + by)
        self.cost = (self.in_flight + 1.0) / self.planned


@dataclasses.dataclass
class LayerTable:
    """The runners that a request can go to at one layer.

    Attributes:
        planned: candidates with planned flow into this layer.
        ring: the planned candidates with the first few repeated at the end,
            so that every sample is a contiguous slice.
        all: every candidate whose range contains the layer.
        runner_bits: bit set of the planned runners' numbers.
        candidate_by_number: planned candidates by the runner's number.
    """

    planned: list[Candidate] = dataclasses.field(default_factory=list)
    ring: list[Candidate] = dataclasses.field(default_factory=list)
    all: list[Candidate] = dataclasses.field(default_factory=list)
    runner_bits: int = 0
    candidate_by_number: dict[int, Candidate] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass
class VersionTable:
    """The routing tables of one model version.

    Attributes:
        layers: number of layers.
        table_by_layer: candidates by the layer at which a request can pass
            from one runner to the next.
        candidate_by_entry: every candidate by VM and layer.
    """

    layers: int
    table_by_layer: dict[int, LayerTable]
    candidate_by_entry: dict[tuple[ids.VmId, int], Candidate]


def make_tables(
    new_plan: plan.Plan, find_state: Callable[[ids.VmId], RunnerState]
) -> dict[plan.VersionKey, VersionTable]:
    """Returns the tables of every model version in a plan.

    Also updates the runners' states to the plan.

    Args:
        new_plan: the plan.
        find_state: returns the state of the runner on a VM.
    """
    assignments_by_key: dict[plan.VersionKey, list[plan.Assignment]] = {}
    for assignment in new_plan.assignments:
        key = (assignment.model, assignment.version)
        assignments_by_key.setdefault(key, []).append(assignment)
    _update_states(new_plan, find_state)
    return {
        key: _make_version_table(
            assignments, new_plan.layers_by_model.get(key[0], 0), find_state
        )
        for key, assignments in assignments_by_key.items()
    }


def _update_states(
    new_plan: plan.Plan, find_state: Callable[[ids.VmId], RunnerState]
) -> None:
    planned_by_vm: dict[ids.VmId, float] = {}
    for assignment in new_plan.assignments:
        vm = assignment.vm
        flow = assignment.tokens_per_second
        planned_by_vm[vm] = planned_by_vm.get(vm, 0.0) + flow
    links_by_source: dict[
        tuple[ids.ModelId, ids.FailureDomain], list[plan.LinkLimit]
    ] = {}
    for link in new_plan.links:
        links_by_source.setdefault((link.model, link.source), []).append(link)
    for assignment in new_plan.assignments:
        state = find_state(assignment.vm)
        planned = planned_by_vm[assignment.vm]
        state.planned = max(planned, MIN_PLANNED_TOKENS_PER_SECOND)
        state.failure_domain = assignment.failure_domain
        state.load.layers = assignment.end_layer - assignment.first_layer
        source = (assignment.model, assignment.failure_domain)
        limits = {
            link.target: link.tokens_per_second
            for link in links_by_source.get(source, ())
            if link.tokens_per_second < LIMITING_LINK_MAX_RATIO * state.planned
        }
        state.set_link_limits(limits)
        state.update_cost()


def _make_version_table(
    assignments: list[plan.Assignment],
    layers: int,
    find_state: Callable[[ids.VmId], RunnerState],
) -> VersionTable:
    layers = max(layers, *(a.end_layer for a in assignments))
    bounds = sorted({0} | {a.end_layer for a in assignments} - {layers})
    table = VersionTable(layers, {b: LayerTable() for b in bounds}, {})
    for assignment in assignments:
        state = find_state(assignment.vm)
        flow_by_layer = {
            entry.layer: entry.tokens_per_second for entry in assignment.entries
        }
        if not flow_by_layer and assignment.tokens_per_second > 0:
            flow_by_layer = {
                assignment.first_layer: assignment.tokens_per_second
            }
        for layer in bounds:
            if assignment.first_layer <= layer < assignment.end_layer:
                candidate = Candidate(
                    state,
                    layer,
                    assignment.end_layer,
                    flow_by_layer.get(layer, 0.0),
                )
                table.candidate_by_entry[assignment.vm, layer] = candidate
                has_flow = layer in flow_by_layer
                _add_candidate(table.table_by_layer[layer], candidate, has_flow)
    for layer_table in table.table_by_layer.values():
        planned = layer_table.planned
        layer_table.ring = planned + planned[:MAX_SAMPLED_RUNNER_COUNT]
    return table


def _add_candidate(
    table: LayerTable, candidate: Candidate, planned: bool
) -> None:
    table.all.append(candidate)
    if planned:
        table.planned.append(candidate)
        table.runner_bits |= 1 << candidate.state.number
        table.candidate_by_number[candidate.state.number] = candidate


def ranges_by_vm(
    of_plan: plan.Plan,
) -> dict[ids.VmId, set[tuple[ids.ModelId, ids.VersionId, int, int]]]:
    """Returns the layer ranges that a plan assigns to each runner."""
    found: dict[ids.VmId, set[tuple[ids.ModelId, ids.VersionId, int, int]]] = {}
    for a in of_plan.assignments:
        held = (a.model, a.version, a.first_layer, a.end_layer)
        found.setdefault(a.vm, set()).add(held)
    return found


def carry_over_in_flight(
    old: dict[plan.VersionKey, VersionTable],
    new: dict[plan.VersionKey, VersionTable],
) -> None:
    """Copies the counts of requests in flight from the old plan's tables."""
    for key, table in new.items():
        if key not in old:
            continue
        for entry, before in old[key].candidate_by_entry.items():
            candidate = table.candidate_by_entry.get(entry)
            if candidate is not None:
                candidate.change_in_flight(before.in_flight)
