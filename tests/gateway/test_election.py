"""The election of the planner when its call is answered late or not at all."""

import asyncio
import functools
import unittest

from nutmeglift import errors
from nutmeglift import kv
from nutmeglift_gateway import election
from nutmeglift_gateway import registration
from nutmeglift_gateway import store_view
from tests.gateway import rig
from tests.gateway import test_controllers

SETTLE_SECONDS = 5.0


class LostAnswers:
    """Loses the responses to elections, after the write or before it.

    Attributes:
        left: number of further elections whose response is lost.
        count: number of elections so far.
    """

    def __init__(self, memory, left, *, is_applied):
        self.left = left
        self.count = 0
        self._is_applied = is_applied
        self._txn = memory.txn
        memory.txn = self.txn

    async def txn(self, compares, writes, otherwise=None):
        if not any(w.key == store_view.PLANNER_KEY for w in writes):
            return await self._txn(compares, writes, otherwise)
        self.count += 1
        self.left -= 1
        if self.left < 0:
            return await self._txn(compares, writes, otherwise)
        if self._is_applied:
            await self._txn(compares, writes, otherwise)
        raise errors.KvAnswerLostError("the response was lost")


class ElectionTest(unittest.TestCase):
    def test_a_lost_answer_to_an_election_does_not_end_planning(self):
        for lost_count in (1, 2):
            for is_applied in (True, False):
                for names in (("one",), ("one", "two")):
                    with self.subTest(lost_count, applied=is_applied, n=names):
                        self.check_lost(lost_count, is_applied, names)

    def check_lost(self, lost_count, is_applied, names):
        async def scenario(deployment):
            lost = LostAnswers(
                deployment.store, lost_count, is_applied=is_applied
            )
            routers = [test_controllers.Router(deployment, n) for n in names]
            await asyncio.sleep(SETTLE_SECONDS)
            planners = [r for r in routers if r.board.fence]
            self.assertEqual(len(planners), 1)
            entry = await deployment.store.get(store_view.PLANNER_KEY)
            self.assertEqual(planners[0].board.fence, entry.mod_revision)
            self.assertLessEqual(lost.count, 2 + 2 * lost_count)
            # Nothing is written while one router plans.
            count = lost.count
            await asyncio.sleep(SETTLE_SECONDS)
            self.assertEqual(lost.count, count)

        test_controllers.run_scenario(scenario)

    def test_a_router_takes_over_from_the_process_before(self):
        async def scenario(deployment):
            key = store_view.PLANNER_KEY
            await deployment.store.txn([], [kv.Put(key, b"one")])
            before = await deployment.store.get(key)
            router = test_controllers.Router(deployment, "one")
            await asyncio.sleep(SETTLE_SECONDS)
            self.assertGreater(router.board.fence, before.mod_revision)

        test_controllers.run_scenario(scenario)

    def test_nobody_is_elected_who_leaves_or_loses_the_lease_meanwhile(self):
        for change in ("none", "draining", "lease", "store"):
            with self.subTest(change):
                test_controllers.run_scenario(
                    functools.partial(self.check_change, change)
                )

    async def check_change(self, change, deployment):
        await deployment.put(test_controllers.CATALOG_KEY, b"config")
        router = test_controllers.Router(deployment, "one")
        router.planner_task.cancel()
        await asyncio.sleep(1.0)
        tested = election.Election(
            deployment.store,
            router.reader,
            router.registration,
            router.board,
            "one",
            router.log,
            rig.make_rng(),
        )
        now = asyncio.get_running_loop().time()
        running = asyncio.ensure_future(tested.run_once(now))
        await asyncio.sleep(0)
        match change:
            case "draining":
                router.board.draining = True
            case "lease":
                router.registration.lease = registration.NO_LEASE
            case "store":
                router.reader.outage.record_failure(now, now, "lost")
        elected = await running is not None
        self.assertEqual(elected, change == "none")
        entry = await deployment.store.get(store_view.PLANNER_KEY)
        self.assertEqual(entry is not None, elected)


if __name__ == "__main__":
    unittest.main()
