"""The client of a store whose responses name an era."""

import asyncio
import unittest

from nutmeglift import eras
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import settings
from nutmeglift_platform import store
from tests.gateway import store_stand_in

# Eras of the responses to successive calls, None for a response without one,
# and which are dropped; the era of the revision that each other one has.
HEADERS = (
    ("none", [None, None], [0, 0]),
    ("the same", [b"4", b"4"], [4, 4]),
    ("rising", [b"4", b"5", b"6"], [4, 5, 6]),
    ("skipped", [b"4", b"9", b"9", b"10"], [4, "dropped", 9, 10]),
    ("skipped, then rising", [b"4", b"8", b"9"], [4, "dropped", 9]),
    (
        "skipped once",
        [b"4", b"9", b"4", b"9", b"4"],
        [4, "dropped", 4, "dropped", 4],
    ),
    (
        "skipped to others",
        [b"4", b"9", b"70", b"7", b"4", b"5"],
        [4, "dropped", "dropped", "dropped", 4, 5],
    ),
    ("begun later", [None, b"1"], [0, 1]),
    ("falling", [b"4", b"3", b"4"], [4, "dropped", 4]),
    ("missing", [b"4", None, b"4"], [4, "dropped", 4]),
    (
        "malformed",
        [b"4", b"x", b"", b"-1", b"4.5", b"5"],
        [4, "dropped", "dropped", "dropped", "dropped", 5],
    ),
    ("malformed from the start", [b"x", b"4"], [0, 4]),
    ("huge", [b"4", b"9" * 400, b"99999999"], [4, "dropped", "dropped"]),
    ("zero", [b"0", b"0"], [0, 0]),
)


class StoreErasTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stand_in = await store_stand_in.StoreStandIn().start()
        self.addCleanup(self.stand_in.server.abort)
        self.memory = self.stand_in.memory
        self.client = self.make_client()

    def make_client(self):
        return store.PlatformKv(
            self.stand_in.server.address,
            settings.Store("127.0.0.1:1").timeout_seconds,
        )

    async def put(self, key, value=b"x"):
        await self.memory.txn([], [kv.Put(key, value)])

    def restore(self, taken):
        self.memory.restore_copy(taken)
        self.stand_in.era = (self.stand_in.era or 0) + 1

    def answer_with(self, eras_sent):
        """Answers the next calls as a listing, with these eras."""
        left = list(eras_sent)

        def respond(request):
            raw = left.pop(0)
            era = b"" if raw is None else b"store-era: %b\r\n" % raw
            body = b'{"items": [], "more_pages": false, "store_revision": 7}'
            return b"HTTP/1.1 200 X\r\n%bcontent-length: %d\r\n\r\n%b" % (
                era,
                len(body),
                body,
            )

        self.stand_in.fault = respond

    async def test_which_era_a_response_belongs_to(self):
        for name, sent, expected in HEADERS:
            with self.subTest(name):
                client = self.make_client()
                self.answer_with(sent)
                found = []
                for _ in sent:
                    try:
                        revision = (await client.snapshot("")).revision
                        self.assertEqual(eras.number_of(revision), 7)
                        found.append(eras.era_of(revision))
                    except errors.KvAnswerLostError:
                        found.append("dropped")
                self.assertEqual(found, expected)

    async def test_one_answer_of_a_huge_era_does_not_end_the_use_of_the_store(
        self,
    ):
        self.answer_with([b"1", b"7001"] + 9 * [b"1"])
        answered_count = 0
        for _ in range(11):
            try:
                await self.client.snapshot("")
                answered_count += 1
            except errors.KvAnswerLostError:
                continue
        self.assertGreater(answered_count, 2)

    async def test_revisions_of_a_restored_store_are_greater(self):
        self.stand_in.era = 1
        taken = self.memory.take_copy()
        for _ in range(9):
            await self.put("a")
        before = await self.client.snapshot("")
        self.restore(taken)
        await self.put("b")
        after = await self.client.snapshot("")
        self.assertGreater(after.revision, before.revision)
        self.assertLess(
            eras.number_of(after.revision), eras.number_of(before.revision)
        )
        self.assertGreater(
            after.entries[0].mod_revision, before.entries[0].mod_revision
        )

    async def test_a_revision_that_is_assigned_again_confirms_nothing(self):
        for has_noticed in (False, True):
            with self.subTest(has_noticed=has_noticed):
                await self.put("a", b"before")
                taken = self.memory.take_copy()
                await self.put("a", b"lost")
                (lost,) = (await self.client.snapshot("a")).entries
                self.restore(taken)
                await self.put("a", b"again")
                if has_noticed:
                    await self.client.snapshot("b")
                try:
                    result = await self.client.txn(
                        [kv.Compare("a", lost.mod_revision)],
                        [],
                        [kv.Get("a")],
                    )
                    self.assertFalse(result.succeeded)
                    self.assertEqual(result.found[0][0].value, b"again")
                except errors.KvAnswerLostError:
                    self.assertFalse(has_noticed)

    async def test_a_watch_does_not_go_on_in_another_era(self):
        for has_noticed in (False, True):
            with self.subTest(has_noticed=has_noticed):
                taken = self.memory.take_copy()
                await self.put("a")
                listed = await self.client.snapshot("")
                changes = self.client.watch(
                    "", prefix=True, start=ids.Revision(listed.revision + 1)
                )
                self.restore(taken)
                for _ in range(3):
                    await self.put("a")
                if has_noticed:
                    await self.client.snapshot("")
                with self.assertRaises(errors.KvCompactedError):
                    await anext(changes)

    async def test_a_lease_that_is_granted_again_is_another_one(self):
        taken = self.memory.take_copy()
        lease = await self.client.grant(3.0)
        self.restore(taken)
        other = self.make_client()
        self.assertEqual(await other.grant(3.0), lease)
        self.assertEqual(await self.client.keep_alive(lease), 0.0)
        with self.assertRaises(errors.KvUnavailableError):
            await self.client.txn([], [kv.Put("a", b"x", lease)])
        await self.client.revoke(lease)
        self.assertGreater(await other.keep_alive(lease), 0.0)

    async def test_pages_of_two_eras_are_no_listing(self):
        self.stand_in.page_size = 1
        await self.put("a")
        await self.put("b")
        taken = self.memory.take_copy()
        listing = asyncio.ensure_future(self.client.snapshot(""))
        while len(self.stand_in.server.requests) < 1:  # noqa: ASYNC110
            await asyncio.sleep(0)
        self.stand_in.era = 5
        self.memory.restore_copy(taken)
        with self.assertRaises(errors.KvAnswerLostError):
            await listing


class ErasTest(unittest.TestCase):
    def test_combined_revisions_have_both_parts(self):
        for era, number in ((0, 0), (0, 7), (3, 7), (8191, 2**40 - 1)):
            with self.subTest(era=era, number=number):
                revision = eras.combine(ids.Era(era), number)
                self.assertEqual(eras.era_of(revision), era)
                self.assertEqual(eras.number_of(revision), number)

    def test_what_no_format_can_hold_is_refused(self):
        for era, number in ((-1, 0), (0, -1), (8192, 0), (0, 2**40)):
            with (
                self.subTest(era=era, number=number),
                self.assertRaises(ValueError),
            ):
                eras.combine(ids.Era(era), number)


if __name__ == "__main__":
    unittest.main()
