"""Tests of the choice of the runners that a router connects to."""

import collections
import unittest

from nutmeglift import ids
from nutmeglift import plan
from nutmeglift import subsetting
from tests import utils

ROUTERS = [ids.VmId(f"entry-{n}") for n in range(60)]


def make_plan(runners: int, stages: int = 4) -> plan.Plan:
    return plan.Plan(
        assignments=tuple(
            plan.Assignment(
                ids.VmId(f"runner-{n:04d}"),
                utils.MODEL,
                utils.VERSION,
                n % stages * 3,
                n % stages * 3 + 3,
                10.0,
                failure_domain=utils.DOMAINS[n // stages % 3],
            )
            for n in range(runners)
        )
    )


class ChooseRunnersTest(unittest.TestCase):
    def test_every_range_is_reached_in_several_failure_domains(self):
        full_plan = make_plan(240)
        for router in ROUTERS:
            chosen = subsetting.choose_runners(router, full_plan, 24)
            self.assertEqual(len(chosen), 24)
            domains_by_range = collections.defaultdict(set)
            for a in full_plan.assignments:
                if a.vm in chosen:
                    domains_by_range[a.first_layer].add(a.failure_domain)
            self.assertEqual(len(domains_by_range), 4)
            for domains in domains_by_range.values():
                self.assertEqual(len(domains), 3)

    def test_small_fleet_is_chosen_entirely(self):
        full_plan = make_plan(12)
        for requested in (12, 100):
            chosen = subsetting.choose_runners(ROUTERS[0], full_plan, requested)
            self.assertEqual(len(chosen), 12)

    def test_routers_spread_over_the_runners(self):
        full_plan = make_plan(120)
        counts: collections.Counter[ids.VmId] = collections.Counter()
        for router in ROUTERS:
            counts.update(subsetting.choose_runners(router, full_plan, 24))
        self.assertEqual(len(counts), 120)
        self.assertLess(max(counts.values()), 3 * 60 * 24 / 120)

    def test_little_churn_when_a_runner_leaves(self):
        full_plan = make_plan(240)
        gone = full_plan.assignments[17].vm
        fewer = subsetting.restrict_plan(
            full_plan, frozenset(a.vm for a in full_plan.assignments) - {gone}
        )
        for router in ROUTERS:
            before = subsetting.choose_runners(router, full_plan, 24)
            after = subsetting.choose_runners(router, fewer, 24)
            self.assertLessEqual(len(after - before), 1)
            if gone not in before:
                self.assertEqual(before, after)

    def test_budget_gives_the_number_of_connections(self):
        budget = subsetting.ControlBudget(7000.0, 100.0, 1.0)
        self.assertEqual(budget.connections, 70)


if __name__ == "__main__":
    unittest.main()
