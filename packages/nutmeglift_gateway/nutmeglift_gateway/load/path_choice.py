"""Chooses a path by what a request's route asks for.

Where the requests of a service differ in urgency, those that can wait leave
fast paths to those that can't.
"""

from collections.abc import Sequence
import math

from nutmeglift import ids
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import directory
from nutmeglift_gateway import paths
from nutmeglift_gateway.load import first_event
from nutmeglift_gateway.load import objectives as objective_sets
from nutmeglift_gateway.load import room

MARGIN_RATIO = 2.0
"""Part of the time left that a forecast may take up: one measured first event
in ten takes twice its forecast."""
CONTENDED_RATIO = 0.5
"""Part of the shortest objective that the first event on a path may take before
requests that tolerate more leave it. Slow paths hold memory for longer."""
MAX_DOMAINS = 3
"""Failure domains among which a path is chosen. More would take processor time
in deployments of many, whose load changes between two requests."""
MIN_IDLE_SECONDS = 1e-9
"""Greater than zero, for engines whose steps are configured to take no time."""


def make_requirements(
    board: boards.Board, request: room.RoomRequest
) -> paths.PathRequirements:
    """Returns the requirements of a request on its path.

    Args:
        board: the router's shared state.
        request: what the request needs.
    """
    objectives = None
    if board.catalog is not None:
        objectives = board.catalog.objectives_by_service.get(request.service)
    return paths.PathRequirements(
        board.home,
        request.held_tokens,
        prompt_tokens=request.prompt_tokens,
        urgency=request.urgency,
        objectives=objectives,
    )


def find_path(
    board: boards.Board,
    finder: paths.PathFinder,
    servers: Sequence[directory.Server],
    requirements: paths.PathRequirements,
    now: float,
) -> paths.Path | None:
    """Returns the path for a request, or None if there is none.

    Without an urgency, it is the cheapest path. With one, it is a path whose
    forecast meets the objective: the cheapest one, unless more urgent requests
    need that; then the more slow ones are preferred the more a request
    tolerates. If none meets it, it is the cheapest one, or for the most urgent
    requests the one with the earliest first event, which may pass from one
    failure domain to another.

    Args:
        board: the router's shared state.
        finder: finds paths for the current load.
        servers: the runners that may be used.
        requirements: requirements of the request.
        now: loop time in seconds.
    """
    if not requirements.by_objective:
        return finder.find(servers, requirements)
    urgency, objectives = requirements.urgency, requirements.objectives
    assert urgency is not None
    assert objectives is not None
    found = finder.find_by_domain(servers, requirements, MAX_DOMAINS)
    if not found:
        return finder.find(servers, requirements)
    domains = {path.first.domain for path in found}
    found.sort(key=lambda path: _preference(path, requirements.home, 0.0))
    cheapest = found[0]
    tolerance = objectives.tolerance(urgency)
    if tolerance > 0 and _is_contended(finder, requirements, cheapest):
        found.sort(
            key=lambda path: _preference(path, requirements.home, tolerance)
        )
    remaining = urgency.remaining(now)
    candidates = []
    for path in found:
        forecast = _forecast(finder, requirements, path)
        if _meets(forecast, remaining, objectives):
            return path
        candidates.append((forecast.first_event_seconds, path))
    if tolerance > 0:
        return cheapest
    earliest = finder.find_earliest(
        [server for server in servers if server.domain in domains], requirements
    )
    if earliest is not None and board.link_budget.has_room(
        now, earliest, board.routers
    ):
        forecast = _forecast(finder, requirements, earliest)
        candidates.append((forecast.first_event_seconds, earliest))
    return min(candidates, key=lambda candidate: candidate[0])[1]


def _preference(
    path: paths.Path, home: ids.FailureDomain, tolerance: float
) -> float:
    """Returns the cost by which paths that meet an objective are compared.

    For the most tolerant requests a path's speed doesn't count, only how much
    slower it is than when it is idle.
    """
    cost = path.cost
    if path.first.domain != home:
        cost *= paths.REMOTE_DOMAIN_COST_RATIO
    return cost / math.pow(max(path.idle_seconds, MIN_IDLE_SECONDS), tolerance)


def _is_contended(
    finder: paths.PathFinder,
    requirements: paths.PathRequirements,
    cheapest: paths.Path,
) -> bool:
    """Returns whether the most urgent requests need the cheapest path.

    They do if an equal request that is sent there next would take more than a
    part of the shortest objective.
    """
    objectives = requirements.objectives
    assert objectives is not None
    # The request's own prompt is ahead of the next one.
    following = first_event.forecast(
        finder.engine, finder.costs, cheapest, 2 * requirements.prompt_tokens
    )
    limit = CONTENDED_RATIO * objectives.shortest
    return following.first_event_seconds > limit


def _forecast(
    finder: paths.PathFinder,
    requirements: paths.PathRequirements,
    path: paths.Path,
) -> first_event.Forecast:
    return first_event.forecast(
        finder.engine, finder.costs, path, requirements.prompt_tokens
    )


def _meets(
    forecast: first_event.Forecast,
    remaining: float,
    objectives: objective_sets.Objectives,
) -> bool:
    """Returns whether a path serves a request in time.

    The request also slows the streams that run there, of any route.
    """
    return (
        forecast.first_event_seconds * MARGIN_RATIO <= remaining
        and forecast.event_seconds <= objectives.shortest_gap
    )
