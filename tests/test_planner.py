"""Tests of the planner and its flow computation."""

import random
import unittest

import networkx as nx

from nutmeglift import declaration
from nutmeglift import flow
from nutmeglift import ids
from nutmeglift import placement
from nutmeglift import plan
from nutmeglift import planner
from tests import utils

RUNNER_CLASSES = (
    ("a", 25_000, 9),
    ("b", 12_000, 6),
    ("c", 5_000, 4),
    ("d", 2_000, 3),
)
LAYERS = 24


def make_runners(count: int, seed: int = 1) -> list[planner.Runner]:
    rng = random.Random(seed)
    runners = []
    for index in range(count):
        name, rate, layers = rng.choice(RUNNER_CLASSES)
        runners.append(
            planner.Runner(
                ids.VmId(f"runner-{index:03d}"),
                utils.DOMAINS[index % 3],
                rate,
                layers * 2500,
                name,
            )
        )
    return runners


def declare(versions=(("m", "v1", 1.0),), links=()) -> declaration.Declaration:
    by_model: dict[str, list[str]] = {}
    for model, version, _ in versions:
        by_model.setdefault(model, []).append(version)
    return declaration.Declaration(
        models=tuple(
            declaration.Model(
                id=model,
                layers=LAYERS,
                layer_bytes=1000,
                hidden_bytes=1000,
                versions=tuple(declaration.Version(id=v) for v in names),
            )
            for model, names in by_model.items()
        ),
        routes=tuple(
            declaration.Route(
                id=f"{model}-{version}",
                model=model,
                version=version,
                demand=demand,
            )
            for model, version, demand in versions
        ),
        links=links,
    )


def model_throughput(
    new_plan: plan.Plan, model: str = "m", version: str = "v1"
) -> float:
    return sum(
        entry.tokens_per_second
        for a in new_plan.assignments
        if (a.model, a.version) == (model, version)
        for entry in a.entries
        if entry.layer == 0
    )


def throughput_bound(runners: list[planner.Runner]) -> float:
    return flow.throughput_upper_bound(
        [r.layer_positions_per_second for r in runners],
        [r.memory_bytes // 2500 for r in runners],
        LAYERS,
    )


def domains_by_layer(new_plan: plan.Plan, without: str = "") -> list[set[str]]:
    domains: list[set[str]] = [set() for _ in range(LAYERS)]
    for a in new_plan.assignments:
        for layer in range(a.first_layer, a.end_layer):
            if a.failure_domain != without:
                domains[layer].add(a.failure_domain)
    return domains


class FlowTest(unittest.TestCase):
    def test_aligned_ranges_match_the_max_flow_of_networkx(self):
        for seed in range(12):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                graph = nx.DiGraph()
                holders = []
                for index in range(14):
                    # Ranges are equal or disjoint: none ends inside another.
                    first = rng.choice((0, 4, 8))
                    holders.append(
                        flow.RangeHolder(
                            ids.VmId(f"r{index}"),
                            utils.DOMAINS[index % 3],
                            float(rng.randint(1, 9) * 40),
                            first,
                            first + 4,
                        )
                    )
                for h in holders:
                    graph.add_edge(("in", h.first_layer), h.vm)
                    share = h.layer_positions_per_second / 4
                    graph.add_edge(h.vm, ("in", h.end_layer), capacity=share)
                graph.add_nodes_from([("in", 0), ("in", 12)])
                expected, _ = nx.maximum_flow(graph, ("in", 0), ("in", 12))
                found = flow.max_flow(holders, 12, {})
                self.assertAlmostEqual(found.tokens_per_second, expected)

    def test_max_flow_of_known_cases(self):
        near, far = utils.DOMAINS[:2]

        def make_holder(vm, domain, rate, first, end):
            return flow.RangeHolder(ids.VmId(vm), domain, rate, first, end)

        cases = {
            "no holder": ([], {}, 0.0),
            "layer without a holder": (
                [
                    make_holder("a", near, 100, 0, 4),
                    make_holder("b", near, 100, 6, 10),
                ],
                {},
                0.0,
            ),
            "entry inside a range": (
                [
                    make_holder("a", near, 80, 0, 8),
                    make_holder("b", near, 60, 4, 10),
                ],
                {},
                10.0,
            ),
            "slow link": (
                [
                    make_holder("a", near, 100, 0, 5),
                    make_holder("b", far, 100, 5, 10),
                ],
                {(near, far): 3.0},
                3.0,
            ),
            "slow link with an alternative path": (
                [
                    make_holder("a", near, 100, 0, 5),
                    make_holder("b", far, 100, 5, 10),
                    make_holder("c", near, 50, 5, 10),
                ],
                {(near, far): 3.0},
                13.0,
            ),
        }
        for name, (holders, limits, expected) in cases.items():
            with self.subTest(name):
                found = flow.max_flow(holders, 10, limits)
                self.assertAlmostEqual(found.tokens_per_second, expected)

    def test_inflow_stays_within_each_runners_speed(self):
        runners = make_runners(30)
        new_plan = planner.make_plan(runners, declare(), plan.Plan())
        rate_by_vm = {r.vm: r.layer_positions_per_second for r in runners}
        for a in new_plan.assignments:
            work = sum(
                e.tokens_per_second * (a.end_layer - e.layer) for e in a.entries
            )
            self.assertLessEqual(work, rate_by_vm[a.vm] * (1 + 1e-6))


class PlannerTest(unittest.TestCase):
    def test_mixed_fleets_nearly_reach_the_throughput_bound(self):
        for count, seed in ((12, 1), (20, 2), (40, 3), (40, 4), (40, 5)):
            with self.subTest(count=count, seed=seed):
                runners = make_runners(count, seed)
                new_plan = planner.make_plan(runners, declare(), plan.Plan())
                self.assertGreater(
                    model_throughput(new_plan), 0.9 * throughput_bound(runners)
                )

    def test_ranges_respect_memory(self):
        runners = make_runners(40)
        new_plan = planner.make_plan(runners, declare(), plan.Plan())
        memory_by_vm = {r.vm: r.memory_bytes for r in runners}
        for a in new_plan.assignments:
            used = (a.end_layer - a.first_layer) * 1000
            self.assertLessEqual(used, memory_by_vm[a.vm])

    def test_every_layer_survives_the_loss_of_any_failure_domain(self):
        new_plan = planner.make_plan(make_runners(24), declare(), plan.Plan())
        for lost in utils.DOMAINS:
            with self.subTest(lost=lost):
                self.assertTrue(all(domains_by_layer(new_plan, lost)))

    def test_same_input_gives_the_same_plan(self):
        runners = make_runners(24)
        new_plan = planner.make_plan(runners, declare(), plan.Plan())
        again = planner.make_plan(runners[::-1], declare(), plan.Plan())
        self.assertEqual(new_plan, again)

    def test_few_layers_move_when_the_fleet_changes(self):
        runners = make_runners(40)
        old = planner.make_plan(runners, declare(), plan.Plan())
        cases = {
            "same": (runners, 0),
            "one lost": (runners[:-1], 10),
            "three lost": (runners[3:], 20),
            "four joined": (make_runners(44), 4 * 9),
        }
        for name, (changed, max_moved) in cases.items():
            with self.subTest(name):
                new = planner.make_plan(changed, declare(), old)
                moved = planner.count_moved_layers(old, new)
                self.assertLessEqual(moved, max_moved)
                self.assertGreater(
                    model_throughput(new), 0.85 * throughput_bound(changed)
                )

    def test_versions_share_the_fleet_by_demand(self):
        versions = (("m", "v1", 3.0), ("n", "v1", 1.0))
        runners = make_runners(40)
        new_plan = planner.make_plan(runners, declare(versions), plan.Plan())
        bound = throughput_bound(runners)
        self.assertGreater(model_throughput(new_plan, "m"), 0.8 * 0.75 * bound)
        self.assertGreater(model_throughput(new_plan, "n"), 0.8 * 0.25 * bound)

    def test_few_runners_hold_several_versions(self):
        versions = (("m", "v1", 1.0), ("m", "v2", 1.0))
        runners = [
            planner.Runner(ids.VmId(f"r{n}"), utils.DOMAINS[n], 100, 30_000)
            for n in range(3)
        ]
        new_plan = planner.make_plan(runners, declare(versions), plan.Plan())
        for version in ("v1", "v2"):
            self.assertGreater(model_throughput(new_plan, "m", version), 0)
        used: dict[str, int] = {}
        for a in new_plan.assignments:
            layers = a.end_layer - a.first_layer
            used[a.vm] = used.get(a.vm, 0) + layers * 1000
        self.assertLessEqual(max(used.values()), 30_000)

    def test_new_version_gets_runners_by_its_demand(self):
        runners = make_runners(40)
        old = planner.make_plan(runners, declare(), plan.Plan())
        versions = (("m", "v1", 0.9), ("m", "v2", 0.1))
        new = planner.make_plan(runners, declare(versions), old)
        self.assertGreater(model_throughput(new, "m", "v2"), 0)
        self.assertGreater(
            model_throughput(new, "m", "v1"), 0.7 * throughput_bound(runners)
        )
        kept = {a.vm for a in new.assignments if a.version == "v1"}
        self.assertGreaterEqual(len(kept), 28)

    def test_nothing_to_place(self):
        cases = {
            "no runner": ([], declare()),
            "no route": (make_runners(4), declaration.Declaration()),
            "too little memory": (make_runners(1), declare()),
        }
        for name, (runners, declared) in cases.items():
            with self.subTest(name):
                new_plan = planner.make_plan(runners, declared, plan.Plan())
                self.assertEqual(model_throughput(new_plan), 0.0)
                self.assertEqual(new_plan.generation, 1)

    def test_slow_links_are_avoided(self):
        links = tuple(
            declaration.DomainLink(
                between=(first, second),
                bytes_per_second=1e9 if first == second else 1e5,
                latency_seconds=0.0005,
            )
            for first in utils.DOMAINS
            for second in utils.DOMAINS
        )
        runners = make_runners(40)
        declared = declare(links=links)
        new_plan = planner.make_plan(runners, declared, plan.Plan())
        self.assertGreater(
            model_throughput(new_plan), 0.7 * throughput_bound(runners)
        )
        self.assertEqual(
            {link.tokens_per_second for link in new_plan.links}, {1e6, 1e2}
        )


class RangeTest(unittest.TestCase):
    def test_count_missing(self):
        held = placement.Range(4, 8)
        cases = {(4, 8): 0, (0, 4): 4, (6, 10): 2, (2, 12): 6, (5, 6): 0}
        for (first, end), expected in cases.items():
            with self.subTest(first=first, end=end):
                new = placement.Range(first, end)
                self.assertEqual(new.count_missing_from(held), expected)


if __name__ == "__main__":
    unittest.main()
