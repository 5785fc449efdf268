"""Memory that all callers' requests hold at the same time."""

import asyncio
import tracemalloc
import unittest

from nutmeglift_gateway import catalog
from nutmeglift_gateway import http_listener
from nutmeglift_gateway import responses

BODY_BYTES = 4 * 1024 * 1024
CALLER_COUNT = 40
LIMITS = catalog.ClientLimits(
    header_bytes=65536,
    body_bytes=BODY_BYTES,
    header_timeout=5.0,
    idle_timeout=5.0,
)
MEMORY_LIMIT_BYTES = 100_000_000
"""A third of the memory of the smallest VM."""
HEAD = b"POST /a HTTP/1.1\r\nhost: h\r\nconnection: close\r\n"
DECLARED = b"content-length: %d\r\n\r\n" % BODY_BYTES
CHUNKED = b"transfer-encoding: chunked\r\n\r\n%x\r\n" % BODY_BYTES


class ListenerMemoryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.connections = set()
        self.handled = 0
        self.server = await asyncio.get_running_loop().create_server(
            lambda: http_listener.CallerConnection(
                self._handle,
                lambda: LIMITS,
                responses.error_response,
                self.connections,
            ),
            "127.0.0.1",
            0,
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.body = b"x" * BODY_BYTES
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    async def asyncTearDown(self):
        self.server.close()
        for connection in list(self.connections):
            connection.abort()
        await asyncio.sleep(0)

    def _handle(self, connection, request):
        self.assertEqual(len(request.body), BODY_BYTES)
        self.handled += 1
        asyncio.get_running_loop().call_later(
            0.1, self._respond, connection, request
        )

    def _respond(self, connection, request):
        connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        connection.finish(keep_alive=request.keep_alive)

    async def _call(self, head, end):
        """Sends a request; returns the status of the response, or None."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        # Without a copy in the writer's buffer.
        writer.transport.set_write_buffer_limits(high=0)
        view = memoryview(self.body)
        try:
            writer.write(HEAD + head)
            for start in range(0, BODY_BYTES, 65536):
                writer.write(view[start : start + 65536])
                await writer.drain()
            writer.write(end)
            line = await reader.readline()
        except ConnectionError:
            return None
        finally:
            writer.close()
        return int(line.split()[1]) if line else None

    async def test_bodies_of_many_callers_exceed_the_memory(self):
        cases = [
            ("declared", DECLARED, b""),
            ("chunked", CHUNKED, b"\r\n0\r\n\r\n"),
        ]
        for name, head, end in cases:
            with self.subTest(name):
                tracemalloc.reset_peak()
                self.handled = 0
                statuses = await asyncio.wait_for(
                    asyncio.gather(
                        *(self._call(head, end) for _ in range(CALLER_COUNT))
                    ),
                    60.0,
                )
                peak = tracemalloc.get_traced_memory()[1]
                self.assertLess(peak, MEMORY_LIMIT_BYTES)
                self.assertLessEqual(set(statuses), {200, 503})
                self.assertEqual(statuses.count(200), self.handled)
                self.assertGreater(self.handled, 0)
