"""Repairs the path of a running request that has lost runners."""

from collections.abc import Iterable

from nutmeglift_gateway import directory
from nutmeglift_gateway import path_search
from nutmeglift_gateway import paths


class UsableRunners:
    """Runners that may be used, and the layers that they hold.

    Attributes:
        by_id: the runners by id.
    """

    def __init__(self, servers: Iterable[directory.Server]) -> None:
        self.by_id = {server.id: server for server in servers}

    def holds(self, part: paths.Part) -> bool:
        """Returns whether a part's runner is usable and holds its layers."""
        server = self.by_id.get(part.server.id)
        if server is None or server.lifetime != part.server.lifetime:
            return False
        return (
            server.layers.start <= part.start and part.end <= server.layers.end
        )


def repair(
    finder: paths.PathFinder,
    path: paths.Path,
    servers: Iterable[directory.Server],
    requirements: paths.PathRequirements,
) -> paths.Path | None:
    """Returns a path with the same first part that avoids lost runners.

    Each part whose runner is lost, or no longer holds the layers, is
    replaced by a chain of runners that are not on the path yet. All other
    parts are unchanged and so keep their KV caches.

    Args:
        finder: finds paths for the current load.
        path: the path of a running request.
        servers: the runners that may be used.
        requirements: requirements of the request.

    Returns:
        The new path, or None if there is none.
    """
    runners = UsableRunners(servers)
    if path.first.id not in runners.by_id:
        return None
    on_path = {part.server.id for part in path.parts}
    candidates = [
        server
        for server in runners.by_id.values()
        if server.id not in on_path
        and server.layers.count
        and finder.has_room(server, requirements)
    ]
    parts: list[paths.Part] = []
    seconds = 0.0
    for part in path.parts:
        if not parts or runners.holds(part):
            parts.append(part)
            seconds += (part.end - part.start) * finder.costs.layer_seconds(
                part.server
            )
            continue
        segment = path_search.Segment(
            part.start, part.end, parts[-1].server.domain
        )
        chain = finder.find_chain(candidates, segment)
        if chain is None:
            return None
        used_ids = {each.server.id for each in chain.parts}
        candidates = [
            server for server in candidates if server.id not in used_ids
        ]
        parts += chain.parts
        seconds += chain.step_seconds
    if len(parts) > path_search.MAX_PART_COUNT:
        return None
    return paths.Path(tuple(parts), seconds)
