"""Selects a backend server of a plain service."""

from collections.abc import Iterable
import math

from nutmeglift import ids
from nutmeglift_gateway import directory
from nutmeglift_gateway import loads

REMOTE_DOMAIN_PENALTY_REQUESTS = 2.0
"""Requests added to the load of a server in another failure domain, because
traffic between failure domains is billed by the byte."""


LOST_RESPONSE_PENALTY_REQUESTS = 6.0
"""Requests added to a server's load for each lost response. Requests that are
not repeatable then go to a server that responds, if one has free slots."""
PENALTY_HALF_LIFE_SECONDS = 3.0
"""Time in which a penalty halves: servers that lose responses recover within
seconds."""
MAX_PENALTY_REQUESTS = 60.0
"""Limits the time until a recovered server is used again."""


class LossPenalties:
    """Tracks which servers lost responses recently."""

    def __init__(self) -> None:
        self._penalty_by_address: dict[str, tuple[float, float]] = {}

    def record_loss(self, now: float, address: str) -> None:
        """Records that a server's response was lost or invalid."""
        penalty = self.value(now, address) + LOST_RESPONSE_PENALTY_REQUESTS
        self._penalty_by_address[address] = (
            now,
            min(penalty, MAX_PENALTY_REQUESTS),
        )

    def value(self, now: float, address: str) -> float:
        """Returns the number of requests to add to a server's load."""
        found = self._penalty_by_address.get(address)
        if found is None:
            return 0.0
        recorded_at, penalty = found
        return penalty * math.exp2(
            (recorded_at - now) / PENALTY_HALF_LIFE_SECONDS
        )


def select_server(
    now: float,
    servers: Iterable[directory.Server],
    load_tracker: loads.LoadTracker,
    home: ids.FailureDomain,
    penalties: LossPenalties,
) -> directory.Server | None:
    """Returns the least loaded server, or None if there is none.

    Args:
        now: event loop time in seconds.
        servers: the servers to select from.
        load_tracker: load of the servers.
        home: the router's failure domain.
        penalties: penalties for lost responses.
    """
    return min(
        servers,
        key=lambda server: (
            (
                load_tracker.at(server.address).requests
                + penalties.value(now, server.address)
                + (
                    REMOTE_DOMAIN_PENALTY_REQUESTS
                    if server.domain != home
                    else 0.0
                )
            )
            / max(1, server.slots),
            server.id,
        ),
        default=None,
    )
