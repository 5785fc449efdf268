"""States of quarantines, and when they end."""

import itertools
import unittest

from nutmeglift_gateway import quarantine

State = quarantine.State
IDLE = quarantine.IDLE_SECONDS


def make_entry(*segments, **changes):
    return quarantine.Entry(segments or ("bad",), **changes)


class QuarantinesTest(unittest.TestCase):
    def setUp(self):
        self.quarantines = quarantine.Quarantines()

    def test_which_requests_are_refused(self):
        self.quarantines.merge(0.0, make_entry("a", "b"))
        self.quarantines.merge(0.0, make_entry("bad"))
        trial = make_entry("x", state=State.TRIAL, trial_id="r1")
        self.quarantines.merge(0.0, trial)
        self.quarantines.merge(0.0, make_entry("y", state=State.LIFTED))
        cases = [
            ((), "r1", None),
            (("a",), "r1", None),
            (("c", "b", "a"), "r1", ("a", "b")),
            (("sound", "bad"), "r1", ("bad",)),
            (("x",), "r1", None),
            (("x",), "r2", ("x",)),
            (("y",), "r1", None),
        ]
        for segments, request_id, expected in cases:
            with self.subTest(segments, request=request_id):
                found = self.quarantines.find(segments, request_id)
                self.assertEqual(found.segments if found else None, expected)

    def test_all_orders_of_changes_end_the_same(self):
        first = make_entry()
        trial = first.changed(State.TRIAL, trial_id="r1")
        other = first.changed(State.TRIAL, trial_id="r2")
        changes = [
            first,
            trial,
            other,
            trial.changed(State.LIFTED),
            trial.changed(State.ACTIVE, failed_trials=1),
        ]
        ends = set()
        for order in itertools.permutations(changes):
            found = quarantine.Quarantines()
            for entry in order + order[:2]:
                found.merge(0.0, entry)
            ends.add((found.get(("bad",)), found.digest()))
        self.assertEqual(len(ends), 1)

    def test_when_a_trial_is_due(self):
        # Changes of the entry, seconds since the last request, versions of
        # the servers, whether a trial is due.
        active = {"server_version": "v1"}
        cases = [
            (active, IDLE - 1, {"v1"}, False),
            (active, IDLE, {"v1"}, True),
            (active | {"failed_trials": 1}, IDLE, {"v1"}, False),
            (active | {"failed_trials": 1}, 2 * IDLE, {"v1"}, True),
            (active, 1.0, {"v1", "v2"}, False),
            (active, 1.0, {"v2"}, True),
            (active | {"failed_trials": 1}, 1.0, {"v3"}, True),
            (active | {"failed_trials": 2}, 1.0, {"v4"}, False),
            (active, 1.0, set(), False),
            ({}, 1.0, {"v2"}, False),
            (active | {"cause": quarantine.Cause.OPERATOR}, 1, {"v2"}, False),
            (active | {"state": State.TRIAL}, 1.0, {"v1"}, False),
            (active | {"state": State.TRIAL}, 2 * IDLE, {"v1"}, True),
        ]
        for changes, idle, versions, expected in cases:
            with self.subTest(changes, idle=idle, versions=versions):
                quarantines = quarantine.Quarantines()
                entry = make_entry(**changes)
                quarantines.merge(0.0, entry)
                quarantines.record_request(100.0, entry)
                due = quarantines.is_trial_due(100.0 + idle, entry, versions)
                self.assertEqual(due, expected)

    def test_requests_that_keep_coming_get_few_trials(self):
        entry = make_entry(server_version="v1")
        self.quarantines.merge(0.0, entry)
        trials = 0
        for second in range(24 * 3600):
            now = float(second)
            # The servers are released once an hour, which mends nothing.
            version = f"v{2 + second // 3600}"
            if self.quarantines.is_trial_due(now, entry, {version}):
                trials += 1
                entry = entry.changed(
                    State.ACTIVE,
                    failed_trials=entry.failed_trials + 1,
                    server_version=version,
                )
                self.quarantines.merge(now, entry)
            self.quarantines.record_request(now, entry)
        self.assertLessEqual(trials, 3)

    def test_what_is_kept_is_bounded(self):
        for number in range(3 * quarantine.MAX_QUARANTINE_COUNT):
            self.quarantines.merge(float(number), make_entry(f"x{number}"))
        entries = self.quarantines.entries()
        self.assertEqual(len(entries), quarantine.MAX_QUARANTINE_COUNT)
        newest = f"x{3 * quarantine.MAX_QUARANTINE_COUNT - 1}"
        self.assertIsNotNone(self.quarantines.find((newest,)))

    def test_lifted_quarantines_are_dropped_after_a_while(self):
        self.quarantines.merge(0.0, make_entry(state=State.LIFTED))
        self.quarantines.merge(0.0, make_entry("other"))
        self.quarantines.expire(quarantine.LIFTED_KEEP_SECONDS)
        self.assertEqual(len(self.quarantines.entries()), 2)
        self.quarantines.expire(quarantine.LIFTED_KEEP_SECONDS + 1)
        self.assertEqual(self.quarantines.entries(), [make_entry("other")])


if __name__ == "__main__":
    unittest.main()
