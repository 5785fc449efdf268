"""Runners that hold one copy of the layers together, and what it is worth."""

from collections.abc import Iterable
import dataclasses

from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory

MIN_ROOM_SHARE = 0.25
"""Part of the nominal room for requests that a stretched runner keeps."""
SPARE_SHARE = 1.5
"""Layers that a group holds of choice, in copies: half of them can be lost
before any is loaded anew."""
ROOM_STEPS = (4.0, 3.0, 2.5, 2.0, 1.6, 1.3, 1.0, 0.75, 0.5)
"""Rooms for requests that the runners of a group may keep, in nominal rooms;
the first with which they still hold SPARE_SHARE copies is kept. More copies
put more layers on fast runners; more room lets a failure domain serve for
another that is lost."""
DEMAND_SHARE = 0.5
"""Part of the nominal room that the requests of one copy take when busy."""
GAP_FLOOR = 0.02
"""Bounds the worth of a layer without any room."""
PACE_COST = 0.02
"""Cost of a layer's step time, for each unit of its fastest holder's pace."""
SINGLE_COST = 0.01
"""Cost of a layer with one holder, for each layer that this one would take
with it: they have to be loaded again together."""


@dataclasses.dataclass(frozen=True)
class Holding:
    """A runner as the planner sees it.

    Attributes:
        server: its entry.
        layers: what it holds, or will hold when it has loaded.
        usable: whether it serves new requests, or will.
        busy: whether an order is under way.
        requests: requests that pass through it.
    """

    server: directory.Server
    layers: directory.LayerRange
    usable: bool
    busy: bool
    requests: int = 0


class Cell:
    """A group of runners, changed in thought before any is ordered."""

    def __init__(self, engine: catalog.Engine, members: list[Holding]) -> None:
        self.engine = engine
        self.member_by_id = {m.server.id: m for m in members}
        self.held_by_id = {m.server.id: m.layers for m in members}
        self._kind_by_id = {
            m.server.id: engine.kind(m.server.kind) for m in members
        }
        self._tokens = choose_room(engine, self._kind_by_id.values())
        self._room_by_id: dict[str, float] = {}
        self._demand = engine.nominal_tokens * DEMAND_SHARE
        self._holders: list[set[str]] = [set() for _ in range(engine.layers)]
        self._room = [0.0] * engine.layers
        self._worth_by_layer: list[float | None] = [None] * engine.layers
        for server_id, held in self.held_by_id.items():
            self._enter(server_id, held)

    def move(self, server_id: str, target: directory.LayerRange) -> None:
        """Changes what a runner holds."""
        self._leave(server_id, self.held_by_id[server_id])
        self.held_by_id[server_id] = target
        self._enter(server_id, target)

    def gain(self, server_id: str, target: directory.LayerRange) -> float:
        """Returns what a change would be worth."""
        held = self.held_by_id[server_id]
        if held == target:
            return 0.0
        changed = _union(held, target)
        before = sum(self._worth(layer) for layer in changed)
        self.move(server_id, target)
        after = sum(self._worth(layer) for layer in changed)
        self.move(server_id, held)
        return after - before

    def gaps(self) -> list[directory.LayerRange]:
        """Returns the runs of layers that nobody holds."""
        found = []
        start: int | None = None
        for layer, holders in enumerate([*self._holders, {"end"}]):
            if not holders and start is None:
                start = layer
            elif holders and start is not None:
                found.append(directory.LayerRange(start, layer))
                start = None
        return found

    def missing(self, layers: directory.LayerRange) -> int:
        """Returns how many of the layers nobody holds."""
        return sum(
            1
            for layer in range(layers.start, layers.end)
            if not self._holders[layer]
        )

    def load_seconds(
        self, server_id: str, target: directory.LayerRange
    ) -> float:
        """Returns the time that a runner loads new layers."""
        held = self.held_by_id[server_id]
        kept = min(held.end, target.end) - max(held.start, target.start)
        new = target.count - max(0, kept)
        return self.engine.load_seconds * new / self.engine.layers

    def roomy(self, server_id: str) -> int:
        """Returns the layers that leave the group's room for requests."""
        return max(
            1,
            self.engine.roomy_layers(self._kind_by_id[server_id], self._tokens),
        )

    def most(self, server_id: str) -> int:
        """Returns the layers that leave the least room for requests."""
        return most_layers(self.engine, self._kind_by_id[server_id])

    def pace(self, server_id: str) -> float:
        """Returns a runner's pace."""
        return self._kind_by_id[server_id].pace

    def boundaries(self) -> set[int]:
        """Returns the layers at which a part begins or ends."""
        found = {0, self.engine.layers}
        for held in self.held_by_id.values():
            if held.count:
                found |= {held.start, held.end}
        return found

    def _enter(self, server_id: str, held: directory.LayerRange) -> None:
        kind = self._kind_by_id[server_id]
        room = 0.0
        if held.count:
            room = self.engine.room(kind, held.count) / held.count
        self._room_by_id[server_id] = room
        for layer in range(held.start, min(held.end, self.engine.layers)):
            self._holders[layer].add(server_id)
            self._room[layer] += room
            self._worth_by_layer[layer] = None

    def _leave(self, server_id: str, held: directory.LayerRange) -> None:
        room = self._room_by_id[server_id]
        for layer in range(held.start, min(held.end, self.engine.layers)):
            self._holders[layer].discard(server_id)
            self._room[layer] -= room
            self._worth_by_layer[layer] = None

    def _worth(self, layer: int) -> float:
        known = self._worth_by_layer[layer]
        if known is None:
            known = self._worth_by_layer[layer] = self._judge(layer)
        return known

    def _judge(self, layer: int) -> float:
        holders = self._holders[layer]
        if not holders:
            return -1.0 / GAP_FLOOR
        worth = -1.0 / (self._room[layer] / self._demand + GAP_FLOOR)
        if len(holders) == 1:
            (only,) = holders
            worth -= PACE_COST * self._kind_by_id[only].pace
            return worth - SINGLE_COST * self.held_by_id[only].count
        return worth - PACE_COST * min(
            self._kind_by_id[h].pace for h in holders
        )


def _union(one: directory.LayerRange, other: directory.LayerRange) -> list[int]:
    found = list(range(one.start, one.end))
    found += [
        layer
        for layer in range(other.start, other.end)
        if not one.start <= layer < one.end
    ]
    return found


def choose_room(
    engine: catalog.Engine, kinds: Iterable[catalog.RunnerKind]
) -> float:
    """Returns the tokens for which the runners of a group keep room."""
    members = list(kinds)
    for step in ROOM_STEPS:
        tokens = engine.nominal_tokens * step
        held = sum(engine.roomy_layers(kind, tokens) for kind in members)
        if held >= SPARE_SHARE * engine.layers:
            return tokens
    return engine.nominal_tokens * ROOM_STEPS[-1]


def most_layers(engine: catalog.Engine, kind: catalog.RunnerKind) -> int:
    """Returns the layers of a kind that leave the least room."""
    tokens = engine.nominal_tokens * MIN_ROOM_SHARE
    return engine.roomy_layers(kind, tokens)
