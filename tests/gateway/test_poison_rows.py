"""Reports of crashes and quarantines between routers."""

import unittest

import cbor2

from nutmeglift_gateway import crash_evidence
from nutmeglift_gateway import peer_messages
from nutmeglift_gateway import poison_guard
from nutmeglift_gateway import poison_rows
from nutmeglift_gateway import quarantine
from tests.gateway import test_peer_state
from tests.gateway import test_poison_detection as detection
from tests.gateway import test_runs

BAD = ("bad",)


def make_guard(vm):
    guard = poison_guard.PoisonGuard()
    guard.vm = vm
    return guard


def observe(guard, at, name, *suspects):
    """Records a crash that a router has observed itself."""
    crash = detection.crash(at, *suspects, name=name)
    crash.seen_by = {guard.vm}
    crash.own = True
    guard.evidence.merge(at, crash)


def survive(guard, at, count, segments=("pop",)):
    for number in range(count):
        run = test_runs.make_run(f"ok-{number}", segments=segments)
        guard.record_survival(at, run)


class Link:
    """One direction of a link; reports pass through the real codec."""

    def __init__(self, source, target):
        self.source = source
        self.target = target
        self.encoder = poison_rows.Encoder()
        self.sent = []

    def send(self, now, back=None):
        report = self.encoder.encode(now, self.source)
        self.sent.append(report)
        problems = poison_rows.apply(now, self.source.vm, report, self.target)
        if back is not None:
            back.encoder.record_peer_digest(
                now, report.digest, self.target.digest()
            )
        return problems


class PoisonRowsTest(unittest.TestCase):
    def test_crashes_seen_by_one_router_each_are_one_evidence(self):
        guards = [make_guard(f"vm-{n}") for n in range(5)]
        target = guards[0]
        survive(target, 60.0, 200)
        for number, guard in enumerate(guards):
            at = 61.0 + number
            observe(guard, at, f"s{number}", (f"r{number}", "bad"))
        self.assertIsNone(target.find(BAD))
        for guard in guards[1:]:
            Link(guard, target).send(66.0)
        self.assertIsNotNone(target.find(BAD))

    def test_evidence_passes_over_two_hops_where_a_link_is_missing(self):
        a, b, c = (make_guard(f"vm-{name}") for name in "abc")
        survive(c, 60.0, 200)
        links = {pair: Link(*pair) for pair in ((a, b), (b, a), (b, c), (c, b))}
        observe(a, 61.0, "s1", ("r1", "bad"))
        observe(a, 62.0, "s2", ("r2", "bad"))
        now = 62.0
        while c.find(BAD) is None and now < 65.0:
            for (source, target), link in links.items():
                link.send(now, links[target, source])
            now += 0.25
        self.assertIsNotNone(c.find(BAD))
        self.assertLess(now - 62.0, 1.0)

    def test_evidence_passes_around_a_link_that_is_silent_one_way(self):
        a, b, c = (make_guard(f"vm-{name}") for name in "abc")
        survive(c, 60.0, 200)
        pairs = ((a, b), (b, a), (b, c), (c, b), (c, a))
        links = {pair: Link(*pair) for pair in pairs}
        lost = Link(a, c)
        observe(a, 61.0, "s1", ("r1", "bad"))
        observe(a, 62.0, "s2", ("r2", "bad"))
        now = 62.0
        while c.find(BAD) is None and now < 65.0:
            # What a sends to c never arrives.
            lost.encoder.encode(now, a)
            for (source, target), link in links.items():
                link.send(now, links.get((target, source), lost))
            now += 0.25
        self.assertIsNotNone(c.find(BAD))
        self.assertLess(now - 62.0, 1.0)

    def test_a_router_that_was_cut_off_learns_what_it_missed(self):
        a, c = make_guard("a"), make_guard("c")
        survive(c, 80.0, 200)
        Link(a, c).send(60.0)
        observe(a, 61.0, "s1", ("r1", "bad"))
        observe(a, 62.0, "s2", ("r2", "bad"))
        observe(c, 61.5, "s3", ("r3", "bad"))
        self.assertIsNone(c.find(BAD))
        # Both open a new link after the cut.
        Link(a, c).send(90.0)
        Link(c, a).send(90.0)
        self.assertIsNotNone(c.find(BAD))
        self.assertEqual(a.evidence.digest(), c.evidence.digest())

    def test_nothing_is_passed_on_twice_in_a_full_mesh(self):
        guards = [make_guard(f"vm-{n}") for n in range(4)]
        links = {
            (x, y): Link(guards[x], guards[y])
            for x in range(4)
            for y in range(4)
            if x != y
        }
        for number in range(12):
            for (x, y), link in links.items():
                link.send(60.0 + number / 4, links[y, x])
            if number == 2:
                observe(guards[0], 60.5, "s1", ("r1", "bad"))
        received = [
            crash
            for (_, y), link in links.items()
            for report in link.sent
            for crash in report.crashes
            if y == 3
        ]
        self.assertEqual(len(received), 1)

    def test_a_router_that_starts_gets_the_whole(self):
        old, new = make_guard("old"), make_guard("new")
        link = Link(old, make_guard("other"))
        observe(old, 60.0, "s1", ("r1", "bad"))
        link.send(61.0)
        old.change(61.0, quarantine.Entry(BAD), "test")
        link.send(61.0)
        Link(old, new).send(62.0)
        self.assertEqual(new.digest(), old.digest())
        self.assertIsNotNone(new.find(BAD))

    def test_survivals_of_suspected_segments_are_told(self):
        source, target = make_guard("a"), make_guard("b")
        link = Link(source, target)
        survive(source, 60.0, 1, ("x",))
        link.send(60.5)
        self.assertEqual(link.sent[-1].sound, [])
        observe(source, 61.0, "s1", ("r1", "x"))
        link.send(61.0)
        survive(source, 61.1, 5, ("x",))
        link.send(62.0)
        self.assertEqual([len(r.sound) for r in link.sent], [0, 1, 1])
        observe(target, 61.0, "s1", ("r1", "x"))
        self.assertAlmostEqual(target.evidence.last_sound()["x"], 61.1)

    def test_the_last_request_is_told(self):
        source, target = make_guard("a"), make_guard("b")
        entry = quarantine.Entry(BAD)
        source.change(60.0, entry, "test")
        link = Link(source, target)
        link.send(60.0)
        source.quarantines.record_request(300.0, entry)
        link.send(301.0)
        self.assertAlmostEqual(target.quarantines.requested_at(entry), 300.0)

    def test_a_crash_of_a_server_that_goes_on_does_not_count(self):
        source, target = make_guard("a"), make_guard("b")
        survive(target, 60.0, 200)
        ended = set()
        target.is_ended = lambda lifetime: lifetime[0] in ended
        observe(source, 61.0, "s1", ("r1", "bad"))
        observe(source, 62.0, "s2", ("r2", "bad"))
        Link(source, target).send(62.0)
        target.judge(62.0)
        self.assertIsNone(target.find(BAD))
        ended |= {"s1", "s2"}
        target.judge(62.1)
        self.assertIsNotNone(target.find(BAD))

    def test_malformed_rows_are_left_out_and_the_others_applied(self):
        good = poison_rows.QuarantineRow(
            ["bad"], "active", 1, "crashes", 0, "", "", []
        )
        suspects = [poison_rows.SuspectRow("r", 0.0, ["x"])]
        rows = {
            "quarantines": [
                dataclass_replace(good, segments=[]),
                dataclass_replace(good, segments=["x" * 999]),
                dataclass_replace(good, state="new"),
                dataclass_replace(good, version=0),
                dataclass_replace(good, cause="?"),
                dataclass_replace(good, trial_id="x" * 999),
                dataclass_replace(good, segments=["x"] * 99),
            ],
            "crashes": [
                poison_rows.CrashRow("s", 1, float("nan"), suspects, []),
                poison_rows.CrashRow("s", 1, -50.0, suspects, []),
                poison_rows.CrashRow("s" * 999, 1, 1.0, suspects, []),
                poison_rows.CrashRow("s", 1, 1.0, suspects * 99, []),
            ],
            "sound": [
                poison_rows.SoundRow("", 1.0),
                poison_rows.SoundRow("x", float("inf")),
            ],
        }
        for field, faulty in rows.items():
            for row in faulty:
                with self.subTest(field, row=row):
                    guard = make_guard("b")
                    report = poison_rows.PoisonReport(
                        quarantines=[good] if field != "quarantines" else []
                    )
                    changes = {field: [row]}
                    if field == "quarantines":
                        changes[field] = [row, good]
                    report = dataclass_replace(report, **changes)
                    problems = poison_rows.apply(60.0, "a", report, guard)
                    self.assertEqual(len(problems), 1)
                    self.assertEqual(len(guard.quarantines.entries()), 1)
                    self.assertEqual(guard.evidence.crashes(), [])

    def test_the_store_keeps_the_same_entry(self):
        entry = quarantine.Entry(
            ("a", "b"),
            quarantine.State.TRIAL,
            4,
            quarantine.Cause.OPERATOR,
            2,
            "r1",
            "v1",
            ("s1",),
        )
        raw = poison_rows.encode_entry(entry)
        self.assertEqual(poison_rows.decode_entry(raw), entry)
        for faulty in (b"", b"{}", b"\xff", b"[]", raw.replace(b"4", b'"4"')):
            with self.subTest(faulty):
                self.assertIsNone(poison_rows.decode_entry(faulty))

    def test_a_report_without_rows_is_accepted(self):
        # A router of the version before sends none.
        fields = peer_messages.PeerReport.__struct_fields__
        at = fields.index("poison")
        added_since = fields[at:]
        self.assertEqual(
            added_since,
            (
                "poison",
                "rejected",
                "digest",
                "hold_offs",
                "failing_for_ms",
                "failed_ago_ms",
                "watches",
                "demand",
            ),
        )
        # It decodes what lacks these fields.
        raw = cbor2.loads(
            peer_messages.encode(
                test_peer_state.PeerRouter("one").state.make_report(1.0, 1.0)
            )
        )
        older = cbor2.dumps(raw[: at + 1])
        found = peer_messages.decode(older)
        self.assertEqual(
            [getattr(found, name) for name in added_since],
            [poison_rows.PoisonReport(), 0, 0, [], -1, -1, False, []],
        )


class PoisonGuardTest(unittest.TestCase):
    def test_decisions_name_what_they_rest_on(self):
        guard = make_guard("vm-0")
        decisions = []
        guard.on_decision = lambda event, fields: decisions.append(fields)
        survive(guard, 60.0, 200)
        observe(guard, 61.0, "s1", ("r1", "bad"))
        observe(guard, 62.0, "s2", ("r2", "bad"))
        guard.judge(62.5, "v1")
        (decision,) = decisions
        self.assertEqual(decision["segments"], BAD)
        self.assertEqual(decision["servers"], ("s1", "s2"))
        self.assertEqual(decision["requests"], ("r1", "r2"))
        self.assertEqual(decision["seen_by"], ["vm-0"])
        self.assertEqual(decision["ages"], [1.5, 0.5])

    def test_an_operators_lift_outweighs_the_crashes_before_it(self):
        guard = make_guard("vm-0")
        survive(guard, 60.0, 200)
        observe(guard, 61.0, "s1", ("r1", "bad"))
        observe(guard, 62.0, "s2", ("r2", "bad"))
        guard.judge(62.0)
        entry = guard.find(BAD)
        lifted = entry.changed(quarantine.State.LIFTED)
        guard.merge_entry(63.0, lifted, "store")
        guard.judge(63.0)
        self.assertIsNone(guard.find(BAD))

    def test_callers_that_break_off_cause_no_quarantine(self):
        guard = make_guard("vm-0")
        survive(guard, 60.0, 200, ("pop",))
        for number in range(50):
            at = 61.0 + number
            crash = detection.crash(
                at, (f"r{number}", "pop"), name=f"s{number}"
            )
            guard.evidence.merge(at, crash)
            survive(guard, at + 0.4, 5, ("pop",))
            guard.judge(at + 0.5)
        self.assertEqual(guard.quarantines.entries(), [])

    def test_memory_stays_bounded(self):
        guard = make_guard("vm-0")
        for number in range(3000):
            at = 61.0 + number / 10
            run = test_runs.make_run("r", segments=(f"u{number}",))
            guard.record_survival(at, run)
            crash = detection.crash(
                at, (f"r{number}", f"v{number}"), name=f"s{number}"
            )
            guard.evidence.merge(at, crash)
            guard.expire(at)
        self.assertLessEqual(
            len(guard.evidence.crashes()), crash_evidence.MAX_CRASH_COUNT
        )
        self.assertLessEqual(
            len(guard._survivals), poison_guard.MAX_SURVIVAL_COUNT
        )


def dataclass_replace(row, **changes):
    """Returns a row with other fields."""
    fields = {name: getattr(row, name) for name in row.__struct_fields__}
    return type(row)(**(fields | changes))


if __name__ == "__main__":
    unittest.main()
