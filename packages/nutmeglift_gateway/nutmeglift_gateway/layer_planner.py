"""Decides which layers each runner is to hold.

Every failure domain whose memory allows it holds a whole copy of the model,
so that tokens cross no slow link; the other failure domains share one. What
the copies are worth is a concave function of the room for requests over each
layer: a layer without a holder costs most, one with little room costs more
than another with plenty gains. So a gap goes to the runner that gives least
up for it, and memory that is left holds second copies where they help most.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory
from nutmeglift_gateway import layer_cell

LOAD_COST = 1.0
"""Cost of a second of loading where nothing waits for it."""
WAITING_LOAD_COST = 20.0
"""Cost of a second of loading while requests wait for the layers."""
GIVE_UP_COST = 40.0
"""Cost of giving up layers through which requests pass, while others wait:
the runner loads new ones only when these have ended, in about two seconds."""
ORDER_COST = 0.3
"""Cost of an order: short waits are not worth one."""
MIN_GAIN = 2.0
"""A runner that serves is given other layers only for so much."""


@dataclasses.dataclass(frozen=True)
class Move:
    """An order to be given: the runner is to hold just these layers."""

    server: directory.Server
    layers: directory.LayerRange
    reason: str


_GroupState = tuple[tuple[tuple[str, int], directory.LayerRange, bool], ...]
"""Each member's lifetime, layers, and whether it is busy."""
MAX_SETTLED = 32
"""Groups that are remembered: several times the failure domains."""


class LayerPlanner:
    """Plans the layers of one service's runners.

    A group that needed no move is not planned again until it changes: that
    takes tens of milliseconds, in which no stream is passed on.
    """

    def __init__(self, engine: catalog.Engine) -> None:
        self._engine = engine
        self._settled: dict[_GroupState, None] = {}

    def plan(
        self, holdings: Iterable[layer_cell.Holding], *, starting: bool
    ) -> list[Move]:
        """Returns the moves to make now.

        Args:
            holdings: all runners of the service.
            starting: nothing serves yet and loads are cheap.
        """
        moves: list[Move] = []
        for members in self._group(holdings):
            state = tuple(
                (m.server.lifetime, m.layers, m.busy) for m in members
            )
            if state in self._settled:
                continue
            cell = layer_cell.Cell(self._engine, members)
            reason_by_id = self._place_empty(cell, starting=starting)
            reason_by_id |= self._fill_gaps(cell)
            if cell.gaps():
                reason_by_id |= self._spread_anew(cell)
            if not reason_by_id and not starting:
                reason_by_id = self._improve_one(cell)
            if not reason_by_id and not cell.gaps():
                self._note_settled(state)
            for server_id, reason in reason_by_id.items():
                member = cell.member_by_id[server_id]
                target = cell.held_by_id[server_id]
                if target != member.layers:
                    moves.append(Move(member.server, target, reason))
        return moves

    def _note_settled(self, state: _GroupState) -> None:
        while len(self._settled) >= MAX_SETTLED:
            del self._settled[next(iter(self._settled))]
        self._settled[state] = None

    def uncovered(self, holdings: Iterable[layer_cell.Holding]) -> list[str]:
        """Describes each group of runners that lacks layers, for the log."""
        found = []
        for members in self._group(holdings):
            cell = layer_cell.Cell(self._engine, members)
            gaps = ",".join(f"{g.start}-{g.end}" for g in cell.gaps())
            if gaps:
                held = " ".join(
                    f"{m.server.kind}:{m.layers.start}-{m.layers.end}"
                    f"{'*' if m.busy else ''}"
                    for m in members
                )
                found.append(f"{members[0].server.domain} {gaps}: {held}")
        return found

    def _group(
        self, holdings: Iterable[layer_cell.Holding]
    ) -> list[list[layer_cell.Holding]]:
        """Groups failure domains so that each group can hold a copy."""
        by_domain: dict[str, list[layer_cell.Holding]] = {}
        for holding in holdings:
            if holding.usable:
                by_domain.setdefault(holding.server.domain, []).append(holding)
        whole: list[list[layer_cell.Holding]] = []
        rest: list[layer_cell.Holding] = []
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

    def _capacity(self, members: list[layer_cell.Holding]) -> int:
        return sum(
            layer_cell.most_layers(
                self._engine, self._engine.kind(m.server.kind)
            )
            for m in members
        )

    def _place_empty(
        self, cell: layer_cell.Cell, *, starting: bool
    ) -> dict[str, str]:
        empty = [
            server_id
            for server_id, member in cell.member_by_id.items()
            if not member.layers.count and not member.busy
        ]
        empty.sort(key=lambda server_id: (cell.pace(server_id), server_id))
        for server_id in empty:
            target = self._best_window(cell, server_id, starting=starting)
            cell.move(server_id, target)
        return dict.fromkeys(empty, "empty runner")

    def _best_window(
        self, cell: layer_cell.Cell, server_id: str, *, starting: bool
    ) -> directory.LayerRange:
        boundaries = cell.boundaries()

        def rank(window: directory.LayerRange) -> tuple[float, int, int]:
            gain = cell.gain(server_id, window)
            if not starting:
                waiting = cell.missing(window) > 0
                cost = WAITING_LOAD_COST if waiting else LOAD_COST
                gain -= cost * cell.load_seconds(server_id, window)
            # Parts with common boundaries can stand in for each other.
            aligned = (window.start in boundaries) + (window.end in boundaries)
            return (round(gain, 3), aligned, -window.start)

        return max(self._windows(cell, server_id, starting), key=rank)

    def _windows(
        self, cell: layer_cell.Cell, server_id: str, starting: bool
    ) -> Iterator[directory.LayerRange]:
        layers = self._engine.layers
        size = min(cell.roomy(server_id), layers)
        for start in range(layers - size + 1):
            yield directory.LayerRange(start, start + size)
        for gap in [] if starting else cell.gaps():
            count = min(gap.count, cell.roomy(server_id))
            yield directory.LayerRange(gap.start, gap.start + count)
            yield directory.LayerRange(gap.end - count, gap.end)

    def _fill_gaps(self, cell: layer_cell.Cell) -> dict[str, str]:
        """Changes the cell until no change fills more than it opens.

        Each change gains, so this ends; the runners' targets are given out
        when it has.
        """
        reason_by_id: dict[str, str] = {}
        while True:
            found = None
            for gap in cell.gaps():
                found = self._cover(cell, gap)
                if found is not None:
                    break
            if found is None:
                return reason_by_id
            server_id, target = found
            cell.move(server_id, target)
            reason_by_id[server_id] = "gap"

    def _cover(
        self, cell: layer_cell.Cell, gap: directory.LayerRange
    ) -> tuple[str, directory.LayerRange] | None:
        """Finds the runner that gives least up for each layer of a gap."""
        best: tuple[str, directory.LayerRange] | None = None
        best_cost = float("inf")
        gap_worth = 1.0 / layer_cell.GAP_FLOOR
        for server_id, held in cell.held_by_id.items():
            if cell.member_by_id[server_id].busy or not held.count:
                continue
            for target in self._gap_targets(cell, server_id, gap):
                lost = cell.missing(target)
                gain = cell.gain(server_id, target)
                covered = min(lost, gap.count)
                loss = covered * gap_worth - gain
                if not covered or gain <= MIN_GAIN:
                    # It opens another gap as large as the one it fills.
                    continue
                loss += LOAD_COST * cell.load_seconds(server_id, target)
                if cell.member_by_id[server_id].requests and (
                    target.start > held.start or target.end < held.end
                ):
                    loss += GIVE_UP_COST
                cost = (loss + ORDER_COST) / covered
                if cost < best_cost:
                    best, best_cost = (server_id, target), cost
        return best

    @staticmethod
    def _gap_targets(
        cell: layer_cell.Cell, server_id: str, gap: directory.LayerRange
    ) -> Iterator[directory.LayerRange]:
        held = cell.held_by_id[server_id]
        room = cell.most(server_id) - held.count
        for count in range(1, min(room, gap.count) + 1):
            if held.end == gap.start:
                yield directory.LayerRange(held.start, gap.start + count)
            if held.start == gap.end:
                yield directory.LayerRange(gap.end - count, held.end)
        count = min(cell.roomy(server_id), gap.count)
        yield directory.LayerRange(gap.start, gap.start + count)
        if count < gap.count:
            yield directory.LayerRange(gap.end - count, gap.end)

    def _spread_anew(self, cell: layer_cell.Cell) -> dict[str, str]:
        """Shifts all ranges where no single change fills a gap.

        Each runner gets layers by its memory, near those that it holds.
        """
        if any(member.busy for member in cell.member_by_id.values()):
            return {}
        counts = self._counts_by_memory(cell)
        if sum(counts.values()) < self._engine.layers:
            return {}
        order = sorted(
            counts,
            key=lambda i: (
                cell.held_by_id[i].start + cell.held_by_id[i].end,
                i,
            ),
        )
        at = 0
        for server_id in order:
            end = at + counts[server_id]
            cell.move(server_id, directory.LayerRange(at, end))
            at = end
        return dict.fromkeys(order, "spread anew")

    def _counts_by_memory(self, cell: layer_cell.Cell) -> dict[str, int]:
        layers = self._engine.layers
        memory_by_id = {
            i: self._engine.kind(member.server.kind).memory_mb
            for i, member in cell.member_by_id.items()
        }
        total = sum(memory_by_id.values())
        counts = {
            i: min(cell.most(i), int(layers * memory / total))
            for i, memory in memory_by_id.items()
        }
        while sum(counts.values()) < layers:
            free = [i for i in counts if counts[i] < cell.most(i)]
            if not free:
                break
            # Memory for each layer stays as even as it can.
            widest = max(
                free, key=lambda i: (memory_by_id[i] / (counts[i] + 1), i)
            )
            counts[widest] += 1
        return {i: count for i, count in counts.items() if count}

    def _improve_one(self, cell: layer_cell.Cell) -> dict[str, str]:
        """Gives one runner other layers where that is worth the load."""
        if any(member.busy for member in cell.member_by_id.values()):
            return {}
        best: tuple[str, directory.LayerRange] | None = None
        best_gain = MIN_GAIN
        for server_id in cell.held_by_id:
            for target in self._aligned_windows(cell, server_id):
                if target == cell.held_by_id[server_id]:
                    continue
                gain = cell.gain(server_id, target) - ORDER_COST
                gain -= LOAD_COST * cell.load_seconds(server_id, target)
                if gain > best_gain:
                    best, best_gain = (server_id, target), gain
        if best is None:
            return {}
        cell.move(*best)
        return {best[0]: "improvement"}

    def _aligned_windows(
        self, cell: layer_cell.Cell, server_id: str
    ) -> Iterator[directory.LayerRange]:
        size = min(cell.roomy(server_id), self._engine.layers)
        starts = cell.boundaries()
        starts |= {boundary - size for boundary in starts}
        for start in starts:
            if 0 <= start <= self._engine.layers - size:
                yield directory.LayerRange(start, start + size)
