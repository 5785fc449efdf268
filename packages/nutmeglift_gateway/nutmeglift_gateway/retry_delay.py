"""When a refused caller is told to come back."""

from nutmeglift import errors
from nutmeglift_gateway import board as boards

OVERLOADED_RETRY_SECONDS = 0.5
"""A stream of mean length frees its place about as often on a full runner."""
NO_BACKEND_RETRY_SECONDS = 1.0
"""Time in which a lost runner's layers are loaded elsewhere."""
ANNOUNCEMENT_MARGIN_SECONDS = 0.15
"""Time in which a loaded runner's entry reaches all routers."""
MAX_RETRY_SECONDS = 5.0
"""Callers come back within a third of the time that they have left."""


def retry_after(
    board: boards.Board, kind: errors.ErrorKind, now: float
) -> float:
    """Returns the seconds after which a refused request may succeed.

    Args:
        board: what the router knows.
        kind: why it was refused.
        now: seconds of the loop.
    """
    if kind is errors.ErrorKind.OVERLOADED:
        return OVERLOADED_RETRY_SECONDS
    wait = board.coverage_eta - now
    if wait > 0:
        return min(wait + ANNOUNCEMENT_MARGIN_SECONDS, MAX_RETRY_SECONDS)
    return NO_BACKEND_RETRY_SECONDS
