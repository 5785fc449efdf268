"""Complete responses for callers that do not read them."""

import asyncio
import unittest

from nutmeglift_gateway import body_buffer
from nutmeglift_gateway import catalog
from tests.gateway import rig
from tests.gateway import stand_ins

BODY_BYTES = 20_000_000
CALLER_COUNT = 6


class UnsentResponseTest(stand_ins.GatewayTestCase):
    async def test_unsent_bodies_count_towards_the_memory_for_all(self):
        route = rig.make_route("status", catalog.Idempotency.SAFE, rig.CORE)
        self.rig.board.set_catalog(
            rig.ids.Revision(4), rig.make_catalog(routes=(route,))
        )
        body = bytes(BODY_BYTES)

        async def large(request, writer, number):
            writer.write(stand_ins.complete_response(request, body))
            await writer.drain()

        server = await self.rig.add_server(large, "a")
        host, _, port = self.rig.address.rpartition(":")
        callers = []
        for number in range(CALLER_COUNT):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=1024
            )
            self.addCleanup(writer.transport.abort)
            callers.append((reader, writer))
            writer.write(self.rig.format_request("/status/1", "GET"))
            async with asyncio.timeout(stand_ins.WAIT_SECONDS):
                while (  # noqa: ASYNC110
                    len(server.requests) <= number
                    or server.open_connection_count
                    or any(each.current for each in self.rig.connections)
                ):
                    await asyncio.sleep(0.01)
        unsent = sum(
            connection._transport.get_write_buffer_size()
            for connection in self.rig.connections
            if not connection.closed
        )
        self.assertLessEqual(unsent, body_buffer.MAX_TOTAL_BYTES)


if __name__ == "__main__":
    unittest.main()
