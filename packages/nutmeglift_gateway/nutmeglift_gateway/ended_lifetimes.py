"""Removes lifetimes of servers whose address another server has."""

import asyncio

from nutmeglift_gateway import board as boards
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import directory


def end_lifetime(
    board: boards.Board,
    log: decision_log.DecisionLog,
    server: directory.Server,
    born: int | None = None,
) -> None:
    """Removes a lifetime that isn't that of the server at its address.

    Args:
        board: the router's shared state.
        log: log of decisions.
        server: the lifetime.
        born: start time that the server at the address reported; None if it
            just rejected the lifetime.
    """
    now = asyncio.get_running_loop().time()
    if board.directory.reject_lifetime(now, server, born):
        log.write("server rejected", server=server.id, address=server.address)
    elif board.directory.remove_lifetime(server):
        log.write("server ended", server=server.id, address=server.address)
