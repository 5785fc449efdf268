"""Tracks how old a router's view of the store may be.

Every linearizable response names the store's revision. A view that has this
revision holds all changes that were acknowledged before the call was sent,
however the changes reached it. A router that relies on changes relayed by
another one therefore knows the age of its view, and notices that changes
are missing.

Times are seconds of the clock that includes time in suspension.
"""

import dataclasses

from nutmeglift import ids

NEVER = float("-inf")


@dataclasses.dataclass(frozen=True)
class _Evidence:
    """A revision that the store had, and that the view does not have yet.

    Attributes:
        revision: the revision.
        current_at: time at which the store had no later one; NEVER if unknown.
        learned_at: when this router learned of it.
    """

    revision: ids.Revision
    current_at: float
    learned_at: float


MAX_AGE_SECONDS = 1e9
"""Greater than any known age; stands for an unknown one."""


def known_age(age: float) -> float:
    """Returns an age in seconds, or -1 for an unknown one."""
    return age if age < MAX_AGE_SECONDS else -1.0


class ViewAge:
    """Compares the revision of the view with those that the store had.

    Attributes:
        complete_at: the view's revision includes all changes acknowledged
            before this time.
    """

    def __init__(self) -> None:
        """Starts with a view of unknown age."""
        self.complete_at = NEVER
        self._copied_at = NEVER
        self._revision: ids.Revision | None = None
        self._first_missing: _Evidence | None = None
        self._last_missing: _Evidence | None = None

    def record_store_revision(
        self, now: float, revision: ids.Revision, current_at: float
    ) -> None:
        """Records a revision that the store had.

        Args:
            now: current time.
            revision: the revision.
            current_at: time at which the store had no later one, such as when
                the call was sent; NEVER if it may have had one.
        """
        evidence = _Evidence(revision, current_at, now)
        if self._includes(evidence):
            self._complete(evidence)
            return
        if self._first_missing is None:
            self._first_missing = evidence
        last = self._last_missing
        if last is None or last.revision <= revision:
            self._last_missing = evidence

    def set_view_revision(self, revision: ids.Revision) -> None:
        """Records the revision of the view after changes were applied."""
        self._revision = revision
        first, last = self._first_missing, self._last_missing
        if last is not None and self._includes(last):
            self._complete(last)
            self._first_missing = self._last_missing = None
        elif first is not None and self._includes(first):
            self._complete(first)
            self._first_missing = last

    def record_listing(self, revision: ids.Revision, sent_at: float) -> None:
        """Records that the view was replaced by a listing of the store.

        Args:
            revision: revision of the listing.
            sent_at: when the call was sent.
        """
        self._first_missing = self._last_missing = None
        self.complete_at = max(self.complete_at, sent_at)
        self.set_view_revision(revision)

    def record_copy(self, complete_at: float) -> None:
        """Records a copy of a peer's entries, which has no revision."""
        self._copied_at = max(self._copied_at, complete_at)

    @property
    def is_behind(self) -> bool:
        """Whether changes are known to be missing."""
        return self._first_missing is not None

    def age(self, now: float) -> float:
        """Returns the greatest possible age of the view, in seconds."""
        return now - max(self.complete_at, self._copied_at)

    @property
    def is_copied(self) -> bool:
        """Whether a peer's copy is newer than the view's revision."""
        return self._copied_at > self.complete_at

    def behind_for(self, now: float) -> float:
        """Returns for how long changes are known to be missing, in seconds."""
        if self._first_missing is None:
            return 0.0
        return now - self._first_missing.learned_at

    def _includes(self, evidence: _Evidence) -> bool:
        return (
            self._revision is not None and evidence.revision <= self._revision
        )

    def _complete(self, evidence: _Evidence) -> None:
        self.complete_at = max(self.complete_at, evidence.current_at)
