"""Routers that live on what one of their failure domain reads."""

import asyncio
import unittest

from nutmeglift_gateway import directory
from nutmeglift_gateway import freshness
from nutmeglift_gateway import settings
from nutmeglift_gateway.load import store_readers
from tests.gateway import rig
from tests.gateway import store_routers
from tests.gateway import virtual_time_case

DOMAIN_BY_ROUTER = {f"vm-{n}": "ab"[n % 2] for n in range(8)}
BOUNDS = settings.Bounds()
SETTLE_SECONDS = 3.0
OUTAGE_SECONDS = 6.0
PROBE_SECONDS = 0.05
APPLY_SECONDS = 2.0
"""The operators' bound for a configuration to take effect on all routers that
have been in touch with the store for BOUNDS.contact_seconds."""
RENEWAL = "/kv-keep/"


class SharedReadingTest(virtual_time_case.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.loop = asyncio.get_running_loop()
        self.deployment = store_routers.Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start(
            list(DOMAIN_BY_ROUTER), ["one"], DOMAIN_BY_ROUTER
        )
        self.planner = await self.deployment.wait_for_planner()
        await asyncio.sleep(SETTLE_SECONDS)

    def readers(self):
        """Returns the routers that read for their failure domains."""
        return [r for r in self.deployment.routers if r.reader.turn.is_reader]

    def count_calls(self):
        """Returns the number of calls so far that no lease renewal made."""
        return sum(
            RENEWAL not in request.head.partition("\r\n")[0]
            for router in self.deployment.routers
            for request in router.store.server.requests
        )

    async def disturb(self, trouble):
        """Brings a trouble about; returns the routers that it leaves whole."""
        readers = self.readers()
        lost = {
            "planner": [self.planner],
            "reader": readers[:1],
            "planner and readers": [self.planner, *readers],
        }
        how, who = trouble
        for router in lost[who]:
            if how == "lost":
                await router.stop()
            else:
                router.store.silent = True
        if how == "lost":
            return [r for r in self.deployment.routers if r not in lost[who]]
        return self.deployment.routers

    async def test_a_draining_server_is_noticed_by_all_in_time(self):
        for trouble in (
            ("lost", "planner"),
            ("lost", "reader"),
            ("lost", "planner and readers"),
            ("cut off", "planner"),
            ("cut off", "reader"),
            ("cut off", "planner and readers"),
        ):
            with self.subTest(trouble):
                await self.deployment.stop()
                await self.asyncSetUp()
                routers = await self.disturb(trouble)
                await self.deployment.put_server(
                    "one", state=directory.ServerState.DRAINING
                )
                written_at = self.loop.time()
                for router in routers:
                    unused_at = await router.wait_until_unused("one")
                    self.assertLess(
                        unused_at - written_at, BOUNDS.drain_seconds
                    )

    async def test_few_routers_call_a_store_that_is_away(self):
        domains = [r.board.home for r in self.readers() if not r.plans]
        self.assertEqual(len(domains), len(set(domains)))
        self.deployment.leave()
        before = self.count_calls()
        await asyncio.sleep(OUTAGE_SECONDS)
        # Two readers in each of the failure domains, and the others seldom.
        self.assertLess(
            self.count_calls() - before,
            4 * 2 * OUTAGE_SECONDS / store_readers.RETRY_SECONDS[0],
        )

    async def test_a_store_that_returns_from_a_copy_is_noticed_by_all(self):
        taken = self.deployment.memory.take_copy()
        nine = rig.make_catalog(generation=9)
        self.deployment.schema.by_value[b"nine"] = nine
        await self.deployment.put(store_routers.CATALOG_KEY, b"nine")
        written_at = self.loop.time()
        await asyncio.sleep(BOUNDS.drain_seconds)
        await self.deployment.drill(taken, OUTAGE_SECONDS)
        returned_at = self.loop.time()
        await self.deployment.put(store_routers.CATALOG_KEY, b"nine")
        while self.loop.time() < returned_at + OUTAGE_SECONDS:
            await asyncio.sleep(PROBE_SECONDS)
            now = freshness.boot_clock()
            for router in self.deployment.routers:
                self.assertEqual(router.board.catalog.generation, 9)
                # Nothing but the outage itself makes a confirmation old.
                away = written_at <= now < returned_at + BOUNDS.contact_seconds
                self.assertTrue(
                    away or router.board.freshness.is_fresh(now), router.vm
                )

    async def test_a_store_that_returns_to_all_but_the_planner_and_two(self):
        await self.deployment.stop()
        self.deployment = store_routers.Deployment()
        domain_by_name = dict.fromkeys(DOMAIN_BY_ROUTER, "a")
        await self.deployment.start(list(domain_by_name), [], domain_by_name)
        planner = await self.deployment.wait_for_planner()
        await asyncio.sleep(SETTLE_SECONDS)
        others = [r for r in self.deployment.routers if r is not planner]
        nine = rig.make_catalog(generation=9)
        self.deployment.schema.by_value[b"nine"] = nine
        self.deployment.leave()
        await asyncio.sleep(OUTAGE_SECONDS / 2)
        for router in others[2:]:
            router.store.away = False
        await self.deployment.put(store_routers.CATALOG_KEY, b"nine")
        await asyncio.sleep(BOUNDS.contact_seconds + APPLY_SECONDS)
        for router in others[2:]:
            self.assertEqual(router.board.catalog.generation, 9, router.vm)

    async def test_nobody_trusts_a_configuration_past_the_bound(self):
        self.deployment.leave()
        left_at = self.loop.time()
        await asyncio.sleep(BOUNDS.revocation_seconds)
        for router in self.deployment.routers:
            found = router.board.freshness
            self.assertLess(found.confirmed_at, left_at + PROBE_SECONDS)
            self.assertFalse(found.is_fresh(freshness.boot_clock()))


if __name__ == "__main__":
    unittest.main()
