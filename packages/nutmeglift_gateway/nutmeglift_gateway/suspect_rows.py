"""Formats the suspect backend servers in reports between routers."""

import msgspec

from nutmeglift_gateway import board as boards
from nutmeglift_gateway import suspect_servers


class SuspectRow(msgspec.Struct, array_like=True, frozen=True):
    """A backend server that the sender excludes."""

    address: str
    server: str
    born: int
    reason: str


def encode(board: boards.Board) -> list[SuspectRow]:
    """Returns the rows of all suspects."""
    return [
        SuspectRow(
            address,
            lifetime[0],
            lifetime[1],
            board.suspect_servers.reason(address),
        )
        for address, lifetime in board.suspect_servers.suspects().items()
    ]


def apply(now: float, rows: list[SuspectRow], board: boards.Board) -> None:
    """Excludes the servers that a peer found.

    Args:
        now: loop time in seconds.
        rows: the rows of its report.
        board: the router's shared state.
    """
    for row in rows:
        server = board.server_at(row.address)
        if (
            server is None
            or row.reason not in suspect_servers.SHARED_REASONS
            or server.lifetime != (row.server, row.born)
        ):
            continue
        board.suspect(now, server, suspect_servers.Reason.REPORTED_BY_PEER)
        if row.reason == suspect_servers.Reason.CRASHED:
            board.on_crash_reported(now, server)
