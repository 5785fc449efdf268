"""Requests are freed as they end, without the garbage collector.

The budget for bodies counts a request as gone once it has its response. What
stays in a reference cycle is freed by the collector only, much later.
"""

import asyncio
import gc
import unittest

from nutmeglift_gateway import caller_request
from tests.gateway import stand_ins
from tests.gateway import test_exchange_stream as streams
from tests.gateway import test_second_attempts as second

BODY = b"x" * 1000


async def reset(request, writer, number):
    stand_ins.reset_connection(writer)


class RequestLifetimeTest(second.SecondAttemptTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.addCleanup(gc.enable)
        gc.collect()
        gc.disable()

    async def check_freed(self, path, status):
        response = await self.rig.call(path, body=BODY)
        self.assertEqual(response.status, status)
        del response
        async with asyncio.timeout(stand_ins.WAIT_SECONDS):
            while self.rig.connections:  # noqa: ASYNC110 - their last turns.
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        left = [
            each
            for each in gc.get_objects()
            if isinstance(each, caller_request.Request)
        ]
        self.assertEqual(len(left), 0)

    async def test_a_call(self):
        await self.rig.add_server(stand_ins.healthy, "a")
        await self.check_freed("/release/1", 200)

    async def test_a_failed_call(self):
        await self.rig.add_server(reset, "a")
        await self.check_freed("/release/1", 502)

    async def test_a_refused_call(self):
        await self.check_freed("/release/1", 503)

    async def test_a_call_with_a_second_attempt(self):
        for name in "ab":
            await self.rig.add_server(second.late(stand_ins.healthy), name)
        await self.check_freed("/status/1", 200)

    async def test_a_stream(self):
        await self.rig.add_runner(streams.stream(1, 9), "a", 0, 80)
        await self.check_freed("/draft/1", 200)

    async def test_a_stream_that_is_resumed(self):
        await self.rig.add_runner(streams.resumable, "a", 0, 80)
        await self.rig.add_runner(streams.stream(1, 3, None), "b", 0, 80)
        await self.check_freed("/draft/1", 200)


if __name__ == "__main__":
    unittest.main()
