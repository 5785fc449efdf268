"""Entries of other writers that can't be read, or claim what isn't so."""

import asyncio
import unittest

from nutmeglift import kv
from nutmeglift_gateway import directory
from nutmeglift_gateway import ports
from nutmeglift_gateway import settings
from nutmeglift_gateway import store_view
from nutmeglift_gateway import suspect_servers
from nutmeglift_platform import names
from tests.gateway import platform_routers
from tests.gateway import stand_ins
from tests.gateway import store_routers
from tests.gateway import virtual_time_case

DRAIN_SECONDS = settings.Bounds().drain_seconds
CONFIGURATION_SECONDS = 2.0
"""The operators' bound for a change to take effect."""
SETTLE_SECONDS = 2.0
ODD = platform_routers.make_server("odd")
ODD_VALUES = {
    "nested": platform_routers.NESTED,
    "an unknown field that is nested": platform_routers.with_extra_field(
        ODD, platform_routers.NESTED
    ),
    "not UTF-8": b'{"service": "\xff\xfe"}',
    "empty": b"",
    "of another type": b"[1, 2]",
    "a wrong type": platform_routers.encode(ODD | {"layers": "all"}),
    "huge numbers": platform_routers.encode(
        ODD
        | {
            "born": platform_routers.HUGE,
            "slots": platform_routers.HUGE,
            "layers": {"from": 0, "target": platform_routers.HUGE},
        }
    ),
    "a number of 400 digits": platform_routers.with_extra_field(
        ODD, b"1" * 400
    ),
    "negative slots": platform_routers.encode(ODD | {"slots": -1}),
    "a port out of range": platform_routers.encode(
        ODD | {"address": "10.0.0.1:99999"}
    ),
    "1 MB": platform_routers.with_extra_field(ODD, b'"%b"' % (b"x" * 2**20)),
}
PREFIXES = (
    names.SERVER_PREFIX,
    store_view.ROUTER_PREFIX,
    store_view.QUARANTINE_PREFIX,
    "",
)


class OddEntryTest(virtual_time_case.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.loop = asyncio.get_running_loop()

    async def start(self, router_names, servers=("stays", "leaves")):
        deployment = platform_routers.PlatformDeployment()
        self.addAsyncCleanup(deployment.stop)
        await deployment.start(router_names, servers)
        await deployment.wait_for_planner()
        await asyncio.sleep(SETTLE_SECONDS)
        return deployment

    async def wait_until(self, check):
        """Returns the loop time at which a condition holds."""
        async with asyncio.timeout(stand_ins.WAIT_SECONDS):
            while not check():  # noqa: ASYNC110 - in virtual time.
                await asyncio.sleep(store_routers.POLL_SECONDS)
        return self.loop.time()

    async def check_changes_arrive(self, deployment, version):
        """Checks that each router follows all kinds of changes in time."""
        await deployment.put_server("joins")
        await deployment.remove_server("leaves")
        await deployment.put_configuration(version)
        changed_at = self.loop.time()
        for router in deployment.routers:
            left_at = await self.wait_until(
                lambda r=router: not r.uses("leaves")
            )
            in_force_at = await self.wait_until(
                lambda r=router: r.board.catalog.generation == version
            )
            self.assertLess(left_at - changed_at, DRAIN_SECONDS)
            self.assertLess(in_force_at - changed_at, CONFIGURATION_SECONDS)
            self.assertTrue(router.uses("joins"))
            self.assertTrue(router.uses("stays"))

    async def test_an_odd_entry_stops_no_router_from_following_the_store(self):
        for prefix in PREFIXES:
            with self.subTest(prefix):
                deployment = await self.start(["one", "two", "three"])
                for number, value in enumerate(ODD_VALUES.values()):
                    await deployment.put(f"{prefix}odd-{number}", value)
                await asyncio.sleep(SETTLE_SECONDS)
                await self.check_changes_arrive(deployment, 8)
                await deployment.stop()

    async def test_ten_thousand_odd_entries_at_once_delay_no_change(self):
        deployment = await self.start(["one", "two"])
        value = ODD_VALUES["an unknown field that is nested"][:200]
        puts = [
            kv.Put(f"{names.SERVER_PREFIX}odd-{number}", value)
            for number in range(10_000)
        ]
        await deployment.memory.txn([], puts)
        await self.check_changes_arrive(deployment, 8)
        for router in deployment.routers:
            self.assertNotIn("peer link failed", router.log.events())
            self.assertNotIn("peer message malformed", router.log.events())

    async def test_a_router_that_starts_beside_odd_entries_follows_the_store(
        self,
    ):
        deployment = await self.start(["one"])
        for number, value in enumerate(ODD_VALUES.values()):
            for prefix in PREFIXES:
                await deployment.put(f"{prefix}odd-{number}", value)
        router = await deployment.add_router("two")
        await self.wait_until(lambda: router.uses("stays"))
        await self.check_changes_arrive(deployment, 8)

    async def test_a_forged_start_time_displaces_no_server(self):
        deployment = await self.start(["one", "two"], ["stays"])
        real = platform_routers.make_server("real", kind="mid")
        await deployment.put_server("real", kind="mid")
        for router in deployment.routers:
            router.runners.report_by_address[real["address"]] = ports.Report(
                directory.NO_LAYERS, 0, False, 1.0, (), real["born"]
            )
        for number, born in enumerate((2**50, 4_102_444_800_000)):
            with self.subTest(born=born):
                await deployment.put_server(
                    f"forged-{number}",
                    address=real["address"],
                    born=born,
                    kind="mid",
                )
                await asyncio.sleep(0.5)
                for router in deployment.routers:
                    # A server rejects requests that name another one.
                    found = router.board.server_at(real["address"])
                    router.board.suspect(
                        self.loop.time(),
                        found,
                        suspect_servers.Reason.REJECTED,
                    )
                await asyncio.sleep(SETTLE_SECONDS)
                for router in deployment.routers:
                    self.assertTrue(router.uses("real"), router.vm)
                    self.assertFalse(router.uses(f"forged-{number}"), router.vm)

    async def test_an_entry_of_an_unknown_service_displaces_no_server(self):
        address = platform_routers.make_server("stays")["address"]
        changes = {"address": address, "service": "odd", "born": 2**50}
        deployment = await self.start(["one"], ["stays"])
        await deployment.put_server("odd", **changes)
        await asyncio.sleep(SETTLE_SECONDS)
        # One router follows the store; another one starts beside the entry.
        await deployment.add_router("two")
        await asyncio.sleep(SETTLE_SECONDS)
        for router in deployment.routers:
            self.assertTrue(router.uses("stays"), router.vm)

    async def test_entries_without_a_field_name_no_server(self):
        # Such an entry had defaults, and was used in place of the server.
        for kind in ("", "mid"):
            changes = {"kind": kind} if kind else {}
            sound = platform_routers.make_server("sound", **changes)
            with self.subTest(kind=kind):
                deployment = await self.start(["one"], [])
                await deployment.put_server("sound", **changes)
                for number, key in enumerate(sound):
                    await deployment.put(
                        f"{names.SERVER_PREFIX}odd-{number}",
                        platform_routers.encode(
                            {k: v for k, v in sound.items() if k != key}
                        ),
                    )
                await asyncio.sleep(SETTLE_SECONDS)
                # One router follows the store; another one starts later.
                await deployment.add_router("two")
                await asyncio.sleep(SETTLE_SECONDS)
                for router in deployment.routers:
                    listed = set(router.board.directory.server_by_id)
                    self.assertEqual(listed, {"sound"}, router.vm)
                await deployment.stop()

    async def test_a_planner_that_is_no_router_is_replaced(self):
        deployment = await self.start(["one", "two"])
        planner = await deployment.wait_for_planner()
        fence = planner.board.fence
        await deployment.put(store_view.PLANNER_KEY, b"\xff nobody")
        await self.wait_until(lambda: not planner.plans)
        planner = await deployment.wait_for_planner()
        self.assertGreater(planner.board.fence, fence)
        await asyncio.sleep(SETTLE_SECONDS)
        self.assertEqual(sum(r.plans for r in deployment.routers), 1)
        await self.check_changes_arrive(deployment, 8)

    async def test_a_watch_that_always_fails_is_gone_around(self):
        deployment = await self.start(["one"])
        (router,) = deployment.routers
        after = b"after=%d&" % router.reader.view.revision
        unreadable = b"HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\n[]"
        router.store.fault = lambda request: (
            unreadable if after in request.head.encode() else None
        )
        await self.check_changes_arrive(deployment, 8)

    async def test_an_unreadable_version_of_a_servers_entry_takes_it_out(self):
        values = {
            "unknown state": {"state": "leaving"},
            "wrong type": {"state": 5},
            "no address": {"address": ""},
        }
        for name, changes in values.items():
            with self.subTest(name):
                deployment = await self.start(["one", "two"])
                await deployment.put_server("leaves", **changes)
                changed_at = self.loop.time()
                for router in deployment.routers:
                    left_at = await self.wait_until(
                        lambda r=router: not r.uses("leaves")
                    )
                    self.assertLess(left_at - changed_at, DRAIN_SECONDS)
                await deployment.put_server("leaves")
                for router in deployment.routers:
                    await self.wait_until(lambda r=router: r.uses("leaves"))
                await deployment.stop()


if __name__ == "__main__":
    unittest.main()
