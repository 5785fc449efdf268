"""Polling intervals and delays that bound the load of a fleet on a service."""

import random

MIN_POLL_SECONDS = 2.0
POLL_SECONDS_PER_ROUTER = 0.06
MAX_POLL_SECONDS = 60.0
INITIAL_BACKOFF_SECONDS = 0.1
MIN_BACKOFF_LIMIT_SECONDS = 2.0
BACKOFF_LIMIT_SECONDS_PER_ROUTER = 0.04
JITTER_SECONDS_PER_ROUTER = 0.004
MAX_JITTER_SECONDS = 2.0


def poll_seconds(routers: int, rng: random.Random) -> float:
    """Returns the delay before the next regular poll, in seconds.

    Args:
        routers: number of routers in the fleet.
        rng: random number generator; the jitter desynchronizes the fleet.
    """
    interval = routers * POLL_SECONDS_PER_ROUTER
    bounded = min(max(interval, MIN_POLL_SECONDS), MAX_POLL_SECONDS)
    return bounded * rng.uniform(0.75, 1.25)


def jitter_seconds(routers: int, rng: random.Random) -> float:
    """Returns the delay after an event seen by the whole fleet, in seconds."""
    bound = min(routers * JITTER_SECONDS_PER_ROUTER, MAX_JITTER_SECONDS)
    return rng.uniform(0, bound)


class Backoff:
    """Exponential backoff between calls to a service that does not respond."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """Resets the backoff after a response from the service."""
        self._failures = 0

    def next_seconds(self, routers: int) -> float:
        """Returns the delay after a further failure, in seconds."""
        bound = max(
            MIN_BACKOFF_LIMIT_SECONDS,
            routers * BACKOFF_LIMIT_SECONDS_PER_ROUTER,
        )
        # The first delay already spreads a fleet that failed simultaneously.
        first = max(INITIAL_BACKOFF_SECONDS, bound / 16)
        wait = min(first * 2.0 ** min(self._failures, 16), bound)
        self._failures += 1
        return wait * self._rng.uniform(0.5, 1.0)
