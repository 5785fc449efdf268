"""When to try again: a budget as a fraction of traffic, and backoff."""

import random

RETRY_BUDGET_RATIO = 0.1
MIN_RETRIES_PER_SECOND = 1.0
RETRY_BUDGET_WINDOW_SECONDS = 10.0
INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0
MIN_JITTER_RATIO = 0.5


class RetryBudget:
    """Lets retries be a bounded fraction of the requests.

    Every request adds a part of a retry to the budget. A small constant rate
    lets routers with little traffic retry at all.
    """

    def __init__(
        self,
        now: float,
        *,
        ratio: float = RETRY_BUDGET_RATIO,
        min_per_second: float = MIN_RETRIES_PER_SECOND,
    ) -> None:
        """Makes a budget.

        Args:
            now: seconds.
            ratio: retries for each request.
            min_per_second: retries a second that are always allowed.
        """
        self._ratio = ratio
        self._min_per_second = min_per_second
        self._updated = now
        self._reserve = min_per_second * RETRY_BUDGET_WINDOW_SECONDS
        self._earned = 0.0

    def note_request(self, now: float) -> None:
        """Notes a first attempt."""
        self._advance(now)
        self._earned += self._ratio

    def try_spend(self, now: float) -> bool:
        """Takes one retry out of the budget, if there is one."""
        self._advance(now)
        if self._earned >= 1:
            self._earned -= 1
            return True
        if self._reserve >= 1:
            self._reserve -= 1
            return True
        return False

    def _advance(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated)
        self._updated = max(now, self._updated)
        self._earned *= 2.0 ** (-elapsed / RETRY_BUDGET_WINDOW_SECONDS)
        self._reserve = min(
            self._min_per_second * RETRY_BUDGET_WINDOW_SECONDS,
            self._reserve + elapsed * self._min_per_second,
        )


class Backoff:
    """Jittered waits that double to a bound."""

    def __init__(
        self,
        rng: random.Random,
        *,
        first: float = INITIAL_BACKOFF_SECONDS,
        largest: float = MAX_BACKOFF_SECONDS,
    ) -> None:
        """Makes a backoff.

        Args:
            rng: random numbers.
            first: upper bound of the first wait, in seconds.
            largest: upper bound of any wait, in seconds.
        """
        self._rng = rng
        self._first = first
        self._largest = largest
        self._bound = first

    def next_seconds(self) -> float:
        """Returns the next wait, in seconds."""
        seconds = self._bound * self._rng.uniform(MIN_JITTER_RATIO, 1.0)
        self._bound = min(2 * self._bound, self._largest)
        return seconds

    def reset(self) -> None:
        """Starts again from the first wait."""
        self._bound = self._first
