"""Decisions on requests: freshness, retries, stalls, drain, retry delay."""

import unittest

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift_gateway import drain
from nutmeglift_gateway import freshness
from nutmeglift_gateway import http_call
from nutmeglift_gateway import responses
from nutmeglift_gateway import retry_delay
from nutmeglift_gateway import retry_policy
from nutmeglift_gateway import stalls
from nutmeglift_platform import names
from tests.gateway import rig


def make_freshness():
    """Returns a state with a configuration in force."""
    state = freshness.Freshness(5.0)
    state.record_in_force(ids.Revision(3), ids.Generation(7))
    return state


def confirmation(sent_at):
    return freshness.StoreConfirmation(
        sent_at, ids.Revision(3), freshness.Source.TRANSACTION
    )


class FreshnessTest(unittest.TestCase):
    def test_age_counts_from_when_the_confirmation_was_sent(self):
        cases = [(100.0, True), (104.7, True), (104.9, False), (160.0, False)]
        for now, fresh in cases:
            with self.subTest(now):
                state = make_freshness()
                state.confirm(confirmation(100.0))
                self.assertEqual(state.is_fresh(now), fresh)

    def test_older_confirmations_change_nothing(self):
        state = make_freshness()
        state.confirm(confirmation(100.0))
        state.confirm(confirmation(90.0))
        self.assertEqual(state.confirmed_at, 100.0)

    def test_never_confirmed_is_not_fresh(self):
        self.assertFalse(freshness.Freshness(5.0).is_fresh(0.0))

    def test_suspended_time_counts(self):
        # The boot clock includes the time in which the machine was suspended.
        state = make_freshness()
        state.confirm(confirmation(100.0))
        self.assertFalse(state.is_fresh(100.0 + 30.0))


F = retry_policy.Failure
RETRY = retry_policy.Retry(charged=True)
RETRY_UNCHARGED = retry_policy.Retry(charged=False)
UNKNOWN = retry_policy.Fail(errors.ErrorKind.OUTCOME_UNKNOWN)
OVERLOADED = retry_policy.Refuse(errors.ErrorKind.OVERLOADED)
DELIVER = retry_policy.Deliver()


class RetryPolicyTest(unittest.TestCase):
    def test_decision_for_each_failure(self):
        cases = [
            # route, sent, runs, failure, decision
            (rig.UNSAFE, 0, 0, F.NOT_SENT, RETRY_UNCHARGED),
            (rig.UNSAFE, 1, 0, F.REJECTED, RETRY),
            (rig.UNSAFE, 1, 1, F.LOST, UNKNOWN),
            (rig.UNSAFE, 1, 1, F.INVALID, UNKNOWN),
            (rig.UNSAFE, 1, 1, F.SERVER_ERROR, DELIVER),
            (rig.SAFE, 1, 1, F.LOST, RETRY),
            (rig.SAFE, 1, 1, F.INVALID, RETRY),
            (rig.SAFE, 1, 1, F.SERVER_ERROR, RETRY),
            (rig.SAFE, 2, 2, F.SERVER_ERROR, DELIVER),
            (rig.SAFE, 2, 2, F.LOST, UNKNOWN),
            (rig.SAFE, 2, 1, F.REJECTED, RETRY),
            (rig.STREAM, 1, 1, F.LOST, RETRY),
            (rig.STREAM, 2, 2, F.LOST, UNKNOWN),
            (rig.STREAM, 3, 0, F.REJECTED, RETRY),
            (rig.STREAM, 4, 0, F.REJECTED, OVERLOADED),
        ]
        for route, sent, runs, failure, expected in cases:
            with self.subTest(route=route.id, sent=sent, failure=failure):
                progress = retry_policy.Progress(sent, runs)
                self.assertEqual(
                    retry_policy.decide(route, progress, failure, 1.0), expected
                )

    def test_runs_on_lost_servers_do_not_use_up_attempts(self):
        cases = [(2, 0, UNKNOWN), (2, 1, RETRY), (3, 2, RETRY), (3, 1, UNKNOWN)]
        for runs, ended, expected in cases:
            with self.subTest(runs=runs, ended=ended):
                progress = retry_policy.Progress(runs, runs, ended)
                self.assertEqual(
                    retry_policy.decide(rig.STREAM, progress, F.LOST, 1.0),
                    expected,
                )
                # The earlier runs are still recorded.
                self.assertTrue(progress.may_have_run)

    def test_not_run_is_reported_only_when_nothing_ran(self):
        for route in (rig.SAFE, rig.UNSAFE, rig.STREAM):
            for failure in F:
                for runs in (0, 1, 2):
                    with self.subTest(route.id, failure=failure, runs=runs):
                        progress = retry_policy.Progress(4, runs)
                        decision = retry_policy.decide(
                            route, progress, failure, 0.0
                        )
                        refused = isinstance(decision, retry_policy.Refuse)
                        self.assertEqual(refused, runs == 0)

    def test_decision_without_a_server(self):
        self.assertEqual(
            retry_policy.decide_without_server(retry_policy.Progress(1, 0)),
            retry_policy.Refuse(errors.ErrorKind.NO_BACKEND),
        )
        self.assertEqual(
            retry_policy.decide_without_server(retry_policy.Progress(1, 1)),
            UNKNOWN,
        )


class StallsTest(unittest.TestCase):
    def test_action_for_a_silent_stream(self):
        wait, request_report = (
            stalls.Action.WAIT,
            stalls.Action.REQUEST_REPORT,
        )
        cases = [
            # silent s, begun, step s, action
            (0.05, True, 0.008, wait),
            (0.13, True, 0.008, request_report),
            (0.13, False, 0.008, wait),
            (0.26, False, 0.008, request_report),
            (0.3, True, 0.03, wait),
            (1.7, True, 0.03, stalls.Action.RESUME),
            (1.7, False, 0.008, stalls.Action.RESUME),
        ]
        for silent, begun, step, expected in cases:
            with self.subTest(silent=silent, begun=begun, step=step):
                state = stalls.StreamState(
                    silent, silent, begun, 0.5, 0.25, step, 800
                )
                self.assertEqual(stalls.judge(state), expected)

    def test_a_redirected_stream_gets_more_time_within_the_callers_limit(self):
        cases = [
            (0.5, 0.05, stalls.Action.WAIT),
            (0.5, 0.2, stalls.Action.REQUEST_REPORT),
            (1.7, 0.05, stalls.Action.RESUME),
        ]
        for silent, idle_seconds, expected in cases:
            with self.subTest(silent=silent, idle_seconds=idle_seconds):
                state = stalls.StreamState(
                    silent, idle_seconds, True, 0.5, 0.25, 0.008, 800
                )
                self.assertEqual(stalls.judge(state), expected)

    def test_streams_are_resumed_before_callers_time_out(self):
        # Callers disconnect from a stream that is silent for 2 s.
        self.assertLess(stalls.SILENCE_TIMEOUT_SECONDS, 2.0)


class DrainTest(unittest.TestCase):
    def test_drain_steps(self):
        accept, refuse, exit_step = (
            drain.Step.ACCEPT,
            drain.Step.REFUSE,
            drain.Step.EXIT,
        )
        cases = [
            # elapsed s, requests in flight, unsettled connections, step
            (0.0, 0, 0, accept),
            (2.8, 5, 5, accept),
            (2.95, 5, 5, refuse),
            (3.1, 0, 0, refuse),
            (3.3, 5, 5, refuse),
            (3.3, 0, 1, refuse),
            (3.3, 5, 0, refuse),
            (3.3, 0, 0, exit_step),
            (7.1, 5, 5, refuse),
            (7.3, 5, 5, exit_step),
            (7.3, 0, 1, exit_step),
        ]
        for elapsed, in_flight, unsettled, expected in cases:
            with self.subTest(
                elapsed=elapsed, in_flight=in_flight, unsettled=unsettled
            ):
                step = drain.judge(
                    elapsed=elapsed,
                    in_flight=in_flight,
                    unsettled=unsettled,
                    shutdown_seconds=8.0,
                )
                self.assertEqual(step, expected)

    def test_idle_connections_close_once_the_vm_is_out_of_rotation(self):
        # The platform takes a VM out of rotation after two failed readiness
        # checks, one per second.
        for elapsed, closes in [(0.0, False), (2.0, False), (2.2, True)]:
            with self.subTest(elapsed):
                self.assertEqual(drain.closes_idle_connections(elapsed), closes)
        self.assertLess(drain.CLOSE_IDLE_SECONDS, drain.REFUSE_SECONDS)

    def test_which_requests_begin_before_the_exit(self):
        slow, certain = drain.COMPLETION_SECONDS, True
        cases = [
            # time to the deadline, to the exit, must complete, begins
            (1.0, 1.0, certain, True),
            (1.0, 0.9, certain, False),
            (20.0, 19.0, certain, False),
            (1.0, 1.0, not certain, True),
            (1.0, 0.9, not certain, False),
            (20.0, slow, not certain, True),
            (20.0, slow - 0.1, not certain, False),
            (20.0, float("inf"), certain, True),
        ]
        for to_deadline, to_exit, must_complete, begins in cases:
            with self.subTest(to_deadline, to_exit=to_exit):
                self.assertIs(
                    drain.may_begin(
                        now=100.0,
                        exit_at=100.0 + to_exit,
                        deadline=100.0 + to_deadline,
                        must_complete=must_complete,
                    ),
                    begins,
                )

    def test_which_responses_leave_their_connection_open(self):
        cases = [
            # requested, draining, has_queued, keeps open
            (True, False, False, True),
            (True, False, True, True),
            (True, True, False, False),
            (True, True, True, True),
            (False, False, True, False),
            (False, True, True, False),
        ]
        for requested, draining, has_queued, expected in cases:
            with self.subTest(requested, draining=draining, queued=has_queued):
                keeps_open = drain.keeps_open(
                    requested=requested,
                    draining=draining,
                    has_queued=has_queued,
                )
                self.assertEqual(keeps_open, expected)


class RetryDelayTest(unittest.TestCase):
    def test_retry_after_follows_the_time_until_layers_are_loaded(self):
        cases = [
            (errors.ErrorKind.NO_BACKEND, 0.0, 1.0),
            (errors.ErrorKind.NO_BACKEND, 52.0, 2.15),
            (errors.ErrorKind.NO_BACKEND, 90.0, 5.0),
            (errors.ErrorKind.OVERLOADED, 52.0, 0.5),
        ]
        for kind, eta, expected in cases:
            with self.subTest(kind=kind, eta=eta):
                board = rig.make_board()
                board.coverage_eta = eta
                self.assertAlmostEqual(
                    retry_delay.retry_after(board, kind, 50.0), expected
                )


class JudgeTest(unittest.TestCase):
    def test_verdict_for_each_response(self):
        verdict = responses.Verdict
        valid = {b"x-attempt-id": b"a", b"x-response-seal": b"r"}
        cases = [
            (200, valid, verdict.VALID),
            (200, {b"x-attempt-id": b"a"}, verdict.INVALID),
            (200, {b"x-response-seal": b"r"}, verdict.INVALID),
            (200, valid | {b"x-attempt-id": b"b"}, verdict.INVALID),
            (200, valid | {b"content-encoding": b"gzip"}, verdict.INVALID),
            (404, valid, verdict.VALID),
            (500, valid, verdict.SERVER_ERROR),
            (503, valid, verdict.SERVER_ERROR),
            (429, valid, verdict.SERVER_ERROR),
            (503, {b"x-not-executed": b"1"}, verdict.NOT_RUN),
            (400, {b"x-not-executed": b"1"}, verdict.NOT_RUN),
            (421, {}, verdict.NOT_RUN),
            (
                503,
                {b"x-not-executed": b"1", b"x-attempt-id": b"b"},
                verdict.INVALID,
            ),
            (421, {b"x-attempt-id": b"b"}, verdict.INVALID),
            (
                503,
                {b"x-not-executed": b"1", b"x-attempt-id": b"a"},
                verdict.NOT_RUN,
            ),
        ]
        for status, headers, expected in cases:
            with self.subTest(status=status, headers=headers):
                head = http_call.Head(status, list(headers.items()))
                self.assertEqual(
                    responses.judge(names.HEADERS, head, b"a"), expected
                )


class ErrorResponseTest(unittest.TestCase):
    def test_retry_after_is_sent_only_with_not_run(self):
        for kind, answer in errors.ANSWER_BY_KIND.items():
            with self.subTest(kind):
                raw = responses.error_response(kind, retry_after=0.5)
                self.assertEqual(
                    b"retry-after" in raw, answer.ran.value == "not_run"
                )
                self.assertNotIn(names.HEADERS.receipt, raw.lower())

    def test_not_run_statuses_are_used_only_for_not_run(self):
        for kind, answer in errors.ANSWER_BY_KIND.items():
            with self.subTest(kind):
                if answer.status in responses.NOT_RUN_STATUSES:
                    self.assertEqual(answer.ran.value, "not_run")


if __name__ == "__main__":
    unittest.main()
