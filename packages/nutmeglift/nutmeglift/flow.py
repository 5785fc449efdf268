"""Maximum flow of tokens through a placement, as a linear program."""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

import numpy as np
from scipy import optimize
from scipy import sparse

from nutmeglift import ids

LinkLimits = Mapping[tuple[ids.FailureDomain, ids.FailureDomain], float]
"""Positions per second of one runner by (source, target) failure domain."""

UTILISATION_STEP_RATIOS = (0.5, 0.25, 0.15, 0.1)
"""Segments of a runner's capacity, as fractions; each costs more to use."""
UTILISATION_STEP_COST = 0.02
ANY_DOMAIN = ids.FailureDomain("")


@dataclasses.dataclass(frozen=True)
class RangeHolder:
    """A runner that holds a range of layers.

    Attributes:
        vm: the runner's VM.
        failure_domain: the VM's failure domain.
        layer_positions_per_second: speed, in layers times positions per
            second.
        first_layer: first layer that it holds.
        end_layer: one past the last layer that it holds.
    """

    vm: ids.VmId
    failure_domain: ids.FailureDomain
    layer_positions_per_second: float
    first_layer: int
    end_layer: int


@dataclasses.dataclass(frozen=True)
class Flow:
    """A maximum flow.

    Attributes:
        tokens_per_second: total flow.
        inflow_by_vm: for each runner, the flow by the layer at which it
            enters.
    """

    tokens_per_second: float
    inflow_by_vm: Mapping[ids.VmId, Mapping[int, float]]

    @property
    def mean_stages(self) -> float:
        """Average number of runners that a token passes through."""
        if self.tokens_per_second <= 0:
            return 0.0
        entered = sum(sum(i.values()) for i in self.inflow_by_vm.values())
        return entered / self.tokens_per_second


@dataclasses.dataclass(frozen=True)
class _Group:
    """Runners that are equivalent in the linear program."""

    failure_domain: ids.FailureDomain
    rate: float
    first_layer: int
    end_layer: int
    vms: tuple[ids.VmId, ...]


class _Program:
    """Builder of the linear program: its rows, columns and bounds."""

    def __init__(self) -> None:
        self.costs: list[float] = []
        self.upper: list[float] = []
        self._entries: list[tuple[int, int, float]] = []
        self._limits: list[tuple[float, float]] = []

    def add_variable(self, cost: float = 0.0, upper: float = np.inf) -> int:
        """Adds a variable between 0 and an upper bound; returns its column."""
        self.costs.append(cost)
        self.upper.append(upper)
        return len(self.costs) - 1

    def add_row(self, terms: list[tuple[int, float]]) -> None:
        """Adds the constraint that the sum of the terms is zero."""
        row = len(self._limits)
        self._limits.append((0.0, 0.0))
        self._entries += [(row, column, factor) for column, factor in terms]

    def solve(self) -> np.ndarray | None:
        """Returns the variables' values, or None if there is no solution."""
        rows, columns, factors = zip(*self._entries, strict=True)
        shape = (len(self._limits), len(self.costs))
        matrix = sparse.csr_array((factors, (rows, columns)), shape=shape)
        solved = optimize.linprog(
            self.costs,
            A_eq=matrix,
            b_eq=np.zeros(shape[0]),
            bounds=np.column_stack([np.zeros(shape[1]), self.upper]),
            method="highs",
        )
        return solved.x if solved.success else None


def max_flow(
    holders: Sequence[RangeHolder], layers: int, link_limits: LinkLimits
) -> Flow:
    """Returns the maximum flow through all layers, from first to last.

    A token may enter a runner at any layer of the runner's range at which
    another runner's range ends, and leaves the runner at the end of the
    range.

    Args:
        holders: the runners.
        layers: number of layers of the model.
        link_limits: capacity of the links; a missing pair is unlimited.
    """
    if not _covers(holders, layers):
        return Flow(0.0, {})
    groups = _make_groups(holders, link_limits)
    program = _Program()
    inflows = _add_inflows(program, groups)
    outflows = _add_outflows(program, groups, layers, link_limits)
    _add_capacities(program, groups, inflows, layers)
    _add_conservation(program, groups, inflows, outflows)
    values = program.solve()
    if values is None:
        return Flow(0.0, {})
    return _read_flow(groups, inflows, values)


def throughput_upper_bound(
    rates: Sequence[float],
    max_layers: Sequence[int],
    layers: int,
    tokens_per_second_of_link: float = np.inf,
) -> float:
    """Returns an upper bound on the flow of any placement on the runners.

    Args:
        rates: speed of each runner, in layers times positions per second.
        max_layers: maximum number of layers that fit in each runner's memory.
        layers: number of layers of the model.
        tokens_per_second_of_link: capacity of a runner's fastest link.
    """
    if sum(max_layers) < layers:
        return 0.0
    usable = (
        min(rate, most * tokens_per_second_of_link)
        for rate, most in zip(rates, max_layers, strict=True)
        if most > 0
    )
    return sum(usable) / layers


def _covers(holders: Sequence[RangeHolder], layers: int) -> bool:
    reached = 0
    for holder in sorted(holders, key=lambda h: h.first_layer):
        if holder.first_layer <= reached:
            reached = max(reached, holder.end_layer)
    return reached >= layers


def _make_groups(
    holders: Sequence[RangeHolder], link_limits: LinkLimits
) -> list[_Group]:
    vms_by_key: dict[
        tuple[ids.FailureDomain, float, int, int], list[ids.VmId]
    ] = collections.defaultdict(list)
    for holder in holders:
        domain = holder.failure_domain if link_limits else ANY_DOMAIN
        key = (
            domain,
            holder.layer_positions_per_second,
            holder.first_layer,
            holder.end_layer,
        )
        vms_by_key[key].append(holder.vm)
    return [_Group(*key, tuple(vms)) for key, vms in sorted(vms_by_key.items())]


_Inflows = dict[tuple[int, int, ids.FailureDomain], int]
"""Column by (group, layer, failure domain of the sender)."""
_Outflows = dict[tuple[int, ids.FailureDomain], int]
"""Column by (group, failure domain of the receiver)."""


def _add_inflows(program: _Program, groups: list[_Group]) -> _Inflows:
    senders = {(g.end_layer, g.failure_domain) for g in groups}
    senders.add((0, ANY_DOMAIN))
    columns: _Inflows = {}
    for index, group in enumerate(groups):
        for layer, domain in sorted(senders):
            if group.first_layer <= layer < group.end_layer:
                cost = -1.0 if layer == 0 else 0.0
                columns[index, layer, domain] = program.add_variable(cost)
    return columns


def _add_outflows(
    program: _Program,
    groups: list[_Group],
    layers: int,
    link_limits: LinkLimits,
) -> _Outflows:
    domains = sorted({g.failure_domain for g in groups})
    columns: _Outflows = {}
    for index, group in enumerate(groups):
        if group.end_layer >= layers:
            continue
        for domain in domains:
            limit = link_limits.get((group.failure_domain, domain), np.inf)
            columns[index, domain] = program.add_variable(
                upper=limit * len(group.vms)
            )
    return columns


def _add_capacities(
    program: _Program, groups: list[_Group], inflows: _Inflows, layers: int
) -> None:
    work: dict[int, list[tuple[int, float]]] = collections.defaultdict(list)
    for (index, layer, _), column in inflows.items():
        work[index].append((column, float(groups[index].end_layer - layer)))
    for index, group in enumerate(groups):
        capacity = group.rate * len(group.vms)
        terms = work[index]
        for step, part in enumerate(UTILISATION_STEP_RATIOS):
            cost = UTILISATION_STEP_COST * step / layers
            used = program.add_variable(cost, part * capacity)
            terms.append((used, -1.0))
        program.add_row(terms)


def _add_conservation(
    program: _Program,
    groups: list[_Group],
    inflows: _Inflows,
    outflows: _Outflows,
) -> None:
    through: dict[int, list[tuple[int, float]]] = collections.defaultdict(list)
    crossing: dict[
        tuple[int, ids.FailureDomain, ids.FailureDomain],
        list[tuple[int, float]],
    ] = collections.defaultdict(list)
    for (index, layer, source), column in inflows.items():
        group = groups[index]
        through[index].append((column, 1.0))
        if layer > 0:
            key = (layer, source, group.failure_domain)
            crossing[key].append((column, 1.0))
    senders = set()
    for (index, target), column in outflows.items():
        group = groups[index]
        senders.add(index)
        through[index].append((column, -1.0))
        key = (group.end_layer, group.failure_domain, target)
        crossing[key].append((column, -1.0))
    for index in sorted(senders):
        program.add_row(through[index])
    for terms in crossing.values():
        program.add_row(terms)


def _read_flow(
    groups: list[_Group], inflows: _Inflows, values: np.ndarray
) -> Flow:
    total = 0.0
    inflow_by_vm: dict[ids.VmId, dict[int, float]] = {}
    for (index, layer, _), column in inflows.items():
        flow = float(values[column])
        if layer == 0:
            total += flow
        vms = groups[index].vms
        for vm in vms:
            inflow = inflow_by_vm.setdefault(vm, {})
            inflow[layer] = inflow.get(layer, 0.0) + flow / len(vms)
    return Flow(total, inflow_by_vm)
