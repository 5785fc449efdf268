import dataclasses
import unittest

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift_gateway import admission
from nutmeglift_gateway import catalog
from nutmeglift_platform import names
from tests.gateway import rig

K = errors.ErrorKind


def admit(board, request, boot_now=100.5):
    return admission.admit(
        board, names.HEADERS, request, boot_now, rig.make_rng()
    )


class AdmitTest(unittest.TestCase):
    def test_refusals(self):
        cases = [
            ("unknown route", {"path": "/none/1"}, 100.5, K.UNKNOWN_ROUTE),
            ("unknown route, stale data", {"path": "/none/1"}, 103.0,
             K.CONFIGURATION_STALE),
            ("no key", {"x_api_key": None}, 100.5, K.UNAUTHENTICATED),
            ("unknown key", {"x_api_key": b"k"}, 100.5, K.UNAUTHENTICATED),
            ("unknown key, stale data", {"x_api_key": b"k"}, 103.0,
             K.CONFIGURATION_STALE),
            ("known key, stale data", {}, 104.9, K.CONFIGURATION_STALE),
            ("no host", {"host": None}, 100.5, K.BAD_REQUEST),
            ("no id", {"x_attempt_id": None}, 100.5, K.BAD_REQUEST),
            ("empty id", {"x_attempt_id": b""}, 100.5, K.BAD_REQUEST),
            ("no tokens", {"x_token_usage": None}, 100.5, K.BAD_REQUEST),
            ("bad tokens", {"x_token_usage": b"1;2"}, 100.5, K.BAD_REQUEST),
            ("bad deadline", {"x_deadline_ms": b"-5"}, 100.5, K.BAD_REQUEST),
            ("long deadline", {"x_deadline_ms": b"9" * 20}, 100.5,
             K.BAD_REQUEST),
            ("long prompt", {"x_token_usage": b"9" * 20 + b",1"}, 100.5,
             K.BAD_REQUEST),
            ("long response", {"x_token_usage": b"1," + b"9" * 20}, 100.5,
             K.BAD_REQUEST),
            ("long event id", {"last_event_id": b"9" * 20}, 100.5,
             K.BAD_REQUEST),
            ("no path", {"path": "*"}, 100.5, K.BAD_REQUEST),
        ]  # fmt: skip
        for name, changes, boot_now, kind in cases:
            with self.subTest(name):
                verdict = admit(
                    rig.make_board(), rig.make_request(**changes), boot_now
                )
                self.assertIsInstance(verdict, admission.Refused)
                self.assertEqual(verdict.kind, kind)

    def test_without_a_configuration_requests_are_refused_as_stale(self):
        board = rig.make_board()
        board.catalog = None
        verdict = admit(board, rig.make_request())
        self.assertEqual(verdict.kind, K.CONFIGURATION_STALE)

    def test_a_draining_router_refuses_requests_as_not_run(self):
        board = rig.make_board()
        board.refusing = True
        verdict = admit(board, rig.make_request())
        self.assertEqual(verdict.kind, K.DRAINING)
        self.assertEqual(errors.ANSWER_BY_KIND[K.DRAINING].status, 503)

    def test_anonymous_routes_are_served_without_confirmation(self):
        request = rig.make_request("/open/1", x_api_key=None)
        verdict = admit(rig.make_board(), request, 160.0)
        self.assertIsInstance(verdict, admission.Admitted)
        self.assertIsNone(verdict.account)

    def test_two_ids_or_keys_are_refused(self):
        for name in (names.HEADERS.request_id, names.HEADERS.key):
            with self.subTest(name):
                request = rig.make_request()
                request.headers.append((name, b"other"))
                verdict = admit(rig.make_board(), request)
                self.assertEqual(verdict.kind, K.BAD_REQUEST)

    def test_values_read_from_a_request(self):
        cases = [
            # headers, deadline in s, prompt tokens, remaining response tokens
            ({}, 20.0, 100, 16.0),
            ({"x_deadline_ms": b"700"}, 0.7, 100, 16.0),
            ({"x_deadline_ms": None}, 20.0, 100, 16.0),
            ({"x_deadline_ms": b"90000"}, 20.0, 100, 16.0),
            ({"x_deadline_ms": b"9" * 19}, 20.0, 100, 16.0),
            ({"x_length_hint": b"20"}, 20.0, 100, 26.0),
            ({"x_length_hint": b"9" * 5000}, 20.0, 100, 16.0),
            ({"x_length_hint": b"60"}, 20.0, 100, 40.0),
        ]
        for headers, deadline, prompt, remaining_tokens in cases:
            with self.subTest(headers):
                verdict = admit(rig.make_board(), rig.make_request(**headers))
                self.assertAlmostEqual(verdict.deadline, deadline)
                self.assertEqual(verdict.prompt_tokens, prompt)
                self.assertAlmostEqual(
                    verdict.response_tokens, remaining_tokens
                )

    def test_the_routes_priority_decides_among_equal_accounts(self):
        cases = [
            # priority of the account, of the route, rank
            (0, 0, 0),
            (0, 2, 2),
            (1, 0, 10),
            (1, 2, 12),
            (None, 0, 0),
            (None, 2, 22),
            (50, 50, 99),
            (-1, -1, 0),
        ]
        for own, priority, rank in cases:
            with self.subTest(account=own, route=priority):
                route = dataclasses.replace(rig.STREAM, priority=priority)
                account = catalog.Account(ids.AccountId("bank-1"), own)
                board = rig.make_board(
                    routes=(route,), account_by_key={"key-1": account}
                )
                verdict = admit(board, rig.make_request())
                self.assertEqual(verdict.rank, rank)
                self.assertEqual(verdict.needs.rank, rank)

    def test_an_accounts_priority_overrides_the_routes(self):
        verdict = admit(rig.make_board(), rig.make_request())
        self.assertEqual(verdict.priority, 0)
        request = rig.make_request("/open/1", x_api_key=None)
        self.assertEqual(admit(rig.make_board(), request).priority, 1)


if __name__ == "__main__":
    unittest.main()
