"""Sends raw bytes to the listener for callers."""

import asyncio
import unittest

from nutmeglift_gateway import catalog
from nutmeglift_gateway import http_listener
from nutmeglift_gateway import responses
from tests.gateway import virtual_time_case

LIMITS = catalog.ClientLimits(
    header_bytes=400, body_bytes=50, header_timeout=0.2, idle_timeout=0.3
)
HEAD = b"POST /a HTTP/1.1\r\nhost: h\r\n"


class ListenerTestCase(virtual_time_case.VirtualTimeTestCase):
    """Test case with a listener that counts what it receives."""

    async def asyncSetUp(self):
        self.requests = []
        self.connections = set()
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: http_listener.CallerConnection(
                self.handle,
                lambda: LIMITS,
                responses.error_response,
                self.connections,
            ),
            "127.0.0.1",
            0,
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def asyncTearDown(self):
        self.server.close()
        for connection in list(self.connections):
            connection.abort()

    def handle(self, connection, request):
        self.requests.append(request)
        body = b"%d" % len(self.requests)
        connection.write(
            b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body
        )
        connection.finish(keep_alive=request.keep_alive)

    async def send(self, *parts, wait=0.0):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(wait)
        response = await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
        return response


class ListenerTest(ListenerTestCase):
    async def test_responses(self):
        close = b"connection: close\r\n"
        cases = [
            (
                "a length",
                [HEAD + close + b"content-length: 2\r\n\r\nab"],
                b"200",
            ),
            (
                "chunks",
                [
                    HEAD + close + b"transfer-encoding: chunked\r\n\r\n",
                    b"1\r\na\r\n1\r\nb\r\n0\r\n\r\n",
                ],
                b"200",
            ),
            ("idle close", [HEAD + b"content-length: 0\r\n\r\n"], b"200"),
            ("garbage", [b"\x00\x01\r\n\r\n"], b"400"),
            (
                "a length and chunks",
                [
                    HEAD + b"content-length: 2\r\n"
                    b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
                ],
                b"400",
            ),
            ("two lengths", [HEAD + b"content-length: 1\r\n"
             b"content-length: 2\r\n\r\nab"], b"400"),
            ("a large head", [HEAD + b"x: " + b"y" * 500], b"431"),
            ("a large body", [HEAD + b"content-length: 60\r\n\r\n" + b"z" * 60],
             b"413"),
            ("a slow head", [HEAD], b"408"),
        ]  # fmt: skip
        for name, parts, status in cases:
            with self.subTest(name):
                response = await self.send(*parts)
                self.assertEqual(response.split(b" ", 2)[1], status)

    async def test_an_idle_connection_is_closed_without_a_response(self):
        self.assertEqual(await self.send(b""), b"")

    async def test_pipelined_requests_are_answered_in_order(self):
        one = HEAD + b"content-length: 1\r\n\r\na"
        last = HEAD + b"connection: close\r\ncontent-length: 1\r\n\r\nb"
        response = await self.send(one + one + last)
        self.assertEqual(response.count(b"HTTP/1.1 200"), 3)
        self.assertEqual([r.body for r in self.requests], [b"a", b"a", b"b"])

    async def test_requests_split_at_any_byte(self):
        raw = HEAD + b"connection: close\r\ncontent-length: 3\r\n\r\nabc"
        for size in (1, 7, 30):
            with self.subTest(size):
                self.requests.clear()
                pieces = [raw[i : i + size] for i in range(0, len(raw), size)]
                response = await self.send(*pieces)
                self.assertIn(b"200 OK", response)
                self.assertEqual(self.requests[0].body, b"abc")

    async def test_a_smuggled_request_is_ignored(self):
        raw = (
            HEAD + b"transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n"
            b"0\r\n\r\nPOST /smuggled HTTP/1.1\r\nhost: h\r\n\r\n"
        )
        await self.send(raw)
        self.assertEqual(self.requests, [])

    async def test_a_request_to_upgrade_is_served_without_the_upgrade(self):
        upgrade = b"connection: Upgrade, HTTP2-Settings\r\nupgrade: h2c\r\n"
        chunked = b"transfer-encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n"
        cases = [
            ("no body", b"content-length: 0\r\n\r\n", b""),
            ("a length", b"content-length: 2\r\n\r\nab", b"ab"),
            ("chunks", chunked + b"0\r\n\r\n", b"ab"),
        ]
        last = HEAD + b"connection: close\r\ncontent-length: 1\r\n\r\nz"
        for name, rest, body in cases:
            raw = HEAD + upgrade + rest + last
            for size in (len(raw), 7, 1):
                with self.subTest(name, size=size):
                    self.requests.clear()
                    pieces = [
                        raw[i : i + size] for i in range(0, len(raw), size)
                    ]
                    response = await self.send(*pieces)
                    self.assertEqual(
                        [each.body for each in self.requests], [body, b"z"]
                    )
                    self.assertEqual(response.count(b"HTTP/1.1 200"), 2)
                    self.assertEqual(response.count(b"HTTP/1.1"), 2)

    async def test_many_requests_to_upgrade(self):
        raw = HEAD + b"connection: upgrade\r\nupgrade: h2c\r\n"
        raw += b"content-length: 1\r\n\r\na"
        last = HEAD + b"connection: close\r\ncontent-length: 1\r\n\r\nz"
        response = await self.send(2000 * raw + last)
        self.assertEqual(response.count(b"HTTP/1.1 200"), 2001)

    async def test_a_tunnel_is_refused(self):
        raw = b"CONNECT h:1 HTTP/1.1\r\nhost: h\r\n\r\n"
        for rest in (b"", HEAD + b"content-length: 0\r\n\r\n"):
            with self.subTest(rest):
                response = await self.send(raw + rest)
                self.assertTrue(response.startswith(b"HTTP/1.1 400 "))
                self.assertEqual(response.count(b"HTTP/1.1"), 1)
        self.assertEqual(self.requests, [])


if __name__ == "__main__":
    unittest.main()
