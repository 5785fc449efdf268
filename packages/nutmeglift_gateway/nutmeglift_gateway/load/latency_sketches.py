"""Recent latencies by group of servers, in sketches of bounded size."""

from collections.abc import Hashable

import ddsketch

ACCURACY = 0.02
"""Greatest relative error of a quantile."""
BIN_COUNT = 256
"""Bins of a sketch: enough for a factor of 28,000 between its values."""
PERIOD_SECONDS = 30.0
"""Latencies count for one to two periods."""
MIN_COUNT = 20
"""Latencies below which a group has no quantiles."""
MAX_GROUP_COUNT = 64
"""Limits the groups; the one that was used longest ago is dropped."""
REFRESH_SECONDS = 1.0
"""Quantiles are of at most this age: merging two periods takes CPU time."""


def _new_sketch() -> ddsketch.LogCollapsingLowestDenseDDSketch:
    return ddsketch.LogCollapsingLowestDenseDDSketch(ACCURACY, BIN_COUNT)


class _Group:
    """The latencies of one group in this period and the one before."""

    def __init__(self, now: float) -> None:
        self.began_at = now
        self.current = _new_sketch()
        self.previous = _new_sketch()
        self.quantiles_at = float("-inf")
        self.value_by_quantile: dict[float, float | None] = {}

    def rotate(self, now: float) -> None:
        """Begins a new period if the current one has ended."""
        age = now - self.began_at
        if age < PERIOD_SECONDS:
            return
        self.previous = (
            self.current if age < 2 * PERIOD_SECONDS else _new_sketch()
        )
        self.current = _new_sketch()
        self.began_at = now

    def quantile(self, now: float, quantile: float) -> float | None:
        """Returns a quantile of both periods, or None with too few values."""
        if now - self.quantiles_at >= REFRESH_SECONDS:
            self.quantiles_at = now
            self.value_by_quantile = {}
        if quantile not in self.value_by_quantile:
            merged = _new_sketch()
            merged.merge(self.previous)
            merged.merge(self.current)
            self.value_by_quantile[quantile] = (
                merged.get_quantile_value(quantile)
                if merged.count >= MIN_COUNT
                else None
            )
        return self.value_by_quantile[quantile]


class LatencySketches:
    """Recent latencies by group."""

    def __init__(self) -> None:
        self._group_by_key: dict[Hashable, _Group] = {}

    def record(self, now: float, key: Hashable, value: float) -> None:
        """Adds a latency to a group.

        Args:
            now: loop time in seconds.
            key: the group.
            value: the latency, in any unit that is the same for the group.
        """
        group = self._group_by_key.pop(key, None) or _Group(now)
        self._group_by_key[key] = group
        if len(self._group_by_key) > MAX_GROUP_COUNT:
            del self._group_by_key[next(iter(self._group_by_key))]
        group.rotate(now)
        group.current.add(value)

    def quantile(
        self, now: float, key: Hashable, quantile: float
    ) -> float | None:
        """Returns a quantile of a group, or None if too little is known."""
        group = self._group_by_key.get(key)
        if group is None:
            return None
        group.rotate(now)
        return group.quantile(now, quantile)
