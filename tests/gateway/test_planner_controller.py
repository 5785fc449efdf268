"""The planner in virtual time, on the in-memory store."""

import asyncio
import dataclasses
import unittest

from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory
from nutmeglift_gateway import planner_controller
from nutmeglift_gateway import ports
from nutmeglift_gateway import registration
from tests.gateway import rig
from tests.gateway import test_controllers


class PlannerTest(unittest.TestCase):
    def complete_orders(self, deployment):
        """Returns the store writes that complete all placement orders."""
        return [
            deployment.put_server(
                server.id,
                layers=layers,
                address=server.address,
                kind=server.kind,
                domain=server.domain,
            )
            for server, layers, _ in deployment.runners.placed
        ]

    async def start(self, deployment):
        await deployment.put(test_controllers.CATALOG_KEY, b"config")
        for server in rig.make_runners({"a": {"big": 2, "mid": 6}}):
            await deployment.put_server(
                server.id, address=server.address, kind=server.kind
            )
            deployment.runners.report_by_address[server.address] = ports.Report(
                directory.NO_LAYERS, 0, False, 1.0, ()
            )

    def test_one_router_places_all_layers(self):
        async def scenario(deployment):
            await self.start(deployment)
            routers = [
                test_controllers.Router(deployment, vm) for vm in ("one", "two")
            ]
            await asyncio.sleep(3.0)
            elected = [
                router
                for router in routers
                if "planner elected" in router.log.events()
            ]
            self.assertEqual(len(elected), 1)
            covered = set()
            for _, layers, _ in deployment.runners.placed:
                covered |= set(range(layers.start, layers.end))
            self.assertEqual(covered, set(range(80)))

        test_controllers.run_scenario(scenario)

    def test_a_service_that_cannot_be_planned_costs_no_other_its_planner(self):
        async def scenario(deployment):
            await self.start(deployment)
            router = test_controllers.Router(deployment, "one")
            plan_service = router.planner._plan_service
            failing = ids.ServiceId("failing")
            found = rig.make_catalog()
            found.service_by_id[failing] = catalog.Service(
                failing, "/health", rig.ENGINE
            )
            services = dict(sorted(found.service_by_id.items()))
            deployment.schema.by_value[b"config"] = dataclasses.replace(
                found, service_by_id=services
            )

            def fail_one(service, now):
                if service.id == failing:
                    raise ZeroDivisionError("no layers")
                return plan_service(service, now)

            router.planner._plan_service = fail_one
            await asyncio.sleep(3.0)
            self.assertTrue(deployment.runners.placed)
            self.assertEqual(router.log.events().count("planning failed"), 1)
            self.assertFalse(router.planner_task.done())

        test_controllers.run_scenario(scenario)

    def test_a_lost_planner_is_replaced_with_a_greater_fencing_number(self):
        async def scenario(deployment):
            await self.start(deployment)
            one = test_controllers.Router(deployment, "one")
            await asyncio.sleep(3.0)
            for write in self.complete_orders(deployment):
                await write
            fences = {fence for _, _, fence in deployment.runners.placed}
            one.kill()
            two = test_controllers.Router(deployment, "two")
            await asyncio.sleep(registration.LEASE_TTL_SECONDS + 2.0)
            self.assertIn("planner elected", two.log.events())
            before = len(deployment.runners.placed)
            lost = deployment.runners.placed[0][0]
            await deployment.store.txn([], [kv.Delete(f"backends/{lost.id}")])
            await asyncio.sleep(1.0)
            after = deployment.runners.placed[before:]
            self.assertTrue(after)
            for _, _, fence in after:
                self.assertGreater(fence, max(fences))

        test_controllers.run_scenario(scenario)

    def test_an_order_without_a_response_is_not_resent_blindly(self):
        async def scenario(deployment):
            await self.start(deployment)
            deployment.runners.outcomes = [ports.OrderOutcome.UNKNOWN] * 3
            test_controllers.Router(deployment, "one")
            await asyncio.sleep(1.6)
            orders = {}
            for server, layers, _ in deployment.runners.placed:
                orders.setdefault(server.id, []).append(layers)
            # The state was read in between and showed no completed order.
            self.assertLessEqual(max(len(o) for o in orders.values()), 3)

        test_controllers.run_scenario(scenario)

    def test_a_failed_order_is_replanned_at_once(self):
        async def scenario(deployment):
            await self.start(deployment)
            deployment.runners.outcomes = [ports.OrderOutcome.CONFLICT]
            test_controllers.Router(deployment, "one")
            ordered_at = None
            for _ in range(40):
                await asyncio.sleep(0.05)
                if deployment.runners.placed and ordered_at is None:
                    ordered_at = asyncio.get_running_loop().time()
                by_id = [
                    server.id for server, _, _ in deployment.runners.placed
                ]
                if len(by_id) > len(set(by_id)):
                    break
            self.assertGreater(len(by_id), len(set(by_id)))
            elapsed = asyncio.get_running_loop().time() - ordered_at
            self.assertLess(elapsed, planner_controller.REPLAN_INTERVAL_SECONDS)

        test_controllers.run_scenario(scenario)

    def test_a_stale_fencing_number_ends_planning(self):
        async def scenario(deployment):
            await self.start(deployment)
            deployment.runners.outcomes = [ports.OrderOutcome.STALE_FENCE] * 99
            test_controllers.Router(deployment, "one")
            await asyncio.sleep(1.6)
            count = len(deployment.runners.placed)
            await asyncio.sleep(5.0)
            self.assertEqual(len(deployment.runners.placed), count)

        test_controllers.run_scenario(scenario)

    async def put_at_first_runner(self, deployment, **changes):
        """Writes another entry with a runner's address; returns that."""
        (victim, *_) = rig.make_runners({"a": {"mid": 1}})
        await deployment.put_server("odd", address=victim.address, **changes)
        return victim.address

    def test_an_entry_of_no_known_kind_names_no_runner(self):
        layers = directory.LayerRange(0, 80)
        cases = [
            {"kind": "", "born": 0},
            {"kind": "", "layers": layers},
            {"kind": "unheard of", "born": 9},
        ]
        for changes in cases:

            async def scenario(deployment, changes=changes):
                await self.start(deployment)
                await self.put_at_first_runner(deployment, **changes)
                router = test_controllers.Router(deployment, "one")
                await asyncio.sleep(6.0)
                placed = {
                    server.id for server, _, _ in deployment.runners.placed
                }
                self.assertTrue(placed)
                self.assertNotIn("odd", placed)
                usable = {s.id for s in router.board.usable(rig.MODEL)}
                self.assertNotIn("odd", usable)

            with self.subTest(changes):
                test_controllers.run_scenario(scenario)

    def test_an_order_for_another_runner_is_not_repeated(self):
        conflict = ports.OrderOutcome.CONFLICT
        misdirected = ports.OrderOutcome.MISDIRECTED
        cases = {
            "by the answer": (misdirected, 0),
            "by the start time in the report": (conflict, 1),
        }
        for name, (outcome, born) in cases.items():

            async def scenario(deployment, outcome=outcome, born=born):
                await self.start(deployment)
                router = test_controllers.Router(deployment, "one")
                await asyncio.sleep(3.0)
                address = await self.put_at_first_runner(
                    deployment, kind="big", born=9
                )
                deployment.runners.report_by_address[address] = ports.Report(
                    directory.NO_LAYERS, 3, False, 1.0, (), born
                )
                deployment.runners.outcome_by_id = {"odd": outcome}
                await asyncio.sleep(3.0)
                placed = [s.id for s, _, _ in deployment.runners.placed]
                self.assertEqual(placed.count("odd"), 1)
                usable = {s.id for s in router.board.usable(rig.MODEL)}
                self.assertNotIn("odd", usable)
                self.assertIn("a-mid-0", usable)

            with self.subTest(name):
                test_controllers.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
