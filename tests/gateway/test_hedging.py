"""Decisions on second attempts, without a network."""

import dataclasses
import unittest

from nutmeglift import ids
from nutmeglift_gateway.load import hedging
from nutmeglift_gateway.load import latency_sketches
from tests.gateway import rig

NEAR = hedging.Group(rig.CORE, ids.FailureDomain("a"), False)
FAR = hedging.Group(rig.CORE, ids.FailureDomain("b"), False)
SENT = hedging.Sent(NEAR, 1.0, ratio=0.05, objective_at=110.0)
DUE = hedging.Due(
    rig.CORE,
    1,
    draining=False,
    has_attempts_left=True,
    suspected=False,
    within_limit=True,
)
FOUND = hedging.Found(FAR, 1.0, has_room=True, waited=0.1, deadline=101.0)


def make_hedging(values_by_group):
    """Returns decisions that know latencies, recorded at 100 s."""
    decisions = hedging.Hedging()
    for group, values in values_by_group.items():
        for value in values:
            decisions.handle(100.0, hedging.Answered(group, 1.0, value))
    return decisions


class HedgingTest(unittest.TestCase):
    def test_how_long_the_first_attempt_gets(self):
        even = [0.01 * number for number in range(1, 101)]
        tail = [0.05] * 80 + [0.1] * 10 + [0.4] * 6 + [2.0] * 4
        cases = [
            # latencies, changes of the event, seconds; None for no limit
            ({}, {}, None),
            ({NEAR: tail[:19]}, {}, None),
            ({NEAR: tail}, {}, 0.4),
            ({NEAR: tail}, {"expected_seconds": 2.0}, 0.8),
            # Half of those that are slower take less than 0.05 s longer.
            ({NEAR: tail}, {"ratio": 0.02}, 2.0),
            ({NEAR: even}, {}, 1.0),
            # More count as slow if the objective would be missed.
            ({NEAR: tail}, {"objective_at": 100.46}, 0.4),
            ({NEAR: tail}, {"objective_at": 100.44}, 0.1),
            ({NEAR: tail}, {"objective_at": 100.0}, 0.1),
            # The whole service counts until a failure domain is known.
            ({FAR: tail}, {}, 0.4),
        ]
        for values, changes, expected in cases:
            with self.subTest(changes=changes, expected=expected):
                actions = make_hedging(values).handle(
                    100.0, dataclasses.replace(SENT, **changes)
                )
                if expected is None:
                    self.assertEqual(actions, ())
                    continue
                (action,) = actions
                self.assertAlmostEqual(
                    action.at - 100.0, expected, delta=0.021 * expected
                )

    def test_an_answer_that_was_expected_at_once(self):
        # An engine's steps may be configured to take no time.
        decisions = hedging.Hedging()
        answered = hedging.Answered(NEAR, 0.0, 0.05)
        self.assertEqual(decisions.handle(100.0, answered), ())

    def test_when_due(self):
        denial = hedging.Denial
        cases = [
            ({}, None),
            ({"draining": True}, denial.DRAINING),
            ({"has_attempts_left": False}, denial.NO_ATTEMPT_LEFT),
            ({"suspected": True}, denial.SUSPECT),
            ({"rank": 2}, denial.URGENT_WAITING),
            ({"within_limit": False}, denial.LIMIT),
        ]
        decisions = make_hedging({})
        decisions.is_urgent_waiting = lambda service, rank: rank > 1
        for changes, reason in cases:
            with self.subTest(changes=changes):
                expected = hedging.Deny(reason) if reason else hedging.Seek()
                event = dataclasses.replace(DUE, **changes)
                self.assertEqual(decisions.handle(100.0, event), (expected,))

    def test_when_another_server_is_found(self):
        denial = hedging.Denial
        cases = [
            # latencies there, changes of the event, denial
            (0.05, {}, None),
            (0.05, {"group": None}, denial.NO_SERVER),
            (0.05, {"has_room": False}, denial.NO_ROOM),
            (0.2, {}, denial.SLOW_SERVER),
            (0.05, {"expected_seconds": 3.0}, denial.SLOW_SERVER),
            (0.05, {"deadline": 100.04}, denial.TIME_UP),
        ]
        for latency, changes, reason in cases:
            with self.subTest(latency=latency, changes=changes):
                decisions = make_hedging({FAR: [latency] * 20})
                expected = hedging.Deny(reason) if reason else hedging.Start()
                event = dataclasses.replace(FOUND, **changes)
                self.assertEqual(decisions.handle(100.0, event), (expected,))


class LatencySketchesTest(unittest.TestCase):
    def test_old_latencies_are_dropped(self):
        period = latency_sketches.PERIOD_SECONDS
        for age, expected in ((0, 1), (period, 1), (2 * period, None)):
            with self.subTest(age=age):
                sketches = latency_sketches.LatencySketches()
                for _ in range(20):
                    sketches.record(100.0, "x", 1.0)
                found = sketches.quantile(100.0 + age, "x", 0.5)
                self.assertEqual(found and round(found), expected)

    def test_memory_is_bounded(self):
        sketches = latency_sketches.LatencySketches()
        for number in range(1000):
            for power in range(-30, 30):
                sketches.record(100.0, number % 100, 2.0**power)
        groups = sketches._group_by_key
        self.assertEqual(len(groups), latency_sketches.MAX_GROUP_COUNT)
        for group in groups.values():
            self.assertLessEqual(
                len(group.current._store.bins), latency_sketches.BIN_COUNT
            )


if __name__ == "__main__":
    unittest.main()
