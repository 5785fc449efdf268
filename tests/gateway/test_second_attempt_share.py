"""The limit on second attempts holds over all routers in every window."""

import random
import unittest

from nutmeglift_gateway import retry_budget
from nutmeglift_gateway.load import second_attempt_share
from tests.gateway import retry_model
from tests.gateway import test_retries_over_routers as retries

SIZES = ((2, 10.0), (12, 10.0), (4, 0.5))
"""Routers, and requests a second at each."""


def make_deployment(seed, count, rate, ratio):
    return retry_model.Deployment(
        seed,
        count,
        rate,
        purpose=retry_budget.Purpose.SECOND_ATTEMPT,
        second_ratio=ratio,
    )


class SecondAttemptShareTest(unittest.TestCase):
    def check(self, deployment):
        excess, at = deployment.arrivals.worst(
            ratio=deployment.second_ratio, slack=0.0
        )
        self.assertLessEqual(excess, 0.0, f"window that ends at {at:.2f}")

    def test_parts_add_up_to_the_whole(self):
        rng = random.Random(5)
        for _ in range(200):
            counts = [
                second_attempt_share.RouterCount(process, rng.randrange(90), 0)
                for process in range(rng.randrange(1, 30))
            ]
            parts = [
                second_attempt_share.part(
                    0.02, own, [each for each in counts if each is not own]
                )
                for own in counts
            ]
            whole = sum(each.requests for each in counts)
            self.assertEqual(sum(parts), int(0.02 * whole + 1e-9))

    def test_what_is_spent_counts(self):
        count = second_attempt_share.RouterCount
        cases = [
            # own and its peers' counts at a ratio of 0.1, spent, allowed
            (count(1, 20, 1), [], 1.0, True),
            (count(1, 20, 2), [], 2.0, False),
            (count(1, 20, 0), [count(2, 20, 3)], 3.0, True),
            (count(1, 20, 0), [count(2, 20, 4)], 4.0, False),
            # A silent peer may have used its part, rounded up.
            (count(1, 20, 0), [count(2, 5, 0, live=False)], 0.5, True),
            (count(1, 10, 0), [count(2, 5, 0, live=False)], 0.5, False),
            (count(1, 20, 0), [count(2, 20, 4, live=False)], 2.0, False),
        ]
        share = second_attempt_share.SecondAttemptShare()
        for own, peers, expected, allowed in cases:
            with self.subTest(own=own, peers=peers):
                spent = second_attempt_share.spent(0.1, own, peers)
                self.assertAlmostEqual(spent, expected)
                self.assertEqual(share.allows(100.0, 0.1, own, peers), allowed)

    def test_troubles(self):
        for play in retries.SCENARIOS:
            for count, rate in SIZES:
                with self.subTest(play.__name__, count=count, rate=rate):
                    deployment = make_deployment(5, count, rate, 0.02)
                    play(deployment)
                    self.check(deployment)

    def test_random_troubles(self):
        for seed in range(60):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                deployment = make_deployment(
                    seed,
                    rng.choice((2, 3, 4, 8)),
                    rng.choice((1.0, 10.0)),
                    rng.choice((0.02, 0.05)),
                )
                retries.play_random(deployment, rng)
                self.check(deployment)

    def test_the_limit_is_used(self):
        for count, rate in ((2, 10.0), (12, 10.0), (41, 2.0)):
            with self.subTest(count=count, rate=rate):
                deployment = make_deployment(5, count, rate, 0.05)
                retries.run_steady(deployment)
                arrivals = deployment.arrivals
                self.assertGreater(
                    len(arrivals.retries), 0.02 * len(arrivals.requests)
                )


if __name__ == "__main__":
    unittest.main()
