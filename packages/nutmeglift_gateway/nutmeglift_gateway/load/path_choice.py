"""Chooses a path by what a request's route asks for.

Where the requests of a service differ in urgency, those that can wait leave
fast paths to those that can't.
"""

from collections.abc import Sequence
import dataclasses

from nutmeglift_gateway import board as boards
from nutmeglift_gateway import directory
from nutmeglift_gateway import paths
from nutmeglift_gateway.load import first_event
from nutmeglift_gateway.load import objectives as objective_sets
from nutmeglift_gateway.load import room

MARGIN_RATIO = 2.0
"""Part of the time left that a forecast may take up: one measured first event
in ten takes twice its forecast."""
SLOW_PATH_PREFERENCE = 2.0
"""Exponent of a path's idle time by which the costs of paths are divided for
the most tolerant requests. Above 1, these prefer a slow path to a fast one that
is used as much."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    path: paths.Path
    cost: float
    forecast: first_event.Forecast


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
    forecast meets the objective: the cheapest one for the most urgent requests,
    and the more slow ones are preferred the more a request tolerates. If none
    meets it, it is the path with the earliest first event, which may pass from
    one failure domain to another.

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
    tolerance = objectives.tolerance(urgency)
    found = finder.find_by_domain(servers, requirements)
    if not found:
        return finder.find(servers, requirements)
    if tolerance > 0:
        found += finder.find_slower(servers, requirements, found)
    candidates = [_make_candidate(finder, requirements, path) for path in found]
    remaining = urgency.remaining(now)
    meeting = [
        each
        for each in candidates
        if _meets(each.forecast, remaining, objectives)
    ]
    if meeting:
        exponent = SLOW_PATH_PREFERENCE * tolerance
        return min(
            meeting,
            key=lambda each: (
                each.cost / finder.idle_seconds(each.path) ** exponent
            ),
        ).path
    candidates += [
        _make_candidate(finder, requirements, path)
        for path in finder.find_earliest(servers, requirements)
        if board.link_budget.has_room(now, path, board.routers)
    ]
    return min(
        candidates, key=lambda each: each.forecast.first_event_seconds
    ).path


def _make_candidate(
    finder: paths.PathFinder,
    requirements: paths.PathRequirements,
    path: paths.Path,
) -> _Candidate:
    cost = path.cost
    if path.first.domain != requirements.home:
        cost *= paths.REMOTE_DOMAIN_COST_RATIO
    return _Candidate(
        path,
        cost,
        first_event.forecast(
            finder.engine, finder.costs, path, requirements.prompt_tokens
        ),
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
        and forecast.event_seconds * MARGIN_RATIO <= objectives.shortest_gap
    )
