import unittest

from nutmeglift_gateway import settings
from nutmeglift_gateway import store_outage
from tests.gateway import rig

WINDOW = store_outage.LAPSE_WINDOW_SECONDS


def fail(sent_at, now):
    return ("fail", sent_at, now)


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
                case ("answer", now):
                    outage.record_answer(now)
        return outage

    def test_the_window_starts_with_the_last_failed_call(self):
        never = float("-inf")
        cases = [
            # name, calls, time of the removal, start of the window
            ("no failure", [answer(1.0)], 2.0, never),
            ("still away", [fail(2.0, 3.0), fail(3.1, 4.1)], 4.2, 3.1),
            ("returned", [fail(2.0, 3.0), fail(3.1, 4.1), answer(4.2)], 9.0,
             3.1),
            ("too short to let an entry lapse", [fail(2.0, 2.1), answer(2.3)],
             2.4, never),
            ("an answer while the call waited",
             [answer(1.0), answer(2.5), fail(2.0, 3.0)], 3.1, never),
            ("a watch from the outage fails after the return",
             [fail(2.0, 3.0), fail(3.1, 4.1), answer(4.2), fail(2.5, 5.0)],
             5.1, 3.1),
        ]  # fmt: skip
        for name, events, removed_at, start in cases:
            with self.subTest(name):
                outage = self.play(events)
                self.assertAlmostEqual(
                    outage.lapse_window_end(removed_at), start + WINDOW
                )

    def test_the_window_ends_before_the_bounds_hold_again(self):
        for contact in (1.0, 3.0, 5.0):
            with self.subTest(contact):
                self.board.set_bounds(settings.Bounds(contact_seconds=contact))
                outage = self.play([fail(2.0, 3.0), answer(3.1)])
                self.assertLess(outage.lapse_window_end(3.1), 2.0 + contact)

    def test_what_is_logged(self):
        self.play([fail(2.0, 3.0), fail(3.1, 4.1), answer(4.2), fail(2.5, 5.0)])
        self.assertEqual(
            self.log.events(),
            ["store lost", "store regained", "store call failed"],
        )
        self.assertEqual(self.log.lines[0][1]["sent_ago"], 1.0)


if __name__ == "__main__":
    unittest.main()
