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

MAX_COST_RATIO = 3.0
"""Multiple of the cheapest path's cost up to which another one is used. A
stream that waits for its turn on the cheapest one loses more."""


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
    limit = MAX_COST_RATIO * min(p.cost for p in path_by_domain.values())
    home_path = path_by_domain.get(requirements.home)
    if home_path is not None and home_path.cost <= limit:
        return home_path
    candidates = [
        path_by_domain[domain]
        for domain in sorted(path_by_domain)
        if path_by_domain[domain].cost <= limit
    ]
    weights = [1.0 / path.cost for path in candidates]
    return rng.choices(candidates, weights)[0]
