"""Connections to servers whose bytes never end or belong to no request."""

import tracemalloc
import unittest

from nutmeglift_gateway import http_call
from nutmeglift_gateway import response_parser
from tests.gateway import endless
from tests.gateway import virtual_time_case

READ_BYTES = 256 * 1024
"""Most bytes that an event loop reads at once."""
MAX_FED_BYTES = 8 * 1024 * 1024
"""Bytes after which a response counts as accepted without end."""
MAX_HEAD_MEMORY_BYTES = 8 * 1024 * 1024
"""Dozens of such heads at a time fit into a router's 300 MB."""


class MemoryTransport:
    """Transport that keeps what is written and records how it ends."""

    def __init__(self, *, closing=False):
        self.written = []
        self.closing = closing
        self.reading = True

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def get_extra_info(self, name):
        return None

    def write(self, data):
        self.written.append(data)

    def is_closing(self):
        return self.closing

    def close(self):
        self.closing = True

    abort = close


class Recorder(http_call.BaseReceiver):
    """Receiver that records how the response ended.

    Attributes:
        body_bytes: length of the body so far.
        completed: whether the complete response arrived.
        error: the failure, if any.
    """

    def __init__(self, *, buffered=False):
        self.head = None
        self._buffered = buffered
        self.body_bytes = 0
        self.completed = False
        self.error = None

    def on_head(self, head):
        self.head = head
        return self._buffered

    def on_body(self, data):
        self.body_bytes += len(data)

    def on_complete(self, body):
        self.body_bytes += len(body)
        self.completed = True

    def on_failure(self, error):
        self.error = error


def open_connection(*, closing=False):
    """Returns a connection with a transport in memory."""
    connection = http_call.Connection()
    transport = MemoryTransport(closing=closing)
    connection.connection_made(transport)
    return connection, transport


def feed_until_closed(connection, transport, first, repeated):
    """Feeds endless bytes; returns how many were accepted."""
    piece = repeated * (READ_BYTES // len(repeated))
    connection.data_received(first)
    fed_bytes = len(first)
    while not transport.closing and fed_bytes < MAX_FED_BYTES:
        connection.data_received(piece)
        fed_bytes += len(piece)
    return fed_bytes


class EndlessHeadTest(virtual_time_case.VirtualTimeTestCase):
    async def test_endless_framing_fails_before_it_uses_memory(self):
        cases = endless.HEAD_CASES | endless.FRAMING_CASES
        for name, (first, repeated) in cases.items():
            with self.subTest(name):
                connection, transport = open_connection()
                recorder = Recorder()
                connection.send(b"", recorder, head_only=False)
                tracemalloc.start()
                self.addCleanup(tracemalloc.stop)
                fed_bytes = feed_until_closed(
                    connection, transport, first, repeated
                )
                _, peak = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertLessEqual(
                    fed_bytes,
                    response_parser.MAX_FRAMING_BYTES + 2 * READ_BYTES,
                )
                self.assertLess(peak, MAX_HEAD_MEMORY_BYTES)
                self.assertIs(
                    recorder.error.failure, http_call.CallFailure.MALFORMED
                )
                self.assertTrue(recorder.error.sent)

    async def test_framing_after_a_long_body_is_limited_as_before_it(self):
        chunk = b"10000\r\n" + bytes(65536) + b"\r\n"
        for name, (first, repeated) in endless.FRAMING_CASES.items():
            with self.subTest(name):
                connection, transport = open_connection()
                recorder = Recorder()
                connection.send(b"", recorder, head_only=False)
                head_end = first.index(b"\r\n\r\n") + 4
                connection.data_received(first[:head_end])
                for _ in range(256):
                    connection.data_received(chunk)
                self.assertIsNone(recorder.error)
                fed_bytes = feed_until_closed(
                    connection, transport, first[head_end:], repeated
                )
                self.assertLessEqual(
                    fed_bytes, response_parser.MAX_FRAMING_BYTES + READ_BYTES
                )
                self.assertIs(
                    recorder.error.failure, http_call.CallFailure.MALFORMED
                )

    async def test_a_failure_names_the_limit_and_the_bytes(self):
        cases = [
            ("headers", "the head exceeds 256 headers"),
            ("header line", "the head exceeds 65536 bytes, received 65"),
            ("trailers", "the framing exceeds 131072 bytes, received 1"),
        ]
        by_name = endless.HEAD_CASES | endless.FRAMING_CASES
        for name, detail in cases:
            with self.subTest(name):
                connection, transport = open_connection()
                recorder = Recorder()
                connection.send(b"", recorder, head_only=False)
                feed_until_closed(connection, transport, *by_name[name])
                self.assertIn(detail, str(recorder.error))

    async def test_large_but_finite_responses_are_accepted(self):
        cases = {
            "many headers": b"a: b\r\n" * 200,
            "long header": b"a: " + b"b" * 60000 + b"\r\n",
        }
        for name, headers in cases.items():
            for size in (1, 1000, READ_BYTES):
                with self.subTest(name, size=size):
                    connection, _ = open_connection()
                    recorder = Recorder()
                    connection.send(b"", recorder, head_only=False)
                    raw = (
                        b"HTTP/1.1 103 Early Hints\r\n\r\n"
                        b"HTTP/1.1 200 OK\r\n" + headers + b"transfer-encoding:"
                        b" chunked\r\n\r\n" + b"1\r\nx\r\n" * 10000 + b"0\r\n"
                        b"x-trailer: t\r\n\r\n"
                    )
                    for start in range(0, len(raw), size):
                        connection.data_received(raw[start : start + size])
                    self.assertIsNone(recorder.error)
                    self.assertTrue(recorder.completed)
                    self.assertEqual(recorder.body_bytes, 10000)


class NoRequestTest(virtual_time_case.VirtualTimeTestCase):
    async def test_bytes_that_belong_to_no_request_close_the_connection(self):
        response = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx"
        cases = [
            # bytes after the response; None if no request was sent
            None,
            b"x",
            b"HTTP",
            response,
            b"x" * READ_BYTES,
        ]
        for extra in cases:
            with self.subTest(extra and extra[:10]):
                connection, transport = open_connection()
                recorder = Recorder()
                if extra is None:
                    connection.data_received(b"x")
                else:
                    connection.send(b"", recorder, head_only=False)
                    connection.data_received(response + extra)
                    self.assertTrue(recorder.completed)
                self.assertTrue(transport.closing)
                self.assertFalse(connection.reusable)


class ClosedConnectionTest(unittest.TestCase):
    def test_a_request_on_a_closed_connection_is_reported_as_not_sent(self):
        cases = {
            "closed": lambda connection, transport: transport.close(),
            "graceful close": _close_gracefully,
        }
        for name, close in cases.items():
            with self.subTest(name):
                connection, transport = open_connection()
                close(connection, transport)
                recorder = Recorder()
                connection.send(b"GET", recorder, head_only=False)
                self.assertIsNotNone(recorder.error)
                self.assertFalse(recorder.error.sent)
                self.assertEqual(transport.written, [])


def _close_gracefully(connection, transport):
    if not connection.eof_received():
        transport.close()


if __name__ == "__main__":
    unittest.main()
