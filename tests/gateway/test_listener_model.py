"""Random sequences of events on a caller's connection, against a model."""

import asyncio
import unittest

import hypothesis
from hypothesis import strategies as st

from nutmeglift_gateway import catalog
from nutmeglift_gateway import drain
from nutmeglift_gateway import http_listener
from nutmeglift_gateway import metrics
from nutmeglift_gateway import responses

LIMITS = catalog.ClientLimits()
STEPS = (
    "request", "request", "request", "last request", "expecting request",
    "half a request", "garbage", "begin response", "finish response",
    "finish response", "drain", "close idle", "empty line", "fail response",
    "caller leaves", "many requests",
)  # fmt: skip


class Transport(asyncio.Transport):
    """A transport that keeps what is written.

    Attributes:
        written: the bytes written so far.
        ended: whether no more is written.
        aborted: whether it was aborted.
    """

    def __init__(self, protocol):
        super().__init__()
        self._protocol = protocol
        self.written = b""
        self.ended = False
        self.aborted = False
        self.reading = True

    def write(self, data):
        assert not self.ended, data
        self.written += data

    def write_eof(self):
        self.ended = True

    def close(self):
        self.ended = True

    def abort(self):
        self.ended = True
        self.aborted = True

    def pause_reading(self):
        assert self.reading
        self.reading = False

    def resume_reading(self):
        assert not self.reading
        self.reading = True

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def get_write_buffer_size(self):
        return 0


class Caller:
    """Applies steps to a connection and keeps what the model expects.

    Attributes:
        sent: number of complete requests sent while the connection was open.
        crossing: number of those sent after a response had announced the
            close.
        answered: number of complete responses that the handler has written.
        dropped: requests recorded as unanswered, with their causes.
    """

    def __init__(self):
        self.connections = set()
        self.dropped = []
        self.connection = http_listener.CallerConnection(
            self._handle,
            lambda: LIMITS,
            responses.error_response,
            self.connections,
            lambda request, cause: self.dropped.append((request, cause)),
        )
        self.transport = Transport(self.connection)
        self.connection.connection_made(self.transport)
        self.sent = 0
        self.crossing = 0
        self.answered = 0
        self.handled = []
        self.draining = False
        self.left = False
        self.aborted = False
        self.rejected = False
        self.last_sent = False
        self.partial = b""
        self.begun = False
        self.keep_alive = True

    def _handle(self, connection, request):
        self.handled.append(request)
        self.begun = False

    def step(self, name):
        method = getattr(self, "_" + name.replace(" ", "_"))
        method()

    def receive(self, data):
        if not self.left and self.transport.reading:
            self.connection.data_received(data)
            return True
        return False

    def _send(self, extra=b"", body=b"x"):
        if self.partial and self.transport.reading:
            # Completes the request that was begun.
            extra, body = b"", b""
            data, self.partial = self.partial, b""
        else:
            data = (
                b"POST /%d HTTP/1.1\r\nhost: h\r\n%bcontent-length: 1\r\n\r\n"
            )
            data = data % (self.sent, extra) + body
        is_read = not (self.rejected or self.last_sent or self.transport.ended)
        if not self.receive(data):
            return
        if not is_read:
            return
        self.sent += 1
        if self.begun and not self.keep_alive:
            self.crossing += 1

    def _request(self):
        self._send()

    def _many_requests(self):
        for _ in range(http_listener.MAX_PIPELINED_REQUEST_COUNT):
            self._send()

    def _last_request(self):
        if self.partial or not self.transport.reading:
            return
        self._send(b"connection: close\r\n")
        self.last_sent = True

    def _expecting_request(self):
        self._send(b"expect: 100-continue\r\n")

    def _half_a_request(self):
        if self.partial or self.last_sent:
            return
        data = b"POST /%d HTTP/1.1\r\nhost: h\r\n" % self.sent
        if self.receive(data):
            self.partial = b"content-length: 1\r\n\r\nx"

    def _garbage(self):
        if self.partial:
            return
        is_read = not self.transport.ended
        if self.receive(b"\x00\r\n\r\n") and is_read:
            self.rejected = True

    def _empty_line(self):
        if not self.partial:
            self.receive(b"\r\n")

    def _begin_response(self):
        current = self.connection.current
        if current is None or self.begun or self.connection.closed:
            return
        self.begun = True
        self.keep_alive = drain.keeps_open(
            requested=current.keep_alive,
            draining=self.draining,
            has_queued=self.connection.has_queued,
        )
        self.connection.write(
            b"HTTP/1.1 200 OK\r\n%btransfer-encoding: chunked\r\n\r\n1\r\na\r\n"
            % (b"" if self.keep_alive else b"connection: close\r\n")
        )

    def _finish_response(self):
        if self.connection.current is None or self.connection.closed:
            return
        self._begin_response()
        self.connection.write(b"0\r\n\r\n")
        self.answered += 1
        self.connection.finish(keep_alive=self.keep_alive)

    def _fail_response(self):
        if self.connection.current is None or not self.begun:
            return
        self.aborted = True
        self.connection.abort()

    def _drain(self):
        self.draining = True

    def _close_idle(self):
        was_closed = self.connection.closed
        self.connection.close_if_idle()
        if self.partial and not was_closed:
            assert not self.connection.closed

    def _caller_leaves(self):
        self.left = True
        self.connection.connection_lost(None)

    def finish(self):
        """Lets the handler respond to all that it gets."""
        while self.connection.current and not self.connection.closed:
            self._finish_response()


COMPLETE = b"1\r\na\r\n0\r\n\r\n"


def check(test, caller):
    """Checks what the caller has received against the model."""
    received = caller.transport.written
    parts = received.split(b"HTTP/1.1 200 OK\r\n")[1:]
    test.assertEqual(
        [request.target for request in caller.handled],
        [f"/{number}" for number in range(len(caller.handled))],
    )
    # No response is interrupted, and only the last one announces the close.
    closing = [b"connection: close" in part for part in parts]
    test.assertNotIn(True, closing[:-1])
    complete = [part for part in parts if COMPLETE in part]
    test.assertEqual(len(complete), caller.answered)
    if caller.left or caller.aborted:
        return
    test.assertEqual(len(parts), len(complete))
    test.assertTrue(caller.transport.reading)
    test.assertEqual(caller.answered + caller.crossing, caller.sent)
    test.assertEqual(
        [cause for _, cause in caller.dropped],
        caller.crossing * [metrics.UnansweredCause.CONNECTION_CLOSED],
    )
    if caller.rejected and not (closing and closing[-1]):
        test.assertEqual(received.count(b"HTTP/1.1 400 "), 1)
        test.assertTrue(caller.transport.ended)


class ListenerModelTest(unittest.TestCase):
    @hypothesis.settings(
        max_examples=300, derandomize=True, deadline=None, database=None
    )
    @hypothesis.example(
        ["request", "begin response", "expecting request", "finish response"]
    )
    @hypothesis.example(["request", "many requests", "many requests"])
    @hypothesis.example(["request", "request", "request", "drain"])
    @hypothesis.given(st.lists(st.sampled_from(STEPS), max_size=30))
    def test_every_request_gets_one_complete_response(self, steps):
        async def run():
            caller = Caller()
            for step in steps:
                caller.step(step)
            if not caller.left:
                caller.finish()
            check(self, caller)
            if not caller.left:
                caller.connection.connection_lost(None)

        asyncio.run(run())


if __name__ == "__main__":
    unittest.main()
