"""Tests of rollouts, stable members, the plan store and its controller."""

import asyncio
import contextlib
import random
import unittest

from nutmeglift import blackboard
from nutmeglift import control_messages
from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import membership
from nutmeglift import placement
from nutmeglift import plan
from nutmeglift import plan_store
from nutmeglift import rollout
from nutmeglift import routing
from nutmeglift import stable_members
from nutmeglift import states
from nutmeglift_router import blackboard_entries
from nutmeglift_router import plan_controller
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics
from tests import utils
from tests import virtual_time

OWN, OTHER = ids.VmId("entry-1"), ids.VmId("entry-2")
LIVE = states.VmState.LIVE


def range_plan(ranges, generation=1, number=1, version=utils.VERSION):
    """Returns a plan with the layer ranges {vm: (first, end)}."""
    return plan.Plan(
        generation,
        ids.FencingNumber(number),
        tuple(
            plan.Assignment(ids.VmId(vm), utils.MODEL, version, first, end, 1.0)
            for vm, (first, end) in ranges.items()
        ),
        (),
        {utils.MODEL: 4},
    )


class RolloutTest(unittest.TestCase):
    """Tests rollouts with one step per second and immediate order results."""

    def run_rollout(self, old, target, *, lost=(), seconds=60, refuse=0):
        """Runs a rollout and returns the layer range of each VM by second."""
        running = rollout.Rollout(ids.FencingNumber(1))
        running.start_from(range_plan(old))
        running.set_target(range_plan(target, 2), {})
        live = {
            ids.VmId(vm): ids.Incarnation("1")
            for vm in {*old, *target} - set(lost)
        }
        held = []
        self.orders = []
        self.max_loading = 0
        for second in range(seconds):
            issued = running.step(live, float(second))
            self.max_loading = max(
                self.max_loading, len({g.vm for g in issued})
            )
            held.append(
                {
                    vm: (r.first_layer, r.end_layer)
                    for (vm, _, _), r in running.held_by_key.items()
                }
            )
            for order in issued:
                self.orders.append(order)
                refuse -= 1
                kind = errors.ErrorKind.STAGE_FAILED if refuse >= 0 else None
                result = control_messages.OrderResult(
                    order.order.order, order.order.fencing_number, kind
                )
                running.handle_result(order.vm, result, float(second))
        self.done = running.done
        return held

    def assert_covered(self, held, live):
        for second, ranges in enumerate(held):
            for layer in range(4):
                holders = [
                    vm
                    for vm, (first, end) in ranges.items()
                    if first <= layer < end and vm in live
                ]
                self.assertTrue(holders, f"layer {layer} at {second} s")

    def test_no_layer_is_ever_without_a_runner(self):
        cases = {
            "same": (
                {"a": (0, 4), "b": (0, 4)},
                {"a": (0, 4), "b": (0, 4)},
            ),
            "swap": (
                {"a": (0, 2), "b": (2, 4), "c": (0, 2), "d": (2, 4)},
                {"a": (2, 4), "b": (0, 2), "c": (2, 4), "d": (0, 2)},
            ),
            "all other ranges": (
                {"a": (0, 4), "b": (0, 4), "c": (0, 4)},
                {"a": (0, 2), "b": (2, 4), "c": (1, 3)},
            ),
            "new runner takes over": (
                {"a": (0, 2), "b": (2, 4)},
                {"c": (0, 2), "b": (2, 4)},
            ),
        }
        for name, (old, target) in cases.items():
            with self.subTest(name):
                held = self.run_rollout(old, target)
                self.assert_covered(held, {*old, *target})
                self.assertTrue(self.done)
                self.assertEqual(held[-1], target)

    def test_new_range_is_used_only_after_its_order(self):
        old = {"a": (0, 4), "b": (0, 4)}
        held = self.run_rollout(old, {"a": (0, 4), "b": (0, 2)}, seconds=3)
        self.assertEqual(held[0], {"a": (0, 4)})
        self.assertNotIn("b", held[-1])
        self.assertNotIn("b", [o.vm for o in self.orders])

    def test_sole_holder_of_a_layer_does_not_move(self):
        old = {"a": (0, 2), "b": (2, 4)}
        held = self.run_rollout(old, {"a": (2, 4), "b": (0, 2)})
        self.assertEqual(held[-1], old)
        self.assertFalse(self.done)

    def test_version_with_missing_layers_is_repaired_at_once(self):
        old = {"a": (0, 2), "b": (0, 2), "c": (2, 4)}
        held = self.run_rollout(
            old, {"a": (0, 2), "b": (2, 4)}, lost=["c"], seconds=2
        )
        self.assertEqual(held[-1]["b"], (2, 4))

    def test_concurrent_loads_are_bounded(self):
        old = {f"r{n:02d}": (0, 4) for n in range(40)}
        target = {vm: (0, 2) if n % 2 else (2, 4) for n, vm in enumerate(old)}
        held = self.run_rollout(old, target, seconds=200)
        self.assertLessEqual(self.max_loading, 4)
        self.assertTrue(self.done)
        self.assert_covered(held, set(old))

    def test_refused_order_is_reissued(self):
        self.run_rollout({"a": (0, 4)}, {"a": (0, 4), "b": (0, 4)}, refuse=3)
        self.assertTrue(self.done)
        names = [o.order.order for o in self.orders]
        self.assertEqual(len(names), len(set(names)))

    def test_result_of_another_runner_or_incarnation_is_ignored(self):
        running = rollout.Rollout(ids.FencingNumber(1))
        running.start_from(range_plan({"a": (0, 4)}))
        running.set_target(range_plan({"a": (0, 4), "b": (0, 4)}), {})
        live = {ids.VmId("b"): ids.Incarnation("1")}
        (issued,) = running.step(live, 0.0)
        result = control_messages.OrderResult(
            issued.order.order, issued.order.fencing_number
        )
        self.assertFalse(running.handle_result(ids.VmId("a"), result, 0.0))
        live[ids.VmId("b")] = ids.Incarnation("2")
        running.step(live, 1.0)
        self.assertFalse(running.handle_result(ids.VmId("b"), result, 1.0))
        self.assertNotIn("b", {vm for vm, _, _ in running.held_by_key})

    def test_restarted_runner_receives_new_orders(self):
        running = rollout.Rollout(ids.FencingNumber(1))
        running.start_from(range_plan({"a": (0, 4)}))
        running.set_target(range_plan({"a": (0, 4)}), {})
        for incarnation in ("1", "2"):
            live = {ids.VmId("a"): ids.Incarnation(incarnation)}
            (issued,) = running.step(live, 0.0)
            done = control_messages.OrderResult(
                issued.order.order, issued.order.fencing_number
            )
            running.handle_result(issued.vm, done, 0.0)
            self.assertEqual(running.step(live, 1.0), [])

    def test_orders_include_adapters(self):
        running = rollout.Rollout(ids.FencingNumber(1))
        running.start_from(range_plan({"a": (0, 4)}))
        adapters = {(utils.MODEL, utils.VERSION): (ids.AdapterId("loans"),)}
        running.set_target(range_plan({"a": (0, 4)}), adapters)
        live = {ids.VmId("a"): ids.Incarnation("1")}
        issued = running.step(live, 0.0)
        self.assertEqual([g.order.adapter for g in issued], [None, "loans"])


class StableMembersTest(unittest.TestCase):
    def test_stability_follows_from_the_membership_history(self):
        hold, join = (
            stable_members.LOSS_GRACE_SECONDS,
            stable_members.MIN_LIVE_SECONDS,
        )
        cases = {
            "just joined": ([(0, True)], 1, False),
            "stays": ([(0, True)], join, True),
            "lost recently": (
                [(0, True), (50, False)],
                50 + hold / 2,
                True,
            ),
            "lost permanently": ([(0, True), (50, False)], 50 + hold, False),
            "flapping member": (
                [(0, True)] + [(50 + n, n % 2 == 0) for n in range(60)],
                110,
                True,
            ),
            "flapping joiner": (
                [(n, n % 2 == 0) for n in range(60)],
                60,
                False,
            ),
        }
        for name, (history, at, expected) in cases.items():
            with self.subTest(name):
                members = stable_members.StableMembers()
                state_at = dict(history)
                live = False
                for now in range(int(at) + 1):
                    live = state_at.get(now, live)
                    members.update([ids.VmId("a")] if live else [], [], now)
                    members.stable(now)
                self.assertEqual("a" in members.stable(at), expected)

    def test_leaving_vm_is_excluded_at_once(self):
        members = stable_members.StableMembers()
        members.adopt([ids.VmId("a")], 0.0)
        members.update([], [ids.VmId("a")], 1.0)
        self.assertEqual(members.stable(1.0), frozenset())


class PlanStoreTest(unittest.TestCase):
    def run_store(self, scenario):
        async def work():
            store = kv.MemoryKv()
            return await scenario(store)

        return virtual_time.run(work())

    def test_write_requires_a_newer_plan_and_the_latest_read(self):
        first = range_plan({"a": (0, 4)}, 5, 2)
        cases = {
            "next generation": ((6, 2), True),
            "new planner": ((6, 3), True),
            "same generation": ((5, 2), False),
            "stale planner": ((9, 1), False),
        }
        for name, ((generation, number), expected) in cases.items():
            with self.subTest(name):

                async def scenario(store, g=generation, n=number):
                    empty = await plan_store.read(store)
                    stored = await plan_store.write(store, first, empty)
                    new = range_plan({"b": (0, 4)}, g, n)
                    with contextlib.suppress(errors.ConflictError):
                        await plan_store.write(store, new, stored)
                    # A write based on an earlier read is rejected.
                    with self.assertRaises(errors.ConflictError):
                        newest = range_plan({"c": (0, 4)}, 99, 99)
                        await plan_store.write(store, newest, empty)
                    return (await plan_store.read(store)).plan, new

                found, new = self.run_store(scenario)
                self.assertEqual(found, new if expected else first)

    def test_lost_responses_are_resolved(self):
        for kind, expected in (
            ("lose_answers", True),
            ("lose_requests", False),
        ):
            with self.subTest(kind):

                async def scenario(store, kind=kind):
                    empty = await plan_store.read(store)
                    setattr(store, kind, 1)
                    new = range_plan({"a": (0, 4)})
                    try:
                        stored = await plan_store.write(store, new, empty)
                    except errors.KvAnswerLostError:
                        return False
                    return stored == await plan_store.read(store)

                self.assertEqual(self.run_store(scenario), expected)


class PlanControllerHarness:
    """A plan controller whose inputs are set by the test."""

    def __init__(self, store: kv.MemoryKv, vm: ids.VmId = OWN):
        self.board = blackboard.Blackboard()
        self.metrics = metrics.MemoryMetrics()
        self.orders: list[tuple[str, control_messages.Order]] = []
        self.executes_orders = True
        self.controller = plan_controller.PlanController(
            vm,
            board=self.board,
            store=store,
            clock=clocks.PausableClock(),
            metrics=self.metrics,
            routes=routing.PipelineSelector(random.Random(1)),
            post=self._post,
        )
        self._task = asyncio.ensure_future(self.controller.run())

    @property
    def plan(self) -> plan.Plan:
        return self.board.read(blackboard_entries.PLAN)

    @property
    def ranges(self) -> dict[str, tuple[int, int]]:
        return {
            a.vm: (a.first_layer, a.end_layer) for a in self.plan.assignments
        }

    async def stop(self) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def declare(self, declared: declaration.Declaration) -> None:
        head = blackboard_entries.CONFIGURATION.initial.head
        self.board.write(
            blackboard_entries.CONFIGURATION,
            blackboard_entries.ConfigurationInForce(head, declared),
            blackboard.Controller.CONFIGURATION,
        )

    def set_members(self, live: int, lost: tuple[int, ...] = ()) -> None:
        members = {}
        for n in range(live):
            vm = ids.VmId(f"runner-{n}")
            entry = plan.VmEntry(
                vm, f"10.0.0.{n}:1", utils.DOMAINS[n % 3], utils.RUNNER_CLASS
            )
            state = states.VmState.SUSPECT if n in lost else LIVE
            incarnation = ids.Incarnation("1")
            members[vm] = membership.Member(entry, state, incarnation)
        self.board.write(
            blackboard_entries.MEMBERS,
            members,
            blackboard.Controller.MEMBERSHIP,
        )

    def set_leader(self, vm: ids.VmId, number: int) -> None:
        leader = blackboard_entries.Leader(vm, ids.FencingNumber(number))
        self.board.write(
            blackboard_entries.LEADER, leader, blackboard.Controller.LEASE
        )

    def _post(self, vm, order) -> bool:
        self.orders.append((vm, order))
        if self.executes_orders:
            result = control_messages.OrderResult(
                order.order, order.fencing_number
            )
            loop = asyncio.get_running_loop()
            loop.call_soon(self.controller.record_order_result, vm, result)
        return True


class PlanControllerTest(unittest.TestCase):
    def run_with(self, scenario, routers=1):
        async def work():
            store = kv.MemoryKv()
            harnesses = [
                PlanControllerHarness(store, ids.VmId(f"entry-{n + 1}"))
                for n in range(routers)
            ]
            for harness in harnesses:
                harness.declare(utils.make_declaration())
                harness.set_members(6)
                harness.set_leader(OWN, 1)
            await asyncio.sleep(10)
            result = await scenario(store, *harnesses)
            for harness in harnesses:
                await harness.stop()
            return result

        return virtual_time.run(work())

    def test_all_routers_follow_the_planners_plan(self):
        async def scenario(store, planner, follower):
            planner.set_members(9)
            await asyncio.sleep(30)
            stored = await plan_store.read(store)
            return stored.plan, planner.plan, follower.plan

        stored, own, others = self.run_with(scenario, 2)
        self.assertEqual(stored.fencing_number, 1)
        self.assertEqual(len(stored.assignments), 9)
        self.assertEqual(own, stored)
        self.assertEqual(others, stored)

    def test_without_a_planner_each_router_plans(self):
        async def work():
            harness = PlanControllerHarness(kv.MemoryKv())
            harness.declare(utils.make_declaration())
            harness.set_members(6)
            await asyncio.sleep(1)
            await harness.stop()
            return harness.plan

        found = virtual_time.run(work())
        self.assertEqual(found.fencing_number, 0)
        self.assertEqual(len(found.assignments), 6)

    def test_flapping_vm_does_not_change_the_plan(self):
        async def scenario(store, planner):
            before, orders = planner.plan, len(planner.orders)
            writes = store.transactions
            for n in range(60):
                planner.set_members(6, (2,) if n % 2 else ())
                await asyncio.sleep(1.5)
            return (
                planner.plan == before,
                len(planner.orders) - orders,
                store.transactions - writes,
            )

        self.assertEqual(self.run_with(scenario), (True, 0, 0))

    def test_lost_layers_are_reassigned_at_once(self):
        async def scenario(store, planner):
            lost = {vm for vm, r in planner.ranges.items() if r == (4, 8)}
            numbers = tuple(int(vm.rpartition("-")[2]) for vm in lost)
            planner.set_members(6, numbers)
            await asyncio.sleep(1)
            return {
                layer
                for vm, (first, end) in planner.ranges.items()
                if vm not in lost
                for layer in range(first, end)
            }

        self.assertEqual(self.run_with(scenario), set(range(12)))

    def test_planner_waits_while_too_few_runners_are_visible(self):
        async def scenario(store, planner):
            before, orders = planner.plan, len(planner.orders)
            planner.set_members(6, (0, 1, 2, 3, 4))
            await asyncio.sleep(60)
            counted = planner.metrics.total_by_name["plan.too_few_visible"]
            same = planner.plan == before
            return same, len(planner.orders) - orders, counted > 0

        self.assertEqual(self.run_with(scenario), (True, 0, True))

    def test_stale_planner_changes_nothing(self):
        async def scenario(store, stale, newer):
            newer.set_leader(OTHER, 2)
            newer.set_members(9)
            await asyncio.sleep(30)
            before = (await plan_store.read(store)).plan
            orders = len(stale.orders)
            # The stale planner was paused and still acts as the leader.
            stale.set_members(3)
            await asyncio.sleep(60)
            stored = (await plan_store.read(store)).plan
            self.assertEqual(len(stale.orders), orders)
            return before, stored, stale.plan, newer.plan

        before, stored, stale_plan, newer_plan = self.run_with(scenario, 2)
        self.assertEqual(before.fencing_number, 2)
        self.assertEqual([stored, stale_plan, newer_plan], [before] * 3)

    def test_plan_is_frozen_while_the_service_is_down(self):
        async def scenario(store, planner):
            before = planner.plan
            store.set_down(True)
            planner.set_members(9)
            await asyncio.sleep(60)
            frozen = planner.plan == before
            store.set_down(False)
            await asyncio.sleep(60)
            return frozen, len(planner.plan.assignments)

        self.assertEqual(self.run_with(scenario), (True, 9))

    def test_restored_old_plan_is_replaced_again(self):
        async def scenario(store, planner, follower):
            backup = store.dump()
            planner.set_members(9)
            await asyncio.sleep(30)
            newest = planner.plan
            store.set_down(True)
            await asyncio.sleep(1)
            store.restore(backup)
            store.set_down(False)
            await asyncio.sleep(60)
            stored = (await plan_store.read(store)).plan
            return newest, stored, follower.plan

        newest, stored, others = self.run_with(scenario, 2)
        self.assertEqual(stored.assignments, newest.assignments)
        self.assertGreater(stored.order, newest.order)
        self.assertEqual(others, stored)

    def test_lost_write_response_does_not_stop_the_planner(self):
        for kind in ("lose_answers", "lose_requests"):
            with self.subTest(kind):

                async def scenario(store, planner, kind=kind):
                    setattr(store, kind, 1)
                    planner.set_members(9)
                    await asyncio.sleep(60)
                    stored = (await plan_store.read(store)).plan
                    return len(stored.assignments), stored == planner.plan

                self.assertEqual(self.run_with(scenario), (9, True))

    def test_runner_that_ignores_orders_gets_no_assignment(self):
        async def scenario(store, planner):
            planner.executes_orders = False
            planner.set_members(7)
            await asyncio.sleep(60)
            return set(planner.ranges), {vm for vm, _ in planner.orders}

        ranges, ordered = self.run_with(scenario)
        self.assertNotIn("runner-6", ranges)
        self.assertIn("runner-6", ordered)

    def test_idle_controllers_make_few_store_calls(self):
        async def scenario(store, planner, follower):
            calls = store.calls
            await asyncio.sleep(600)
            return store.calls - calls

        self.assertLess(self.run_with(scenario, 2), 20)


class VersionRolloutTest(unittest.TestCase):
    def test_new_version_starts_after_its_orders(self):
        old = range_plan({"a": (0, 4), "b": (0, 4)})
        new_version = ids.VersionId("v2")
        second = range_plan({"b": (0, 4)}, 2, version=new_version)
        first = range_plan({"a": (0, 4)}, 2)
        target = plan.Plan(
            2,
            ids.FencingNumber(1),
            first.assignments + second.assignments,
            (),
            first.layers_by_model,
        )
        running = rollout.Rollout(ids.FencingNumber(1))
        running.start_from(old)
        running.set_target(target, {})
        live = {ids.VmId(vm): ids.Incarnation("1") for vm in "ab"}
        seen = []
        for now in range(20):
            issued = running.step(live, float(now))
            seen.append(set(running.held_by_key))
            for order in issued:
                result = control_messages.OrderResult(
                    order.order.order, order.order.fencing_number
                )
                running.handle_result(order.vm, result, float(now))
        old_key = (ids.VmId("a"), utils.MODEL, utils.VERSION)
        new_key = (ids.VmId("b"), utils.MODEL, new_version)
        self.assertTrue(all(old_key in held for held in seen))
        self.assertNotIn(new_key, seen[0])
        self.assertEqual(seen[-1], {old_key, new_key})
        self.assertEqual(running.held_by_key[new_key], placement.Range(0, 4))


if __name__ == "__main__":
    unittest.main()
