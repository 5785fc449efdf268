import copy
import unittest

from nutmeglift_gateway import retry_budget
from nutmeglift_gateway import service_budgets


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
        # All lose a runner at the same time, with 40 streams each; the peer
        # counts are up to 0.25 s old.
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

    def test_retries_of_a_lost_peer_stay_counted_for_a_window(self):
        timeout = retry_budget.PEER_REPORT_TIMEOUT_SECONDS
        cases = [
            # time, retries of the peer, a later process of it, may spend
            (1.0, 15, False, False),
            (timeout + 0.1, 15, False, False),
            (9.9, 15, False, False),
            (10.1, 15, False, True),
            (1.0, 15, True, False),
            (9.9, 15, True, False),
            (10.1, 15, True, True),
            (9.9, 3, False, True),
            (9.9, 3, True, True),
        ]
        for now, retries, restarted, expected in cases:
            with self.subTest(now=now, retries=retries, restarted=restarted):
                budget = make_budget(slack=20.0)
                budget.set_peer_counts(
                    0.0, "peer", retry_budget.Counts(0, retries, 1, retries)
                )
                if restarted:
                    budget.set_peer_counts(
                        now, "peer", retry_budget.Counts(0, 0, 2, 0)
                    )
                self.assertEqual(budget.try_spend(now, 2), expected)

    def test_what_a_peer_reports_after_a_silence_is_counted_once(self):
        budget = make_budget(slack=20.0)
        for now, count, total in [(0.0, 5, 5), (4.0, 9, 9), (8.0, 9, 9)]:
            budget.set_peer_counts(
                now, "peer", retry_budget.Counts(0, count, 1, total)
            )
        # The first 5 have left the window; 4 are counted, of 7 for each half.
        now = 10.5
        spent = 0
        while budget.try_spend(now, 2):
            spent += 1
        self.assertEqual(spent, 3)

    def test_a_report_is_as_old_as_its_echo(self):
        budget = make_budget(slack=20.0)
        for _ in range(4):
            self.assertTrue(budget.try_spend(5.0, 2))
        for as_of, expected in [(4.9, 4), (5.0, 6)]:
            with self.subTest(as_of=as_of):
                found = copy.deepcopy(budget)
                found.set_peer_counts(
                    6.0, "peer", retry_budget.Counts(0, 0, 1), as_of
                )
                spent = 0
                while found.try_spend(6.0, 2):
                    spent += 1
                self.assertEqual(spent, expected)

    def test_a_process_that_has_started_has_no_share_of_the_slack(self):
        cases = [
            # first start, time, requests, retries
            (True, 1.0, 0, 0),
            (True, 1.0, 100, 15),
            (True, 2.1, 0, 75),
            (False, 2.1, 0, 0),
            (False, 9.9, 0, 0),
            (False, 9.9, 100, 15),
            (False, 10.1, 0, 75),
        ]
        for first, now, requests, expected in cases:
            with self.subTest(first=first, now=now, requests=requests):
                budgets = service_budgets.ServiceBudgets()
                budgets.set_bounds(ratio=0.2, slack=100.0, window=10.0)
                budgets.begin(0.0, first=first)
                budget = budgets.of("core")
                for _ in range(requests):
                    budget.record_request(now)
                spent = 0
                while budget.try_spend(now, 1):
                    spent += 1
                self.assertEqual(spent, expected)

    def test_a_router_that_has_run_for_a_window_tells_what_was_sent(self):
        cases = [
            # time, overspent, whether the peer has run for a window, retries
            (1.9, 5, True, 0),
            (2.1, 5, True, 70),
            (2.1, 75, True, 0),
            (2.1, -5, True, 75),
            (2.1, 5, False, 0),
            (9.9, 5, False, 0),
            (10.1, 5, False, 75),
        ]
        for now, overspent, complete, expected in cases:
            with self.subTest(now=now, overspent=overspent, complete=complete):
                budgets = service_budgets.ServiceBudgets()
                budgets.set_bounds(ratio=0.2, slack=100.0, window=10.0)
                budgets.begin(0.0, first=False)
                budget = budgets.of("core")
                counts = retry_budget.Counts(
                    0, 0, 1, 0, overspent, complete=complete
                )
                budget.set_peer_counts(now, "peer", counts)
                spent = 0
                while budget.try_spend(now, 2):
                    spent += 1
                self.assertEqual(spent, expected)

    def test_the_budget_of_an_ended_process_is_told(self):
        budget = make_budget(slack=20.0)
        budget.set_peer_counts(0.0, "peer", retry_budget.Counts(20, 9, 1, 9))
        self.assertEqual(budget.counts(1.0).overspent, 0)
        # 9 without the part of its 20 requests, 3.
        self.assertEqual(budget.counts(5.0).overspent, 6)
        self.assertEqual(budget.counts(10.1).overspent, 0)

    def test_routers_that_are_no_longer_listed_share_for_a_window(self):
        budgets = service_budgets.ServiceBudgets()
        budgets.set_bounds(ratio=0.2, slack=100.0, window=10.0)
        events = [
            (0.0, 4, 4), (1.0, 1, 4), (5.0, 2, 4), (9.9, 1, 4), (10.1, 1, 2),
            (15.1, 1, 1), (16.0, 3, 3),
        ]  # fmt: skip
        for now, listed, expected in events:
            with self.subTest(now=now):
                self.assertEqual(budgets.record_routers(now, listed), expected)

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
