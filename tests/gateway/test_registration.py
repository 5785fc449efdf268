"""A router's lease when a renewal fails."""

import asyncio

from nutmeglift import errors
from nutmeglift import kv
from nutmeglift_gateway import registration
from nutmeglift_gateway import store_outage
from nutmeglift_gateway import store_view
from nutmeglift_gateway.load import store_readers
from tests.gateway import rig
from tests.gateway import virtual_time_case


class FailingKv(kv.MemoryKv):
    """A store one of whose renewals fails after some time."""

    def __init__(self, number, seconds):
        super().__init__()
        self.renewals = 0
        self._number = number
        self._seconds = seconds

    async def keep_alive(self, lease):
        self.renewals += 1
        if self.renewals == self._number:
            await asyncio.sleep(self._seconds)
            raise errors.KvAnswerLostError("the response was lost")
        return await super().keep_alive(lease)


class RegistrationTest(virtual_time_case.VirtualTimeTestCase):
    async def test_a_lease_outlasts_one_renewal_that_fails(self):
        for seconds in (0.0, 0.5, 1.0):
            for rank in range(4):
                with self.subTest(seconds=seconds, rank=rank):
                    log = rig.MemoryLog()
                    await self.play(FailingKv(3, seconds), rank, log)
                    self.assertNotIn("lease lapsed", log.events())
                    self.assertIn("registration failed", log.events())

    async def test_a_router_that_leaves_does_not_register_again(self):
        # The calls take 0.2 s each: two for the entry, then a renewal.
        for left_after in (0.1, 0.3, 0.5, 1.2, 1.35, 1.45, 1.5, 2.6):
            with self.subTest(left_after=left_after):
                store = kv.MemoryKv()
                store.delay = 0.2
                log = rig.MemoryLog()
                registered = self.make(store, "vm-0", rig.make_board(), log)
                work = asyncio.ensure_future(registered.run())
                await asyncio.sleep(left_after)
                await registered.end()
                await asyncio.sleep(1.0)
                work.cancel()
                key = store_view.ROUTER_PREFIX + "vm-0"
                self.assertIsNone(await store.get(key))

    def make(self, store, vm, board, log):
        outage = store_outage.StoreOutage(board, log)
        return registration.Registration(
            store,
            vm,
            "127.0.0.1:1",
            outage,
            log,
            rig.make_rng(),
            store_readers.StoreReaders(board, vm, outage),
        )

    async def play(self, store, rank, log):
        """Runs one of four routers, of which the store serves all."""
        loop = asyncio.get_running_loop()
        board = rig.make_board()
        names = [f"vm-{n}" for n in range(4)]
        registered = self.make(store, names.pop(rank), board, log)
        work = asyncio.ensure_future(registered.run())
        for _ in range(100):
            for name in names:
                board.live_peers.record_report(loop.time(), name, board.home)
            await asyncio.sleep(0.1)
        work.cancel()
