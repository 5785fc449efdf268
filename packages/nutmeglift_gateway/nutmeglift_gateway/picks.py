"""Picks a backend server of a plain service."""

from collections.abc import Iterable

from nutmeglift import ids
from nutmeglift_gateway import directory
from nutmeglift_gateway import loads

AWAY_REQUESTS = 2.0
"""A server in another failure domain counts as having so many requests more:
answers from there are paid for by the byte."""


def pick_server(
    servers: Iterable[directory.Server],
    book: loads.LoadBook,
    home: ids.FailureDomain,
    penalty_of: dict[str, float],
) -> directory.Server | None:
    """Returns the least loaded server, or None where there is none.

    Args:
        servers: those that may be used.
        book: what is in flight on them.
        home: the router's failure domain.
        penalty_of: further requests that a server counts as having, by its
            address, as it was slow or failed some.
    """
    return min(
        servers,
        key=lambda server: (
            (
                book.at(server.address).requests
                + penalty_of.get(server.address, 0.0)
                + (AWAY_REQUESTS if server.domain != home else 0.0)
            )
            / max(1, server.slots),
            server.id,
        ),
        default=None,
    )
