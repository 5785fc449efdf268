"""Rows of a report between routers on the servers that hold off."""

import itertools

import msgspec

from nutmeglift_gateway import directory
from nutmeglift_gateway import hold_offs


class HoldOffRow(msgspec.Struct, array_like=True, frozen=True):
    """A backend server that wants nothing from the sender.

    Attributes:
        server: instance id.
        born: start time in Unix milliseconds; 0 if not reported.
        seconds: time that is left.
    """

    server: str
    born: int
    seconds: float


def encode(now: float, state: hold_offs.HoldOffs) -> list[HoldOffRow]:
    """Returns the rows of this router's servers, at most MAX_ROW_COUNT."""
    rows = itertools.islice(state.own(now).items(), hold_offs.MAX_ROW_COUNT)
    return [HoldOffRow(*lifetime, seconds) for lifetime, seconds in rows]


def apply(
    now: float,
    rows: list[HoldOffRow],
    listed: directory.Directory,
    state: hold_offs.HoldOffs,
) -> None:
    """Records a peer's rows as hints.

    Rows of unknown lifetimes or without a valid time are left out, and so are
    all rows of a report with more than MAX_ROW_COUNT.

    Args:
        now: loop time in seconds.
        rows: the rows of the peer's report.
        listed: the backend servers.
        state: records the hints.
    """
    if len(rows) > hold_offs.MAX_ROW_COUNT:
        return
    for row in rows:
        server = listed.server_by_id.get(row.server)
        if server is None or server.born != row.born:
            continue
        if 0 < row.seconds < float("inf"):
            state.record_hint(now, server.lifetime, row.seconds)
