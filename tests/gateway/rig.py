"""Fixtures of the gateway tests: a small deployment without a network."""

import asyncio
import logging
import random

from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import caller_request
from nutmeglift_gateway import catalog
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import directory
from nutmeglift_gateway import freshness
from nutmeglift_gateway import ports
from nutmeglift_gateway import settings
from nutmeglift_gateway import settings_source
from nutmeglift_platform import names

RUNNER_KINDS = {
    "big": catalog.RunnerKind("big", 72000.0, 2.4, 3.2),
    "mid": catalog.RunnerKind("mid", 14400.0, 5.3, 7.9),
    "slow": catalog.RunnerKind("slow", 21600.0, 16.0, 8.2),
    "whole": catalog.RunnerKind("whole", 300000.0, 2.4, 3.2),
    "whole-slow": catalog.RunnerKind("whole-slow", 300000.0, 9.0, 8.2),
}
ENGINE = catalog.Engine(
    layers=80,
    layer_mb=1750.0,
    slots=96,
    token_bytes=1.18e6,
    activation_bytes=59000.0,
    pipe_mbps=13000.0,
    step_seconds=0.00102,
    sequence_seconds=9.2e-6,
    context_seconds=1.23e-8,
    prompt_tokens_per_second=164000.0,
    load_seconds=14.0,
    loads_at_once=6,
    report_lag=0.2,
    nominal_tokens=50000,
    kind_by_name=RUNNER_KINDS,
    domain_delay=0.0005,
)
MODEL = ids.ServiceId("model")
CORE = ids.ServiceId("core")


def make_route(name, idempotency, service, **changes):
    """Returns a route with the path prefix /NAME/."""
    values = {
        "id": ids.RouteId(name),
        "host": "desk.example",
        "prefix": f"/{name}/",
        "idempotency": idempotency,
        "timeout": 20.0,
        "objective": 0.5,
        "gap_objective": 0.25,
        "priority": 1,
        "services": (catalog.WeightedService(service, 1.0),),
        "max_attempts": 2,
        "anonymous": False,
        "resumable": idempotency is catalog.Idempotency.STREAM,
    }
    return catalog.Route(**(values | changes))


STREAM = make_route("draft", catalog.Idempotency.STREAM, MODEL)
SAFE = make_route("status", catalog.Idempotency.SAFE, CORE, timeout=1.0)
UNSAFE = make_route(
    "release", catalog.Idempotency.UNSAFE, CORE, max_attempts=1, timeout=1.0
)
OPEN = make_route(
    "open", catalog.Idempotency.SAFE, CORE, anonymous=True, timeout=1.0
)


def make_catalog(generation=7, **changes):
    """Returns a configuration with a route of each kind."""
    values = {
        "generation": ids.Generation(generation),
        "routes": (STREAM, SAFE, UNSAFE, OPEN),
        "service_by_id": {
            MODEL: catalog.Service(MODEL, "/health", ENGINE),
            CORE: catalog.Service(CORE, "/health"),
        },
        "account_by_key": {
            "key-1": catalog.Account(ids.AccountId("bank-1"), 0)
        },
        "limits": catalog.ClientLimits(),
        "accounts_required": True,
    }
    return catalog.Catalog(**(values | changes))


def make_server(name, **changes):
    """Returns the directory entry of a backend server."""
    values = {
        "id": name,
        "born": 1,
        "service": MODEL,
        "address": f"10.0.0.{sum(name.encode()) % 250}:{len(name)}",
        "domain": ids.FailureDomain("a"),
        "state": directory.ServerState.READY,
        "slots": 96,
        "kind": "mid",
        "layers": directory.NO_LAYERS,
        "orders": 0,
        "revision": ids.Revision(1),
    }
    return directory.Server(**(values | changes))


def make_runners(counts, **changes):
    """Returns runners that hold no layers.

    Args:
        counts: number of runners by failure domain, then by runner kind.
        **changes: fields that differ from those of make_server().
    """
    return [
        make_server(
            f"{domain}-{kind}-{number}",
            domain=ids.FailureDomain(domain),
            kind=kind,
            address=f"{domain}.{kind}.{number}:1",
            **changes,
        )
        for domain, by_kind in counts.items()
        for kind, count in by_kind.items()
        for number in range(count)
    ]


def make_empty_board():
    """Returns a board without a configuration."""
    return boards.Board(settings.Bounds(), ids.FailureDomain("a"))


def make_board(**changes):
    """Returns a board whose configuration was confirmed at 100 s."""
    board = make_empty_board()
    board.set_catalog(ids.Revision(3), make_catalog(**changes))
    confirm(board, 100.0)
    return board


def confirm(board, sent_at):
    """Confirms a board's configuration, as a call of its router does."""
    board.confirm(
        freshness.StoreConfirmation(
            sent_at,
            board.freshness.stored_revision,
            freshness.Source.TRANSACTION,
        )
    )


def make_request(path="/draft/1", method="POST", body=b"x", **headers):
    """Returns a caller's request.

    In the names of `headers`, _ stands for -; a header with the value None is
    left out.
    """
    values = {
        b"host": b"desk.example",
        names.HEADERS.request_id: b"attempt-1",
        names.HEADERS.key: b"key-1",
        names.HEADERS.tokens: b"100,40",
        names.HEADERS.deadline: b"20000",
    }
    for name, value in headers.items():
        values[name.replace("_", "-").encode()] = value
    return caller_request.Request(
        method,
        path,
        [(name, value) for name, value in values.items() if value is not None],
        body,
        True,
        True,
        0.0,
    )


class MemoryLog(decision_log.DecisionLog):
    """Decision log that keeps its entries in memory.

    Attributes:
        lines: event name and fields of each entry, in order.
    """

    def __init__(self):
        super().__init__(logging.getLogger("nutmeglift_gateway.test"))
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))

    def events(self):
        return [event for event, _ in self.lines]


class MemorySettings(settings_source.BaseSettingsSource):
    """In-memory replacement for the settings file.

    Attributes:
        settings: what is read.
        reads: number of reads.
        changed: whether a change is noticed; reset by a read.
    """

    def __init__(self, loaded):
        self.settings = loaded
        self.reads = 0
        self.changed = False

    def load(self):
        self.reads += 1
        self.changed = False
        return self.settings

    def has_changed(self):
        return self.changed


class MemoryRunners(ports.BaseRunners):
    """In-memory replacement for the client of the runners.

    Attributes:
        report_by_address: the runners' reports; an address without one is
            unavailable.
        outcomes: results of the next orders; BEGUN once it is empty.
        outcome_by_id: results of all orders to place layers to some runners.
        placed: server, layers and fencing number of each order to place
            layers.
        redirected: request id and path of each redirect.
        redirect_called: set at the first redirect.
    """

    def __init__(self):
        self.report_by_address = {}
        self.outcomes = []
        self.outcome_by_id = {}
        self.placed = []
        self.redirected = []
        self.redirect_called = asyncio.Event()

    async def report(self, address):
        report = self.report_by_address.get(address)
        if report is None:
            raise ports.RunnerUnavailableError("no report")
        return report

    async def place(self, server, layers, fence):
        self.placed.append((server, layers, fence))
        return self.outcome_by_id.get(server.id) or self._outcome()

    async def redirect(self, request_id, path):
        self.redirected.append((request_id, path))
        self.redirect_called.set()
        outcome = self._outcome()
        fault = ""
        if outcome is ports.OrderOutcome.CONFLICT:
            fault = path.parts[-1].server.address
        return ports.RedirectResult(outcome, fault)

    def path_value(self, path):
        return b",".join(
            b"%b=%d-%d" % (p.server.address.encode(), p.start, p.end)
            for p in path.parts
        )

    def _outcome(self):
        if self.outcomes:
            return self.outcomes.pop(0)
        return ports.OrderOutcome.BEGUN


class MemorySchema(ports.BaseSchema):
    """In-memory replacement for the platform's schema.

    Attributes:
        by_value: decoded object by raw value.
    """

    catalog_key = "operators/configuration"
    server_prefix = "backends/"

    def __init__(self):
        self.by_value = {}

    def decode_catalog(self, entry):
        return self._decode(entry)

    def decode_keys(self, entry):
        raise ports.UndecodableEntryError("unknown value")

    def decode_server(self, entry):
        fields = self._decode(entry)
        return make_server(
            entry.key.removeprefix(self.server_prefix),
            revision=entry.mod_revision,
            **fields,
        )

    def _decode(self, entry):
        if entry.value not in self.by_value:
            raise ports.UndecodableEntryError("unknown value")
        return self.by_value[entry.value]


def make_entry(key, value, revision):
    """Returns a store entry."""
    return kv.KeyValue(key, value, ids.Revision(revision))


def make_rng():
    """Returns a random number generator with a fixed seed."""
    return random.Random(5)
