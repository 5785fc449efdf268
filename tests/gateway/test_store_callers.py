"""Which controller a call to the store is counted for."""

import asyncio
import unittest

from nutmeglift_gateway import store_callers
from nutmeglift_gateway import supervision
from tests.gateway import rig


class StoreCallersTest(unittest.IsolatedAsyncioTestCase):
    async def test_calls_are_counted_for_the_supervised_controller(self):
        seen = []

        async def call():
            seen.append(store_callers.current())

        async def run():
            await asyncio.create_task(call())

        for name in ("planner", "registration"):
            await asyncio.create_task(
                supervision.supervise(
                    name, run, rig.MemoryLog(), rig.make_rng()
                )
            )
        await call()
        self.assertEqual(seen, ["planner", "registration", "request"])


if __name__ == "__main__":
    unittest.main()
