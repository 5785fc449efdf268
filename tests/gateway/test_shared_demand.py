"""Demand over all routers."""

import unittest

from nutmeglift import ids
from nutmeglift_gateway import loads
from nutmeglift_gateway.load import demand
from nutmeglift_gateway.load import shared_demand

MODEL = ids.ServiceId("model")
LITTLE = demand.Demand(1.0, 0.6, 1, 400.0, 500.0)
MUCH = demand.Demand(3.0, 0.5, 2, 800.0, 900.0)


class SharedDemandTest(unittest.TestCase):
    def test_the_demand_of_all_routers(self):
        both = demand.Demand(4.0, 0.5, 3, 700.0, 800.0)
        waiting = demand.Demand(0.0, 0.5, 2, 100.0, 100.0)
        # own demand, that of each peer, all by priority
        cases = [
            ({}, [], {}),
            ({1: LITTLE}, [], {1: LITTLE}),
            ({}, [{1: LITTLE}], {1: LITTLE}),
            ({1: LITTLE}, [{1: MUCH}], {1: both}),
            ({}, [{1: LITTLE}, {1: MUCH}], {1: both}),
            ({0: MUCH}, [{1: LITTLE}, {2: MUCH}],
             {0: MUCH, 1: LITTLE, 2: MUCH}),
            ({0: waiting}, [{0: waiting}],
             {0: demand.Demand(0.0, 0.5, 4, 100.0, 100.0)}),
        ]  # fmt: skip
        for own, peers, expected in cases:
            with self.subTest(own=own, peers=peers):
                shared = shared_demand.SharedDemand()
                shared.own = lambda now, own=own: {MODEL: own}
                for number, each in enumerate(peers):
                    shared.record_report(
                        5.0,
                        f"r{number}",
                        {(MODEL, priority): d for priority, d in each.items()},
                    )
                found = shared.by_priority(5.0, MODEL)
                self.assertEqual(found, expected)
                other = ids.ServiceId("other")
                self.assertEqual(shared.by_priority(5.0, other), {})

    def test_a_silent_peer_counts_as_long_as_its_loads(self):
        shared = shared_demand.SharedDemand()
        shared.record_report(5.0, "one", {(MODEL, 1): LITTLE})
        shared.record_report(6.0, "two", {(MODEL, 1): MUCH})
        limit = loads.PEER_REPORT_TIMEOUT_SECONDS
        cases = [(6.0, 4.0), (5.01 + limit, 3.0), (6.01 + limit, None)]
        for now, arrivals in cases:
            with self.subTest(now=now):
                found = shared.by_priority(now, MODEL).get(1)
                self.assertEqual(found and found.arrivals_per_second, arrivals)


if __name__ == "__main__":
    unittest.main()
