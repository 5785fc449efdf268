"""The active configuration: routes, services, accounts and limits."""

import dataclasses
import enum
import functools

from nutmeglift import ids
from nutmeglift_gateway.load import objectives


class Idempotency(enum.Enum):
    """Whether and how the requests of a route may be repeated."""

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
    """Destination of the requests for a host and path prefix.

    Attributes:
        id: the route.
        host: value of the Host header, without a port.
        prefix: path prefix; starts and ends with a slash.
        idempotency: whether and how its requests may be repeated.
        timeout: time limit for a complete response, in seconds.
        objective: latency objective of a response, in seconds.
        gap_objective: longest acceptable pause between two events of a
            stream, in seconds.
        priority: 0 is served first.
        services: the services with their weights.
        max_attempts: greatest number of backend servers that one request is
            sent to.
        anonymous: whether requests need no API key.
        resumable: whether a stream may continue at another backend server.
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
        """Whether a request may be run more than once."""
        if self.idempotency is Idempotency.STREAM:
            return self.resumable
        return self.idempotency is Idempotency.SAFE

    @property
    def streaming(self) -> bool:
        """Whether the response is a stream of events."""
        return self.idempotency is Idempotency.STREAM


@dataclasses.dataclass(frozen=True)
class RunnerKind:
    """Memory and speed of a kind of accelerator.

    Attributes:
        name: the kind.
        memory_mb: memory for layers and KV cache, in MB.
        pace: factor on the time of a decoding step; 1 is nominal.
        prompt_time_factor: factor on the time of processing a prompt.
    """

    name: str
    memory_mb: float
    pace: float
    prompt_time_factor: float


@dataclasses.dataclass(frozen=True)
class Engine:
    """Model and performance parameters of a service's runners.

    Attributes:
        layers: number of layers of the model.
        layer_mb: memory of one layer, in MB.
        slots: number of requests that a runner accepts as the first of a
            pipeline.
        token_bytes: KV cache of one token over all layers, in bytes.
        activation_bytes: activations of one token that are sent to the next
            runner, in bytes.
        pipe_mbps: bandwidth between two failure domains, in Mbit/s.
        step_seconds: time of one decoding step over all layers at pace 1, in
            seconds.
        sequence_seconds: additional step time per sequence that is decoding,
            in seconds.
        context_seconds: additional step time per token of context, in
            seconds.
        prompt_tokens_per_second: prompt tokens processed per second over all
            layers.
        load_seconds: time to load all layers, in seconds.
        loads_at_once: number of concurrent loads that run at full speed.
        report_lag: age of a load report, in seconds.
        nominal_tokens: nominal KV cache capacity of a runner, in tokens.
        kind_by_name: the kinds of accelerators.
        domain_delay: one-way delay between failure domains, in seconds.
        prompt_chunk_tokens: prompt tokens that a runner processes at most in
            one decoding step; 0 if that isn't known.
        prompt_pair_seconds: additional prompt time per pair of a token and an
            earlier one, in seconds.
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
    prompt_tokens_per_second: float
    load_seconds: float
    loads_at_once: int
    report_lag: float
    nominal_tokens: int
    kind_by_name: dict[str, RunnerKind]
    domain_delay: float
    prompt_chunk_tokens: int = 0
    prompt_pair_seconds: float = 0.0

    @property
    def layer_token_mb(self) -> float:
        """KV cache of one token in one layer, in MB."""
        return self.token_bytes / self.layers / 1e6

    def kind(self, name: str) -> RunnerKind:
        """Returns a kind, or the slowest known one if the name is unknown."""
        found = self.kind_by_name.get(name)
        if found is not None:
            return found
        return max(self.kind_by_name.values(), key=lambda kind: kind.pace)

    def token_layer_capacity(self, kind: RunnerKind, layers: int) -> float:
        """Returns the KV cache capacity beside a number of layers.

        Returns:
            The capacity in token-layers: one token in one layer counts as one.
        """
        free = kind.memory_mb - layers * self.layer_mb
        return max(0.0, free / self.layer_token_mb)

    def max_layers_with_capacity(self, kind: RunnerKind, tokens: float) -> int:
        """Returns how many layers fit beside the KV cache of these tokens."""
        each = self.layer_mb + self.layer_token_mb * tokens
        return min(self.layers, int(kind.memory_mb / each))

    def max_layers_in_memory(self, kind: RunnerKind) -> int:
        """Returns how many layers fit into a kind's memory."""
        return min(self.layers, int(kind.memory_mb / self.layer_mb))


@dataclasses.dataclass(frozen=True)
class Service:
    """A group of interchangeable backend servers.

    Attributes:
        id: the service.
        health_path: path of the health check.
        engine: parameters of its runners; None for a plain service.
    """

    id: ids.ServiceId
    health_path: str
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True)
class Account:
    """A client account.

    Attributes:
        id: name that is sent to backend servers.
        priority: overrides the route's priority unless None.
    """

    id: ids.AccountId
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class ClientLimits:
    """Limits on what callers may send.

    Attributes:
        header_bytes: largest request head, in bytes.
        body_bytes: largest request body, in bytes.
        header_timeout: longest time to send a request head, in seconds.
        idle_timeout: time after which an idle connection is closed, in
            seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclasses.dataclass(frozen=True)
class Catalog:
    """One complete version of the configuration.

    Attributes:
        generation: version number; increases with every version.
        routes: all routes.
        service_by_id: all services.
        account_by_key: account of each API key.
        limits: limits on what callers may send.
        accounts_required: whether routes need an API key unless they are
            anonymous.
    """

    generation: ids.Generation
    routes: tuple[Route, ...]
    service_by_id: dict[ids.ServiceId, Service]
    account_by_key: dict[str, Account]
    limits: ClientLimits
    accounts_required: bool

    @functools.cached_property
    def kinds_by_service(self) -> dict[ids.ServiceId, frozenset[str] | None]:
        """The kinds of runners of each service; None for a plain service."""
        return {
            service.id: frozenset(service.engine.kind_by_name)
            if service.engine
            else None
            for service in self.service_by_id.values()
        }

    @functools.cached_property
    def _max_prefix_length(self) -> int:
        return max((len(route.prefix) for route in self.routes), default=0)

    @functools.cached_property
    def _route_by_prefix_by_host(self) -> dict[str, dict[str, Route]]:
        table: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            table.setdefault(route.host.lower(), {})[route.prefix] = route
        return table

    @functools.cached_property
    def objectives_by_service(
        self,
    ) -> dict[ids.ServiceId, objectives.Objectives]:
        """What the streaming routes of each service ask for.

        Priorities of client accounts don't count: the paths of routes with one
        priority and one objective don't depend on who calls.
        """
        levels_by_service: dict[
            ids.ServiceId, list[tuple[int, float, float]]
        ] = {}
        for route in self.routes:
            if not route.streaming:
                continue
            level = (route.priority, route.objective, route.gap_objective)
            for each in route.services:
                levels_by_service.setdefault(each.service, []).append(level)
        return {
            service: found
            for service, levels in levels_by_service.items()
            if (found := objectives.combine(levels)) is not None
        }

    def find_route(self, host: str, target: str) -> Route | None:
        """Returns the route with the longest prefix, or None.

        Args:
            host: value of the Host header; a port is ignored.
            target: path and query of the request.
        """
        has_port = ":" in host and not host.endswith("]")
        name = host.rsplit(":", 1)[0] if has_port else host
        routes = self._route_by_prefix_by_host.get(name.lower())
        if not routes:
            return None
        path = target.partition("?")[0][: self._max_prefix_length]
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
