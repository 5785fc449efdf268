"""Decides which layers of a model each runner holds.

Every failure domain with enough memory holds a complete copy of the model, so
that no token crosses the slow links between failure domains; the remaining
failure domains share one copy. The value of a placement is a concave function
of each layer's capacity for requests: an uncovered layer costs most, and a
layer short of capacity costs more than a layer with ample capacity gains.
A gap is therefore assigned to the runner that loses the least value by
covering it, and the remaining memory holds second copies where they add most.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory
from nutmeglift_gateway import runner_group

IDLE_LOAD_COST_PER_SECOND = 1.0
"""Cost of loading layers that no request waits for."""
BLOCKING_LOAD_COST_PER_SECOND = 20.0
"""Cost of loading layers that requests wait for."""
UNLOAD_IN_USE_COST = 40.0
"""Cost of unloading layers that running requests use while others wait. The
runner loads its new layers only after these requests have ended, which takes
about two seconds."""
ORDER_COST = 0.3
"""Fixed cost of an order, so that none is sent to save a short wait."""
MIN_MOVE_GAIN = 2.0
"""Smallest gain for which a serving runner is assigned other layers."""


@dataclasses.dataclass(frozen=True)
class Move:
    """A placement order: the runner is to hold exactly these layers."""

    server: directory.Server
    layers: directory.LayerRange
    reason: str


_GroupState = tuple[tuple[tuple[str, int], directory.LayerRange, bool], ...]
"""The lifetime and the layers of each runner of a group, and whether it takes
orders."""
MAX_STABLE_GROUP_COUNT = 32
"""Bounds the remembered groups; several times the number of failure domains."""


class LayerPlanner:
    """Plans the layers of one service's runners.

    A group that needed no move is not planned again until it changes, because
    planning takes tens of milliseconds in which the event loop forwards no
    stream.
    """

    def __init__(self, engine: catalog.Engine) -> None:
        self._engine = engine
        self._stable_groups: dict[_GroupState, None] = {}

    def plan(
        self, holdings: Iterable[runner_group.Holding], *, starting: bool
    ) -> list[Move]:
        """Returns the moves to order now.

        Args:
            holdings: all runners of the service.
            starting: whether no runner serves yet, so that loads are cheap.
        """
        moves: list[Move] = []
        for members in self._make_groups(holdings):
            state = tuple(
                (m.server.lifetime, m.layers, m.takes_orders) for m in members
            )
            if state in self._stable_groups:
                continue
            group = runner_group.RunnerGroup(self._engine, members)
            reason_by_id = self._fill_empty_runners(group, starting=starting)
            reason_by_id |= self._fill_gaps(group)
            if group.gaps():
                reason_by_id |= self._redistribute(group)
            if not reason_by_id and not starting:
                reason_by_id = self._improve_one_runner(group)
            if not reason_by_id and not group.gaps():
                self._record_stable(state)
            for server_id, reason in reason_by_id.items():
                member = group.member_by_id[server_id]
                target = group.held_by_id[server_id]
                if target != member.layers:
                    moves.append(Move(member.server, target, reason))
        return moves

    def _record_stable(self, state: _GroupState) -> None:
        while len(self._stable_groups) >= MAX_STABLE_GROUP_COUNT:
            del self._stable_groups[next(iter(self._stable_groups))]
        self._stable_groups[state] = None

    def describe_gaps(
        self, holdings: Iterable[runner_group.Holding]
    ) -> list[str]:
        """Describes each runner group with uncovered layers, for the log."""
        found = []
        for members in self._make_groups(holdings):
            group = runner_group.RunnerGroup(self._engine, members)
            gaps = ",".join(f"{g.start}-{g.end}" for g in group.gaps())
            if gaps:
                held = " ".join(
                    f"{m.server.kind}:{m.layers.start}-{m.layers.end}"
                    f"{'*' if m.busy else ''}"
                    for m in members
                )
                found.append(f"{members[0].server.domain} {gaps}: {held}")
        return found

    def _make_groups(
        self, holdings: Iterable[runner_group.Holding]
    ) -> list[list[runner_group.Holding]]:
        """Groups failure domains so that each group can hold a model copy."""
        by_domain: dict[str, list[runner_group.Holding]] = {}
        for holding in holdings:
            if holding.usable:
                by_domain.setdefault(holding.server.domain, []).append(
                    self._without_unknown_layers(holding)
                )
        groups: list[list[runner_group.Holding]] = []
        small_domains: list[runner_group.Holding] = []
        for domain in sorted(by_domain):
            members = by_domain[domain]
            if self._max_layer_count(members) >= self._engine.layers:
                groups.append(members)
            else:
                small_domains += members
        if small_domains:
            if (
                self._max_layer_count(small_domains) >= self._engine.layers
                or not groups
            ):
                groups.append(small_domains)
            else:
                # Together they can't hold a copy, so they add second holders
                # to the smallest group.
                min(groups, key=self._max_layer_count).extend(small_domains)
        return groups

    def _without_unknown_layers(
        self, holding: runner_group.Holding
    ) -> runner_group.Holding:
        """Drops layers that the model has no longer in this configuration."""
        held = holding.layers
        if held.end <= self._engine.layers:
            return holding
        known = directory.NO_LAYERS
        if held.start < self._engine.layers:
            known = directory.LayerRange(held.start, self._engine.layers)
        return dataclasses.replace(holding, layers=known)

    def _max_layer_count(self, members: list[runner_group.Holding]) -> int:
        return sum(
            runner_group.max_layer_count(
                self._engine, self._engine.kind(m.server.kind)
            )
            for m in members
        )

    def _fill_empty_runners(
        self, group: runner_group.RunnerGroup, *, starting: bool
    ) -> dict[str, str]:
        empty = [
            server_id
            for server_id, member in group.member_by_id.items()
            if not member.layers.count and member.takes_orders
        ]
        empty.sort(key=lambda server_id: (group.pace(server_id), server_id))
        for server_id in empty:
            target = self._best_range(group, server_id, starting=starting)
            group.move(server_id, target)
        return dict.fromkeys(empty, "empty runner")

    def _best_range(
        self, group: runner_group.RunnerGroup, server_id: str, *, starting: bool
    ) -> directory.LayerRange:
        boundaries = group.boundaries()

        def rank(candidate: directory.LayerRange) -> tuple[float, int, int]:
            gain = group.gain(server_id, candidate)
            if not starting:
                waiting = group.uncovered_count(candidate) > 0
                cost = (
                    BLOCKING_LOAD_COST_PER_SECOND
                    if waiting
                    else IDLE_LOAD_COST_PER_SECOND
                )
                gain -= cost * group.load_seconds(server_id, candidate)
            # Ranges with common boundaries can replace each other in a path.
            aligned = (candidate.start in boundaries) + (
                candidate.end in boundaries
            )
            return (round(gain, 3), aligned, -candidate.start)

        return max(self._candidate_ranges(group, server_id, starting), key=rank)

    def _candidate_ranges(
        self, group: runner_group.RunnerGroup, server_id: str, starting: bool
    ) -> Iterator[directory.LayerRange]:
        layers = self._engine.layers
        size = min(group.preferred_layer_count(server_id), layers)
        for start in range(layers - size + 1):
            yield directory.LayerRange(start, start + size)
        for gap in [] if starting else group.gaps():
            count = min(gap.count, group.preferred_layer_count(server_id))
            yield directory.LayerRange(gap.start, gap.start + count)
            yield directory.LayerRange(gap.end - count, gap.end)

    def _fill_gaps(self, group: runner_group.RunnerGroup) -> dict[str, str]:
        """Reassigns runners until no move covers more than it uncovers.

        The loop ends because each move increases the value of the group. The
        resulting targets are ordered only after it has ended.
        """
        reason_by_id: dict[str, str] = {}
        while True:
            found = None
            for gap in group.gaps():
                found = self._find_gap_filler(group, gap)
                if found is not None:
                    break
            if found is None:
                return reason_by_id
            server_id, target = found
            group.move(server_id, target)
            reason_by_id[server_id] = "gap"

    def _find_gap_filler(
        self, group: runner_group.RunnerGroup, gap: directory.LayerRange
    ) -> tuple[str, directory.LayerRange] | None:
        """Finds the move with the lowest cost per covered layer of a gap."""
        best: tuple[str, directory.LayerRange] | None = None
        best_cost = float("inf")
        gap_value = 1.0 / runner_group.CAPACITY_RATIO_OFFSET
        for server_id, held in group.held_by_id.items():
            if not group.member_by_id[server_id].takes_orders or not held.count:
                continue
            for target in self._gap_candidates(group, server_id, gap):
                newly_covered = group.uncovered_count(target)
                gain = group.gain(server_id, target)
                covered = min(newly_covered, gap.count)
                loss = covered * gap_value - gain
                if not covered or gain <= MIN_MOVE_GAIN:
                    # The move opens a gap as large as the one it closes.
                    continue
                loss += IDLE_LOAD_COST_PER_SECOND * group.load_seconds(
                    server_id, target
                )
                if group.member_by_id[server_id].requests and (
                    target.start > held.start or target.end < held.end
                ):
                    loss += UNLOAD_IN_USE_COST
                cost = (loss + ORDER_COST) / covered
                if cost < best_cost:
                    best, best_cost = (server_id, target), cost
        return best

    @staticmethod
    def _gap_candidates(
        group: runner_group.RunnerGroup,
        server_id: str,
        gap: directory.LayerRange,
    ) -> Iterator[directory.LayerRange]:
        held = group.held_by_id[server_id]
        spare_count = group.max_layer_count(server_id) - held.count
        for count in range(1, min(spare_count, gap.count) + 1):
            if held.end == gap.start:
                yield directory.LayerRange(held.start, gap.start + count)
            if held.start == gap.end:
                yield directory.LayerRange(gap.end - count, held.end)
        count = min(group.preferred_layer_count(server_id), gap.count)
        yield directory.LayerRange(gap.start, gap.start + count)
        if count < gap.count:
            yield directory.LayerRange(gap.end - count, gap.end)

    def _redistribute(self, group: runner_group.RunnerGroup) -> dict[str, str]:
        """Reassigns all ranges when no single move closes the gaps.

        Each runner gets a number of layers in proportion to its memory, in the
        order of the layers that the runners hold now. Silent runners keep
        theirs, and the others together hold all layers.
        """
        if any(member.busy for member in group.member_by_id.values()):
            return {}
        counts = self._counts_by_memory(group)
        if sum(counts.values()) < self._engine.layers:
            return {}
        order = sorted(
            counts,
            key=lambda i: (
                group.held_by_id[i].start + group.held_by_id[i].end,
                i,
            ),
        )
        next_start = 0
        for server_id in order:
            end = next_start + counts[server_id]
            group.move(server_id, directory.LayerRange(next_start, end))
            next_start = end
        return dict.fromkeys(order, "redistribution")

    def _counts_by_memory(
        self, group: runner_group.RunnerGroup
    ) -> dict[str, int]:
        layers = self._engine.layers
        memory_by_id = {
            i: self._engine.kind(member.server.kind).memory_mb
            for i, member in group.member_by_id.items()
            if not member.silent
        }
        total = sum(memory_by_id.values())
        counts = {
            i: min(group.max_layer_count(i), int(layers * memory / total))
            for i, memory in memory_by_id.items()
        }
        while sum(counts.values()) < layers:
            free = [i for i in counts if counts[i] < group.max_layer_count(i)]
            if not free:
                break
            # Keeps the memory per layer as even as possible.
            widest = max(
                free, key=lambda i: (memory_by_id[i] / (counts[i] + 1), i)
            )
            counts[widest] += 1
        return {i: count for i, count in counts.items() if count}

    def _improve_one_runner(
        self, group: runner_group.RunnerGroup
    ) -> dict[str, str]:
        """Moves one runner if the gain exceeds the cost of loading."""
        if not all(m.takes_orders for m in group.member_by_id.values()):
            return {}
        best: tuple[str, directory.LayerRange] | None = None
        best_gain = MIN_MOVE_GAIN
        for server_id in group.held_by_id:
            for target in self._aligned_ranges(group, server_id):
                if target == group.held_by_id[server_id]:
                    continue
                gain = group.gain(server_id, target) - ORDER_COST
                gain -= IDLE_LOAD_COST_PER_SECOND * group.load_seconds(
                    server_id, target
                )
                if gain > best_gain:
                    best, best_gain = (server_id, target), gain
        if best is None:
            return {}
        group.move(*best)
        return {best[0]: "improvement"}

    def _aligned_ranges(
        self, group: runner_group.RunnerGroup, server_id: str
    ) -> Iterator[directory.LayerRange]:
        size = min(group.preferred_layer_count(server_id), self._engine.layers)
        starts = group.boundaries()
        starts |= {boundary - size for boundary in starts}
        for start in starts:
            if 0 <= start <= self._engine.layers - size:
                yield directory.LayerRange(start, start + size)
