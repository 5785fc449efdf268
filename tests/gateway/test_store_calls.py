"""How many calls the store gets from many routers."""

import asyncio
import unittest

from nutmeglift import kv
from nutmeglift_gateway import admission
from nutmeglift_gateway import freshness
from nutmeglift_gateway import settings
from tests.gateway import rig
from tests.gateway import store_routers
from tests.gateway import virtual_time_case

DOMAIN_BY_ROUTER = {f"vm-{n}": "abc"[n % 3] for n in range(8)}
SECONDS = 6.0


class StoreCallsTest(virtual_time_case.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.loop = asyncio.get_running_loop()
        self.deployment = store_routers.Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start(
            list(DOMAIN_BY_ROUTER), ["one"], DOMAIN_BY_ROUTER
        )
        self.planner = await self.deployment.wait_for_planner()
        await asyncio.sleep(3.0)

    def count(self, path):
        """Returns the number of calls so far whose path ends so."""
        return sum(
            request.head.split(" ")[1].partition("?")[0].endswith(path)
            for router in self.deployment.routers
            for request in router.store.server.requests
        )

    async def watch_ages(self, routers, seconds):
        """Returns the greatest age of a confirmation within some time."""
        greatest = 0.0
        ends_at = self.loop.time() + seconds
        while self.loop.time() < ends_at:
            await asyncio.sleep(0.05)
            now = freshness.boot_clock()
            ages = [router.board.freshness.age(now) for router in routers]
            greatest = max(greatest, *ages)
        return greatest

    async def test_confirmations_are_shared(self):
        before = self.count("/kv-txn")
        age = await self.watch_ages(self.deployment.routers, SECONDS)
        self.assertLess(age, admission.MAX_AUTHORITATIVE_AGE_SECONDS)
        self.assertLessEqual(self.count("/kv-txn") - before, 2 * SECONDS)

    async def test_confirmations_go_on_without_the_planner(self):
        self.planner.store.silent = True
        others = [r for r in self.deployment.routers if r is not self.planner]
        age = await self.watch_ages(others, SECONDS)
        self.assertLess(age, admission.MAX_AUTHORITATIVE_AGE_SECONDS)

    async def test_a_configuration_is_read_once_in_each_failure_domain(self):
        nine = rig.make_catalog(generation=9)
        self.deployment.schema.by_value[b"nine"] = nine
        conflicts = self.count_values(b"nine")
        self.assertEqual(conflicts, 0)
        await self.deployment.memory.txn(
            [], [kv.Put(store_routers.CATALOG_KEY, b"nine")]
        )
        put_at = self.loop.time()
        while not self.all_have(nine):  # noqa: ASYNC110 - in virtual time.
            await asyncio.sleep(0.01)
        took = self.loop.time() - put_at
        self.assertLess(took, settings.Bounds().drain_seconds)
        await asyncio.sleep(1.0)
        domains = len(set(DOMAIN_BY_ROUTER.values()))
        # The planner's watch delivers it as well.
        self.assertLessEqual(self.count_values(b"nine"), domains + 1)

    def all_have(self, found):
        return all(
            router.board.catalog.generation >= found.generation
            for router in self.deployment.routers
        )

    def count_values(self, value):
        """Returns how often the store has sent a value."""
        return sum(
            router.store.sent_values.count(value)
            for router in self.deployment.routers
        )


if __name__ == "__main__":
    unittest.main()
