"""Runs the router's controllers on the in-memory store in virtual time."""

import asyncio
import unittest

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


class Deployment:
    """An in-memory store, runners, and the tasks of some routers."""

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
    """One router's controllers."""

    def __init__(self, deployment, vm):
        self.log = rig.MemoryLog()
        self.board = rig.make_empty_board()
        rng = rig.make_rng()
        self.reader = store_reader.StoreReader(
            deployment.store, deployment.schema, self.board, self.log, rng, vm
        )
        self.registration = registration.Registration(
            deployment.store,
            vm,
            f"{vm}:1",
            self.reader.outage,
            self.log,
            rng,
            self.reader.readers,
        )
        counters = metrics.Metrics()
        self.planner = planner_controller.PlannerController(
            deployment.store,
            self.reader,
            self.registration,
            self.board,
            deployment.runners,
            vm,
            self.log,
            counters,
            failure_recorder.FailureRecorder(self.board, self.log, counters),
            rng,
        )
        self.prober = prober.Prober(self.board, deployment.runners, self.log)
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
        deployment.tasks += self.tasks

    def kill(self):
        for task in self.tasks:
            task.cancel()


def run_scenario(scenario):
    async def run():
        deployment = Deployment()
        try:
            await scenario(deployment)
        finally:
            await deployment.stop()

    virtual_time.run(run())


class StoreReaderTest(unittest.TestCase):
    def test_configuration_and_server_updates_are_applied(self):
        async def scenario(deployment):
            await deployment.put(CATALOG_KEY, b"config")
            await deployment.put_server("s")
            router = Router(deployment, "one")
            await asyncio.sleep(0.5)
            self.assertEqual(router.board.catalog.generation, 7)
            self.assertEqual(list(router.board.directory.server_by_id), ["s"])
            newer = rig.make_catalog(generation=8)
            deployment.schema.by_value[b"newer"] = newer
            await deployment.put(CATALOG_KEY, b"newer")
            draining = directory.ServerState.DRAINING
            await deployment.put_server("s", state=draining)
            await asyncio.sleep(0.5)
            self.assertEqual(router.board.catalog.generation, 8)
            self.assertEqual(router.board.usable(rig.MODEL), [])

        run_scenario(scenario)

    def test_undecodable_entries_are_skipped(self):
        async def scenario(deployment):
            await deployment.put(CATALOG_KEY, b"config")
            await deployment.put("backends/foreign", b"\xff")
            await deployment.put_server("s")
            router = Router(deployment, "one")
            await asyncio.sleep(0.5)
            await deployment.put(CATALOG_KEY, b"unreadable")
            await asyncio.sleep(0.5)
            self.assertEqual(list(router.board.directory.server_by_id), ["s"])
            self.assertEqual(router.board.catalog.generation, 7)
            self.assertIn("entry skipped", router.log.events())

        run_scenario(scenario)

    def test_servers_stay_listed_for_a_while_after_an_outage(self):
        async def scenario(deployment):
            await deployment.put(CATALOG_KEY, b"config")
            await deployment.put_server("back")
            await deployment.put_server("gone")
            router = Router(deployment, "one")
            await asyncio.sleep(1.0)
            deployment.store.set_down(True)
            await asyncio.sleep(3.0)
            deployment.store.set_down(False)
            for name in ("back", "gone"):
                await deployment.store.txn([], [kv.Delete(f"backends/{name}")])
            await asyncio.sleep(1.0)
            listed = router.board.directory.server_by_id
            self.assertEqual(sorted(listed), ["back", "gone"])
            await deployment.put_server("back")
            await asyncio.sleep(4.0)
            self.assertEqual(list(listed), ["back"])

        run_scenario(scenario)

    def test_calls_back_off_while_the_store_is_down(self):
        async def scenario(deployment):
            await deployment.put(CATALOG_KEY, b"config")
            router = Router(deployment, "one")
            await asyncio.sleep(1.0)
            deployment.store.set_down(True)
            before = deployment.store.calls
            await asyncio.sleep(6.0)
            # Watch, confirmation and lease each back off to at most 1 s.
            self.assertLess(deployment.store.calls - before, 60)
            self.assertEqual(router.log.events().count("store lost"), 1)
            self.assertNotIn("store regained", router.log.events())
            deployment.store.set_down(False)
            await asyncio.sleep(2.0)
            self.assertIn("store regained", router.log.events())

        run_scenario(scenario)

    def test_confirmations_continue_while_nothing_changes(self):
        async def scenario(deployment):
            await deployment.put(CATALOG_KEY, b"config")
            router = Router(deployment, "one")
            await asyncio.sleep(1.0)
            self.assertGreater(
                router.board.freshness.confirmed_at,
                freshness.boot_clock() - 60,
            )
            router.board.freshness.confirmed_at = 0.0
            await asyncio.sleep(2.0)
            self.assertGreater(router.board.freshness.confirmed_at, 0.0)

        run_scenario(scenario)


class ProberTest(unittest.TestCase):
    def test_a_suspect_that_answers_is_used_again(self):
        async def scenario(deployment):
            await deployment.put(CATALOG_KEY, b"config")
            await deployment.put_server("s", address="s:1")
            router = Router(deployment, "one")
            await asyncio.sleep(0.5)
            (server,) = router.board.usable(rig.MODEL)
            now = asyncio.get_running_loop().time()
            router.board.suspect(now, server, "stalled")
            await asyncio.sleep(3.0)
            self.assertEqual(router.board.usable(rig.MODEL), [])
            deployment.runners.report_by_address["s:1"] = ports.Report(
                directory.LayerRange(0, 5), 1, False, 1.0, ()
            )
            await asyncio.sleep(1.5)
            (server,) = router.board.usable(rig.MODEL)
            self.assertEqual(server.layers, directory.LayerRange(0, 5))

        run_scenario(scenario)

    def test_a_runner_with_changed_layers_is_excluded_until_they_are_read(self):
        async def scenario(deployment):
            await deployment.put(CATALOG_KEY, b"config")
            held = directory.LayerRange(0, 9)
            await deployment.put_server("s", address="s:1", layers=held)
            router = Router(deployment, "one")
            router.planner_task.cancel()
            await asyncio.sleep(0.2)
            (server,) = router.board.usable(rig.MODEL)
            # The entry is so recent that a report may be older than it.
            deployment.runners.report_by_address["s:1"] = ports.Report(
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

        run_scenario(scenario)


class RegistrationTest(unittest.TestCase):
    def test_an_expired_lease_is_granted_again(self):
        async def scenario(deployment):
            await deployment.put(CATALOG_KEY, b"config")
            router = Router(deployment, "one")
            await asyncio.sleep(1.0)
            first = router.registration.lease
            await deployment.store.revoke(first)
            await asyncio.sleep(3.0)
            self.assertNotEqual(router.registration.lease, first)
            self.assertEqual(router.board.router_by_name, {"one": "one:1"})
            await router.registration.end()
            await asyncio.sleep(0.5)
            self.assertEqual(router.board.router_by_name, {})

        run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
