"""Metrics whose counters are also available to the status report."""

import collections

from nutmeglift_wire import metrics as metric


class CountingMetrics(metric.BaseMetrics):
    """Forwards measurements and accumulates the counters.

    Attributes:
        total_by_name: counter totals since the start of the process.
    """

    def __init__(self, target: metric.BaseMetrics) -> None:
        self._target = target
        self.total_by_name: collections.Counter[str] = collections.Counter()

    def count(self, name: str, by: int = 1) -> None:
        """Adds to a counter."""
        self.total_by_name[name] += by
        self._target.count(name, by)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self._target.gauge(name, value)

    def time(self, name: str, seconds: float) -> None:
        """Records a duration."""
        self._target.time(name, seconds)
