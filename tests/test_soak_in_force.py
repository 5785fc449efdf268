"""The soak judges responses against the acknowledged configurations."""

from typing import Any
import unittest

from tests.soak import in_force

HOST = "desk.example"
FIRST = in_force.Version(
    1,
    {(HOST, "/a/"): frozenset(["core"]), (HOST, "/old/"): frozenset(["core"])},
    frozenset(["key-1", "key-old"]),
)
SECOND = in_force.Version(
    3,
    {
        (HOST, "/a/"): frozenset(["core"]),
        (HOST, "/a/part/"): frozenset(["core-b"]),
        (HOST, "/new/"): frozenset(["core"]),
        ("other.example", "/a/"): frozenset(["core-b"]),
    },
    frozenset(["key-1", "key-new"]),
)
THIRD = in_force.Version(
    4,
    SECOND.services_by_route | {(HOST, "/third/"): frozenset(["core"])},
    SECOND.keys,
)
FIRST_AT = 0.0
SECOND_AT = 10.0
LATE = SECOND_AT + 2.1
SOON = SECOND_AT + 1.9
KIND = in_force.Kind


def make_history():
    history = in_force.History()
    history.acknowledge(FIRST, FIRST_AT)
    history.acknowledge(SECOND, SECOND_AT)
    return history


def make_answer(sent_at, path="/a/x", **changes):
    fields = {
        "id": "probe-1",
        "router": "router-0",
        "lifetime": 1,
        "sent_at": sent_at,
        "ended_at": sent_at + 0.05,
        "host": HOST,
        "path": path,
        "key": "key-1",
        "status": 200,
    }
    return in_force.Answer(**(fields | changes))


def refused(sent_at, path, status=404, **changes):
    return make_answer(sent_at, path, status=status, **changes)


def ran(sent_at, path, service, **changes):
    runs = ((service, sent_at + 0.01),)
    return make_answer(sent_at, path, runs=runs, **changes)


def judge(history, excused=(), starved=0.0):
    return in_force.Judge(
        history,
        lambda router, at: any(start <= at <= end for start, end in excused),
        lambda router, start, end: starved,
    )


def find(history, answers, **changes):
    problems = judge(history, **changes).find_problems(answers)
    return [each.kind for each in problems if not each.excused]


ONE_ANSWER: tuple[tuple[str, in_force.Answer, list[KIND]], ...] = (
    ("added route soon", refused(SOON, "/new/x"), []),
    ("added route late", refused(LATE, "/new/x"), [KIND.CONFIG_REFUSED]),
    ("added host late", refused(LATE, host="other.example", path="/a/x"),
     [KIND.CONFIG_REFUSED]),
    ("added key late", refused(LATE, "/a/x", 401, key="key-new"),
     [KIND.CONFIG_REFUSED]),
    ("added key forbidden late", refused(LATE, "/a/x", 403, key="key-new"),
     [KIND.CONFIG_REFUSED]),
    ("added key soon", refused(SOON, "/a/x", 401, key="key-new"), []),
    ("added route answered late, sent soon",
     refused(SOON, "/new/x", ended_at=LATE), []),
    ("honest refusal", refused(LATE, "/new/x", 503), []),
    ("no response", refused(LATE, "/new/x", 0), []),
    ("removed route", refused(LATE, "/old/x"), []),
    ("removed route before its removal", refused(9.0, "/old/x"),
     [KIND.DENIED]),
    ("route never there", refused(LATE, "/never/x"), []),
    ("revoked key", refused(LATE, "/a/x", 401, key="key-old"), []),
    ("unknown key", refused(LATE, "/a/x", 401, key="key-none"), []),
    ("route of all versions", refused(SOON, "/a/x"), [KIND.DENIED]),
    ("key of all versions", refused(SOON, "/a/x", 401), [KIND.DENIED]),
    ("forbidden by no version", refused(SOON, "/a/x", 403), [KIND.DENIED]),
    ("route of all versions, unknown key",
     refused(LATE, "/a/x", 404, key="key-none"), [KIND.DENIED]),
    ("run", ran(LATE, "/a/x", "core"), []),
    ("removed route ran late", ran(LATE, "/old/x", "core"),
     [KIND.CONFIG_RUN]),
    ("removed route ran soon", ran(SOON, "/old/x", "core"), []),
    ("split route ran at the old service", ran(LATE, "/a/part/x", "core"),
     [KIND.CONFIG_RUN]),
    ("split route ran at the new service", ran(SOON, "/a/part/x", "core-b"),
     []),
    ("split route ran before the split", ran(9.0, "/a/part/x", "core-b"),
     [KIND.FORBIDDEN_RUN]),
    ("run by a service of no version", ran(LATE, "/a/x", "core-b"),
     [KIND.FORBIDDEN_RUN]),
    ("run with a key of no version", ran(LATE, "/a/x", "core", key="key-0"),
     [KIND.FORBIDDEN_RUN]),
    ("revoked key ran late", ran(LATE, "/a/x", "core", key="key-old"),
     [KIND.CONFIG_RUN, KIND.REVOKED]),
    ("revoked key ran soon", ran(SOON, "/a/x", "core", key="key-old"), []),
)  # fmt: skip

# Name, answers, problems that are not excused in an interval around LATE.
EXCUSED: tuple[tuple[str, in_force.Answer, list[KIND]], ...] = (
    ("added route", refused(LATE, "/new/x"), []),
    ("removed route", ran(LATE, "/old/x", "core"), []),
    ("denied by no version", refused(LATE, "/a/x"), [KIND.DENIED]),
    ("revoked key", ran(LATE, "/a/x", "core", key="key-old"), [KIND.REVOKED]),
)

SERIES: tuple[tuple[Any, ...], ...] = (
    ("back within the slack",
     [ran(10.5, "/new/x", "core"), refused(10.7, "/new/x")], []),
    ("back after the slack",
     [ran(10.5, "/new/x", "core"), refused(10.8, "/new/x")],
     [KIND.REGRESSION]),
    ("in another process",
     [ran(10.5, "/new/x", "core"), refused(10.8, "/new/x", lifetime=2)], []),
    ("of another router",
     [ran(10.5, "/new/x", "core"), refused(10.8, "/new/x", router="b")], []),
    ("in no known process",
     [ran(10.5, "/new/x", "core"), refused(10.8, "/new/x", lifetime=None)],
     []),
    ("answered after the effect, sent before",
     [refused(10.4, "/new/x", ended_at=11.0), ran(10.5, "/new/x", "core")],
     []),
    ("removed route runs after it was refused",
     [refused(10.5, "/old/x"), ran(10.9, "/old/x", "core")],
     [KIND.REGRESSION]),
    ("what all versions allow shows nothing",
     [ran(10.5, "/a/x", "core"), refused(10.9, "/new/x")], []),
    ("honest refusal after the effect",
     [ran(10.5, "/new/x", "core"), refused(10.9, "/new/x", 503)], []),
)  # fmt: skip


class JudgeTest(unittest.TestCase):
    def test_one_answer(self):
        for name, answer, kinds in ONE_ANSWER:
            with self.subTest(name):
                self.assertEqual(find(make_history(), [answer]), kinds)

    def test_what_the_rules_excuse(self):
        interval = [(LATE - 0.01, LATE + 0.01)]
        for name, answer, kinds in EXCUSED:
            with self.subTest(name):
                found = find(make_history(), [answer], excused=interval)
                self.assertEqual(found, kinds)

    def test_time_without_a_processor_is_added_to_the_bound(self):
        answer = refused(LATE, "/new/x")
        self.assertEqual(find(make_history(), [answer], starved=0.2), [])

    def test_regressions(self):
        for name, answers, kinds in SERIES:
            with self.subTest(name):
                self.assertEqual(find(make_history(), answers), kinds)

    def test_a_regression_is_not_excused(self):
        answers = [ran(10.5, "/new/x", "core"), refused(10.8, "/new/x")]
        self.assertEqual(
            find(make_history(), answers, excused=[(0.0, 20.0)]),
            [KIND.REGRESSION],
        )


# Name, time at which the store lost the second version (None: did not), time
# at which it was written again, answer, problems.
DRILLS: tuple[tuple[Any, ...], ...] = (
    ("lost version", 13.0, None, refused(15.0, "/new/x"), []),
    ("before the loss", 13.0, None, refused(12.9, "/new/x"),
     [KIND.CONFIG_REFUSED]),
    ("written again late", 13.0, 13.5, refused(15.6, "/new/x"),
     [KIND.CONFIG_REFUSED]),
    ("written again soon", 13.0, 13.5, refused(15.4, "/new/x"), []),
    ("route of the copy", 13.0, None, refused(15.0, "/a/x"), [KIND.DENIED]),
    ("key revoked by a lost version", 13.0, None,
     ran(13.5, "/a/x", "core", key="key-old"), [KIND.REVOKED]),
    ("key revoked by a version written again", 13.0, 13.5,
     ran(13.6, "/a/x", "core", key="key-old"), [KIND.REVOKED]),
    ("removed route after the loss", 13.0, None, ran(15.0, "/old/x", "core"),
     []),
)  # fmt: skip


class DrillTest(unittest.TestCase):
    def test_what_a_drill_changes(self):
        for name, lost_at, again_at, answer, kinds in DRILLS:
            with self.subTest(name):
                history = make_history()
                history.lose(FIRST.number, lost_at)
                if again_at is not None:
                    history.acknowledge(SECOND, again_at)
                self.assertEqual(find(history, [answer]), kinds)

    def test_no_process_goes_back_to_the_copy(self):
        history = make_history()
        history.lose(FIRST.number, 13.0)
        answers = [ran(12.0, "/new/x", "core"), refused(15.0, "/new/x")]
        self.assertEqual(find(history, answers), [KIND.REGRESSION])

    def test_an_invalid_version_hides_one_that_was_just_written(self):
        for at, kinds in ((11.9, []), (12.1, [KIND.CONFIG_REFUSED])):
            with self.subTest(at=at):
                history = make_history()
                history.overwrite(at)
                answer = refused(LATE, "/new/x")
                self.assertEqual(find(history, [answer]), kinds)


class FirstSeenTest(unittest.TestCase):
    def test_delays_of_each_router_and_version(self):
        history = make_history()
        history.acknowledge(THIRD, 10.4)
        answers = [
            ran(0.1, "/old/x", "core"),
            ran(0.1, "/old/x", "core", router="router-1"),
            refused(10.1, "/new/x"),
            refused(10.7, "/third/x"),
            ran(10.3, "/new/x", "core"),
            ran(11.0, "/third/x", "core"),
            ran(11.5, "/third/x", "core", router="router-1"),
        ]
        found = judge(history).first_seen_seconds(answers)
        for delay, expected in zip(
            sorted(found), [0.11, 0.11, 0.31, 0.61, 1.11, 1.51], strict=True
        ):
            self.assertAlmostEqual(delay, expected)
        for interval, count in (((11.4, 11.6), 4), ((10.39, 10.41), 4)):
            with self.subTest(interval):
                found = judge(history, [interval]).first_seen_seconds(answers)
                self.assertEqual(len(found), count)
        # An excuse that lasts a step or more is seen between the two times.
        found = judge(history, [(10.85, 11.35)]).first_seen_seconds(answers)
        self.assertEqual(len(found), 3)

    def test_delays_are_counted_by_bucket(self):
        delays = [0.1, 0.25, 0.3, 1.2, 1.9, 2.5, 9.0]
        self.assertEqual(in_force.count_delays(delays), [2, 1, 0, 1, 1, 2])


if __name__ == "__main__":
    unittest.main()
