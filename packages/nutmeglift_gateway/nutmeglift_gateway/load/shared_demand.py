"""Demand over all routers, from their reports."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from nutmeglift import ids
from nutmeglift_gateway import loads
from nutmeglift_gateway.load import demand
from nutmeglift_gateway.load import demand_rows

PEER_SUM_SECONDS = 0.05
"""Time for which the sum over the peers is kept: they report less often."""

Key = tuple[ids.ServiceId, int]


def combine(parts: Iterable[demand.Demand]) -> demand.Demand:
    """Returns the demand of several routers together.

    Args:
        parts: the demand of each; at least one.
    """
    listed = list(parts)
    arrivals = sum(each.arrivals_per_second for each in listed)
    weights = [
        each.arrivals_per_second / arrivals if arrivals else 1 / len(listed)
        for each in listed
    ]
    return demand.Demand(
        arrivals,
        min(each.objective for each in listed),
        sum(each.waiting for each in listed),
        sum(
            weight * each.prompt_tokens
            for weight, each in zip(weights, listed, strict=True)
        ),
        sum(
            weight * each.held_tokens
            for weight, each in zip(weights, listed, strict=True)
        ),
    )


class SharedDemand(demand.BaseDemand):
    """Demand of this router's callers and of its peers'.

    Attributes:
        own: returns the demand of this router's own callers at a loop time.
    """

    def __init__(self) -> None:
        self.own: Callable[[float], demand_rows.ServiceDemand] = lambda now: {}
        self._report_by_peer: dict[
            str, tuple[float, Mapping[Key, demand.Demand]]
        ] = {}
        self._peers_summed_at = float("-inf")
        self._peers_by_service: dict[
            ids.ServiceId, dict[int, demand.Demand]
        ] = {}

    def record_report(
        self, now: float, peer: str, demand_by_key: Mapping[Key, demand.Demand]
    ) -> None:
        """Replaces the demand that a peer reported before.

        Args:
            now: loop time in seconds.
            peer: VM of the peer.
            demand_by_key: its demand by service and priority.
        """
        self._report_by_peer[peer] = (now, demand_by_key)

    def by_priority(
        self, now: float, service: ids.ServiceId
    ) -> Mapping[int, demand.Demand]:
        """Returns the demand of the priorities that were in use recently.

        A peer that no longer reports counts as long as its loads do.
        """
        own = self.own(now).get(service, {})
        peers = self._sum_peers(now).get(service, {})
        return {
            priority: combine(
                each[priority] for each in (own, peers) if priority in each
            )
            for priority in own.keys() | peers.keys()
        }

    def _sum_peers(
        self, now: float
    ) -> Mapping[ids.ServiceId, Mapping[int, demand.Demand]]:
        if now - self._peers_summed_at < PEER_SUM_SECONDS:
            return self._peers_by_service
        self._peers_summed_at = now
        self._report_by_peer = {
            peer: report
            for peer, report in self._report_by_peer.items()
            if now - report[0] <= loads.PEER_REPORT_TIMEOUT_SECONDS
        }
        parts_by_key: dict[Key, list[demand.Demand]] = {}
        for _, demand_by_key in self._report_by_peer.values():
            for key, each in demand_by_key.items():
                parts_by_key.setdefault(key, []).append(each)
        self._peers_by_service = {}
        for (service, priority), parts in parts_by_key.items():
            by_priority = self._peers_by_service.setdefault(service, {})
            by_priority[priority] = combine(parts)
        return self._peers_by_service
