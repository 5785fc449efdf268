"""Tests of retry budgets and backoff."""

import asyncio
import random
import unittest

from nutmeglift import ids
from nutmeglift import retry
from nutmeglift import states
from nutmeglift_router import plain_call_request
from tests import utils
from tests import virtual_time


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_bounded_when_every_attempt_fails(self):
        """All requests and all retries fail."""
        for ratio, per_second in ((0.1, 100), (0.2, 1000), (0.1, 10)):
            with self.subTest(ratio=ratio, per_second=per_second):
                budget = retry.RetryBudget(0.0, ratio=ratio)
                requests = 0
                retries = 0
                for step in range(60 * per_second):
                    now = step / per_second
                    budget.record_request(now)
                    requests += 1
                    while budget.try_spend(now):
                        retries += 1
                bound = ratio * requests
                bound += retry.MIN_RETRIES_PER_SECOND * (
                    60 + retry.RETRY_BUDGET_WINDOW_SECONDS
                )
                self.assertLessEqual(retries, bound)
                self.assertGreater(retries, 0.8 * ratio * requests)

    def test_idle_router_may_retry(self):
        budget = retry.RetryBudget(0.0)
        self.assertTrue(budget.try_spend(0.0))

    def test_unused_budget_expires(self):
        budget = retry.RetryBudget(0.0, min_per_second=0.0)
        for _ in range(1000):
            budget.record_request(0.0)
        later = 20 * retry.RETRY_BUDGET_WINDOW_SECONDS
        self.assertFalse(budget.try_spend(later))


class PlainCallsTest(unittest.TestCase):
    def test_failing_servers_do_not_double_the_idempotent_calls(self):
        calls = 60

        async def work():
            cluster = utils.Cluster()
            await cluster.start(runners=0, services=2)
            for service in cluster.services:
                service.refuse = True
            results = await asyncio.gather(
                *(self.make_idempotent_call(cluster) for _ in range(calls)),
                return_exceptions=True,
            )
            counters = cluster.counters_of(ids.VmId("entry-1"))
            await cluster.stop()
            return results, counters

        results, counters = virtual_time.run(work())
        for result in results:
            self.assertIs(result.ran, states.Ran.NOT_RUN, result)
        spare = retry.MIN_RETRIES_PER_SECOND * retry.RETRY_BUDGET_WINDOW_SECONDS
        max_failed = calls + retry.RETRY_BUDGET_RATIO * calls + spare
        self.assertLessEqual(counters["plain.idempotent_failed"], max_failed)
        self.assertGreater(counters["plain.idempotent_failed"], calls)

    async def make_idempotent_call(self, cluster):
        service = cluster.declared.services[0]
        request = plain_call_request.PlainCallRequest(
            cluster.declared.client_accounts[0],
            service,
            service.calls[1],
            "GET",
            "/releases/7",
            (),
            b"",
            None,
        )
        return await cluster.router.plain.call(request)


class BackoffTest(unittest.TestCase):
    def test_waits_double_to_the_bound_with_jitter(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                backoff = retry.Backoff(
                    random.Random(seed), first=1.0, largest=5.0
                )
                for bound in (1.0, 2.0, 4.0, 5.0, 5.0):
                    seconds = backoff.next_seconds()
                    self.assertLessEqual(seconds, bound)
                    self.assertGreaterEqual(seconds, bound / 2)
                backoff.reset()
                self.assertLessEqual(backoff.next_seconds(), 1.0)

    def test_backoff_differs_between_routers(self):
        waits = {
            retry.Backoff(random.Random(seed)).next_seconds()
            for seed in range(20)
        }
        self.assertEqual(len(waits), 20)


if __name__ == "__main__":
    unittest.main()
