import unittest

from nutmeglift import ids
from nutmeglift_gateway import directory
from nutmeglift_gateway import loads
from nutmeglift_gateway import path_costs
from nutmeglift_gateway import path_explanation
from nutmeglift_gateway import path_repair
from nutmeglift_gateway import paths
from tests.gateway import rig

HOME = ids.FailureDomain("a")


def runner(name, domain, start, end, kind="whole"):
    return rig.make_server(
        name,
        domain=ids.FailureDomain(domain),
        kind=kind,
        layers=directory.LayerRange(start, end),
        address=f"{name}:1",
    )


def find(servers, *, tokens=1000.0, load_tracker=None, paces=None):
    finder = paths.PathFinder(
        rig.ENGINE,
        load_tracker or loads.LoadTracker(),
        lambda address: (paces or {}).get(address, 1.0),
    )
    return finder.find(servers, paths.PathRequirements(HOME, tokens))


def parts(path):
    if path is None:
        return None
    return [(p.server.id, p.start, p.end) for p in path.parts]


class FindTest(unittest.TestCase):
    def test_a_runner_that_reported_full_is_skipped_for_a_moment(self):
        load_tracker = loads.LoadTracker()
        load_tracker.record_full(10.0, "x:1")
        servers = [runner("x", "a", 0, 80), runner("y", "b", 0, 80)]
        for now, expected in [(10.1, "y"), (10.4, "x")]:
            with self.subTest(now):
                finder = paths.PathFinder(
                    rig.ENGINE,
                    load_tracker,
                    lambda _: 1.0,
                    frozenset(load_tracker.full(now)),
                )
                path = finder.find(
                    servers, paths.PathRequirements(HOME, 1000.0)
                )
                self.assertEqual(path.first.id, expected)

    def test_released_layers_are_taken_over(self):
        x, y = runner("x", "a", 0, 50), runner("y", "a", 50, 80)
        path = find([x, y])
        kept = runner("y", "a", 70, 80)
        other = runner("z", "a", 50, 80)
        finder = paths.PathFinder(
            rig.ENGINE, loads.LoadTracker(), lambda _: 1.0
        )
        moved = path_repair.repair(
            finder, path, [x, kept, other], paths.PathRequirements(HOME, 1000.0)
        )
        self.assertEqual(parts(moved), [("x", 0, 50), ("z", 50, 80)])

    def test_found_paths(self):
        x = runner("x", "a", 0, 30)
        y = runner("y", "a", 30, 60)
        z = runner("z", "a", 60, 80)
        remote = [runner("p", "b", 0, 40), runner("q", "b", 40, 80)]
        cases = [
            ("a chain", [z, y, x],
             [("x", 0, 30), ("y", 30, 60), ("z", 60, 80)]),
            (
                "ranges that overlap",
                [x, runner("w", "a", 20, 60), z],
                [("x", 0, 30), ("w", 30, 60), ("z", 60, 80)],
            ),
            ("a gap", [x, z], None),
            ("no runners", [], None),
            ("home domain preferred", [x, y, z, *remote],
             [("x", 0, 30), ("y", 30, 60), ("z", 60, 80)]),
            ("another domain if home lacks layers", [x, z, *remote],
             [("p", 0, 40), ("q", 40, 80)]),
            (
                "missing layers from another domain",
                [x, z, runner("p", "b", 25, 70)],
                [("x", 0, 30), ("p", 30, 70), ("z", 70, 80)],
            ),
        ]  # fmt: skip
        for name, servers, expected in cases:
            with self.subTest(name):
                self.assertEqual(parts(find(servers)), expected)

    def test_the_faster_of_two_runners_is_selected(self):
        fast = runner("f", "a", 0, 80, "whole")
        slow = runner("s", "a", 0, 80, "whole-slow")
        self.assertEqual(parts(find([slow, fast])), [("f", 0, 80)])
        slowed = {"f:1": 9.0}
        self.assertEqual(
            parts(find([slow, fast], paces=slowed)), [("s", 0, 80)]
        )

    def test_load_from_all_routers_counts(self):
        one, two = runner("1", "a", 0, 30), runner("2", "a", 0, 30)
        rest = runner("r", "a", 30, 80, "whole")
        load_tracker = loads.LoadTracker()
        load_tracker.record_report(
            0.0, "peer", {"1:1": loads.Load(40, 40, 30000.0)}
        )
        self.assertEqual(
            parts(find([one, two, rest], load_tracker=load_tracker))[0][0], "2"
        )
        load_tracker.expire(10.0)
        self.assertEqual(
            parts(find([one, two, rest], load_tracker=load_tracker))[0][0], "1"
        )

    def test_a_burst_spreads_before_a_failure_domain_is_full(self):
        # A request that waits for memory on a full runner responds late,
        # although the slower failure domain still has capacity.
        servers = [
            runner("a1", "a", 0, 28, "big"), runner("a2", "a", 28, 56, "big"),
            runner("a3", "a", 56, 80, "big"),
            runner("b1", "b", 0, 24, "big"), runner("b2", "b", 24, 48, "big"),
            runner("b3", "b", 48, 64, "big"),
            runner("b4", "b", 64, 80, "whole-slow"),
        ]  # fmt: skip
        load_tracker = loads.LoadTracker()
        share_by_domain = {"a": 0.0, "b": 0.0}
        while max(share_by_domain.values()) < 0.9:
            path = find(servers, load_tracker=load_tracker)
            load_tracker.reserve(path.reservations(1000.0))
            first = path.first
            capacity = rig.ENGINE.token_layer_capacity(
                rig.RUNNER_KINDS["big"], first.layers.count
            )
            share_by_domain[first.domain] = (
                load_tracker.at(first.address).token_layers / capacity
            )
        self.assertGreater(
            min(share_by_domain.values()), path_costs.CROWDING_THRESHOLD_RATIO
        )

    def test_the_expected_step_excludes_the_crowding_cost(self):
        one = runner("1", "a", 0, 80)
        capacity = rig.ENGINE.token_layer_capacity(
            rig.RUNNER_KINDS["whole"], 80
        )
        load_tracker = loads.LoadTracker()
        idle = find([one], load_tracker=load_tracker)
        load_tracker.record_report(
            0.0, "peer", {"1:1": loads.Load(0, 0, capacity * 0.9)}
        )
        crowded = find([one], load_tracker=load_tracker)
        context = capacity * 0.9 / 80 * rig.ENGINE.context_seconds * 2.4
        self.assertAlmostEqual(
            crowded.step_seconds - idle.step_seconds, context
        )
        self.assertGreater(crowded.cost, 2 * idle.cost)

    def test_no_runner_exceeds_its_memory_or_slots(self):
        one, two = runner("1", "a", 0, 28, "big"), runner("2", "a", 28, 56)
        three = runner("3", "a", 56, 80)
        capacity = rig.ENGINE.token_layer_capacity(rig.RUNNER_KINDS["big"], 28)
        cases = [
            ("free", loads.Load(), True),
            ("full memory", loads.Load(1, 0, capacity), False),
            ("full slots", loads.Load(95, 95, 0.0), False),
        ]
        for name, load, has_path in cases:
            with self.subTest(name):
                load_tracker = loads.LoadTracker()
                load_tracker.record_report(0.0, "peer", {"1:1": load})
                path = find([one, two, three], load_tracker=load_tracker)
                self.assertEqual(path is not None, has_path)

    def test_paths_cover_every_layer_once_and_in_order(self):
        rng = rig.make_rng()
        path_count = 0
        for _ in range(300):
            servers = []
            for number in range(rng.randint(3, 14)):
                start = rng.randrange(0, 80, 5)
                servers.append(
                    runner(
                        f"s{number}",
                        rng.choice("abc"),
                        start,
                        min(80, start + rng.randrange(5, 40, 5)),
                        rng.choice(["whole", "whole-slow"]),
                    )
                )
            path = find(servers, tokens=1.0)
            if path is None:
                continue
            path_count += 1
            next_layer = 0
            for part in path.parts:
                self.assertEqual(part.start, next_layer)
                self.assertLessEqual(part.server.layers.start, part.start)
                self.assertLessEqual(part.end, part.server.layers.end)
                next_layer = part.end
            self.assertEqual(next_layer, 80)
            names = [part.server.id for part in path.parts]
            self.assertEqual(len(names), len(set(names)))
        self.assertGreater(path_count, 50)


class ExplainTest(unittest.TestCase):
    def test_explanation_names_what_each_failure_domain_lacks(self):
        servers = [
            runner("a1", "a", 0, 30),
            runner("a2", "a", 40, 80),
            runner("b1", "b", 0, 40, "whole"),
            runner("b2", "b", 40, 80, "whole"),
        ]
        capacity = rig.ENGINE.token_layer_capacity(
            rig.RUNNER_KINDS["whole"], 40
        )
        load_tracker = loads.LoadTracker()
        load_tracker.record_report(
            0.0, "peer", {"b2:1": loads.Load(70, 0, capacity)}
        )
        finder = paths.PathFinder(rig.ENGINE, load_tracker, lambda _: 1.0)
        explanation = path_explanation.explain_by_domain(
            rig.ENGINE,
            load_tracker,
            finder,
            servers,
            paths.PathRequirements(HOME, 900.0),
        )
        self.assertEqual(
            explanation,
            "a: nobody holds layers 30-40 (2 runners); b: no room on layers"
            f" 40-80 for 900 tokens: b2:1 holds {capacity / 40:.0f} of"
            f" {capacity / 40:.0f} in 70",
        )


class RepairTest(unittest.TestCase):
    def setUp(self):
        self.x = runner("x", "a", 0, 30)
        self.y = runner("y", "a", 30, 60)
        self.z = runner("z", "a", 60, 80)
        self.path = find([self.x, self.y, self.z])
        self.path_finder = paths.PathFinder(
            rig.ENGINE, loads.LoadTracker(), lambda address: 1.0
        )

    def repair(self, servers):
        return parts(
            path_repair.repair(
                self.path_finder,
                self.path,
                servers,
                paths.PathRequirements(HOME, 10.0),
            )
        )

    def test_repairs(self):
        wide = runner("w", "b", 20, 70)
        left, right = runner("l", "b", 30, 40), runner("r", "c", 35, 64)
        cases = [
            ("one replacement", [self.x, self.z, wide],
             [("x", 0, 30), ("w", 30, 60), ("z", 60, 80)]),
            ("a chain of replacements", [self.x, self.z, left, right],
             [("x", 0, 30), ("l", 30, 40), ("r", 40, 60), ("z", 60, 80)]),
            ("no holder", [self.x, self.z, left], None),
            ("the first is lost", [self.y, self.z, wide], None),
            ("nothing is lost", [self.x, self.y, self.z],
             [("x", 0, 30), ("y", 30, 60), ("z", 60, 80)]),
        ]  # fmt: skip
        for name, servers, expected in cases:
            with self.subTest(name):
                self.assertEqual(self.repair(servers), expected)


class LoadTrackerTest(unittest.TestCase):
    def test_what_is_reserved_is_released(self):
        load_tracker = loads.LoadTracker()
        path = find([runner("x", "a", 0, 50), runner("y", "a", 50, 80)])
        reserved = path.reservations(100.0)
        load_tracker.reserve(reserved)
        self.assertEqual(load_tracker.at("x:1"), loads.Load(1, 1, 5000.0))
        self.assertEqual(load_tracker.at("y:1"), loads.Load(1, 0, 3000.0))
        load_tracker.record_report(0.0, "peer", {"x:1": loads.Load(2, 2, 10.0)})
        self.assertEqual(load_tracker.at("x:1"), loads.Load(3, 3, 5010.0))
        load_tracker.release(reserved)
        self.assertEqual(load_tracker.at("x:1"), loads.Load(2, 2, 10.0))
        self.assertEqual(load_tracker.own(), {})


if __name__ == "__main__":
    unittest.main()
