"""Writes configurations that vary within what every caller may use."""

import asyncio
import dataclasses
import json

from nutmeglift import kv
from tests.gateway import test_platform_schema
from tests.soak import in_force
from tests.soak import route_changes

CONFIG_KEY = "op/config"
APPLY_SECONDS = 2.0
"""Time after which a configuration is in force on every router."""
KINDS = ("stream", "safe", "unsafe")
SERVICES_BY_KIND = {
    "stream": ("model", "model-b"),
    "safe": ("core", "core-b"),
    "unsafe": ("core", "core-b"),
}
MODELS = SERVICES_BY_KIND["stream"]
RUNNER_MEMORY_MB = 72000.0
"""Holds 41 of the 80 layers, so that requests take several runners."""
MIN_RUNNERS = 3
"""Number of runners that hold all layers with room for requests."""
PLAIN_SERVICES = SERVICES_BY_KIND["safe"]
MAX_TIMEOUT_SECONDS = 5.0


@dataclasses.dataclass
class Written:
    """A configuration that was written.

    Attributes:
        at: time of writing, in seconds of the event loop's clock.
        timeout_by_kind: time-out of each route in seconds.
        number: its version number.
        kept_since: since when the store keeps it; infinite once it is lost.
    """

    at: float
    timeout_by_kind: dict[str, float]
    number: int = 0
    kept_since: float = 0.0


def _make_version(config):
    """Returns what a configuration allows."""
    return in_force.Version(
        config["version"],
        {
            (route["host"], route["prefix"]): frozenset(
                backend["service"] for backend in route["backends"]
            )
            for route in config["routes"]
        },
        frozenset(
            key for tenant in config["tenants"] for key in tenant["api_keys"]
        ),
    )


class ConfigWriter:
    """Writes the configuration; keeps what it wrote.

    Attributes:
        written: all configurations so far, in order.
        history: the same as the judge of responses needs them.
        extra: the routes and keys beside those that all callers use.
    """

    def __init__(self, memory, rng, callers):
        self.written = []
        self.history = in_force.History()
        self.extra = route_changes.ExtraRoutes(rng)
        self._number_by_raw = {}
        self._config = {}
        self._memory = memory
        self._rng = rng
        self._callers = callers
        self._version = 1
        self._timeout_by_kind = dict.fromkeys(KINDS, MAX_TIMEOUT_SECONDS)
        self._weights_by_kind = dict.fromkeys(KINDS, (1.0, 0.0))
        self._idle_timeout = 15.0
        self._max_header_bytes = 16384

    def vary(self):
        """Changes parts of the next configuration."""
        self.extra.vary()
        kind = self._rng.choice(KINDS)
        match self._rng.choice(["service", "weights", "time-out", "limits"]):
            case "service":
                weights = self._weights_by_kind[kind]
                self._weights_by_kind[kind] = (
                    (0.0, 1.0) if weights[0] else (1.0, 0.0)
                )
            case "weights":
                first = self._rng.uniform(0.1, 0.9)
                self._weights_by_kind[kind] = (first, 1 - first)
            case "time-out":
                self._timeout_by_kind[kind] = self._rng.choice(
                    [1.5, 2.5, MAX_TIMEOUT_SECONDS]
                )
            case "limits":
                self._idle_timeout = self._rng.choice([0.3, 1.0, 15.0])
                self._max_header_bytes = self._rng.choice([4096, 16384])

    async def write(self):
        """Writes the next version once the store is there."""
        await self._memory.wait_until_present()
        self._config = self._next_version()
        now = asyncio.get_running_loop().time()
        self.written.append(
            Written(
                now, dict(self._timeout_by_kind), self._config["version"], now
            )
        )
        await self._put(self._config)
        self._acknowledge()

    async def write_again(self):
        """Writes the newest version again, unless the store has it."""
        await self._memory.wait_until_present()
        if CONFIG_KEY in self._memory.lost_keys():
            await self._put(self._config)
            self.written[-1].kept_since = asyncio.get_running_loop().time()
            self._acknowledge()

    def lose(self, raw):
        """Records that the store came back with an older configuration.

        Args:
            raw: the configuration that it came back with.
        """
        now = asyncio.get_running_loop().time()
        number, is_valid = self._number_by_raw[raw]
        self.history.lose(number, now)
        if not is_valid:
            self.history.overwrite(now)
        for each in self.written:
            if each.number > number:
                each.kept_since = float("inf")

    def _acknowledge(self):
        self.history.acknowledge(
            _make_version(self._config), asyncio.get_running_loop().time()
        )

    async def write_odd(self):
        """Writes a version that is invalid, and must not come into force."""
        await self._memory.wait_until_present()
        config = self._next_version()
        odd = self._rng.choice(
            [
                {"routes": "none"},
                {"version": 10**30},
                {"services": [{"name": "model", "engine": {"layers": -1}}]},
                {"routes": [config["routes"][0] | {"kind": "unheard-of"}]},
                {"limits": {"max_header_bytes": -1}},
            ]
        )
        await self._put(config, odd)
        self.history.overwrite(asyncio.get_running_loop().time())

    async def _put(self, config, odd=None):
        raw = json.dumps(config | (odd or {})).encode()
        self._number_by_raw[raw] = (config["version"], odd is None)
        await self._memory.txn([], [kv.Put(CONFIG_KEY, raw)])

    def _next_version(self):
        self._version += self._rng.randint(1, 4)
        engine = json.loads(json.dumps(test_platform_schema.ENGINE))
        engine["kinds"][0]["mb"] = RUNNER_MEMORY_MB
        return {
            "version": self._version,
            "routes": [self._route(kind) for kind in KINDS]
            + self.extra.routes(),
            "services": [{"name": name, "engine": engine} for name in MODELS]
            + [{"name": name} for name in PLAIN_SERVICES],
            "limits": {
                "idle_timeout_ms": self._idle_timeout * 1000,
                "max_header_bytes": self._max_header_bytes,
            },
            "tenants": [
                {"name": "bank", "api_keys": list(self._callers.keys)},
                {"name": "shop", "api_keys": list(self.extra.keys)},
            ],
        }

    def min_timeout(self, kind, sent_at, ended_at):
        """Returns the shortest time-out that may have been in force."""
        in_force = [w for w in self.written if w.at <= ended_at]
        oldest = max(
            (
                index
                for index, written in enumerate(in_force)
                if max(written.at, written.kept_since) < sent_at - APPLY_SECONDS
            ),
            default=0,
        )
        candidates = in_force[oldest:]
        return min(each.timeout_by_kind[kind] for each in candidates)

    def _route(self, kind):
        return {
            "name": kind,
            "host": "desk.example",
            "prefix": f"/{kind}/",
            "kind": "streaming" if kind == "stream" else kind,
            "timeout_ms": self._timeout_by_kind[kind] * 1000,
            "backends": [
                {"service": service, "weight": weight}
                for service, weight in zip(
                    SERVICES_BY_KIND[kind],
                    self._weights_by_kind[kind],
                    strict=True,
                )
                if weight
            ],
            "max_attempts": 1 if kind == "unsafe" else 2,
            "resumable": kind == "stream",
        }
