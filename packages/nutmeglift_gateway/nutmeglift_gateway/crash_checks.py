"""Decides whether a server's process is known to have ended."""

from nutmeglift_gateway import board as boards
from nutmeglift_gateway import runs
from nutmeglift_gateway import suspect_servers


def has_crashed(
    board: boards.Board, lifetime: runs.Lifetime, address: str
) -> bool:
    """Returns whether a server's process is known to have ended.

    A server without an entry may serve on.
    """
    suspects = board.suspect_servers
    if suspects.is_suspect(address, lifetime):
        return suspects.reason(address) == suspect_servers.Reason.CRASHED
    known = board.server_at(address)
    return (
        known is not None
        and known.lifetime != lifetime
        and known.born >= lifetime[1]
    )


def may_have_crashed(board: boards.Board, lifetime: runs.Lifetime) -> bool:
    """Returns whether nothing shows that a lifetime goes on."""
    known = board.directory.server_by_id.get(lifetime[0])
    return (
        known is None
        or known.lifetime != lifetime
        or has_crashed(board, lifetime, known.address)
    )
