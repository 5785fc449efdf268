"""Requests that arrive while a router that has just started loads."""

import asyncio

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
        self.rig.board.freshness.confirm(freshness.boot_clock())
        response = await call
        self.assertEqual(response.status, 200)
        self.assertEqual(stand_ins.event_ids(response.body), list(range(1, 10)))

    async def test_a_router_that_gets_none_refuses_in_time(self):
        async with asyncio.timeout(1.0):
            response = await self.rig.call("/draft/1")
        self.assertEqual(response.status, 503)
        self.assertIsNotNone(response.head.get(b"retry-after"))
