"""Decodes the store's entries and skips those that are unreadable."""

from nutmeglift import kv
from nutmeglift_gateway import addresses
from nutmeglift_gateway import catalog
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import directory
from nutmeglift_gateway import ports

MAX_REMEMBERED_COUNT = 4096
"""Unreadable entries that are remembered; others are logged again when they are
read again."""


MAX_ADDRESS_BYTES = 256
MAX_LOGGED_KEY_LENGTH = 200


class EntryDecoder:
    """Decodes entries; logs each unreadable one once."""

    def __init__(
        self, schema: ports.BaseSchema, log: decision_log.DecisionLog
    ) -> None:
        """Initializes a decoder.

        Args:
            schema: format of the entries.
            log: log of decisions.
        """
        self._schema = schema
        self._log = log
        self._unreadable: dict[str, int] = {}

    def decode_catalog(self, entry: kv.KeyValue) -> catalog.Catalog | None:
        """Returns a configuration, or None if its entry is unreadable."""
        try:
            return self._schema.decode_catalog(entry)
        except ports.UndecodableEntryError as error:
            self._log_unreadable(entry, str(error))
            return None

    def decode_keys(self, entry: kv.KeyValue) -> frozenset[str] | None:
        """Returns the keys of an unreadable configuration, if readable."""
        try:
            return self._schema.decode_keys(entry)
        except ports.UndecodableEntryError:
            # Why the entry is unreadable has been logged.
            return None

    def decode_server(self, entry: kv.KeyValue) -> directory.Server | None:
        """Returns a backend server, or None if its entry is unreadable."""
        try:
            return self._schema.decode_server(entry)
        except ports.UndecodableEntryError as error:
            self._log_unreadable(entry, str(error))
            return None

    def decode_router(self, entry: kv.KeyValue) -> str | None:
        """Returns a router's address, or None if its entry is unreadable."""
        address = entry.value[: MAX_ADDRESS_BYTES + 1].decode("latin-1")
        if len(address) <= MAX_ADDRESS_BYTES and addresses.is_valid(address):
            return address
        self._log_unreadable(entry, "invalid address")
        return None

    def _log_unreadable(self, entry: kv.KeyValue, detail: str) -> None:
        if self._unreadable.pop(entry.key, None) == entry.mod_revision:
            self._unreadable[entry.key] = entry.mod_revision
            return
        self._unreadable[entry.key] = entry.mod_revision
        if len(self._unreadable) > MAX_REMEMBERED_COUNT:
            del self._unreadable[next(iter(self._unreadable))]
        self._log.write(
            "entry skipped",
            key=entry.key[:MAX_LOGGED_KEY_LENGTH],
            revision=entry.mod_revision,
            detail=detail,
        )
