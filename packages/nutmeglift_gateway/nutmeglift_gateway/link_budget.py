"""Bounds what crosses the slow pipes between failure domains.

A request on a path that crosses sends the activations of every token over a
pipe that all requests share, one transfer after another. Beyond its bandwidth
all of them wait, and callers leave; so a crossing path is found only while the
pipe keeps up.
"""

import collections
import itertools

from nutmeglift_gateway import catalog
from nutmeglift_gateway import paths

TRANSFER_WINDOW_SECONDS = 1.0
"""Span over which transfers are added up: under the time in which callers
leave a silent stream."""
MAX_UTILIZATION_RATIO = 0.6
"""Part of the pipe's time that is given out; answers use the rest."""


DomainPair = frozenset[str]
"""Two failure domains."""


def crossed_links(path: paths.Path) -> list[DomainPair]:
    """Returns the pipes that a path passes, in order."""
    domains = [part.server.domain for part in path.parts]
    return [
        frozenset((one, other))
        for one, other in itertools.pairwise(domains)
        if one != other
    ]


class LinkBudget:
    """One router's share of each pipe's time."""

    def __init__(self) -> None:
        self._spent_by_pair: dict[
            DomainPair, collections.deque[tuple[float, float]]
        ] = {}

    def has_room(self, now: float, path: paths.Path, routers: int) -> bool:
        """Tells whether another request may take a path.

        Args:
            now: seconds.
            path: the path.
            routers: number of live routers, which share the pipes.
        """
        share = (
            MAX_UTILIZATION_RATIO * TRANSFER_WINDOW_SECONDS / max(1, routers)
        )
        return all(
            self._spent(now, pair) < share for pair in set(crossed_links(path))
        )

    def record_transfer(
        self,
        now: float,
        engine: catalog.Engine,
        path: paths.Path,
        tokens: float,
    ) -> None:
        """Notes that a request's tokens are sent along a path.

        Args:
            now: seconds.
            engine: how much a token sends, and how wide a pipe is.
            path: the path.
            tokens: tokens that are read on it.
        """
        each = engine.activation_bytes * 8 / (engine.pipe_mbps * 1e6)
        for pair in crossed_links(path):
            spent = self._spent_by_pair.setdefault(pair, collections.deque())
            spent.append((now, tokens * each))

    def _spent(self, now: float, pair: DomainPair) -> float:
        spent = self._spent_by_pair.get(pair)
        if not spent:
            return 0.0
        while spent and spent[0][0] <= now - TRANSFER_WINDOW_SECONDS:
            spent.popleft()
        return sum(seconds for _, seconds in spent)
