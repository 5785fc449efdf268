"""Tests of token buckets and demand measurement."""

import random
import unittest

from nutmeglift import limits


class TokenBucketTest(unittest.TestCase):
    CASES = {
        # Name: rate, starts full, times of requests of cost 1, allowed.
        "empty": (1.0, False, (0.0, 0.6, 1.0), (False, True, False)),
        "full": (
            0.5,
            True,
            (0, 0, 0, 0, 0.2, 1.6),
            (True,) * 4 + (False, True),
        ),
        "no rate": (0.0, False, (0.0, 100.0), (False, False)),
        "clock back": (1.0, False, (1.0, 0.0, 1.0), (True, False, False)),
    }

    def test_take_allows_requests_within_rate_and_burst(self):
        for name, (rate, full, times, allowed) in self.CASES.items():
            with self.subTest(name):
                bucket = limits.TokenBucket(0.0, rate, full=full)
                found = tuple(bucket.take(now, 1.0).allowed for now in times)
                self.assertEqual(found, allowed)

    def test_allowed_cost_never_exceeds_rate_times_time(self):
        rng = random.Random(4)
        for rate, cost in ((0.3, 1.0), (50.0, 1.0), (100.0, 300.0)):
            with self.subTest(rate=rate, cost=cost):
                bucket = limits.TokenBucket(0.0, rate)
                now = 0.0
                starts = []
                while now < 200.0:
                    verdict = bucket.take(now, cost)
                    if verdict.allowed:
                        starts.append(now + verdict.seconds)
                    now += rng.expovariate(1.5 * rate / cost)
                starts.sort()
                for count, start in enumerate(starts, 1):
                    self.assertLessEqual(count * cost, rate * start + 1e-6)
                self.assertGreater(len(starts) * cost, 0.9 * rate * 200.0)

    def test_refusal_returns_the_wait(self):
        bucket = limits.TokenBucket(0.0, 2.0)
        verdict = bucket.take(0.0, 4.0)
        self.assertEqual(verdict, limits.LimitDecision(False, 2.0))
        self.assertTrue(bucket.take(verdict.seconds, 4.0).allowed)

    def test_lower_rate_reduces_saved_tokens(self):
        bucket = limits.TokenBucket(0.0, 100.0)
        bucket.set_rate(10.0, 0.0)
        taken = sum(bucket.take(10.0, 1.0).allowed for _ in range(100))
        self.assertEqual(taken, 4)

    def test_put_back_is_bounded(self):
        bucket = limits.TokenBucket(0.0, 1.0, full=True)
        bucket.refund(50.0)
        taken = sum(bucket.take(0.0, 1.0, 0.0).allowed for _ in range(100))
        self.assertEqual(taken, 4)


class DemandMeterTest(unittest.TestCase):
    def test_rate_follows_recent_demand(self):
        meter = limits.DemandRate(0.0)
        for step in range(1000):
            meter.add(step / 10, 2.0, 5.0)
        self.assertAlmostEqual(meter.rate(99.9, 5.0), 20.0, delta=0.5)
        self.assertLess(meter.rate(130.0, 5.0), 0.1)


if __name__ == "__main__":
    unittest.main()
