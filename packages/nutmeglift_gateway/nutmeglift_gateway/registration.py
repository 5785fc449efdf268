"""Registers this router in the store under a lease."""

import asyncio
import random

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import retry
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import store_outage
from nutmeglift_gateway import store_view
from nutmeglift_gateway.load import store_readers

LEASE_TTL_SECONDS = 3.0
"""Time after which a lost planner is replaced. Engines hold requests that wait
for a runner for two seconds."""
POLL_INTERVAL_SECONDS = 0.1
"""Interval at which it is checked whether the store serves a peer."""
NO_LEASE = ids.LeaseId(0)


class Registration:
    """Maintains this router's entry under a lease.

    Attributes:
        lease: the current lease, or NO_LEASE.
    """

    def __init__(
        self,
        store: kv.BaseKv,
        vm: str,
        address: str,
        outage: store_outage.StoreOutage,
        log: decision_log.DecisionLog,
        rng: random.Random,
        readers: store_readers.StoreReaders,
    ) -> None:
        """Initializes without a lease.

        Args:
            store: client of the key-value service.
            vm: this router's VM.
            address: its address for its peers.
            outage: tracks whether the store serves this router.
            log: log of decisions.
            rng: random number generator of the delays.
            readers: decides how often to call the store.
        """
        self.lease = NO_LEASE
        self._store = store
        self._key = store_view.ROUTER_PREFIX + vm
        self._address = address
        self._outage = outage
        self._log = log
        self._rng = rng
        self._readers = readers
        self._ended = False
        self._lapses_at = float("-inf")

    async def run(self) -> None:
        """Registers, and renews the lease, until cancelled."""
        backoff = retry.Backoff(self._rng)
        loop = asyncio.get_running_loop()
        while not self._ended:
            sent_at = loop.time()
            try:
                if self.lease == NO_LEASE:
                    await self._register()
                else:
                    await self._renew()
                self._outage.record_answer(loop.time())
                self._lapses_at = sent_at + LEASE_TTL_SECONDS
                backoff.reset()
            except errors.PlatformError as error:
                self._outage.record_failure(loop.time(), sent_at, str(error))
                self._log.write("registration failed", detail=str(error))
                failed_at = loop.time()
                await asyncio.sleep(backoff.next_seconds())
                while not self._readers.may_renew(  # noqa: ASYNC110 - depends on the peers.
                    loop.time(), failed_at, self._lapses_at
                ):
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)
                continue
            await asyncio.sleep(
                LEASE_TTL_SECONDS / self._readers.renewals_per_ttl(loop.time())
            )

    async def end(self) -> None:
        """Revokes the lease, so that other routers take over immediately."""
        self._ended = True
        lease, self.lease = self.lease, NO_LEASE
        if lease == NO_LEASE:
            return
        try:
            await self._store.revoke(lease)
        except errors.PlatformError as error:
            self._log.write("lease not ended", detail=str(error))

    async def _register(self) -> None:
        lease = await self._store.grant(LEASE_TTL_SECONDS)
        await self._store.txn(
            [], [kv.Put(self._key, self._address.encode(), lease)]
        )
        self.lease = lease
        self._log.write("registered", lease=lease)
        if self._ended:
            # It began to leave meanwhile.
            await self.end()

    async def _renew(self) -> None:
        if await self._store.keep_alive(self.lease) <= 0:
            if self._ended:
                return
            self._log.write("lease lapsed", lease=self.lease)
            self.lease = NO_LEASE
            await self._register()
