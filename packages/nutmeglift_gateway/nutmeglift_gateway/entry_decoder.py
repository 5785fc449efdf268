"""Decodes the store's entries and skips those that are unreadable."""

from nutmeglift import kv
from nutmeglift_gateway import catalog
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import directory
from nutmeglift_gateway import ports


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
        self._unreadable: set[tuple[str, int]] = set()

    def decode_catalog(self, entry: kv.KeyValue) -> catalog.Catalog | None:
        """Returns a configuration, or None if its entry is unreadable."""
        if (entry.key, entry.mod_revision) in self._unreadable:
            return None
        try:
            return self._schema.decode_catalog(entry)
        except ports.UndecodableEntryError as error:
            self._log_unreadable(entry, str(error))
            return None

    def decode_server(self, entry: kv.KeyValue) -> directory.Server | None:
        """Returns a backend server, or None if its entry is unreadable."""
        try:
            return self._schema.decode_server(entry)
        except ports.UndecodableEntryError as error:
            self._log_unreadable(entry, str(error))
            return None

    def _log_unreadable(self, entry: kv.KeyValue, detail: str) -> None:
        seen = (entry.key, entry.mod_revision)
        if seen in self._unreadable:
            return
        self._unreadable.add(seen)
        self._log.write(
            "entry skipped",
            key=entry.key,
            revision=entry.mod_revision,
            detail=detail,
        )
