"""Retry budget as a fraction of the traffic, and exponential backoff."""

import random

RETRY_BUDGET_RATIO = 0.1
MIN_RETRIES_PER_SECOND = 1.0
RETRY_BUDGET_WINDOW_SECONDS = 10.0
INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0
MIN_JITTER_RATIO = 0.5


class RetryBudget:
    """Bounds retries to a fraction of the requests.

    Every request adds a fraction of a retry to the budget. A small constant
    rate allows retries on routers with little traffic.
    """

    def __init__(
        self,
        now: float,
        *,
        ratio: float = RETRY_BUDGET_RATIO,
        min_per_second: float = MIN_RETRIES_PER_SECOND,
    ) -> None:
        """Initializes the budget.

        Args:
            now: clock time, in seconds.
            ratio: retries earned by each request.
            min_per_second: retries per second that are always allowed.
        """
        self._ratio = ratio
        self._min_per_second = min_per_second
        self._updated = now
        self._reserved_retries = min_per_second * RETRY_BUDGET_WINDOW_SECONDS
        self._earned_retries = 0.0

    def record_request(self, now: float) -> None:
        """Records the first attempt of a request."""
        self._advance(now)
        self._earned_retries += self._ratio

    def try_spend(self, now: float) -> bool:
        """Takes one retry from the budget; returns whether one was left."""
        self._advance(now)
        if self._earned_retries >= 1:
            self._earned_retries -= 1
            return True
        if self._reserved_retries >= 1:
            self._reserved_retries -= 1
            return True
        return False

    def _advance(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated)
        self._updated = max(now, self._updated)
        self._earned_retries *= 2.0 ** (-elapsed / RETRY_BUDGET_WINDOW_SECONDS)
        self._reserved_retries = min(
            self._min_per_second * RETRY_BUDGET_WINDOW_SECONDS,
            self._reserved_retries + elapsed * self._min_per_second,
        )


class Backoff:
    """Exponential backoff with jitter and an upper bound."""

    def __init__(
        self,
        rng: random.Random,
        *,
        first: float = INITIAL_BACKOFF_SECONDS,
        largest: float = MAX_BACKOFF_SECONDS,
    ) -> None:
        """Initializes the backoff.

        Args:
            rng: random number generator of the jitter.
            first: upper bound of the first delay, in seconds.
            largest: upper bound of every delay, in seconds.
        """
        self._rng = rng
        self._first_seconds = first
        self._max_seconds = largest
        self._bound = first

    def next_seconds(self) -> float:
        """Returns the next delay, in seconds."""
        seconds = self._bound * self._rng.uniform(MIN_JITTER_RATIO, 1.0)
        self._bound = min(2 * self._bound, self._max_seconds)
        return seconds

    def reset(self) -> None:
        """Restarts from the first delay."""
        self._bound = self._first_seconds
