"""Elects the router that places layers, by an entry in the store."""

import asyncio
import random

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import registration
from nutmeglift_gateway import store_reader
from nutmeglift_gateway import store_view

JITTER_SECONDS = 0.15
"""Spreads the attempts of the routers whose turn it is to read the store, so
that one write usually decides."""
MIN_INTERVAL_SECONDS = 1.0
"""Shortest interval between two elections of this router."""
UNKNOWN_HOLDER_SECONDS = registration.LEASE_TTL_SECONDS
"""A planner's entry ends with its router's; one that names no router for this
long was written by another program, and is replaced."""


class Election:
    """Runs for the office of the planner.

    Attributes:
        fence: fencing number of this router's election; NOT_PLANNING before.
    """

    def __init__(
        self,
        store: kv.BaseKv,
        reader: store_reader.StoreReader,
        registered: registration.Registration,
        board: boards.Board,
        vm: str,
        log: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        self.fence = boards.NOT_PLANNING
        self._store = store
        self._reader = reader
        self._registered = registered
        self._board = board
        self._vm = vm
        self._log = log
        self._rng = rng
        self._unknown: kv.KeyValue | None = None
        self._unknown_since = 0.0
        self._not_before = float("-inf")
        self._resigned = boards.NOT_PLANNING

    @property
    def is_held(self) -> bool:
        """Whether this router is the planner."""
        holder = self._reader.view.planner
        return (
            holder is not None
            and holder.value.decode("latin-1") == self._vm
            and int(holder.mod_revision) == int(self.fence)
            and self.fence >= self._board.greatest_fence
            and not self._board.draining
        )

    def resign(self) -> None:
        """Stops planning, as another router has been elected."""
        if self.fence != boards.NOT_PLANNING:
            self._resigned, self.fence = self.fence, boards.NOT_PLANNING

    async def run_once(self, now: float) -> ids.FencingNumber | None:
        """Runs for election if there is no planner.

        Args:
            now: loop time in seconds.

        Returns:
            The fencing number if this router was elected.
        """
        if now < self._not_before or not self._may_run(now):
            return None
        await asyncio.sleep(
            self._reader.turn.delay + self._rng.uniform(0, JITTER_SECONDS)
        )
        if not self._may_run(now):
            return None
        key = store_view.PLANNER_KEY
        found = self._reader.view.planner
        expected = found.mod_revision if found else kv.NEVER_WRITTEN
        put = kv.Put(key, self._vm.encode(), self._registered.lease)
        self._not_before = now + MIN_INTERVAL_SECONDS
        try:
            result = await self._store.txn(
                [kv.Compare(key, expected)], [put], [kv.Get(key)]
            )
        except errors.PlatformError as error:
            # The outcome is unknown; the watch delivers it.
            self._log.write("election failed", detail=str(error))
            return None
        if not result.succeeded:
            return None
        self.fence = ids.FencingNumber(result.revision)
        self._log.write("planner elected", fence=self.fence)
        return self.fence

    def _may_run(self, now: float) -> bool:
        """Returns whether there is no planner and this router can be it."""
        return (
            not self._board.draining
            and self._is_vacant(now)
            and self._registered.lease != registration.NO_LEASE
            and self._reader.is_live
        )

    def take_office(self, fence: ids.FencingNumber) -> None:
        """Records this router as the planner before the watch does."""
        self._reader.view.planner = kv.KeyValue(
            store_view.PLANNER_KEY,
            self._vm.encode(),
            ids.Revision(fence),
            self._registered.lease,
        )

    def _is_vacant(self, now: float) -> bool:
        """Returns whether there is no planner, or none that is a router.

        An entry that names this router with another fencing number is that of
        an election whose response was lost, of the process before, or of a copy
        that the store came back from.
        """
        holder = self._reader.view.planner
        if holder is None:
            return True
        name = holder.value.decode("latin-1")
        if name == self._vm:
            own_fence = ids.FencingNumber(holder.mod_revision)
            return own_fence not in (self.fence, self._resigned)
        if name in self._board.router_by_name:
            self._unknown = None
            return False
        if self._unknown != holder:
            self._unknown = holder
            self._unknown_since = now
        return now - self._unknown_since >= UNKNOWN_HOLDER_SECONDS
