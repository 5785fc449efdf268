"""How much work may be in flight, learned from how fast it is done."""

import abc
import math

from nutmeglift import limits

INITIAL_TOKENS = 65536.0
SMALLEST_TOKENS = 1024.0
LARGEST_TOKENS = 1e9
GAIN = 0.2
STRONGEST_FALL = -4.0
USED_SHARE = 0.8
SMOOTHING = 0.05
DEVIATIONS = 2.0
RATE_HORIZON_SECONDS = 5.0
SHORTEST_MEASURED_SECONDS = 0.5


class BaseWorkLimit(abc.ABC):
    """Says how much work may be in flight.

    Attributes:
        tokens: the limit.
    """

    tokens: float

    @abc.abstractmethod
    def note_done(
        self,
        cost: float,
        seconds: float,
        target_seconds: float,
        in_flight: float,
    ) -> None:
        """Notes that a request ended.

        Args:
            cost: its work, in tokens.
            seconds: how long it was in flight.
            target_seconds: how long it should have been at most.
            in_flight: tokens in flight when it ended, its own included.
        """


class FixedLimit(BaseWorkLimit):
    """A limit that does not learn."""

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens

    def note_done(
        self,
        cost: float,
        seconds: float,
        target_seconds: float,
        in_flight: float,
    ) -> None:
        """Does nothing."""


class LatencyLimit(BaseWorkLimit):
    """Steers the limit to where requests take their target time.

    Batching engines give the more tokens a second, the more work they have,
    until their memory is full, and every request then takes longer. The
    limit therefore grows while it is used and requests stay within their
    target, and falls when they take longer.
    """

    def __init__(self, tokens: float = INITIAL_TOKENS) -> None:
        self.tokens = tokens
        self._slowness: float | None = None

    def note_done(
        self,
        cost: float,
        seconds: float,
        target_seconds: float,
        in_flight: float,
    ) -> None:
        """Notes that a request ended."""
        sample = seconds / target_seconds
        if self._slowness is None:
            self._slowness = sample
        self._slowness += SMOOTHING * (sample - self._slowness)
        push = max(STRONGEST_FALL, 1.0 - self._slowness)
        if push > 0 and in_flight < USED_SHARE * self.tokens:
            return
        tokens = self.tokens + GAIN * push * cost
        self.tokens = max(SMALLEST_TOKENS, min(LARGEST_TOKENS, tokens))


class ServiceTime:
    """Seconds that a request takes once it is in flight."""

    def __init__(self) -> None:
        self._mean: float | None = None
        self._deviation = 0.0

    def note(self, cost: float, seconds: float) -> None:
        """Notes that a request took so long."""
        sample = seconds / cost
        if self._mean is None:
            self._mean = sample
        error = sample - self._mean
        self._mean += SMOOTHING * error
        self._deviation += SMOOTHING * (abs(error) - self._deviation)

    def estimate(self, cost: float) -> float:
        """Returns the seconds that most requests of this cost stay within."""
        if self._mean is None:
            return 0.0
        return cost * (self._mean + DEVIATIONS * self._deviation)


class DrainRate:
    """Tokens a second that are done while requests wait.

    The time without waiting requests is left out, since it tells nothing
    about what can be done.
    """

    def __init__(self) -> None:
        self._meter = limits.DemandMeter(0.0)
        self._saturated_seconds = 0.0
        self._updated: float | None = None

    def advance(self, now: float, waiting: bool) -> None:
        """Notes whether requests waited since the last call."""
        if self._updated is not None and waiting:
            self._saturated_seconds += max(0.0, now - self._updated)
        self._updated = now

    def note_done(self, cost: float) -> None:
        """Notes work that was done while requests waited."""
        self._meter.add(self._saturated_seconds, cost, RATE_HORIZON_SECONDS)

    def tokens_per_second(self) -> float | None:
        """Returns the rate; None while it is not known."""
        seconds = self._saturated_seconds
        if seconds < SHORTEST_MEASURED_SECONDS:
            return None
        rate = self._meter.rate(seconds, RATE_HORIZON_SECONDS)
        covered = 1.0 - math.exp(-seconds / RATE_HORIZON_SECONDS)
        return rate / covered or None
