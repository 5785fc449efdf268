"""Token buckets for account limits that delay requests before refusing."""

import dataclasses
import math

BURST_SECONDS = 0.5
BURST_REQUEST_COUNT = 4.0
MAX_WAIT_SECONDS = 0.5
MIN_RATE_PER_SECOND = 1e-9


@dataclasses.dataclass(frozen=True)
class LimitDecision:
    """Decision of a token bucket on a request.

    Attributes:
        allowed: whether the request may run.
        seconds: delay before it runs or, if refused, before a retry.
    """

    allowed: bool
    seconds: float


class TokenBucket:
    """Token bucket that is refilled at a constant rate.

    A request that exceeds the current level by little reserves its cost and
    waits. The total cost taken since the start never exceeds the elapsed time
    times the rate plus the initial level.

    Attributes:
        rate: refill rate, per second.
    """

    __slots__ = ("_largest_cost", "_level", "_updated", "rate")

    def __init__(
        self,
        now: float,
        rate: float,
        *,
        full: bool = False,
        cost: float = 1.0,
    ) -> None:
        """Initializes the bucket.

        Args:
            now: clock time, in seconds.
            rate: refill rate, per second.
            full: whether it starts full; otherwise it starts empty.
            cost: cost of the first request.
        """
        self.rate = rate
        self._largest_cost = cost
        self._updated = now
        self._level = self.capacity if full else 0.0

    @property
    def capacity(self) -> float:
        """Maximum level."""
        return max(
            BURST_REQUEST_COUNT * self._largest_cost, self.rate * BURST_SECONDS
        )

    def set_rate(self, now: float, rate: float) -> None:
        """Changes the refill rate; the level stays, up to the new capacity."""
        if rate == self.rate:
            return
        self._fill(now)
        self.rate = rate
        self._level = min(self._level, self.capacity)

    def take(
        self, now: float, cost: float, max_wait: float = MAX_WAIT_SECONDS
    ) -> LimitDecision:
        """Takes a cost if it is available within the maximum delay.

        Args:
            now: clock time, in seconds.
            cost: cost of the request.
            max_wait: maximum delay, in seconds.
        """
        self._fill(now)
        self._largest_cost = max(self._largest_cost, cost)
        missing = cost - self._level
        if missing <= 0:
            self._level -= cost
            return LimitDecision(True, 0.0)
        seconds = missing / max(self.rate, MIN_RATE_PER_SECOND)
        if seconds > max_wait:
            return LimitDecision(False, seconds)
        self._level -= cost
        return LimitDecision(True, seconds)

    def refund(self, cost: float) -> None:
        """Refunds unused cost; a negative value charges additional cost."""
        self._level = min(self._level + cost, self.capacity)

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated)
        self._updated = max(now, self._updated)
        self._level = min(self.capacity, self._level + elapsed * self.rate)


class DemandRate:
    """Demand rate, averaged with exponential decay."""

    __slots__ = ("_sum", "_updated")

    def __init__(self, now: float) -> None:
        self._sum = 0.0
        self._updated = now

    def add(self, now: float, amount: float, horizon_seconds: float) -> None:
        """Records demand."""
        self._decay(now, horizon_seconds)
        self._sum += amount

    def rate(self, now: float, horizon_seconds: float) -> float:
        """Returns the demand per second."""
        self._decay(now, horizon_seconds)
        return self._sum / horizon_seconds

    def _decay(self, now: float, horizon_seconds: float) -> None:
        elapsed = max(0.0, now - self._updated)
        self._updated = max(now, self._updated)
        self._sum *= math.exp(-elapsed / horizon_seconds)
