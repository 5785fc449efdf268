"""The share of a service's requests that may get a second attempt.

In any window, the second attempts over all routers are limited to a share of
the requests in it. A router may use what its own requests allow. What is left
of the whole share after that goes to one router at a time: the share of all
requests is divided in the order of the routers' processes, so that the parts
add up to the whole. A part counts once a router has held it for as long as
reports may lag, so that two routers don't take the same one in turn.
"""

import collections
from collections.abc import Sequence
import dataclasses
import math

SETTLED_SECONDS = 1.5
"""Time for which a part has to be held: older reports count as missing."""
MAX_OBSERVED_COUNT = 64
"""Limits the parts that are kept; some are observed with each report."""


@dataclasses.dataclass(frozen=True, slots=True)
class RouterCount:
    """One router's counts within the window.

    Attributes:
        process: identifies the router's process.
        requests: callers' requests for the service.
        second_attempts: second attempts that it is known to have sent.
        live: whether the counts are of now.
    """

    process: int
    requests: int
    second_attempts: int
    live: bool = True


def part(ratio: float, own: RouterCount, peers: Sequence[RouterCount]) -> int:
    """Returns how many second attempts a router may send in a window.

    Args:
        ratio: second attempts per request.
        own: the router.
        peers: the other routers; those that aren't live are left out.
    """
    before = sum(
        peer.requests
        for peer in peers
        if peer.live and peer.process < own.process
    )
    return math.floor(ratio * (before + own.requests)) - math.floor(
        ratio * before
    )


def spent(
    ratio: float, own: RouterCount, peers: Sequence[RouterCount]
) -> float:
    """Returns the second attempts that count against the live routers' share.

    A peer that is not heard may have used its part and the next one, and goes
    on with what its own requests allow.
    """
    total = float(own.second_attempts)
    for peer in peers:
        if peer.live:
            total += peer.second_attempts
            continue
        allowed = ratio * peer.requests
        total += max(peer.second_attempts, math.ceil(allowed)) - allowed
    return total


class SecondAttemptShare:
    """One router's second attempts at one service, and its part."""

    def __init__(self) -> None:
        self._sent: collections.deque[float] = collections.deque()
        self._observed: collections.deque[tuple[float, int]] = (
            collections.deque(maxlen=MAX_OBSERVED_COUNT)
        )

    def expire(self, limit: float) -> None:
        """Drops the second attempts that were sent until then."""
        while self._sent and self._sent[0] <= limit:
            self._sent.popleft()

    @property
    def sent(self) -> int:
        """Number of second attempts in the window."""
        return len(self._sent)

    def record(self, now: float) -> None:
        """Counts a second attempt."""
        self._sent.append(now)

    def observe(
        self,
        now: float,
        ratio: float,
        own: RouterCount,
        peers: Sequence[RouterCount],
    ) -> None:
        """Notes the router's part; to be called with each of its reports."""
        if ratio > 0:
            self._observed.append((now, part(ratio, own, peers)))

    def allows(
        self,
        now: float,
        ratio: float,
        own: RouterCount,
        peers: Sequence[RouterCount],
    ) -> bool:
        """Returns whether another second attempt may be sent.

        Args:
            now: loop time in seconds.
            ratio: second attempts per request.
            own: this router.
            peers: the other routers.
        """
        requests = own.requests + sum(p.requests for p in peers if p.live)
        if spent(ratio, own, peers) + 1 > ratio * requests:
            return False
        if own.second_attempts < math.floor(ratio * own.requests):
            return True
        recent = [
            value for at, value in self._observed if at >= now - SETTLED_SECONDS
        ]
        settled = bool(self._observed) and (
            self._observed[0][0] <= now - SETTLED_SECONDS
        )
        return (
            settled
            and bool(recent)
            and own.second_attempts < min(part(ratio, own, peers), *recent)
        )
