"""Tests of an agent's attempt table."""

import unittest

from nutmeglift import attempts
from nutmeglift import ids
from nutmeglift import plain_messages
from nutmeglift import states
from tests import test_ledger


def make_call(number=1, incarnation="one", epoch="epoch"):
    return plain_messages.PlainCall(
        ids.RequestId(f"{epoch}-{number}"),
        ids.Attempt(1),
        ids.ServiceId("core"),
        ids.Incarnation(incarnation),
        "POST",
        "/releases",
        (),
        b"",
        False,
        10.0,
    )


def make_query(number=1, incarnation="one", epoch="epoch"):
    return plain_messages.AttemptQuery(
        ids.RequestId(f"{epoch}-{number}"),
        ids.Attempt(1),
        ids.Incarnation(incarnation),
    )


class AttemptTableTest(unittest.TestCase):
    def _make(self, **bounds):
        return attempts.AttemptTable(ids.Incarnation("one"), **bounds)

    def test_an_attempt_runs_once(self):
        table = self._make()
        self.assertIs(table.begin(make_call()), attempts.StartDecision.RUN)
        self.assertIs(table.begin(make_call()), attempts.StartDecision.RUNNING)
        self.assertIs(
            table.query(make_query()).state, states.AttemptState.RUNNING
        )
        table.finish(test_ledger.make_outcome())
        self.assertIs(table.begin(make_call()), attempts.StartDecision.SETTLED)
        status = table.query(make_query())
        self.assertEqual(status.outcome, test_ledger.make_outcome())

    def test_query_fences_an_unseen_attempt(self):
        table = self._make()
        self.assertIs(
            table.query(make_query()).state, states.AttemptState.FENCED
        )
        self.assertIs(table.begin(make_call()), attempts.StartDecision.SETTLED)

    def test_calls_for_another_incarnation_are_not_run(self):
        table = self._make()
        self.assertIsNone(table.query(make_query(1, "two")).state)
        self.assertIs(
            table.begin(make_call(1, "two")),
            attempts.StartDecision.OTHER_INCARNATION,
        )
        self.assertIs(table.begin(make_call()), attempts.StartDecision.RUN)

    def test_evicted_attempts_neither_run_nor_count_as_not_run(self):
        cases = {
            "by number": {"max_settled": 10},
            "by bytes": {"max_outcome_bytes": 10 * len(b"done")},
        }
        for name, bounds in cases.items():
            with self.subTest(name):
                table = self._make(**bounds)
                table.begin(make_call(0))  # Keeps running throughout.
                for number in range(1, 101):
                    table.begin(make_call(number))
                    table.finish(test_ledger.make_outcome(number=number))
                self.assertEqual(len(table), 11)
                for number in range(1, 91):
                    admission = table.begin(make_call(number))
                    self.assertIs(admission, attempts.StartDecision.EVICTED)
                    self.assertIsNone(table.query(make_query(number)).state)
                self.assertIs(
                    table.begin(make_call(0)), attempts.StartDecision.RUNNING
                )
                for number, epoch in ((101, "epoch"), (1, "other")):
                    call = make_call(number, epoch=epoch)
                    self.assertIs(table.begin(call), attempts.StartDecision.RUN)

    def test_new_epochs_are_refused_at_the_epoch_limit(self):
        table = self._make(max_settled=0, max_epochs=2)
        for epoch in ("a", "b"):
            table.query(make_query(1, epoch=epoch))
        call = make_call(9, epoch="c")
        self.assertIs(table.begin(call), attempts.StartDecision.EVICTED)
        self.assertIsNone(table.query(make_query(9, epoch="c")).state)
        self.assertIs(
            table.begin(make_call(9, epoch="a")), attempts.StartDecision.RUN
        )


if __name__ == "__main__":
    unittest.main()
