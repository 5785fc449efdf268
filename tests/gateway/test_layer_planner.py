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
USUAL_ANSWER = 216
"""Tokens of a usual answer, as the engines' service declares them."""
USUAL_HELD = 883.0
"""Tokens that a usual request holds: its prompt and half of its answer."""
PLANNER = layer_planner.LayerPlanner(rig.ENGINE)


def make_holdings(counts=None):
    return [
        runner_group.Holding(server, directory.NO_LAYERS, True, False)
        for server in rig.make_runners(COUNTS if counts is None else counts)
    ]


def carry_out(holdings, moves):
    target_by_id = {move.server.id: move.layers for move in moves}
    return [
        dataclasses.replace(
            holding,
            layers=target_by_id.get(holding.server.id, holding.layers),
        )
        for holding in holdings
    ]


def lose(holdings, lost):
    return [
        dataclasses.replace(holding, usable=False)
        if holding.server.id in lost
        else holding
        for holding in holdings
    ]


def missing(holdings, domain=None):
    held = set()
    for holding in holdings:
        if holding.usable and domain in (None, holding.server.domain):
            held |= set(range(holding.layers.start, holding.layers.end))
    return set(range(rig.ENGINE.layers)) - held


def start():
    holdings = make_holdings()
    return carry_out(holdings, PLANNER.plan(holdings, starting=True))


class StartTest(unittest.TestCase):
    def test_every_domain_holds_a_copy(self):
        holdings = start()
        for domain in COUNTS:
            with self.subTest(domain):
                self.assertEqual(missing(holdings, domain), set())

    def test_no_runner_is_given_more_than_its_memory(self):
        for holding in start():
            with self.subTest(holding.server.id):
                kind = rig.KINDS[holding.server.kind]
                self.assertLessEqual(
                    holding.layers.count * rig.ENGINE.layer_mb, kind.memory_mb
                )
                self.assertGreater(holding.layers.count, 0)

    def test_a_plan_that_is_carried_out_is_final(self):
        self.assertEqual(PLANNER.plan(start(), starting=False), [])

    def test_small_domains_share_a_copy(self):
        holdings = make_holdings(
            {"a": {"big": 1}, "b": {"big": 1}, "c": {"big": 1, "mid": 2}}
        )
        holdings = carry_out(holdings, PLANNER.plan(holdings, starting=True))
        self.assertEqual(missing(holdings), set())

    def test_too_little_memory_is_used_as_far_as_it_goes(self):
        holdings = make_holdings({"a": {"big": 1, "mid": 2}})
        moves = PLANNER.plan(holdings, starting=True)
        self.assertEqual(len(moves), 3)

    def test_nothing_to_plan(self):
        self.assertEqual(PLANNER.plan([], starting=True), [])


class RoomTest(unittest.TestCase):
    def test_groups_with_more_memory_keep_more_room(self):
        small = [rig.KINDS["big"]] + [rig.KINDS["mid"]] * 10
        small += [rig.KINDS["slow"]] * 4
        large = small + [rig.KINDS["mid"]] * 6
        rooms = [
            runner_group.choose_token_capacity(rig.ENGINE, kinds)
            for kinds in (small[:8], small, large, large * 2)
        ]
        self.assertEqual(rooms, sorted(rooms))
        self.assertGreater(rooms[-1], rooms[0])

    def test_a_copy_and_spare_layers_are_still_held(self):
        for extra in range(0, 20, 2):
            with self.subTest(extra):
                kinds = [rig.KINDS["big"]] + [rig.KINDS["mid"]] * (12 + extra)
                tokens = runner_group.choose_token_capacity(rig.ENGINE, kinds)
                held = sum(
                    rig.ENGINE.max_layers_with_capacity(kind, tokens)
                    for kind in kinds
                )
                self.assertGreaterEqual(held, rig.ENGINE.layers)

    def test_a_deployment_sustains_its_load(self):
        """Usual requests on each failure domain, until its memory is full."""
        cases = [
            # The load with the burst that its operators tell of.
            ("42 runners", COUNTS, 45 * 1.7),
            ("56 runners", GROWN_COUNTS, 109.5),
        ]
        for name, counts, needed in cases:
            with self.subTest(name):
                rate = sum(sustained(fill(each)) for each in counts.values())
                self.assertGreaterEqual(rate, needed)

    def test_a_larger_group_takes_more_requests(self):
        """What room for 100,000 tokens gave where slow runners held more."""
        found = fill(GROWN_COUNTS["a"])
        self.assertGreaterEqual(sustained(found), 30.7)
        self.assertLessEqual(sum(found) / len(found), 0.0167)


def sustained(steps):
    """Returns requests a second that end, for the step of each at work."""
    return sum(1 / (USUAL_ANSWER * step) for step in steps)


def fill(counts):
    """Fills a failure domain; returns the step of each request on it."""
    holdings = make_holdings({"a": counts})
    holdings = carry_out(holdings, PLANNER.plan(holdings, starting=True))
    servers = [dataclasses.replace(h.server, layers=h.layers) for h in holdings]
    load_tracker = loads.LoadTracker()
    finder = paths.PathFinder(rig.ENGINE, load_tracker, lambda _: 1.0)
    wanted = paths.PathRequirements(ids.FailureDomain("a"), USUAL_HELD)
    found = []
    while path := finder.find(servers, wanted):
        found.append(path)
        load_tracker.reserve(path.reservations(USUAL_HELD))
    return [
        sum(
            (part.end - part.start) * finder.layer_seconds(part.server)
            for part in path.parts
        )
        for path in found
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
                holdings = lose(start(), lost)
                moves = PLANNER.plan(holdings, starting=False)
                holdings = carry_out(holdings, moves)
                for domain in COUNTS:
                    self.assertEqual(missing(holdings, domain), set())

    def test_what_is_given_up_is_held_elsewhere(self):
        for lost in ["a-mid-3", "a-big-0", "b-big-1", "c-big-0"]:
            with self.subTest(lost):
                holdings = lose(start(), [lost])
                moves = PLANNER.plan(holdings, starting=False)
                for move in moves:
                    kind = rig.KINDS[move.server.kind]
                    most = runner_group.max_layer_count(rig.ENGINE, kind)
                    self.assertLessEqual(move.layers.count, most)

    def test_a_holder_of_many_layers_is_not_moved_for_a_few(self):
        # The first big runner's layers all have second copies.
        holdings = lose(start(), ["b-mid-1"])
        for move in PLANNER.plan(holdings, starting=False):
            self.assertNotEqual(move.server.kind, "big")

    def test_an_empty_runner_takes_the_gap_alone(self):
        holdings = lose(start(), ["a-mid-3"])
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
            for h in lose(start(), ["a-mid-3"])
        ]
        self.assertEqual(PLANNER.plan(holdings, starting=False), [])

    def test_losses_one_after_the_other(self):
        rng = rig.make_rng()
        holdings = start()
        alive = [h.server.id for h in holdings]
        for _ in range(12):
            lost = rng.choice(alive)
            alive.remove(lost)
            holdings = [h for h in holdings if h.server.id != lost]
            for _ in range(6):
                moves = PLANNER.plan(holdings, starting=False)
                if not moves:
                    break
                holdings = carry_out(holdings, moves)
            self.assertEqual(missing(holdings), set(), lost)


if __name__ == "__main__":
    unittest.main()
