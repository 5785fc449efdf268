"""Requests beside servers that say in their responses that they leave."""

import asyncio
import unittest

from nutmeglift_gateway import directory
from nutmeglift_gateway import leaving_servers
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import test_exchange_stream

SERVED = stand_ins.healthy
whole_stream = test_exchange_stream.stream(1, 9)


def responding(status=200, request_id=None, **headers):
    """Returns a script that responds with a status, headers and an id."""

    async def respond(request, writer, number):
        request.headers["x-attempt-id"] = (
            request_id or request.headers["x-attempt-id"]
        )
        writer.write(
            stand_ins.complete_response(request, status=status, **headers)
        )

    return respond


async def leaving_stream(request, writer, number):
    head = stand_ins.stream_head(request)
    writer.write(head.replace(b"\r\n\r\n", b"\r\nserver-leaving: 1\r\n\r\n"))
    writer.write(stand_ins.sse_chunk(1, 9) + b"0\r\n\r\n")


class LeavingTest(stand_ins.GatewayTestCase):
    def events(self):
        return self.rig.log.events().count("server leaving")

    async def test_which_responses_say_that_a_server_leaves(self):
        not_run = {"x_not_executed": "1"}
        cases = {
            "success": (responding(server_leaving="1"), True),
            "error": (responding(500, server_leaving="1"), True),
            "not run": (responding(503, server_leaving="1", **not_run), True),
            "no header": (responding(), False),
            "another value": (responding(server_leaving="0"), False),
            "of another server": (
                responding(421, server_leaving="1", **not_run),
                False,
            ),
            "of another request": (
                responding(server_leaving="1", request_id="other"),
                False,
            ),
        }
        for name, (script, leaves) in cases.items():
            with self.subTest(name):
                await self.asyncSetUp()
                server = await self.rig.add_server(script, "a")
                await self.rig.add_server(SERVED, "b", domain="far")
                for _ in range(4):
                    await self.rig.call("/release/1")
                listed = self.rig.board.directory.server_by_id["a"]
                self.assertEqual(listed.is_draining, leaves)
                self.assertEqual(self.events(), int(leaves))
                if leaves:
                    self.assertEqual(len(server.requests), 1)
                await self.rig.stop()

    async def test_it_leaves_although_its_entry_says_otherwise(self):
        script = responding(server_leaving="1")
        server = await self.rig.add_server(script, "a")
        self.assertEqual((await self.rig.call("/release/1")).status, 200)
        for _ in range(2):
            self.rig.register("a", server.address)
            self.assertEqual((await self.rig.call("/release/1")).status, 503)
        self.rig.register("a", server.address, born=2)
        self.assertEqual((await self.rig.call("/release/1")).status, 200)
        self.assertEqual(len(server.requests), 2)

    async def test_a_request_that_waits_for_a_connection_is_not_sent(self):
        server = await self.rig.add_server(SERVED, "a")
        listed = self.rig.board.directory.server_by_id["a"]
        call = asyncio.ensure_future(self.rig.call("/release/1"))
        while not self.rig.board.load_tracker.own():  # noqa: ASYNC110
            await asyncio.sleep(0)
        self.rig.board.directory.record_leaving(0.0, listed)
        self.assertEqual((await call).status, 503)
        self.assertEqual(server.requests, [])

    async def test_a_runner_that_leaves_gets_no_further_stream(self):
        runner = await self.rig.add_runner(leaving_stream, "x", 0, 80)
        await self.rig.add_runner(whole_stream, "y", 0, 80, domain="b")
        for _ in range(4):
            response = await self.rig.call("/draft/1")
            self.assertEqual(stand_ins.event_ids(response.body)[-1], 9)
        self.assertEqual(len(runner.requests), 1)
        listed = self.rig.board.directory.server_by_id["x"]
        self.assertIs(listed.state, directory.ServerState.DRAINING)

    async def test_the_number_of_remembered_lifetimes_is_limited(self):
        leaving = leaving_servers.LeavingServers()
        for number in range(leaving_servers.MAX_COUNT + 9):
            self.assertTrue(leaving.record((rig.CORE, number)))
        self.assertNotIn((rig.CORE, 8), leaving)
        self.assertIn((rig.CORE, 9), leaving)


if __name__ == "__main__":
    unittest.main()
