"""Tests of pipeline selection."""

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
    """The pipeline selector of one router; VMs in `down` are unavailable."""

    def __init__(self, assignments, links=(), seed=1):
        self.routing = routing.PipelineSelector(random.Random(seed))
        self.routing.set_plan(make_plan(assignments, links=links))
        self.down: set[str] = set()
        self.lookup_count = 0
        self.incarnation_by_vm: dict[str, str] = {}

    def find_runner(self, vm):
        self.lookup_count += 1
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
            find=self.find_runner,
            avoid=frozenset(avoid),
            now=now,
        )

    def start(self, now=0.0, **choice):
        pipeline = self.choose(now, **choice)
        self.routing.request_started(pipeline, now)
        return pipeline

    def count(self, requests, now=0.0, **choice):
        """Starts requests and returns the number sent to each VM."""
        counts: collections.Counter[str] = collections.Counter()
        for _ in range(requests):
            pipeline = self.start(now, **choice)
            counts.update(stage.vm for stage in pipeline.stages)
        return counts

    def report(self, vm, running, now, step=0.01, age=0.0):
        load = messages.LoadReport(running, 0, step, 0.0, 0, age)
        self.routing.record_load(ids.VmId(vm), load, now)


def stage_ranges(pipeline) -> list[tuple[str, int, int]]:
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

    def test_unavailable_stage_is_refused(self):
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

    def test_plan_without_the_last_layers_is_refused(self):
        harness = Harness([assign("a", 0, 3)])
        with self.assertRaises(errors.RefusedError):
            harness.choose()

    def test_unavailable_path_is_replaced_by_an_unplanned_one(self):
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
                found = stage_ranges(harness.choose(10.0))
                end = [("spare", 2, 6)]
                if down == "right":
                    end = [("middle", 2, 4), ("spare", 4, 6)]
                self.assertIn(
                    found,
                    ([("left", 0, 2), *end], [("left", 0, 2), ("spare", 2, 6)]),
                )

    def test_runners_are_avoided_only_while_an_alternative_exists(self):
        harness = Harness(two_stages(2, 2))
        for _ in range(20):
            vms = {s.vm for s in harness.choose(avoid=["a0"]).stages}
            self.assertNotIn("a0", vms)
        vms = {s.vm for s in harness.choose(avoid=["a0", "a1"]).stages}
        self.assertTrue(vms & {"a0", "a1"})

    def test_load_stays_balanced_without_one_failure_domain(self):
        harness = Harness(two_stages(6, 6))
        harness.count(60)
        harness.down = {"a1", "a4", "b1", "b4"}
        counts = harness.count(400, 1.0)
        self.assertFalse(set(counts) & harness.down)
        self.assertLess(max(counts.values()), 400 / 4 * 1.3)

    def test_lookup_count_does_not_grow_with_the_fleet(self):
        lookup_counts = []
        for runners in (8, 800):
            harness = Harness(two_stages(runners, runners))
            harness.count(100)
            lookup_counts.append(harness.lookup_count)
        self.assertEqual(lookup_counts, [200, 200])


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

    def test_report_older_than_own_work_shows_other_load(self):
        harness = Harness(two_stages())
        harness.count(10, 0.0)
        harness.count(80, 3.0)
        # The report dates from 1.0 s, when 10 of this router's requests ran.
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

    def test_ended_requests_release_their_load(self):
        harness = Harness(two_stages())
        pipelines = [harness.start() for _ in range(100)]
        for pipeline in pipelines:
            harness.routing.request_ended(pipeline, None, 1.0)
        counts = harness.count(100, 2.0)
        self.assertEqual(max(counts.values()), 25)


class TrustTest(unittest.TestCase):
    def fail_requests(self, harness, vm, times=3, now=0.0):
        for _ in range(times):
            pipeline = harness.start(now)
            harness.routing.request_ended(pipeline, ids.VmId(vm), now)

    def test_failing_runner_loses_nearly_all_traffic_and_recovers_slowly(self):
        harness = Harness(two_stages())
        self.fail_requests(harness, "a0")
        self.assertLess(harness.count(200, 1.0)["a0"], 10)
        shares = []
        for now in (12.0, 18.0, 24.0, 40.0):
            other = Harness(two_stages())
            self.fail_requests(other, "a0")
            shares.append(other.count(200, now)["a0"])
        self.assertEqual(shares, sorted(shares))
        self.assertLess(shares[0], 20)
        self.assertGreater(shares[-1], 40)

    def test_widespread_failures_leave_most_runners_in_use(self):
        harness = Harness(two_stages(6, 6))
        for vm in [f"a{n}" for n in range(6)] * 2:
            self.fail_requests(harness, vm)
        counts = harness.count(300, 1.0)
        used = [n for n in range(6) if counts[f"a{n}"] > 30]
        # The a and b runners are 12 peers; at most a third is ejected.
        self.assertEqual(len(used), 2)
        self.assertLess(max(counts.values()), 200)

    def test_slow_runner_loses_nearly_all_traffic_within_five_seconds(self):
        harness = Harness(two_stages(6, 6))
        for now in range(5):
            for vm in [f"{s}{n}" for s in "ab" for n in range(6)]:
                step = 0.1 if vm == "a0" else 0.01
                harness.report(vm, 10, float(now), step=step)
        self.assertLessEqual(harness.count(300, 5.0)["a0"], 6)


class JoinTest(unittest.TestCase):
    def test_new_runner_is_ramped_up_gradually(self):
        old = two_stages(4, 4)
        harness = Harness(old)
        harness.count(200, 0.0)
        joined = [*old, assign("a9", 0, 3)]
        harness.routing.set_plan(make_plan(joined, 2))
        first = harness.count(20, 1.0)["a9"]
        self.assertLess(first, 12)
        settled = harness.count(300, 30.0)["a9"]
        self.assertGreater(settled, 60)

    def test_restarted_agent_is_ramped_up_gradually(self):
        harness = Harness(two_stages(4, 4))
        for _ in range(2):
            for pipeline in [harness.start() for _ in range(40)]:
                harness.routing.request_ended(pipeline, None, 0.0)
        harness.incarnation_by_vm["a0"] = "2"
        harness.count(4, 1.0)
        counts = harness.count(100, 2.0)
        self.assertLess(counts["a0"], 14)
        self.assertGreater(harness.count(300, 30.0)["a0"], 80)

    def test_runners_of_the_first_plan_are_not_ramped_up(self):
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
        for name, ((generation, number), expected) in cases.items():
            with self.subTest(name):
                harness = Harness([])
                new = make_plan(two_stages(), 5, 2)
                self.assertTrue(harness.routing.set_plan(new))
                moved = make_plan([assign("x", 0, 6)], generation, number)
                accepted = harness.routing.set_plan(moved)
                self.assertEqual(accepted, expected)
                vms = {s.vm for s in harness.choose().stages}
                self.assertEqual(vms == {"x"}, expected)

    def test_work_in_flight_survives_a_new_plan(self):
        harness = Harness(two_stages())
        pipelines = [harness.start() for _ in range(40)]
        harness.routing.set_plan(make_plan(two_stages(5, 4), 2))
        harness.choose(1.0)
        for pipeline in pipelines:
            harness.routing.request_ended(pipeline, None, 20.0)
        counts = harness.count(100, 40.0)
        self.assertAlmostEqual(counts["a0"], 20, delta=2)

    def test_removed_runner_is_forgotten(self):
        harness = Harness(two_stages(2, 2))
        pipeline = harness.start()
        harness.routing.set_plan(make_plan([assign("x", 0, 6)], 2))
        harness.routing.request_ended(pipeline, None, 1.0)
        harness.report("a0", 5, 1.0)
        self.assertEqual(stage_ranges(harness.choose(2.0)), [("x", 0, 6)])


class LinkTest(unittest.TestCase):
    def test_link_traffic_stays_within_its_limit(self):
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
        # It now holds twice the others' requests, so they also get some.
        counts = harness.count(60, tokens=PROMPT)
        self.assertGreater(counts["a5"], 0)
        self.assertLess(counts["a5"], 30)
        other = tuple(range(500, 600))
        counts = harness.count(100, tokens=other)
        self.assertLess(counts["a5"], 20)

    def test_same_prompt_uses_the_same_path(self):
        harness = Harness(two_stages(8, 8))
        harness.count(160)
        paths = {
            tuple(stage_ranges(harness.choose(tokens=PROMPT)))
            for _ in range(12)
        }
        self.assertLessEqual(len(paths), 3)

    def test_unknown_runner_is_ignored(self):
        harness = Harness(two_stages())
        self.note(harness, "stranger")
        self.assertEqual(harness.routing.prefixes.count_entries(), 0)


if __name__ == "__main__":
    unittest.main()
