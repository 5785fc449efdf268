"""Tracks which other routers are live, by their reports.

A router that is cut off or paused is noticed sooner than its lease ends.
"""

import dataclasses

from nutmeglift import ids

REPORT_TIMEOUT_SECONDS = 0.7
"""Two reports of a live router may be late or missing."""


@dataclasses.dataclass(frozen=True)
class _Peer:
    domain: ids.FailureDomain
    heard_at: float


class LivePeers:
    """The other routers from which this one receives reports."""

    def __init__(self) -> None:
        self._peer_by_name: dict[str, _Peer] = {}

    def record_report(
        self, now: float, name: str, domain: ids.FailureDomain
    ) -> None:
        """Records a report.

        Args:
            now: loop time in seconds.
            name: VM of its sender.
            domain: the sender's failure domain.
        """
        self._peer_by_name[name] = _Peer(domain, now)

    def domain_by_name(self, now: float) -> dict[str, ids.FailureDomain]:
        """Returns the failure domains of the live peers, by VM."""
        self._peer_by_name = {
            name: peer
            for name, peer in self._peer_by_name.items()
            if now - peer.heard_at < REPORT_TIMEOUT_SECONDS
        }
        return {name: peer.domain for name, peer in self._peer_by_name.items()}
