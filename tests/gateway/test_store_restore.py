"""A store that comes back from an older copy, whose revisions go back."""

import unittest

from nutmeglift import eras
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import directory
from nutmeglift_gateway import store_reader
from tests import virtual_time
from tests.gateway import rig

CONFIGURATION = "operators/configuration"
BEFORE = (
    (CONFIGURATION, b"generation 7", 90),
    ("backends/x", b"ready", 95),
    ("backends/y", b"ready", 96),
)
AFTER = (
    (CONFIGURATION, b"generation 8", 61),
    ("backends/x", b"draining", 62),
    ("backends/y", b"restarted", 63),
)
ERA_BEFORE, ERA_AFTER = ids.Era(1), ids.Era(2)


class StoreRestoreTest(unittest.TestCase):
    def setUp(self):
        self.board = rig.make_empty_board()
        schema = rig.MemorySchema()
        schema.by_value = {
            b"generation 7": rig.make_catalog(7),
            b"generation 8": rig.make_catalog(8),
            b"ready": {},
            b"draining": {"state": directory.ServerState.DRAINING},
            b"restarted": {"born": 2},
        }
        self.store = kv.MemoryKv()
        self.reader = store_reader.StoreReader(
            self.store,
            schema,
            self.board,
            rig.MemoryLog(),
            rig.make_rng(),
            "vm",
        )

    async def list_store(self, era, number, rows):
        """Lists a store that holds these entries, in an era."""

        async def snapshot(prefix):
            return kv.Snapshot(
                [
                    rig.make_entry(key, value, eras.combine(era, each))
                    for key, value, each in rows
                ],
                eras.combine(era, number),
            )

        self.store.snapshot = snapshot
        await self.reader._list()

    def test_what_is_written_after_a_restore_is_believed(self):
        async def run():
            await self.list_store(ERA_BEFORE, 100, BEFORE)
            await self.list_store(ERA_AFTER, 63, AFTER)

        virtual_time.run(run())
        server_by_id = self.board.directory.server_by_id
        with self.subTest("a newer configuration"):
            self.assertEqual(self.board.catalog.generation, 8)
        with self.subTest("a server that leaves"):
            self.assertIs(
                server_by_id["x"].state, directory.ServerState.DRAINING
            )
        with self.subTest("a server that was restarted"):
            self.assertEqual(server_by_id["y"].born, 2)


if __name__ == "__main__":
    unittest.main()
