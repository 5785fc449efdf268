"""Chooses the paths of streams that have to be resumed elsewhere.

Load: when a runner is lost, all routers resume their streams within the same
tenth of a second, before they can hear of each other's choices. If each took
the cheapest path, all prompts would be processed by the same few runners, one
after the other, while other failure domains are idle.
"""

from collections.abc import Sequence
import random

from nutmeglift_gateway import directory
from nutmeglift_gateway import paths
from nutmeglift_gateway.load import first_event

MAX_COST_RATIO = 3.0
"""Multiple of the cheapest path's cost up to which another one is used. A
stream that waits for its turn on the cheapest one loses more. Where requests
differ in their objectives, the time to the first event is the cost."""


def find_path(
    finder: paths.PathFinder,
    servers: Sequence[directory.Server],
    requirements: paths.PathRequirements,
    rng: random.Random,
) -> paths.Path | None:
    """Returns a path for a successor, or None if there is none.

    A path in the home domain is preferred: the streams that it has to serve ran
    there before. Otherwise the streams are spread over the other domains, each
    with a probability inversely proportional to its cost.

    Args:
        finder: finds paths for the current load.
        servers: the runners that may be used.
        requirements: requirements of the request.
        rng: random number generator.
    """
    path_by_domain = {
        path.first.domain: path
        for path in finder.find_by_domain(servers, requirements)
    }
    if not path_by_domain:
        return finder.find(servers, requirements)
    cost_by_domain = {
        domain: _cost(finder, requirements, path)
        for domain, path in path_by_domain.items()
    }
    limit = MAX_COST_RATIO * min(cost_by_domain.values())
    if cost_by_domain.get(requirements.home, float("inf")) <= limit:
        return path_by_domain[requirements.home]
    domains = sorted(d for d, cost in cost_by_domain.items() if cost <= limit)
    weights = [1.0 / cost_by_domain[domain] for domain in domains]
    return path_by_domain[rng.choices(domains, weights)[0]]


def _cost(
    finder: paths.PathFinder,
    requirements: paths.PathRequirements,
    path: paths.Path,
) -> float:
    if not requirements.by_objective:
        return path.cost
    return first_event.forecast(
        finder.engine, finder.costs, path, requirements.prompt_tokens
    ).first_event_seconds
