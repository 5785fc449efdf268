"""Election of the planner: acquires, renews and releases its lease."""

import asyncio
from collections.abc import Callable
import contextlib
import logging
import random

from nutmeglift import blackboard
from nutmeglift import cancellation
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import lease
from nutmeglift import pacing
from nutmeglift_router import blackboard_entries
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

_logger = logging.getLogger(__name__)


class LeaseController:
    """Tracks the holder of the planner's role; acquires it when it is free."""

    def __init__(
        self,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        *,
        board: blackboard.Blackboard,
        store: kv.BaseKv,
        clock: clocks.BaseClock,
        rng: random.Random,
        metrics: metric.BaseMetrics,
        count_routers: Callable[[], int],
        may_become_planner: Callable[[], bool],
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._board = board
        self._store = store
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._count_routers = count_routers
        self._may_become_planner = may_become_planner
        self._local_lease = lease.LocalLease()
        self._lease: ids.LeaseId | None = None
        self._highest_known_number = ids.FencingNumber(0)
        self._backoff = pacing.Backoff(rng)

    @property
    def fencing_number(self) -> ids.FencingNumber:
        """The highest fencing number known to this process."""
        return self._highest_known_number

    def held_fencing_number(self) -> ids.FencingNumber | None:
        """Returns this process's fencing number; None if it lacks the role."""
        return self._local_lease.number(self._clock.now())

    def record_fencing_number(self, number: ids.FencingNumber) -> None:
        """Records the highest fencing number that a peer reported."""
        self._highest_known_number = max(self._highest_known_number, number)

    async def run(self) -> None:
        """Watches and renews the role until cancelled; retries with backoff."""
        while True:
            try:
                await self._follow()
                self._backoff.reset()
            except (errors.NutmegError, TimeoutError):
                self._metrics.count("lease.failed")
                await self._clock.sleep(
                    self._backoff.next_seconds(self._count_routers())
                )

    async def release_role(self) -> None:
        """Revokes the lease, so that another router can acquire it at once."""
        held, self._lease = self._lease, None
        self._local_lease.end()
        if held is None:
            return
        with contextlib.suppress(errors.PlatformError):
            await self._store.revoke(held)

    async def _follow(self) -> None:
        role = await lease.read(self._store)
        self._record_role(role.holder, role.number)
        if self._is_own(role.holder) and self._lease is not None:
            await self._renew(self._lease, role.holder)
            return
        if role.holder is None and self._may_become_planner():
            await self._try_acquire(role)
            return
        await self._wait_until_free(role)

    def _is_own(self, holder: lease.Holder | None) -> bool:
        return holder is not None and holder.incarnation == self._incarnation

    async def _try_acquire(self, role: lease.RoleState) -> None:
        sent_at = self._clock.now()
        # An earlier lease of this process may have expired.
        granted = await self._store.grant(lease.TTL_SECONDS)
        self._lease = granted
        holder = await lease.acquire(
            self._store,
            role,
            granted,
            vm=self._vm,
            incarnation=self._incarnation,
            highest_known=self._highest_known_number,
        )
        if holder is None:
            # If only the response was lost, this process may hold the role:
            # the next read shows it.
            return
        self._local_lease.extend(
            holder.fencing_number, sent_at, lease.TTL_SECONDS
        )
        self._record_role(holder, holder.fencing_number)
        self._metrics.count("lease.taken")
        _logger.info(
            "planner's role taken",
            extra={"fencing_number": holder.fencing_number},
        )

    async def _renew(
        self, held: ids.LeaseId, holder: lease.Holder | None
    ) -> None:
        if holder is None:
            return
        number = holder.fencing_number
        while self._lease == held:
            sent_at = self._clock.now()
            ttl = await self._store.keep_alive(held)
            if ttl <= 0 or self._lease != held:
                self._record_loss()
                return
            self._local_lease.extend(number, sent_at, ttl)
            await self._clock.sleep(
                lease.TTL_SECONDS / lease.RENEWAL_COUNT_PER_TTL
            )
            if self._local_lease.number(self._clock.now()) is None:
                # The process was paused beyond the lease's TTL: another may
                # hold the role by now.
                return

    def _record_loss(self) -> None:
        self._lease = None
        self._local_lease.end()
        self._metrics.count("lease.lost")
        _logger.info("planner's role lost")

    async def _wait_until_free(self, role: lease.RoleState) -> None:
        """Watches the role until it may be free.

        Also returns after a polling interval, because a watch can stop
        delivering events without an error.
        """
        watching = asyncio.ensure_future(self._watch(role))
        polling = asyncio.ensure_future(
            self._clock.sleep(
                pacing.poll_seconds(self._count_routers(), self._rng)
            )
        )
        tasks = [watching, polling]
        try:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            await cancellation.cancel_and_wait(tasks)

    async def _watch(self, role: lease.RoleState) -> None:
        start = ids.Revision(role.read_revision + 1)
        async for batch in self._store.watch(lease.ROLE_KEY, start=start):
            for event in batch:
                if event.kind is kv.WatchKind.DELETE:
                    await self._clock.sleep(
                        pacing.jitter_seconds(self._count_routers(), self._rng)
                    )
                    return
                holder = lease.decode_holder(event.entry.value)
                self._record_role(holder, holder.fencing_number)

    def _record_role(
        self, holder: lease.Holder | None, number: ids.FencingNumber
    ) -> None:
        self.record_fencing_number(number)
        leader = None
        if holder is not None:
            leader = blackboard_entries.Leader(holder.vm, holder.fencing_number)
        self._board.write(
            blackboard_entries.LEADER, leader, blackboard.Controller.LEASE
        )
