"""The controllers on the in-memory store, in virtual time."""

import asyncio
import unittest

from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import directory
from nutmeglift_gateway import failure_recorder
from nutmeglift_gateway import freshness
from nutmeglift_gateway import metrics
from nutmeglift_gateway import planner_controller
from nutmeglift_gateway import ports
from nutmeglift_gateway import prober
from nutmeglift_gateway import registration
from nutmeglift_gateway import store_reader
from nutmeglift_gateway import suspect_servers
from tests import virtual_time
from tests.gateway import rig

CATALOG_KEY = "operators/configuration"


class World:
    """A store, runners, and the controllers of some routers."""

    def __init__(self):
        self.store = kv.MemoryKv()
        self.schema = rig.MemorySchema()
        self.schema.by_value[b"config"] = rig.make_catalog()
        self.runners = rig.MemoryRunners()
        self.tasks = []

    async def put(self, key, value):
        await self.store.txn([], [kv.Put(key, value)])

    async def put_server(self, name, **fields):
        value = f"{name}{sorted(fields.items())}".encode()
        self.schema.by_value[value] = fields
        await self.put(f"backends/{name}", value)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Router:
    """The controllers of one router."""

    def __init__(self, world, vm):
        self.log = rig.MemoryLog()
        self.board = rig.make_board()
        self.board.catalog = None
        self.board.catalog_revision = ids.Revision(0)
        rng = rig.make_rng()
        self.reader = store_reader.StoreReader(
            world.store, world.schema, self.board, self.log, rng
        )
        self.registration = registration.Registration(
            world.store, vm, f"{vm}:1", self.log, rng
        )
        counters = metrics.Metrics()
        self.planner = planner_controller.PlannerController(
            world.store,
            self.reader,
            self.registration,
            self.board,
            world.runners,
            vm,
            self.log,
            counters,
            failure_recorder.FailureRecorder(self.board, self.log, counters),
            rng,
        )
        self.prober = prober.Prober(self.board, world.runners, self.log)
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(work)
            for work in (
                self.reader.watch(),
                self.reader.confirm(),
                self.registration.run(),
                self.planner.run(),
                self.prober.run(),
            )
        ]
        self.planner_task = self.tasks[3]
        world.tasks += self.tasks

    def kill(self):
        for task in self.tasks:
            task.cancel()


def play(scene):
    async def run():
        world = World()
        try:
            await scene(world)
        finally:
            await world.stop()

    virtual_time.run(run())


class StoreReaderTest(unittest.TestCase):
    def test_configuration_and_servers_are_followed(self):
        async def scene(world):
            await world.put(CATALOG_KEY, b"config")
            await world.put_server("s")
            router = Router(world, "one")
            await asyncio.sleep(0.5)
            self.assertEqual(router.board.catalog.generation, 7)
            self.assertEqual(list(router.board.directory.server_by_id), ["s"])
            newer = rig.make_catalog(generation=8)
            world.schema.by_value[b"newer"] = newer
            await world.put(CATALOG_KEY, b"newer")
            draining = directory.ServerState.DRAINING
            await world.put_server("s", state=draining)
            await asyncio.sleep(0.5)
            self.assertEqual(router.board.catalog.generation, 8)
            self.assertEqual(router.board.usable(rig.MODEL), [])

        play(scene)

    def test_foreign_entries_harm_nobody(self):
        async def scene(world):
            await world.put(CATALOG_KEY, b"config")
            await world.put("backends/foreign", b"\xff")
            await world.put_server("s")
            router = Router(world, "one")
            await asyncio.sleep(0.5)
            await world.put(CATALOG_KEY, b"unreadable")
            await asyncio.sleep(0.5)
            self.assertEqual(list(router.board.directory.server_by_id), ["s"])
            self.assertEqual(router.board.catalog.generation, 7)
            self.assertIn("entry skipped", router.log.events())

        play(scene)

    def test_an_outage_leaves_servers_listed_for_a_while(self):
        async def scene(world):
            await world.put(CATALOG_KEY, b"config")
            await world.put_server("back")
            await world.put_server("gone")
            router = Router(world, "one")
            await asyncio.sleep(1.0)
            world.store.set_down(True)
            await asyncio.sleep(3.0)
            world.store.set_down(False)
            for name in ("back", "gone"):
                await world.store.txn([], [kv.Delete(f"backends/{name}")])
            await asyncio.sleep(1.0)
            listed = router.board.directory.server_by_id
            self.assertEqual(sorted(listed), ["back", "gone"])
            await world.put_server("back")
            await asyncio.sleep(4.0)
            self.assertEqual(list(listed), ["back"])

        play(scene)

    def test_calls_back_off_while_the_store_is_down(self):
        async def scene(world):
            await world.put(CATALOG_KEY, b"config")
            router = Router(world, "one")
            await asyncio.sleep(1.0)
            world.store.set_down(True)
            before = world.store.calls
            await asyncio.sleep(6.0)
            # Watch, confirmation and lease each back off up to a second.
            self.assertLess(world.store.calls - before, 60)
            self.assertEqual(router.log.events().count("store lost"), 1)
            self.assertNotIn("store regained", router.log.events())
            world.store.set_down(False)
            await asyncio.sleep(2.0)
            self.assertIn("store regained", router.log.events())

        play(scene)

    def test_confirmations_go_on_while_nothing_changes(self):
        async def scene(world):
            await world.put(CATALOG_KEY, b"config")
            router = Router(world, "one")
            await asyncio.sleep(1.0)
            self.assertGreater(
                router.board.freshness.confirmed_at,
                freshness.boot_clock() - 60,
            )
            router.board.freshness.confirmed_at = 0.0
            await asyncio.sleep(2.0)
            self.assertGreater(router.board.freshness.confirmed_at, 0.0)

        play(scene)


class PlannerTest(unittest.TestCase):
    def place_all(self, world):
        """Carries out all orders at once."""
        return [
            world.put_server(
                server.id,
                layers=layers,
                address=server.address,
                kind=server.kind,
                domain=server.domain,
            )
            for server, layers, _ in world.runners.placed
        ]

    async def start(self, world):
        await world.put(CATALOG_KEY, b"config")
        for server in rig.make_runners({"a": {"big": 2, "mid": 6}}):
            await world.put_server(
                server.id, address=server.address, kind=server.kind
            )
            world.runners.report_by_address[server.address] = ports.Report(
                directory.NO_LAYERS, 0, False, 1.0, ()
            )

    def test_one_router_places_all_layers(self):
        async def scene(world):
            await self.start(world)
            routers = [Router(world, vm) for vm in ("one", "two")]
            await asyncio.sleep(3.0)
            elected = [
                router
                for router in routers
                if "planner elected" in router.log.events()
            ]
            self.assertEqual(len(elected), 1)
            covered = set()
            for _, layers, _ in world.runners.placed:
                covered |= set(range(layers.start, layers.end))
            self.assertEqual(covered, set(range(80)))

        play(scene)

    def test_a_lost_planner_is_replaced_with_a_greater_number(self):
        async def scene(world):
            await self.start(world)
            one = Router(world, "one")
            await asyncio.sleep(3.0)
            for write in self.place_all(world):
                await write
            fences = {fence for _, _, fence in world.runners.placed}
            one.kill()
            two = Router(world, "two")
            await asyncio.sleep(registration.LEASE_TTL_SECONDS + 2.0)
            self.assertIn("planner elected", two.log.events())
            before = len(world.runners.placed)
            lost = world.runners.placed[0][0]
            await world.store.txn([], [kv.Delete(f"backends/{lost.id}")])
            await asyncio.sleep(1.0)
            after = world.runners.placed[before:]
            self.assertTrue(after)
            for _, _, fence in after:
                self.assertGreater(fence, max(fences))

        play(scene)

    def test_an_order_without_an_answer_is_not_given_again_blindly(self):
        async def scene(world):
            await self.start(world)
            world.runners.outcomes = [ports.OrderOutcome.UNKNOWN] * 3
            Router(world, "one")
            await asyncio.sleep(1.6)
            orders = {}
            for server, layers, _ in world.runners.placed:
                orders.setdefault(server.id, []).append(layers)
            # The state was read in between, and showed nothing carried out.
            self.assertLessEqual(max(len(o) for o in orders.values()), 3)

        play(scene)

    def test_a_failed_order_is_planned_again_at_once(self):
        async def scene(world):
            await self.start(world)
            world.runners.outcomes = [ports.OrderOutcome.CONFLICT]
            Router(world, "one")
            begun = None
            for _ in range(40):
                await asyncio.sleep(0.05)
                if world.runners.placed and begun is None:
                    begun = asyncio.get_running_loop().time()
                by_id = [server.id for server, _, _ in world.runners.placed]
                if len(by_id) > len(set(by_id)):
                    break
            self.assertGreater(len(by_id), len(set(by_id)))
            again = asyncio.get_running_loop().time() - begun
            self.assertLess(again, planner_controller.REPLAN_INTERVAL_SECONDS)

        play(scene)

    def test_a_stale_number_ends_the_planning(self):
        async def scene(world):
            await self.start(world)
            world.runners.outcomes = [ports.OrderOutcome.STALE_FENCE] * 99
            Router(world, "one")
            await asyncio.sleep(1.6)
            count = len(world.runners.placed)
            await asyncio.sleep(5.0)
            self.assertEqual(len(world.runners.placed), count)

        play(scene)


class ProberTest(unittest.TestCase):
    def test_a_suspect_is_trusted_when_it_answers(self):
        async def scene(world):
            await world.put(CATALOG_KEY, b"config")
            await world.put_server("s", address="s:1")
            router = Router(world, "one")
            await asyncio.sleep(0.5)
            (server,) = router.board.usable(rig.MODEL)
            now = asyncio.get_running_loop().time()
            router.board.suspect(now, server, "stalled")
            await asyncio.sleep(3.0)
            self.assertEqual(router.board.usable(rig.MODEL), [])
            world.runners.report_by_address["s:1"] = ports.Report(
                directory.LayerRange(0, 5), 1, False, 1.0, ()
            )
            await asyncio.sleep(1.5)
            (server,) = router.board.usable(rig.MODEL)
            self.assertEqual(server.layers, directory.LayerRange(0, 5))

        play(scene)

    def test_a_runner_that_moved_is_left_out_until_its_layers_are_known(self):
        async def scene(world):
            await world.put(CATALOG_KEY, b"config")
            held = directory.LayerRange(0, 9)
            await world.put_server("s", address="s:1", layers=held)
            router = Router(world, "one")
            router.planner_task.cancel()
            await asyncio.sleep(0.2)
            (server,) = router.board.usable(rig.MODEL)
            # The entry is so new that a report may be older than it.
            world.runners.report_by_address["s:1"] = ports.Report(
                directory.LayerRange(4, 9), 1, False, 1.0, ()
            )
            now = asyncio.get_running_loop().time()
            router.board.suspect(
                now, server, suspect_servers.Reason.LAYERS_CHANGED
            )
            await asyncio.sleep(0.2)
            self.assertEqual(router.board.usable(rig.MODEL), [])
            await asyncio.sleep(1.5)
            (server,) = router.board.usable(rig.MODEL)
            self.assertEqual(server.layers, directory.LayerRange(4, 9))

        play(scene)


class RegistrationTest(unittest.TestCase):
    def test_a_lapsed_lease_is_taken_again(self):
        async def scene(world):
            await world.put(CATALOG_KEY, b"config")
            router = Router(world, "one")
            await asyncio.sleep(1.0)
            first = router.registration.lease
            await world.store.revoke(first)
            await asyncio.sleep(3.0)
            self.assertNotEqual(router.registration.lease, first)
            self.assertEqual(router.board.router_by_name, {"one": "one:1"})
            await router.registration.end()
            await asyncio.sleep(0.5)
            self.assertEqual(router.board.router_by_name, {})

        play(scene)


if __name__ == "__main__":
    unittest.main()
