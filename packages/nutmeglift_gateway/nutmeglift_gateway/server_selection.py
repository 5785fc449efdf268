"""Picks a backend server of a plain service."""

from collections.abc import Iterable
import math

from nutmeglift import ids
from nutmeglift_gateway import directory
from nutmeglift_gateway import loads

REMOTE_DOMAIN_PENALTY_REQUESTS = 2.0
"""A server in another failure domain counts as having so many requests more:
answers from there are paid for by the byte."""


LOST_ANSWER_PENALTY_REQUESTS = 6.0
"""A lost answer makes a server count as having so many requests more: one
that may not be repeated goes to a server that answers, while there is one
with free slots."""
PENALTY_HALF_LIFE_SECONDS = 3.0
"""A penalty halves in it: servers that lose answers recover in seconds."""
MAX_PENALTY_REQUESTS = 60.0
"""Bounds the time until a server that recovered is used again."""


class LossPenalties:
    """Remembers which servers lost answers lately."""

    def __init__(self) -> None:
        self._penalty_by_address: dict[str, tuple[float, float]] = {}

    def record_loss(self, now: float, address: str) -> None:
        """Notes that a server's answer was lost or spoiled."""
        penalty = self.value(now, address) + LOST_ANSWER_PENALTY_REQUESTS
        self._penalty_by_address[address] = (
            now,
            min(penalty, MAX_PENALTY_REQUESTS),
        )

    def value(self, now: float, address: str) -> float:
        """Returns the requests that a server counts as having more."""
        found = self._penalty_by_address.get(address)
        if found is None:
            return 0.0
        noted_at, penalty = found
        return penalty * math.exp2((noted_at - now) / PENALTY_HALF_LIFE_SECONDS)


def select_server(
    now: float,
    servers: Iterable[directory.Server],
    book: loads.LoadTracker,
    home: ids.FailureDomain,
    penalties: LossPenalties,
) -> directory.Server | None:
    """Returns the least loaded server, or None where there is none.

    Args:
        now: seconds.
        servers: those that may be used.
        book: what is in flight on them.
        home: the router's failure domain.
        penalties: servers that lost answers lately.
    """
    return min(
        servers,
        key=lambda server: (
            (
                book.at(server.address).requests
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
