"""Which version is in force, and whether it is confirmed as the newest."""

import unittest
from unittest import mock

from nutmeglift import eras
from nutmeglift import ids
from nutmeglift_gateway import catalog_view
from nutmeglift_gateway import entry_decoder
from nutmeglift_gateway import freshness
from tests.gateway import rig

KEY = rig.MemorySchema.catalog_key
SENT_AT = 200.0
"""Long after the eras of these tests have begun."""


def revision(era, number):
    return eras.combine(ids.Era(era), number)


# For each version that is read its era, its number, its value and whether a
# peer sent it; the generation in force afterwards; and whether an answer that
# names the last one confirms it.
VERSIONS = (
    ("the first", [(0, 5, "six", False)], 6, True),
    ("newer", [(0, 5, "six", False), (0, 6, "twelve", False)], 12, True),
    (
        "older at a newer revision: invalid, so its keys alone count",
        [(0, 5, "twelve", False), (0, 6, "six", False)],
        12,
        True,
    ),
    (
        "late, of an older revision",
        [(0, 6, "twelve", False), (0, 5, "six", False)],
        12,
        True,
    ),
    (
        "unreadable",
        [(0, 5, "six", False), (0, 6, "nothing", False)],
        6,
        True,
    ),
    (
        "of a restored store, written after the copy",
        [(1, 90, "six", False), (2, 61, "twelve", False)],
        12,
        True,
    ),
    (
        "of a restored store, older",
        [(1, 90, "twelve", False), (2, 50, "six", False)],
        12,
        False,
    ),
    (
        "of a restored store, the same",
        [(1, 90, "twelve", False), (2, 50, "twelve", False)],
        12,
        True,
    ),
    (
        "of a restored store, older, and written again",
        [
            (1, 90, "twelve", False),
            (2, 50, "six", False),
            (2, 61, "twelve", False),
        ],
        12,
        True,
    ),
    (
        "of a restored store, other content under a lost number",
        [(1, 90, "twelve", False), (2, 61, "other twelve", False)],
        "other",
        True,
    ),
    (
        "a peer's, of an earlier era than the store's copy",
        [(2, 50, "six", False), (1, 90, "twelve", True)],
        12,
        False,
    ),
    (
        "a peer's, then written again",
        [
            (2, 50, "six", False),
            (1, 90, "twelve", True),
            (2, 61, "twelve", False),
        ],
        12,
        True,
    ),
    (
        "a peer's, newer",
        [(0, 5, "six", False), (0, 6, "twelve", True)],
        12,
        True,
    ),
    (
        "a peer's, other content under the same number",
        [(1, 90, "twelve", False), (1, 95, "other twelve", True)],
        12,
        False,
    ),
)


class CatalogViewTest(unittest.TestCase):
    def setUp(self):
        self.board = rig.make_empty_board()
        schema = rig.MemorySchema()
        self.other = rig.make_catalog(12, routes=())
        schema.by_value = {
            b"six": rig.make_catalog(6),
            b"twelve": rig.make_catalog(12),
            b"other twelve": self.other,
        }
        log = rig.MemoryLog()
        self.view = catalog_view.CatalogView(
            KEY, self.board, entry_decoder.EntryDecoder(schema, log), log
        )

    def test_which_version_is_in_force_and_confirmed(self):
        for name, versions, in_force, is_confirmed in VERSIONS:
            with (
                self.subTest(name),
                mock.patch.object(freshness, "boot_clock", lambda: 100.0),
            ):
                self.setUp()
                for era, number, value, copied in versions:
                    entry = rig.make_entry(
                        KEY, value.encode(), revision(era, number)
                    )
                    self.view.apply(entry, copied=copied)
                if in_force == "other":
                    self.assertIs(self.board.catalog, self.other)
                else:
                    self.assertEqual(self.board.catalog.generation, in_force)
                last = max(revision(*row[:2]) for row in versions)
                # The listing that showed the era, long before the answer.
                self.board.freshness.record_era(100.0, eras.era_of(last))
                holds = self.board.confirm(
                    freshness.StoreConfirmation(
                        SENT_AT, last, freshness.Source.TRANSACTION
                    )
                )
                self.assertEqual(holds, is_confirmed)


# What is in force and stored, as for record_in_force; the confirmation; whether
# it holds.
CONFIRMATIONS = (
    ("what is stored", freshness.StoreConfirmation, (5, "own"), True),
    ("what was stored before", freshness.StoreConfirmation, (4, "own"), True),
    ("what was known", freshness.StoreConfirmation, (5, "own", 5), True),
    ("an earlier answer", freshness.StoreConfirmation, (4, "own", 5), False),
    ("what was not read yet", freshness.StoreConfirmation, (6, "own"), False),
    ("no version", freshness.StoreConfirmation, (0, "own"), False),
    ("a peer's same", freshness.PeerConfirmation, (7, 70), True),
    ("a peer's older", freshness.PeerConfirmation, (6, 60), True),
    ("a peer's newer", freshness.PeerConfirmation, (8, 80), False),
    ("a peer's other content", freshness.PeerConfirmation, (7, 71), False),
    ("a peer without a version", freshness.PeerConfirmation, (0, 0), False),
)


class ConfirmationTest(unittest.TestCase):
    def make_freshness(self):
        state = freshness.Freshness(5.0)
        state.record_in_force(ids.Revision(5), ids.Generation(7), 70)
        return state

    def test_a_confirmation_counts_for_what_it_names(self):
        for name, kind, fields, holds in CONFIRMATIONS:
            with self.subTest(name):
                state = self.make_freshness()
                self.assertEqual(state.confirm(kind(SENT_AT, *fields)), holds)
                self.assertEqual(state.age(SENT_AT) == 0.0, holds)

    def test_a_store_that_just_came_back_confirms_nothing(self):
        state = self.make_freshness()
        self.assertTrue(state.record_era(100.0, ids.Era(2)))
        state.record_in_force(revision(2, 50), ids.Generation(8), 80)
        for sent_at, holds in ((99.0, False), (101.9, False), (102.0, True)):
            with self.subTest(sent_at):
                found = freshness.StoreConfirmation(
                    sent_at, revision(2, 50), freshness.Source.LISTING
                )
                self.assertEqual(state.confirm(found), holds)

    def test_an_answer_of_an_era_that_was_not_known_confirms_nothing(self):
        state = self.make_freshness()
        state.record_in_force(revision(2, 50), ids.Generation(8), 80)
        for sent_at, holds in ((200.0, False), (202.1, True)):
            found = freshness.StoreConfirmation(
                sent_at, revision(2, 50), freshness.Source.TRANSACTION
            )
            self.assertEqual(state.confirm(found), holds)

    def test_a_settled_era_is_waited_for_no_more(self):
        for settled, holds in ((1, False), (2, True), (3, False)):
            with self.subTest(settled):
                state = self.make_freshness()
                state.record_era(100.0, ids.Era(2))
                state.settle(ids.Era(settled))
                self.assertEqual(state.is_settled(100.1), holds)

    def test_an_earlier_era_changes_nothing(self):
        state = self.make_freshness()
        state.record_era(100.0, ids.Era(3))
        for era in (0, 2, 3):
            self.assertFalse(state.record_era(150.0, ids.Era(era)))
        self.assertTrue(state.is_settled(110.0))


if __name__ == "__main__":
    unittest.main()
