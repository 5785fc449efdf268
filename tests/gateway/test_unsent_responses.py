"""Responses to callers that don't read them."""

import asyncio
import socket
import tracemalloc
import unittest

from nutmeglift_gateway import catalog
from nutmeglift_gateway import http_listener
from nutmeglift_gateway import responses

CALLER_COUNT = 40
RESPONSE_BYTES = 4 * 1024 * 1024
MEMORY_LIMIT_BYTES = 60_000_000
"""A fifth of the memory of the smallest VM."""
LIMITS = catalog.ClientLimits()
REQUEST = b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n"


class UnreadResponsesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.connections = set()
        listener = socket.create_server(("127.0.0.1", 0))
        # Accepted sockets inherit it: the kernel takes little of a response.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        self.port = listener.getsockname()[1]
        server = await asyncio.get_running_loop().create_server(
            lambda: http_listener.CallerConnection(
                self._respond,
                lambda: LIMITS,
                responses.error_response,
                self.connections,
            ),
            sock=listener,
        )
        self.addCleanup(server.close)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    async def asyncTearDown(self):
        for connection in list(self.connections):
            connection.abort()
        await asyncio.sleep(0.01)

    def _respond(self, connection, request):
        connection.write(
            b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % RESPONSE_BYTES
        )
        connection.write(b"x" * RESPONSE_BYTES)
        connection.finish(keep_alive=True)

    async def _call(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.connect(("127.0.0.1", self.port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
        self.addCleanup(writer.close)
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        return reader

    async def test_responses_that_nobody_reads_exceed_the_memory(self):
        readers = [await self._call() for _ in range(CALLER_COUNT)]
        peak = tracemalloc.get_traced_memory()[1]
        self.assertLess(peak, MEMORY_LIMIT_BYTES)
        # The last caller reads its response, and it is complete.
        body = await asyncio.wait_for(
            readers[-1].readexactly(RESPONSE_BYTES), 30.0
        )
        self.assertEqual(len(body), RESPONSE_BYTES)


if __name__ == "__main__":
    unittest.main()
