"""Tests of share credits: first requests run at once within the limit."""

import random
import unittest

from nutmeglift import account_budget
from nutmeglift import declaration
from nutmeglift import ids
from nutmeglift import share_holder
from nutmeglift import shares

LIMIT = 10.0
ACCOUNT = declaration.ClientAccount(
    id=ids.AccountId("bank-a"), requests_per_second=LIMIT
)
TICK_SECONDS = 0.05
IDLE_SECONDS = 10.0


class CreditRetainingDivision(shares.Division):
    """Faulty: keeps the credit that it has granted."""

    def take_credit(self, now, wanted):
        credit = super().take_credit(now, wanted)
        self._saved += credit
        return credit


class Routers:
    """Share holders that query the owner at once when a request must wait."""

    def __init__(self, count):
        self.now = 0.0
        self.owner = shares.ShareOwner(1, 0.0, first=True)
        self.owner.set_accounts([ACCOUNT])
        self.holders = [share_holder.ShareHolder() for _ in range(count)]
        for holder in self.holders:
            holder.set_routers(count)
            holder.set_owner(1)

    def request(self, index):
        """Makes a request and returns whether it was allowed."""
        holder = self.holders[index]
        if holder.take(self.now, ACCOUNT, 0.0).allowed:
            return True
        if not holder.request_credit(self.now, ACCOUNT, 0.0):
            return False
        self.now += account_budget.MIN_CREDIT_INTERVAL_SECONDS
        self.exchange_demand(index)
        return holder.take(self.now, ACCOUNT, 0.0).allowed

    def exchange_demand(self, index):
        holder = self.holders[index]
        demand = holder.make_demand(self.now)
        if demand is None:
            return
        vm = ids.VmId(f"entry-{index}")
        grant = self.owner.handle_demand(self.now, vm, demand)
        holder.apply_grant(self.now, grant)


class FirstRequestTest(unittest.TestCase):
    # Router count: consecutive requests at each router.
    REQUESTS_BY_ROUTER_COUNT = {1: 8, 3: 4, 30: 1}

    def test_idle_accounts_first_requests_run_at_once(self):
        for count, requests_per_router in self.REQUESTS_BY_ROUTER_COUNT.items():
            with self.subTest(routers=count):
                routers = Routers(count)
                routers.now = IDLE_SECONDS
                allowed = [
                    routers.request(index)
                    for index in range(count)
                    for _ in range(requests_per_router)
                ]
                self.assertTrue(all(allowed), allowed)

    def test_exhausted_account_causes_no_repeated_demands(self):
        routers = Routers(3)
        routers.now = IDLE_SECONDS
        while routers.request(0):
            routers.now += account_budget.MIN_CREDIT_INTERVAL_SECONDS
        holder = routers.holders[0]
        asks = sum(
            holder.request_credit(routers.now, ACCOUNT, 0.0) for _ in range(50)
        )
        self.assertEqual(asks, 0)


class ConservationTest(unittest.TestCase):
    def count_allowed(self, seed, seconds):
        """Sends bursts to varying routers and returns the allowed requests."""
        rng = random.Random(seed)
        routers = Routers(4)
        allowed = 0
        rates = [0.0] * 4
        for step in range(round(seconds / TICK_SECONDS)):
            routers.now += TICK_SECONDS
            if step % 40 == 0:
                rates = [rng.choice((0.0, 0.0, 2.0, 30.0)) for _ in rates]
            for index, rate in enumerate(rates):
                if rng.random() < rate * TICK_SECONDS:
                    allowed += routers.request(index)
                if step % 10 == 0:
                    routers.exchange_demand(index)
        return allowed

    def test_allowed_requests_stay_within_limit_plus_saved_credit(self):
        seconds = 60.0
        maximum = LIMIT * (seconds + shares.MAX_SAVED_LIMIT_SECONDS)
        for seed in range(20):
            with self.subTest(seed=seed):
                allowed = self.count_allowed(seed, seconds)
                self.assertLessEqual(allowed, maximum)
                self.assertGreater(allowed, maximum / 4)

    def test_oracle_detects_credit_granted_twice(self):
        real, shares.Division = shares.Division, CreditRetainingDivision
        self.addCleanup(setattr, shares, "Division", real)
        maximum = LIMIT * (60.0 + shares.MAX_SAVED_LIMIT_SECONDS)
        self.assertGreater(self.count_allowed(1, 60.0), maximum)


if __name__ == "__main__":
    unittest.main()
