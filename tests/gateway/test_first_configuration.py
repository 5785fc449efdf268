"""Requests that arrive while a router that has just started loads."""

import asyncio
from unittest import mock

from nutmeglift_gateway import configuration_gate
from nutmeglift_gateway import freshness
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import test_exchange_stream as streams

LOADING_SECONDS = 0.02
"""Time from a start to the first configuration from the store."""


class FirstConfigurationTest(streams.StreamTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.rig.add_runner(streams.resumable, "x", 0, 80)
        self.rig.board.catalog = None

    async def test_a_request_waits_for_the_first_configuration(self):
        # Callers of a killed router come back as soon as its port is open, and
        # have one attempt left.
        call = asyncio.ensure_future(self.rig.call("/draft/1"))
        await asyncio.sleep(LOADING_SECONDS)
        self.rig.board.set_catalog(3, rig.make_catalog())
        rig.confirm(self.rig.board, freshness.boot_clock())
        response = await call
        self.assertEqual(response.status, 200)
        self.assertEqual(stand_ins.event_ids(response.body), list(range(1, 10)))

    async def test_requests_beyond_the_limit_are_refused_at_once(self):
        loop = asyncio.get_running_loop()
        with mock.patch.object(configuration_gate, "MAX_WAITING_COUNT", 2):
            waiting = [
                asyncio.ensure_future(self.rig.call("/draft/1"))
                for _ in range(2)
            ]
            await asyncio.sleep(LOADING_SECONDS)
            start = loop.time()
            self.assertEqual((await self.rig.call("/draft/1")).status, 503)
            self.assertLess(loop.time() - start, LOADING_SECONDS)
            for response in await asyncio.gather(*waiting):
                self.assertEqual(response.status, 503)
        self.assertEqual(self.rig.context.gate._waiting_count, 0)

    async def test_a_router_that_gets_none_refuses_in_time(self):
        async with asyncio.timeout(1.0):
            response = await self.rig.call("/draft/1")
        self.assertEqual(response.status, 503)
        self.assertIsNotNone(response.head.get(b"retry-after"))
