import unittest

from nutmeglift_gateway import suspect_servers

LIFE = ("s", 1)


class SuspectServersTest(unittest.TestCase):
    def setUp(self):
        self.trust = suspect_servers.SuspectServers()

    def test_a_suspect_is_probed_only_after_its_hold_down(self):
        self.assertTrue(self.trust.mark_suspect(10.0, "a", LIFE, "stalled"))
        self.assertFalse(self.trust.mark_suspect(10.1, "a", LIFE, "stalled"))
        cases = [(10.1, []), (10.4, []), (10.51, ["a"]), (10.6, [])]
        for now, due in cases:
            with self.subTest(now):
                self.assertEqual(self.trust.due_probes(now), due)

    def test_another_lifetime_at_the_address_is_trusted(self):
        self.trust.mark_suspect(10.0, "a", LIFE, "stalled")
        self.assertTrue(self.trust.is_suspect("a", LIFE))
        self.assertFalse(self.trust.is_suspect("a", ("s", 2)))

    def test_relapses_are_held_longer_up_to_a_bound(self):
        now, probes = 0.0, []
        for _ in range(7):
            self.trust.mark_suspect(now, "a", LIFE, "stalled")
            began = now
            while not self.trust.due_probes(now):
                now += 0.05
            probes.append(now - began)
            self.trust.clear("a")
        self.assertEqual(probes, sorted(probes))
        self.assertLess(probes[-1], suspect_servers.MAX_HOLD_DOWN_SECONDS + 0.1)

    def test_unrelated_failures_reset_the_hold_down(self):
        self.trust.mark_suspect(0.0, "a", LIFE, suspect_servers.Reason.REJECTED)
        self.trust.clear("a")
        self.trust.mark_suspect(
            60.0, "a", LIFE, suspect_servers.Reason.REJECTED
        )
        self.assertEqual(self.trust.due_probes(60.51), ["a"])

    def test_a_suspect_may_turn_out_to_be_down(self):
        reasons = [
            # first reason, second reason, whether it is new, reason kept
            ("connect", "unreachable", True, "unreachable"),
            ("unreachable", "connect", False, "unreachable"),
            ("crashed", "stalled", False, "crashed"),
            ("stalled", "crashed", True, "crashed"),
            ("peer", "stalled", False, "peer"),
            ("rejected", "moved", False, "rejected"),
        ]
        for first, second, is_new, kept in reasons:
            with self.subTest(first=first, second=second):
                suspects = suspect_servers.SuspectServers()
                suspects.mark_suspect(
                    0.0, "a", LIFE, suspect_servers.Reason(first)
                )
                self.assertEqual(
                    suspects.mark_suspect(
                        0.1, "a", LIFE, suspect_servers.Reason(second)
                    ),
                    is_new,
                )
                self.assertEqual(suspects.reason("a"), kept)
                down = {"a"} if kept in suspect_servers.DOWN_REASONS else set()
                self.assertEqual(suspects.down_addresses(), down)

    def test_repeated_rejections_require_a_replacement(self):
        lost = []
        for number in range(4):
            self.trust.mark_suspect(
                float(number), "a", LIFE, suspect_servers.Reason.REJECTED
            )
            lost.append(self.trust.needs_replacement(float(number), "a", LIFE))
            self.trust.clear("a")
        self.assertEqual(lost, [False, False, True, True])
        self.trust.mark_suspect(9.0, "b", LIFE, "connect")
        self.assertTrue(self.trust.needs_replacement(9.0, "b", LIFE))

    def test_only_a_long_silence_requires_a_replacement(self):
        long = suspect_servers.LOST_SILENCE_SECONDS
        cases = [
            # reasons in order, seconds since the first, lost
            (["no report"], 0.0, False),
            (["no report"], 1.2, False),
            (["no report"], long, True),
            (["stalled"], 1.2, False),
            (["stalled"], long, True),
            (["peer"], 1.2, False),
            (["peer"], long, True),
            (["no report", "stalled"], long, True),
            (["no report", "crashed"], 0.0, True),
            (["stalled", "crashed"], 0.0, True),
            (["peer", "unreachable"], 0.0, True),
            (["crashed", "no report"], 0.0, True),
            (["connect", "stalled"], 0.0, True),
            (["connect", "peer"], 0.0, True),
            (["rejected", "no report"], 1.2, False),
            (["rejected", "no report"], long, True),
            (["moved", "no report"], long, True),
        ]
        for reasons, seconds, lost in cases:
            with self.subTest(reasons=reasons, seconds=seconds):
                suspects = suspect_servers.SuspectServers()
                for reason in reasons:
                    suspects.mark_suspect(
                        5.0, "a", LIFE, suspect_servers.Reason(reason)
                    )
                now = 5.0 + seconds
                self.assertIs(suspects.needs_replacement(now, "a", LIFE), lost)
                self.assertIs(suspects.may_go_on(now, "a", LIFE), not lost)

    def test_repeated_silences_require_a_replacement(self):
        for reason in ("no report", "stalled", "peer"):
            with self.subTest(reason):
                suspects = suspect_servers.SuspectServers()
                lost = []
                for number in range(4):
                    suspects.mark_suspect(
                        float(number), "a", LIFE, suspect_servers.Reason(reason)
                    )
                    lost.append(
                        suspects.needs_replacement(float(number), "a", LIFE)
                    )
                    suspects.clear("a")
                self.assertEqual(lost, [False, False, True, True])

    def test_a_third_rejection_followed_by_silence_requires_a_replacement(self):
        for number in range(3):
            self.trust.clear("a")
            self.trust.mark_suspect(
                float(number), "a", LIFE, suspect_servers.Reason.REJECTED
            )
        for reason in ("stalled", "peer", "no report"):
            self.trust.mark_suspect(
                2.1, "a", LIFE, suspect_servers.Reason(reason)
            )
            self.assertTrue(self.trust.needs_replacement(2.1, "a", LIFE))

    def test_which_suspects_were_found_lost(self):
        for reason in suspect_servers.Reason:
            with self.subTest(reason):
                trust = suspect_servers.SuspectServers()
                trust.mark_suspect(10.0, "a", LIFE, reason)
                lost = reason in suspect_servers.TERMINATED_REASONS
                self.assertEqual(
                    trust.terminated_addresses(), {"a"} if lost else set()
                )
                trust.clear("a")
                self.assertEqual(trust.terminated_addresses(), set())

    def test_removed_addresses_are_forgotten(self):
        self.trust.mark_suspect(0.0, "a", LIFE, "stalled")
        self.trust.keep_only(set())
        self.assertEqual(self.trust.suspects(), {})


if __name__ == "__main__":
    unittest.main()
