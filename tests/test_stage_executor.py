"""Stages of requests beside one engine, their router and neighbours faked."""

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


def make_pipeline(own, third="after"):
    names = ["before", "between", third]
    names[own] = OWN
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


def make_start(own, attempt=1, tokens=(), released=0, third="after"):
    return messages.StartAttempt(
        REQUEST,
        ids.Attempt(attempt),
        ROUTER,
        make_pipeline(own, third),
        tuple(tokens),
        8 - released,
        released,
    )


def make_hop(position, count, layer, attempt=1):
    return messages.Hop(
        REQUEST, ids.Attempt(attempt), position, (7,) * count, layer
    )


class CountingEngine(engines.BaseEngine):
    """Runs everything at once and counts; may miscount on purpose."""

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


class Bench:
    """A StageExecutor and all that it sends."""

    def __init__(self, replay_bytes=1000):
        self.engine = CountingEngine()
        self.metrics = metrics.MemoryMetrics()
        self.to_agents = []
        self.to_router = []
        self.tokens = []
        self.keeps_tokens = True
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
        return self.keeps_tokens

    def open(self, own, attempt=1):
        start = make_start(own, attempt)
        self.work.open_stage(messages.OpenStage(start, own, 3))

    async def settle(self):
        for _ in range(10):
            await asyncio.sleep(0)

    def sent(self, kind):
        return [m for _, m in self.to_agents if isinstance(m, kind)]


def run(scenario):
    """Runs a scenario on a new Bench whose batches run; returns the Bench."""

    async def work():
        bench = Bench()
        running = asyncio.ensure_future(bench.work.run())
        await scenario(bench)
        await bench.settle()
        running.cancel()
        return bench

    return virtual_time.run(work())


class AcceptTest(unittest.TestCase):
    def test_new_work_is_refused_as_not_run(self):
        stale = make_pipeline(SECOND)
        stages = list(stale.stages)
        stages[SECOND] = messages.Stage(
            OWN, "address of own", ids.Incarnation("own-0"), 4, 8
        )
        old_news = make_start(SECOND)
        old_news = messages.StartAttempt(
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
            ("restarted", True, old_news, errors.ErrorKind.NO_BACKEND),
        ):
            with self.subTest(name):

                async def scenario(bench, accepts=accepts, start=start):
                    bench.accepts = accepts
                    bench.work.open_stage(messages.OpenStage(start, SECOND, 3))
                    bench.work.receive_hop(make_hop(0, 3, 4))

                bench = run(scenario)
                self.assertEqual(bench.to_router[0].kind, kind)
                self.assertIs(bench.to_router[0].ran, states.Ran.NOT_RUN)
                self.assertEqual(bench.engine.items, [])
                self.assertEqual(bench.work.in_flight, 0)

    def test_a_cancel_that_overtakes_the_opening_holds(self):
        async def scenario(bench):
            bench.work.cancel(REQUEST, ids.Attempt(1))
            bench.open(SECOND)
            bench.work.receive_hop(make_hop(0, 3, 4))

        bench = run(scenario)
        self.assertEqual(bench.work.in_flight, 0)
        self.assertEqual(bench.engine.items, [])

    def test_a_hop_that_overtakes_the_opening_is_run(self):
        async def scenario(bench):
            bench.work.receive_hop(make_hop(0, 3, 4))
            bench.open(SECOND)

        self.assertEqual(len(run(scenario).engine.items), 1)

    def test_each_position_runs_once(self):
        async def scenario(bench):
            bench.open(SECOND)
            for position, count in ((0, 3), (0, 3), (2, 2), (3, 1)):
                bench.work.receive_hop(make_hop(position, count, 4))

        bench = run(scenario)
        ran = [(i.position, len(i.values)) for i in bench.engine.items]
        self.assertEqual(ran, [(0, 3), (3, 1)])
        self.assertEqual(bench.metrics.total_by_name["hop.duplicate"], 2)

    def test_what_does_not_fit_fails_the_attempt(self):
        for name, hop in (
            ("gap", make_hop(1, 1, 4)),
            ("other layers", make_hop(0, 3, 3)),
        ):
            with self.subTest(name):

                async def scenario(bench, hop=hop):
                    bench.open(SECOND)
                    bench.work.receive_hop(hop)

                bench = run(scenario)
                self.assertEqual(bench.to_router[0].vm, OWN)
                self.assertEqual(bench.engine.released, ["r.1"])


class EngineTest(unittest.TestCase):
    def test_a_failing_engine_does_not_end_the_batches(self):
        def miscount(engine):
            engine.missing = 1

        def fail(engine):
            engine.error = errors.StageFailedError("dead")

        for name, spoil in (("miscount", miscount), ("error", fail)):
            with self.subTest(name):

                async def scenario(bench, spoil=spoil):
                    spoil(bench.engine)
                    bench.open(SECOND)
                    bench.work.receive_hop(make_hop(0, 3, 4))
                    await bench.settle()
                    bench.engine.missing, bench.engine.error = 0, None
                    bench.open(SECOND, attempt=2)
                    bench.work.receive_hop(make_hop(0, 3, 4, attempt=2))

                bench = run(scenario)
                self.assertEqual(len(bench.to_router), 1)
                self.assertEqual(len(bench.sent(messages.HopFrame)), 1)

    def test_a_router_whose_outbox_is_full_loses_its_attempts_only(self):
        async def scenario(bench):
            bench.open(THIRD)
            bench.keeps_tokens = False
            bench.work.receive_hop(make_hop(0, 3, 8))
            await bench.settle()
            self.assertEqual(bench.work.in_flight, 0)
            bench.open(THIRD, attempt=2)

        self.assertEqual(run(scenario).work.in_flight, 1)


class ReplaceTest(unittest.TestCase):
    def test_kept_states_are_sent_to_the_replacement(self):
        async def scenario(bench):
            bench.open(SECOND)
            bench.work.receive_hop(make_hop(0, 3, 4))
            await bench.settle()
            lost = errors.LinkClosedError("lost")
            bench.work.on_peer_lost("address of after", lost)
            bench.work.receive_hop(make_hop(3, 1, 4))
            await bench.settle()
            self.assertEqual(bench.to_router[0].vm, "after")
            bench.to_agents.clear()
            start = make_start(SECOND, 2, released=1, third="new")
            bench.work.replace(
                messages.ReplaceStage(start, ids.Attempt(1), THIRD, SECOND)
            )

        bench = run(scenario)
        (address, opening), (_, frame) = bench.to_agents
        self.assertEqual(address, "address of new")
        self.assertTrue(opening.alone)
        self.assertEqual(opening.positions, 4)
        self.assertEqual(len(frame.hops[0].hidden), 4)
        self.assertEqual(frame.hops[0].attempt, 2)
        self.assertEqual(len(bench.engine.items), 2)

    def test_a_token_run_but_not_released_forbids_another_last_stage(self):
        async def scenario(bench):
            bench.open(SECOND)
            bench.work.receive_hop(make_hop(0, 5, 4))
            await bench.settle()
            start = make_start(SECOND, 2, released=1, third="new")
            bench.work.replace(
                messages.ReplaceStage(start, ids.Attempt(1), THIRD, SECOND)
            )

        bench = run(scenario)
        self.assertIn("not released", bench.to_router[0].detail)
        self.assertEqual(bench.work.in_flight, 0)

    def test_states_over_the_bound_are_not_kept(self):
        async def work():
            bench = Bench(replay_bytes=16)
            running = asyncio.ensure_future(bench.work.run())
            bench.open(SECOND)
            bench.work.receive_hop(make_hop(0, 3, 4))
            await bench.settle()
            start = make_start(SECOND, 2, third="new")
            bench.work.replace(
                messages.ReplaceStage(start, ids.Attempt(1), THIRD, SECOND)
            )
            running.cancel()
            return bench

        bench = virtual_time.run(work())
        self.assertIn("not kept", bench.to_router[0].detail)

    def test_a_new_first_stage_gets_the_last_token_again(self):
        async def scenario(bench):
            bench.open(THIRD)
            bench.work.receive_hop(make_hop(0, 3, 8))
            await bench.settle()
            bench.to_agents.clear()
            start = make_start(THIRD, 2, released=1)
            bench.work.replace(
                messages.ReplaceStage(start, ids.Attempt(1), FIRST, THIRD)
            )

        bench = run(scenario)
        (token,) = bench.sent(messages.NextTokenFrame)[0].tokens
        self.assertEqual((token.position, token.attempt), (3, 2))

    def test_an_agent_that_knows_nothing_says_so(self):
        async def scenario(bench):
            bench.work.replace(
                messages.ReplaceStage(
                    make_start(SECOND, 2), ids.Attempt(1), FIRST, SECOND
                )
            )

        self.assertIn("no matching attempt", run(scenario).to_router[0].detail)

    def test_a_reconnected_router_ends_broken_attempts(self):
        async def scenario(bench):
            bench.open(SECOND)
            held = bench.work.on_router_reconnected(ROUTER)
            self.assertEqual(held, (messages.HeldAttempt(REQUEST, 1),))
            lost = errors.LinkClosedError("lost")
            bench.work.on_peer_lost("address of after", lost)
            self.assertEqual(bench.work.on_router_reconnected(ROUTER), ())

        self.assertEqual(run(scenario).work.in_flight, 0)


if __name__ == "__main__":
    unittest.main()
