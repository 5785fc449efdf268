"""Quarantines in the store, and the trials that routers reserve there."""

import asyncio
from unittest import mock

from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import failure_recorder
from nutmeglift_gateway import metrics
from nutmeglift_gateway import quarantine
from nutmeglift_gateway import quarantine_controller
from nutmeglift_gateway import runs
from nutmeglift_gateway import store_reader
from tests.gateway import rig
from tests.gateway import test_runs
from tests.gateway import virtual_time_case

BAD = (ids.SegmentId("bad"),)
KEY = quarantine_controller.entry_key(BAD)
SECONDS = 1.0


class Router:
    """One router's view of the store and its quarantines."""

    def __init__(self, vm, memory):
        self.board = rig.make_board()
        self.log = rig.MemoryLog()
        self.guard = self.board.guard
        self.reader = store_reader.StoreReader(
            memory, rig.MemorySchema(), self.board, self.log, rig.make_rng(), vm
        )
        counters = metrics.Metrics()
        self.recorder = failure_recorder.FailureRecorder(
            self.board, self.log, counters
        )
        self.controller = quarantine_controller.QuarantineController(
            memory,
            self.reader,
            self.board,
            self.recorder,
            vm,
            self.log,
            counters,
        )

    async def list_store(self):
        await self.reader._list()

    def change(self, entry, reason="test"):
        self.guard.change(asyncio.get_running_loop().time(), entry, reason)


class QuarantineControllerTest(virtual_time_case.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.memory = kv.MemoryKv()
        self.one = Router("one", self.memory)
        self.two = Router("two", self.memory)
        self.tasks = [
            asyncio.ensure_future(router.controller.run())
            for router in (self.one, self.two)
        ]
        self.addAsyncCleanup(self.stop)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def test_a_router_that_starts_knows_the_quarantines(self):
        self.one.change(quarantine.Entry(BAD))
        await asyncio.sleep(SECONDS)
        await self.two.list_store()
        self.assertIsNotNone(self.two.guard.find(BAD))
        (line,) = [f for e, f in self.two.log.lines if e == "quarantine"]
        self.assertEqual((line["reason"], line["segments"]), ("store", BAD))

    async def test_what_the_store_refused_is_saved_later(self):
        self.memory.set_down(True)
        self.one.change(quarantine.Entry(BAD))
        await asyncio.sleep(SECONDS)
        self.assertIn("quarantine not saved", self.one.log.events())
        self.memory.set_down(False)
        await asyncio.sleep(SECONDS)
        self.assertIsNotNone(await self.memory.get(KEY))

    async def test_the_planner_restores_what_the_store_has_lost(self):
        self.one.change(quarantine.Entry(BAD))
        await asyncio.sleep(SECONDS)
        self.memory.restore({})
        await self.one.list_store()
        self.one.board.fence = 7
        await asyncio.sleep(2 * quarantine_controller.REPAIR_INTERVAL_SECONDS)
        self.assertIsNotNone(await self.memory.get(KEY))

    async def test_one_router_gets_the_trial(self):
        entry = quarantine.Entry(BAD)
        self.one.change(entry)
        await asyncio.sleep(SECONDS)
        await self.two.list_store()
        claims = await asyncio.gather(
            self.one.controller.claim_trial(entry, "r1"),
            self.two.controller.claim_trial(entry, "r2"),
        )
        self.assertEqual(sorted(claims), [False, True])
        winner = "r1" if claims[0] else "r2"
        for router in (self.one, self.two):
            await router.list_store()
            self.assertIsNone(router.guard.find_for(BAD, winner))
            self.assertIsNotNone(router.guard.find_for(BAD, "r3"))

    async def test_without_the_store_there_is_no_trial(self):
        entry = quarantine.Entry(BAD)
        self.one.change(entry)
        await asyncio.sleep(SECONDS)
        self.memory.set_down(True)
        self.assertFalse(await self.one.controller.claim_trial(entry, "r1"))
        self.assertIsNotNone(self.one.guard.find_for(BAD, "r1"))

    async def test_a_trial_that_ended_its_server_imposes_it_again(self):
        entry = quarantine.Entry(BAD, server_version="v1")
        self.one.change(entry)
        await asyncio.sleep(SECONDS)
        self.assertTrue(await self.one.controller.claim_trial(entry, "r1"))
        now = asyncio.get_running_loop().time()
        run = test_runs.make_run("r1", sent_at=now, segments=BAD)
        self.one.board.runs.begin(run)
        self.one.board.runs.end(now, run, runs.End.LOST)
        # The next lifetime of the server is listed at its address.
        self.one.board.directory.put(
            now, rig.make_server("next", address="h:1", born=9)
        )
        await asyncio.sleep(SECONDS)
        found = self.one.guard.quarantines.get(BAD)
        self.assertIs(found.state, quarantine.State.ACTIVE)
        self.assertEqual(found.failed_trials, 1)
        stored = await self.memory.get(KEY)
        self.assertIn(b'"failed_trials":1', stored.value)

    async def test_a_malformed_entry_is_left_out_and_logged_once(self):
        await self.memory.txn([], [kv.Put(KEY, b"{")])
        for _ in range(2):
            await self.two.list_store()
        self.assertEqual(self.two.guard.quarantines.entries(), [])
        self.assertEqual(self.two.log.events().count("entry skipped"), 1)

    async def test_the_planner_removes_what_was_lifted_long_ago(self):
        self.one.change(quarantine.Entry(BAD).changed(quarantine.State.LIFTED))
        await asyncio.sleep(SECONDS)
        self.assertIsNotNone(await self.memory.get(KEY))
        self.one.board.fence = 7
        with mock.patch.object(quarantine, "LIFTED_KEEP_SECONDS", SECONDS):
            await asyncio.sleep(
                2 * quarantine_controller.REPAIR_INTERVAL_SECONDS
            )
        self.assertIsNone(await self.memory.get(KEY))
