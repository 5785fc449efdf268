"""Offers of room from the paths of a small deployment."""

import unittest

from nutmeglift import ids
from nutmeglift_gateway import directory
from nutmeglift_gateway import loads
from nutmeglift_gateway.load import demand_tracker
from nutmeglift_gateway.load import path_room
from nutmeglift_gateway.load import room
from nutmeglift_gateway.load import urgency
from tests.gateway import rig

NOW = 200.0
NEEDS = room.RoomRequest(
    rig.MODEL, urgency.Urgency(2, 1.2, 0.3, NOW), 800, 900.0, 2
)


class PathRoomTest(unittest.TestCase):
    def setUp(self):
        self.board = rig.make_board()
        self.demand = demand_tracker.DemandTracker()
        self.room = path_room.PathRoom(self.board, self.demand)

    def add_runner(self, name, start, end, domain="a", kind="whole"):
        server = rig.make_server(
            name,
            address=f"10.0.0.{len(self.board.directory.server_by_id)}:1",
            domain=ids.FailureDomain(domain),
            kind=kind,
            layers=directory.LayerRange(start, end),
        )
        self.board.directory.put(0.0, server)
        return server

    def fill(self, server, tokens, prompt_tokens=0):
        reserved = (
            loads.Reservation(
                server.address, True, 80.0 * tokens, 80.0 * prompt_tokens
            ),
        )
        self.board.load_tracker.reserve(reserved)
        self.board.load_tracker.begin_prompts(reserved)
        return reserved

    def test_an_offer_counts_the_request_itself_on_its_path(self):
        self.add_runner("x", 0, 80)
        offer = self.room.offer(NOW, NEEDS)
        self.assertEqual(self.room.last_path.first.id, "x")
        self.assertGreater(offer.fastest_seconds, offer.first_event_seconds)
        self.assertEqual(self.board.load_tracker.own(), {})
        self.assertEqual(self.board.load_tracker.at("10.0.0.0:1").requests, 0)

    def test_another_failure_domain_stays_fast_for_others(self):
        alone = self.add_runner("x", 0, 80)
        before = self.room.offer(NOW, NEEDS)
        self.add_runner("y", 0, 80, domain="b")
        offer = self.room.offer(NOW + 1.0, NEEDS)
        self.assertLess(offer.fastest_seconds, before.fastest_seconds)
        self.fill(alone, 0, 30000)
        offer = self.room.offer(NOW + 2.0, NEEDS)
        self.assertEqual(self.room.last_path.first.id, "y")

    def test_use_and_capacity(self):
        server = self.add_runner("x", 0, 80)
        capacity = self.room.offer(NOW, NEEDS).capacity_tokens
        self.fill(server, capacity * 0.5)
        for tokens in self.room.held_and_free(rig.MODEL):
            self.assertAlmostEqual(tokens, capacity * 0.5)
        self.assertEqual(self.room.held_and_free(rig.CORE), (0.0, 0.0))
        offer = self.room.offer(NOW, NEEDS)
        self.assertAlmostEqual(
            offer.used_ratio, 0.5 + 900.0 / capacity, places=3
        )

    def test_no_room(self):
        server = self.add_runner("x", 0, 80)
        self.assertIsNone(self.room.seconds_until_freed(NOW, NEEDS))
        self.fill(server, 1e6)
        self.assertIsNone(self.room.offer(NOW, NEEDS))
        self.assertIsNone(self.room.last_path)
        self.assertIsNone(self.room.seconds_until_freed(NOW, NEEDS))
        for step in range(50):
            self.demand.record_end(NOW - 5.0 + 0.1 * step, rig.MODEL)
        self.assertAlmostEqual(
            self.room.seconds_until_freed(NOW, NEEDS), 0.1, delta=0.02
        )

    def test_missing_layers_are_not_waited_for(self):
        self.add_runner("x", 0, 40)
        self.demand.record_end(NOW, rig.MODEL)
        self.assertIsNone(self.room.offer(NOW, NEEDS))
        self.assertIsNone(self.room.seconds_until_freed(NOW, NEEDS))

    def test_full_links_are_free_again_when_their_transfers_are_old(self):
        self.add_runner("x", 0, 40)
        self.add_runner("y", 40, 80, domain="b")
        self.room.offer(NOW, NEEDS)
        budget = self.board.link_budget
        path = self.room.last_path
        # A token takes 36 µs of the link; 0.6 s of each second may be used.
        for at in (NOW, NOW + 0.2):
            budget.record_transfer(at, rig.ENGINE, path, 9000)
        offer = self.room.offer(NOW + 0.1, NEEDS)
        self.assertIsNone(offer)
        freed = self.room.seconds_until_freed(NOW + 0.3, NEEDS)
        self.assertAlmostEqual(freed, 0.7)
        offer = self.room.offer(NOW + 0.3 + freed, NEEDS)
        self.assertAlmostEqual(offer.link_used_ratio, 0.545, places=2)


if __name__ == "__main__":
    unittest.main()
