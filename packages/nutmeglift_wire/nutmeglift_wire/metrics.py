"""Counters, gauges and timings, sent to statsd or kept in memory."""

import abc
import collections

import statsd


class BaseMetrics(abc.ABC):
    """Records measurements."""

    @abc.abstractmethod
    def count(self, name: str, by: int = 1) -> None:
        """Adds to a counter."""

    @abc.abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""

    @abc.abstractmethod
    def time(self, name: str, seconds: float) -> None:
        """Records a duration in seconds."""


class MemoryMetrics(BaseMetrics):
    """Keeps the measurements in memory.

    Attributes:
        total_by_name: counters.
        value_by_name: gauges.
        seconds_by_name: durations.
    """

    def __init__(self) -> None:
        self.total_by_name: collections.Counter[str] = collections.Counter()
        self.value_by_name: dict[str, float] = {}
        self.seconds_by_name: dict[str, list[float]] = {}

    def count(self, name: str, by: int = 1) -> None:
        """Adds to a counter."""
        self.total_by_name[name] += by

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self.value_by_name[name] = value

    def time(self, name: str, seconds: float) -> None:
        """Records a duration in seconds."""
        self.seconds_by_name.setdefault(name, []).append(seconds)


class StatsdMetrics(BaseMetrics):
    """Sends the measurements to a statsd daemon over UDP."""

    def __init__(self, address: str, prefix: str) -> None:
        host, _, port = address.rpartition(":")
        self._client = statsd.StatsClient(host, int(port), prefix=prefix)

    def count(self, name: str, by: int = 1) -> None:
        """Adds to a counter."""
        self._client.incr(name, by)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self._client.gauge(name, value)

    def time(self, name: str, seconds: float) -> None:
        """Records a duration in seconds."""
        self._client.timing(name, seconds * 1000)


class NoMetrics(BaseMetrics):
    """Discards the measurements, if no daemon is configured."""

    def count(self, name: str, by: int = 1) -> None:
        """Does nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Does nothing."""

    def time(self, name: str, seconds: float) -> None:
        """Does nothing."""


def make(address: str | None, prefix: str) -> BaseMetrics:
    """Returns statsd metrics, or no-op metrics if address is None."""
    return StatsdMetrics(address, prefix) if address else NoMetrics()
