"""Tracks the age of the last confirmation of the configuration.

A revoked API key must not be accepted later than a bound after the store has
acknowledged the revocation. A confirmation is a linearizable read. It is dated
by the time at which it was sent, on a clock that includes time in suspension.
A request that is received while the newest confirmation is younger than the
bound was sent before the bound had passed, whatever happens to it afterwards.
"""

import enum
import time

from nutmeglift import ids

NONE = ids.Revision(0)
CLOCK_DRIFT_MARGIN_SECONDS = 0.2
"""Allows for clocks that drift apart within the bound."""


def boot_clock() -> float:
    """Returns seconds on the clock that includes time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Source(enum.Enum):
    """Where a confirmation comes from."""

    TRANSACTION = "transaction"
    """This router's own conditional call."""
    LISTING = "listing"
    """This router's own listing of the store."""
    PEER = "peer"


class Freshness:
    """Determines whether requests with an API key may be accepted.

    Attributes:
        revocation_seconds: bound within which a revoked key has to be refused.
        confirmed_at: time at which the newest confirmation was sent, in
            seconds of the clock that includes time in suspension.
        confirmed_by: source of the newest confirmation, or None.
        rejected_revision: store revision of a configuration that is newer
            than the one in force and was not taken, or NONE.
    """

    def __init__(self, revocation_seconds: float) -> None:
        """Starts without any confirmation."""
        self.revocation_seconds = revocation_seconds
        self.confirmed_at = float("-inf")
        self.confirmed_by: Source | None = None
        self.rejected_revision = NONE
        self._retained_keys: frozenset[str] | None = None

    def confirm(
        self, sent_at: float, source: Source = Source.TRANSACTION
    ) -> None:
        """Records a confirmation by this router or by a peer."""
        if sent_at > self.confirmed_at:
            self.confirmed_at = sent_at
            self.confirmed_by = source

    def record_rejected(
        self, revision: ids.Revision, keys: frozenset[str] | None
    ) -> None:
        """Records a newer configuration that can't be taken.

        The one in force stays so. Keys that the newer one no longer has may
        have been revoked, and are not accepted until it is superseded.

        Args:
            revision: store revision of the newer configuration.
            keys: the keys that it has; None if it has no readable list of keys,
                and so takes none away.
        """
        if revision <= self.rejected_revision:
            return
        self.rejected_revision = revision
        if keys is not None:
            self._retained_keys = keys

    def record_in_force(self, revision: ids.Revision) -> None:
        """Records the store revision of the configuration in force."""
        if revision >= self.rejected_revision:
            self.rejected_revision = NONE
            self._retained_keys = None

    def may_be_revoked(self, key: str) -> bool:
        """Returns whether a newer, rejected configuration lacks a key."""
        return (
            self._retained_keys is not None and key not in self._retained_keys
        )

    def age(self, now: float) -> float:
        """Returns the age of the newest confirmation, in seconds."""
        return now - self.confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Returns whether a request received now may use its key."""
        return (
            self.age(now) < self.revocation_seconds - CLOCK_DRIFT_MARGIN_SECONDS
        )
