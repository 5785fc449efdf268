"""Which runs may have caused the end of a server."""

import unittest

from nutmeglift import ids
from nutmeglift_gateway import runs

LIFETIME = ("r-1", 7)
END = runs.End


def make_run(name, sent_at=0.0, **changes):
    values = {
        "segments": (ids.SegmentId("aa"),),
        "lifetime": LIFETIME,
        "address": "h:1",
    }
    return runs.Run(
        name, ids.ServiceId("s"), sent_at=sent_at, **values | changes
    )


class RunTrackerTest(unittest.TestCase):
    def setUp(self):
        self.tracker = runs.RunTracker()

    def suspects(self, now, lifetime=LIFETIME):
        crash = self.tracker.take_ended(now, lifetime)
        return [run.request_id for run in crash.suspects] if crash else None

    def test_runs_that_may_have_caused_a_crash(self):
        # Events, how and when the run ended, whether it is a suspect of a
        # crash at 1 s.
        cases = [
            ("waiting", [], None, True),
            ("just begun", [0.95], None, True),
            ("begun long ago", [0.5, 0.65], None, False),
            ("a pause after the first event", [0.5], None, True),
            ("two events at once", [0.95, 0.95], None, False),
            ("lost", [], (END.LOST, 0.99), True),
            ("lost long ago", [], (END.LOST, -5.0), None),
            ("complete", [], (END.COMPLETE, 0.9), None),
            ("rejected", [], (END.NOT_RUN, 0.9), None),
            ("its caller left just now", [], (END.ABORTED, 0.9), True),
            ("its caller left before", [], (END.ABORTED, 0.5), None),
        ]
        for name, events, end, expected in cases:
            with self.subTest(name):
                run = make_run(name, sent_at=-6.0)
                self.tracker.begin(run)
                for at in events:
                    self.tracker.record_events(at, run, 1)
                if end is not None:
                    self.tracker.end(end[1], run, end[0])
                found = self.suspects(1.0)
                self.assertEqual(
                    found, None if expected is None else [name] * expected
                )

    def test_a_request_that_survived_elsewhere_is_no_suspect(self):
        self.tracker.begin(make_run("resumed", survived=True))
        self.tracker.begin(make_run("first"))
        crash = self.tracker.take_ended(1.0, LIFETIME)
        self.assertEqual([r.request_id for r in crash.suspects], ["first"])
        self.assertEqual(crash.other_count, 1)

    def test_other_lifetimes_are_not_affected(self):
        self.tracker.begin(make_run("a", lifetime=("r-1", 8)))
        self.assertIsNone(self.suspects(1.0))
        self.assertEqual(self.suspects(1.0, ("r-1", 8)), ["a"])
        self.assertIsNone(self.suspects(1.0, ("r-1", 8)))

    def test_what_is_kept_of_ended_runs_is_bounded(self):
        for number in range(2 * runs.MAX_ENDED_RUN_COUNT):
            run = make_run(f"n-{number}")
            self.tracker.begin(run)
            self.tracker.end(0.5, run, END.LOST)
        self.assertEqual(
            self.tracker.lifetimes_with_lost_runs(1.0), [(LIFETIME, "h:1")]
        )
        kept = len(self.suspects(1.0))
        self.assertLessEqual(kept, runs.MAX_ENDED_RUN_COUNT + 1)
        self.tracker.begin(run := make_run("old"))
        self.tracker.end(1.0, run, END.LOST)
        self.assertEqual(self.tracker.lifetimes_with_lost_runs(9.0), [])


if __name__ == "__main__":
    unittest.main()
