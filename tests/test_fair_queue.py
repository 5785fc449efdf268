"""Tests of order, fairness and displacement in the fair queue."""

import collections
import dataclasses
import random
import unittest

from nutmeglift import fair_queue
from nutmeglift import ids


def make_waiting(number, account="a", priority=0, weight=1.0, cost=10.0):
    return fair_queue.QueuedRequest(
        number, ids.AccountId(account), priority, weight, cost, float(number)
    )


def pop_all(queue):
    popped = []
    while (request := queue.pop()) is not None:
        popped.append(request)
    return popped


def pop_cost(queue, pops, key):
    cost = collections.Counter()
    for _ in range(pops):
        request = queue.pop()
        cost[getattr(request, key)] += request.cost
    return cost


class FairnessTest(unittest.TestCase):
    TABLE = {
        # name: ((account, weight, cost, requests), ...), share of "a"
        "equal": ((("a", 1, 10, 100), ("b", 1, 10, 100)), 1 / 2),
        "weights": ((("a", 3, 10, 200), ("b", 1, 10, 200)), 3 / 4),
        "long requests": ((("a", 1, 100, 100), ("b", 1, 10, 900)), 1 / 2),
        "flood": ((("a", 1, 10, 60), ("b", 1, 10, 2000)), 1 / 2),
    }

    def test_served_work_follows_the_weights(self):
        for name, (accounts, share) in self.TABLE.items():
            with self.subTest(name):
                queue = fair_queue.FairQueue(10000)
                number = 0
                for account, weight, cost, requests in accounts:
                    for _ in range(requests):
                        number += 1
                        queue.push(
                            make_waiting(number, account, 0, weight, cost)
                        )
                cost = pop_cost(queue, 100, "account")
                self.assertAlmostEqual(
                    cost["a"] / cost.total(), share, delta=0.06
                )

    def test_shares_follow_the_actual_cost(self):
        queue = fair_queue.FairQueue(10000)
        for number in range(400):
            queue.push(make_waiting(number, "ab"[number % 2]))
        cost = collections.Counter()
        for _ in range(200):
            request = queue.pop()
            actual_cost = 40.0 if request.account == "a" else 10.0
            cost[request.account] += actual_cost
            queue.adjust_cost(request, actual_cost)
        self.assertAlmostEqual(cost["a"] / cost.total(), 1 / 2, delta=0.05)

    def test_idle_account_accumulates_no_credit(self):
        queue = fair_queue.FairQueue(10000)
        for number in range(100):
            queue.push(make_waiting(number, "a"))
        pop_cost(queue, 50, "account")
        for number in range(100, 200):
            queue.push(make_waiting(number, "b"))
        cost = pop_cost(queue, 40, "account")
        self.assertAlmostEqual(cost["b"] / cost.total(), 1 / 2, delta=0.05)

    def test_debt_outlives_an_empty_queue(self):
        queue = fair_queue.FairQueue(10000)
        queue.push(make_waiting(0, "a", cost=500.0))
        queue.push(make_waiting(1, "b"))
        self.assertEqual(len(pop_all(queue)), 2)
        for number in range(2, 100):
            queue.push(make_waiting(number, "ab"[number % 2]))
        cost = pop_cost(queue, 40, "account")
        self.assertEqual(cost["a"], 0)


class PriorityTest(unittest.TestCase):
    def test_higher_goes_first(self):
        queue = fair_queue.FairQueue(100)
        for number, priority in enumerate((0, 9, 3, 9)):
            queue.push(make_waiting(number, priority=priority))
        order = [request.number for request in pop_all(queue)]
        self.assertEqual(order, [1, 3, 2, 0])

    def test_low_priorities_get_their_minimum_share(self):
        for floor in (0.05, 0.2):
            with self.subTest(floor):
                queue = fair_queue.FairQueue(10000, floor)
                for number in range(1000):
                    queue.push(make_waiting(3 * number, "high", 9, cost=20.0))
                    queue.push(make_waiting(3 * number + 1, "mid", 5))
                    queue.push(make_waiting(3 * number + 2, "low", 0))
                cost = pop_cost(queue, 500, "priority")
                self.assertAlmostEqual(
                    (cost[0] + cost[5]) / cost.total(), floor, delta=0.01
                )
                self.assertGreater(cost[0], 0)
                self.assertGreater(cost[5], 0)


class OrderTest(unittest.TestCase):
    def test_an_account_begins_with_what_is_due_first(self):
        cases = {
            "no due times": ((None, None, None), [0, 1, 2]),
            "due times": ((3.0, 1.0, 2.0), [1, 2, 0]),
            "some due times": ((None, 2.0, None), [1, 0, 2]),
            "equal": ((1.0, 1.0, 1.0), [0, 1, 2]),
        }
        for name, (due_times, expected) in cases.items():
            with self.subTest(name):
                queue = fair_queue.FairQueue(10)
                for number, due_at in enumerate(due_times):
                    queue.push(
                        dataclasses.replace(make_waiting(number), due_at=due_at)
                    )
                order = [request.number for request in pop_all(queue)]
                self.assertEqual(order, expected)

    def test_peek_returns_what_pop_returns(self):
        rng = random.Random(3)
        queue = fair_queue.FairQueue(200, 0.2)
        self.assertIsNone(queue.peek())
        for number in range(200):
            queue.push(
                make_waiting(
                    number,
                    rng.choice("abc"),
                    rng.choice((0, 5, 9)),
                    cost=rng.uniform(1.0, 20.0),
                )
            )
        while len(queue):
            self.assertIs(queue.peek(), queue.peek())
            self.assertIs(queue.peek(), queue.pop())


class DisplacementTest(unittest.TestCase):
    TABLE = {
        # name: waiting (account, priority), arrival, displaced number
        "room left": ([("a", 0)], ("b", 0), None),
        "lower arrival": ([("a", 5), ("a", 5)], ("b", 0), 99),
        "higher arrival": ([("a", 5), ("b", 0)], ("c", 9), 1),
        "newest of lowest": ([("a", 0), ("a", 0)], ("c", 9), 1),
        "equal, lighter": ([("a", 0), ("a", 0)], ("b", 0), 1),
        "equal, as heavy": ([("a", 0), ("b", 0)], ("c", 0), 99),
        "own queue": ([("a", 0), ("a", 0)], ("a", 0), 99),
    }

    def test_displaced_request(self):
        for name, (
            present,
            (account, priority),
            expected_displaced,
        ) in self.TABLE.items():
            with self.subTest(name):
                queue = fair_queue.FairQueue(2)
                for number, (owner, level) in enumerate(present):
                    queue.push(make_waiting(number, owner, level))
                displaced = queue.push(make_waiting(99, account, priority))
                found = displaced.number if displaced else None
                self.assertEqual(found, expected_displaced)
                self.assertEqual(len(queue), 2)

    def test_cost_ahead(self):
        queue = fair_queue.FairQueue(100)
        for number in range(4):
            queue.push(make_waiting(number, "a", 5))
        queue.push(make_waiting(10, "b", 5))
        queue.push(make_waiting(11, "c", 7))
        cases = {("a", 9): 0, ("a", 5): 60, ("z", 5): 10, ("a", 0): 60}
        cases[("b", 5)] = 30
        for (account, priority), ahead in cases.items():
            with self.subTest(account=account, priority=priority):
                self.assertEqual(
                    queue.cost_ahead(ids.AccountId(account), priority, 1.0),
                    ahead,
                )

    def test_idle_accounts_are_removed(self):
        queue = fair_queue.FairQueue(100)
        queue.push(make_waiting(-1, "long", cost=1.0))
        for number in range(20000):
            queue.push(make_waiting(number, f"account-{number}"))
            if number % 2:
                queue.pop()
                queue.pop()
        level = queue._level_by_priority[0]
        self.assertLess(len(level._start_by_idle_account), 4097)
        self.assertLess(len(level._heap), 200)


if __name__ == "__main__":
    unittest.main()
