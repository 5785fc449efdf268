import dataclasses
import unittest

from nutmeglift import ids
from nutmeglift_gateway import directory
from nutmeglift_gateway import layer_planner
from nutmeglift_gateway import loads
from nutmeglift_gateway import paths
from nutmeglift_gateway import runner_group
from tests.gateway import rig

COUNTS = {
    "a": {"big": 1, "mid": 10, "slow": 4},
    "b": {"big": 2, "mid": 4, "slow": 4},
    "c": {"big": 1, "mid": 6, "slow": 6},
}
GROWN_COUNTS = {
    "a": {"big": 1, "mid": 14, "slow": 5},
    "b": {"big": 3, "mid": 6, "slow": 7},
    "c": {"big": 1, "mid": 9, "slow": 10},
}
TYPICAL_RESPONSE_TOKENS = 216
"""Response tokens of a typical request, as the engine's service declares it."""
TYPICAL_RESERVED_TOKENS = 883.0
"""Tokens reserved by a typical request: its prompt and half its response."""
PLANNER = layer_planner.LayerPlanner(rig.ENGINE)


def make_holdings(counts=None):
    return [
        runner_group.Holding(server, directory.NO_LAYERS, True, False)
        for server in rig.make_runners(COUNTS if counts is None else counts)
    ]


def apply_moves(holdings, moves):
    target_by_id = {move.server.id: move.layers for move in moves}
    return [
        dataclasses.replace(
            holding,
            layers=target_by_id.get(holding.server.id, holding.layers),
        )
        for holding in holdings
    ]


def mark_lost(holdings, lost):
    return [
        dataclasses.replace(holding, usable=False)
        if holding.server.id in lost
        else holding
        for holding in holdings
    ]


def missing_layers(holdings, domain=None):
    held = set()
    for holding in holdings:
        if holding.usable and domain in (None, holding.server.domain):
            held |= set(range(holding.layers.start, holding.layers.end))
    return set(range(rig.ENGINE.layers)) - held


def place_initially():
    holdings = make_holdings()
    return apply_moves(holdings, PLANNER.plan(holdings, starting=True))


class StartTest(unittest.TestCase):
    def test_every_domain_holds_a_copy(self):
        holdings = place_initially()
        for domain in COUNTS:
            with self.subTest(domain):
                self.assertEqual(missing_layers(holdings, domain), set())

    def test_no_runner_is_assigned_more_than_its_memory(self):
        for holding in place_initially():
            with self.subTest(holding.server.id):
                kind = rig.RUNNER_KINDS[holding.server.kind]
                self.assertLessEqual(
                    holding.layers.count * rig.ENGINE.layer_mb, kind.memory_mb
                )
                self.assertGreater(holding.layers.count, 0)

    def test_a_completed_plan_needs_no_further_moves(self):
        self.assertEqual(PLANNER.plan(place_initially(), starting=False), [])

    def test_small_domains_share_a_copy(self):
        holdings = make_holdings(
            {"a": {"big": 1}, "b": {"big": 1}, "c": {"big": 1, "mid": 2}}
        )
        holdings = apply_moves(holdings, PLANNER.plan(holdings, starting=True))
        self.assertEqual(missing_layers(holdings), set())

    def test_too_little_memory_is_used_as_far_as_it_goes(self):
        holdings = make_holdings({"a": {"big": 1, "mid": 2}})
        moves = PLANNER.plan(holdings, starting=True)
        self.assertEqual(len(moves), 3)

    def test_nothing_to_plan(self):
        self.assertEqual(PLANNER.plan([], starting=True), [])


class TokenCapacityTest(unittest.TestCase):
    def test_groups_with_more_memory_get_more_token_capacity(self):
        small = [rig.RUNNER_KINDS["big"]] + [rig.RUNNER_KINDS["mid"]] * 10
        small += [rig.RUNNER_KINDS["slow"]] * 4
        large = small + [rig.RUNNER_KINDS["mid"]] * 6
        capacities = [
            runner_group.choose_token_capacity(rig.ENGINE, kinds)
            for kinds in (small[:8], small, large, large * 2)
        ]
        self.assertEqual(capacities, sorted(capacities))
        self.assertGreater(capacities[-1], capacities[0])

    def test_a_copy_and_spare_layers_are_still_held(self):
        for extra in range(0, 20, 2):
            with self.subTest(extra):
                kinds = [rig.RUNNER_KINDS["big"]] + [
                    rig.RUNNER_KINDS["mid"]
                ] * (12 + extra)
                tokens = runner_group.choose_token_capacity(rig.ENGINE, kinds)
                held = sum(
                    rig.ENGINE.max_layers_with_capacity(kind, tokens)
                    for kind in kinds
                )
                self.assertGreaterEqual(held, rig.ENGINE.layers)

    def test_a_deployment_sustains_its_load(self):
        """Fills each failure domain with typical requests up to its memory."""
        cases = [
            # The usual load times the operators' stated burst factor.
            ("42 runners", COUNTS, 45 * 1.7),
            ("56 runners", GROWN_COUNTS, 109.5),
        ]
        for name, counts, needed in cases:
            with self.subTest(name):
                rate = sum(
                    sustained_rate(fill_domain(domain_counts))
                    for domain_counts in counts.values()
                )
                self.assertGreaterEqual(rate, needed)

    def test_a_larger_group_sustains_more_requests(self):
        """Requires what a layout with slow runners holding more layers reached.

        That layout had capacity for 100,000 tokens; it sustained 30.7
        requests per second at 16.7 ms per step.
        """
        steps = fill_domain(GROWN_COUNTS["a"])
        self.assertGreaterEqual(sustained_rate(steps), 30.7)
        self.assertLessEqual(sum(steps) / len(steps), 0.0167)


def sustained_rate(steps):
    """Returns completed requests per second, given each one's step in s."""
    return sum(1 / (TYPICAL_RESPONSE_TOKENS * step) for step in steps)


def fill_domain(counts):
    """Fills a failure domain; returns the step in s of each request on it."""
    holdings = make_holdings({"a": counts})
    holdings = apply_moves(holdings, PLANNER.plan(holdings, starting=True))
    servers = [dataclasses.replace(h.server, layers=h.layers) for h in holdings]
    load_tracker = loads.LoadTracker()
    finder = paths.PathFinder(rig.ENGINE, load_tracker, lambda _: 1.0)
    requirements = paths.PathRequirements(
        ids.FailureDomain("a"), TYPICAL_RESERVED_TOKENS
    )
    chosen_paths = []
    while path := finder.find(servers, requirements):
        chosen_paths.append(path)
        load_tracker.reserve(path.reservations(TYPICAL_RESERVED_TOKENS))
    return [
        sum(
            (part.end - part.start) * finder.costs.layer_seconds(part.server)
            for part in path.parts
        )
        for path in chosen_paths
    ]


class LossTest(unittest.TestCase):
    def test_lost_layers_are_covered_in_their_domain(self):
        cases = [
            ["a-mid-3"],
            ["a-big-0"],
            ["b-big-0"],
            ["b-big-1"],
            ["c-mid-2", "c-mid-3"],
            ["c-big-0", "c-mid-0"],
            ["a-mid-1", "b-mid-1", "c-mid-1"],
        ]
        for lost in cases:
            with self.subTest(lost):
                holdings = mark_lost(place_initially(), lost)
                moves = PLANNER.plan(holdings, starting=False)
                holdings = apply_moves(holdings, moves)
                for domain in COUNTS:
                    self.assertEqual(missing_layers(holdings, domain), set())

    def test_moves_stay_within_the_layer_limit(self):
        for lost in ["a-mid-3", "a-big-0", "b-big-1", "c-big-0"]:
            with self.subTest(lost):
                holdings = mark_lost(place_initially(), [lost])
                moves = PLANNER.plan(holdings, starting=False)
                for move in moves:
                    kind = rig.RUNNER_KINDS[move.server.kind]
                    max_count = runner_group.max_layer_count(rig.ENGINE, kind)
                    self.assertLessEqual(move.layers.count, max_count)

    def test_a_holder_of_many_layers_is_not_moved_for_a_few(self):
        # All layers of the first big runner have a second copy.
        holdings = mark_lost(place_initially(), ["b-mid-1"])
        for move in PLANNER.plan(holdings, starting=False):
            self.assertNotEqual(move.server.kind, "big")

    def test_an_empty_runner_alone_covers_the_gap(self):
        holdings = mark_lost(place_initially(), ["a-mid-3"])
        new = rig.make_runners({"a": {"mid": 11}})[-1]
        holdings.append(
            runner_group.Holding(new, directory.NO_LAYERS, True, False)
        )
        lost = next(h for h in holdings if h.server.id == "a-mid-3").layers
        moves = PLANNER.plan(holdings, starting=False)
        self.assertEqual(
            [(m.server.id, m.layers) for m in moves], [(new.id, lost)]
        )

    def test_busy_runners_are_left_alone(self):
        holdings = [
            dataclasses.replace(h, busy=True)
            for h in mark_lost(place_initially(), ["a-mid-3"])
        ]
        self.assertEqual(PLANNER.plan(holdings, starting=False), [])

    def test_successive_losses(self):
        rng = rig.make_rng()
        holdings = place_initially()
        alive = [h.server.id for h in holdings]
        for _ in range(12):
            lost = rng.choice(alive)
            alive.remove(lost)
            holdings = [h for h in holdings if h.server.id != lost]
            for _ in range(6):
                moves = PLANNER.plan(holdings, starting=False)
                if not moves:
                    break
                holdings = apply_moves(holdings, moves)
            self.assertEqual(missing_layers(holdings), set(), lost)


class ChangedEngineTest(unittest.TestCase):
    def test_a_plan_after_the_number_of_layers_changed(self):
        holdings = make_holdings({"a": {"big": 2, "mid": 8}})
        holdings = apply_moves(holdings, PLANNER.plan(holdings, starting=True))
        self.assertEqual(missing_layers(holdings), set())
        for layers in (120, 79, 41, 40, 7, 1):
            with self.subTest(layers):
                engine = dataclasses.replace(rig.ENGINE, layers=layers)
                planner = layer_planner.LayerPlanner(engine)
                planner.describe_gaps(holdings)
                moves = planner.plan(holdings, starting=False)
                planned = apply_moves(holdings, moves)
                if layers <= rig.ENGINE.layers:
                    held = set()
                    for holding in planned:
                        held |= set(
                            range(holding.layers.start, holding.layers.end)
                        )
                    self.assertLessEqual(set(range(layers)), held)
                for move in moves:
                    self.assertLessEqual(move.layers.end, layers)


if __name__ == "__main__":
    unittest.main()
