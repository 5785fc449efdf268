"""Limits of the work in flight and estimates of the service rate."""

import abc
import math

from nutmeglift import limits

INITIAL_LIMIT_TOKENS = 65536.0
MIN_LIMIT_TOKENS = 1024.0
MAX_LIMIT_TOKENS = 1e9
LIMIT_STEP_RATIO = 0.2
"""Change of the limit at a full step, relative to the completed work."""
TOKEN_TIME_SMOOTHING_RATIO = 0.01
SATURATED_TOKEN_TIME_RATIO = 1.9
"""Time per token relative to the best one at which the fleet is saturated."""
BEST_TOKEN_TIME_GROWTH_RATIO = 1.000001
"""Growth per request by which the best time per token expires."""
EQUAL_TOKEN_TIME_RATIO = 1.02
"""Times per token within this ratio of each other count as equal."""
PROBE_LOAD_RATIO = 0.7
"""Lower bound of the probing, relative to the best load."""
MIN_LIMIT_STEP = -4.0
MIN_USED_LIMIT_RATIO = 0.8
"""The limit grows only while more than this fraction of it is used."""
SMOOTHING_RATIO = 0.05
SERVICE_TIME_DEVIATION_COUNT = 4.0
RATE_TIME_CONSTANT_SECONDS = 5.0
MIN_SATURATED_SECONDS = 0.5


class BaseInFlightLimit(abc.ABC):
    """Limit of the work in flight.

    Attributes:
        tokens: the limit, in tokens.
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
        """Records a completed request.

        Args:
            cost: its work, in tokens.
            generated: number of tokens that it generated.
            seconds: its time in flight.
            target_seconds: its target latency.
            in_flight: tokens in flight at its completion, including its own.
        """


class FixedLimit(BaseInFlightLimit):
    """A constant limit."""

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
    """Adjusts the limit to the load at which the fleet is saturated.

    The throughput of a batching engine grows with the number of streams at a
    constant time per token until the engine is saturated; beyond that, the
    time per token rises. The limit grows while it is used and the time per
    token is close to the best one observed, and falls when it is higher.
    When requests exceed their target latency, the limit is lowered down to
    PROBE_LOAD_RATIO of the load at which the best time per token was
    observed, to probe for a better one.
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
        """Records a completed request and adjusts the limit."""
        if not generated or seconds <= 0:
            return
        if not self._generated:
            self._seconds, self._generated = seconds, generated
        self._seconds += TOKEN_TIME_SMOOTHING_RATIO * (seconds - self._seconds)
        self._generated += TOKEN_TIME_SMOOTHING_RATIO * (
            generated - self._generated
        )
        target_ratio = seconds / target_seconds
        self._target_ratio += SMOOTHING_RATIO * (
            target_ratio - self._target_ratio
        )
        token_time = self._seconds / self._generated
        self._record_token_time(token_time, in_flight)
        step = max(MIN_LIMIT_STEP, 1.0 - self._utilization(token_time))
        if step > 0 and in_flight < MIN_USED_LIMIT_RATIO * self.tokens:
            return
        tokens = self.tokens + LIMIT_STEP_RATIO * step * cost
        self.tokens = max(MIN_LIMIT_TOKENS, min(MAX_LIMIT_TOKENS, tokens))

    def _record_token_time(self, token_time: float, in_flight: float) -> None:
        """Updates the best time per token and the largest load with it."""
        self._best_token_time = min(
            self._best_token_time * BEST_TOKEN_TIME_GROWTH_RATIO, token_time
        )
        if token_time < self._best_load_token_time / EQUAL_TOKEN_TIME_RATIO:
            self._best_load_token_time = token_time
            self._best_load = in_flight
        elif token_time < self._best_load_token_time * EQUAL_TOKEN_TIME_RATIO:
            self._best_load = max(self._best_load, in_flight)

    def _utilization(self, token_time: float) -> float:
        """Returns the utilization of the fleet; 1 is the set point."""
        utilization = token_time / (
            SATURATED_TOKEN_TIME_RATIO * self._best_token_time
        )
        if utilization >= 1.0 or self._target_ratio <= 1.0:
            return utilization
        if self.tokens > PROBE_LOAD_RATIO * self._best_load:
            return self._target_ratio
        return utilization


class ServiceTimeEstimator:
    """Estimates the time that requests spend in flight, in seconds.

    The estimate ignores the expected cost of a request. Otherwise an account
    whose requests are estimated as too long would never be admitted, and the
    estimate would never be corrected.
    """

    def __init__(self) -> None:
        self._mean: float | None = None
        self._deviation = 0.0

    def record(self, seconds: float) -> None:
        """Records the time in flight of a completed request."""
        if self._mean is None:
            self._mean = seconds
        error = seconds - self._mean
        self._mean += SMOOTHING_RATIO * error
        self._deviation += SMOOTHING_RATIO * (abs(error) - self._deviation)

    def estimate(self) -> float:
        """Returns an upper bound for the time of most requests, in seconds."""
        if self._mean is None:
            return 0.0
        return self._mean + SERVICE_TIME_DEVIATION_COUNT * self._deviation


class DrainRate:
    """Work completed per second while requests are queued, in tokens.

    Time without queued requests is excluded, since the rate is then bounded
    by demand and not by capacity.
    """

    def __init__(self) -> None:
        self._meter = limits.DemandRate(0.0)
        self._saturated_seconds = 0.0
        self._updated: float | None = None

    def advance(self, now: float, waiting: bool) -> None:
        """Records whether requests were queued since the last call."""
        if self._updated is not None and waiting:
            self._saturated_seconds += max(0.0, now - self._updated)
        self._updated = now

    def record_done(self, cost: float) -> None:
        """Records work completed while requests were queued."""
        self._meter.add(
            self._saturated_seconds, cost, RATE_TIME_CONSTANT_SECONDS
        )

    def tokens_per_second(self) -> float | None:
        """Returns the rate; None until enough time was measured."""
        seconds = self._saturated_seconds
        if seconds < MIN_SATURATED_SECONDS:
            return None
        rate = self._meter.rate(seconds, RATE_TIME_CONSTANT_SECONDS)
        covered = 1.0 - math.exp(-seconds / RATE_TIME_CONSTANT_SECONDS)
        return rate / covered or None
