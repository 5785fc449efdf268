"""Limits the use of the slow links between failure domains.

A request whose path crosses between failure domains sends the activations of
every token over a link that all requests share, one transfer after another.
If the link is saturated, all of these requests wait and callers disconnect. A
crossing path is therefore used only while the link has bandwidth left.
"""

import collections
import itertools

from nutmeglift_gateway import catalog
from nutmeglift_gateway import paths

TRANSFER_WINDOW_SECONDS = 1.0
"""Time over which transfers are summed: shorter than the time after which
callers abandon a silent stream."""
MAX_UTILIZATION_RATIO = 0.6
"""Part of a link's time for activations; responses use the rest."""


DomainPair = frozenset[str]
"""Two failure domains that a link connects."""


def crossed_links(path: paths.Path) -> list[DomainPair]:
    """Returns the links that a path crosses, in order."""
    domains = [part.server.domain for part in path.parts]
    return [
        frozenset((one, other))
        for one, other in itertools.pairwise(domains)
        if one != other
    ]


class LinkBudget:
    """One router's share of each link's time."""

    def __init__(self) -> None:
        self._spent_by_pair: dict[
            DomainPair, collections.deque[tuple[float, float]]
        ] = {}

    def has_room(self, now: float, path: paths.Path, routers: int) -> bool:
        """Returns whether another request may use a path.

        Args:
            now: event loop time in seconds.
            path: the path.
            routers: number of live routers, which share the links.
        """
        return self.used_ratio(now, path, routers) < 1.0

    def used_ratio(self, now: float, path: paths.Path, routers: int) -> float:
        """Returns the used part of this router's share of a path's links.

        Args:
            now: event loop time in seconds.
            path: the path.
            routers: number of live routers, which share the links.
        """
        share = _share_seconds(routers)
        return max(
            (
                self._used_seconds(now, pair) / share
                for pair in set(crossed_links(path))
            ),
            default=0.0,
        )

    def seconds_until_room(
        self, now: float, path: paths.Path, routers: int
    ) -> float:
        """Returns the seconds until another request may use a path.

        Args:
            now: event loop time in seconds.
            path: the path.
            routers: number of live routers, which share the links.
        """
        share = _share_seconds(routers)
        longest = 0.0
        for pair in set(crossed_links(path)):
            used = self._used_seconds(now, pair)
            for at, seconds in self._spent_by_pair.get(pair, ()):
                if used < share:
                    break
                used -= seconds
                longest = max(longest, at + TRANSFER_WINDOW_SECONDS - now)
        return longest

    def record_transfer(
        self,
        now: float,
        engine: catalog.Engine,
        path: paths.Path,
        tokens: float,
    ) -> None:
        """Records that a request's tokens are processed along a path.

        Args:
            now: event loop time in seconds.
            engine: defines the activation size of a token and the bandwidth of
                a link.
            path: the path.
            tokens: number of tokens.
        """
        seconds_per_token = (
            engine.activation_bytes * 8 / (engine.pipe_mbps * 1e6)
        )
        for pair in crossed_links(path):
            spent = self._spent_by_pair.setdefault(pair, collections.deque())
            spent.append((now, tokens * seconds_per_token))

    def _used_seconds(self, now: float, pair: DomainPair) -> float:
        spent = self._spent_by_pair.get(pair)
        if not spent:
            return 0.0
        while spent and spent[0][0] <= now - TRANSFER_WINDOW_SECONDS:
            spent.popleft()
        return sum(seconds for _, seconds in spent)


def _share_seconds(routers: int) -> float:
    """Returns the link time in a window that one of the routers may use."""
    return MAX_UTILIZATION_RATIO * TRANSFER_WINDOW_SECONDS / max(1, routers)
