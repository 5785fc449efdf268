"""Decides whether a lifetime of a server is known to have ended."""

from nutmeglift_gateway import board as boards
from nutmeglift_gateway import directory
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


def has_ended(board: boards.Board, server: directory.Server) -> bool:
    """Returns whether a lifetime of a server is known to have ended."""
    known = board.directory.server_by_id.get(server.id)
    if known is None or known.lifetime != server.lifetime:
        return True
    return (
        board.suspect_servers.is_suspect(server.address, server.lifetime)
        and server.address in board.suspect_servers.down_addresses()
    )


def has_terminated(board: boards.Board, server: directory.Server) -> bool:
    """Returns whether a server is known not to go on with its requests.

    A server without an entry may serve on, and so may one that another server
    or router finds silent.
    """
    suspects = board.suspect_servers
    return is_replaced(board, server) or (
        suspects.is_suspect(server.address, server.lifetime)
        and suspects.reason(server.address)
        in suspect_servers.TERMINATED_REASONS
    )


def is_replaced(board: boards.Board, server: directory.Server) -> bool:
    """Returns whether a later lifetime is listed at a server's address.

    A store that was restored from an older copy lists the one before.
    """
    known = board.server_at(server.address)
    return (
        known is not None
        and known.lifetime != server.lifetime
        and known.born >= server.born
    )
