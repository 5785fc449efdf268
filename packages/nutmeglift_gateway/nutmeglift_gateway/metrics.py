"""Metrics of a router in the Prometheus text format."""

from collections.abc import Sequence
import enum

import prometheus_client
from prometheus_client import exposition

LATENCY_BUCKETS_SECONDS = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0,
)  # fmt: skip
"""Buckets that cover the latency objectives of plain calls and streams."""
PREFIX = "nutmeglift_gateway_"


class UnansweredCause(enum.Enum):
    """Why the router left a request without a complete response."""

    STREAM_CUT = "stream_cut"
    """Its stream had begun and could not be continued."""
    INTERNAL_ERROR = "internal_error"
    """An unexpected error occurred while its response was being written."""
    DRAIN_ENDED = "drain_ended"
    """Its response was being written when the drain ended."""
    CONNECTION_CLOSED = "connection_closed"
    """It was queued behind a response that closed the connection."""
    CONNECTION_ABORTED = "connection_aborted"
    """It was queued behind a response that was aborted."""


class Metrics:
    """All metrics of one router."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self.requests = self._counter(
            "requests", "Requests by how they ended.", ["route", "outcome"]
        )
        self.refusals = self._counter(
            "refusals", "Requests refused by error kind.", ["kind"]
        )
        self.unanswered = self._counter(
            "unanswered", "Requests that the router left unanswered.", ["cause"]
        )
        self.connections = self._counter(
            "connections", "Connections to backend servers.", ["purpose"]
        )
        self.attempts = self._counter(
            "attempts", "Attempts at backend servers.", ["outcome"]
        )
        self.second_attempts = self._counter(
            "second_attempts", "Second attempts beside a slow one.", ["event"]
        )
        self.second_attempts_denied = self._counter(
            "second_attempts_denied",
            "Slow requests without a second attempt.",
            ["reason"],
        )
        self.repairs = self._counter(
            "stream_repairs", "Running streams moved.", ["how", "outcome"]
        )
        self.store_calls = self._counter(
            "store_calls",
            "Calls to the key-value service, by controller.",
            ["call", "caller"],
        )
        self.orders = self._counter(
            "orders", "Orders to runners.", ["order", "outcome"]
        )
        self.suspects = self._counter(
            "suspects", "Backend servers left out.", ["reason"]
        )
        self.hold_offs = self._counter(
            "hold_offs", "Times in which a server wants nothing.", ["state"]
        )
        self.holding_off = self._gauge(
            "servers_holding_off", "Servers that want nothing for a time."
        )
        self.crashed_runs = self._counter(
            "crashed_runs", "Runs that a server's end ended.", ["part"]
        )
        self.quarantines = self._counter(
            "quarantine_changes", "Changes of quarantines.", ["state"]
        )
        self.first_event = self._histogram(
            "first_event_seconds", "Time to a stream's first event."
        )
        self.answer = self._histogram(
            "answer_seconds", "Time to a plain answer."
        )
        self.admitted = self._counter(
            "admitted", "Requests admitted.", ["service", "priority"]
        )
        self.queue_wait = self._histogram(
            "queue_wait_seconds",
            "Time for which requests waited for room.",
            ["service", "priority"],
        )
        self.queue_refusals = self._counter(
            "queue_refusals",
            "Requests refused for lack of room.",
            ["service", "priority", "reason"],
        )
        self.responses = self._counter(
            "responses",
            "Responses delivered in or after their objective.",
            ["service", "priority", "objective"],
        )
        self.waiting = self._gauge("waiting", "Requests that wait for room.")
        self.room = prometheus_client.Gauge(
            PREFIX + "room_tokens",
            "Tokens that the runners of a service hold, over all routers.",
            ["service", "state"],
            registry=self._registry,
        )
        self.in_flight = self._gauge("in_flight", "Requests at work.")
        self.generation = self._gauge("generation", "Configuration in force.")
        self.confirmation_age = self._gauge(
            "confirmation_age_seconds", "Age of the last confirmation."
        )
        self.view_age = self._gauge(
            "view_age_seconds", "Age of the view of the backend servers."
        )
        self.catalog_behind = self._gauge(
            "configuration_behind_seconds",
            "Time for which a newer configuration has not been in force.",
        )
        self.lapse_window = self._gauge(
            "lapse_window_seconds",
            "Time for which a removed entry still counts as lapsed.",
        )
        self.controller_failures = self._counter(
            "controller_failures", "Controllers restarted.", ["controller"]
        )

    def text(self) -> bytes:
        """Returns all metrics in the text format."""
        return exposition.generate_latest(self._registry)

    def _counter(
        self, name: str, text: str, labels: list[str]
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            PREFIX + name, text, labels, registry=self._registry
        )

    def _gauge(self, name: str, text: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            PREFIX + name, text, registry=self._registry
        )

    def _histogram(
        self, name: str, text: str, labels: Sequence[str] = ()
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            PREFIX + name,
            text,
            labels,
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
