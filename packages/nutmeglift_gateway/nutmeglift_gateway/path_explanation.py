"""Explains, for the log, why no path was found."""

from collections.abc import Iterable

from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory
from nutmeglift_gateway import loads
from nutmeglift_gateway import paths


def format_path(path: paths.Path) -> str:
    """Formats a path for the log."""
    return " ".join(
        f"{part.server.address}={part.start}-{part.end}" for part in path.parts
    )


def explain(
    engine: catalog.Engine,
    load_tracker: loads.LoadTracker,
    finder: paths.PathFinder,
    servers: Iterable[directory.Server],
    requirements: paths.PathRequirements,
) -> str:
    """Returns what prevents a path.

    Args:
        engine: performance model and limits of the runners.
        load_tracker: load of the runners.
        finder: the path finder that found no path.
        servers: the runners that may be used.
        requirements: requirements of the request.
    """
    listed = list(servers)
    for start, end in _uncovered_ranges(engine, listed):
        return f"nobody holds layers {start}-{end} ({len(listed)} runners)"
    with_room = [s for s in listed if finder.has_room(s, requirements)]
    for start, end in _uncovered_ranges(engine, with_room):
        holders = ", ".join(
            _describe_load(engine, load_tracker, server)
            for server in listed
            if server.layers.start <= start < server.layers.end
        )
        return (
            f"no room on layers {start}-{end} for {requirements.tokens:.0f}"
            f" tokens: {holders}"
        )
    return "no path has room on all its layers"


def explain_by_domain(
    engine: catalog.Engine,
    load_tracker: loads.LoadTracker,
    finder: paths.PathFinder,
    servers: Iterable[directory.Server],
    requirements: paths.PathRequirements,
) -> str:
    """Returns what prevents a path within each failure domain."""
    by_domain: dict[str, list[directory.Server]] = {}
    for server in servers:
        by_domain.setdefault(server.domain, []).append(server)
    return "; ".join(
        f"{domain}: "
        f"{explain(engine, load_tracker, finder, members, requirements)}"
        for domain, members in sorted(by_domain.items())
    )


def _describe_load(
    engine: catalog.Engine,
    load_tracker: loads.LoadTracker,
    server: directory.Server,
) -> str:
    load = load_tracker.at(server.address)
    count = max(1, server.layers.count)
    room = (
        engine.token_layer_capacity(
            engine.kind(server.kind), server.layers.count
        )
        / count
    )
    return (
        f"{server.address} holds {load.token_layers / count:.0f}"
        f" of {room:.0f} in {load.requests}"
    )


def _uncovered_ranges(
    engine: catalog.Engine, servers: list[directory.Server]
) -> list[tuple[int, int]]:
    ranges = []
    next_layer = 0
    for held in sorted(
        (s.layers for s in servers if s.layers.count),
        key=lambda held: held.start,
    ):
        if held.start > next_layer:
            ranges.append((next_layer, held.start))
        next_layer = max(next_layer, held.end)
    if next_layer < engine.layers:
        ranges.append((next_layer, engine.layers))
    return ranges
