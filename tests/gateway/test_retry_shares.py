import unittest

from nutmeglift_gateway import retry_shares


class RetrySharesTest(unittest.TestCase):
    def test_all_routers_together_stay_within_the_budget(self):
        cases = [(1, 0), (4, 0), (4, 100), (12, 7), (3, 1000)]
        for routers, requests in cases:
            with self.subTest(routers=routers, requests=requests):
                spent = 0
                for _ in range(routers):
                    share = retry_shares.RetryShares(
                        ratio=0.2, slack=202.0, window=10.0
                    )
                    for _ in range(requests):
                        share.note_request(1.0)
                    while share.try_spend(1.0, routers):
                        spent += 1
                self.assertLessEqual(spent, 0.2 * routers * requests + 202.0)
                self.assertGreater(spent, 0)

    def test_windows_slide(self):
        share = retry_shares.RetryShares(ratio=0.0, slack=10.0, window=10.0)
        times = []
        now = 0.0
        while now < 40.0:
            if share.try_spend(now, 1):
                times.append(now)
            now += 0.25
        for begin in times:
            within = [t for t in times if begin <= t < begin + 10.0]
            self.assertLessEqual(len(within), 10)

    def test_new_bounds_are_in_force_at_once(self):
        share = retry_shares.RetryShares(ratio=0.0, slack=100.0, window=10.0)
        self.assertTrue(share.try_spend(0.0, 1))
        share.set_bounds(ratio=0.0, slack=1.0, window=10.0)
        self.assertFalse(share.try_spend(0.0, 1))


if __name__ == "__main__":
    unittest.main()
