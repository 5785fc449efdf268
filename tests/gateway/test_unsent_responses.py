"""Responses to callers that don't read them."""

import asyncio
import socket
import tracemalloc
import unittest

from nutmeglift_gateway import catalog
from nutmeglift_gateway import http_listener
from nutmeglift_gateway import responses
from nutmeglift_gateway import unsent_responses

CALLER_COUNT = 40
RESPONSE_BYTES = 4 * 1024 * 1024
MEMORY_LIMIT_BYTES = 60_000_000
"""A fifth of the memory of the smallest VM."""
LIMITS = catalog.ClientLimits()
REQUEST = b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n"


KB = 1000


class Writer(unsent_responses.BaseWriter):
    """A connection that a budget cuts."""

    def __init__(self):
        self.size = 0
        self.is_cut = False

    @property
    def unsent_bytes(self):
        return self.size

    def cut(self):
        self.is_cut = True


class BudgetTest(unittest.TestCase):
    def test_events(self):
        # Of 300 KB.
        cases = [
            # writes, reads and losses; names cut; KB counted at last
            ("within", [("a", 100), ("b", 200)], "", 300),
            ("the oldest", [("a", 100), ("b", 200), ("c", 50)], "a", 250),
            ("as many as needed", [("a", 100), ("b", 100), ("c", 300)],
             "ab", 300),
            ("read since", [("a", 200), ("read a", 20), ("b", 250)], "", 270),
            ("read to the end", [("a", 200), ("read a", 0), ("b", 300)],
             "", 300),
            ("small ones", [("a", 15), ("b", 300), ("c", 15)], "", 300),
            ("small again", [("a", 200), ("a", 10)], "", 0),
            ("grows", [("a", 100), ("b", 100), ("a", 150), ("b", 160)],
             "a", 160),
            ("one alone", [("a", 900)], "", 900),
            ("one after it", [("a", 900), ("b", 100)], "a", 100),
            ("a lost one", [("a", 200), ("lose a", 0), ("b", 300)], "", 300),
        ]  # fmt: skip
        for name, events, cut, counted in cases:
            with self.subTest(name):
                budget = unsent_responses.Budget(300 * KB)
                writer_by_name = {each: Writer() for each in "abc"}
                for event, size in events:
                    writer = writer_by_name[event[-1]]
                    writer.size = size * KB
                    if event.startswith("lose"):
                        budget.forget(writer)
                    elif not event.startswith("read"):
                        budget.record(writer, writer.size)
                found = [n for n, each in writer_by_name.items() if each.is_cut]
                self.assertEqual("".join(found), cut)
                self.assertEqual(budget.used, counted * KB)


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

    async def test_a_request_whose_connection_is_cut_is_cancelled(self):
        reader = await self._call()
        (connection,) = self.connections
        closed = []
        connection.on_close = lambda: closed.append(True)
        connection.cut()
        await asyncio.sleep(0.1)
        self.assertEqual((closed, self.connections), ([True], set()))
        # A reset: what the caller has received doesn't look complete.
        with self.assertRaises(ConnectionResetError):
            await asyncio.wait_for(reader.readexactly(RESPONSE_BYTES), 30.0)


if __name__ == "__main__":
    unittest.main()
