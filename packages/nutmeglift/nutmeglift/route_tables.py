"""What routing looks up for a decision, made once for each plan."""

from collections.abc import Callable
import dataclasses

from nutmeglift import ids
from nutmeglift import loads
from nutmeglift import plan

LIMITING_LINK_MAX_RATIO = 4.0
"""Links that carry more than this multiple of a runner's flow never limit."""
LINK_COST_WEIGHT = 2.0
"""A link's load compares with the sum of a runner's and an entry's."""
MIN_PLANNED_TOKENS_PER_SECOND = 1e-3
MAX_SAMPLED_RUNNER_COUNT = 4
"""Runners that are compared for one stage."""


class RunnerState:
    """One runner, shared by the tables of all model versions.

    Attributes:
        vm: its VM.
        number: its number in the prefix index.
        failure_domain: where it runs.
        load: work in flight there.
        planned: its planned flow, in tokens a second.
        cost: requests in flight there over its planned flow and its trust.
        distrust: one over its trust.
        usable: false after it could not be found, until the next refresh.
        joining: whether it has yet to take its first work.
        joined_at: when it began to take work; None for long ago.
        incarnation: the agent's incarnation that was last found.
        sent_by_domain: own requests that it hands on, by failure domain.
        limit_by_domain: what tight links carry, in tokens a second.
        link_cost_by_domain: requests in flight on a tight link over that.
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
        """Sets the part of its planned flow that it should get."""
        self.inverse_weight = 1.0 / weight
        self.update_cost()

    def update_cost(self) -> None:
        """Computes the cost after a change of load, plan or trust."""
        requests = self.load.own + self.load.others + 1.0
        self.cost = requests * self.inverse_weight / self.planned

    def note_forwarded(self, domain: ids.FailureDomain, by: int) -> None:
        """Notes own requests handed on to a failure domain, or ended."""
        sent = max(0, self.forwarded_by_domain.get(domain, 0) + by)
        self.forwarded_by_domain[domain] = sent
        self._update_link_cost(domain)

    def set_link_limits(self, limits: dict[ids.FailureDomain, float]) -> None:
        """Sets what tight links carry, in tokens a second."""
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
    """A runner entered at one layer.

    Attributes:
        state: the runner.
        first_layer: the layer.
        end_layer: one past the last layer that it runs.
        own: this router's requests in flight through here.
        cost: those over the planned flow.
    """

    __slots__ = (
        "cost",
        "end_layer",
        "first_layer",
        "own",
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
        self.own = 0
        self.cost = 0.0
        self.change_in_flight(0)

    def change_in_flight(self, by: int) -> None:
        """Notes own requests that come in here, or ended."""
        self.own = max(0, self.own + by)
        self.cost = (self.own + 1.0) / self.planned


@dataclasses.dataclass
class LayerTable:
    """The runners that a request can go to at one layer.

    Attributes:
        planned: those with planned flow here.
        ring: the planned ones, and the first of them again at the end, so
            that every sample is a slice.
        all: every runner whose range holds the layer.
        runners: bits of the planned runners' numbers.
        candidate_by_number: the planned ones by the runner's number.
    """

    planned: list[Candidate] = dataclasses.field(default_factory=list)
    ring: list[Candidate] = dataclasses.field(default_factory=list)
    all: list[Candidate] = dataclasses.field(default_factory=list)
    runners: int = 0
    candidate_by_number: dict[int, Candidate] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass
class VersionTable:
    """The tables of one model version.

    Attributes:
        layers: number of layers.
        table_by_layer: where a request can be handed on.
        candidate_by_entry: every candidate by VM and layer.
    """

    layers: int
    table_by_layer: dict[int, LayerTable]
    candidate_by_entry: dict[tuple[ids.VmId, int], Candidate]


def make_tables(
    new_plan: plan.Plan, find_state: Callable[[ids.VmId], RunnerState]
) -> dict[plan.VersionKey, VersionTable]:
    """Returns the tables of every model version in a plan.

    Args:
        new_plan: the plan.
        find_state: returns a runner's state.
    """
    assignments_by_key: dict[plan.VersionKey, list[plan.Assignment]] = {}
    for assignment in new_plan.assignments:
        key = (assignment.model, assignment.version)
        assignments_by_key.setdefault(key, []).append(assignment)
    _set_runners(new_plan, find_state)
    return {
        key: _make_table(
            assignments, new_plan.layers_by_model.get(key[0], 0), find_state
        )
        for key, assignments in assignments_by_key.items()
    }


def _set_runners(
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


def _make_table(
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
                _add(table.table_by_layer[layer], candidate, has_flow)
    for at_layer in table.table_by_layer.values():
        planned = at_layer.planned
        at_layer.ring = planned + planned[:MAX_SAMPLED_RUNNER_COUNT]
    return table


def _add(table: LayerTable, candidate: Candidate, planned: bool) -> None:
    table.all.append(candidate)
    if planned:
        table.planned.append(candidate)
        table.runners |= 1 << candidate.state.number
        table.candidate_by_number[candidate.state.number] = candidate


def ranges_by_vm(
    of_plan: plan.Plan,
) -> dict[ids.VmId, set[tuple[ids.ModelId, ids.VersionId, int, int]]]:
    """Returns what each runner holds."""
    found: dict[ids.VmId, set[tuple[ids.ModelId, ids.VersionId, int, int]]] = {}
    for a in of_plan.assignments:
        held = (a.model, a.version, a.first_layer, a.end_layer)
        found.setdefault(a.vm, set()).add(held)
    return found


def carry_over_in_flight(
    old: dict[plan.VersionKey, VersionTable],
    new: dict[plan.VersionKey, VersionTable],
) -> None:
    """Takes the requests in flight from the tables of an older plan."""
    for key, table in new.items():
        if key not in old:
            continue
        for entry, before in old[key].candidate_by_entry.items():
            candidate = table.candidate_by_entry.get(entry)
            if candidate is not None:
                candidate.change_in_flight(before.own)
