import asyncio
import unittest

from nutmeglift import errors
from nutmeglift import kv
from nutmeglift_platform import store
from tests.gateway import store_stand_in
from tests.gateway import virtual_time_case


def status(code):
    """Returns a fault that responds to every request with a status."""
    return lambda request: b"HTTP/1.1 %d X\r\ncontent-length: 0\r\n\r\n" % code


class PlatformKvTest(virtual_time_case.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.stand_in = await store_stand_in.StoreStandIn().start()
        self.addCleanup(self.stand_in.server.close)
        self.kv = store.PlatformKv(self.stand_in.server.address, 0.3)

    async def put(self, key, value, lease=0):
        result = await self.kv.txn([], [kv.Put(key, value, lease)])
        return result.revision

    async def test_values_are_read_back_as_written(self):
        value = bytes(range(256))
        revision = await self.put("a/b c&d", value)
        entry = await self.kv.get("a/b c&d")
        self.assertEqual((entry.value, entry.mod_revision), (value, revision))
        self.assertIsNone(await self.kv.get("none"))

    async def test_all_pages_are_read(self):
        for number in range(7):
            await self.put(f"p/{number}", b"x")
        await self.put("other", b"x")
        self.stand_in.page_size = 3
        snapshot = await self.kv.snapshot("p/")
        self.assertEqual(
            [entry.key for entry in snapshot.entries],
            [f"p/{number}" for number in range(7)],
        )

    async def test_a_failed_condition_returns_the_present_state(self):
        revision = await self.put("k", b"one")
        check = [kv.Compare("k", revision)]
        same = await self.kv.txn(check, [], [kv.Get("k")])
        self.assertTrue(same.succeeded)
        await self.put("k", b"two")
        result = await self.kv.txn(check, [], [kv.Get("k")])
        self.assertFalse(result.succeeded)
        self.assertEqual(result.found[0][0].value, b"two")

    async def test_entries_end_with_their_lease(self):
        lease = await self.kv.grant(5.0)
        self.assertEqual(await self.kv.keep_alive(lease), 5.0)
        await self.put("mine", b"x", lease)
        await self.kv.revoke(lease)
        self.assertIsNone(await self.kv.get("mine"))
        self.assertEqual(await self.kv.keep_alive(lease), 0.0)
        with self.assertRaises(errors.KvUnavailableError):
            await self.put("mine", b"x", lease)

    async def test_a_watch_misses_no_changes(self):
        revision = (await self.kv.snapshot("")).revision
        watch = self.kv.watch("", prefix=True, start=revision + 1)
        events = []
        for value in (b"1", b"2", b"3"):
            await self.put("k", value)
            while not events or events[-1].entry.value != value:
                events += await anext(watch)
        await self.kv.txn([], [kv.Delete("k")])
        while events[-1].kind is not kv.WatchKind.DELETE:
            events += await anext(watch)
        self.assertEqual(
            [e.entry.value for e in events if e.kind is kv.WatchKind.PUT],
            [b"1", b"2", b"3"],
        )

    async def test_faults(self):
        cases = [
            (status(503), errors.KvUnavailableError),
            (status(429), errors.KvUnavailableError),
            (lambda request: b"", errors.KvAnswerLostError),
            (lambda request: b"HTTP/1.1 200 X\r\ncontent-length: 9\r\n\r\n{",
             errors.KvAnswerLostError),
            (lambda request: b"\x00", errors.KvAnswerLostError),
            (lambda request: b"HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\n[]",
             errors.KvAnswerLostError),
        ]  # fmt: skip
        for number, (fault, kind) in enumerate(cases):
            with self.subTest(number):
                self.stand_in.fault = fault
                with self.assertRaises(kind):
                    await self.put("k", b"x")

    async def test_an_unreachable_store(self):
        self.stand_in.server.close()
        await asyncio.sleep(0)
        with self.assertRaises(errors.KvUnavailableError):
            await self.kv.get("k")

    async def test_compacted_history(self):
        self.stand_in.fault = status(410)
        with self.assertRaises(errors.KvCompactedError):
            await anext(self.kv.watch("", prefix=True, start=1))

    async def test_calls_are_counted(self):
        names = []
        self.kv.on_call = names.append
        await self.kv.get("k")
        await self.kv.snapshot("")
        self.assertEqual(names, ["read", "list"])
        self.assertEqual(self.kv.calls, 2)


if __name__ == "__main__":
    unittest.main()
