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
from nutmeglift_gateway import freshness
from nutmeglift_gateway import ports
from nutmeglift_gateway import relay
from nutmeglift_gateway import servers_fetch
from nutmeglift_gateway import settled_era
from nutmeglift_gateway import store_outage
from nutmeglift_gateway import store_view

PLANNER_CONFIRM_INTERVAL_SECONDS = 0.7
"""The planner confirms before the others, which add the interval of reports to
the age of what it tells them."""
CONFIRM_INTERVAL_SECONDS = 1.15
"""With the jitter three quarters of the operators' bound for a change to take
effect on all routers."""
CONFIRM_JITTER_SECONDS = 0.3
"""Spreads the confirmations of routers whose planner gives none. Each is passed
to the peers at once."""
MAX_CONFIRM_BACKOFF_SECONDS = 0.3
"""Bounds how long after the last failed call a store may have returned."""
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
LATE_CATALOG_SECONDS = 1.0
"""Half of the operators' bound for a change to take effect; a configuration
that is known for longer and not in force is logged."""
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
        relay: tracks whether the planner's relayed changes replace this
            router's own watch.
        on_changes: called with the changes that this router's own watch
            returned, preceded by the revision before them.
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
        self._late_catalog_revision = freshness.NONE
        self._watch_limit: asyncio.Timeout | None = None
        self.view = store_view.StoreView(schema, board, log)
        self.view.describe_outage = self.outage.describe
        self.view.on_restore = self.outage.record_restore
        self.relay = relay.Relay()
        self._settled_era = settled_era.SettledEra(store, board)
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
                await asyncio.sleep(backoff.next_seconds())

    async def confirm(self) -> None:
        """Confirms the configuration periodically until cancelled."""
        backoff = retry.Backoff(self._rng, largest=MAX_CONFIRM_BACKOFF_SECONDS)
        limit = self._choose_confirm_limit()
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            self.check_view()
            self.outage.keep_peers(
                self._now(), self._board.live_peers.domain_by_name(self._now())
            )
            self.view.expire_routers()
            self._log_late_catalog()
            if self._board.catalog is None:
                continue
            if not self._is_confirmation_due(limit):
                continue
            sent_at = self._catalog_requested_at = self._now()
            limit = self._choose_confirm_limit()
            try:
                await self._confirm_once()
                self.outage.record_answer(self._now())
                self._board.notify_listeners()
                backoff.reset()
                await self._record_settled_era()
            except errors.PlatformError as error:
                self.outage.record_failure(self._now(), sent_at, str(error))
                await asyncio.sleep(backoff.next_seconds())

    def _count_failure(self, detail: str) -> None:
        """Has the store listed if the watch fails again and again by itself."""
        self._watch_failures = 0 if self.is_down else self._watch_failures + 1
        if self._watch_failures < MAX_WATCH_FAILURES:
            return
        self._log.write("watch abandoned", detail=detail)
        self._watch_failures = 0
        self.view.revision = store_view.UNLISTED

    def log_malformed_rows(self, vm: str, problems: list[str]) -> None:
        """Logs rows of a peer's report that were left out."""
        self._log.write(
            "peer rows malformed",
            peer=vm,
            count=len(problems),
            detail=problems[0],
        )

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

    def _log_late_catalog(self) -> None:
        """Logs once if a newer configuration is not in force in time."""
        lag = self.view.catalog.lag
        behind_for = lag.behind_for(freshness.boot_clock())
        if (
            behind_for < LATE_CATALOG_SECONDS
            or lag.revision <= self._late_catalog_revision
        ):
            return
        self._late_catalog_revision = lag.revision
        self._log.write(
            "configuration late",
            revision=lag.revision,
            in_force=self._board.catalog_revision,
            unreadable=lag.unreadable,
            behind_for=round(behind_for, 3),
            store_down=self.is_down,
            confirmed_ago=round(
                self._board.freshness.age(freshness.boot_clock()), 3
            ),
        )

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

    def _choose_confirm_limit(self) -> float:
        """Returns the age at which this router confirms unless it plans."""
        return CONFIRM_INTERVAL_SECONDS + self._rng.uniform(
            0, CONFIRM_JITTER_SECONDS
        )

    def _is_confirmation_due(self, limit: float) -> bool:
        """Returns whether to ask the store for its revision.

        Args:
            limit: age in seconds at which that of the configuration is
                confirmed, and that of the view unless it is known to be behind.
        """
        if self._board.fence:
            limit = PLANNER_CONFIRM_INTERVAL_SECONDS
        age = self._board.freshness.age(freshness.boot_clock())
        if not self.view.view_age.is_behind:
            age = max(age, self._view_age())
        is_due = age >= limit and self._now() >= self._confirm_not_before
        return is_due or self.needs_catalog(self._now())

    async def _list_and_watch(self, backoff: retry.Backoff) -> None:
        if self.view.revision == store_view.UNLISTED:
            await self._list()
            backoff.reset()
        while True:
            await self._wait_until_needed()
            if self._must_list():
                self._log_missing_changes()
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
        self.outage.record_answer(self._now())
        return batch

    def _log_missing_changes(self) -> None:
        age = self.view.view_age
        now = freshness.boot_clock()
        self._log.write(
            "changes missing",
            revision=self.view.revision,
            behind_for=round(age.behind_for(now), 3),
            view_age=round(age.age(now), 3),
            relayed=self.relay.covers(self._now()),
        )

    async def _list(self) -> None:
        self._watch_sent_at = self._listed_at = self._now()
        sent_at = freshness.boot_clock()
        known = self._board.freshness.stored_revision
        snapshot = await self._store.snapshot(ALL_KEYS_PREFIX)
        self.outage.record_answer(self._now())
        self.view.apply_snapshot(snapshot, sent_at)
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
        while self._is_covered():  # noqa: ASYNC110 - ends with the time.
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def _is_covered(self) -> bool:
        return self.relay.covers(self._now()) and not self._must_list()

    def _apply_batch(self, batch: list[kv.WatchEvent]) -> None:
        """Applies changes from this router's own watch, and forwards them."""
        after = self.view.revision
        changes = self.view.apply_batch(batch)
        if changes:
            self.on_changes(after, changes)

    def needs_catalog(self, now: float) -> bool:
        """Returns whether to read an announced configuration now.

        Requests for it are at least COALESCE_DELAY_SECONDS apart.
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

    async def _record_settled_era(self) -> None:
        """Writes the settled era; a failure says nothing of other calls."""
        try:
            await self._settled_era.record(self.view.settled_era)
        except errors.PlatformError as error:
            self._log.write("era not recorded", detail=str(error))

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
