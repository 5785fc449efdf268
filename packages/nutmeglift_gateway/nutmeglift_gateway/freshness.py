"""Decides whether the configuration in force is confirmed as the newest.

A revoked API key must not be accepted later than a bound after the store has
acknowledged the revocation. A confirmation is an answer of the store, or a
peer's word on one, that names the version that was the newest. It is dated by
the time at which its call was sent, on a clock that includes time in
suspension. A request that is received while the newest confirmation is younger
than the bound was sent before the bound had passed, whatever happens to it
afterwards.

A store that comes back from an older copy begins another era. What it has lost
is written again soon after. Until then it confirms nothing: the version that it
holds may be older than one that it has acknowledged.
"""

import dataclasses
import enum
import time

from nutmeglift import eras
from nutmeglift import ids

NONE = ids.Revision(0)
CLOCK_DRIFT_MARGIN_SECONDS = 0.2
"""Allows for clocks whose drift is within the bound."""
RESTORE_SECONDS = 2.0
"""Shortest time in which the operators and the servers write again what a store
that came back from an older copy has lost."""
CONFIRM_SECONDS = 0.4
"""Time to confirm before the last confirmation is too old: a round trip to the
store, and the interval at which it is checked."""


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


@dataclasses.dataclass(frozen=True)
class StoreConfirmation:
    """An answer of the store that names the newest version.

    Attributes:
        sent_at: when the call was sent, on the boot clock.
        revision: store revision of the configuration's entry in the answer.
        source: the call.
        known_revision: newest revision of the entry that was known when the
            call was sent; one before it is that of an earlier answer.
    """

    sent_at: float
    revision: ids.Revision
    source: Source
    known_revision: ids.Revision = NONE


@dataclasses.dataclass(frozen=True)
class PeerConfirmation:
    """A peer's word that its configuration was confirmed.

    Attributes:
        sent_at: time before which the peer's call was not sent, on this
            router's boot clock.
        generation: generation of the peer's configuration.
        digest: digest of its value.
    """

    sent_at: float
    generation: ids.Generation
    digest: int


Confirmation = StoreConfirmation | PeerConfirmation


class Freshness:
    """Determines whether requests with an API key may be accepted.

    Times are seconds of the clock that includes time in suspension.

    Attributes:
        revocation_seconds: bound within which a revoked key has to be refused.
        confirmed_at: time at which the newest confirmation was sent.
        confirmed_by: source of the newest confirmation, or None.
        generation: generation of the configuration in force; 0 for none.
        digest: digest of its value.
        stored_revision: newest store revision of the configuration's entry that
            was read, in force or not; NONE before the first one.
        rejected_revision: store revision of a configuration that is newer
            than the one in force and was not taken, or NONE.
    """

    def __init__(self, revocation_seconds: float) -> None:
        """Starts without any confirmation."""
        self.revocation_seconds = revocation_seconds
        self.confirmed_at = float("-inf")
        self.confirmed_by: Source | None = None
        self.generation = ids.Generation(0)
        self.digest = 0
        self.stored_revision = NONE
        self.rejected_revision = NONE
        self._stored_generation = ids.Generation(0)
        self._retained_keys: frozenset[str] | None = None
        self._era = eras.NO_ERA
        self._settles_at = float("-inf")

    def confirm(self, confirmation: Confirmation) -> bool:
        """Dates the configuration in force if a confirmation holds for it.

        Returns:
            Whether it does.
        """
        match confirmation:
            case StoreConfirmation(sent_at, revision, source, known_revision):
                self.record_era(sent_at, eras.era_of(revision))
                holds = (
                    revision >= known_revision
                    and self._includes(revision)
                    and self.is_settled(sent_at)
                )
            case PeerConfirmation(sent_at, generation, digest):
                source = Source.PEER
                holds = 0 < generation < self.generation or (
                    (generation, digest) == (self.generation, self.digest)
                )
        if holds and sent_at > self.confirmed_at:
            self.confirmed_at = sent_at
            self.confirmed_by = source
        return holds

    def _includes(self, revision: ids.Revision) -> bool:
        """Returns whether the newest entry up to a revision is respected.

        That of a restored store may be older than the one in force, which is
        then confirmed only once it has been written again.
        """
        if not NONE < revision <= self.stored_revision:
            return False
        return (
            self.stored_revision == self.rejected_revision
            or self._stored_generation >= self.generation
        )

    def record_in_force(
        self,
        revision: ids.Revision,
        generation: ids.Generation,
        digest: int = 0,
    ) -> None:
        """Records the configuration in force.

        Args:
            revision: store revision of its entry.
            generation: its generation.
            digest: digest of its value.
        """
        is_newer = generation > self.generation
        self.generation = generation
        self.digest = digest
        self.record_stored(revision, generation)
        # A restored store may have lost the rejected version.
        if revision >= self.rejected_revision and (
            is_newer
            or eras.era_of(revision) == eras.era_of(self.rejected_revision)
        ):
            self.rejected_revision = NONE
            self._retained_keys = None

    def record_stored(
        self, revision: ids.Revision, generation: ids.Generation
    ) -> None:
        """Records a version that the store holds, in force or older."""
        if revision > self.stored_revision:
            self.stored_revision = revision
            self._stored_generation = generation

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
        self.stored_revision = max(self.stored_revision, revision)
        if keys is not None:
            self._retained_keys = keys

    def record_era(self, now: float, era: ids.Era) -> bool:
        """Records an era of the store.

        Returns:
            Whether it has begun since the last one that was recorded.
        """
        if era <= self._era:
            return False
        self._era = era
        # While the last confirmation is fresh, waiting refuses no request.
        self._settles_at = max(
            now + RESTORE_SECONDS,
            self.confirmed_at
            + self.revocation_seconds
            - CLOCK_DRIFT_MARGIN_SECONDS
            - CONFIRM_SECONDS,
        )
        return True

    def settle(self, era: ids.Era) -> None:
        """Records that what was lost before an era has been written again."""
        if era == self._era:
            self._settles_at = float("-inf")

    def is_settled(self, now: float) -> bool:
        """Returns whether what the store had lost was written again."""
        return now >= self._settles_at

    def settles_in(self, now: float) -> float:
        """Returns the seconds until the store is settled; 0 if it is."""
        return max(0.0, self._settles_at - now)

    @property
    def era(self) -> ids.Era:
        """The newest known era of the store."""
        return self._era

    @property
    def was_confirmed(self) -> bool:
        """Whether the configuration was confirmed at any time."""
        return self.confirmed_by is not None

    @property
    def is_newest_taken(self) -> bool:
        """Whether the newest version that was read was not rejected."""
        return self.rejected_revision == NONE

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
