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
from nutmeglift_gateway import path_costs
from nutmeglift_gateway.load import objectives as objective_sets
from nutmeglift_gateway.load import urgency as urgencies

MAX_PART_COUNT = 32
"""Runners reject longer paths (limit of the engines' protocol)."""
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
    """

    parts: tuple[Part, ...]
    step_seconds: float
    cost: float = dataclasses.field(default=0.0, compare=False)

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


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """A range of layers to find runners for.

    Attributes:
        start: first layer.
        end: the layer after the last.
        domain: failure domain of the runner before the range; empty if there
            is none.
    """

    start: int
    end: int
    domain: str = ""


@dataclasses.dataclass(slots=True)
class _PartialPath:
    cost: float
    count: int
    domain: str
    part: Part | None
    previous: "_PartialPath | None"


class UsableRunners:
    """Runners that may be used, and the layers that they hold.

    Attributes:
        by_id: the runners by id.
    """

    def __init__(self, servers: Iterable[directory.Server]) -> None:
        self.by_id = {server.id: server for server in servers}

    def holds(self, part: Part) -> bool:
        """Returns whether a part's runner is usable and holds its layers."""
        server = self.by_id.get(part.server.id)
        if server is None or server.lifetime != part.server.lifetime:
            return False
        return (
            server.layers.start <= part.start and part.end <= server.layers.end
        )


class PathFinder:
    """Finds paths over the runners of one service.

    Attributes:
        engine: performance model and limits of the runners.
    """

    def __init__(
        self,
        engine: catalog.Engine,
        load_tracker: loads.LoadTracker,
        pace_of: Callable[[str], float],
        full: frozenset[str] = frozenset(),
    ) -> None:
        """Initializes a path finder.

        Args:
            engine: performance model and limits of the runners.
            load_tracker: load of the runners.
            pace_of: returns the pace of the runner at an address.
            full: addresses of runners that recently rejected requests; they
                are not used for new parts.
        """
        self.engine = engine
        self._load_tracker = load_tracker
        self._costs = path_costs.PathCosts(engine, load_tracker, pace_of)
        self._full = full

    @property
    def costs(self) -> path_costs.PathCosts:
        """The costs of the runners at their current load."""
        return self._costs

    def layer_seconds(self, server: directory.Server) -> float:
        """Returns a runner's expected seconds for one layer of a token step."""
        return self._costs.layer_seconds(server)

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
        return self._search(
            usable, Segment(0, self.engine.layers), self._costs.layer_cost
        )

    def find_by_domain(
        self,
        servers: Iterable[directory.Server],
        requirements: PathRequirements,
    ) -> list[Path]:
        """Returns the cheapest path within each failure domain that has one."""
        return self._search_domains(
            servers, requirements, self._costs.layer_cost
        )

    def find_earliest(
        self,
        servers: Iterable[directory.Server],
        requirements: PathRequirements,
    ) -> list[Path]:
        """Returns the paths of the earliest first event.

        Returns:
            One within each failure domain that has one, and one that may cross
            between them if the request's may.
        """
        prompt_tokens = requirements.prompt_tokens

        def layer_cost(server: directory.Server) -> float:
            return self._costs.first_event_layer_cost(server, prompt_tokens)

        usable = [s for s in servers if self._is_usable(s, requirements)]
        found = self._search_domains(usable, requirements, layer_cost)
        if requirements.may_cross:
            path = self._search(
                usable,
                Segment(0, self.engine.layers),
                layer_cost,
                self._costs.crossing_seconds(prompt_tokens),
            )
            found += [path] if path is not None and path.crossings else []
        return found

    def find_slower(
        self,
        servers: Iterable[directory.Server],
        requirements: PathRequirements,
        found: Iterable[Path],
    ) -> list[Path]:
        """Returns paths that leave out the fastest kind of other paths.

        Args:
            servers: the runners that may be used.
            requirements: requirements of the request.
            found: the other paths, of different failure domains.
        """
        pace_limit_by_domain = {
            path.first.domain: min(
                self.engine.kind(part.server.kind).pace for part in path.parts
            )
            for path in found
        }
        slower = [
            server
            for server in servers
            if self.engine.kind(server.kind).pace
            > pace_limit_by_domain.get(server.domain, float("inf"))
        ]
        return self.find_by_domain(slower, requirements)

    def idle_seconds(self, path: Path) -> float:
        """Returns a path's seconds for a token step without other requests."""
        return (
            sum(
                (part.end - part.start)
                * self.engine.kind(part.server.kind).pace
                for part in path.parts
            )
            * self.engine.step_seconds
            / self.engine.layers
        ) + path.crossings * self._costs.crossing_seconds()

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
        all_layers = Segment(0, self.engine.layers)
        found = [
            self._search(usable, all_layers, layer_cost)
            for usable in usable_by_domain.values()
        ]
        return [path for path in found if path is not None]

    def _is_usable(
        self, server: directory.Server, requirements: PathRequirements
    ) -> bool:
        return server.layers.count > 0 and self.has_room(server, requirements)

    def repair(
        self,
        path: Path,
        servers: Iterable[directory.Server],
        requirements: PathRequirements,
    ) -> Path | None:
        """Returns a path with the same first part that avoids lost runners.

        Each part whose runner is lost, or no longer holds the layers, is
        replaced by a chain of runners that are not on the path yet. All other
        parts are unchanged and so keep their KV caches.

        Args:
            path: the path of a running request.
            servers: the runners that may be used.
            requirements: requirements of the request.

        Returns:
            The new path, or None if there is none.
        """
        runners = UsableRunners(servers)
        if path.first.id not in runners.by_id:
            return None
        on_path = {part.server.id for part in path.parts}
        candidates = [
            server
            for server in runners.by_id.values()
            if server.id not in on_path
            and server.layers.count
            and self.has_room(server, requirements)
        ]
        parts: list[Part] = []
        seconds = 0.0
        for part in path.parts:
            if not parts or runners.holds(part):
                parts.append(part)
                seconds += (part.end - part.start) * self.layer_seconds(
                    part.server
                )
                continue
            segment = Segment(part.start, part.end, parts[-1].server.domain)
            chain = self._search(candidates, segment, self._costs.layer_cost)
            if chain is None:
                return None
            used_ids = {each.server.id for each in chain.parts}
            candidates = [
                server for server in candidates if server.id not in used_ids
            ]
            parts += chain.parts
            seconds += chain.step_seconds
        if len(parts) > MAX_PART_COUNT:
            return None
        return Path(tuple(parts), seconds)

    def has_room(
        self, server: directory.Server, requirements: PathRequirements
    ) -> bool:
        """Returns whether a runner has memory for a request."""
        if server.address in self._full:
            return False
        load = self._load_tracker.at(server.address)
        kind = self.engine.kind(server.kind)
        room = self.engine.token_layer_capacity(kind, server.layers.count)
        needed = requirements.tokens * min(
            server.layers.count, self.engine.layers
        )
        return load.token_layers + needed <= room * MAX_MEMORY_RATIO

    def _has_free_slot(self, server: directory.Server) -> bool:
        slots = server.slots or self.engine.slots
        return (
            self._load_tracker.at(server.address).requests_as_first
            < slots * MAX_SLOT_RATIO
        )

    def _search(
        self,
        servers: list[directory.Server],
        segment: Segment,
        layer_cost: Callable[[directory.Server], float],
        crossing: float | None = None,
    ) -> Path | None:
        if crossing is None:
            crossing = (
                self._costs.crossing_seconds() * path_costs.CROSSING_COST_RATIO
            )
        costs = {s.address: layer_cost(s) for s in servers}
        begin = _PartialPath(0.0, 0, segment.domain, None, None)
        frontier: dict[int, dict[str, _PartialPath]] = {
            segment.start: {segment.domain: begin}
        }
        while frontier:
            at = min(frontier)
            partial_paths = frontier.pop(at)
            if at >= segment.end:
                return self._trace(
                    min(partial_paths.values(), key=lambda p: p.cost)
                )
            for server in servers:
                held = server.layers
                if not held.start <= at < held.end:
                    continue
                if at == 0 and not self._has_free_slot(server):
                    continue
                end = min(held.end, segment.end)
                part = Part(server, at, end)
                part_cost = (end - at) * costs[server.address]
                _extend(
                    frontier.setdefault(end, {}),
                    partial_paths,
                    part,
                    part_cost,
                    crossing,
                )
            frontier = {
                at: partial_paths
                for at, partial_paths in frontier.items()
                if partial_paths
            }
        return None

    def _trace(self, partial: _PartialPath) -> Path:
        parts = []
        current: _PartialPath | None = partial
        while current is not None and current.part is not None:
            parts.append(current.part)
            current = current.previous
        parts.reverse()
        seconds = sum(
            (part.end - part.start) * self.layer_seconds(part.server)
            for part in parts
        )
        path = Path(tuple(parts), seconds, partial.cost)
        delay = path.crossings * self._costs.crossing_seconds()
        return dataclasses.replace(path, step_seconds=seconds + delay)


def _extend(
    partial_by_domain: dict[str, _PartialPath],
    partial_paths: dict[str, _PartialPath],
    part: Part,
    part_cost: float,
    crossing: float,
) -> None:
    """Records the cheapest partial path that ends with a part, by domain."""
    domain = part.server.domain
    for partial in partial_paths.values():
        if partial.count >= MAX_PART_COUNT:
            continue
        cost = partial.cost + part_cost
        if partial.domain and partial.domain != domain:
            cost += crossing
        best = partial_by_domain.get(domain)
        if best is None or cost < best.cost:
            partial_by_domain[domain] = _PartialPath(
                cost, partial.count + 1, domain, part, partial
            )
