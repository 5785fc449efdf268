"""How much work may be in flight, learned from how fast it is done."""

import abc
import math

from nutmeglift import limits

INITIAL_LIMIT_TOKENS = 65536.0
MIN_LIMIT_TOKENS = 1024.0
MAX_LIMIT_TOKENS = 1e9
LIMIT_STEP_RATIO = 0.2
TOKEN_TIME_SMOOTHING_RATIO = 0.01
SATURATED_TOKEN_TIME_RATIO = 1.9
"""Seconds a token over the best ones at which the fleet is full."""
BEST_TOKEN_TIME_GROWTH_RATIO = 1.000001
EQUAL_TOKEN_TIME_RATIO = 1.02
PROBE_LOAD_RATIO = 0.7
MIN_LIMIT_STEP = -4.0
MIN_USED_LIMIT_RATIO = 0.8
SMOOTHING_RATIO = 0.05
SERVICE_TIME_DEVIATION_COUNT = 4.0
RATE_TIME_CONSTANT_SECONDS = 5.0
MIN_SATURATED_SECONDS = 0.5


class BaseInFlightLimit(abc.ABC):
    """Says how much work may be in flight.

    Attributes:
        tokens: the limit.
    """

    tokens: float

    @abc.abstractmethod
    def record_done(
        self,
        cost: float,
        generated: float,
        seconds: float,
        target_seconds: float,
        in_flight: float,
    ) -> None:
        """Notes that a request ended.

        Args:
            cost: its work, in tokens.
            generated: tokens that it generated.
            seconds: how long it was in flight.
            target_seconds: how long it should have been at most.
            in_flight: tokens in flight when it ended, its own included.
        """


class FixedLimit(BaseInFlightLimit):
    """A limit that does not learn."""

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens

    def record_done(
        self,
        cost: float,
        generated: float,
        seconds: float,
        target_seconds: float,
        in_flight: float,
    ) -> None:
        """Does nothing."""


class AdaptiveLimit(BaseInFlightLimit):
    """Steers the limit to where more work would only take longer.

    Batching engines give the more tokens a second, the more streams they
    have, at the same seconds a token, until they are full; from there on the
    seconds a token rise. The limit grows while it is used and the pace is
    near the best one seen, and falls when it is slower. Where requests take
    longer than their target, the limit is lowered a little below the load at
    which the best pace was seen, to find out whether there is a better one.
    """

    def __init__(self, tokens: float = INITIAL_LIMIT_TOKENS) -> None:
        self.tokens = tokens
        self._seconds = 0.0
        self._generated = 0.0
        self._target_ratio = 0.0
        self._best_token_time = math.inf
        self._best_load_token_time = math.inf
        self._best_load = 0.0

    def record_done(
        self,
        cost: float,
        generated: float,
        seconds: float,
        target_seconds: float,
        in_flight: float,
    ) -> None:
        """Notes that a request ended."""
        if not generated or seconds <= 0:
            return
        if not self._generated:
            self._seconds, self._generated = seconds, generated
        self._seconds += TOKEN_TIME_SMOOTHING_RATIO * (seconds - self._seconds)
        self._generated += TOKEN_TIME_SMOOTHING_RATIO * (
            generated - self._generated
        )
        late = seconds / target_seconds
        self._target_ratio += SMOOTHING_RATIO * (late - self._target_ratio)
        token_time = self._seconds / self._generated
        self._record_token_time(token_time, in_flight)
        step = max(MIN_LIMIT_STEP, 1.0 - self._utilization(token_time))
        if step > 0 and in_flight < MIN_USED_LIMIT_RATIO * self.tokens:
            return
        tokens = self.tokens + LIMIT_STEP_RATIO * step * cost
        self.tokens = max(MIN_LIMIT_TOKENS, min(MAX_LIMIT_TOKENS, tokens))

    def _record_token_time(self, token_time: float, in_flight: float) -> None:
        """Keeps the best pace and the largest load at which it was seen."""
        self._best_token_time = min(
            self._best_token_time * BEST_TOKEN_TIME_GROWTH_RATIO, token_time
        )
        if token_time < self._best_load_token_time / EQUAL_TOKEN_TIME_RATIO:
            self._best_load_token_time = token_time
            self._best_load = in_flight
        elif token_time < self._best_load_token_time * EQUAL_TOKEN_TIME_RATIO:
            self._best_load = max(self._best_load, in_flight)

    def _utilization(self, token_time: float) -> float:
        """Returns how full the fleet is; 1 is just right."""
        utilization = token_time / (
            SATURATED_TOKEN_TIME_RATIO * self._best_token_time
        )
        if utilization >= 1.0 or self._target_ratio <= 1.0:
            return utilization
        if self.tokens > PROBE_LOAD_RATIO * self._best_load:
            return self._target_ratio
        return utilization


class ServiceTimeEstimator:
    """Seconds that requests take once they are in flight.

    It leaves out what a request is expected to cost: an account whose
    requests seem too long would never be let in to show otherwise.
    """

    def __init__(self) -> None:
        self._mean: float | None = None
        self._deviation = 0.0

    def record(self, seconds: float) -> None:
        """Notes that a request took so long."""
        if self._mean is None:
            self._mean = seconds
        error = seconds - self._mean
        self._mean += SMOOTHING_RATIO * error
        self._deviation += SMOOTHING_RATIO * (abs(error) - self._deviation)

    def estimate(self) -> float:
        """Returns the seconds that most requests stay within."""
        if self._mean is None:
            return 0.0
        return self._mean + SERVICE_TIME_DEVIATION_COUNT * self._deviation


class DrainRate:
    """Tokens a second that are done while requests wait.

    The time without waiting requests is left out, since it tells nothing
    about what can be done.
    """

    def __init__(self) -> None:
        self._meter = limits.DemandRate(0.0)
        self._saturated_seconds = 0.0
        self._updated: float | None = None

    def advance(self, now: float, waiting: bool) -> None:
        """Notes whether requests waited since the last call."""
        if self._updated is not None and waiting:
            self._saturated_seconds += max(0.0, now - self._updated)
        self._updated = now

    def record_done(self, cost: float) -> None:
        """Notes work that was done while requests waited."""
        self._meter.add(
            self._saturated_seconds, cost, RATE_TIME_CONSTANT_SECONDS
        )

    def tokens_per_second(self) -> float | None:
        """Returns the rate; None while it is not known."""
        seconds = self._saturated_seconds
        if seconds < MIN_SATURATED_SECONDS:
            return None
        rate = self._meter.rate(seconds, RATE_TIME_CONSTANT_SECONDS)
        covered = 1.0 - math.exp(-seconds / RATE_TIME_CONSTANT_SECONDS)
        return rate / covered or None
