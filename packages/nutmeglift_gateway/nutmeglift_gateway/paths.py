"""Finds a path: a chain of runners that covers every layer once and in order.

A path may use any subset of a runner's consecutive layers. Its cost is the
duration of one token step: each runner's time for its part of the layers at its
current load, and the delay of each crossing between failure domains. The
cheapest path is found by dynamic programming over the layers, so that a
failure domain that lacks some layers uses another domain for these only.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import itertools

from nutmeglift import ids
from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory
from nutmeglift_gateway import loads
from nutmeglift_gateway import path_cache
from nutmeglift_gateway import path_costs
from nutmeglift_gateway import path_search
from nutmeglift_gateway.load import objectives as objective_sets
from nutmeglift_gateway.load import urgency as urgencies

MAX_MEMORY_RATIO = 0.97
"""Maximum part of a runner's KV cache to reserve. Reservations count what a
request holds on average; a request holds less at its start than at its end. A
runner that is full nevertheless rejects the request, which is then retried
elsewhere."""
MAX_SLOT_RATIO = 0.95
"""Maximum part of a first runner's slots to use; the rest is for requests that
other routers sent since their last report."""
REMOTE_DOMAIN_COST_RATIO = 1.3
"""Factor by which a pipeline in another failure domain has to be faster,
because traffic between failure domains is billed by the byte."""
NO_ADDRESSES: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """The layers that one runner runs for a request."""

    server: directory.Server
    start: int
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Path:
    """A chain of parts from the first layer to the last.

    Attributes:
        parts: one or more parts.
        step_seconds: expected duration of one token step.
        cost: value by which paths are compared: the duration of a step, plus
            surcharges for crossings and crowded runners.
        idle_seconds: duration of a token step without other requests.
    """

    parts: tuple[Part, ...]
    step_seconds: float
    cost: float = dataclasses.field(default=0.0, compare=False)
    idle_seconds: float = dataclasses.field(default=0.0, compare=False)

    @property
    def crossings(self) -> int:
        """Number of times that it passes from one failure domain to another."""
        domains = [part.server.domain for part in self.parts]
        return sum(one != other for one, other in itertools.pairwise(domains))

    @property
    def first(self) -> directory.Server:
        """The runner that the request is sent to."""
        return self.parts[0].server

    def passes(self, address: str) -> bool:
        """Returns whether a runner is on the path."""
        return any(part.server.address == address for part in self.parts)

    def reservations(
        self, tokens: float, prompt_tokens: int = 0
    ) -> tuple[loads.Reservation, ...]:
        """Returns the reservations for a request.

        Args:
            tokens: tokens that it holds.
            prompt_tokens: tokens of its prompt.
        """
        return tuple(
            loads.Reservation(
                part.server.address,
                index == 0,
                tokens * (part.end - part.start),
                prompt_tokens * (part.end - part.start),
            )
            for index, part in enumerate(self.parts)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class PathRequirements:
    """Requirements of a request on its path.

    Attributes:
        home: the router's failure domain.
        tokens: tokens that the request will hold in the KV cache.
        may_cross: whether the path may cross between failure domains.
        prompt_tokens: tokens of its prompt.
        urgency: what it asks for; None to take the cheapest path.
        objectives: what the requests of its service ask for.
    """

    home: ids.FailureDomain
    tokens: float
    may_cross: bool = True
    prompt_tokens: int = 0
    urgency: urgencies.Urgency | None = None
    objectives: objective_sets.Objectives | None = None

    @property
    def by_objective(self) -> bool:
        """Whether its urgency matters: requests of its service differ in it."""
        return (
            self.urgency is not None
            and self.objectives is not None
            and self.objectives.differ
        )


class PathFinder:
    """Finds paths over the runners of one service.

    Attributes:
        engine: performance model and limits of the runners.
        costs: costs of the runners at their current load.
    """

    def __init__(
        self,
        engine: catalog.Engine,
        load_tracker: loads.LoadTracker,
        pace_of: Callable[[str], float],
        full: frozenset[str] = NO_ADDRESSES,
        cache: path_cache.PathCache[Path] | None = None,
    ) -> None:
        """Initializes a path finder.

        Args:
            engine: performance model and limits of the runners.
            load_tracker: load of the runners.
            pace_of: returns the pace of the runner at an address.
            full: addresses of runners that recently rejected requests; they
                are not used for new parts.
            cache: keeps paths over the usable runners.
        """
        self.engine = engine
        self._load_tracker = load_tracker
        self.costs = path_costs.PathCosts(engine, load_tracker, pace_of)
        self._default_crossing_cost = (
            self.costs.crossing_seconds() * path_costs.CROSSING_COST_RATIO
        )
        self._full = full
        self._pace_of = pace_of
        self._cache = cache

    def find(
        self,
        servers: Iterable[directory.Server],
        requirements: PathRequirements,
    ) -> Path | None:
        """Returns the cheapest path, or None if there is none.

        A path over several failure domains is considered only if no single
        failure domain has a complete path.

        Args:
            servers: the runners that may be used.
            requirements: requirements of the request.
        """
        best: Path | None = None
        best_cost = float("inf")
        for path in self.find_by_domain(servers, requirements):
            cost_ratio = (
                1.0
                if path.first.domain == requirements.home
                else REMOTE_DOMAIN_COST_RATIO
            )
            cost = path.cost * cost_ratio
            if cost < best_cost:
                best, best_cost = path, cost
        if best is not None or not requirements.may_cross:
            return best
        usable = [s for s in servers if self._is_usable(s, requirements)]
        return self.find_chain(
            usable, path_search.Segment(0, self.engine.layers)
        )

    def find_chain(
        self,
        servers: Iterable[directory.Server],
        segment: path_search.Segment,
    ) -> Path | None:
        """Returns the cheapest chain of runners for a range of layers.

        Args:
            servers: the runners, which have room.
            segment: the layers.
        """
        return self._search(servers, segment, self.costs.layer_cost)

    def find_by_domain(
        self,
        servers: Iterable[directory.Server],
        requirements: PathRequirements,
        limit: int | None = None,
    ) -> list[Path]:
        """Returns the cheapest path within each failure domain that has one.

        Args:
            servers: the runners that may be used.
            requirements: requirements of the request.
            limit: number of failure domains to search, where paths are kept;
                None for all.
        """
        cache = self._cache
        if cache is not None and servers is cache.servers:
            return self._find_cached(cache, requirements, limit)
        return self._search_domains(
            servers, requirements, self.costs.layer_cost
        )

    def _find_cached(
        self,
        cache: path_cache.PathCache[Path],
        requirements: PathRequirements,
        limit: int | None,
    ) -> list[Path]:
        found = []
        domains = cache.domains
        if limit is not None:
            domains = cache.nearby(requirements.home, limit)
        for each in domains:
            state = path_cache.State(
                self._load_tracker.versions(each.addresses),
                self._full.intersection(each.addresses),
                tuple(map(self._pace_of, each.addresses)),
            )
            if not each.is_valid(state, requirements.tokens):
                self._update(each, state, requirements)
            if each.path is not None:
                found.append(each.path)
        return found

    def _update(
        self,
        known: path_cache.DomainPath[Path],
        state: path_cache.State,
        requirements: PathRequirements,
    ) -> None:
        """Finds the cheapest path of a failure domain again."""
        known.state = state
        known.min_tokens, known.max_tokens = -1.0, float("inf")
        tokens, cost_of = requirements.tokens, self.costs.loaded_layer_cost
        holders = []
        for server, shape, pace in zip(
            known.servers, known.shapes, state.paces, strict=True
        ):
            if server.address in state.full:
                continue
            load = self._load_tracker.at(server.address)
            free_tokens = self._free_tokens(shape, load)
            if tokens > free_tokens:
                known.min_tokens = max(known.min_tokens, free_tokens)
                continue
            known.max_tokens = min(known.max_tokens, free_tokens)
            holders.append(
                path_search.Holder(
                    server,
                    server.layers.start,
                    server.layers.end,
                    cost_of(load, shape, pace),
                    load.requests_as_first < shape.slots * MAX_SLOT_RATIO,
                )
            )
        known.path = self._make_path(
            path_search.search(
                holders,
                path_search.Segment(0, self.engine.layers),
                self._default_crossing_cost,
            )
        )
        known.cost = known.path.cost if known.path else float("inf")

    def find_earliest(
        self,
        servers: Iterable[directory.Server],
        requirements: PathRequirements,
    ) -> Path | None:
        """Returns the path of the earliest first event, or None.

        It may cross between failure domains if the request's path may.
        """
        prompt_tokens = requirements.prompt_tokens
        crossing_seconds = self.costs.crossing_seconds(prompt_tokens)
        return self._search(
            [s for s in servers if self._is_usable(s, requirements)],
            path_search.Segment(0, self.engine.layers),
            lambda server: self.costs.first_event_layer_cost(
                server, prompt_tokens
            ),
            crossing_seconds if requirements.may_cross else float("inf"),
        )

    def _search_domains(
        self,
        servers: Iterable[directory.Server],
        requirements: PathRequirements,
        layer_cost: Callable[[directory.Server], float],
    ) -> list[Path]:
        usable_by_domain: dict[ids.FailureDomain, list[directory.Server]] = {}
        for server in servers:
            if self._is_usable(server, requirements):
                usable_by_domain.setdefault(server.domain, []).append(server)
        all_layers = path_search.Segment(0, self.engine.layers)
        found = [
            self._search(usable, all_layers, layer_cost)
            for usable in usable_by_domain.values()
        ]
        return [path for path in found if path is not None]

    def _is_usable(
        self, server: directory.Server, requirements: PathRequirements
    ) -> bool:
        return server.layers.count > 0 and self.has_room(server, requirements)

    def has_room(
        self, server: directory.Server, requirements: PathRequirements
    ) -> bool:
        """Returns whether a runner has memory for a request."""
        if server.address in self._full:
            return False
        return requirements.tokens <= self._free_tokens(
            self.costs.shape(server), self._load_tracker.at(server.address)
        )

    def _free_tokens(self, shape: path_costs.Shape, load: loads.Load) -> float:
        """Returns the tokens that a runner has room for in all its layers."""
        free = shape.room * MAX_MEMORY_RATIO - load.token_layers
        return free / min(shape.held, self.engine.layers)

    def _search(
        self,
        servers: Iterable[directory.Server],
        segment: path_search.Segment,
        layer_cost: Callable[[directory.Server], float],
        crossing_cost: float | None = None,
    ) -> Path | None:
        holders = [
            path_search.Holder(
                server,
                server.layers.start,
                server.layers.end,
                layer_cost(server),
                self._load_tracker.at(server.address).requests_as_first
                < self.costs.shape(server).slots * MAX_SLOT_RATIO,
            )
            for server in servers
        ]
        if crossing_cost is None:
            crossing_cost = self._default_crossing_cost
        return self._make_path(
            path_search.search(holders, segment, crossing_cost)
        )

    def _make_path(self, chain: path_search.Chain | None) -> Path | None:
        if chain is None:
            return None
        costs = self.costs
        parts = tuple([Part(*each) for each in chain.parts])
        seconds = 0.0
        idle_seconds = 0.0
        for server, start, end in chain.parts:
            seconds += (end - start) * costs.layer_seconds(server)
            idle_seconds += (end - start) * costs.shape(server).step_ratio
        idle_seconds *= self.engine.step_seconds
        path = Path(parts, seconds, chain.cost, idle_seconds)
        if not path.crossings:
            return path
        delay = path.crossings * costs.crossing_seconds()
        return dataclasses.replace(
            path,
            step_seconds=seconds + delay,
            idle_seconds=idle_seconds + delay,
        )
