"""The in-memory key-value service behaves like the real one."""

import unittest

from nutmeglift import kv
from tests import virtual_time


class MemoryKvTest(unittest.TestCase):
    def test_which_transactions_change_the_revision(self):
        put = kv.Put("k", b"v")
        cases = [
            # name, conditions, writes, succeeds, changes of the revision
            ("no writes", [], [], True, 0),
            ("a condition that fails", [kv.Compare("k", 9)], [put], False, 0),
            ("a write", [], [put], True, 1),
            ("two writes", [], [put, kv.Put("l", b"v")], True, 1),
        ]
        for name, conditions, writes, succeeds, changes in cases:
            with self.subTest(name):
                store = kv.MemoryKv()

                async def run(store=store, args=(conditions, writes)):
                    before = (await store.snapshot("")).revision
                    return before, await store.txn(*args)

                before, result = virtual_time.run(run())
                self.assertEqual(result.succeeded, succeeds)
                self.assertEqual(result.revision - before, changes)


if __name__ == "__main__":
    unittest.main()
