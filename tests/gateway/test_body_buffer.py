"""Memory for response bodies that never end."""

import unittest
from unittest import mock

from nutmeglift_gateway import body_buffer
from nutmeglift_gateway import http_call
from tests.gateway import endless
from tests.gateway import test_http_call

PIECE = b"x" * 1000


class BudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = body_buffer.Budget(10 * len(PIECE))
        self.rejected = []

    def _open(self, name, declared=None, limit=10**9):
        return self.budget.open(
            declared=declared,
            limit=limit,
            on_too_large=lambda detail: self.rejected.append((name, detail)),
        )

    def test_the_body_that_may_never_end_is_dropped_first(self):
        cases = [
            # declared length and pieces of each body, name of the one dropped
            ({"a": (None, 6), "b": (None, 3)}, "a"),
            ({"a": (None, 3), "b": (None, 6)}, "b"),
            ({"a": (9000, 6), "b": (None, 3)}, "b"),
            ({"a": (9000, 6), "b": (9000, 3)}, "a"),
        ]
        for bodies, dropped in cases:
            with self.subTest(bodies):
                self.setUp()
                buffer_by_name = {
                    name: self._open(name, declared)
                    for name, (declared, _) in bodies.items()
                }
                for name, (_, count) in bodies.items():
                    for _ in range(count):
                        buffer_by_name[name].add(PIECE)
                self.assertEqual(self.rejected, [])
                last = self._open("last", 2000)
                last.add(PIECE)
                last.add(PIECE)
                ((name, detail),) = self.rejected
                self.assertEqual(name, dropped)
                self.assertIn("10000 bytes for all bodies", detail)
                self.assertEqual(last.take(), 2 * PIECE)

    def test_a_small_body_is_not_dropped_for_large_ones(self):
        budget = body_buffer.Budget(1_000_000)
        rejected = []

        def open_buffer(name, declared):
            return budget.open(
                declared=declared,
                limit=10**9,
                on_too_large=lambda detail: rejected.append(name),
            )

        small = open_buffer("small", None)
        small.add(PIECE)
        large = [open_buffer("large", 900_000) for _ in range(9)]
        for _ in range(200):
            for buffer in large:
                buffer.add(PIECE)
        self.assertNotIn("small", rejected)
        self.assertIn("large", rejected)
        self.assertEqual(small.take(), PIECE)

    def test_limits_of_one_body(self):
        cases = [
            # declared, limit, pieces, whether it is rejected
            (None, 10**9, 10, False),
            (None, 10**9, 11, True),
            (None, 3000, 3, False),
            (None, 3000, 4, True),
            (3000, 3000, 3, False),
            (3001, 3000, 0, True),
            (10**12, 10**13, 0, True),
        ]
        for declared, limit, count, rejected in cases:
            with self.subTest(declared=declared, limit=limit, count=count):
                self.setUp()
                buffer = self._open("a", declared, limit)
                buffer.check_declared()
                for _ in range(count):
                    buffer.add(PIECE)
                self.assertEqual(len(self.rejected), rejected)
                self.assertEqual(
                    self.budget.used, 0 if rejected else count * len(PIECE)
                )

    def test_a_rejected_body_takes_no_more_bytes(self):
        buffer = self._open("a", limit=500)
        buffer.add(PIECE)
        buffer.add(b"x")
        buffer.release()
        self.assertEqual(len(self.rejected), 1)
        self.assertEqual(self.budget.used, 0)


class EndlessBodyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.budget = body_buffer.Budget(body_buffer.MAX_TOTAL_BYTES)
        patcher = mock.patch.object(body_buffer, "SHARED_BUDGET", self.budget)
        patcher.start()
        self.addCleanup(patcher.stop)

    def _send(self, **limits):
        connection, transport = test_http_call.open_connection()
        recorder = test_http_call.Recorder(buffered=True)
        connection.send(b"", recorder, head_only=False, **limits)
        return connection, transport, recorder

    async def test_bodies_without_end_are_limited(self):
        cases = {
            "until close": "the body is too large: limit 1000000 bytes",
            "length": "declared 99999999999, limit 1000000 bytes",
            "chunks": "the body is too large: limit 1000000 bytes",
            "small chunks": "the framing exceeds",
        }
        for name, detail in cases.items():
            with self.subTest(name):
                connection, transport, recorder = self._send(
                    max_body_bytes=1000000
                )
                fed_bytes = test_http_call.feed_until_closed(
                    connection, transport, *endless.BODY_CASES[name]
                )
                self.assertLess(
                    fed_bytes, 1000000 + 2 * test_http_call.READ_BYTES
                )
                self.assertIn(detail, str(recorder.error))
                self.assertEqual(self.budget.used, 0)

    async def test_bodies_together_stay_within_the_budget(self):
        self.budget = body_buffer.Budget(1000000)
        body_buffer.SHARED_BUDGET = self.budget
        head, _ = endless.BODY_CASES["until close"]
        calls = [self._send() for _ in range(20)]
        sound, _, sound_recorder = self._send()
        sound.data_received(
            b"HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n" + PIECE
        )
        for connection, _, _ in calls:
            connection.data_received(head)
        for _ in range(2000):
            for connection, transport, _ in calls:
                if not transport.closing:
                    connection.data_received(PIECE)
                    self.assertLessEqual(self.budget.used, 1000000)
        failed = [r for _, _, r in calls if r.error is not None]
        self.assertGreaterEqual(len(failed), 19)
        sound.data_received(PIECE)
        self.assertTrue(sound_recorder.completed)
        self.assertEqual(sound_recorder.body_bytes, 2000)

    async def test_the_budget_is_returned_however_a_call_ends(self):
        ends = {
            "abort": lambda connection: connection.abort(),
            "close": lambda connection: connection.close(),
            "complete": lambda connection: connection.eof_received(),
            "reset": lambda connection: connection.connection_lost(None),
        }
        for name, end in ends.items():
            with self.subTest(name):
                connection, _, _ = self._send()
                connection.data_received(b"HTTP/1.1 200 OK\r\n\r\n" + PIECE)
                self.assertEqual(self.budget.used, len(PIECE))
                end(connection)
                self.assertEqual(self.budget.used, 0)

    async def test_a_stream_is_not_limited_by_its_total_length(self):
        connection, _ = test_http_call.open_connection()
        recorder = test_http_call.Recorder()
        connection.send(b"", recorder, head_only=False, max_body_bytes=1000)
        connection.data_received(b"HTTP/1.1 200 OK\r\n\r\n")
        for _ in range(100000):
            connection.data_received(PIECE)
        connection.eof_received()
        self.assertTrue(recorder.completed)
        self.assertEqual(recorder.body_bytes, 100000 * len(PIECE))

    async def test_a_response_without_body_may_declare_a_length(self):
        connection, _ = test_http_call.open_connection()
        recorder = test_http_call.Recorder(buffered=True)
        connection.send(b"", recorder, head_only=True)
        connection.data_received(
            b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n"
        )
        self.assertIsInstance(recorder.head, http_call.Head)
        self.assertTrue(recorder.completed)


if __name__ == "__main__":
    unittest.main()
