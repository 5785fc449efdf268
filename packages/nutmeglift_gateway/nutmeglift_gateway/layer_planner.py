"""Decides which layers each runner is to hold.

Every failure domain whose memory allows it holds a whole copy of the model,
so that tokens cross no slow link; the other failure domains share one. Layers
that nobody holds go first: to an empty runner, to one whose layers others hold
too, or to neighbours that take a few layers more. What memory is left holds
second copies of the layers that would take longest to load again.
"""

from collections.abc import Iterable
import dataclasses

from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory

GAP_VALUE = 1000.0
"""A layer that nobody holds goes before every second copy."""
MIN_ROOM_SHARE = 0.25
"""Part of the nominal room for requests that a stretched runner keeps."""


@dataclasses.dataclass(frozen=True)
class Holding:
    """A runner as the planner sees it.

    Attributes:
        server: its entry.
        layers: what it holds, or will hold when it has loaded.
        usable: whether it serves new requests, or will.
        busy: whether an order is under way.
    """

    server: directory.Server
    layers: directory.LayerRange
    usable: bool
    busy: bool


@dataclasses.dataclass(frozen=True)
class Move:
    """An order to be given: the runner is to hold just these layers."""

    server: directory.Server
    layers: directory.LayerRange
    reason: str


class LayerPlanner:
    """Plans the layers of one service's runners."""

    def __init__(self, engine: catalog.Engine) -> None:
        self._engine = engine

    def plan(
        self, holdings: Iterable[Holding], *, starting: bool
    ) -> list[Move]:
        """Returns the moves to make now.

        Args:
            holdings: all runners of the service.
            starting: nothing serves yet and loads are cheap: empty runners
                take as many layers as leave nominal room.
        """
        moves: list[Move] = []
        for members in self._cells(list(holdings)):
            moves += self._plan_cell(members, starting=starting)
        return moves

    def _cells(self, holdings: list[Holding]) -> list[list[Holding]]:
        """Groups failure domains so that each group can hold a copy."""
        by_domain: dict[str, list[Holding]] = {}
        for holding in holdings:
            if holding.usable:
                by_domain.setdefault(holding.server.domain, []).append(holding)
        whole: list[list[Holding]] = []
        rest: list[Holding] = []
        for domain in sorted(by_domain):
            members = by_domain[domain]
            if self._capacity(members) >= self._engine.layers:
                whole.append(members)
            else:
                rest += members
        if rest:
            if self._capacity(rest) >= self._engine.layers or not whole:
                whole.append(rest)
            else:
                # They can only add second copies for the smallest group.
                min(whole, key=self._capacity).extend(rest)
        return whole

    def _capacity(self, members: list[Holding]) -> int:
        return sum(self._most(member.server) for member in members)

    def _roomy(self, server: directory.Server) -> int:
        """Layers that leave nominal room for requests."""
        engine = self._engine
        kind = engine.kind(server.kind)
        return max(1, engine.roomy_layers(kind, engine.nominal_tokens))

    def _most(self, server: directory.Server) -> int:
        """Layers that leave the least room for requests."""
        engine = self._engine
        kind = engine.kind(server.kind)
        tokens = engine.nominal_tokens * MIN_ROOM_SHARE
        return engine.roomy_layers(kind, tokens)

    def _plan_cell(
        self, members: list[Holding], *, starting: bool
    ) -> list[Move]:
        held_by_id = {m.server.id: m.layers for m in members}
        moves: list[Move] = []
        empty = [m for m in members if not m.layers.count and not m.busy]
        empty.sort(key=lambda m: (self._pace(m.server), m.server.id))
        for member in empty:
            target = self._best_window(
                members, held_by_id, member.server, whole=starting
            )
            if target is None:
                continue
            held_by_id[member.server.id] = target
            moves.append(Move(member.server, target, "empty runner"))
        moves += self._fill_gaps(members, held_by_id)
        return moves

    def _pace(self, server: directory.Server) -> float:
        return self._engine.kind(server.kind).pace

    def _holders(
        self,
        members: list[Holding],
        held_by_id: dict[str, directory.LayerRange],
    ) -> list[list[directory.Server]]:
        holders: list[list[directory.Server]] = [
            [] for _ in range(self._engine.layers)
        ]
        for member in members:
            held = held_by_id[member.server.id]
            for layer in range(held.start, held.end):
                holders[layer].append(member.server)
        return holders

    def _best_window(
        self,
        members: list[Holding],
        held_by_id: dict[str, directory.LayerRange],
        server: directory.Server,
        *,
        whole: bool,
    ) -> directory.LayerRange | None:
        holders = self._holders(members, held_by_id)
        size = min(self._roomy(server), self._engine.layers)
        values = [
            self._layer_value(server, found, held_by_id) for found in holders
        ]
        best = max(
            range(self._engine.layers - size + 1),
            key=lambda start: (
                sum(values[start : start + size]),
                # Aligned with a boundary, any runner there can replace it.
                self._is_boundary(start, held_by_id),
                -start,
            ),
        )
        window = directory.LayerRange(best, best + size)
        if whole:
            return window
        return self._trim_to_gap(window, holders)

    @staticmethod
    def _is_boundary(
        layer: int, held_by_id: dict[str, directory.LayerRange]
    ) -> bool:
        return any(
            held.count and layer in (held.start, held.end)
            for held in held_by_id.values()
        )

    def _layer_value(
        self,
        server: directory.Server,
        holders: list[directory.Server],
        held_by_id: dict[str, directory.LayerRange],
    ) -> float:
        if not holders:
            return GAP_VALUE
        # The time to load again what its only holder would lose.
        lost = min(held_by_id[h.id].count for h in holders)
        value = lost / len(holders) ** 3
        fastest = min(self._pace(holder) for holder in holders)
        return value + max(0.0, fastest - self._pace(server))

    def _trim_to_gap(
        self,
        window: directory.LayerRange,
        holders: list[list[directory.Server]],
    ) -> directory.LayerRange:
        """Leaves out held layers at both ends: a gap is loaded sooner."""
        start, end = window.start, window.end
        missing = [i for i in range(start, end) if not holders[i]]
        if not missing:
            return window
        return directory.LayerRange(missing[0], missing[-1] + 1)

    def _fill_gaps(
        self,
        members: list[Holding],
        held_by_id: dict[str, directory.LayerRange],
    ) -> list[Move]:
        moves: list[Move] = []
        moved = {m.server.id for m in members if m.busy}
        for _ in range(self._engine.layers):
            gap = self._first_gap(members, held_by_id)
            if gap is None:
                break
            move = self._cover(members, held_by_id, moved, gap)
            if move is None:
                break
            held_by_id[move.server.id] = move.layers
            moved.add(move.server.id)
            moves.append(move)
        return moves

    def _first_gap(
        self,
        members: list[Holding],
        held_by_id: dict[str, directory.LayerRange],
    ) -> directory.LayerRange | None:
        holders = self._holders(members, held_by_id)
        start = next((i for i, h in enumerate(holders) if not h), None)
        if start is None:
            return None
        end = start
        while end < len(holders) and not holders[end]:
            end += 1
        return directory.LayerRange(start, end)

    def _cover(
        self,
        members: list[Holding],
        held_by_id: dict[str, directory.LayerRange],
        moved: set[str],
        gap: directory.LayerRange,
    ) -> Move | None:
        """Finds the runner that covers most of a gap and loses least."""
        holders = self._holders(members, held_by_id)
        best: Move | None = None
        best_rank: tuple[int, int, float, str] | None = None
        for member in members:
            server = member.server
            held = held_by_id[server.id]
            if server.id in moved or not held.count:
                continue
            spare = all(
                len(holders[i]) > 1 for i in range(held.start, held.end)
            )
            for target, covered in self._options(server, held, gap, spare):
                new = sum(
                    1
                    for i in range(target.start, target.end)
                    if not held.start <= i < held.end
                )
                rank = (-covered, new, self._pace(server), server.id)
                if best_rank is None or rank < best_rank:
                    best, best_rank = Move(server, target, "gap"), rank
        return best

    def _options(
        self,
        server: directory.Server,
        held: directory.LayerRange,
        gap: directory.LayerRange,
        spare: bool,
    ) -> list[tuple[directory.LayerRange, int]]:
        options = []
        most = self._most(server)
        room = most - held.count
        if room > 0 and held.end == gap.start:
            count = min(room, gap.count)
            options.append(
                (directory.LayerRange(held.start, gap.start + count), count)
            )
        if room > 0 and held.start == gap.end:
            count = min(room, gap.count)
            options.append(
                (directory.LayerRange(gap.end - count, held.end), count)
            )
        if spare:
            count = min(self._roomy(server), gap.count)
            options.append(
                (directory.LayerRange(gap.start, gap.start + count), count)
            )
        return options
