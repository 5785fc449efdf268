"""Choice of paths by what routes ask for."""

import dataclasses
import random
import unittest

from nutmeglift import ids
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory
from nutmeglift_gateway import loads
from nutmeglift_gateway import path_cache
from nutmeglift_gateway import paths
from nutmeglift_gateway import settings
from nutmeglift_gateway.load import first_event
from nutmeglift_gateway.load import objectives as objective_sets
from nutmeglift_gateway.load import path_choice
from nutmeglift_gateway.load import urgency as urgencies
from tests.gateway import random_runners
from tests.gateway import rig

HOME = ids.FailureDomain("a")
NOW = 50.0
PROMPT_TOKENS = 1000
LEVELS = [(0, 0.5, 0.5), (1, 0.6, 0.5), (2, 1.2, 0.5)]
ENGINE = dataclasses.replace(
    rig.ENGINE,
    kind_by_name={
        "fast": catalog.RunnerKind("fast", 200000.0, 1.0, 1.0),
        "slow": catalog.RunnerKind("slow", 200000.0, 4.0, 4.0),
    },
    step_seconds=0.01,
    prompt_tokens_per_second=10000.0,
)
"""A prompt takes 0.1 s on a fast runner and 0.4 s on a slow one, a step 10 and
40 ms. A prompt that waits costs as much as half a step."""
PATHS_OF_ONE_LEVEL = "928dbef1a263c2c7"
"""Digest of the paths of 2c57ca4, which knew no objectives."""


def runner(name, domain, kind, start=0, end=80):
    return rig.make_server(
        name,
        domain=ids.FailureDomain(domain),
        kind=kind,
        layers=directory.LayerRange(start, end),
        address=f"{name}:1",
    )


def make_requirements(level, *, levels=LEVELS, waited=0.0):
    priority, objective, gap_objective = level
    return paths.PathRequirements(
        HOME,
        900.0,
        prompt_tokens=PROMPT_TOKENS,
        urgency=urgencies.Urgency(
            priority, objective, gap_objective, NOW - waited
        ),
        objectives=objective_sets.combine(levels),
    )


class Choice:
    """Chooses paths over runners on which prompts wait."""

    def __init__(self, servers, prompts_by_id):
        self.servers = servers
        self.board = boards.Board(settings.Bounds(), HOME)
        for server in servers:
            reserved = (loads.Reservation(server.address, False, 1.0, 80000),)
            for _ in range(prompts_by_id.get(server.id, 0)):
                self.board.load_tracker.reserve(reserved)
                self.board.load_tracker.begin_prompts(reserved)
        self.finder = paths.PathFinder(
            ENGINE, self.board.load_tracker, lambda _: 1.0
        )

    def find(self, requirements):
        """Returns the path that is chosen."""
        return path_choice.find_path(
            self.board, self.finder, self.servers, requirements, NOW
        )


class PathChoiceTest(unittest.TestCase):
    def test_which_paths_are_used(self):
        fast, slow = runner("f", "a", "fast"), runner("s", "b", "slow")
        there = [runner("f", "b", "fast"), runner("s", "a", "slow")]
        urgent, middle, tolerant = LEVELS
        loose = [(0, 2.0, 0.5), (2, 4.8, 0.5)]
        ranks = [(0, 1.2, 0.5), (1, 1.2, 0.5), (2, 1.2, 0.5)]
        short_gap = [(0, 0.5, 0.1), tolerant]
        # name, runners, prompts that wait, level, levels, waited, first runner
        cases = [
            ("most urgent", [fast, slow], {}, urgent, LEVELS, 0.0, "f"),
            ("idle", [fast, slow], {}, tolerant, LEVELS, 0.0, "f"),
            ("stays", [fast, slow], {"f": 3}, urgent, LEVELS, 0.0, "f"),
            ("middle", [fast, slow], {"f": 3}, middle, LEVELS, 0.0, "f"),
            ("leaves the fast one", [fast, slow], {"f": 3}, tolerant, LEVELS,
             0.0, "s"),
            ("leaves a fast one elsewhere", there, {"f": 1}, tolerant, LEVELS,
             0.0, "s"),
            ("nobody needs the fast one", [fast, slow], {"f": 3}, loose[1],
             loose, 0.0, "f"),
            ("nobody needs one elsewhere", there, {"f": 3}, loose[1], loose,
             0.0, "f"),
            ("by rank alone", [fast, slow], {"f": 5}, ranks[2], ranks, 0.0,
             "s"),
            ("too slow by now", [fast, slow], {"f": 3}, tolerant, LEVELS, 0.3,
             "f"),
            ("prompts wait at the slow one", [fast, slow], {"f": 3, "s": 2},
             tolerant, LEVELS, 0.0, "f"),
            ("prompts wait at the fast one", [fast, slow], {"f": 9}, urgent,
             LEVELS, 0.0, "s"),
            ("the earliest", [fast, slow], {"f": 8}, urgent, LEVELS, 0.0, "s"),
            ("the cheapest", [fast, slow], {"f": 8}, tolerant, LEVELS, 0.6,
             "f"),
            ("none is in time", [fast, slow], {"f": 9, "s": 2}, urgent, LEVELS,
             0.0, "f"),
            ("late already", [fast, slow], {}, tolerant, LEVELS, 3.0, "f"),
            ("events would pause", [fast, slow], {"f": 3}, tolerant, short_gap,
             0.0, "f"),
            ("one level", [fast, slow], {"f": 3}, tolerant, [tolerant], 0.0,
             "f"),
            ("no runners", [], {}, urgent, LEVELS, 0.0, None),
        ]  # fmt: skip
        for name, servers, prompts, level, levels, waited, first in cases:
            with self.subTest(name):
                path = Choice(servers, prompts).find(
                    make_requirements(level, levels=levels, waited=waited)
                )
                self.assertEqual(path.first.id if path else None, first)

    def test_a_path_crosses_if_none_within_a_domain_is_in_time(self):
        one = runner("1", "a", "fast", 0, 40)
        two = runner("2", "a", "fast", 40, 80)
        other = runner("3", "b", "fast", 0, 80)
        busy = {"2": 6, "3": 20, "5": 9}
        free = runner("4", "c", "fast", 40, 80)
        # runners, prompts that wait, whether the links are full, runners used
        cases = [
            ([one, two, other, free], {}, False, ["1", "2"]),
            ([one, two, other], busy, False, ["1", "2"]),
            ([one, two, free, runner("5", "c", "slow", 0, 40)], busy, False,
             ["1", "4"]),
            ([one, two, free, runner("5", "c", "slow", 0, 40)],
             busy, True, ["1", "2"]),
        ]  # fmt: skip
        for servers, prompts, links_full, expected in cases:
            with self.subTest(expected=expected, links_full=links_full):
                choice = Choice(servers, prompts)
                requirements = make_requirements(LEVELS[0])
                if links_full:
                    choice.board.link_budget.record_transfer(
                        NOW,
                        ENGINE,
                        paths.Path(
                            (paths.Part(one, 0, 40), paths.Part(free, 40, 80)),
                            0.0,
                        ),
                        1e9,
                    )
                path = choice.find(requirements)
                self.assertEqual([p.server.id for p in path.parts], expected)

    def test_one_level_gets_the_cheapest_path(self):
        def find(deployment, requirements):
            board = boards.Board(settings.Bounds(), requirements.home)
            finder = paths.PathFinder(
                rig.ENGINE, deployment.tracker, deployment.pace_of
            )
            of_one_level = dataclasses.replace(
                requirements,
                prompt_tokens=PROMPT_TOKENS,
                urgency=urgencies.Urgency(1, 0.5, 0.3, NOW),
                objectives=objective_sets.combine([(1, 0.5, 0.3)] * 3),
            )
            return path_choice.find_path(
                board, finder, deployment.servers, of_one_level, NOW
            )

        found = random_runners.digest_paths(300, find)
        self.assertEqual(found, (PATHS_OF_ONE_LEVEL, 299))

    def test_no_path_is_later_than_the_best_of_all_domains_in_need(self):
        # All are too late; the earliest has to be taken.
        for seed in range(60):
            rng = random.Random(seed)
            deployment = random_runners.make_deployment(rng)
            finder = paths.PathFinder(
                rig.ENGINE, deployment.tracker, deployment.pace_of
            )
            requirements = make_requirements(LEVELS[0], waited=9.0)
            path = path_choice.find_path(
                boards.Board(settings.Bounds(), HOME),
                finder,
                deployment.servers,
                requirements,
                NOW,
            )
            forecasts = [
                first_event.forecast(
                    rig.ENGINE, finder.costs, each, PROMPT_TOKENS
                ).first_event_seconds
                for each in finder.find_by_domain(
                    deployment.servers, requirements
                )
            ]
            if not forecasts:
                continue
            with self.subTest(seed):
                self.assertLessEqual(
                    first_event.forecast(
                        rig.ENGINE, finder.costs, path, PROMPT_TOKENS
                    ).first_event_seconds,
                    min(forecasts),
                )


class ObjectivesTest(unittest.TestCase):
    def test_tolerance(self):
        objectives = objective_sets.combine(LEVELS)
        # priority, objective, tolerance
        cases = [
            (0, 0.5, 0.0),
            (0, 0.4, 0.0),
            (1, 0.6, 1 / 3),
            (2, 1.2, 2 / 3),
            (0, 5.0, 0.9),
            (9, 0.5, 1.0),
        ]
        for priority, objective, expected in cases:
            with self.subTest(priority=priority, objective=objective):
                urgency = urgencies.Urgency(priority, objective, 0.3, NOW)
                self.assertAlmostEqual(objectives.tolerance(urgency), expected)

    def test_what_a_services_routes_ask_for(self):
        route = rig.STREAM
        plain = dataclasses.replace(
            route, idempotency=catalog.Idempotency.SAFE, prefix="/v1/plain/"
        )
        cases = [
            # routes, priorities of accounts, whether requests differ
            ([route], [None], False),
            ([route, dataclasses.replace(route, priority=7)], [None], True),
            ([route, dataclasses.replace(route, objective=9.0)], [None], True),
            ([route], [None, 3], False),
            ([route], [route.priority], False),
            (
                [route, dataclasses.replace(route, priority=7)],
                [route.priority],
                True,
            ),
            ([route, dataclasses.replace(plain, priority=7)], [None], False),
            ([route, dataclasses.replace(plain, objective=9.0)], [3], False),
        ]
        for routes, priorities, differ in cases:
            with self.subTest(routes=len(routes), priorities=priorities):
                accounts = {
                    f"key-{number}": catalog.Account(
                        ids.AccountId(f"bank-{number}"), priority
                    )
                    for number, priority in enumerate(priorities)
                }
                found = rig.make_catalog(
                    routes=tuple(routes), account_by_key=accounts
                ).objectives_by_service[rig.MODEL]
                self.assertEqual(found.differ, differ)


class CachedPathsTest(unittest.TestCase):
    def test_cached_paths_are_those_of_a_search(self):
        for seed in range(30):
            rng = random.Random(seed)
            deployment = random_runners.make_deployment(rng)
            servers = deployment.servers
            cache = path_cache.PathCache(rig.ENGINE, servers)
            full = frozenset()
            for step in range(40):
                change = rng.randrange(5)
                server = rng.choice(servers)
                if change == 0:
                    deployment.add_load(rng, server)
                elif change == 1:
                    deployment.pace_by_address[server.address] = rng.uniform(
                        1, 9
                    )
                elif change == 2:
                    full = frozenset(rng.sample([server.address], step % 2))
                requirements = paths.PathRequirements(
                    HOME, rng.choice([200.0, 900.0, rng.uniform(100, 5000)])
                )
                found = [
                    [
                        random_runners.describe(path)
                        for path in paths.PathFinder(
                            rig.ENGINE,
                            deployment.tracker,
                            deployment.pace_of,
                            full,
                            kept,
                        ).find_by_domain(servers, requirements)
                    ]
                    for kept in (cache, None)
                ]
                with self.subTest(seed=seed, step=step):
                    self.assertEqual(found[0], found[1])

    def test_a_choice_searches_a_few_domains_and_leaves_out_none_for_good(self):
        servers = [runner(f"r{n}", f"d{n}", "fast") for n in range(12)]
        cache = path_cache.PathCache(rig.ENGINE, servers)
        searched = set()
        for _ in range(12):
            found = cache.nearby(ids.FailureDomain("d5"), 4)
            self.assertEqual(len(found), 4)
            self.assertEqual(found[0].domain, "d5")
            searched |= {each.domain for each in found}
        self.assertEqual(len(searched), 12)


if __name__ == "__main__":
    unittest.main()
