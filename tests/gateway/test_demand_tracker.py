"""Recent demand by service and priority."""

import unittest

import msgspec

from nutmeglift import ids
from nutmeglift_gateway.load import demand_rows
from nutmeglift_gateway.load import demand_tracker
from nutmeglift_gateway.load import room
from nutmeglift_gateway.load import urgency
from tests.gateway import rig


def make_request(priority=0, objective=0.5, service=rig.MODEL, tokens=800):
    return room.RoomRequest(
        service,
        urgency.Urgency(priority, objective, 0.3, 0.0),
        tokens,
        tokens + 100.0,
        priority,
    )


class DemandTrackerTest(unittest.TestCase):
    def setUp(self):
        self.tracker = demand_tracker.DemandTracker()

    def test_rates(self):
        for step in range(100):
            self.tracker.record(0.1 * step, make_request())
        found = self.tracker.by_priority(9.9, rig.MODEL)[0]
        self.assertAlmostEqual(found.arrivals_per_second, 10.0, delta=1.0)
        self.assertAlmostEqual(found.prompt_tokens, 800.0)
        self.assertAlmostEqual(found.held_tokens, 900.0)

    def test_what_is_no_longer_in_demand_is_forgotten(self):
        self.tracker.record(0.0, make_request(0))
        self.tracker.record(1.0, make_request(2))
        table = {1.0: {0, 2}, 2.9: {0, 2}, 3.1: {2}, 4.1: set()}
        for now, expected in table.items():
            with self.subTest(now):
                found = self.tracker.by_priority(now, rig.MODEL)
                self.assertEqual(set(found), expected)
                by_service = self.tracker.by_service(now)
                self.assertEqual(
                    set(by_service), {rig.MODEL} if found else set()
                )
        self.assertEqual(self.tracker.by_priority(1.0, rig.CORE), {})

    def test_the_shortest_recent_objective_counts(self):
        for at, objective in ((0.0, 0.5), (1.0, 0.9), (3.5, 0.7)):
            self.tracker.record(at, make_request(0, objective))
        self.assertEqual(
            self.tracker.by_priority(1.0, rig.MODEL)[0].objective, 0.7
        )

    def test_ends_tell_how_fast_room_frees(self):
        self.assertEqual(self.tracker.ends_per_second(0.0, rig.MODEL), 0.0)
        for step in range(100):
            self.tracker.record_end(0.1 * step, rig.MODEL)
        found = self.tracker.ends_per_second(9.9, rig.MODEL)
        self.assertAlmostEqual(found, 10.0, delta=1.0)
        self.assertEqual(self.tracker.ends_per_second(20.0, rig.MODEL), 0.0)

    def test_memory_is_bounded(self):
        for number in range(3 * demand_tracker.MAX_ROW_COUNT):
            service = ids.ServiceId(f"model-{number}")
            now = 0.0001 * number
            self.tracker.record(now, make_request(service=service))
            self.tracker.record_end(now, service)
        self.assertLessEqual(
            len(self.tracker._rows_by_service), demand_tracker.MAX_ROW_COUNT
        )
        self.assertLessEqual(
            len(self.tracker._ends_by_service), demand_tracker.MAX_ROW_COUNT
        )

    def test_absurd_token_counts_tell_peers_something_valid(self):
        self.tracker.record(100.0, make_request(tokens=10**18))
        decoder = demand_rows.Decoder()
        rows = demand_rows.Encoder().encode(self.tracker.by_service(100.0))
        raw = [msgspec.to_builtins(row) for row in rows]
        self.assertEqual(decoder.apply(raw), [])
        for _ in range(40):
            self.tracker.record(100.0, make_request())
        found = self.tracker.by_priority(100.0, rig.MODEL)[0]
        self.assertLess(found.prompt_tokens, 1e5)


if __name__ == "__main__":
    unittest.main()
