"""Finds the cheapest chain of runners over the layers of a model.

It is found by dynamic programming.
"""

from collections.abc import Sequence
from typing import NamedTuple

from nutmeglift_gateway import directory

MAX_PART_COUNT = 32
"""Runners reject longer paths (limit of the engines' protocol)."""


class Holder(NamedTuple):
    """A runner that may run a part of the layers.

    Attributes:
        server: the runner.
        start: its first layer.
        end: the layer after its last.
        layer_cost: cost of one layer.
        may_be_first: whether it accepts requests as the first runner.
    """

    server: directory.Server
    start: int
    end: int
    layer_cost: float
    may_be_first: bool


class Segment(NamedTuple):
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


class Chain(NamedTuple):
    """Runners that cover a segment.

    Attributes:
        cost: its cost.
        parts: the runners in order, each with its first layer and the one
            after its last.
    """

    cost: float
    parts: tuple[tuple[directory.Server, int, int], ...]


class _Partial(NamedTuple):
    cost: float
    part_count: int
    domain: str
    server: directory.Server | None
    start: int
    end: int
    previous: "_Partial | None"


def search(
    holders: Sequence[Holder], segment: Segment, crossing_cost: float
) -> Chain | None:
    """Returns the cheapest chain, or None if there is none.

    Args:
        holders: the runners that may be used.
        segment: the layers to cover.
        crossing_cost: cost of a crossing between failure domains.
    """
    domains = {holder.server.domain for holder in holders}
    if domains <= {segment.domain} or (
        len(domains) == 1 and not segment.domain
    ):
        return _search_within(holders, segment)
    begin = _Partial(
        0.0, 0, segment.domain, None, segment.start, segment.start, None
    )
    frontier = {segment.start: {segment.domain: begin}}
    while frontier:
        at = min(frontier)
        partials = frontier.pop(at)
        if at >= segment.end:
            return _trace(min(partials.values(), key=lambda p: p.cost))
        for server, start, held_end, layer_cost, may_be_first in holders:
            if not start <= at < held_end or (at == 0 and not may_be_first):
                continue
            end = min(held_end, segment.end)
            part_cost = (end - at) * layer_cost
            domain = server.domain
            for partial in partials.values():
                if partial.part_count >= MAX_PART_COUNT:
                    continue
                cost = partial.cost + part_cost
                if partial.domain and partial.domain != domain:
                    cost += crossing_cost
                known = frontier.setdefault(end, {})
                best = known.get(domain)
                if best is None or cost < best.cost:
                    known[domain] = _Partial(
                        cost,
                        partial.part_count + 1,
                        domain,
                        server,
                        at,
                        end,
                        partial,
                    )
    return None


def _search_within(holders: Sequence[Holder], segment: Segment) -> Chain | None:
    """Returns the cheapest chain over runners of one failure domain."""
    domain = segment.domain
    frontier = {
        segment.start: _Partial(
            0.0, 0, domain, None, segment.start, segment.start, None
        )
    }
    while frontier:
        at = min(frontier)
        partial = frontier.pop(at)
        if at >= segment.end:
            return _trace(partial)
        if partial.part_count >= MAX_PART_COUNT:
            continue
        begin_cost, part_count = partial.cost, partial.part_count + 1
        for server, start, held_end, layer_cost, may_be_first in holders:
            if not start <= at < held_end or (at == 0 and not may_be_first):
                continue
            end = held_end if held_end < segment.end else segment.end
            cost = begin_cost + (end - at) * layer_cost
            best = frontier.get(end)
            if best is None or cost < best.cost:
                frontier[end] = _Partial(
                    cost, part_count, domain, server, at, end, partial
                )
    return None


def _trace(partial: _Partial) -> Chain:
    parts = []
    current: _Partial | None = partial
    while current is not None and current.server is not None:
        parts.append((current.server, current.start, current.end))
        current = current.previous
    parts.reverse()
    return Chain(partial.cost, tuple(parts))
