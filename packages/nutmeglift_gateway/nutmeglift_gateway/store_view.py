"""A router's local view of the store."""

import asyncio
from collections.abc import Callable

from nutmeglift import decoding
from nutmeglift import eras
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import catalog_view
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import directory
from nutmeglift_gateway import entry_decoder
from nutmeglift_gateway import freshness
from nutmeglift_gateway import poison_rows
from nutmeglift_gateway import ports
from nutmeglift_gateway import view_age

OWN_PREFIX = "nutmeglift/"
ROUTER_PREFIX = OWN_PREFIX + "routers/"
PLANNER_KEY = OWN_PREFIX + "planner"
SETTLED_ERA_KEY = OWN_PREFIX + "settled-era"
"""Holds the newest era in which all was written again that the store had lost.
A router that starts knows by it that the store did not just come back."""
QUARANTINE_PREFIX = OWN_PREFIX + "quarantines/"
UNLISTED = ids.Revision(-1)
"""The local view has no revision, so the whole store has to be listed."""


class StoreView:
    """Applies the store's entries and changes to the board.

    Attributes:
        view_age: tracks how old the view may be.
        catalog: decides which version of the configuration is in force.
        on_restore: called with the time when the store has come back from an
            older copy.
        settled_era: the entry of the newest settled era, if there is one.
        describe_outage: returns the state of the store's outages for the log.
        entry_by_key: raw entries by key.
        planner: the planner's entry, if there is one.
        quarantine_by_key: raw entries of the quarantines by key.
    """

    def __init__(
        self,
        schema: ports.BaseSchema,
        board: boards.Board,
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes an empty view.

        Args:
            schema: format of the entries.
            board: receives what the entries say.
            log: log of decisions.
        """
        self._schema = schema
        self._board = board
        self._log = log
        self._decoder = entry_decoder.EntryDecoder(schema, log)
        self.catalog = catalog_view.CatalogView(
            schema.catalog_key, board, self._decoder, log
        )
        self.view_age = view_age.ViewAge()
        self.describe_outage: Callable[[float], str] = lambda now: ""
        self._revision = UNLISTED
        self._listed_era: ids.Era | None = None
        self._listed_routers: dict[str, str] = {}
        self.on_restore: Callable[[float], None] = lambda now: None
        self.entry_by_key: dict[str, kv.KeyValue] = {}
        self.planner: kv.KeyValue | None = None
        self.settled_era: kv.KeyValue | None = None
        self.quarantine_by_key: dict[str, kv.KeyValue] = {}
        self._skipped_quarantine: kv.KeyValue | None = None

    @property
    def revision(self) -> ids.Revision:
        """Revision of the last change in the view, or UNLISTED."""
        return self._revision

    @revision.setter
    def revision(self, revision: ids.Revision) -> None:
        self._revision = revision
        if revision != UNLISTED:
            self.view_age.set_view_revision(revision)

    def server_entries(self) -> list[kv.KeyValue]:
        """Returns the raw entries of all listed backend servers."""
        prefix = self._schema.server_prefix
        return [
            entry
            for key, entry in self.entry_by_key.items()
            if key.startswith(prefix)
        ]

    @property
    def confirmed_revision(self) -> ids.Revision:
        """Revision that the view's age belongs to, or UNLISTED."""
        return UNLISTED if self.view_age.is_copied else self._revision

    def apply_snapshot(self, snapshot: kv.Snapshot, sent_at: float) -> None:
        """Replaces the view by a listing of the whole store.

        Args:
            snapshot: the listing.
            sent_at: when its call was sent, on the clock of `view_age`.
        """
        servers = []
        routers = {}
        planner = None
        self.quarantine_by_key = {}
        self.entry_by_key = {}
        self.settled_era = None
        now = self._now()
        self._begin_era(now, snapshot.revision)
        for entry in snapshot.entries:
            if entry.key == self._schema.catalog_key:
                self._guard(entry, self.catalog.apply)
            elif entry.key.startswith(self._schema.server_prefix):
                server = self._decode_server(now, entry)
                if server is not None:
                    servers.append(server)
            elif entry.key.startswith(ROUTER_PREFIX):
                address = self._decoder.decode_router(entry)
                if address is not None:
                    routers[entry.key.removeprefix(ROUTER_PREFIX)] = address
            elif entry.key == PLANNER_KEY:
                planner = entry
            elif entry.key == SETTLED_ERA_KEY:
                self._guard(entry, self._apply_settled_era)
            elif entry.key.startswith(QUARANTINE_PREFIX):
                self._guard(entry, self.apply_quarantine)
        self._board.directory.replace_all(now, servers)
        self._listed_routers = routers
        is_settled = self._board.freshness.is_settled(freshness.boot_clock())
        kept = {} if is_settled else self._board.router_by_name
        self._board.router_by_name = kept | routers
        self.planner = planner
        self.view_age.record_listing(snapshot.revision, sent_at)
        self.revision = snapshot.revision
        self._log.write(
            "store listed",
            revision=snapshot.revision,
            servers=len(servers),
            routers=len(routers),
            planner=planner.value.decode("latin-1") if planner else None,
        )

    def _begin_era(self, now: float, revision: ids.Revision) -> None:
        """Records a later era, in which the store has an older copy's state.

        Args:
            now: loop time in seconds.
            revision: newest revision of the listing or copy that shows it.
        """
        era = eras.era_of(revision)
        self._board.freshness.record_era(freshness.boot_clock(), era)
        known = self._listed_era
        if known is not None and era <= known:
            return
        self._listed_era = era
        if known is None:
            return
        self._log.write("store restored", era=era, revision=revision)
        self._board.directory.begin_era(revision)
        self.on_restore(now)

    def _apply_settled_era(self, entry: kv.KeyValue) -> None:
        self.settled_era = entry
        if entry.value.isdigit():
            self._board.freshness.settle(ids.Era(int(entry.value)))

    def expire_routers(self) -> None:
        """Drops routers that have not registered again after a restore."""
        if len(self._board.router_by_name) != len(
            self._listed_routers
        ) and self._board.freshness.is_settled(freshness.boot_clock()):
            self._board.router_by_name = dict(self._listed_routers)

    def apply_servers(
        self, now: float, entries: list[kv.KeyValue], read_at: float
    ) -> None:
        """Applies a listing of backend servers received from a peer.

        Args:
            now: loop time in seconds.
            entries: raw entries.
            read_at: time at which the peer's view was up to date, on the clock
                of `view_age`.
        """
        self.view_age.record_copy(read_at)
        if entries:
            self._begin_era(now, max(e.mod_revision for e in entries))
        servers = [s for e in entries if (s := self._decode_server(now, e))]
        self._board.directory.replace_all(now, servers)

    def apply_batch(self, batch: list[kv.WatchEvent]) -> list[kv.WatchEvent]:
        """Applies changes from a watch; returns those that are new."""
        after = self.revision
        new_events = [e for e in batch if e.entry.mod_revision > after]
        # The newest configuration first: those before it aren't decoded then.
        for event in reversed(new_events):
            if event.entry.key == self._schema.catalog_key:
                self._apply_event(event)
        for event in new_events:
            if event.entry.key != self._schema.catalog_key:
                self._apply_event(event)
            self.revision = max(self.revision, event.entry.mod_revision)
        return new_events

    def apply_changes(
        self, after: ids.Revision, changes: list[kv.WatchEvent]
    ) -> bool:
        """Applies changes relayed by the planner.

        Args:
            after: revision of the last change before them.
            changes: changes in order; the configuration has no value.

        Returns:
            False if the local view lacks earlier changes; this router's own
            watch then catches up.
        """
        if self.revision == UNLISTED or self.revision < after:
            return False
        known = self.revision
        for event in changes:
            revision = event.entry.mod_revision
            if revision <= known:
                continue
            if event.entry.key == self._schema.catalog_key:
                self.catalog.announce(revision)
            else:
                self._apply_event(event)
            self.revision = max(self.revision, revision)
        return True

    def _guard(
        self, entry: kv.KeyValue, apply: Callable[[kv.KeyValue], None]
    ) -> None:
        """Applies one entry, so that a failure costs this entry alone.

        The entry would come again with each listing, and end each of them.
        """
        try:
            apply(entry)
        except Exception as error:
            self._log.write(
                "entry not applied",
                key=entry.key[: entry_decoder.MAX_LOGGED_KEY_LENGTH],
                revision=entry.mod_revision,
                detail=decoding.describe(error),
            )

    def _apply_event(self, event: kv.WatchEvent) -> None:
        self._guard(event.entry, lambda entry: self._apply_change(event))

    def _apply_change(self, event: kv.WatchEvent) -> None:
        entry = event.entry
        removed = event.kind is kv.WatchKind.DELETE
        if entry.key == self._schema.catalog_key:
            if not removed:
                self.catalog.apply(entry)
        elif entry.key.startswith(self._schema.server_prefix):
            self._apply_server(entry, removed)
        elif entry.key.startswith(ROUTER_PREFIX):
            name = entry.key.removeprefix(ROUTER_PREFIX)
            address = None if removed else self._decoder.decode_router(entry)
            self._apply_router(name, address)
        elif entry.key == PLANNER_KEY:
            self.planner = None if removed else entry
        elif entry.key == SETTLED_ERA_KEY:
            self._apply_settled_era(entry)
        elif entry.key.startswith(QUARANTINE_PREFIX):
            if removed:
                self.quarantine_by_key.pop(entry.key, None)
            else:
                self.apply_quarantine(entry)

    def _apply_router(self, name: str, address: str | None) -> None:
        """Applies a router's address; None if it has none."""
        for known in (self._listed_routers, self._board.router_by_name):
            known.pop(name, None)
            if address is not None:
                known[name] = address

    def apply_quarantine(self, entry: kv.KeyValue) -> None:
        """Applies the stored entry of a quarantine."""
        known = self.quarantine_by_key.get(entry.key)
        if known is not None and known.mod_revision >= entry.mod_revision:
            return
        self.quarantine_by_key[entry.key] = entry
        found = poison_rows.decode_entry(entry.value)
        if found is None:
            if self._skipped_quarantine != entry:
                self._skipped_quarantine = entry
                self._log.write(
                    "entry skipped", key=entry.key, detail="malformed"
                )
            return
        self._board.guard.merge_entry(self._now(), found, "store")

    def _apply_server(self, entry: kv.KeyValue, removed: bool) -> None:
        now = self._now()
        server_id = entry.key.removeprefix(self._schema.server_prefix)
        if removed:
            self.entry_by_key.pop(entry.key, None)
            kept_for = max(0.0, self._board.directory.lapse_window_end - now)
            self._log.write(
                "server removed",
                server=server_id,
                lapsed=kept_for > 0,
                kept_for=round(kept_for, 3),
                failed_call=self.describe_outage(now) if kept_for else None,
                revision=entry.mod_revision,
                view_age=round(self.view_age.age(freshness.boot_clock()), 3),
            )
            self._board.directory.remove(now, server_id)
            return
        server = self._decode_server(now, entry)
        if server is None or not self._board.directory.put(now, server):
            return
        self._log.write(
            "server",
            server=server_id,
            address=server.address,
            state=server.state.value,
            layers=f"{server.layers.start}-{server.layers.end}",
            revision=entry.mod_revision,
        )

    def _decode_server(
        self, now: float, entry: kv.KeyValue
    ) -> directory.Server | None:
        """Returns the server of an entry; an unreadable one names none.

        A server whose entry has become unreadable may have left, so it gets no
        new requests until its next readable version.
        """
        server = self._decoder.decode_server(entry)
        if server is not None:
            self.entry_by_key[entry.key] = entry
            return server
        stored = self.entry_by_key.get(entry.key)
        if stored is not None and stored.mod_revision <= entry.mod_revision:
            del self.entry_by_key[entry.key]
        server_id = entry.key.removeprefix(self._schema.server_prefix)
        if self._board.directory.discard(now, server_id, entry.mod_revision):
            self._log.write(
                "server unreadable",
                server=server_id,
                revision=entry.mod_revision,
            )
        return None

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
