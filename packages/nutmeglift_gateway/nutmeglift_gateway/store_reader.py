"""Keeps the configuration and the directory in sync with the store."""

import asyncio
from collections.abc import Callable
import contextlib
import random

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import retry
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import entry_decoder
from nutmeglift_gateway import freshness
from nutmeglift_gateway import ports
from nutmeglift_gateway import relay
from nutmeglift_gateway import store_outage

CONFIRM_INTERVAL_SECONDS = 0.9
"""Half of the operators' bound for a change to take effect on all routers."""
CONFIRM_JITTER_SECONDS = 0.3
"""Spreads the routers' confirmations; the first one is passed to the peers."""
POLL_INTERVAL_SECONDS = 0.1
"""Interval at which the age of the confirmation is checked."""
COALESCE_DELAY_SECONDS = 0.15
"""Delay between watch calls, so that one call returns several successive
changes; a tenth of the operators' bound for a change to take effect."""
MAX_LIVE_VIEW_AGE_SECONDS = 3.0
"""A router with an older view doesn't run for election."""
OWN_PREFIX = "nutmeglift/"
ROUTER_PREFIX = OWN_PREFIX + "routers/"
PLANNER_KEY = OWN_PREFIX + "planner"
ALL_KEYS_PREFIX = ""
UNLISTED = ids.Revision(-1)
"""The local view has no revision, so the whole store has to be listed."""


class StoreReader:
    """Watches the store, and confirms the configuration.

    Attributes:
        revision: revision of the last change in the local view, or UNLISTED.
        relay: tracks whether the planner's relayed changes replace this
            router's own watch.
        on_changes: called with the changes that this router's own watch
            returned, preceded by the revision before them.
        outage: tracks whether the store answers this router.
        live_at: loop time at which the local view was last up to date.
        entry_by_key: raw entries by key.
        planner: the planner's entry, if there is one.
    """

    def __init__(
        self,
        store: kv.BaseKv,
        schema: ports.BaseSchema,
        board: boards.Board,
        log: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._schema = schema
        self._decoder = entry_decoder.EntryDecoder(schema, log)
        self._board = board
        self._log = log
        self._rng = rng
        self.outage = store_outage.StoreOutage(board, log)
        self._watch_sent_at = float("-inf")
        self._announced_catalog_revision = ids.Revision(0)
        self._catalog_requested_at = float("-inf")
        self.revision = UNLISTED
        self.relay = relay.Relay()
        self.on_changes: Callable[[ids.Revision, list[kv.WatchEvent]], None] = (
            lambda after, events: None
        )
        self.live_at = float("-inf")
        self.entry_by_key: dict[str, kv.KeyValue] = {}
        self.planner: kv.KeyValue | None = None

    async def watch(self) -> None:
        """Applies all changes of the store until cancelled."""
        backoff = retry.Backoff(self._rng)
        while True:
            try:
                await self._list_and_watch(backoff)
            except errors.KvCompactedError:
                self._log.write("store history dropped")
                self.revision = UNLISTED
            except errors.PlatformError as error:
                self.outage.record_failure(
                    self._now(), self._watch_sent_at, str(error)
                )
                await asyncio.sleep(backoff.next_seconds())

    async def confirm(self) -> None:
        """Confirms the configuration periodically until cancelled."""
        backoff = retry.Backoff(self._rng)
        while True:
            limit = CONFIRM_INTERVAL_SECONDS + self._rng.uniform(
                0, CONFIRM_JITTER_SECONDS
            )
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            age = self._board.freshness.age(freshness.boot_clock())
            if self._board.catalog is None:
                continue
            if age < limit and not self.needs_catalog(self._now()):
                continue
            sent_at = self._catalog_requested_at = self._now()
            try:
                await self._confirm_once()
                self.outage.record_answer(self._now())
                backoff.reset()
            except errors.PlatformError as error:
                self.outage.record_failure(self._now(), sent_at, str(error))
                await asyncio.sleep(backoff.next_seconds())

    def is_live(self, now: float) -> bool:
        """Returns whether the store responds and the local view is recent."""
        return not self.is_down and self.age(now) < MAX_LIVE_VIEW_AGE_SECONDS

    @property
    def is_down(self) -> bool:
        """Whether the store does not answer this router."""
        return self.outage.is_down

    def age(self, now: float) -> float:
        """Returns the age of the local view of the directory, in seconds."""
        return now - self.live_at

    def apply_servers(
        self, now: float, entries: list[kv.KeyValue], read_at: float
    ) -> None:
        """Applies a listing of backend servers received from a peer.

        Args:
            now: loop time in seconds.
            entries: raw entries.
            read_at: loop time at which the peer's view was up to date.
        """
        self.live_at = max(self.live_at, read_at)
        servers = [s for e in entries if (s := self._decoder.decode_server(e))]
        for entry in entries:
            self.entry_by_key[entry.key] = entry
        self._board.directory.replace_all(now, servers)

    def apply_catalog(self, entry: kv.KeyValue) -> None:
        """Activates a configuration from the store or a peer if it is newer."""
        if entry.mod_revision <= self._board.catalog_revision:
            return
        found = self._decoder.decode_catalog(entry)
        if found is None:
            return
        if self._board.set_catalog(entry.mod_revision, found):
            self.entry_by_key[entry.key] = entry
            self._log.write(
                "configuration in force",
                generation=found.generation,
                revision=entry.mod_revision,
                routes=len(found.routes),
            )

    @property
    def catalog_key(self) -> str:
        """Store key of the configuration."""
        return self._schema.catalog_key

    def server_entries(self) -> list[kv.KeyValue]:
        """Returns the raw entries of all listed backend servers."""
        prefix = self._schema.server_prefix
        return [
            entry
            for key, entry in self.entry_by_key.items()
            if key.startswith(prefix)
        ]

    def catalog_entry(self) -> kv.KeyValue | None:
        """Returns the raw entry of the configuration, if known."""
        return self.entry_by_key.get(self._schema.catalog_key)

    async def _list_and_watch(self, backoff: retry.Backoff) -> None:
        self._watch_sent_at = self._now()
        if self.revision == UNLISTED:
            await self._list()
            self._record_live_view()
            backoff.reset()
        while True:
            await self._wait_until_needed()
            self._watch_sent_at = self._now()
            changes = self._store.watch(
                ALL_KEYS_PREFIX,
                prefix=True,
                start=ids.Revision(self.revision + 1),
            )
            async with contextlib.aclosing(changes):  # type: ignore[type-var]
                async for batch in changes:
                    self._record_live_view()
                    backoff.reset()
                    self._apply_batch(batch)
                    if self.relay.covers(self._now()):
                        break
                    if batch:
                        await asyncio.sleep(COALESCE_DELAY_SECONDS)
                    self._watch_sent_at = self._now()

    async def _list(self) -> None:
        sent_at = freshness.boot_clock()
        snapshot = await self._store.snapshot(ALL_KEYS_PREFIX)
        self._apply_snapshot(snapshot)
        self.revision = snapshot.revision
        if self._board.catalog is not None:
            self._board.freshness.confirm(sent_at)

    async def _wait_until_needed(self) -> None:
        while self.relay.covers(self._now()):  # noqa: ASYNC110 - expires.
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def _apply_batch(self, batch: list[kv.WatchEvent]) -> None:
        """Applies the changes after the local view, and forwards them."""
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
        if new_events:
            self.on_changes(after, new_events)

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
                self._announced_catalog_revision = revision
            else:
                self._apply_event(event)
            self.revision = max(self.revision, revision)
        return True

    def needs_catalog(self, now: float) -> bool:
        """Returns whether to read an announced configuration now.

        Requests for it are at least COALESCE_DELAY_SECONDS apart.
        """
        return (
            self._announced_catalog_revision > self._board.catalog_revision
            and now - self._catalog_requested_at >= COALESCE_DELAY_SECONDS
        )

    async def _confirm_once(self) -> None:
        sent_at = freshness.boot_clock()
        key = self._schema.catalog_key
        revision = self._board.catalog_revision
        result = await self._store.txn(
            [kv.Compare(key, revision)], [], [kv.Get(key)]
        )
        if not result.succeeded:
            found = result.found[0] if result.found else []
            if not found:
                self._log.write("configuration missing in the store")
                return
            self.apply_catalog(found[0])
        if self._board.catalog_revision >= revision:
            self._board.freshness.confirm(sent_at)

    def _apply_snapshot(self, snapshot: kv.Snapshot) -> None:
        servers = []
        routers = {}
        planner = None
        self.entry_by_key = {
            key: entry
            for key, entry in self.entry_by_key.items()
            if key == self._schema.catalog_key
        }
        for entry in snapshot.entries:
            if entry.key == self._schema.catalog_key:
                self.apply_catalog(entry)
            elif entry.key.startswith(self._schema.server_prefix):
                self.entry_by_key[entry.key] = entry
                server = self._decoder.decode_server(entry)
                if server is not None:
                    servers.append(server)
            elif entry.key.startswith(ROUTER_PREFIX):
                name = entry.key.removeprefix(ROUTER_PREFIX)
                routers[name] = entry.value.decode("latin-1")
            elif entry.key == PLANNER_KEY:
                planner = entry
        now = self._now()
        self._board.directory.replace_all(
            now, servers, kept_until=self.outage.lapse_window_end(now)
        )
        self._board.router_by_name = routers
        self.planner = planner
        self._log.write(
            "store listed",
            revision=snapshot.revision,
            servers=len(servers),
            routers=len(routers),
            planner=planner.value.decode("latin-1") if planner else None,
        )

    def _apply_event(self, event: kv.WatchEvent) -> None:
        entry = event.entry
        removed = event.kind is kv.WatchKind.DELETE
        if entry.key == self._schema.catalog_key:
            if not removed:
                self.apply_catalog(entry)
        elif entry.key.startswith(self._schema.server_prefix):
            self._apply_server(entry, removed)
        elif entry.key.startswith(ROUTER_PREFIX):
            name = entry.key.removeprefix(ROUTER_PREFIX)
            routers = dict(self._board.router_by_name)
            if removed:
                routers.pop(name, None)
            else:
                routers[name] = entry.value.decode("latin-1")
            self._board.router_by_name = routers
        elif entry.key == PLANNER_KEY:
            self.planner = None if removed else entry

    def _apply_server(self, entry: kv.KeyValue, removed: bool) -> None:
        now = self._now()
        server_id = entry.key.removeprefix(self._schema.server_prefix)
        if removed:
            self.entry_by_key.pop(entry.key, None)
            kept_until = self.outage.lapse_window_end(now)
            self._log.write(
                "server removed",
                server=server_id,
                lapsed=kept_until > now,
                kept_for=round(max(0.0, kept_until - now), 3),
                revision=entry.mod_revision,
                view_age=round(self.age(now), 3),
            )
            self._board.directory.remove(now, server_id, kept_until=kept_until)
            return
        self.entry_by_key[entry.key] = entry
        server = self._decoder.decode_server(entry)
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

    def _record_live_view(self) -> None:
        self.live_at = self._now()
        self.outage.record_answer(self._now())

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
