"""Tracks a configuration that is known to exist and is not in force.

Times are seconds of the clock that includes time in suspension.
"""

from nutmeglift import ids

NONE = ids.Revision(0)


class CatalogLag:
    """Compares the newest known revision with the one in force.

    Attributes:
        revision: newest revision that is not in force, or NONE.
        unreadable: whether this revision was read and is malformed.
    """

    def __init__(self) -> None:
        """Starts without a known configuration."""
        self.revision = NONE
        self.unreadable = False
        self._in_force = NONE
        self._since = float("inf")

    def record_known(
        self, now: float, revision: ids.Revision, *, unreadable: bool = False
    ) -> None:
        """Records that the store has a revision.

        Args:
            now: the time.
            revision: revision of the configuration's entry.
            unreadable: whether it was read and is malformed.
        """
        if revision <= self._in_force or revision < self.revision:
            return
        if revision == self.revision:
            self.unreadable |= unreadable
            return
        if self.revision == NONE:
            self._since = now
        self.revision = revision
        self.unreadable = unreadable

    def record_in_force(self, revision: ids.Revision) -> None:
        """Records the revision that came into force."""
        self._in_force = max(self._in_force, revision)
        if self.revision <= self._in_force:
            self.revision = NONE
            self.unreadable = False
            self._since = float("inf")

    def behind_for(self, now: float) -> float:
        """Returns for how long a newer revision has been known, in seconds."""
        return max(0.0, now - self._since)
