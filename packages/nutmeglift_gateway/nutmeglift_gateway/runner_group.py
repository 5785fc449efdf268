"""A group of runners that hold a model copy together, and its value."""

from collections.abc import Iterable
import dataclasses

from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory

MIN_CAPACITY_RATIO = 0.25
"""Smallest part of the nominal KV cache capacity that a runner keeps free when
it holds as many layers as possible."""
TARGET_COPY_RATIO = 1.5
"""Number of model copies that a group aims to hold, so that half of the layers
can be lost before any layer has to be reloaded."""
CAPACITY_RATIO_STEPS = (4.0, 3.0, 2.5, 2.0, 1.6, 1.3, 1.0, 0.75, 0.5)
"""KV cache capacities that the runners of a group may reserve, in multiples of
the nominal capacity. The first one is used that still allows TARGET_COPY_RATIO
copies. More copies put more layers on fast runners; more capacity allows a
failure domain to take over the requests of one that is lost."""
BUSY_DEMAND_RATIO = 0.5
"""Part of the nominal capacity that the requests of one copy use when busy."""
CAPACITY_RATIO_OFFSET = 0.02
"""Added to a layer's ratio of capacity to demand, so that the value of a layer
without capacity stays finite."""
STEP_TIME_COST = 0.02
"""Cost of a layer's step time, per unit of its fastest holder's pace."""
SINGLE_HOLDER_COST_PER_LAYER = 0.01
"""Cost of a layer with a single holder, per layer that this runner holds: if it
is lost, all of them have to be reloaded."""


@dataclasses.dataclass(frozen=True)
class Holding:
    """A runner as seen by the planner.

    Attributes:
        server: directory entry of the runner.
        layers: layers that it holds, or will hold when its load has finished.
        usable: whether it serves new requests, or will after its load.
        busy: whether it is carrying out an order.
        requests: number of requests whose path includes it.
        silent: whether it is silent but may go on, or holds off. It keeps its
            layers and gets no order.
    """

    server: directory.Server
    layers: directory.LayerRange
    usable: bool
    busy: bool
    requests: int = 0
    silent: bool = False

    @property
    def takes_orders(self) -> bool:
        """Whether other layers may be assigned to it."""
        return not self.busy and not self.silent


class RunnerGroup:
    """Evaluates placements on a group of runners before they are ordered."""

    def __init__(self, engine: catalog.Engine, members: list[Holding]) -> None:
        self.engine = engine
        self.member_by_id = {m.server.id: m for m in members}
        self.held_by_id = {m.server.id: m.layers for m in members}
        self._kind_by_id = {
            m.server.id: engine.kind(m.server.kind) for m in members
        }
        self._token_capacity = choose_token_capacity(
            engine, self._kind_by_id.values()
        )
        self._capacity_by_id: dict[str, float] = {}
        self._demand = engine.nominal_tokens * BUSY_DEMAND_RATIO
        self._holders: list[set[str]] = [set() for _ in range(engine.layers)]
        self._capacity_by_layer = [0.0] * engine.layers
        self._value_by_layer: list[float | None] = [None] * engine.layers
        for server_id, held in self.held_by_id.items():
            self._add_holder(server_id, held)

    def move(self, server_id: str, target: directory.LayerRange) -> None:
        """Assigns other layers to a runner, in this evaluation only."""
        self._remove_holder(server_id, self.held_by_id[server_id])
        self.held_by_id[server_id] = target
        self._add_holder(server_id, target)

    def gain(self, server_id: str, target: directory.LayerRange) -> float:
        """Returns how much a move would add to the value of the group."""
        held = self.held_by_id[server_id]
        if held == target:
            return 0.0
        changed = _union(held, target)
        before = sum(self._layer_value(layer) for layer in changed)
        self.move(server_id, target)
        after = sum(self._layer_value(layer) for layer in changed)
        self.move(server_id, held)
        return after - before

    def gaps(self) -> list[directory.LayerRange]:
        """Returns the ranges of layers without a holder."""
        found = []
        start: int | None = None
        for layer, holders in enumerate([*self._holders, {"end"}]):
            if not holders and start is None:
                start = layer
            elif holders and start is not None:
                found.append(directory.LayerRange(start, layer))
                start = None
        return found

    def uncovered_count(self, layers: directory.LayerRange) -> int:
        """Returns how many of the layers have no holder."""
        return sum(
            1
            for layer in range(layers.start, layers.end)
            if not self._holders[layer]
        )

    def load_seconds(
        self, server_id: str, target: directory.LayerRange
    ) -> float:
        """Returns how long a runner would take to load its new layers."""
        held = self.held_by_id[server_id]
        kept = min(held.end, target.end) - max(held.start, target.start)
        new = target.count - max(0, kept)
        return self.engine.load_seconds * new / self.engine.layers

    def preferred_layer_count(self, server_id: str) -> int:
        """Returns how many layers leave the group's reserved capacity free."""
        return max(
            1,
            self.engine.max_layers_with_capacity(
                self._kind_by_id[server_id], self._token_capacity
            ),
        )

    def max_layer_count(self, server_id: str) -> int:
        """Returns how many layers leave only the minimum capacity free."""
        return max_layer_count(self.engine, self._kind_by_id[server_id])

    def pace(self, server_id: str) -> float:
        """Returns the factor on the step time of a runner's kind."""
        return self._kind_by_id[server_id].pace

    def boundaries(self) -> set[int]:
        """Returns the layers at which a held range starts or ends."""
        found = {0, self.engine.layers}
        for held in self.held_by_id.values():
            if held.count:
                found |= {held.start, held.end}
        return found

    def _add_holder(self, server_id: str, held: directory.LayerRange) -> None:
        kind = self._kind_by_id[server_id]
        capacity = 0.0
        if held.count:
            capacity = (
                self.engine.token_layer_capacity(kind, held.count) / held.count
            )
        self._capacity_by_id[server_id] = capacity
        for layer in range(held.start, min(held.end, self.engine.layers)):
            self._holders[layer].add(server_id)
            self._capacity_by_layer[layer] += capacity
            self._value_by_layer[layer] = None

    def _remove_holder(
        self, server_id: str, held: directory.LayerRange
    ) -> None:
        capacity = self._capacity_by_id[server_id]
        for layer in range(held.start, min(held.end, self.engine.layers)):
            self._holders[layer].discard(server_id)
            self._capacity_by_layer[layer] -= capacity
            self._value_by_layer[layer] = None

    def _layer_value(self, layer: int) -> float:
        known = self._value_by_layer[layer]
        if known is None:
            known = self._value_by_layer[layer] = self._compute_layer_value(
                layer
            )
        return known

    def _compute_layer_value(self, layer: int) -> float:
        holders = self._holders[layer]
        if not holders:
            return -1.0 / CAPACITY_RATIO_OFFSET
        value = -1.0 / (
            self._capacity_by_layer[layer] / self._demand
            + CAPACITY_RATIO_OFFSET
        )
        if len(holders) == 1:
            (holder,) = holders
            value -= STEP_TIME_COST * self._kind_by_id[holder].pace
            return (
                value
                - SINGLE_HOLDER_COST_PER_LAYER * self.held_by_id[holder].count
            )
        return value - STEP_TIME_COST * min(
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


def choose_token_capacity(
    engine: catalog.Engine, kinds: Iterable[catalog.RunnerKind]
) -> float:
    """Returns the number of tokens that each runner of a group reserves for."""
    members = list(kinds)
    for step in CAPACITY_RATIO_STEPS:
        tokens = engine.nominal_tokens * step
        held = sum(
            engine.max_layers_with_capacity(kind, tokens) for kind in members
        )
        if held >= TARGET_COPY_RATIO * engine.layers:
            return tokens
    return engine.nominal_tokens * CAPACITY_RATIO_STEPS[-1]


def max_layer_count(engine: catalog.Engine, kind: catalog.RunnerKind) -> int:
    """Returns how many layers a kind holds with only the minimum capacity."""
    tokens = engine.nominal_tokens * MIN_CAPACITY_RATIO
    return engine.max_layers_with_capacity(kind, tokens)
