"""Computes the Retry-After value of refused requests."""

from nutmeglift import errors
from nutmeglift_gateway import board as boards

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
