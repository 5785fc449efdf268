"""How the listener for callers ends responses, requests and connections."""

import asyncio
import dataclasses
import functools
import select
import socket
import unittest
from unittest import mock

from nutmeglift_gateway import catalog
from nutmeglift_gateway import connection_closing
from nutmeglift_gateway import http_listener
from nutmeglift_gateway import responses
from tests import uvloop_time
from tests.gateway import virtual_time_case

WAIT_SECONDS = 5.0
LIMITS = catalog.ClientLimits(
    header_bytes=400, body_bytes=50, header_timeout=0.2, idle_timeout=0.3
)
ONE = b"POST /1 HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\r\na"
TWO = b"POST /2 HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\r\nb"
DELAYING = b"POST /d HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\r\nd"
PARTIAL = b"POST /3 HTTP/1.1\r\nhos"
EXPECTING = (
    b"POST /2 HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\n"
    b"content-length: 1\r\n\r\n"
)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def respond(connection, request):
    """Writes a complete response and ends the request."""
    connection.write(
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n"
        + request.target.encode()
    )
    connection.finish(keep_alive=request.keep_alive)


class ClosingTest(virtual_time_case.VirtualTimeTestCase):
    """Runs in virtual time."""

    async def asyncSetUp(self):
        self.limits = LIMITS
        self.held = []
        self.hold = False
        self.during_delay = None
        self.connections = set()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: http_listener.CallerConnection(
                self.handle,
                lambda: self.limits,
                responses.error_response,
                self.connections,
            ),
            "127.0.0.1",
            0,
        )
        self.addCleanup(server.close)
        self.port = server.sockets[0].getsockname()[1]

    async def asyncTearDown(self):
        for connection in list(self.connections):
            connection.abort()

    def delay_loop(self, seconds):
        asyncio.get_running_loop().advance(seconds)

    def handle(self, connection, request):
        if self.during_delay is not None:
            # Another request delays the event loop beyond the time limits.
            self.during_delay()
            self.during_delay = None
            self.delay_loop(1.5 * LIMITS.idle_timeout)
        if self.hold:
            self.held.append((connection, request))
            return
        respond(connection, request)

    async def connect(self):
        sock = socket.socket()
        sock.setblocking(False)
        self.addCleanup(sock.close)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", self.port))
        return sock

    async def send(self, sock, data):
        loop = asyncio.get_running_loop()
        await asyncio.wait_for(loop.sock_sendall(sock, data), WAIT_SECONDS)

    def deliver(self, sock, data):
        """Sends data and waits until it can be read by the listener."""
        sock.send(data)
        for connection in self.connections:
            accepted = connection._transport.get_extra_info("socket")
            if accepted.getpeername() == sock.getsockname():
                select.select([accepted.fileno()], [], [], WAIT_SECONDS)

    async def read_to_end(self, sock):
        loop = asyncio.get_running_loop()
        received = b""
        async with asyncio.timeout(WAIT_SECONDS):
            while data := await loop.sock_recv(sock, 65536):
                received += data
        return received

    async def read_until(self, sock, end):
        loop = asyncio.get_running_loop()
        received = b""
        async with asyncio.timeout(WAIT_SECONDS):
            while not received.endswith(end):
                data = await loop.sock_recv(sock, 65536)
                self.assertTrue(data, received)
                received += data
        return received

    async def wait_until(self, check):
        async with asyncio.timeout(WAIT_SECONDS):
            while not check():  # noqa: ASYNC110 - state of the listener.
                await asyncio.sleep(0.01)

    async def test_a_request_that_arrived_before_a_time_out_is_answered(self):
        cases = [
            # sent and answered first, begun, arrived during the delay
            ("on a new connection", b"", b"", ONE),
            ("on an idle connection", ONE, b"", TWO),
            ("with the rest of its head", b"", ONE[:20], ONE[20:]),
        ]
        for name, first, begun, arrived in cases:
            with self.subTest(name):
                sock = await self.connect()
                if first:
                    await self.send(sock, first)
                    await self.read_until(sock, b"/1")
                if begun:
                    await self.send(sock, begun)
                await asyncio.sleep(0.05)
                self.during_delay = functools.partial(
                    self.deliver, sock, arrived
                )
                await self.send(await self.connect(), DELAYING)
                target = (begun + arrived)[5:7]
                received = await self.read_until(sock, target)
                self.assertIn(b" 200 ", received)

    async def test_what_follows_a_response_in_progress(self):
        cases = [
            ("another request", TWO, [b"/1", b"/2"], b""),
            ("garbage", b"\x00\x01\r\n\r\n", [b"/1"], b" 400 "),
            ("a request and garbage", TWO + b"\x00\r\n\r\n", [b"/1", b"/2"],
             b" 400 "),
            ("an incomplete request", PARTIAL, [b"/1"], b" 408 "),
            ("a request and an incomplete one", TWO + PARTIAL, [b"/1", b"/2"],
             b" 408 "),
            ("a large head", b"POST /3 HTTP/1.1\r\nx: " + b"y" * 500, [b"/1"],
             b" 431 "),
        ]  # fmt: skip
        for name, following, targets, error in cases:
            with self.subTest(name):
                self.hold = True
                self.held.clear()
                sock = await self.connect()
                await self.send(sock, ONE)
                await self.wait_until(lambda: self.held)
                await self.send(sock, following)
                await asyncio.sleep(0.05)
                self.hold = False
                respond(*self.held[0])
                received = await self.read_to_end(sock)
                bodies = received.split(b"HTTP/1.1 ")[1:]
                self.assertEqual(
                    [body[-2:] for body in bodies[: len(targets)]], targets
                )
                if error:
                    self.assertIn(error.strip(), bodies[-1])
                    self.assertEqual(len(bodies), len(targets) + 1)

    async def test_an_interim_response_never_interrupts_a_response(self):
        self.hold = True
        sock = await self.connect()
        await self.send(sock, ONE)
        await self.wait_until(lambda: self.held)
        connection, request = self.held[0]
        connection.write(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n"
        )
        await self.send(sock, EXPECTING)
        await asyncio.sleep(0.05)
        connection.write(b"0\r\n\r\n")
        connection.finish(keep_alive=request.keep_alive)
        received = await self.read_until(sock, CONTINUE)
        self.assertEqual(
            received.partition(b"\r\n\r\n")[2],
            b"1\r\na\r\n0\r\n\r\n" + CONTINUE,
        )

    async def test_when_an_interim_response_is_sent(self):
        cases = [
            ("alone", EXPECTING, True),
            ("HTTP/1.0", EXPECTING.replace(b"1.1", b"1.0"), False),
            ("a large head", EXPECTING[:-2] + b"x: " + b"y" * 500 + b"\r\n\r\n",
             False),
        ]  # fmt: skip
        for name, data, expected in cases:
            with self.subTest(name):
                sock = await self.connect()
                await self.send(sock, data)
                await asyncio.sleep(0.05)
                await self.send(sock, b"b")
                received = await self.read_to_end(sock)
                self.assertEqual(received.startswith(CONTINUE), expected)

    async def test_empty_lines_between_requests_start_no_request(self):
        sock = await self.connect()
        await self.send(sock, ONE)
        await asyncio.sleep(0.02)
        await self.send(sock, b"\r\n")
        received = await self.read_to_end(sock)
        self.assertEqual(received.count(b"HTTP/1.1"), 1)
        self.assertEqual(received[-2:], b"/1")

    async def test_a_longer_idle_timeout_applies_to_open_connections(self):
        sock = await self.connect()
        await self.send(sock, ONE)
        await self.read_until(sock, b"/1")
        self.limits = dataclasses.replace(LIMITS, idle_timeout=60.0)
        await asyncio.sleep(2 * LIMITS.idle_timeout)
        await self.send(sock, TWO)
        await self.read_until(sock, b"/2")

    async def test_an_error_response_is_read_while_the_body_is_sent(self):
        head = b"POST /1 HTTP/1.1\r\nhost: h\r\n"
        length = 1024 * 1024
        cases = [
            ("a large body", head + b"content-length: %d\r\n\r\n" % length,
             b" 413 "),
            ("a large head", head + b"x: " + b"y" * 500, b" 431 "),
            ("garbage", b"\x00\x01\r\n\r\n", b" 400 "),
        ]  # fmt: skip
        for name, start, status in cases:
            with self.subTest(name):
                sock = await self.connect()
                await self.send(sock, start)
                for _ in range(16):
                    await self.send(sock, b"z" * (length // 16))
                    await asyncio.sleep(0.002)
                received = await self.read_to_end(sock)
                self.assertIn(status, received.split(b"\r\n")[0])

    async def test_bytes_that_cross_the_last_response_do_not_reset_it(self):
        sock = await self.connect()
        last = ONE.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n")
        await self.send(sock, last)
        await asyncio.sleep(0.05)
        for _ in range(3):
            await self.send(sock, TWO)
            await asyncio.sleep(0.02)
        received = await self.read_to_end(sock)
        self.assertEqual(received[-2:], b"/1")
        self.assertEqual(received.count(b"HTTP/1.1"), 1)

    async def test_how_long_a_closing_connection_lingers(self):
        last = ONE.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n")
        cases = [
            # seconds, bytes, what ends it
            (0.05, 1024, "time"),
            (60.0, 1024, "bytes"),
            (60.0, 1024, "caller"),
        ]
        for seconds, limit, reason in cases:
            with (
                self.subTest(reason),
                mock.patch.object(
                    connection_closing, "LINGER_SECONDS", seconds
                ),
                mock.patch.object(connection_closing, "LINGER_BYTES", limit),
            ):
                sock = await self.connect()
                await self.send(sock, last)
                self.assertEqual((await self.read_to_end(sock))[-2:], b"/1")
                if reason != "time":
                    self.assertEqual(len(self.connections), 1)
                if reason == "bytes":
                    await self.send(sock, b"z" * (limit + 1))
                if reason == "caller":
                    sock.close()
                await self.wait_until(lambda: not self.connections)

    async def test_an_aborted_response_does_not_look_complete(self):
        cases = [
            # version, how the response ends, whether the caller sees a reset
            (b"1.0", "aborted", True),
            (b"1.0", "finished", False),
            (b"1.1", "aborted", False),
        ]
        self.hold = True
        for version, how, is_reset in cases:
            with self.subTest(version=version, how=how):
                self.held.clear()
                sock = await self.connect()
                await self.send(sock, ONE.replace(b"1.1", version))
                await self.wait_until(lambda: self.held)
                connection, _ = self.held[0]
                connection.write(b"HTTP/1.1 200 OK\r\n\r\nabc")
                await self.read_until(sock, b"abc")
                if how == "aborted":
                    connection.abort()
                else:
                    connection.finish(keep_alive=False)
                if not is_reset:
                    self.assertEqual(await self.read_to_end(sock), b"")
                    continue
                with self.assertRaises(ConnectionResetError):
                    await self.read_to_end(sock)


class UvloopClosingTest(ClosingTest):
    """The same on the event loop that routers use."""

    loop_factory = uvloop_time.TurnTimeLoop


if __name__ == "__main__":
    unittest.main()
