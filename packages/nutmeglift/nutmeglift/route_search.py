"""Fallback search for a pipeline when no planned pipeline is usable."""

from collections.abc import Callable
import dataclasses

from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import route_tables


@dataclasses.dataclass(frozen=True)
class AvailableRunner:
    """A runner that can receive requests now.

    Attributes:
        vm: the runner's VM.
        address: address of the runner's agent.
        incarnation: the agent's incarnation.
        failure_domain: the VM's failure domain.
    """

    vm: ids.VmId
    address: str
    incarnation: ids.Incarnation
    failure_domain: ids.FailureDomain


FindAvailableRunner = Callable[[ids.VmId], AvailableRunner | None]

FindForCandidate = Callable[[route_tables.Candidate], AvailableRunner | None]


def search(
    table: route_tables.VersionTable,
    find: FindForCandidate,
    avoid: frozenset[ids.VmId],
) -> list[messages.Stage] | None:
    """Searches all pipelines through the layers, planned or not.

    Runners of lower cost are tried first.

    Args:
        table: the runners of the model version.
        find: returns a candidate's available runner, or None when it cannot
            be used.
        avoid: VMs to use only when there is no alternative.

    Returns:
        The stages, or None when no pipeline exists.
    """
    for excluded in (avoid, frozenset[ids.VmId]()):
        found = _search_from(table, 0, find, excluded, set())
        if found is not None:
            return found
    return None


def make_stage(
    chosen: route_tables.Candidate, found: AvailableRunner
) -> messages.Stage:
    """Returns the stage of a request on a chosen runner."""
    return messages.Stage(
        found.vm,
        found.address,
        found.incarnation,
        chosen.first_layer,
        chosen.end_layer,
    )


def _search_from(
    table: route_tables.VersionTable,
    layer: int,
    find: FindForCandidate,
    excluded: frozenset[ids.VmId],
    dead_ends: set[int],
) -> list[messages.Stage] | None:
    if layer >= table.layers:
        return []
    layer_table = table.table_by_layer.get(layer)
    if layer_table is None or layer in dead_ends:
        return None
    for candidate in sorted(layer_table.all, key=_cost_of):
        if candidate.state.vm in excluded:
            continue
        found = find(candidate)
        if found is None:
            continue
        end = candidate.end_layer
        rest = _search_from(table, end, find, excluded, dead_ends)
        if rest is not None:
            return [make_stage(candidate, found), *rest]
    dead_ends.add(layer)
    return None


def _cost_of(candidate: route_tables.Candidate) -> float:
    state = candidate.state
    return state.cost + candidate.cost * state.inverse_weight
