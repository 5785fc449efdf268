"""Computes the Retry-After value of refused requests."""

import random

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory

OVERLOADED_RETRY_SECONDS = 0.5
"""About the time between two streams of mean length ending on a full
runner."""
NO_BACKEND_RETRY_SECONDS = 1.0
"""Time to load the layers of a lost runner elsewhere."""
DRAIN_RETRY_SECONDS = 0.02
"""Another router accepts the request immediately."""
ANNOUNCEMENT_MARGIN_SECONDS = 0.15
"""Time until the directory entry of a runner with new layers reaches all
routers."""
RETURN_MARGIN_SECONDS = 0.15
"""Time until a server whose hold-off is over is used again."""
RETURN_SPREAD_RATIO = 0.25
"""Part of the wait over which callers return to a server that held off."""
MIN_RETURN_SPREAD_SECONDS = 0.2
"""Least such time: callers that come at the same time are turned away again."""
QUARANTINE_RETRY_SECONDS = 60.0
"""A quarantine ends at the earliest minutes after the last such request."""
MAX_RETRY_SECONDS = 5.0
"""At most a third of the time that callers have left before their deadline."""


def retry_after(
    board: boards.Board, kind: errors.ErrorKind, now: float
) -> float:
    """Returns the seconds after which a refused request may succeed.

    Args:
        board: the router's shared state.
        kind: why the request was refused.
        now: event loop time in seconds.
    """
    if kind is errors.ErrorKind.OVERLOADED:
        return OVERLOADED_RETRY_SECONDS
    if kind is errors.ErrorKind.DRAINING:
        return DRAIN_RETRY_SECONDS
    wait = board.coverage_eta - now
    if wait > 0:
        return min(wait + ANNOUNCEMENT_MARGIN_SECONDS, MAX_RETRY_SECONDS)
    return NO_BACKEND_RETRY_SECONDS


def retry_after_no_server(
    board: boards.Board,
    service: ids.ServiceId,
    now: float,
    rng: random.Random,
) -> float:
    """Returns the seconds after which a service may have a server again.

    Args:
        board: the router's shared state.
        service: the service without a usable server.
        now: event loop time in seconds.
        rng: spreads the callers over the time after servers have held off.
    """
    returns_at = _find_return(board, service)
    if returns_at is None:
        return retry_after(board, errors.ErrorKind.NO_BACKEND, now)
    wait = max(0.0, returns_at - now) + RETURN_MARGIN_SECONDS
    spread = max(wait * RETURN_SPREAD_RATIO, MIN_RETURN_SPREAD_SECONDS)
    return wait + rng.uniform(0.0, spread)


def _find_return(board: boards.Board, service: ids.ServiceId) -> float | None:
    """Returns when enough servers that hold off are back, or None.

    None means that a service lacks more than these servers, or nothing.
    """
    holding = [
        server
        for server in board.directory.of_service(service)
        if server.state is directory.ServerState.READY
        and board.hold_offs.holds_off(server.lifetime)
        and not board.suspect_servers.is_suspect(
            server.address, server.lifetime
        )
    ]
    if not holding or board.catalog is None:
        return None
    found = board.catalog.service_by_id.get(service)
    engine = found.engine if found is not None else None
    available = list(board.usable(service))
    if covers_layers(engine, available):
        return None
    ends = [
        (board.hold_offs.until(server.lifetime) or 0.0, server)
        for server in holding
    ]
    for until, server in sorted(ends, key=lambda end: end[0]):
        available.append(server)
        if covers_layers(engine, available):
            return until
    return None


def covers_layers(
    engine: catalog.Engine | None, servers: list[directory.Server]
) -> bool:
    """Returns whether servers can serve a service, whatever their load.

    Args:
        engine: parameters of its runners; None for a plain service.
        servers: the servers.
    """
    if engine is None:
        return bool(servers)
    held: set[int] = set()
    for server in servers:
        held.update(range(server.layers.start, server.layers.end))
    return len(held) >= engine.layers
