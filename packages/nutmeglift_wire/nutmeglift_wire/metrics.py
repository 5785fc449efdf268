"""Counters, gauges and timings: statsd and in-memory twin."""

import abc
import collections

import statsd


class BaseMetrics(abc.ABC):
    """Takes measurements."""

    @abc.abstractmethod
    def count(self, name: str, by: int = 1) -> None:
        """Adds to a counter."""

    @abc.abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""

    @abc.abstractmethod
    def time(self, name: str, seconds: float) -> None:
        """Records a duration."""


class MemoryMetrics(BaseMetrics):
    """Keeps the measurements.

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
        """Records a duration."""
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
        """Records a duration."""
        self._client.timing(name, seconds * 1000)


class NoMetrics(BaseMetrics):
    """Drops the measurements, where no daemon is set."""

    def count(self, name: str, by: int = 1) -> None:
        """Does nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Does nothing."""

    def time(self, name: str, seconds: float) -> None:
        """Does nothing."""


def make(address: str | None, prefix: str) -> BaseMetrics:
    """Returns metrics for a daemon's address, if there is one."""
    return StatsdMetrics(address, prefix) if address else NoMetrics()
