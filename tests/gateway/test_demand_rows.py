"""The demand in the reports on one link."""

import random
import unittest
from unittest import mock

import msgspec

from nutmeglift import ids
from nutmeglift_gateway.load import demand
from nutmeglift_gateway.load import demand_rows

MODEL = ids.ServiceId("model")
ROW = ["model", 1, 400, 500, 2, 700, 900]
FOUND = demand.Demand(4.0, 0.5, 2, 700.0, 900.0)


def make_demand(rng):
    return {
        ids.ServiceId(service): {
            priority: demand.Demand(
                rng.randint(1, 99), rng.choice([0.5, 1.2]), rng.randint(0, 3)
            )
            for priority in rng.sample(range(4), rng.randint(0, 3))
        }
        for service in ("x", "y")
    }


class DemandRowsTest(unittest.TestCase):
    def setUp(self):
        self.encoder = demand_rows.Encoder()
        self.decoder = demand_rows.Decoder()

    def pass_on(self, known):
        rows = msgspec.to_builtins(self.encoder.encode(known))
        self.assertEqual(self.decoder.apply(rows), [])
        return len(rows)

    def test_both_sides_agree_after_each_report(self):
        rng = random.Random(3)
        for _ in range(200):
            known = make_demand(rng)
            self.pass_on(known)
            expected = {
                (service, priority): each
                for service, demand_by_priority in known.items()
                for priority, each in demand_by_priority.items()
            }
            found = self.decoder.demand_by_key
            self.assertEqual(found.keys(), expected.keys())
            for key, each in expected.items():
                self.assertAlmostEqual(
                    found[key].arrivals_per_second,
                    each.arrivals_per_second,
                    delta=each.arrivals_per_second / 4,
                )
                self.assertEqual(found[key].objective, each.objective)
                self.assertEqual(bool(found[key].waiting), bool(each.waiting))

    def test_only_changes_are_sent(self):
        cases = [
            ("first", {1: demand.Demand(10.0, 0.5), 2: FOUND}, 2),
            ("nothing", {1: demand.Demand(10.0, 0.5), 2: FOUND}, 0),
            ("a little more", {1: demand.Demand(11.0, 0.5), 2: FOUND}, 0),
            ("and more", {1: demand.Demand(11.9, 0.5), 2: FOUND}, 0),
            ("more", {1: demand.Demand(12.1, 0.5), 2: FOUND}, 1),
            ("one waits", {1: demand.Demand(12.1, 0.5, 1), 2: FOUND}, 1),
            ("no demand", {2: FOUND}, 1),
        ]
        for name, by_priority, count in cases:
            with self.subTest(name):
                self.assertEqual(self.pass_on({MODEL: by_priority}), count)
                self.assertEqual(
                    {key[1] for key in self.decoder.demand_by_key},
                    set(by_priority),
                )

    def test_a_malformed_row_is_left_out_alone(self):
        malformed = [
            7, [], ["model"], ["model", "1", 400, 500, 2, 700, 900],
            ["", *ROW[1:]], ["m" * 300, *ROW[1:]], ["model", 10**12, *ROW[2:]],
            ["model", 1, -4, *ROW[3:]], ["model", 1, float("nan"), *ROW[3:]],
            ["model", 1, 10**12, *ROW[3:]], [*ROW[:4], -1, *ROW[5:]],
        ]  # fmt: skip
        for row in malformed:
            with self.subTest(row=row):
                self.setUp()
                problems = self.decoder.apply([row, ROW])
                self.assertEqual(len(problems), 1)
                self.assertEqual(
                    self.decoder.demand_by_key, {(MODEL, 1): FOUND}
                )

    def test_the_rows_of_one_router_are_bounded(self):
        known = {MODEL: dict.fromkeys(range(9), FOUND)}
        with mock.patch.object(demand_rows, "MAX_ROW_COUNT", 5):
            self.assertEqual(self.pass_on(known), 5)
            problems = self.decoder.apply([["other", *ROW[1:]], ROW])
        self.assertEqual(problems, ["too much demand"])
        self.assertEqual(len(self.decoder.demand_by_key), 5)


if __name__ == "__main__":
    unittest.main()
