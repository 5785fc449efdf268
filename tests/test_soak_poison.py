"""How the soak counts the requests that reach servers too late."""

import unittest

from tests.soak import poison


class PoisonTest(unittest.TestCase):
    def test_arrivals_after_the_bound_are_counted(self):
        # Times of the crashes and of the arrivals; whether the router is in
        # touch; seconds without a processor; number of late arrivals.
        five = [1.0, 2.0, 3.0, 4.0, 5.0]
        after = [8.1, 8.2, 8.3, 8.4]
        cases = [
            (five, after, True, 0.0, 4),
            (five, after[:3], True, 0.0, 0),
            (five[:4], after, True, 0.0, 0),
            (five, [7.0, 7.5, 7.9, 8.0], True, 0.0, 0),
            (five, after, False, 0.0, 0),
            (five, after, True, 1.0, 0),
            (sorted([*five, 0.5]), [7.1, 7.2, 7.3, 7.4], True, 0.0, 4),
        ]
        for crashes, arrivals, in_touch, starved, expected in cases:
            with self.subTest(crashes=crashes, arrivals=arrivals):
                found = poison.Poison(
                    crashes, [(at, f"stream-{at}") for at in arrivals]
                )
                late = poison.late_arrivals(
                    found,
                    3.0,
                    lambda request_id, at, result=in_touch: result,
                    lambda start, end, result=starved: result,
                )
                self.assertEqual(len(late), expected)

    def test_the_last_segment_ends_no_server(self):
        by_segment = {"bad": poison.Poison()}
        self.assertEqual(poison.find("00:1,bad:1,1f:1", by_segment), "bad")
        self.assertEqual(poison.find("bad:1,1f:1", by_segment), "bad")
        self.assertIsNone(poison.find("00:1,bad:1", by_segment))
        self.assertIsNone(poison.find("", by_segment))


if __name__ == "__main__":
    unittest.main()
