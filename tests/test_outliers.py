"""Tests of outlier detection among runners."""

import unittest

from nutmeglift import ids
from nutmeglift import outliers

VMS = [ids.VmId(f"r{n}") for n in range(9)]


def make_detector(runners: int, group: str = "a") -> outliers.OutlierDetector:
    detector = outliers.OutlierDetector()
    for vm in VMS[:runners]:
        detector.add(vm, group)
    return detector


def report(detector, now, seconds_by_vm, runners, running=10):
    for vm in VMS[:runners]:
        detector.record_step(
            vm,
            seconds=seconds_by_vm.get(vm, 0.01),
            layers=4,
            running=running,
            now=now,
        )


def untrusted(detector, now) -> set[str]:
    return {vm for vm in VMS if detector.traffic_share_ratio(vm, now) < 1}


class SlowRunnerTest(unittest.TestCase):
    def test_only_runners_much_slower_than_peers_are_ejected(self):
        cases = {
            "equal": ({}, 0),
            "twice as slow": ({VMS[0]: 0.02}, 0),
            "a tenth of the speed": ({VMS[0]: 0.1}, 1),
            "a quarter of the speed": ({VMS[0]: 0.04}, 1),
            "all slow": (dict.fromkeys(VMS, 0.1), 0),
        }
        for name, (seconds_by_vm, expected) in cases.items():
            with self.subTest(name):
                detector = make_detector(6)
                for now in range(5):
                    report(detector, float(now), seconds_by_vm, 6)
                self.assertEqual(len(untrusted(detector, 4.0)), expected)

    def test_tenfold_slowdown_is_detected_within_five_seconds(self):
        detector = make_detector(6)
        for now in range(10):
            report(detector, float(now), {}, 6)
        for now in range(10, 14):
            report(detector, float(now), {VMS[2]: 0.1}, 6)
        trust = detector.traffic_share_ratio(VMS[2], 14.0)
        self.assertEqual(trust, outliers.EJECTED_SHARE_RATIO)

    def test_one_long_step_does_not_eject(self):
        detector = make_detector(6)
        for now in range(20):
            slow = {VMS[0]: 0.1} if now % 3 == 0 else {}
            report(detector, float(now), slow, 6)
        self.assertEqual(untrusted(detector, 20.0), set())

    def test_larger_batch_may_take_longer(self):
        detector = make_detector(6)
        for now in range(6):
            report(detector, float(now), {}, 6)
            detector.record_step(
                VMS[0], seconds=0.08, layers=4, running=80, now=float(now)
            )
        self.assertEqual(untrusted(detector, 6.0), set())

    def test_other_groups_are_not_peers(self):
        detector = make_detector(3, "a")
        for vm in VMS[3:6]:
            detector.add(vm, "b")
        for now in range(5):
            report(detector, float(now), dict.fromkeys(VMS[3:6], 0.1), 6)
        self.assertEqual(untrusted(detector, 5.0), set())

    def test_single_runner_is_never_ejected(self):
        detector = make_detector(1)
        for now in range(5):
            report(detector, float(now), {VMS[0]: 5.0}, 1)
            detector.record_result(VMS[0], True, float(now))
        self.assertEqual(untrusted(detector, 5.0), set())


class EjectionTest(unittest.TestCase):
    def note_failures(
        self, detector, vms, now, times=outliers.EJECTION_FAILURE_COUNT
    ):
        for vm in vms:
            for _ in range(times):
                detector.record_result(vm, True, now)

    def test_consecutive_failures_eject(self):
        cases = {"in a row": (False, 1), "with a success between": (True, 0)}
        for name, (success, expected) in cases.items():
            with self.subTest(name):
                detector = make_detector(6)
                self.note_failures(
                    detector, VMS[:1], 0.0, outliers.EJECTION_FAILURE_COUNT - 1
                )
                if success:
                    detector.record_result(VMS[0], False, 0.0)
                detector.record_result(VMS[0], True, 0.0)
                self.assertEqual(len(untrusted(detector, 0.0)), expected)

    def test_widespread_failures_eject_a_bounded_share(self):
        for runners, max_ejected in ((2, 1), (3, 1), (6, 2), (9, 3)):
            with self.subTest(runners=runners):
                detector = make_detector(runners)
                for now in range(5):
                    self.note_failures(detector, VMS[:runners], float(now))
                self.assertEqual(len(untrusted(detector, 5.0)), max_ejected)
                self.assertGreater(detector.withheld, 0)

    def test_trust_recovers_gradually_and_later_after_each_ejection(self):
        detector = make_detector(6)
        now = 0.0
        for ejection in range(3):
            self.note_failures(detector, VMS[:1], now)
            end = now + outliers.EJECTION_SECONDS * 2**ejection
            self.assertEqual(
                detector.traffic_share_ratio(VMS[0], end - 0.1),
                outliers.EJECTED_SHARE_RATIO,
            )
            shares = [
                detector.traffic_share_ratio(
                    VMS[0], end + part * outliers.RETURN_RAMP_SECONDS
                )
                for part in (0.0, 0.25, 0.5, 0.75, 1.0)
            ]
            self.assertEqual(shares, sorted(shares))
            self.assertLess(shares[1], 0.4)
            self.assertEqual(shares[-1], 1.0)
            now = end + outliers.RETURN_RAMP_SECONDS
        later = now + outliers.EJECTION_MEMORY_SECONDS + 1
        detector.traffic_share_ratio(VMS[0], later)
        self.note_failures(detector, VMS[:1], later)
        end = later + outliers.EJECTION_SECONDS
        self.assertGreater(
            detector.traffic_share_ratio(VMS[0], end),
            outliers.EJECTED_SHARE_RATIO,
        )


if __name__ == "__main__":
    unittest.main()
