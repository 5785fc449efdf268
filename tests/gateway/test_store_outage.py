import unittest

from nutmeglift_gateway import settings
from nutmeglift_gateway import store_outage
from tests.gateway import rig

WINDOW = store_outage.LAPSE_WINDOW_SECONDS


def fail(sent_at, now):
    return ("fail", sent_at, now)


def peer_fails(since, last_at, now):
    return ("peer fails", since, last_at, now)


def answer(now):
    return ("answer", now)


class StoreOutageTest(unittest.TestCase):
    def setUp(self):
        self.board = rig.make_board()
        self.log = rig.MemoryLog()

    def play(self, events):
        outage = store_outage.StoreOutage(self.board, self.log)
        for event in events:
            match event:
                case ("fail", sent_at, now):
                    outage.record_failure(now, sent_at, "no response")
                case ("peer fails", since, last_at, now):
                    outage.record_peer_failures(now, since, last_at)
                case ("answer", now):
                    outage.record_answer(now)

    def test_the_window_starts_with_the_last_failed_call(self):
        never = float("-inf")
        cases = [
            # name, calls, start of the window
            ("no failure", [answer(1.0)], never),
            ("still away", [fail(2.0, 3.0), fail(3.1, 4.1)], 3.1),
            ("returned", [fail(2.0, 3.0), fail(3.1, 4.1), answer(4.2)], 3.1),
            ("too short to let an entry lapse", [fail(2.0, 2.1), answer(2.3)],
             never),
            ("calls that fail at once",
             [fail(2.0, 2.0), fail(2.8, 2.8), answer(3.1)], 2.8),
            ("an answer while the call waited",
             [answer(1.0), answer(2.5), fail(2.0, 3.0)], never),
            ("a watch from the outage fails after the return",
             [fail(2.0, 3.0), fail(3.1, 4.1), answer(4.2), fail(2.5, 5.0)],
             3.1),
            ("a later call from the outage fails after the return",
             [fail(2.0, 3.0), fail(3.1, 4.1), answer(4.2), fail(4.0, 5.0)],
             4.0),
            ("a call fails after the outage",
             [fail(2.0, 3.0), answer(3.1), fail(4.0, 4.5), answer(4.6)], 2.0),
            ("a peer's calls fail longer",
             [fail(2.0, 3.0), peer_fails(1.8, 4.0, 4.1), answer(4.5)], 4.0),
            ("a peer's calls fail before",
             [fail(2.9, 2.9), peer_fails(1.8, 2.7, 3.0), answer(3.2)], 2.9),
            ("a peer's calls fail that the store refuses alone",
             [answer(1.0), peer_fails(1.8, 4.0, 4.1), answer(4.5)], never),
            ("a peer's calls fail for longer than since our last answer",
             [answer(3.0), fail(3.5, 3.5), peer_fails(1.8, 3.6, 3.7),
              answer(3.9)], never),
        ]  # fmt: skip
        for name, events, start in cases:
            with self.subTest(name):
                self.board.directory.lapse_window_end = never
                self.play(events)
                self.assertAlmostEqual(
                    self.board.directory.lapse_window_end, start + WINDOW
                )

    def test_the_window_ends_before_the_bounds_hold_again(self):
        for contact in (1.0, 3.0, 5.0):
            with self.subTest(contact):
                self.board.directory.lapse_window_end = float("-inf")
                self.board.set_bounds(settings.Bounds(contact_seconds=contact))
                self.play([fail(2.0, 3.0), answer(3.1)])
                self.assertLess(
                    self.board.directory.lapse_window_end, 2.0 + contact
                )

    def test_what_is_logged(self):
        self.play([fail(2.0, 3.0), fail(3.1, 4.1), answer(4.2), fail(2.5, 5.0)])
        self.assertEqual(
            self.log.events(),
            ["store lost", "store regained", "store call failed"],
        )
        self.assertEqual(self.log.lines[0][1]["sent_ago"], 1.0)


if __name__ == "__main__":
    unittest.main()
