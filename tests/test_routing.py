import collections
import random
import unittest

from nutmeglift import control_messages
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import plan
from nutmeglift import prefix_index
from nutmeglift import routing
from tests import utils

LAYERS = 6
PROMPT = tuple(range(4 * prefix_index.BLOCK_TOKENS))


def assign(vm, first, end, flow=100.0, entries=(), domain=0, kind="a"):
    return plan.Assignment(
        ids.VmId(vm),
        utils.MODEL,
        utils.VERSION,
        first,
        end,
        flow,
        tuple(plan.Entry(*entry) for entry in entries),
        utils.DOMAINS[domain],
        kind,
    )


def two_stages(first: int = 4, second: int = 4) -> list[plan.Assignment]:
    return [assign(f"a{n}", 0, 3, domain=n % 3) for n in range(first)] + [
        assign(f"b{n}", 3, LAYERS, domain=n % 3) for n in range(second)
    ]


def make_plan(assignments, generation=1, fencing_number=0, links=()):
    return plan.Plan(
        generation,
        ids.FencingNumber(fencing_number),
        tuple(assignments),
        links,
        {utils.MODEL: LAYERS},
    )


class Harness:
    """One router's decisions, with every VM up but the named ones."""

    def __init__(self, assignments, links=(), seed=1):
        self.routing = routing.PipelineSelector(random.Random(seed))
        self.routing.set_plan(make_plan(assignments, links=links))
        self.down: set[str] = set()
        self.finds = 0
        self.incarnation_by_vm: dict[str, str] = {}

    def find(self, vm):
        self.finds += 1
        if vm in self.down:
            return None
        incarnation = ids.Incarnation(self.incarnation_by_vm.get(vm, "1"))
        return routing.AvailableRunner(
            vm, f"{vm}:1", incarnation, utils.DOMAINS[0]
        )

    def choose(self, now=0.0, tokens=(), avoid=()):
        return self.routing.choose(
            utils.MODEL,
            utils.VERSION,
            None,
            tokens=tokens,
            find=self.find,
            avoid=frozenset(avoid),
            now=now,
        )

    def start(self, now=0.0, **choice):
        pipeline = self.choose(now, **choice)
        self.routing.request_started(pipeline, now)
        return pipeline

    def count(self, requests, now=0.0, **choice):
        """Starts requests and returns how many went to each VM."""
        counts: collections.Counter[str] = collections.Counter()
        for _ in range(requests):
            pipeline = self.start(now, **choice)
            counts.update(stage.vm for stage in pipeline.stages)
        return counts

    def report(self, vm, running, now, step=0.01, age=0.0):
        load = messages.LoadReport(running, 0, step, 0.0, 0, age)
        self.routing.record_load(ids.VmId(vm), load, now)


def ways(pipeline) -> list[tuple[str, int, int]]:
    return [(s.vm, s.first_layer, s.end_layer) for s in pipeline.stages]


class ChooseTest(unittest.TestCase):
    def test_every_layer_runs_once_in_order(self):
        assignments = [
            assign("whole", 0, 6, 50.0),
            assign("left", 0, 4, 50.0),
            assign("right", 2, 6, 50.0, entries=((4, 50.0),)),
        ]
        harness = Harness(assignments)
        for _ in range(50):
            layer = 0
            for stage in harness.start().stages:
                self.assertEqual(stage.first_layer, layer)
                layer = stage.end_layer
            self.assertEqual(layer, LAYERS)

    def test_shares_follow_the_plan(self):
        assignments = [
            assign("fast", 0, 6, 300.0),
            assign("slow", 0, 6, 100.0),
        ]
        counts = Harness(assignments).count(400)
        self.assertAlmostEqual(counts["fast"] / 400, 0.75, delta=0.02)

    def test_entries_follow_the_plan(self):
        assignments = [
            assign("left", 0, 3, 100.0),
            assign("other", 0, 3, 100.0),
            assign("whole", 0, 6, 200.0, entries=((0, 100.0), (3, 100.0))),
            assign("right", 3, 6, 100.0),
        ]
        harness = Harness(assignments)
        entered: collections.Counter[tuple[str, int]] = collections.Counter()
        for _ in range(600):
            entered.update(
                (s.vm, s.first_layer) for s in harness.start().stages
            )
        for entry in (("whole", 0), ("whole", 3), ("right", 3), ("left", 0)):
            self.assertAlmostEqual(entered[entry] / 600, 1 / 3, delta=0.06)

    def test_refusals(self):
        cases = {
            "first stage down": {"a0", "a1"},
            "last stage down": {"b0", "b1"},
        }
        for name, down in cases.items():
            with self.subTest(name):
                harness = Harness(two_stages(2, 2))
                harness.down = down
                with self.assertRaises(errors.RefusedError) as refused:
                    harness.choose()
                kind = refused.exception.kind
                self.assertEqual(kind, errors.ErrorKind.NO_BACKEND)

    def test_plan_that_lacks_the_last_layers_is_refused(self):
        harness = Harness([assign("a", 0, 3)])
        with self.assertRaises(errors.RefusedError):
            harness.choose()

    def test_broken_way_is_left_for_one_that_is_not_planned(self):
        assignments = [
            assign("left", 0, 2),
            assign("middle", 2, 4),
            assign("right", 4, 6),
            assign("spare", 1, 6, 0.0),
        ]
        for down in ("middle", "right"):
            with self.subTest(down=down):
                harness = Harness(assignments)
                self.assertNotIn("spare", harness.count(10))
                harness.down = {down}
                found = ways(harness.choose(10.0))
                end = [("spare", 2, 6)]
                if down == "right":
                    end = [("middle", 2, 4), ("spare", 4, 6)]
                self.assertIn(
                    found,
                    ([("left", 0, 2), *end], [("left", 0, 2), ("spare", 2, 6)]),
                )

    def test_avoided_only_while_there_is_another_way(self):
        harness = Harness(two_stages(2, 2))
        for _ in range(20):
            vms = {s.vm for s in harness.choose(avoid=["a0"]).stages}
            self.assertNotIn("a0", vms)
        vms = {s.vm for s in harness.choose(avoid=["a0", "a1"]).stages}
        self.assertTrue(vms & {"a0", "a1"})

    def test_one_failure_domain_lost(self):
        harness = Harness(two_stages(6, 6))
        harness.count(60)
        harness.down = {"a1", "a4", "b1", "b4"}
        counts = harness.count(400, 1.0)
        self.assertFalse(set(counts) & harness.down)
        self.assertLess(max(counts.values()), 400 / 4 * 1.3)

    def test_cost_does_not_grow_with_the_fleet(self):
        finds = []
        for runners in (8, 800):
            harness = Harness(two_stages(runners, runners))
            harness.count(100)
            finds.append(harness.finds)
        self.assertEqual(finds, [200, 200])


class LoadTest(unittest.TestCase):
    def test_no_herding_on_a_stale_report(self):
        cases = {"fresh": 0.0, "two seconds old": 2.0}
        for name, age in cases.items():
            with self.subTest(name):
                harness = Harness(two_stages())
                for now in range(6):
                    for n in range(4):
                        running = 0 if n == 0 else 30
                        harness.report(f"a{n}", running, float(now), age=age)
                counts = harness.count(200, 5.0)
                self.assertLess(counts["a0"], 110)
                self.assertGreater(min(counts.values()), 20)

    def test_own_work_is_not_counted_twice(self):
        harness = Harness(two_stages())
        counts = harness.count(80, 0.0)
        for _ in range(6):
            harness.report("a0", counts["a0"], 1.0)
        more = harness.count(80, 1.1)
        for vm, running in more.items():
            self.assertAlmostEqual(running, counts[vm], delta=3)

    def test_report_that_is_older_than_own_work_shows_others(self):
        harness = Harness(two_stages())
        harness.count(10, 0.0)
        harness.count(80, 3.0)
        # Measured at 1.0, when 10 of the own requests ran.
        for _ in range(6):
            harness.report("a0", 0, 3.0, age=2.0)
        counts = harness.count(40, 3.1)
        self.assertAlmostEqual(counts["a0"], 10, delta=3)

    def test_old_report_loses_its_weight(self):
        harness = Harness(two_stages())
        for now in range(5):
            harness.report("a0", 500, float(now))
        self.assertEqual(harness.count(40, 4.5)["a0"], 0)
        self.assertGreater(harness.count(400, 40.0)["a0"], 80)

    def test_ended_work_is_given_back(self):
        harness = Harness(two_stages())
        pipelines = [harness.start() for _ in range(100)]
        for pipeline in pipelines:
            harness.routing.request_ended(pipeline, None, 1.0)
        counts = harness.count(100, 2.0)
        self.assertEqual(max(counts.values()), 25)


class TrustTest(unittest.TestCase):
    def fail(self, harness, vm, times=3, now=0.0):
        for _ in range(times):
            pipeline = harness.start(now)
            harness.routing.request_ended(pipeline, ids.VmId(vm), now)

    def test_failing_runner_loses_nearly_all_and_returns_slowly(self):
        harness = Harness(two_stages())
        self.fail(harness, "a0")
        self.assertLess(harness.count(200, 1.0)["a0"], 10)
        shares = []
        for now in (12.0, 18.0, 24.0, 40.0):
            other = Harness(two_stages())
            self.fail(other, "a0")
            shares.append(other.count(200, now)["a0"])
        self.assertEqual(shares, sorted(shares))
        self.assertLess(shares[0], 20)
        self.assertGreater(shares[-1], 40)

    def test_storm_of_failures_leaves_most_runners_in_use(self):
        harness = Harness(two_stages(6, 6))
        for vm in [f"a{n}" for n in range(6)] * 2:
            self.fail(harness, vm)
        counts = harness.count(300, 1.0)
        used = [n for n in range(6) if counts[f"a{n}"] > 30]
        # a and b are peers of one class: a third of twelve.
        self.assertEqual(len(used), 2)
        self.assertLess(max(counts.values()), 200)

    def test_slow_stage_loses_nearly_all_within_five_seconds(self):
        harness = Harness(two_stages(6, 6))
        for now in range(5):
            for vm in [f"{s}{n}" for s in "ab" for n in range(6)]:
                step = 0.1 if vm == "a0" else 0.01
                harness.report(vm, 10, float(now), step=step)
        self.assertLessEqual(harness.count(300, 5.0)["a0"], 6)


class JoinTest(unittest.TestCase):
    def test_no_rush_on_a_joiner(self):
        old = two_stages(4, 4)
        harness = Harness(old)
        harness.count(200, 0.0)
        joined = [*old, assign("a9", 0, 3)]
        harness.routing.set_plan(make_plan(joined, 2))
        first = harness.count(20, 1.0)["a9"]
        self.assertLess(first, 12)
        settled = harness.count(300, 30.0)["a9"]
        self.assertGreater(settled, 60)

    def test_no_rush_on_a_restarted_agent(self):
        harness = Harness(two_stages(4, 4))
        for _ in range(2):
            for pipeline in [harness.start() for _ in range(40)]:
                harness.routing.request_ended(pipeline, None, 0.0)
        harness.incarnation_by_vm["a0"] = "2"
        harness.count(4, 1.0)
        counts = harness.count(100, 2.0)
        self.assertLess(counts["a0"], 14)
        self.assertGreater(harness.count(300, 30.0)["a0"], 80)

    def test_first_plan_has_no_joiners(self):
        counts = Harness(two_stages(4, 4)).count(100)
        self.assertEqual(max(counts.values()), 25)


class PlanTest(unittest.TestCase):
    def test_older_plan_never_replaces_a_newer_one(self):
        cases = {
            "older generation": ((4, 2), False),
            "same again": ((5, 2), True),
            "newer generation": ((6, 2), True),
            "stale planner": ((9, 1), False),
            "new planner": ((1, 3), True),
        }
        for name, ((generation, number), wanted) in cases.items():
            with self.subTest(name):
                harness = Harness([])
                new = make_plan(two_stages(), 5, 2)
                self.assertTrue(harness.routing.set_plan(new))
                moved = make_plan([assign("x", 0, 6)], generation, number)
                taken = harness.routing.set_plan(moved)
                self.assertEqual(taken, wanted)
                vms = {s.vm for s in harness.choose().stages}
                self.assertEqual(vms == {"x"}, wanted)

    def test_work_in_flight_survives_a_new_plan(self):
        harness = Harness(two_stages())
        pipelines = [harness.start() for _ in range(40)]
        harness.routing.set_plan(make_plan(two_stages(5, 4), 2))
        harness.choose(1.0)
        for pipeline in pipelines:
            harness.routing.request_ended(pipeline, None, 20.0)
        counts = harness.count(100, 40.0)
        self.assertAlmostEqual(counts["a0"], 20, delta=2)

    def test_runner_that_left_is_forgotten(self):
        harness = Harness(two_stages(2, 2))
        pipeline = harness.start()
        harness.routing.set_plan(make_plan([assign("x", 0, 6)], 2))
        harness.routing.request_ended(pipeline, None, 1.0)
        harness.report("a0", 5, 1.0)
        self.assertEqual(ways(harness.choose(2.0)), [("x", 0, 6)])


class LinkTest(unittest.TestCase):
    def test_tight_link_gets_no_more_than_it_carries(self):
        near, far = utils.DOMAINS[:2]
        assignments = [
            assign("a", 0, 3, 100.0),
            assign("near", 3, 6, 50.0),
            assign("far", 3, 6, 50.0, domain=1),
        ]
        for limit, most in ((10.0, 0.2), (1000.0, 0.55)):
            with self.subTest(limit=limit):
                link = plan.LinkLimit(utils.MODEL, near, far, limit, 0.0)
                counts = Harness(assignments, (link,)).count(300)
                self.assertLess(counts["far"] / 300, most)
                self.assertGreater(counts["far"] / 300, most / 3)


class AffinityTest(unittest.TestCase):
    def note(self, harness, vm, first=1, tokens=PROMPT):
        events = tuple(
            control_messages.CacheEvent(block, True)
            for block in prefix_index.hash_prefix_blocks(tokens)
        )
        harness.routing.record_cache_events(
            ids.VmId(vm), control_messages.CacheEvents(first, events), 0.0
        )

    def test_cached_prefix_attracts_up_to_a_bounded_load(self):
        harness = Harness(two_stages(8, 8))
        harness.count(80)
        self.note(harness, "a5")
        counts = harness.count(6, tokens=PROMPT)
        self.assertEqual(counts["a5"], 6)
        # Then it holds twice the others' requests, and they get some too.
        counts = harness.count(60, tokens=PROMPT)
        self.assertGreater(counts["a5"], 0)
        self.assertLess(counts["a5"], 30)
        other = tuple(range(500, 600))
        counts = harness.count(100, tokens=other)
        self.assertLess(counts["a5"], 20)

    def test_same_prompt_goes_the_same_way_again(self):
        harness = Harness(two_stages(8, 8))
        harness.count(160)
        ways_taken = {
            tuple(ways(harness.choose(tokens=PROMPT))) for _ in range(12)
        }
        self.assertLessEqual(len(ways_taken), 3)

    def test_unknown_runner_is_ignored(self):
        harness = Harness(two_stages())
        self.note(harness, "stranger")
        self.assertEqual(harness.routing.prefixes.count_entries(), 0)


if __name__ == "__main__":
    unittest.main()
