"""A router whose servers send bytes without end."""

import asyncio
import contextlib
import unittest

from nutmeglift_gateway import body_buffer
from nutmeglift_gateway import catalog
from nutmeglift_gateway import freshness
from nutmeglift_gateway import responses
from tests.gateway import endless
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import virtual_time_case

PARALLEL_REQUEST_COUNT = 20
PARALLEL_STREAM_COUNT = 3
"""Few, as the servers share the event loop with the router: a runner that takes
40 ms to accept a connection counts as lost."""


class EndlessResponseTest(virtual_time_case.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.rig = stand_ins.GatewayRig()
        route = rig.make_route("status", catalog.Idempotency.SAFE, rig.CORE)
        self.rig.board.set_catalog(
            rig.ids.Revision(4), rig.make_catalog(routes=(route,))
        )
        self.rig.board.budget(rig.CORE).set_bounds(
            ratio=10.0, slack=0.0, window=10.0
        )
        await self.rig.start()
        self.addAsyncCleanup(self.rig.stop)

    async def _add_endless_server(self, name, case, **changes):
        server = await endless.EndlessServer(*case).start()
        self.addCleanup(server.close)
        self.rig.register(name, server.address, **changes)
        return server

    async def test_requests_are_retried_while_servers_send_without_end(self):
        cases = endless.HEAD_CASES | endless.FRAMING_CASES | endless.BODY_CASES
        for name, case in cases.items():
            with self.subTest(name):
                rig.confirm(self.rig.board, freshness.boot_clock())
                await self._add_endless_server("a", case)
                await self.rig.add_server(stand_ins.healthy, "b", domain="far")
                received = await asyncio.gather(
                    *(
                        self.rig.call("/status/1", "GET")
                        for _ in range(PARALLEL_REQUEST_COUNT)
                    )
                )
                self.assertEqual(
                    [r.status for r in received],
                    [200] * PARALLEL_REQUEST_COUNT,
                )
                self.assertEqual(body_buffer.SHARED_BUDGET.used, 0)

    async def test_a_stream_is_resumed_after_an_event_without_end(self):
        async def endless_event(request, writer, number):
            writer.write(
                stand_ins.stream_head(request) + stand_ins.sse_chunk(1, 3)
            )
            piece = responses.chunk(b"x" * endless.PIECE_BYTES)
            with contextlib.suppress(ConnectionError):
                await endless.send_endless(writer, b"", piece)

        async def resumed(request, writer, number):
            first = int(request.headers.get("last-event-id", 0)) + 1
            writer.write(
                stand_ins.stream_head(request)
                + stand_ins.sse_chunk(first, 9)
                + responses.LAST_CHUNK
            )

        self.rig.board.set_catalog(rig.ids.Revision(5), rig.make_catalog())
        self.rig.board.budget(rig.MODEL).set_bounds(
            ratio=10.0, slack=0.0, window=10.0
        )
        await self.rig.add_runner(endless_event, "x", 0, 80, slots=96)
        await self.rig.add_runner(resumed, "y", 0, 80, domain="b", slots=96)
        streams = await asyncio.gather(
            *(self.rig.call("/draft/1") for _ in range(PARALLEL_STREAM_COUNT))
        )
        for stream in streams:
            self.assertEqual(
                stand_ins.event_ids(stream.body), list(range(1, 10))
            )
        details = [
            fields["detail"]
            for event, fields in self.rig.log.lines
            if event == "attempt failed"
        ]
        self.assertTrue(
            any("an event exceeds 1048576 bytes" in each for each in details),
            details,
        )


if __name__ == "__main__":
    unittest.main()
