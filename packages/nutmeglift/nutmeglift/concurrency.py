"""How much work may be in flight, learned from how fast it is done."""

import abc
import math

from nutmeglift import limits

INITIAL_TOKENS = 65536.0
SMALLEST_TOKENS = 1024.0
LARGEST_TOKENS = 1e9
GAIN = 0.2
PACE_SMOOTHING = 0.01
PACE_TOLERANCE = 1.9
"""Seconds a token over the best ones at which the fleet is full."""
BEST_GROWTH = 1.000001
SAME_PACE = 1.02
PROBED_SHARE = 0.7
STRONGEST_FALL = -4.0
USED_SHARE = 0.8
SMOOTHING = 0.05
DEVIATIONS = 4.0
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


class FixedLimit(BaseWorkLimit):
    """A limit that does not learn."""

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens

    def note_done(
        self,
        cost: float,
        generated: float,
        seconds: float,
        target_seconds: float,
        in_flight: float,
    ) -> None:
        """Does nothing."""


class PaceLimit(BaseWorkLimit):
    """Steers the limit to where more work would only take longer.

    Batching engines give the more tokens a second, the more streams they
    have, at the same seconds a token, until they are full; from there on the
    seconds a token rise. The limit grows while it is used and the pace is
    near the best one seen, and falls when it is slower. Where requests take
    longer than their target, the limit is lowered a little below the load at
    which the best pace was seen, to find out whether there is a better one.
    """

    def __init__(self, tokens: float = INITIAL_TOKENS) -> None:
        self.tokens = tokens
        self._seconds = 0.0
        self._generated = 0.0
        self._lateness = 0.0
        self._best_pace = math.inf
        self._load_pace = math.inf
        self._best_load = 0.0

    def note_done(
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
        self._seconds += PACE_SMOOTHING * (seconds - self._seconds)
        self._generated += PACE_SMOOTHING * (generated - self._generated)
        late = seconds / target_seconds
        self._lateness += SMOOTHING * (late - self._lateness)
        pace = self._seconds / self._generated
        self._note_pace(pace, in_flight)
        push = max(STRONGEST_FALL, 1.0 - self._crowding(pace))
        if push > 0 and in_flight < USED_SHARE * self.tokens:
            return
        tokens = self.tokens + GAIN * push * cost
        self.tokens = max(SMALLEST_TOKENS, min(LARGEST_TOKENS, tokens))

    def _note_pace(self, pace: float, in_flight: float) -> None:
        """Keeps the best pace and the largest load at which it was seen."""
        self._best_pace = min(self._best_pace * BEST_GROWTH, pace)
        if pace < self._load_pace / SAME_PACE:
            self._load_pace = pace
            self._best_load = in_flight
        elif pace < self._load_pace * SAME_PACE:
            self._best_load = max(self._best_load, in_flight)

    def _crowding(self, pace: float) -> float:
        """Returns how full the fleet is; 1 is just right."""
        crowding = pace / (PACE_TOLERANCE * self._best_pace)
        if crowding >= 1.0 or self._lateness <= 1.0:
            return crowding
        if self.tokens > PROBED_SHARE * self._best_load:
            return self._lateness
        return crowding


class ServiceTime:
    """Seconds that requests take once they are in flight.

    It leaves out what a request is expected to cost: an account whose
    requests seem too long would never be let in to show otherwise.
    """

    def __init__(self) -> None:
        self._mean: float | None = None
        self._deviation = 0.0

    def note(self, seconds: float) -> None:
        """Notes that a request took so long."""
        if self._mean is None:
            self._mean = seconds
        error = seconds - self._mean
        self._mean += SMOOTHING * error
        self._deviation += SMOOTHING * (abs(error) - self._deviation)

    def estimate(self) -> float:
        """Returns the seconds that most requests stay within."""
        if self._mean is None:
            return 0.0
        return self._mean + DEVIATIONS * self._deviation


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
