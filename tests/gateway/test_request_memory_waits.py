"""Callers whose large bodies wait for memory."""

import asyncio

from nutmeglift_gateway import catalog
from nutmeglift_gateway import http_listener
from nutmeglift_gateway import request_memory
from nutmeglift_gateway import responses
from tests.gateway import virtual_time_case

LARGE_BYTES = 300_000
LARGE_HEAD = b"POST /large HTTP/1.1\r\nhost: h\r\n"
LARGE = LARGE_HEAD + b"content-length: %d\r\n\r\n" % LARGE_BYTES
LARGE_CHUNKED = LARGE_HEAD + (
    b"transfer-encoding: chunked\r\n\r\n%x\r\n" % LARGE_BYTES
)
SMALL = b"GET /small HTTP/1.1\r\nhost: h\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


class WaitingTest(virtual_time_case.VirtualTimeTestCase):
    """Two large bodies have room; runs in virtual time."""

    async def asyncSetUp(self):
        self.connections = set()
        self.handled = []
        self.budget = request_memory.Budget(1_000_000)
        self.body_bytes = LARGE_BYTES
        server = await asyncio.get_running_loop().create_server(
            lambda: http_listener.CallerConnection(
                lambda connection, request: self.handled.append(
                    (connection, request)
                ),
                self._limits,
                responses.error_response,
                self.connections,
                memory=self.budget,
            ),
            "127.0.0.1",
            0,
        )
        self.addCleanup(server.close)
        self.port = server.sockets[0].getsockname()[1]
        self.writers = []

    async def asyncTearDown(self):
        for writer in self.writers:
            writer.close()
        await asyncio.sleep(0.1)
        for connection in list(self.connections):
            connection.abort()
        await asyncio.sleep(0.1)
        self.assertEqual((self.budget.used, self.budget.waiting_count), (0, 0))

    def _limits(self):
        return catalog.ClientLimits(
            header_bytes=16384,
            body_bytes=self.body_bytes,
            header_timeout=3.0,
            idle_timeout=5.0,
        )

    async def _send(self, data):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writers.append(writer)
        writer.write(data)
        await asyncio.sleep(0.01)
        return reader, writer

    async def _begin_two(self):
        """Begins two large bodies, which use all memory for such."""
        return [await self._send(LARGE) for _ in range(2)]

    def _respond(self):
        connection, request = self.handled.pop(0)
        connection.write(OK)
        connection.finish(keep_alive=request.keep_alive)

    async def _read_head(self, reader):
        return await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 20.0)

    async def test_a_body_waits_until_another_request_has_ended(self):
        for head, end in [(LARGE, b""), (LARGE_CHUNKED, b"\r\n0\r\n\r\n")]:
            with self.subTest(head):
                begun = await self._begin_two()
                # Received in parts, so that it isn't complete in one read.
                reader, writer = await self._send(head + b"x" * 66_000)
                self.assertEqual(self.budget.waiting_count, 1)
                begun[0][1].write(b"x" * LARGE_BYTES)
                await asyncio.sleep(0.1)
                self.assertEqual(len(self.handled), 1)
                self._respond()
                writer.write(b"x" * (LARGE_BYTES - 66_000) + end)
                await asyncio.sleep(0.1)
                self._respond()
                self.assertIn(b" 200 ", await self._read_head(reader))
                begun[1][1].write(b"x" * LARGE_BYTES)
                await asyncio.sleep(0.1)
                self._respond()

    async def test_a_body_that_waits_too_long_is_refused_as_not_run(self):
        await self._begin_two()
        began = asyncio.get_running_loop().time()
        reader, _ = await self._send(LARGE + b"x" * 100_000)
        response = await asyncio.wait_for(reader.read(), 20.0)
        waited = asyncio.get_running_loop().time() - began
        self.assertTrue(response.startswith(b"HTTP/1.1 503 "), response)
        self.assertIn(b"connection: close", response)
        self.assertGreater(waited, request_memory.MAX_WAIT_SECONDS)
        self.assertLess(waited, 1.0)
        self.assertEqual(self.handled, [])

    async def test_a_chunked_body_where_the_limit_exceeds_the_memory(self):
        self.body_bytes = 2_000_000
        cases = [
            # length of the body, status
            (LARGE_BYTES, b" 200 "),
            (700_000, b" 200 "),
            (1_500_000, b" 503 "),
        ]
        for size, status in cases:
            with self.subTest(size):
                reader, _ = await self._send(
                    LARGE_HEAD + b"transfer-encoding: chunked\r\n\r\n"
                    b"%x\r\n%b\r\n0\r\n\r\n" % (size, b"x" * size)
                )
                await asyncio.sleep(0.2)
                if self.handled:
                    self._respond()
                self.assertIn(status, await self._read_head(reader))

    async def test_small_requests_pass_by(self):
        await self._begin_two()
        await self._send(LARGE + b"x" * 100_000)
        reader, _ = await self._send(SMALL)
        self._respond()
        self.assertIn(b" 200 ", await self._read_head(reader))

    async def test_memory_of_a_slow_sender_is_returned(self):
        readers = [reader for reader, _ in await self._begin_two()]
        for reader in readers:
            self.assertIn(b" 408 ", await self._read_head(reader))
        self.assertEqual(self.budget.used, 0)

    async def test_a_caller_that_leaves_returns_its_memory(self):
        (_, first), (_, second) = await self._begin_two()
        _, waiting = await self._send(LARGE + b"x" * 1000)
        waiting.close()
        first.close()
        await asyncio.sleep(0.1)
        self.assertEqual(self.budget.waiting_count, 0)
        second.write(b"x" * LARGE_BYTES)
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.handled), 1)
        second.close()
        await asyncio.sleep(0.1)
        self.assertEqual(self.budget.used, 0)

    async def test_the_interim_response_waits_for_memory(self):
        begun = await self._begin_two()
        expect = LARGE[:-2] + b"expect: 100-continue\r\n\r\n"
        reader, _ = await self._send(expect)
        await asyncio.sleep(0.1)
        begun[0][1].close()
        self.assertIn(b" 100 ", await self._read_head(reader))
        reader, _ = await self._send(expect)
        self.assertIn(b" 503 ", await self._read_head(reader))

    async def test_a_pipelined_body_reserves_nothing_before_its_turn(self):
        reader, writer = await self._send(SMALL + LARGE + b"x" * 1000)
        self.assertEqual((self.budget.reserved, len(self.handled)), (0, 1))
        await asyncio.sleep(2.0)
        self._respond()
        self.assertIn(b" 200 ", await self._read_head(reader))
        writer.write(b"x" * (LARGE_BYTES - 1000))
        await asyncio.sleep(0.1)
        self._respond()
        self.assertIn(b" 200 ", await self._read_head(reader))

    async def test_small_requests_beyond_the_memory_are_refused(self):
        body = b"x" * 50_000
        small = b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 50000\r\n\r\n"
        readers = [(await self._send(small + body))[0] for _ in range(21)]
        self.assertEqual(len(self.handled), 19)
        for reader in readers[19:]:
            self.assertIn(b" 503 ", await self._read_head(reader))
        self.assertLessEqual(self.budget.used, self.budget.limit)

    async def test_partial_heads_are_counted(self):
        parts = [b"GET / HTTP/1.1\r\n", b"x: " + b"y" * 15000]
        for _ in range(30):
            _, writer = await self._send(parts[0])
            writer.write(parts[1])
            await asyncio.sleep(0.01)
        self.assertGreater(self.budget.used, 30 * 15000)
