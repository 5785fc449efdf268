"""Which segments are found to end servers, by the evidence of crashes."""

import itertools
import unittest

from nutmeglift_gateway import crash_evidence
from nutmeglift_gateway import poison_detection


def crash(at, *suspects, name=None):
    """Returns a crash.

    Args:
        at: its time.
        *suspects: for each, its request id, its segments, and optionally when
            it was sent; otherwise 0.1 s before the crash.
        name: the server's id.
    """
    return crash_evidence.CrashRecord(
        (name or f"server-{at}", 1),
        at,
        {
            row[0]: crash_evidence.Suspect(
                row[0],
                row[2] if len(row) > 2 else at - 0.1,
                tuple(row[1].split()),
            )
            for row in suspects
        },
        {"vm"},
    )


def find(crashes, last_at=None, shares=None, survivals=1000.0, near=20.0):
    def count_between(start, end):
        return survivals if end - start > 1.0 else near

    return poison_detection.find_poison(
        60.0,
        crashes,
        poison_detection.Survivals(
            count_between,
            lambda segment: (shares or {}).get(segment, 0.0005),
            last_at or {},
        ),
    )


def segments(*arguments, **options):
    verdict = find(*arguments, **options)
    return verdict.segments if verdict is not None else ()


class FindPoisonTest(unittest.TestCase):
    def test_clear_cases(self):
        two = [
            crash(50.0, ("r1", "pop bad")),
            crash(51.0, ("r2", "other bad")),
        ]
        first_place = [
            crash(50.0, ("r1", "bad pop")),
            crash(51.0, ("r2", "bad other")),
        ]
        cases = [
            ("no crash", [], ()),
            ("one crash", two[:1], ()),
            ("two crashes of two requests", two, ("bad",)),
            ("at the first place", first_place, ("bad",)),
            (
                "one request, which may itself be the cause",
                [crash(50.0, ("r1", "bad")), crash(51.0, ("r1", "bad"))],
                (),
            ),
            (
                "always together",
                [crash(50.0, ("r1", "x bad")), crash(51.0, ("r2", "bad x"))],
                ("bad", "x"),
            ),
            (
                "beside dozens of sound ones",
                [
                    crash(
                        at,
                        (f"r{at}", f"m{at} bad"),
                        *((f"s{at}-{n}", f"p{at}-{n}") for n in range(30)),
                    )
                    for at in (50.0, 51.0)
                ],
                ("bad",),
            ),
        ]
        for name, crashes, expected in cases:
            with self.subTest(name):
                self.assertEqual(segments(crashes), expected)

    def test_crashes_at_the_same_time_count_once(self):
        crashes = [
            crash(50.0 + n / 100, (f"r{n}", "x", 49.9)) for n in range(8)
        ]
        self.assertEqual(segments(crashes), ())

    def test_a_survival_clears_a_segment(self):
        crashes = [crash(50.0 + n, (f"r{n}", "x")) for n in range(4)]
        self.assertEqual(segments(crashes, {"x": 53.5}), ())
        # The survival came before, so that more crashes are needed.
        self.assertEqual(segments(crashes[:3], {"x": 49.0}), ())
        self.assertEqual(segments(crashes, {"x": 49.0}), ("x",))

    def test_a_segment_of_every_request_is_never_quarantined(self):
        crashes = [crash(50.0 + n, (f"r{n}", "x")) for n in range(9)]
        self.assertEqual(segments(crashes, shares={"x": 0.9995}), ())
        self.assertEqual(segments(crashes, shares={"x": 0.4}), ())

    def test_crashes_beside_many_others_weigh_less(self):
        both = [crash(50.0, ("r1", "x")), crash(51.0, ("r2", "x"))]
        others = [
            crash(at + n / 50, *((f"o{at}-{n}-{k}", f"y{k}") for k in range(4)))
            for at in (50.0, 51.0)
            for n in range(5)
        ]
        self.assertEqual(segments(both), ("x",))
        self.assertEqual(segments(sorted(both + others, key=_at)), ())

    def test_two_explanations_wait_for_another_crash(self):
        crashes = [
            crash(50.0, ("r1", "bad"), ("s1", "x")),
            crash(51.0, ("r2", "bad"), ("s2", "x")),
        ]
        self.assertEqual(segments(crashes), ())
        crashes.append(crash(52.0, ("r3", "bad")))
        self.assertEqual(segments(crashes), ("bad",))

    def test_few_requests_need_more_crashes(self):
        crashes = [crash(50.0 + n, (f"r{n}", "bad")) for n in range(4)]
        for survivals, count in ((1000.0, 2), (30.0, 3), (0.0, None)):
            with self.subTest(survivals):
                found = [
                    n
                    for n in range(5)
                    if segments(crashes[:n], survivals=survivals)
                ]
                self.assertEqual(found[:1], [] if count is None else [count])


class CrashEvidenceTest(unittest.TestCase):
    def test_the_order_and_repetition_of_reports_do_not_matter(self):
        reports = [
            crash(50.0, ("r1", "bad"), name="a"),
            crash(50.01, ("r2", "x"), name="a"),
            crash(51.0, ("r3", "bad"), name="b"),
            crash(50.0, ("r1", "bad"), name="a"),
        ]
        digests, verdicts = set(), set()
        for order in itertools.permutations(reports):
            evidence = crash_evidence.CrashEvidence()
            for report in order:
                evidence.merge(60.0, report)
                evidence.merge_sound(40.0, "x")
                evidence.merge_sound(45.0, "x")
            digests.add(evidence.digest())
            verdict = find(evidence.crashes(), evidence.last_sound())
            verdicts.add(
                (verdict.segments, verdict.request_ids) if verdict else None
            )
        self.assertEqual(len(digests), 1)
        self.assertEqual(verdicts, {(("bad",), ("r1", "r3"))})

    def test_what_is_kept_is_bounded(self):
        evidence = crash_evidence.CrashEvidence()
        for number in range(200):
            evidence.merge(
                60.0,
                crash(
                    number / 10,
                    *((f"r{number}-{n}", f"x{number}-{n}") for n in range(99)),
                ),
            )
            evidence.record_sound(
                number, [f"unique-{number}-{n}" for n in range(50)]
            )
        crashes = evidence.crashes()
        self.assertEqual(len(crashes), crash_evidence.MAX_CRASH_COUNT)
        self.assertEqual(crashes[-1].at, 19.9)
        for each in crashes:
            self.assertLessEqual(
                len(each.suspect_by_id), crash_evidence.MAX_SUSPECT_COUNT
            )
        self.assertLessEqual(
            len(evidence._sound_by_segment),
            crash_evidence.MAX_SOUND_SEGMENT_COUNT,
        )

    def test_old_crashes_are_dropped(self):
        evidence = crash_evidence.CrashEvidence()
        evidence.merge(60.0, crash(50.0, ("r1", "bad")))
        evidence.expire(50.0 + crash_evidence.EVIDENCE_SECONDS)
        self.assertEqual(len(evidence.crashes()), 1)
        evidence.expire(51.0 + crash_evidence.EVIDENCE_SECONDS)
        self.assertEqual(evidence.crashes(), [])
        self.assertEqual(evidence.digest(), 0)
        late = crash(50.0, ("r1", "bad"))
        self.assertFalse(evidence.merge(1000.0, late))


def _at(record):
    return record.at


if __name__ == "__main__":
    unittest.main()
