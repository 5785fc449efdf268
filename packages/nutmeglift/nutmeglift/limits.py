"""Token buckets for account limits, with short waits instead of refusals."""

import dataclasses
import math

BURST_SECONDS = 0.5
BURST_REQUEST_COUNT = 4.0
MAX_WAIT_SECONDS = 0.5
MIN_RATE_PER_SECOND = 1e-9


@dataclasses.dataclass(frozen=True)
class LimitDecision:
    """What a bucket says to a request.

    Attributes:
        allowed: whether it may run.
        seconds: wait before it runs or, when refused, before the next try.
    """

    allowed: bool
    seconds: float


class TokenBucket:
    """A budget that fills at a rate and from which requests take.

    A request that comes a little early reserves its part and waits; what was
    taken since the start never passes the rate times the time plus the
    initial level.

    Attributes:
        rate: what is added each second.
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
        """Makes a bucket.

        Args:
            now: seconds.
            rate: what is added each second.
            full: whether it starts full, otherwise empty.
            cost: what the first request will take.
        """
        self.rate = rate
        self._largest_cost = cost
        self._updated = now
        self._level = self.capacity if full else 0.0

    @property
    def capacity(self) -> float:
        """What it saves up at most."""
        return max(
            BURST_REQUEST_COUNT * self._largest_cost, self.rate * BURST_SECONDS
        )

    def set_rate(self, now: float, rate: float) -> None:
        """Changes the rate from now on; what was saved stays."""
        if rate == self.rate:
            return
        self._fill(now)
        self.rate = rate
        self._level = min(self._level, self.capacity)

    def take(
        self, now: float, cost: float, max_wait: float = MAX_WAIT_SECONDS
    ) -> LimitDecision:
        """Takes the cost if it is there within the longest wait.

        Args:
            now: seconds.
            cost: what the request takes.
            max_wait: longest wait, in seconds.
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
        """Gives back what was taken and not used; negative takes more."""
        self._level = min(self._level + cost, self.capacity)

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated)
        self._updated = max(now, self._updated)
        self._level = min(self.capacity, self._level + elapsed * self.rate)


class DemandRate:
    """Rate at which something is asked for, averaged over recent seconds."""

    __slots__ = ("_sum", "_updated")

    def __init__(self, now: float) -> None:
        self._sum = 0.0
        self._updated = now

    def add(self, now: float, amount: float, horizon_seconds: float) -> None:
        """Notes that so much was asked for."""
        self._decay(now, horizon_seconds)
        self._sum += amount

    def rate(self, now: float, horizon_seconds: float) -> float:
        """Returns the amount asked for a second."""
        self._decay(now, horizon_seconds)
        return self._sum / horizon_seconds

    def _decay(self, now: float, horizon_seconds: float) -> None:
        elapsed = max(0.0, now - self._updated)
        self._updated = max(now, self._updated)
        self._sum *= math.exp(-elapsed / horizon_seconds)
