"""Tells which servers' entries of a restored store are out of date."""

import collections
from typing import TYPE_CHECKING

from nutmeglift import eras
from nutmeglift import ids

if TYPE_CHECKING:
    from nutmeglift_gateway import directory

MAX_LEFT_COUNT = 1024
"""Lifetimes that are remembered; their servers exit within seconds."""


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

    def record_left(self, server: "directory.Server") -> None:
        """Records a lifetime whose entry was removed because it left."""
        self._left[server.lifetime] = None
        if len(self._left) > MAX_LEFT_COUNT:
            self._left.popitem(last=False)

    def is_outdated(
        self, known: "directory.Server | None", server: "directory.Server"
    ) -> bool:
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
