import unittest

from nutmeglift import ids
from nutmeglift_gateway import loads
from nutmeglift_gateway import server_selection
from tests.gateway import rig

HOME = ids.FailureDomain("a")


def make(name, domain="a"):
    return rig.make_server(
        name, domain=ids.FailureDomain(domain), address=name, slots=6
    )


class SelectServerTest(unittest.TestCase):
    def test_selected_server(self):
        near, other, far = make("near"), make("other"), make("far", "b")
        cases = [
            # requests in flight, lost responses, selected
            ({}, [], "near"),
            ({"near": 1}, [], "other"),
            ({"near": 1, "other": 1}, [], "near"),
            ({"near": 3, "other": 3}, [], "far"),
            ({}, ["near"], "other"),
            ({}, ["near", "other"], "far"),
            ({"far": 6}, ["near", "near", "other"], "other"),
        ]
        for requests, losses, expected in cases:
            with self.subTest(requests=requests, losses=losses):
                load_tracker = loads.LoadTracker()
                load_tracker.record_report(
                    0.0, "p", {a: loads.Load(n) for a, n in requests.items()}
                )
                penalties = server_selection.LossPenalties()
                for address in losses:
                    penalties.record_loss(0.0, address)
                selected = server_selection.select_server(
                    0.0, [far, near, other], load_tracker, HOME, penalties
                )
                self.assertEqual(selected.id, expected)

    def test_no_server(self):
        self.assertIsNone(
            server_selection.select_server(
                0.0,
                [],
                loads.LoadTracker(),
                HOME,
                server_selection.LossPenalties(),
            )
        )

    def test_penalties_decay_and_are_bounded(self):
        penalties = server_selection.LossPenalties()
        for _ in range(1000):
            penalties.record_loss(0.0, "x")
        self.assertEqual(
            penalties.value(0.0, "x"), server_selection.MAX_PENALTY_REQUESTS
        )
        self.assertLess(penalties.value(30.0, "x"), 0.1)
        self.assertEqual(penalties.value(0.0, "y"), 0.0)


class LossyServerTest(unittest.TestCase):
    """Release requests while one of three servers loses 2 of 5 responses."""

    def test_few_releases_are_lost(self):
        rng = rig.make_rng()
        servers = [make("x"), make("y"), make("z")]
        penalties = server_selection.LossPenalties()
        load_tracker = loads.LoadTracker()
        lost = 0
        for number in range(100):
            now = number * 0.2
            selected = server_selection.select_server(
                now, servers, load_tracker, HOME, penalties
            )
            if selected.id == "x" and rng.random() < 0.4:
                lost += 1
                penalties.record_loss(now, selected.address)
        self.assertLess(lost, 10)


if __name__ == "__main__":
    unittest.main()
