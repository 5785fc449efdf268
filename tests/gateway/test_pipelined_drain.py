"""Requests that wait on a connection when the router begins to drain."""

import asyncio
import unittest
from unittest import mock

from nutmeglift_gateway import drain
from nutmeglift_gateway import graceful_shutdown
from tests.gateway import stand_ins

WAIT_SECONDS = stand_ins.WAIT_SECONDS
LAST_CHUNK = b"0\r\n\r\n"


def format_request(name, path):
    """Returns the bytes of a caller's request with an id."""
    return stand_ins.GatewayRig.format_request(path, x_attempt_id=name.encode())


class PipelinedDrainTest(stand_ins.GatewayTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.may_finish = asyncio.Event()

    async def plain(self, request, writer, number):
        await self.may_finish.wait()
        writer.write(stand_ins.complete_response(request))

    async def stream(self, request, writer, number):
        writer.write(stand_ins.stream_head(request))
        writer.write(stand_ins.sse_chunk(1, 1))
        await self.may_finish.wait()
        writer.write(stand_ins.sse_chunk(2, 2) + LAST_CHUNK)

    async def test_all_get_a_response_and_only_the_last_one_closes(self):
        plain = await self.rig.add_server(self.plain, "plain")
        stream = await self.rig.add_runner(self.stream, "stream", 0, 80)
        cases = [
            ("/release/1", plain),
            ("/draft/1", stream),
        ]
        host, _, port = self.rig.address.rpartition(":")
        for path, server in cases:
            with self.subTest(path):
                self.rig.board.draining = False
                self.may_finish.clear()
                count = len(server.requests)
                reader, writer = await asyncio.open_connection(host, int(port))
                for name in ("one", "two", "three"):
                    writer.write(format_request(name, path))
                async with asyncio.timeout(WAIT_SECONDS):
                    while len(server.requests) == count:  # noqa: ASYNC110
                        await asyncio.sleep(0.01)
                    await asyncio.sleep(0.05)
                    self.rig.board.draining = True
                    self.may_finish.set()
                    received = await reader.read()
                writer.close()
                heads = [
                    part.partition(b"\r\n\r\n")[0]
                    for part in received.split(b"HTTP/1.1 200 ")[1:]
                ]
                self.assertEqual(
                    [b"connection: close" in head for head in heads],
                    [False, False, True],
                )

    async def test_a_stream_that_announced_no_close_leaves_it_to_the_drain(
        self,
    ):
        await self.rig.add_runner(self.stream, "stream", 0, 80)
        host, _, port = self.rig.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(format_request("one", "/draft/1"))
        async with asyncio.timeout(WAIT_SECONDS):
            await reader.readuntil(b"id: 1")
            self.rig.board.draining = True
            self.may_finish.set()
            await reader.readuntil(LAST_CHUNK)
            writer.write(format_request("two", "/draft/1"))
            received = await reader.read()
        self.assertIn(b"connection: close", received)
        self.assertTrue(received.endswith(LAST_CHUNK))

    async def test_a_request_that_comes_as_the_port_closes_gets_a_response(
        self,
    ):
        server = await self.rig.add_server(self.plain, "plain")
        self.may_finish.set()
        host, _, port = self.rig.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        shutdown = graceful_shutdown.GracefulShutdown(
            self.rig.board, self.rig.connections, set(), self.rig.log, 8.0
        )
        raw = format_request("one", "/release/1")
        with (
            mock.patch.object(drain, "ACCEPT_SECONDS", 0.0),
            mock.patch.object(drain, "REFUSE_SECONDS", 0.0),
        ):
            await shutdown.run(lambda: writer.write(raw))
        async with asyncio.timeout(WAIT_SECONDS):
            received = await reader.read()
        self.assertEqual(received.split(b" ")[1], b"503")
        self.assertIn(b"connection: close", received)
        self.assertEqual(server.requests, [])


if __name__ == "__main__":
    unittest.main()
