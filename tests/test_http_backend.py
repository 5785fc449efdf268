"""Tests that calls to a plain service over HTTP are never sent twice."""

import asyncio
import itertools
import os
import unittest

from nutmeglift import backend
from nutmeglift import errors
from nutmeglift import states
from nutmeglift_agent import http_backend
from nutmeglift_wire import http_client

_numbers = itertools.count()
METHODS = ("GET", "HEAD", "PUT", "POST", "PATCH", "DELETE")
TIMEOUT_SECONDS = 2.0
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
HEAD_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n"
FOREIGN_ANSWER = b"HTTP/1.1 404 X\r\ncontent-length: 0\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class CountingServer:
    """Reads whole requests, counts them, and answers or drops them.

    A port may be one that another process still calls, so only requests for the
    server's own path count.

    Attributes:
        path: path of the requests that count; no other server has it.
        executions: request lines read, in order.
        answers: number of requests still to answer; later ones are dropped.
        partial: bytes of an answer sent before the connection is dropped.
        hang: whether the connection is left open instead of dropped.
    """

    def __init__(self, answers: int) -> None:
        self.path = f"/releases/{next(_numbers)}-{os.getpid()}"
        self.executions: list[str] = []
        self.answers = answers
        self.partial = b""
        self.hang = False
        self.address = ""
        self._server: asyncio.Server | None = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *error):
        assert self._server is not None
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        for line in head.split("\r\n"):
            name, _, value = line.partition(":")
            if name == "content-length":
                await reader.readexactly(int(value))
        first = head.split("\r\n")[0]
        if first.split(" ")[1] != self.path:
            writer.write(FOREIGN_ANSWER)
            return False
        self.executions.append(first)
        if self.answers <= 0:
            writer.write(self.partial)
            await writer.drain()
            if self.hang:
                await reader.read()
            return False
        self.answers -= 1
        writer.write(ANSWER)
        await writer.drain()
        return True


def make_request(method: str, path: str) -> backend.PlainRequest:
    body = b"" if method in {"GET", "HEAD"} else b"amount=1"
    return backend.PlainRequest(method, path, (), body)


class HttpPlainBackendTest(unittest.IsolatedAsyncioTestCase):
    async def _call(self, server, method, timeout=TIMEOUT_SECONDS):
        service = http_backend.HttpPlainBackend(server.address)
        return await service.call(make_request(method, server.path), timeout)

    async def test_dropped_connection_leaves_the_outcome_unknown(
        self,
    ):
        for method in METHODS:
            for answered_before in (0, 1, 3):
                with self.subTest(method, answered_before=answered_before):
                    async with CountingServer(answered_before) as server:
                        service = http_backend.HttpPlainBackend(server.address)
                        request = make_request(method, server.path)
                        if method == "HEAD" and answered_before:
                            continue
                        for _ in range(answered_before):
                            await service.call(request, TIMEOUT_SECONDS)
                        with self.assertRaises(
                            errors.OutcomeUnknownError
                        ) as caught:
                            await service.call(request, TIMEOUT_SECONDS)
                        await asyncio.sleep(0.02)
                        self.assertEqual(
                            len(server.executions), answered_before + 1
                        )
                        self.assertIs(caught.exception.ran, states.Ran.UNKNOWN)

    async def test_requests_of_other_processes_are_not_counted(self):
        async with CountingServer(1) as server:
            host, _, port = server.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /v1/report HTTP/1.1\r\nhost: x\r\n\r\n")
            self.assertIn(b" 404 ", await reader.read())
            writer.close()
            answer = await self._call(server, "POST")
        self.assertEqual((answer.status, len(server.executions)), (200, 1))

    async def test_truncated_or_missing_answer_leaves_the_outcome_unknown(self):
        cases = {
            "in the status line": (b"HTTP/1.1 2", False),
            "in the headers": (b"HTTP/1.1 200 OK\r\ncontent-", False),
            "after the headers": (HEAD_WITHOUT_LENGTH, False),
            "in the body": (ANSWER[:-1], False),
            "before the first chunk": (CHUNKED_HEAD, False),
            "in a chunk": (CHUNKED_HEAD + b"5\r\nab", False),
            "before the last chunk": (CHUNKED_HEAD + b"2\r\nab\r\n", False),
            "never sent": (b"", True),
            "stalls in the body": (ANSWER[:-1], True),
        }
        for name, (partial, hang) in cases.items():
            with self.subTest(name):
                async with CountingServer(0) as server:
                    server.partial, server.hang = partial, hang
                    with self.assertRaises(errors.OutcomeUnknownError):
                        await self._call(server, "POST", 0.2)
                    self.assertEqual(len(server.executions), 1)

    async def test_a_status_that_http_does_not_have_is_no_answer(self):
        # The agent took 000 for the status of an answer.
        for status in ("000", "0", "099", "101", "600", "0200", "1000"):
            answer = ANSWER.replace(b"200", status.encode())
            for method in METHODS:
                with self.subTest(status, method=method):
                    async with CountingServer(0) as server:
                        server.partial = answer
                        with self.assertRaises(errors.OutcomeUnknownError):
                            await self._call(server, method)
                        self.assertEqual(len(server.executions), 1)

    async def test_the_answer_follows_interim_responses(self):
        # The agent took an interim response for the answer.
        interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\na: b\r\n\r\n"
        for partial, status in ((interim + ANSWER, 200), (interim, None)):
            with self.subTest(status=status):
                async with CountingServer(0) as server:
                    server.partial = partial
                    if status is None:
                        with self.assertRaises(errors.OutcomeUnknownError):
                            await self._call(server, "POST")
                    else:
                        answer = await self._call(server, "POST")
                        self.assertEqual(answer.body, b"ok")

    async def test_refused_connection_counts_as_not_run(self):
        async with CountingServer(0) as server:
            pass
        await asyncio.sleep(0)
        for method in METHODS:
            with self.subTest(method):
                with self.assertRaises(errors.RefusedError) as caught:
                    await self._call(server, method)
                self.assertIs(caught.exception.ran, states.Ran.NOT_RUN)

    async def test_complete_answer_is_returned(self):
        async with CountingServer(1) as server:
            answer = await self._call(server, "POST")
        self.assertEqual((answer.status, answer.body), (200, b"ok"))

    async def test_persistent_connection_would_have_repeated_the_call(self):
        """Checks that the server would detect the fault: a repeated call."""
        async with CountingServer(1) as server:
            client = http_client.make(1)
            url = f"http://{server.address}{server.path}"
            await (await client.put(url, data=b"1")).content()
            with self.assertRaises(http_client.ERRORS):
                await (await client.put(url, data=b"1")).content()
            await client.aclose()
            self.assertGreater(len(server.executions), 2)


if __name__ == "__main__":
    unittest.main()
