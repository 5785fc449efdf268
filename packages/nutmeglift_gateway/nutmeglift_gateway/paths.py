"""Finds a chain of runners that holds every layer once and in order.

A path may use any part of what a runner holds. Its cost is the time of one
token step: each runner's time for its share of the layers at its present
load, and the delay of each crossing between failure domains. The cheapest
chain is found by dynamic programming over the layers, so that a failure
domain that lacks some layers borrows just these.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import itertools

from nutmeglift import ids
from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory
from nutmeglift_gateway import loads

MAX_PART_COUNT = 32
"""A runner refuses a longer path (the engines' protocol)."""
MAX_MEMORY_RATIO = 0.97
"""Reservations stay under it. They count what a request holds on average,
and requests that begin hold less than those that end; a runner that is full
all the same says so, and the request goes elsewhere."""
MAX_SLOT_RATIO = 0.95
"""Share of a first runner's slots; the rest covers what other routers sent
since their last report."""
CROSSING_COST_RATIO = 4.0
"""A crossing delays each token, and shares its pipe with all others: it
counts as several delays."""
CROWDING_THRESHOLD_RATIO = 0.5
"""Up to it a runner's memory or slots take no part in the choice: what a
request will hold is known by half."""
CROWDING_COST_RATIO = 6.0
"""Cost of a crowded runner, for each share beyond that: a full one counts as
four times as slow, as a request that it preempts waits for its place."""
REMOTE_DOMAIN_COST_RATIO = 1.3
"""An answer from another failure domain is paid for by the byte: a pipeline
there has to be this much faster."""


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
        parts: at least one.
        step_seconds: expected time of one token step.
        cost: by what paths are compared: the step, with what crossings and
            crowded runners count for.
    """

    parts: tuple[Part, ...]
    step_seconds: float
    cost: float = dataclasses.field(default=0.0, compare=False)

    @property
    def crossings(self) -> int:
        """How often it passes from one failure domain to another."""
        domains = [part.server.domain for part in self.parts]
        return sum(one != other for one, other in itertools.pairwise(domains))

    @property
    def first(self) -> directory.Server:
        """The runner that the request is sent to."""
        return self.parts[0].server

    def passes(self, address: str) -> bool:
        """Tells whether a runner is on the path."""
        return any(part.server.address == address for part in self.parts)

    def reservations(self, tokens: float) -> tuple[loads.Reservation, ...]:
        """Returns what a request of so many tokens reserves."""
        return tuple(
            loads.Reservation(
                part.server.address,
                index == 0,
                tokens * (part.end - part.start),
            )
            for index, part in enumerate(self.parts)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class PathRequirements:
    """What a path is wanted for.

    Attributes:
        home: the router's failure domain.
        tokens: tokens that the request will hold.
        may_cross: whether the path may pass between failure domains.
    """

    home: ids.FailureDomain
    tokens: float
    may_cross: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """Layers for which a chain is searched.

    Attributes:
        start: first layer.
        end: the layer after the last.
        domain: where the runner before it is; empty for none.
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
    """What the usable runners hold.

    Attributes:
        by_id: the runners.
    """

    def __init__(self, servers: Iterable[directory.Server]) -> None:
        self.by_id = {server.id: server for server in servers}

    def holds(self, part: Part) -> bool:
        """Tells whether a part's runner is usable and still holds it."""
        server = self.by_id.get(part.server.id)
        if server is None or server.lifetime != part.server.lifetime:
            return False
        return (
            server.layers.start <= part.start and part.end <= server.layers.end
        )


class PathFinder:
    """Finds paths over the runners of one service."""

    def __init__(
        self,
        engine: catalog.Engine,
        book: loads.LoadTracker,
        pace_of: Callable[[str], float],
        full: frozenset[str] = frozenset(),
    ) -> None:
        """Makes it.

        Args:
            engine: how the runners work.
            book: what is in flight on them.
            pace_of: returns by how much a runner, by its address, is slower
                than its kind.
            full: addresses of runners that rejected requests a moment ago;
                they get nothing new.
        """
        self._engine = engine
        self._book = book
        self._pace_of = pace_of
        self._full = full

    def layer_seconds(self, server: directory.Server) -> float:
        """Returns a runner's time for one layer of a token step."""
        engine = self._engine
        kind = engine.kind(server.kind)
        load = self._book.at(server.address)
        held = max(1, server.layers.count)
        tokens = load.token_layers / held
        step = (
            engine.step_seconds
            + load.requests * engine.sequence_seconds
            + tokens * engine.context_seconds
        )
        pace = kind.pace * self._pace_of(server.address)
        return step * pace / engine.layers

    def find(
        self,
        servers: Iterable[directory.Server],
        requirements: PathRequirements,
    ) -> Path | None:
        """Returns the cheapest path, or None where there is none.

        A path within one failure domain is preferred; a chain over several
        is looked for where no failure domain has a path of its own.

        Args:
            servers: the runners that may be used.
            requirements: what the path is for.
        """
        usable = [
            server
            for server in servers
            if server.layers.count and self.has_room(server, requirements)
        ]
        whole = Segment(0, self._engine.layers)
        best: Path | None = None
        best_cost = float("inf")
        for domain in {server.domain for server in usable}:
            path = self._search(
                [s for s in usable if s.domain == domain], whole
            )
            if path is None:
                continue
            away = (
                1.0 if domain == requirements.home else REMOTE_DOMAIN_COST_RATIO
            )
            cost = path.cost * away
            if cost < best_cost:
                best, best_cost = path, cost
        if best is not None or not requirements.may_cross:
            return best
        return self._search(usable, whole)

    def repair(
        self,
        path: Path,
        servers: Iterable[directory.Server],
        requirements: PathRequirements,
    ) -> Path | None:
        """Returns a path with the same first part, around lost runners.

        The other parts stay as they are and so keep their KV caches; each
        whose runner is lost, or gave its layers up, is replaced by a chain
        over runners that are not yet on the path.

        Args:
            path: the path of a running request.
            servers: the runners that may be used.
            requirements: what the request holds.
        """
        runners = UsableRunners(servers)
        if path.first.id not in runners.by_id:
            return None
        on_path = {part.server.id for part in path.parts}
        fresh = [
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
            chain = self._search(fresh, segment)
            if chain is None:
                return None
            taken = {each.server.id for each in chain.parts}
            fresh = [server for server in fresh if server.id not in taken]
            parts += chain.parts
            seconds += chain.step_seconds
        if len(parts) > MAX_PART_COUNT:
            return None
        return Path(tuple(parts), seconds)

    def has_room(
        self, server: directory.Server, requirements: PathRequirements
    ) -> bool:
        """Tells whether a runner has room for a request."""
        if server.address in self._full:
            return False
        load = self._book.at(server.address)
        kind = self._engine.kind(server.kind)
        room = self._engine.room(kind, server.layers.count)
        needed = requirements.tokens * min(
            server.layers.count, self._engine.layers
        )
        return load.token_layers + needed <= room * MAX_MEMORY_RATIO

    def _layer_cost(self, server: directory.Server) -> float:
        """Returns what a layer on a runner counts for in the search."""
        load = self._book.at(server.address)
        kind = self._engine.kind(server.kind)
        room = self._engine.room(kind, server.layers.count)
        share = load.token_layers / room if room else 1.0
        slots = server.slots or self._engine.slots
        share = max(share, load.firsts / slots)
        crowding = 1.0 + CROWDING_COST_RATIO * max(
            0.0, share - CROWDING_THRESHOLD_RATIO
        )
        return self.layer_seconds(server) * crowding

    def _can_begin(self, server: directory.Server) -> bool:
        slots = server.slots or self._engine.slots
        return self._book.at(server.address).firsts < slots * MAX_SLOT_RATIO

    def _crossing_seconds(self) -> float:
        engine = self._engine
        transfer = engine.activation_bytes * 8 / (engine.pipe_mbps * 1e6)
        return engine.domain_delay + transfer

    def _search(
        self, servers: list[directory.Server], segment: Segment
    ) -> Path | None:
        crossing = self._crossing_seconds() * CROSSING_COST_RATIO
        costs = {s.address: self._layer_cost(s) for s in servers}
        begin = _PartialPath(0.0, 0, segment.domain, None, None)
        frontier: dict[int, dict[str, _PartialPath]] = {
            segment.start: {segment.domain: begin}
        }
        while frontier:
            at = min(frontier)
            steps = frontier.pop(at)
            if at >= segment.end:
                return self._trace(min(steps.values(), key=lambda s: s.cost))
            for server in servers:
                held = server.layers
                if not held.start <= at < held.end:
                    continue
                if at == 0 and not self._can_begin(server):
                    continue
                end = min(held.end, segment.end)
                part = Part(server, at, end)
                own = (end - at) * costs[server.address]
                _extend(
                    frontier.setdefault(end, {}), steps, part, own, crossing
                )
            frontier = {at: steps for at, steps in frontier.items() if steps}
        return None

    def _trace(self, step: _PartialPath) -> Path:
        parts = []
        current: _PartialPath | None = step
        while current is not None and current.part is not None:
            parts.append(current.part)
            current = current.previous
        parts.reverse()
        seconds = sum(
            (part.end - part.start) * self.layer_seconds(part.server)
            for part in parts
        )
        path = Path(tuple(parts), seconds, step.cost)
        delay = path.crossings * self._crossing_seconds()
        return dataclasses.replace(path, step_seconds=seconds + delay)


def _extend(
    ahead: dict[str, _PartialPath],
    steps: dict[str, _PartialPath],
    part: Part,
    own: float,
    crossing: float,
) -> None:
    """Keeps the cheapest way to end with a part, by failure domain."""
    domain = part.server.domain
    for step in steps.values():
        if step.count >= MAX_PART_COUNT:
            continue
        cost = step.cost + own
        if step.domain and step.domain != domain:
            cost += crossing
        known = ahead.get(domain)
        if known is None or cost < known.cost:
            ahead[domain] = _PartialPath(
                cost, step.count + 1, domain, part, step
            )
