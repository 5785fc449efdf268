"""Tracks which other routers are live, by their reports.

A router that is cut off or paused is noticed sooner than its lease ends.
"""

import dataclasses

from nutmeglift import ids
from nutmeglift_gateway.load import report_intervals


@dataclasses.dataclass(frozen=True)
class Peer:
    """A router from which reports arrive.

    Attributes:
        domain: its failure domain.
        live_until: loop time at which it is lost unless it reports again.
        served: whether the store serves it.
    """

    domain: ids.FailureDomain
    live_until: float
    served: bool


class LivePeers:
    """The other routers from which this one receives reports."""

    def __init__(self) -> None:
        self._peer_by_name: dict[str, Peer] = {}

    def record_report(
        self,
        now: float,
        name: str,
        domain: ids.FailureDomain,
        *,
        served: bool = True,
        timeout: float = report_intervals.NEAR_TIMEOUT_SECONDS,
    ) -> None:
        """Records a report.

        Args:
            now: loop time in seconds.
            name: VM of its sender.
            domain: the sender's failure domain.
            served: whether the store serves the sender.
            timeout: time without a report after which it is lost, in seconds.
        """
        self._peer_by_name[name] = Peer(domain, now + timeout, served)

    def domain_by_name(self, now: float) -> dict[str, ids.FailureDomain]:
        """Returns the failure domains of the live peers, by VM."""
        self._expire(now)
        return {name: peer.domain for name, peer in self._peer_by_name.items()}

    @property
    def count(self) -> int:
        """Number of live peers, as far as was found."""
        return len(self._peer_by_name)

    def in_domain(
        self, now: float, domain: ids.FailureDomain
    ) -> dict[str, Peer]:
        """Returns the live peers of a failure domain, by VM."""
        self._expire(now)
        return {
            name: peer
            for name, peer in self._peer_by_name.items()
            if peer.domain == domain
        }

    def _expire(self, now: float) -> None:
        for name, peer in list(self._peer_by_name.items()):
            if now >= peer.live_until:
                del self._peer_by_name[name]
