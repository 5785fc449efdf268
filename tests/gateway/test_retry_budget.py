import unittest

from nutmeglift_gateway import retry_budget


def make_share(*, slack):
    return retry_budget.RetryBudget(ratio=0.2, slack=slack, window=10.0)


def tell_each_other(now, shares):
    for one in shares:
        for number, other in enumerate(shares):
            if other is not one:
                one.set_peer_counts(now, str(number), other.counts(now))


class RetryBudgetTest(unittest.TestCase):
    def test_all_routers_together_stay_within_the_budget(self):
        cases = [(1, 0), (4, 0), (4, 100), (12, 7), (3, 1000)]
        for routers, requests in cases:
            with self.subTest(routers=routers, requests=requests):
                spent = 0
                for _ in range(routers):
                    share = retry_budget.RetryBudget(
                        ratio=0.2, slack=202.0, window=10.0
                    )
                    for _ in range(requests):
                        share.record_request(1.0)
                    while share.try_spend(1.0, routers):
                        spent += 1
                self.assertLessEqual(spent, 0.2 * routers * requests + 202.0)
                self.assertGreater(spent, 0)

    def test_windows_slide(self):
        share = retry_budget.RetryBudget(ratio=0.0, slack=10.0, window=10.0)
        times = []
        now = 0.0
        while now < 40.0:
            if share.try_spend(now, 1):
                times.append(now)
            now += 0.25
        for begin in times:
            within = [t for t in times if begin <= t < begin + 10.0]
            self.assertLessEqual(len(within), 10)

    def test_what_peers_do_not_need_may_be_spent(self):
        share = make_share(slack=240.0)
        for number in range(11):
            share.set_peer_counts(
                1.0, f"peer-{number}", retry_budget.Counts(80, 0)
            )
        spent = 0
        now = 1.0
        while share.try_spend(now, 12) and spent < 1000:
            spent += 1
            now += 0.01 if spent % 10 == 0 else 0.0
            for number in range(11):
                share.set_peer_counts(
                    now, f"peer-{number}", retry_budget.Counts(80, 0)
                )
        # Alone it would have its twelfth: 20 of 240.
        self.assertGreater(spent, 20)
        self.assertLessEqual(spent, 240 + 0.2 * 880)

    def test_a_burst_at_all_routers_stays_within_the_budget(self):
        # All lose a runner at once, 40 streams each; counts are 0.25 s old.
        for routers in (2, 4, 12):
            with self.subTest(routers=routers):
                shares = [make_share(slack=202.0) for _ in range(routers)]
                requests = 0
                spent = 0
                for step in range(200):
                    now = step * 0.05
                    for share in shares:
                        share.record_request(now)
                        requests += 1
                        if 40 <= step < 44:
                            spent += sum(
                                share.try_spend(now, routers) for _ in range(10)
                            )
                    if step % 5 == 0:
                        tell_each_other(now, shares)
                self.assertLessEqual(spent, 0.2 * requests + 202.0)
                self.assertGreater(spent, 0.3 * 202.0)

    def test_a_silent_router_keeps_its_own_part(self):
        share = make_share(slack=20.0)
        share.set_peer_counts(0.0, "peer", retry_budget.Counts(0, 0))
        share.set_peer_counts(0.0, "lost", retry_budget.Counts(0, 0))
        later = retry_budget.PEER_REPORT_TIMEOUT_SECONDS + 0.1
        share.set_peer_counts(later, "peer", retry_budget.Counts(0, 0))
        spent = 0
        while share.try_spend(later + spent * 0.31, 3) and spent < 30:
            spent += 1
            share.set_peer_counts(
                later + spent * 0.31, "peer", retry_budget.Counts(0, 0)
            )
        self.assertLessEqual(spent, 20 * 2 / 3)
        self.assertGreater(spent, 0)

    def test_streams_that_began_have_more_left(self):
        share = make_share(slack=100.0)
        anew, resume = (
            retry_budget.Purpose.NOT_STARTED,
            retry_budget.Purpose.RESUME,
        )
        while share.try_spend(0.0, 1, anew):
            pass
        self.assertFalse(share.can_spend(0.0, 1, anew))
        self.assertTrue(share.can_spend(0.0, 1, resume))

    def test_new_bounds_are_in_force_at_once(self):
        share = retry_budget.RetryBudget(ratio=0.0, slack=100.0, window=10.0)
        self.assertTrue(share.try_spend(0.0, 1))
        share.set_bounds(ratio=0.0, slack=1.0, window=10.0)
        self.assertFalse(share.try_spend(0.0, 1))


if __name__ == "__main__":
    unittest.main()
