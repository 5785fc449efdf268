import unittest

from nutmeglift_gateway import retry_budget


def make_budget(*, slack):
    return retry_budget.RetryBudget(ratio=0.2, slack=slack, window=10.0)


def exchange_counts(now, budgets):
    for one in budgets:
        for number, other in enumerate(budgets):
            if other is not one:
                one.set_peer_counts(now, str(number), other.counts(now))


class RetryBudgetTest(unittest.TestCase):
    def test_all_routers_together_stay_within_the_budget(self):
        cases = [(1, 0), (4, 0), (4, 100), (12, 7), (3, 1000)]
        for routers, requests in cases:
            with self.subTest(routers=routers, requests=requests):
                spent = 0
                for _ in range(routers):
                    budget = retry_budget.RetryBudget(
                        ratio=0.2, slack=202.0, window=10.0
                    )
                    for _ in range(requests):
                        budget.record_request(1.0)
                    while budget.try_spend(1.0, routers):
                        spent += 1
                self.assertLessEqual(spent, 0.2 * routers * requests + 202.0)
                self.assertGreater(spent, 0)

    def test_windows_slide(self):
        budget = retry_budget.RetryBudget(ratio=0.0, slack=10.0, window=10.0)
        times = []
        now = 0.0
        while now < 40.0:
            if budget.try_spend(now, 1):
                times.append(now)
            now += 0.25
        for begin in times:
            within = [t for t in times if begin <= t < begin + 10.0]
            self.assertLessEqual(len(within), 10)

    def test_unused_shares_of_peers_may_be_spent(self):
        budget = make_budget(slack=240.0)
        for number in range(11):
            budget.set_peer_counts(
                1.0, f"peer-{number}", retry_budget.Counts(80, 0)
            )
        spent = 0
        now = 1.0
        while budget.try_spend(now, 12) and spent < 1000:
            spent += 1
            now += 0.01 if spent % 10 == 0 else 0.0
            for number in range(11):
                budget.set_peer_counts(
                    now, f"peer-{number}", retry_budget.Counts(80, 0)
                )
        # Its own share is a twelfth: 20 of 240.
        self.assertGreater(spent, 20)
        self.assertLessEqual(spent, 240 + 0.2 * 880)

    def test_a_burst_at_all_routers_stays_within_the_budget(self):
        # All lose a runner at once, with 40 streams each; the peer counts are
        # up to 0.25 s old.
        for routers in (2, 4, 12):
            with self.subTest(routers=routers):
                budgets = [make_budget(slack=202.0) for _ in range(routers)]
                requests = 0
                spent = 0
                for step in range(200):
                    now = step * 0.05
                    for budget in budgets:
                        budget.record_request(now)
                        requests += 1
                        if 40 <= step < 44:
                            spent += sum(
                                budget.try_spend(now, routers)
                                for _ in range(10)
                            )
                    if step % 5 == 0:
                        exchange_counts(now, budgets)
                self.assertLessEqual(spent, 0.2 * requests + 202.0)
                self.assertGreater(spent, 0.3 * 202.0)

    def test_a_silent_router_keeps_its_own_share(self):
        budget = make_budget(slack=20.0)
        budget.set_peer_counts(0.0, "peer", retry_budget.Counts(0, 0))
        budget.set_peer_counts(0.0, "lost", retry_budget.Counts(0, 0))
        later = retry_budget.PEER_REPORT_TIMEOUT_SECONDS + 0.1
        budget.set_peer_counts(later, "peer", retry_budget.Counts(0, 0))
        spent = 0
        while budget.try_spend(later + spent * 0.31, 3) and spent < 30:
            spent += 1
            budget.set_peer_counts(
                later + spent * 0.31, "peer", retry_budget.Counts(0, 0)
            )
        self.assertLessEqual(spent, 20 * 2 / 3)
        self.assertGreater(spent, 0)

    def test_resumed_streams_have_a_larger_share(self):
        budget = make_budget(slack=100.0)
        not_started, resume = (
            retry_budget.Purpose.NOT_STARTED,
            retry_budget.Purpose.RESUME,
        )
        while budget.try_spend(0.0, 1, not_started):
            pass
        self.assertFalse(budget.can_spend(0.0, 1, not_started))
        self.assertTrue(budget.can_spend(0.0, 1, resume))

    def test_new_bounds_apply_at_once(self):
        budget = retry_budget.RetryBudget(ratio=0.0, slack=100.0, window=10.0)
        self.assertTrue(budget.try_spend(0.0, 1))
        budget.set_bounds(ratio=0.0, slack=1.0, window=10.0)
        self.assertFalse(budget.try_spend(0.0, 1))


if __name__ == "__main__":
    unittest.main()
