"""What a view of a store that came back from an older copy keeps."""

import asyncio
import unittest

from nutmeglift import eras
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import directory
from nutmeglift_gateway import freshness
from nutmeglift_gateway import store_reader
from tests import virtual_time
from tests.gateway import rig

CONFIGURATION = "operators/configuration"


def rev(era, n):
    return eras.combine(ids.Era(era), n)


class RestoredViewTest(unittest.TestCase):
    def setUp(self):
        self.board = rig.make_empty_board()
        schema = rig.MemorySchema()
        schema.by_value = {
            b"generation 7": rig.make_catalog(7),
            b"generation 8": rig.make_catalog(8),
            b"ready": {},
            b"draining": {"state": directory.ServerState.DRAINING},
        }
        self.store = kv.MemoryKv()
        self.log = rig.MemoryLog()
        self.reader = store_reader.StoreReader(
            self.store, schema, self.board, self.log, rig.make_rng(), "vm"
        )

    async def list_store(self, era, number, rows):
        async def snapshot(prefix):
            return kv.Snapshot(
                [rig.make_entry(k, v, rev(era, n)) for k, v, n in rows],
                rev(era, number),
            )

        self.store.snapshot = snapshot
        await self.reader._list()

    def test_a_copy_of_the_restored_store_does_not_end_a_drain(self):
        async def run():
            now = asyncio.get_running_loop().time()
            await self.list_store(1, 100, [("backends/x", b"ready", 80)])
            self.reader.view.apply_batch(
                [
                    kv.WatchEvent(
                        kv.WatchKind.PUT,
                        rig.make_entry("backends/x", b"draining", rev(1, 101)),
                    )
                ]
            )
            self.assertTrue(self.board.directory.server_by_id["x"].is_draining)
            # The store refuses this router; a peer listed the copy.
            self.reader.view.apply_servers(
                now,
                [rig.make_entry("backends/x", b"ready", rev(2, 80))],
                freshness.boot_clock(),
            )
            self.assertTrue(
                self.board.directory.server_by_id["x"].is_draining,
                "READY again by a peer's copy of the restored store",
            )

        virtual_time.run(run())

    def test_a_listing_of_the_restored_store_does_not_end_a_drain(self):
        async def run():
            await self.list_store(1, 100, [("backends/x", b"draining", 80)])
            await self.list_store(2, 70, [("backends/x", b"ready", 60)])
            self.assertTrue(self.board.directory.server_by_id["x"].is_draining)

        virtual_time.run(run())

    def test_a_copy_without_a_server_keeps_it_in_the_gap(self):
        async def run():
            now = asyncio.get_running_loop().time()
            await self.list_store(1, 100, [("backends/x", b"ready", 95)])
            self.reader.view.apply_servers(
                now,
                [rig.make_entry("backends/y", b"ready", rev(2, 80))],
                freshness.boot_clock(),
            )
            self.assertIn("x", self.board.directory.server_by_id)

        virtual_time.run(run())

    def test_a_server_that_lapsed_and_expired_is_not_back_by_a_copy(self):
        async def run():
            loop = asyncio.get_running_loop()
            await self.list_store(1, 100, [("backends/x", b"ready", 80)])
            await self.list_store(2, 70, [("backends/x", b"ready", 60)])
            # It leaves in the 2 s after the first drill.
            self.reader.view.apply_batch(
                [
                    kv.WatchEvent(
                        kv.WatchKind.DELETE,
                        rig.make_entry("backends/x", b"", rev(2, 71)),
                    )
                ]
            )
            await asyncio.sleep(2.5)
            self.assertEqual(self.board.directory.expire(loop.time()), ["x"])
            self.assertNotIn("x", self.board.directory.server_by_id)
            await self.list_store(3, 65, [("backends/x", b"ready", 60)])
            self.assertNotIn("x", self.board.directory.server_by_id)

        virtual_time.run(run())

    def test_the_same_generation_again_does_not_give_back_revoked_keys(self):
        async def run():
            await self.list_store(1, 90, [(CONFIGURATION, b"generation 7", 80)])
            found = self.board.freshness
            found.record_rejected(rev(1, 95), frozenset({"kept"}))
            self.assertTrue(found.may_be_revoked("revoked"))
            await self.list_store(2, 85, [(CONFIGURATION, b"generation 7", 80)])
            self.assertTrue(found.may_be_revoked("revoked"))

        virtual_time.run(run())

    def test_a_relisting_in_the_gap_keeps_routers(self):
        async def run():
            await self.list_store(
                1, 100, [("nutmeglift/routers/a", b"1.1.1.1:1", 90)]
            )
            self.assertEqual(
                len(self.board.router_by_name), 1, self.log.events()
            )
            await self.list_store(2, 70, [])
            self.assertEqual(len(self.board.router_by_name), 1)
            await self.list_store(2, 71, [])
            self.assertEqual(len(self.board.router_by_name), 1)

        virtual_time.run(run())

    def test_a_failed_note_of_the_settled_era_is_no_outage(self):
        async def run():
            await self.list_store(1, 90, [(CONFIGURATION, b"generation 7", 80)])
            self.board.freshness.settle(ids.Era(1))
            await asyncio.sleep(5)
            self.board.fence = ids.FencingNumber(5)

            async def txn(compares, writes, otherwise=None):
                if writes:
                    raise errors.KvUnavailableError("429")
                return kv.TxnResult(True, rev(1, 91))

            self.store.txn = txn
            told = []
            self.board.listeners.add(lambda: told.append(1))
            task = asyncio.ensure_future(self.reader.confirm())
            await asyncio.sleep(3)
            task.cancel()
            self.assertNotIn("store lost", self.log.events())
            self.assertTrue(told)

        virtual_time.run(run())


if __name__ == "__main__":
    unittest.main()
