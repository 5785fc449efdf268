"""Keeps the cheapest path of each failure domain until its load changes."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

from nutmeglift import ids
from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory
from nutmeglift_gateway import path_costs

ROUNDING_TOKENS = 1e-6
"""Larger than the rounding error of the tokens that a runner has room for."""

PathT = TypeVar("PathT")


class State(NamedTuple):
    """What the cheapest path of a failure domain depends on.

    Attributes:
        versions: versions of its runners' loads.
        full: addresses of runners that recently rejected requests.
        paces: paces of its runners.
    """

    versions: tuple[int, ...]
    full: frozenset[str]
    paces: tuple[float, ...]


@dataclasses.dataclass(slots=True)
class DomainPath(Generic[PathT]):
    """The cheapest path within one failure domain.

    Attributes:
        domain: the failure domain.
        servers: its runners that hold layers.
        addresses: their addresses, in the same order.
        shapes: their memory and speed, in the same order.
        state: state for which the path was found; None before the first time.
        min_tokens: the path holds for requests of more tokens than this,
        max_tokens: and of fewer than this.
        path: the path; None if there is none.
        cost: its cost; 0 before the first search.
        chosen: number of the choice that considered it last.
    """

    domain: ids.FailureDomain
    servers: list[directory.Server]
    addresses: tuple[str, ...]
    shapes: list[path_costs.Shape]
    state: State | None = None
    min_tokens: float = 0.0
    max_tokens: float = 0.0
    path: PathT | None = None
    cost: float = 0.0
    chosen: int = 0

    def is_valid(self, state: State, tokens: float) -> bool:
        """Returns whether the path holds for a request.

        Args:
            state: the present state.
            tokens: tokens that the request will hold in the KV cache.
        """
        return (
            state == self.state
            and self.min_tokens < tokens - ROUNDING_TOKENS
            and self.max_tokens > tokens + ROUNDING_TOKENS
        )


class PathCache(Generic[PathT]):
    """The cheapest paths over the usable runners of one service.

    Attributes:
        engine: performance model and limits of the runners.
        servers: the runners; the paths hold for this very sequence.
        domains: the paths by failure domain.
    """

    def __init__(
        self, engine: catalog.Engine, servers: Sequence[directory.Server]
    ) -> None:
        """Initializes without any path.

        Args:
            engine: performance model and limits of the runners.
            servers: the usable runners, which must not change any more.
        """
        self.engine = engine
        self.servers = servers
        members: dict[ids.FailureDomain, list[directory.Server]] = {}
        for server in servers:
            if server.layers.count:
                members.setdefault(server.domain, []).append(server)
        self.domains: list[DomainPath[PathT]] = [
            DomainPath(
                domain,
                each,
                tuple(server.address for server in each),
                [path_costs.make_shape(engine, server) for server in each],
            )
            for domain, each in members.items()
        ]
        self._choices = 0

    def nearby(
        self, home: ids.FailureDomain, limit: int
    ) -> list[DomainPath[PathT]]:
        """Returns the failure domains to search for a request.

        They are the home domain, those whose path was the cheapest, and the one
        that was left out for longest.

        Args:
            home: the router's failure domain.
            limit: number of failure domains.
        """
        if len(self.domains) <= limit:
            return self.domains
        self._choices += 1
        ranked = sorted(
            self.domains, key=lambda each: (each.domain != home, each.cost)
        )
        selected = ranked[: limit - 1]
        selected.append(min(ranked[limit - 1 :], key=lambda each: each.chosen))
        for each in selected:
            each.chosen = self._choices
        return selected


class PathCaches(Generic[PathT]):
    """The cheapest paths of all services."""

    def __init__(self) -> None:
        self._by_service: dict[ids.ServiceId, PathCache[PathT]] = {}

    def of(
        self,
        configuration: catalog.Catalog | None,
        engine: catalog.Engine,
        usable: Callable[[ids.ServiceId], list[directory.Server]],
    ) -> PathCache[PathT] | None:
        """Returns the paths of the service that an engine belongs to.

        Args:
            configuration: the configuration in force.
            engine: the engine.
            usable: returns the usable runners of a service, in the same list
                until they change.
        """
        services = configuration.service_by_id if configuration else {}
        for service in services.values():
            if service.engine is engine:
                servers = usable(service.id)
                cache = self._by_service.get(service.id)
                if (
                    cache is None
                    or cache.engine is not engine
                    or cache.servers is not servers
                ):
                    self._by_service = {
                        id_: each
                        for id_, each in self._by_service.items()
                        if id_ in services
                    }
                    cache = self._by_service[service.id] = PathCache(
                        engine, servers
                    )
                return cache
        return None
