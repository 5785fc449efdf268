"""Decides which version of the configuration is in force."""

import dataclasses
import hashlib

from nutmeglift import eras
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import catalog
from nutmeglift_gateway import catalog_lag
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import entry_decoder
from nutmeglift_gateway import freshness
from nutmeglift_gateway import peer_messages

DIGEST_BYTES = 6
"""Digests stay below the greatest integer of all formats."""


class CatalogView:
    """Applies the versions that the store and the peers hold.

    A version comes into force if its generation is greater. Revisions only show
    which of the store's versions is the newest: a store that comes back from an
    older copy holds an older one at a newer revision.

    Attributes:
        key: store key of the configuration.
        entry: raw entry of the version in force; None before the first one.
        lag: tracks a version that is not in force yet.
    """

    def __init__(
        self,
        key: str,
        board: boards.Board,
        decoder: entry_decoder.EntryDecoder,
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes a view without any version.

        Args:
            key: store key of the configuration.
            board: receives the version in force.
            decoder: decodes the entries.
            log: log of decisions.
        """
        self.key = key
        self.entry: kv.KeyValue | None = None
        self.lag = catalog_lag.CatalogLag()
        self._board = board
        self._freshness = board.freshness
        self._decoder = decoder
        self._log = log
        self._announced_revision = freshness.NONE
        self._compressed_from: kv.KeyValue | None = None
        self._compressed: kv.KeyValue | None = None

    @property
    def is_missing(self) -> bool:
        """Whether a version was announced but not read yet."""
        return self._announced_revision > self._freshness.stored_revision

    def compressed(self) -> kv.KeyValue | None:
        """Returns the entry in force with a compressed value."""
        if self.entry is not None and self.entry is not self._compressed_from:
            self._compressed_from = self.entry
            self._compressed = dataclasses.replace(
                self.entry, value=peer_messages.compress(self.entry.value)
            )
        return self._compressed

    def announce(self, revision: ids.Revision) -> None:
        """Records that the store has a version with unknown value."""
        self._announced_revision = max(self._announced_revision, revision)
        self.lag.record_known(freshness.boot_clock(), revision)

    def apply(self, entry: kv.KeyValue, *, copied: bool = False) -> None:
        """Brings a version into force if it is newer.

        Args:
            entry: the configuration's entry.
            copied: whether it comes from a peer. What a peer sends shows
                nothing about the store unless it can be read.
        """
        if self._was_read(entry, copied=copied):
            return
        found = self._decoder.decode_catalog(entry)
        if found is None:
            if not copied:
                self._reject(entry, self._decoder.decode_keys(entry))
        elif self._supersedes(entry, found):
            self._activate(entry, found)
        elif found == self._board.catalog:
            self._move(entry, found)
        elif copied:
            return
        elif eras.era_of(entry.mod_revision) > eras.era_of(
            self._board.catalog_revision
        ):
            self._freshness.record_stored(entry.mod_revision, found.generation)
            self._log.write(
                "older configuration restored",
                generation=found.generation,
                revision=entry.mod_revision,
                in_force=self._freshness.generation,
            )
        else:
            self._log.write(
                "configuration not newer",
                generation=found.generation,
                revision=entry.mod_revision,
            )
            self._reject(entry, frozenset(found.account_by_key))

    def _was_read(self, entry: kv.KeyValue, *, copied: bool) -> bool:
        """Returns whether a version is known or older than the one in force.

        A peer may hold a newer version that a restored store has lost.
        """
        revision = entry.mod_revision
        in_force = self._board.catalog_revision
        if copied and eras.era_of(revision) < eras.era_of(in_force):
            return False
        return revision <= in_force or revision in (
            self._freshness.stored_revision,
            self._freshness.rejected_revision,
        )

    def _supersedes(self, entry: kv.KeyValue, found: catalog.Catalog) -> bool:
        """Returns whether a version takes the place of the one in force.

        A restored store accepts another version under a number that it has
        lost.
        """
        in_force = self._board.catalog
        if in_force is None or found.generation > in_force.generation:
            return True
        return (
            found.generation == in_force.generation
            and found != in_force
            and eras.era_of(entry.mod_revision)
            > eras.era_of(self._board.catalog_revision)
        )

    def _activate(self, entry: kv.KeyValue, found: catalog.Catalog) -> None:
        behind_for = self.lag.behind_for(freshness.boot_clock())
        self.entry = entry
        self._board.set_catalog(entry.mod_revision, found, _digest(entry))
        self.lag.record_in_force(entry.mod_revision)
        self._log.write(
            "configuration in force",
            generation=found.generation,
            revision=entry.mod_revision,
            routes=len(found.routes),
            behind_for=round(behind_for, 3),
        )

    def _move(self, entry: kv.KeyValue, found: catalog.Catalog) -> None:
        """Records a newer revision of the version in force."""
        if entry.mod_revision <= self._board.catalog_revision:
            return
        self.entry = entry
        self._board.move_catalog(entry.mod_revision, _digest(entry))
        self.lag.record_in_force(entry.mod_revision)
        self._log.write(
            "configuration written again",
            generation=found.generation,
            revision=entry.mod_revision,
        )

    def _reject(self, entry: kv.KeyValue, keys: frozenset[str] | None) -> None:
        """Leaves the version in force as it is, without revoked keys."""
        self._freshness.record_rejected(entry.mod_revision, keys)
        self.lag.record_known(
            freshness.boot_clock(), entry.mod_revision, unreadable=True
        )


def _digest(entry: kv.KeyValue) -> int:
    """Returns a digest by which the values of entries are compared."""
    found = hashlib.blake2b(entry.value, digest_size=DIGEST_BYTES)
    return int.from_bytes(found.digest())
