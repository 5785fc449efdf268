"""The configuration in force: routes, services, accounts and limits."""

import dataclasses
import enum
import functools

from nutmeglift import ids


class Idempotency(enum.Enum):
    """What a route says about repeating its requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """A service and its share of a route's requests."""

    service: ids.ServiceId
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Where the requests of a host and path prefix go.

    Attributes:
        id: the route.
        host: value of the Host header, without a port.
        prefix: begins and ends with a slash.
        idempotency: what may be repeated.
        timeout: longest time that a request is kept waiting, in seconds.
        objective: time in which an answer is on time, in seconds.
        gap_objective: longest pause between events on time, in seconds.
        priority: 0 is served first.
        services: the services with their weights.
        max_attempts: most backend servers that one request is sent to.
        anonymous: whether no key is needed.
        resumable: whether a stream may go on at another backend server.
    """

    id: ids.RouteId
    host: str
    prefix: str
    idempotency: Idempotency
    timeout: float
    objective: float
    gap_objective: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    anonymous: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.idempotency is Idempotency.STREAM:
            return self.resumable
        return self.idempotency is Idempotency.SAFE

    @property
    def streaming(self) -> bool:
        """Whether the answer is a series of events."""
        return self.idempotency is Idempotency.STREAM


@dataclasses.dataclass(frozen=True)
class RunnerKind:
    """An accelerator's memory and speed.

    Attributes:
        name: the kind.
        memory_mb: memory for layers and requests, in MB.
        pace: factor on the time of a step.
        read_factor: factor on the time of reading prompts.
    """

    name: str
    memory_mb: float
    pace: float
    read_factor: float


@dataclasses.dataclass(frozen=True)
class Engine:
    """How the model engines of a service work.

    Attributes:
        layers: layers of the model.
        layer_mb: memory of one layer, in MB.
        slots: requests that a runner takes as the first of a pipeline.
        token_bytes: KV cache of one token over all layers, in bytes.
        activation_bytes: what one token sends to the next runner, in bytes.
        pipe_mbps: bandwidth between two failure domains, in Mbit/s.
        step_seconds: one token step over all layers, at pace 1.
        sequence_seconds: more of it for each sequence that is generating.
        context_seconds: more of it for each token of context.
        read_per_second: prompt tokens read a second over all layers.
        load_seconds: time to load all layers.
        loads_at_once: loads that run at full speed together.
        report_lag: age of a load report, in seconds.
        nominal_tokens: tokens of KV cache that a runner is built for.
        kind_by_name: the accelerators.
        domain_delay: one-way delay between failure domains, in seconds.
    """

    layers: int
    layer_mb: float
    slots: int
    token_bytes: float
    activation_bytes: float
    pipe_mbps: float
    step_seconds: float
    sequence_seconds: float
    context_seconds: float
    read_per_second: float
    load_seconds: float
    loads_at_once: int
    report_lag: float
    nominal_tokens: int
    kind_by_name: dict[str, RunnerKind]
    domain_delay: float

    @property
    def layer_token_mb(self) -> float:
        """KV cache of one token in one layer, in MB."""
        return self.token_bytes / self.layers / 1e6

    def kind(self, name: str) -> RunnerKind:
        """Returns a kind; the slowest known one for an unknown name."""
        found = self.kind_by_name.get(name)
        if found is not None:
            return found
        return max(self.kind_by_name.values(), key=lambda kind: kind.pace)

    def room(self, kind: RunnerKind, layers: int) -> float:
        """Returns the token-layers that fit beside so many layers."""
        free = kind.memory_mb - layers * self.layer_mb
        return max(0.0, free / self.layer_token_mb)

    def max_layers_with_capacity(self, kind: RunnerKind, tokens: float) -> int:
        """Returns the most layers that leave room for so many tokens."""
        each = self.layer_mb + self.layer_token_mb * tokens
        return min(self.layers, int(kind.memory_mb / each))

    def max_layers_in_memory(self, kind: RunnerKind) -> int:
        """Returns the most layers that fit into a kind's memory."""
        return min(self.layers, int(kind.memory_mb / self.layer_mb))


@dataclasses.dataclass(frozen=True)
class Service:
    """A group of equal backend servers.

    Attributes:
        id: the service.
        health_path: path of the health check.
        engine: how its model engines work; None for a plain service.
    """

    id: ids.ServiceId
    health_path: str
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True)
class Account:
    """A client account.

    Attributes:
        id: its name, as backend servers are told it.
        priority: goes before the route's; None where it has none.
    """

    id: ids.AccountId
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class ClientLimits:
    """What callers may send.

    Attributes:
        header_bytes: largest request head.
        body_bytes: largest request body.
        header_timeout: longest time to send a head, in seconds.
        idle_timeout: an idle connection is closed after it, in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclasses.dataclass(frozen=True)
class Catalog:
    """One version of the configuration, as a whole.

    Attributes:
        generation: rises with every version.
        routes: all routes.
        service_by_id: all services.
        account_by_key: the account that holds each API key.
        limits: what callers may send.
        accounts_required: whether routes need a key unless anonymous.
    """

    generation: ids.Generation
    routes: tuple[Route, ...]
    service_by_id: dict[ids.ServiceId, Service]
    account_by_key: dict[str, Account]
    limits: ClientLimits
    accounts_required: bool

    @functools.cached_property
    def _route_by_prefix_by_host(self) -> dict[str, dict[str, Route]]:
        table: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            table.setdefault(route.host.lower(), {})[route.prefix] = route
        return table

    def find_route(self, host: str, target: str) -> Route | None:
        """Returns the route with the longest prefix, or None.

        Args:
            host: the Host header; a port is ignored.
            target: path and query of the request.
        """
        name = host.rsplit(":", 1)[0] if ":" in host else host
        routes = self._route_by_prefix_by_host.get(name.lower())
        if not routes:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
