"""Tests of request stages on one engine with a fake router and peers."""

import asyncio
import unittest

from nutmeglift import engine as engines
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import states
from nutmeglift_agent import stage_executor
from nutmeglift_wire import metrics
from tests import virtual_time

OWN = ids.VmId("own")
INCARNATION = ids.Incarnation("own-1")
ROUTER = ids.VmId("entry-1")
REQUEST = ids.RequestId("r")
FIRST, SECOND, THIRD = range(3)


def make_pipeline(own_index, third="after"):
    names = ["before", "between", third]
    names[own_index] = OWN
    return messages.Pipeline(
        ids.ModelId("m"),
        ids.VersionId("v"),
        None,
        tuple(
            messages.Stage(
                ids.VmId(name),
                f"address of {name}",
                ids.Incarnation(f"{name}-1"),
                4 * index,
                4 * index + 4,
            )
            for index, name in enumerate(names)
        ),
    )


def make_start(own_index, attempt=1, tokens=(), released=0, third="after"):
    return messages.StartAttempt(
        REQUEST,
        ids.Attempt(attempt),
        ROUTER,
        make_pipeline(own_index, third),
        tuple(tokens),
        8 - released,
        released,
    )


def make_hop(position, count, layer, attempt=1):
    return messages.Hop(
        REQUEST, ids.Attempt(attempt), position, (7,) * count, layer
    )


class CountingEngine(engines.BaseEngine):
    """Records items and runs them at once; can omit results or fail."""

    def __init__(self):
        self.items = []
        self.released = []
        self.missing = 0
        self.error = None

    async def step(self, items):
        self.items += items
        if self.error is not None:
            raise self.error
        results = [self._run(item) for item in items]
        return tuple(results[self.missing :])

    def _run(self, item):
        if item.end_layer < 12:
            return engines.StepResult(hidden=item.values)
        first = max(0, item.sample_from - item.position)
        count = len(item.values) - first
        return engines.StepResult(tokens=(5,) * count, texts=("five",) * count)

    async def release(self, sequence):
        self.released.append(sequence)

    async def load(self):
        raise NotImplementedError

    async def cache_events(self, after):
        raise NotImplementedError

    async def order(self, order):
        raise NotImplementedError

    async def export_cache(self, sequence):
        raise NotImplementedError

    async def import_cache(self, sequence, body):
        raise NotImplementedError


class StageHarness:
    """A StageWork and the messages that it sends."""

    def __init__(self, replay_bytes=1000):
        self.engine = CountingEngine()
        self.metrics = metrics.MemoryMetrics()
        self.to_agents = []
        self.to_router = []
        self.tokens = []
        self.accepts_tokens = True
        self.accepts = True
        self.work = stage_executor.StageExecutor(
            OWN,
            INCARNATION,
            self.engine,
            self.metrics,
            post_to_agent=lambda a, m: self.to_agents.append((a, m)),
            post_to_router=lambda r, m: self.to_router.append(m),
            post_tokens=self._post_tokens,
            accepts_work=lambda: self.accepts,
            replay_bytes=replay_bytes,
        )

    def _post_tokens(self, router, items):
        self.tokens += items
        return self.accepts_tokens

    def open(self, own_index, attempt=1):
        start = make_start(own_index, attempt)
        self.work.open_stage(messages.OpenStage(start, own_index, 3))

    async def settle(self):
        for _ in range(10):
            await asyncio.sleep(0)

    def sent(self, kind):
        return [m for _, m in self.to_agents if isinstance(m, kind)]


def run(scenario):
    """Runs a scenario on a new harness with batching; returns the harness."""

    async def work():
        harness = StageHarness()
        running = asyncio.ensure_future(harness.work.run())
        await scenario(harness)
        await harness.settle()
        running.cancel()
        return harness

    return virtual_time.run(work())


class AcceptTest(unittest.TestCase):
    def test_new_work_is_refused_as_not_run(self):
        stale = make_pipeline(SECOND)
        stages = list(stale.stages)
        stages[SECOND] = messages.Stage(
            OWN, "address of own", ids.Incarnation("own-0"), 4, 8
        )
        stale_start = make_start(SECOND)
        stale_start = messages.StartAttempt(
            REQUEST,
            ids.Attempt(1),
            ROUTER,
            messages.Pipeline(stale.model, stale.version, None, tuple(stages)),
            (),
            8,
        )
        for name, accepts, start, kind in (
            (
                "leaving",
                False,
                make_start(SECOND),
                errors.ErrorKind.DRAINING,
            ),
            ("restarted", True, stale_start, errors.ErrorKind.NO_BACKEND),
        ):
            with self.subTest(name):

                async def scenario(harness, accepts=accepts, start=start):
                    harness.accepts = accepts
                    harness.work.open_stage(
                        messages.OpenStage(start, SECOND, 3)
                    )
                    harness.work.receive_hop(make_hop(0, 3, 4))

                harness = run(scenario)
                self.assertEqual(harness.to_router[0].kind, kind)
                self.assertIs(harness.to_router[0].ran, states.Ran.NOT_RUN)
                self.assertEqual(harness.engine.items, [])
                self.assertEqual(harness.work.in_flight, 0)

    def test_cancel_received_before_the_opening_takes_effect(self):
        async def scenario(harness):
            harness.work.cancel(REQUEST, ids.Attempt(1))
            harness.open(SECOND)
            harness.work.receive_hop(make_hop(0, 3, 4))

        harness = run(scenario)
        self.assertEqual(harness.work.in_flight, 0)
        self.assertEqual(harness.engine.items, [])

    def test_hop_received_before_the_opening_is_run(self):
        async def scenario(harness):
            harness.work.receive_hop(make_hop(0, 3, 4))
            harness.open(SECOND)

        self.assertEqual(len(run(scenario).engine.items), 1)

    def test_each_position_runs_once(self):
        async def scenario(harness):
            harness.open(SECOND)
            for position, count in ((0, 3), (0, 3), (2, 2), (3, 1)):
                harness.work.receive_hop(make_hop(position, count, 4))

        harness = run(scenario)
        ran = [(i.position, len(i.values)) for i in harness.engine.items]
        self.assertEqual(ran, [(0, 3), (3, 1)])
        self.assertEqual(harness.metrics.total_by_name["hop.duplicate"], 2)

    def test_hop_with_a_gap_or_wrong_layers_fails_the_attempt(self):
        for name, hop in (
            ("gap", make_hop(1, 1, 4)),
            ("other layers", make_hop(0, 3, 3)),
        ):
            with self.subTest(name):

                async def scenario(harness, hop=hop):
                    harness.open(SECOND)
                    harness.work.receive_hop(hop)

                harness = run(scenario)
                self.assertEqual(harness.to_router[0].vm, OWN)
                self.assertEqual(harness.engine.released, ["r.1"])


class EngineTest(unittest.TestCase):
    def test_engine_failure_does_not_stop_later_batches(self):
        def miscount(engine):
            engine.missing = 1

        def fail(engine):
            engine.error = errors.StageFailedError("dead")

        for name, inject_fault in (("miscount", miscount), ("error", fail)):
            with self.subTest(name):

                async def scenario(harness, inject_fault=inject_fault):
                    inject_fault(harness.engine)
                    harness.open(SECOND)
                    harness.work.receive_hop(make_hop(0, 3, 4))
                    await harness.settle()
                    harness.engine.missing, harness.engine.error = 0, None
                    harness.open(SECOND, attempt=2)
                    harness.work.receive_hop(make_hop(0, 3, 4, attempt=2))

                harness = run(scenario)
                self.assertEqual(len(harness.to_router), 1)
                self.assertEqual(len(harness.sent(messages.HopFrame)), 1)

    def test_full_router_outbox_ends_only_that_routers_attempts(self):
        async def scenario(harness):
            harness.open(THIRD)
            harness.accepts_tokens = False
            harness.work.receive_hop(make_hop(0, 3, 8))
            await harness.settle()
            self.assertEqual(harness.work.in_flight, 0)
            harness.open(THIRD, attempt=2)

        self.assertEqual(run(scenario).work.in_flight, 1)


class ReplaceTest(unittest.TestCase):
    def test_kept_states_are_sent_to_the_replacement(self):
        async def scenario(harness):
            harness.open(SECOND)
            harness.work.receive_hop(make_hop(0, 3, 4))
            await harness.settle()
            lost = errors.LinkClosedError("lost")
            harness.work.on_peer_lost("address of after", lost)
            harness.work.receive_hop(make_hop(3, 1, 4))
            await harness.settle()
            self.assertEqual(harness.to_router[0].vm, "after")
            harness.to_agents.clear()
            start = make_start(SECOND, 2, released=1, third="new")
            harness.work.replace(
                messages.ReplaceStage(start, ids.Attempt(1), THIRD, SECOND)
            )

        harness = run(scenario)
        (address, opening), (_, frame) = harness.to_agents
        self.assertEqual(address, "address of new")
        self.assertTrue(opening.alone)
        self.assertEqual(opening.positions, 4)
        self.assertEqual(len(frame.hops[0].hidden), 4)
        self.assertEqual(frame.hops[0].attempt, 2)
        self.assertEqual(len(harness.engine.items), 2)

    def test_unreleased_token_prevents_replacing_the_last_stage(self):
        async def scenario(harness):
            harness.open(SECOND)
            harness.work.receive_hop(make_hop(0, 5, 4))
            await harness.settle()
            start = make_start(SECOND, 2, released=1, third="new")
            harness.work.replace(
                messages.ReplaceStage(start, ids.Attempt(1), THIRD, SECOND)
            )

        harness = run(scenario)
        self.assertIn("not released", harness.to_router[0].detail)
        self.assertEqual(harness.work.in_flight, 0)

    def test_states_over_the_bound_are_not_kept(self):
        async def work():
            harness = StageHarness(replay_bytes=16)
            running = asyncio.ensure_future(harness.work.run())
            harness.open(SECOND)
            harness.work.receive_hop(make_hop(0, 3, 4))
            await harness.settle()
            start = make_start(SECOND, 2, third="new")
            harness.work.replace(
                messages.ReplaceStage(start, ids.Attempt(1), THIRD, SECOND)
            )
            running.cancel()
            return harness

        harness = virtual_time.run(work())
        self.assertIn("not kept", harness.to_router[0].detail)

    def test_new_first_stage_receives_the_last_token_again(self):
        async def scenario(harness):
            harness.open(THIRD)
            harness.work.receive_hop(make_hop(0, 3, 8))
            await harness.settle()
            harness.to_agents.clear()
            start = make_start(THIRD, 2, released=1)
            harness.work.replace(
                messages.ReplaceStage(start, ids.Attempt(1), FIRST, THIRD)
            )

        harness = run(scenario)
        (token,) = harness.sent(messages.NextTokenFrame)[0].tokens
        self.assertEqual((token.position, token.attempt), (3, 2))

    def test_agent_without_the_attempt_reports_it(self):
        async def scenario(harness):
            harness.work.replace(
                messages.ReplaceStage(
                    make_start(SECOND, 2), ids.Attempt(1), FIRST, SECOND
                )
            )

        self.assertIn("no matching attempt", run(scenario).to_router[0].detail)

    def test_broken_attempts_end_when_the_router_reconnects(self):
        async def scenario(harness):
            harness.open(SECOND)
            held = harness.work.on_router_reconnected(ROUTER)
            self.assertEqual(held, (messages.HeldAttempt(REQUEST, 1),))
            lost = errors.LinkClosedError("lost")
            harness.work.on_peer_lost("address of after", lost)
            self.assertEqual(harness.work.on_router_reconnected(ROUTER), ())

        self.assertEqual(run(scenario).work.in_flight, 0)


if __name__ == "__main__":
    unittest.main()
