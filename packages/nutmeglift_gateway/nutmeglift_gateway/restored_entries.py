"""Tells which servers' entries of a restored store are out of date."""

import collections
from typing import Protocol

from nutmeglift import eras
from nutmeglift import ids

MAX_LEFT_COUNT = 1024
"""Lifetimes that are remembered; their servers exit within seconds."""


class Entry(Protocol):
    """What a backend server's entry says of the server's lifetime."""

    @property
    def born(self) -> int:
        """Start time in Unix milliseconds; 0 if not reported."""

    @property
    def lifetime(self) -> tuple[str, int]:
        """Instance id and start time."""

    @property
    def revision(self) -> ids.Revision:
        """Store revision of the entry."""

    @property
    def is_draining(self) -> bool:
        """Whether the server leaves and accepts no new requests."""


class RestoredEntries:
    """Compares the entries of a restored store with what was known before.

    A store that comes back from an older copy lists servers as they were: one
    that drains as ready, one that has left, and a lifetime that has ended. What
    was known holds until the server writes its entry again.
    """

    def __init__(self) -> None:
        """Starts with a store that was never restored."""
        self._restored_revision = ids.Revision(0)
        self._left: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    def begin(self, revision: ids.Revision) -> None:
        """Records the first known revision of another era of the store."""
        self._restored_revision = revision

    def record_left(self, server: Entry) -> None:
        """Records a lifetime whose entry was removed because it left."""
        self._left[server.lifetime] = None
        if len(self._left) > MAX_LEFT_COUNT:
            self._left.popitem(last=False)

    def is_outdated(self, known: Entry | None, server: Entry) -> bool:
        """Returns whether an entry says less than what is known.

        Args:
            known: the entry that is known under its id, if any.
            server: the entry.
        """
        if server.revision > self._restored_revision:
            return False
        if server.lifetime in self._left:
            return True
        if known is None or eras.era_of(known.revision) == eras.era_of(
            self._restored_revision
        ):
            return False
        if known.lifetime == server.lifetime:
            return known.is_draining and not server.is_draining
        return known.born > server.born
