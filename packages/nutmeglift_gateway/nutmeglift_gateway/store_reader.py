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
from nutmeglift_gateway import freshness
from nutmeglift_gateway import ports
from nutmeglift_gateway import relay
from nutmeglift_gateway import store_outage
from nutmeglift_gateway import store_view

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
        self._board = board
        self._log = log
        self._rng = rng
        self.outage = store_outage.StoreOutage(board, log)
        self._watch_sent_at = float("-inf")
        self._catalog_requested_at = float("-inf")
        self.view = store_view.StoreView(schema, board, self.outage, log)
        self.relay = relay.Relay()
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
        return (
            not self.is_down and self.view.age(now) < MAX_LIVE_VIEW_AGE_SECONDS
        )

    @property
    def is_down(self) -> bool:
        """Whether the store does not answer this router."""
        return self.outage.is_down

    async def _list_and_watch(self, backoff: retry.Backoff) -> None:
        self._watch_sent_at = self._now()
        if self.view.revision == store_view.UNLISTED:
            await self._list()
            self._record_live_view()
            backoff.reset()
        while True:
            await self._wait_until_needed()
            self._watch_sent_at = self._now()
            changes = self._store.watch(
                ALL_KEYS_PREFIX,
                prefix=True,
                start=ids.Revision(self.view.revision + 1),
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
        self.view.apply_snapshot(snapshot)
        if self._board.catalog is not None:
            self._board.freshness.confirm(sent_at)

    async def _wait_until_needed(self) -> None:
        while self.relay.covers(self._now()):  # noqa: ASYNC110 - expires.
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

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
            self.view.lacks_catalog
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
            self.view.apply_catalog(found[0])
        if self._board.catalog_revision >= revision:
            self._board.freshness.confirm(sent_at)

    def _record_live_view(self) -> None:
        self.view.live_at = self._now()
        self.outage.record_answer(self._now())

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
