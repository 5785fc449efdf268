"""Keeps the configuration and the directory in sync with the store."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import random

from nutmeglift import eras
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import retry
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import catalog_fetch
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import delay_log
from nutmeglift_gateway import freshness
from nutmeglift_gateway import ports
from nutmeglift_gateway import relay
from nutmeglift_gateway import relayed_changes
from nutmeglift_gateway import servers_fetch
from nutmeglift_gateway import settled_era
from nutmeglift_gateway import store_outage
from nutmeglift_gateway import store_view
from nutmeglift_gateway.load import store_readers

PLANNER_CONFIRM_INTERVAL_SECONDS = 0.7
"""The planner confirms before the others, which add the interval of reports to
the age of what it reports."""
CONFIRM_INTERVAL_SECONDS = 1.15
"""With the jitter three quarters of the operators' bound for a change to take
effect on all routers."""
CONFIRM_JITTER_SECONDS = 0.3
"""Spreads the confirmations of routers whose planner and readers give none.
Each is passed to the peers immediately."""
UNCONFIRMED_DELAY_SECONDS = 0.5
"""Delay after an answer that confirms nothing, as the operators have not yet
written again what the store has lost."""
POLL_INTERVAL_SECONDS = 0.1
"""Interval at which the age of the confirmation is checked."""
COALESCE_DELAY_SECONDS = 0.15
"""Delay between watch calls, so that one call returns several successive
changes; a tenth of the operators' bound for a change to take effect."""
MAX_LIVE_VIEW_AGE_SECONDS = 3.0
"""A router with an older view doesn't run for election."""
MAX_BEHIND_SECONDS = 0.3
"""Changes that the store is known to have usually arrive within this time: the
planner's delay between watch calls, and two network hops."""
RELIST_INTERVAL_SECONDS = 1.0
"""Shortest interval of listings because of missing changes: half of the time in
which a draining runner may still receive requests."""
MAX_WATCH_FAILURES = 4
"""Failures of the watch, while other calls are answered, after which the store
is listed."""
ALL_KEYS_PREFIX = ""


class StoreReader:
    """Watches the store, and confirms the configuration.

    Attributes:
        view: the local view.
        delay_log: logs what the view lacks.
        readers: decides whose turn it is to read the store.
        relay: tracks whether the planner's relayed changes replace this
            router's own watch.
        on_changes: called with the changes to relay that this router's own
            watch returned, preceded by the revision before them.
        recent_changes: the changes that were relayed last.
        outage: tracks whether the store answers this router.
        catalog_fetch: decides from where to get a new configuration.
        servers_fetch: decides from which router to request the servers.
    """

    def __init__(
        self,
        store: kv.BaseKv,
        schema: ports.BaseSchema,
        board: boards.Board,
        log: decision_log.DecisionLog,
        rng: random.Random,
        vm: str,
    ) -> None:
        self._store = store
        self._schema = schema
        self._board = board
        self._log = log
        self._rng = rng
        self.outage = store_outage.StoreOutage(board, log)
        self._watch_sent_at = float("-inf")
        self._catalog_requested_at = float("-inf")
        self._listed_at = float("-inf")
        self._confirm_not_before = float("-inf")
        self._watch_failures = 0
        self._watch_limit: asyncio.Timeout | None = None
        self._is_watching = False
        self.readers = store_readers.StoreReaders(board, vm, self.outage)
        self._watch_retries = store_readers.Retries(rng)
        self._confirm_retries = store_readers.Retries(rng)
        self.view = store_view.StoreView(schema, board, log)
        self.view.describe_outage = self.outage.describe
        self.view.on_restore = self.outage.record_restore
        self.recent_changes = relayed_changes.RecentChanges(schema.catalog_key)
        self.delay_log = delay_log.DelayLog(self.view, board, log)
        self.relay = relay.Relay()
        self._settled_era = settled_era.SettledEra(store, board, log)
        self.catalog_fetch = catalog_fetch.CatalogFetch(board, vm)
        self.servers_fetch = servers_fetch.ServersFetch(board.home)
        self.on_changes: Callable[[ids.Revision, list[kv.WatchEvent]], None] = (
            lambda after, events: None
        )

    async def watch(self) -> None:
        """Applies all changes of the store until cancelled."""
        backoff = retry.Backoff(self._rng)
        while True:
            try:
                await self._list_and_watch(backoff)
            except errors.KvCompactedError:
                self._log.write("store history dropped")
                self.view.revision = store_view.UNLISTED
            except errors.PlatformError as error:
                self.outage.record_failure(
                    self._now(), self._watch_sent_at, str(error)
                )
                self._count_failure(str(error))
                await self._wait_to_retry(backoff.next_seconds())
            finally:
                self._is_watching = False

    async def confirm(self) -> None:
        """Confirms the configuration periodically until cancelled."""
        jitter_ratio = self._rng.random()
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            self.check_view()
            self.outage.keep_peers(
                self._now(), self._board.live_peers.domain_by_name(self._now())
            )
            self.view.expire_routers()
            self.delay_log.write_late_catalog(store_down=self.is_down)
            if self._board.catalog is None or not self._is_confirmation_due(
                jitter_ratio
            ):
                continue
            sent_at = self._catalog_requested_at = self._now()
            jitter_ratio = self._rng.random()
            try:
                await self._confirm_once()
                self.outage.record_answer(self._now())
                self._confirm_retries.record_answer()
                self._board.notify_listeners()
                await self._settled_era.record(self.view.settled_era)
            except errors.PlatformError as error:
                self.outage.record_failure(self._now(), sent_at, str(error))
                self._confirm_retries.record_failure(self._now())

    async def _wait_to_retry(self, seconds: float) -> None:
        """Waits that long, and for a turn, or until the store serves again."""
        self._watch_retries.record_failure(self._now())
        ends_at = self._now() + seconds
        was_down = self.is_down
        while not (was_down and not self.is_down) and (
            self._now() < ends_at
            or not self.readers.may_call(self._now(), self._watch_retries)
        ):
            await asyncio.sleep(min(seconds, POLL_INTERVAL_SECONDS))
            was_down = was_down or self.is_down

    @property
    def turn(self) -> store_readers.Turn:
        """This router's turn among those that read the store."""
        return self.readers.turn(self._now())

    @property
    def relays_changes(self) -> bool:
        """Whether this router passes on the changes that its watch returns.

        A planner does so to all routers, another one to those of its failure
        domain.
        """
        return bool(self._board.fence) or (
            self._is_watching and self.turn.is_reader
        )

    def _count_failure(self, detail: str) -> None:
        """Has the store listed if the watch fails again and again by itself."""
        self._watch_failures = 0 if self.is_down else self._watch_failures + 1
        if self._watch_failures < MAX_WATCH_FAILURES:
            return
        self._log.write("watch abandoned", detail=detail)
        self._watch_failures = 0
        self.view.revision = store_view.UNLISTED

    @property
    def is_live(self) -> bool:
        """Whether the store responds and the local view is recent."""
        return not self.is_down and self._view_age() < MAX_LIVE_VIEW_AGE_SECONDS

    @property
    def is_down(self) -> bool:
        """Whether the store does not answer this router."""
        return self.outage.is_down

    def check_view(self) -> None:
        """Ends this router's own watch if changes remain missing."""
        limit = self._watch_limit
        if limit is not None and not limit.expired() and self._must_list():
            limit.reschedule(self._now())

    def _must_list(self) -> bool:
        """Returns whether changes are missing that will not arrive soon."""
        if eras.era_of(self.view.revision) < self._board.freshness.era:
            return True
        age = self.view.view_age
        return (
            age.behind_for(freshness.boot_clock()) >= MAX_BEHIND_SECONDS
            and self._now() - self._listed_at >= RELIST_INTERVAL_SECONDS
        )

    def _view_age(self) -> float:
        return self.view.view_age.age(freshness.boot_clock())

    def _is_confirmation_due(self, jitter_ratio: float) -> bool:
        """Returns whether to ask the store for its revision.

        The age of the configuration's confirmation counts, and that of the view
        unless it is known to be behind.

        Args:
            jitter_ratio: random part of the jitter, from 0 to 1.
        """
        limit = PLANNER_CONFIRM_INTERVAL_SECONDS
        if not self._board.fence:
            limit = CONFIRM_INTERVAL_SECONDS + self.turn.jitter(
                CONFIRM_JITTER_SECONDS, jitter_ratio
            )
        age = self._board.freshness.age(freshness.boot_clock())
        if not self.view.view_age.is_behind:
            age = max(age, self._view_age())
        now = self._now()
        is_due = age >= limit and now >= self._confirm_not_before
        return (is_due or self.needs_catalog(now)) and self.readers.may_call(
            now, self._confirm_retries
        )

    async def _list_and_watch(self, backoff: retry.Backoff) -> None:
        if self.view.revision == store_view.UNLISTED:
            await self._list()
            backoff.reset()
        while True:
            await self._wait_until_needed()
            if self._must_list():
                self.delay_log.write_missing_changes(
                    relayed=self.relay.covers(self._now())
                )
                await self._list()
            changes = self._store.watch(
                ALL_KEYS_PREFIX,
                prefix=True,
                start=ids.Revision(self.view.revision + 1),
            )
            async with contextlib.aclosing(changes):  # type: ignore[type-var]
                while (batch := await self._next_batch(changes)) is not None:
                    backoff.reset()
                    self._apply_batch(batch)
                    if self.relay.covers(self._now()):
                        break
                    if batch:
                        await asyncio.sleep(COALESCE_DELAY_SECONDS)

    async def _next_batch(
        self, changes: AsyncIterator[list[kv.WatchEvent]]
    ) -> list[kv.WatchEvent] | None:
        """Returns the next changes, or None if check_view() ended the watch."""
        self._watch_sent_at = self._now()
        try:
            async with asyncio.timeout(None) as self._watch_limit:
                batch = await anext(changes, None)
        except TimeoutError:
            return None
        finally:
            self._watch_limit = None
        self._watch_failures = 0
        self._watch_retries.record_answer()
        self.outage.record_answer(self._now())
        return batch

    async def _list(self) -> None:
        self._watch_sent_at = self._listed_at = self._now()
        sent_at = freshness.boot_clock()
        known = self._board.freshness.stored_revision
        snapshot = await self._store.snapshot(ALL_KEYS_PREFIX)
        self.outage.record_answer(self._now())
        self.view.apply_snapshot(snapshot, sent_at)
        if self._board.routers >= store_readers.MIN_SHARING_COUNT:
            self.relay.record_listing(self._listed_at)
        for entry in snapshot.entries:
            if entry.key == self._schema.catalog_key:
                self._board.confirm(
                    freshness.StoreConfirmation(
                        sent_at,
                        entry.mod_revision,
                        freshness.Source.LISTING,
                        known,
                    )
                )

    async def _wait_until_needed(self) -> None:
        self._is_watching = False
        while self._is_covered():  # noqa: ASYNC110 - ends with the time.
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        self._is_watching = True

    def _is_covered(self) -> bool:
        """Returns whether to leave the watch to other routers now."""
        if not self.readers.may_call(self._now(), self._watch_retries):
            return True
        turn = self.turn
        behind_for = self.view.view_age.behind_for(freshness.boot_clock())
        if turn.is_reader and behind_for >= relayed_changes.DELIVERY_SECONDS:
            return False
        return (
            self.relay.covers(self._now(), turn.delay) and not self._must_list()
        )

    def _apply_batch(self, batch: list[kv.WatchEvent]) -> None:
        """Applies changes from this router's own watch, and forwards them."""
        after = self.view.revision
        changes = self.view.apply_batch(batch)
        if changes and self.relays_changes:
            self.recent_changes.record(self._now(), after, changes)
            self.on_changes(after, changes)

    def needs_catalog(self, now: float) -> bool:
        """Returns whether to read an announced configuration now.

        Successive requests for it differ by COALESCE_DELAY_SECONDS at least.
        """
        return (
            self.view.catalog.is_missing
            and now - self._catalog_requested_at >= COALESCE_DELAY_SECONDS
            and self.catalog_fetch.may_read_store(now)
        )

    async def _confirm_once(self) -> None:
        sent_at = freshness.boot_clock()
        key = self._schema.catalog_key
        # An unreadable version is not read again.
        known = revision = self._board.freshness.stored_revision
        result = await self._store.txn(
            [kv.Compare(key, revision)], [], [kv.Get(key)]
        )
        if result.succeeded:
            self._record_store_revision(result.revision, sent_at)
        else:
            found = result.found[0] if result.found else []
            if not found:
                self._log.write("configuration missing in the store")
                return
            revision = found[0].mod_revision
            self._record_era(revision)
            self.view.catalog.apply(found[0])
        if not self._board.confirm(
            freshness.StoreConfirmation(
                sent_at, revision, freshness.Source.TRANSACTION, known
            )
        ):
            self._confirm_not_before = self._now() + max(
                UNCONFIRMED_DELAY_SECONDS,
                self._board.freshness.settles_in(freshness.boot_clock()),
            )
        if self._view_age() >= CONFIRM_INTERVAL_SECONDS:
            # A conflict does not name the store's revision.
            await self._read_store_revision()

    def _record_era(self, revision: ids.Revision) -> None:
        """Has the store listed if it came back from an older copy."""
        self._board.freshness.record_era(
            freshness.boot_clock(), eras.era_of(revision)
        )
        self.check_view()

    async def _read_store_revision(self) -> None:
        sent_at = freshness.boot_clock()
        snapshot = await self._store.snapshot(store_view.PLANNER_KEY)
        self._record_store_revision(snapshot.revision, sent_at)

    def _record_store_revision(
        self, revision: ids.Revision, sent_at: float
    ) -> None:
        self.view.view_age.record_store_revision(
            freshness.boot_clock(), revision, sent_at
        )

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
