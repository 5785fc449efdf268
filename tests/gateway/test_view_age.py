import unittest

import hypothesis
from hypothesis import strategies

from nutmeglift import ids
from nutmeglift_gateway import view_age

NEVER = view_age.NEVER


class ViewAgeTest(unittest.TestCase):
    def test_when_a_view_is_complete(self):
        cases = [
            # name, view's revision, the store's, current at, complete at
            ("the same", 5, 5, 9.0, 9.0),
            ("a newer view", 6, 5, 9.0, 9.0),
            ("an older view", 4, 5, 9.0, NEVER),
            ("a later revision may exist", 5, 5, NEVER, NEVER),
        ]
        for name, ours, theirs, current_at, complete_at in cases:
            with self.subTest(name):
                age = view_age.ViewAge()
                age.set_view_revision(ids.Revision(ours))
                age.record_store_revision(9.1, ids.Revision(theirs), current_at)
                self.assertEqual(age.complete_at, complete_at)
                self.assertEqual(age.is_behind, ours < theirs)

    def test_changes_that_arrive_complete_the_view(self):
        age = view_age.ViewAge()
        age.set_view_revision(ids.Revision(4))
        age.record_store_revision(9.1, ids.Revision(5), 9.0)
        age.record_store_revision(9.5, ids.Revision(7), 9.4)
        self.assertAlmostEqual(age.behind_for(9.6), 0.5)
        age.set_view_revision(ids.Revision(5))
        self.assertEqual(age.complete_at, 9.0)
        self.assertAlmostEqual(age.behind_for(9.6), 0.1)
        age.set_view_revision(ids.Revision(7))
        self.assertAlmostEqual(age.age(9.6), 0.2)
        self.assertFalse(age.is_behind)

    def test_a_listing_ends_what_was_missing(self):
        age = view_age.ViewAge()
        age.set_view_revision(ids.Revision(4))
        age.record_store_revision(9.1, ids.Revision(100), 9.0)
        age.record_listing(ids.Revision(6), 9.2)
        self.assertFalse(age.is_behind)
        self.assertEqual(age.complete_at, 9.2)

    def test_a_copy_has_an_age_but_no_revision(self):
        age = view_age.ViewAge()
        age.record_listing(ids.Revision(6), 9.2)
        age.record_copy(9.5)
        self.assertTrue(age.is_copied)
        self.assertAlmostEqual(age.age(10.0), 0.5)
        self.assertEqual(age.complete_at, 9.2)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ["change", "read", "read late", "conflict", "apply", "list"]
                ),
                strategies.integers(0, 5),
            ),
            max_size=40,
        )
    )
    def test_a_view_is_never_dated_after_a_change_that_it_lacks(self, steps):
        age = view_age.ViewAge()
        age.set_view_revision(ids.Revision(0))
        changed_at = [0.0]  # By revision.
        revision = 0
        waiting = []
        for now, (step, amount) in enumerate(steps, start=1):
            newest = len(changed_at) - 1
            match step:
                case "change":
                    changed_at.append(float(now))
                case "read":
                    waiting.append((newest, float(now)))
                case "read late" if waiting:
                    found, sent_at = waiting.pop(amount % len(waiting))
                    age.record_store_revision(
                        float(now), ids.Revision(found), sent_at
                    )
                case "conflict":
                    age.record_store_revision(
                        float(now), ids.Revision(newest), NEVER
                    )
                case "apply":
                    revision = min(newest, revision + amount)
                    age.set_view_revision(ids.Revision(revision))
                case "list":
                    revision = newest
                    age.record_listing(ids.Revision(newest), float(now))
            if revision + 1 < len(changed_at):
                missing_since = changed_at[revision + 1]
                self.assertLess(age.complete_at, missing_since)
            else:
                self.assertFalse(age.is_behind)


if __name__ == "__main__":
    unittest.main()
