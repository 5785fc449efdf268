"""Tests of fencing: only orders of the current lease reach engines."""

import asyncio
import random
import unittest

from nutmeglift import control_messages
from nutmeglift import errors
from nutmeglift import fencing
from nutmeglift import ids
from nutmeglift import lease
from nutmeglift_agent import order_executor
from nutmeglift_fakes import toy_engine
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics
from tests import utils
from tests import virtual_time

STALE = errors.ErrorKind.STALE_FENCING_NUMBER
NOT_CONFIRMED = errors.ErrorKind.CONFIGURATION_STALE


def make_order(name: str, number: int) -> control_messages.Order:
    return control_messages.Order(
        ids.RequestId(name),
        ids.FencingNumber(number),
        utils.MODEL,
        utils.VERSION,
        None,
        0,
        utils.LAYERS,
    )


def make_engine(checks: bool) -> toy_engine.ToyEngine:
    return toy_engine.ToyEngine(
        clock=clocks.LoopClock(),
        layers=utils.LAYERS,
        layer_positions_per_second=24000.0,
        rng=random.Random(1),
        checks_fencing_number=checks,
    )


class FencingGateTest(unittest.TestCase):
    # name: numbers learned (and whether confirmed), order's number, error kind
    CASES = {
        "just started": ([], 5, NOT_CONFIRMED),
        "heard of, not confirmed": ([(5, False)], 5, NOT_CONFIRMED),
        "current": ([(5, True)], 5, None),
        "newer than known": ([(5, True)], 6, None),
        "older": ([(5, True)], 4, STALE),
        "older than heard of": ([(5, True), (7, False)], 6, STALE),
        "older one confirmed late": ([(7, False), (5, True)], 6, STALE),
    }

    def test_which_orders_are_carried_out(self):
        for name, (learned, number, kind) in self.CASES.items():
            with self.subTest(name):
                gate = fencing.FencingGate()
                for known, confirmed in learned:
                    gate.observe(ids.FencingNumber(known), confirmed=confirmed)
                match gate.decide(make_order("load", number)):
                    case fencing.Execute():
                        found = None
                    case fencing.Reply(result):
                        found = result.kind
                self.assertEqual(found, kind)

    def test_memory_of_orders_is_bounded(self):
        gate = fencing.FencingGate()
        gate.observe(ids.FencingNumber(1), confirmed=True)
        for index in range(2 * fencing.MAX_COMPLETED_ORDER_COUNT):
            gate.record_done(make_order(f"load-{index}", 1))
        self.assertEqual(len(gate._done), fencing.MAX_COMPLETED_ORDER_COUNT)
        gate.observe(ids.FencingNumber(2), confirmed=False)
        self.assertEqual(len(gate._done), 0)


class OrdersTest(unittest.TestCase):
    def _run(self, checks: bool, steps):
        async def scenario():
            engine = make_engine(checks)
            work = order_executor.OrderExecutor(engine, metrics.MemoryMetrics())
            work.observe(ids.FencingNumber(3), confirmed=True)
            results = [await work.execute(make_order(*s)) for s in steps]
            return engine, results

        return virtual_time.run(scenario())

    def test_stale_orders_reach_no_engine(self):
        steps = [("a", 3), ("b", 4), ("c", 3), ("d", 4)]
        for checks in (True, False):
            with self.subTest(checks=checks):
                engine, results = self._run(checks, steps)
                self.assertEqual([o.order for o in engine.orders], [*"abd"])
                self.assertEqual(
                    [r.kind for r in results], [None, None, STALE, None]
                )

    def test_repeated_order_is_carried_out_once(self):
        engine, results = self._run(False, [("a", 3), ("a", 3), ("a", 3)])
        self.assertEqual(len(engine.orders), 1)
        self.assertEqual({r.kind for r in results}, {None})

    def test_refusal_by_an_engine_with_a_newer_number_is_returned(self):
        async def scenario():
            engine = make_engine(True)
            await engine.order(make_order("of another agent", 9))
            work = order_executor.OrderExecutor(engine, metrics.MemoryMetrics())
            work.observe(ids.FencingNumber(3), confirmed=True)
            return await work.execute(make_order("a", 3))

        self.assertEqual(virtual_time.run(scenario()).kind, STALE)

    def test_newer_order_supersedes_waiting_ones(self):
        class SlowEngine(toy_engine.ToyEngine):
            async def order(self, order):
                await asyncio.sleep(1.0)
                await super().order(order)

        async def scenario():
            engine = SlowEngine(
                clock=clocks.LoopClock(),
                layers=utils.LAYERS,
                layer_positions_per_second=24000.0,
                rng=random.Random(1),
            )
            work = order_executor.OrderExecutor(engine, metrics.MemoryMetrics())
            work.observe(ids.FencingNumber(3), confirmed=True)
            submitted = [("a", 3), ("b", 3), ("a", 3), ("c", 4)]
            results = await asyncio.gather(
                *(work.execute(make_order(*step)) for step in submitted)
            )
            return [o.order for o in engine.orders], [r.kind for r in results]

        carried, kinds = virtual_time.run(scenario())
        self.assertEqual(carried, ["a", "c"])
        self.assertEqual(kinds, [None, STALE, STALE, None])


class ResumedLeaseHolderTest(unittest.TestCase):
    def test_order_of_a_former_holder_is_refused_by_every_agent(self):
        """Of two routers, the lease holder is suspended past its lease."""

        async def scenario():
            cluster = utils.Cluster()
            await cluster.start(runners=2, services=0, routers=2)
            await asyncio.sleep(lease.TTL_SECONDS)
            holders = [
                process
                for process in cluster.router_by_vm.values()
                if process.router.lease.held_fencing_number() is not None
            ]
            self.assertEqual(len(holders), 1)
            old = holders[0]
            number = old.router.lease.held_fencing_number()
            old.clock.pause()
            await asyncio.sleep(4 * lease.TTL_SECONDS)
            (new,) = [
                process
                for process in cluster.router_by_vm.values()
                if process is not old
            ]
            newer = new.router.lease.held_fencing_number()
            self.assertGreater(newer, number)
            # The former holder's order arrives before it notices its loss.
            kinds = []
            for running in cluster.agent_by_vm.values():
                work = running.agent._orders
                late = await work.execute(make_order("late", number))
                good = await work.execute(make_order("good", newer))
                kinds.append((late.kind, good.kind))
            carried = [o.order for e in cluster.engines for o in e.orders]
            old.clock.resume()
            await cluster.stop()
            return kinds, carried

        kinds, carried = virtual_time.run(scenario())
        self.assertEqual(kinds, [(STALE, None)] * 2)
        self.assertNotIn("late", carried)

    def test_restarted_agent_refuses_orders_until_the_number_is_confirmed(self):
        async def scenario():
            cluster = utils.Cluster()
            await cluster.start(runners=1)
            await asyncio.sleep(lease.TTL_SECONDS)
            await cluster.kill("runner-1")
            fresh = cluster.restart_agent("runner-1").agent._orders
            number = cluster.router.lease.held_fencing_number()
            early = await fresh.execute(make_order("early", number))
            await asyncio.sleep(5.0)
            late = await fresh.execute(make_order("early", number))
            await cluster.stop()
            return early.kind, late.kind

        self.assertEqual(virtual_time.run(scenario()), (NOT_CONFIRMED, None))


if __name__ == "__main__":
    unittest.main()
