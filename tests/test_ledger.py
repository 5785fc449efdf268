"""Tests of the ledger: group commit, claims, attempts and settlement."""

import asyncio
from typing import Any
import unittest
import uuid

import hypothesis
from hypothesis import strategies
import msgspec

from nutmeglift import attempt_resolution
from nutmeglift import errors
from nutmeglift import group_commit
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import ledger
from nutmeglift import plain_messages
from nutmeglift import states
from nutmeglift_router import ledger_controller
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics
from tests import virtual_time

Kind = errors.ErrorKind
ClaimState = states.ClaimState
AttemptState = states.AttemptState
DIGEST = ids.Digest("body")
EXPIRY = 86400.0


def make_write(key, value=b"own", expected=0, urgent=True):
    return group_commit.KeyWrite(key, ids.Revision(expected), value, urgent)


def make_claim(state=ClaimState.CLAIMED, **changes) -> ledger.Claim:
    fields: dict[str, Any] = {
        "request": ids.RequestId("epoch-1"),
        "attempt": ids.Attempt(1),
        "body_digest": DIGEST,
        "vm": ids.VmId("core-1"),
        "incarnation": ids.Incarnation("core-1-1"),
        "address": "10.0.0.1:1",
        "claimed_at": 0.0,
        "expires_at": EXPIRY,
    }
    return ledger.Claim(state=state, **(fields | changes))


def make_outcome(ran=states.Ran.RAN, number=1, body=b"done"):
    return plain_messages.PlainOutcome(
        ids.RequestId(f"epoch-{number}"), ids.Attempt(1), ran, 200, body=body
    )


class TransactionRateTest(unittest.TestCase):
    # Router count: maximum transactions of one router in 20 s, with its burst.
    MAX_TRANSACTIONS_BY_ROUTER_COUNT = {1: 804, 3: 804, 30: 84, 510: 9}

    def test_transaction_rate_is_divided_among_routers(self):
        for routers, maximum in self.MAX_TRANSACTIONS_BY_ROUTER_COUNT.items():
            with self.subTest(routers=routers):
                store = virtual_time.run(self._write(routers))
                self.assertLessEqual(store.transactions, maximum)
                self.assertGreater(store.transactions, 0)

    async def _write(self, routers):
        store = kv.MemoryKv()
        controller = ledger_controller.LedgerController(
            store=store,
            clock=clocks.LoopClock(),
            metrics=metrics.MemoryMetrics(),
            count_routers=lambda: routers,
        )
        writes = []
        for number in range(1000):
            key = ledger.claim_key(ids.Digest(f"{number}"))
            claim = make_claim()
            writing = controller.write(key, kv.NEVER_WRITTEN, claim)
            writes.append(asyncio.ensure_future(writing))
            await asyncio.sleep(0.02)
        counted = store.transactions
        await asyncio.gather(*writes, return_exceptions=True)
        store.transactions = counted
        await controller.stop()
        return store


class GroupCommitTest(unittest.TestCase):
    def setUp(self):
        self.group = group_commit.GroupCommit(40.0, 4.0)

    def _start(self, now=0.0):
        batch = self.group.start(now)
        self.assertIsNotNone(batch)
        return batch

    def test_writes_queue_while_one_transaction_is_in_flight(self):
        self.group.add(make_write("/a"))
        first = self._start()
        for name in "bcd":
            self.group.add(make_write(f"/{name}"))
        self.assertIsNone(self.group.start(0.0))
        settled = self.group.finish(kv.TxnResult(True, ids.Revision(7)), 0.01)
        self.assertEqual([s.write for s in settled], list(first.writes))
        self.assertEqual(settled[0].result, group_commit.Written(7))
        self.assertEqual(len(self._start(0.01).writes), 3)

    def test_batch_is_bounded_and_contains_each_key_once(self):
        cases = {
            "many": ([make_write(f"/{n}") for n in range(300)], 128),
            "same key": ([make_write("/a", b"%d" % n) for n in range(3)], 1),
            "large": ([make_write(f"/{n}", b"x" * 600_000) for n in "ab"], 1),
            "one too large": ([make_write("/a", b"x" * 3_000_000)], 1),
        }
        for name, (writes, size) in cases.items():
            with self.subTest(name):
                self.group = group_commit.GroupCommit(40.0, 4.0)
                for write in writes:
                    self.group.add(write)
                total = 0
                now = 0.0
                first = None
                while self.group.pending:
                    batch = self._start(now)
                    first = first or batch
                    total += len(batch.writes)
                    self.group.finish(kv.TxnResult(True, 1), now)
                    now += 1.0
                self.assertEqual(len(first.writes), size)
                self.assertEqual(total, len(writes))

    def test_claims_have_priority_without_starving_outcomes(self):
        for n in range(200):
            self.group.add(make_write(f"/o{n}", urgent=False))
            self.group.add(make_write(f"/c{n}"))
        urgent = [w.urgent for w in self._start().writes]
        self.assertEqual((urgent.count(True), urgent.count(False)), (96, 32))

    def test_one_conflict_does_not_fail_the_others(self):
        found = {
            "/mine": [kv.KeyValue("/mine", b"own", 5)],
            "/other": [kv.KeyValue("/other", b"other", 4)],
            "/absent": [],
            "/gone": [],
        }
        for key in ("/mine", "/other", "/absent"):
            self.group.add(make_write(key))
        self.group.add(make_write("/gone", expected=3))
        batch = self._start()
        self.group.fail(0.0, maybe_written=True)
        batch = self._start(10.0)
        answer = kv.TxnResult(False, 9, [found[w.key] for w in batch.writes])
        settled = self.group.finish(answer, 10.0)
        self.assertEqual(
            {s.write.key: s.result for s in settled},
            {
                "/mine": group_commit.Written(5),
                "/other": group_commit.Conflict(found["/other"][0]),
                "/gone": group_commit.Conflict(None),
            },
        )
        again = self._start(10.1)
        self.assertEqual([w.key for w in again.writes], ["/absent"])

    def test_withdraw_reports_whether_the_write_may_have_been_applied(self):
        waiting, in_flight, lost, unsent = (make_write(f"/{n}") for n in "abcd")
        self.group.add(lost)
        self._start()
        self.group.fail(0.0, maybe_written=True)
        self.assertTrue(self.group.withdraw(lost))
        self.group.add(unsent)
        self._start(5.0)
        self.group.fail(5.0, maybe_written=False)
        self.assertFalse(self.group.withdraw(unsent))
        self.group.add(in_flight)
        self._start(20.0)
        self.group.add(waiting)
        self.assertFalse(self.group.withdraw(waiting))
        self.assertTrue(self.group.withdraw(in_flight))
        self.assertEqual(self.group.finish(kv.TxnResult(True, 1), 20.0), [])
        self.assertEqual(self.group.pending, 0)
        self.assertEqual(self.group._uncertain, set())

    def test_starts_are_rate_limited_unless_a_batch_is_full(self):
        now, starts = 0.0, 0
        for n in range(1000):
            self.group.add(make_write(f"/{n}"))
            now += 0.001
            if self.group.start(now):
                starts += 1
                self.group.finish(kv.TxnResult(True, 1), now)
        self.assertLessEqual(starts, 4 + 40 + 1)
        for n in range(128):
            self.group.add(make_write(f"/full{n}"))
        self.assertEqual(self.group.next_start(now), now)

    @hypothesis.given(
        strategies.lists(strategies.floats(0.0, 0.2), max_size=60),
        strategies.floats(0.0, 1e6),
    )
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    def test_delayed_start_is_later_than_the_clock_resolution(self, gaps, now):
        group = group_commit.GroupCommit(40.0, 4.0)
        for gap in gaps:
            now += gap
            group.add(make_write(f"/{now}"))
            due = group.next_start(now)
            if due > now:
                self.assertGreater(due - now, 1e-8)
                now = due
            self.assertIsNotNone(group.start(now))
            group.finish(kv.TxnResult(True, 1), now)

    def test_failures_back_off_up_to_a_second(self):
        self.group.add(make_write("/a"))
        now, starts = 0.0, 0
        while now < 60.0:
            now = self.group.next_start(now)
            self._start(now)
            starts += 1
            self.group.fail(now, maybe_written=False)
        self.assertLess(starts, 70)


class JudgeTest(unittest.TestCase):
    DONE = make_claim(ClaimState.DONE, outcome=make_outcome())
    NOT_RUN = make_claim(
        ClaimState.DONE, outcome=make_outcome(states.Ran.NOT_RUN)
    )
    # Stored claim, digest of the request body, time in seconds, decision.
    CASES = {
        "just claimed": (make_claim(), DIGEST, 1.0, Kind.IN_PROGRESS),
        "claimed long ago": (make_claim(), DIGEST, 9.0, ledger.Settle),
        "another body": (make_claim(), "x", 9.0, Kind.IDEMPOTENCY_KEY_REUSED),
        "done": (DONE, DIGEST, 1.0, ledger.Replay),
        "done, another body": (DONE, "x", 1.0, Kind.IDEMPOTENCY_KEY_REUSED),
        "done, not run": (NOT_RUN, DIGEST, 1.0, ledger.Replace),
        "void": (make_claim(ClaimState.VOID), DIGEST, 1.0, ledger.Replace),
        "void, another body": (
            make_claim(ClaimState.VOID),
            "x",
            1.0,
            ledger.Replace,
        ),
        "old": (DONE, DIGEST, EXPIRY, Kind.IDEMPOTENCY_KEY_EXPIRED),
        "never settled, old": (
            make_claim(),
            DIGEST,
            EXPIRY,
            Kind.IDEMPOTENCY_KEY_EXPIRED,
        ),
        "shrunk": (
            make_claim(ClaimState.EXPIRED),
            "x",
            1.0,
            Kind.IDEMPOTENCY_KEY_EXPIRED,
        ),
    }

    def test_decision_for_a_key_that_is_already_claimed(self):
        for name, (claim, digest, now, expected) in self.CASES.items():
            with self.subTest(name):
                decision = ledger.judge(claim, ids.Digest(digest), now)
                if isinstance(expected, Kind):
                    self.assertEqual(decision.kind, expected)
                else:
                    self.assertIsInstance(decision, expected)

    def test_a_recorded_status_that_http_does_not_have_is_not_replayed(self):
        for status in (0, 99, 103, 600):
            with self.subTest(status):
                recorded = msgspec.structs.replace(
                    make_outcome(), status=status
                )
                claim = make_claim(ClaimState.DONE, outcome=recorded)
                found = ledger.judge(claim, DIGEST, 1.0).outcome
                self.assertIs(found.kind, Kind.OUTCOME_UNKNOWN)
                self.assertEqual(
                    (found.body, found.ran), (b"", states.Ran.UNKNOWN)
                )

    def test_key_time_is_taken_from_version_7_uuids(self):
        made = uuid.UUID(int=(1_700_000_000_000 << 80) | (7 << 76) | (2 << 62))
        self.assertEqual(ledger.key_timestamp(str(made)), 1_700_000_000.0)
        for other in ("key-1", "", str(uuid.UUID(int=1 << 76)), "0" * 31):
            self.assertIsNone(ledger.key_timestamp(ids.IdempotencyKey(other)))

    def test_decision_by_claim_age(self):
        margin = 2 * ledger.MAX_CLOCK_SKEW_SECONDS
        old = EXPIRY + margin
        week = ledger.MAX_KEY_AGE_SECONDS + margin
        late_key = make_claim(keyed_at=200.0)
        cases = {
            "within": (self.DONE, old - 1, ledger.Keep),
            "past": (self.DONE, old, ledger.Shrink),
            "void": (make_claim(ClaimState.VOID), old, ledger.Drop),
            "shrunk": (make_claim(ClaimState.EXPIRED), old, ledger.Keep),
            "timed, past": (late_key, old, ledger.Shrink),
            "timed, within a week": (late_key, week + 199, ledger.Shrink),
            "timed, past a week": (late_key, week + 200, ledger.Drop),
        }
        for name, (claim, now, expected) in cases.items():
            with self.subTest(name):
                self.assertIsInstance(
                    ledger.check_retention(claim, now), expected
                )

    def test_oversized_response_is_recorded_as_run_without_its_body(self):
        large = make_outcome(body=b"x" * (ledger.MAX_RECORDED_BODY_BYTES + 1))
        kept = ledger.complete_claim(make_claim(), large).outcome
        self.assertEqual((kept.ran, kept.body), (states.Ran.RAN, b""))
        self.assertIsNotNone(kept.kind)


class AttemptWatchTest(unittest.TestCase):
    def _make(self, connected=True, query_at=12.0):
        return attempt_resolution.AttemptWatch(
            make_claim(),
            connected=connected,
            now=0.0,
            query_at=query_at,
            deadline=20.0,
        )

    def _status(self, state, outcome=None):
        return plain_messages.AttemptStatus(
            ids.RequestId("epoch-1"),
            ids.Attempt(1),
            ids.Incarnation("core-1-1"),
            state,
            outcome,
        )

    def test_only_an_agent_report_proves_not_run(self):
        refused = make_outcome(states.Ran.NOT_RUN)
        unsure = make_outcome(states.Ran.UNKNOWN)
        done = AttemptState.DONE
        cases = {
            "fenced": (
                self._status(AttemptState.FENCED),
                attempt_resolution.NotRun,
            ),
            "refused": (self._status(done, refused), attempt_resolution.NotRun),
            "done": (
                self._status(done, make_outcome()),
                attempt_resolution.Finished,
            ),
            "unsure": (self._status(done, unsure), attempt_resolution.Finished),
            "another start": (self._status(None), attempt_resolution.Unknown),
            "running": (
                self._status(AttemptState.RUNNING),
                attempt_resolution.Wait,
            ),
        }
        for name, (status, expected) in cases.items():
            with self.subTest(name):
                watch = self._make()
                watch.record_status(status)
                self.assertIsInstance(watch.next_step(1.0), expected)

    def test_missing_response_is_never_treated_as_not_run(self):
        watch = self._make()
        self.assertEqual(watch.next_step(0.0), attempt_resolution.Wait(12.0))
        self.assertIsInstance(
            watch.next_step(12.0), attempt_resolution.QueryAgent
        )
        self.assertEqual(watch.next_step(12.0), attempt_resolution.Wait(13.0))
        self.assertIsInstance(watch.next_step(20.0), attempt_resolution.Unknown)

    def test_query_is_sent_at_once_over_a_new_connection(self):
        watch = self._make()
        watch.link_down(3.0)
        self.assertEqual(
            watch.next_step(3.0),
            attempt_resolution.Wait(3.0 + attempt_resolution.REOPEN_SECONDS),
        )
        watch.link_up(5.0)
        self.assertIsInstance(
            watch.next_step(5.0), attempt_resolution.QueryAgent
        )

    def test_outcome_is_unknown_when_the_agent_is_unreachable(self):
        watch = self._make(connected=False, query_at=0.0)
        late = attempt_resolution.REOPEN_SECONDS
        self.assertEqual(watch.next_step(0.0), attempt_resolution.Wait(late))
        self.assertIsInstance(watch.next_step(late), attempt_resolution.Unknown)

    def test_first_report_takes_precedence(self):
        watch = self._make()
        watch.record_outcome(make_outcome())
        watch.record_status(self._status(AttemptState.FENCED))
        watch.record_status(self._status(None))
        self.assertIsInstance(watch.next_step(1.0), attempt_resolution.Finished)


if __name__ == "__main__":
    unittest.main()
