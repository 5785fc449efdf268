"""The planner on many runners whose calls slow each other down."""

import asyncio
import collections
import unittest

from nutmeglift_gateway import directory
from nutmeglift_gateway import ports
from nutmeglift_gateway import registration
from tests.gateway import rig
from tests.gateway import test_controllers

RUNNER_COUNT = 400
SECONDS_PER_CALL = 0.004
"""Time in which this router makes a call, and does nothing else."""
ORDER_TIMEOUT_SECONDS = 0.8
REPORT_TIMEOUT_SECONDS = 0.35
LOAD_SECONDS = 1.0


class BusyRunners(rig.MemoryRunners):
    """Runners that carry out each order, and answer it late under load.

    Attributes:
        load_seconds: how long a load takes.
        busy_until: when each runner's load ends, by its address.
        layers: what each runner holds after its load, by its address.
    """

    def __init__(self):
        super().__init__()
        self.load_seconds = LOAD_SECONDS
        self.busy_until = {}
        self.layers = {}
        self._calls = 0

    async def place(self, server, layers, fence):
        await super().place(server, layers, fence)
        now = asyncio.get_running_loop().time()
        if self.busy_until.get(server.address, 0.0) > now:
            return ports.OrderOutcome.CONFLICT
        self.busy_until[server.address] = now + self.load_seconds
        self.layers[server.address] = layers
        if await self._is_late(ORDER_TIMEOUT_SECONDS):
            return ports.OrderOutcome.UNKNOWN
        return ports.OrderOutcome.BEGUN

    async def report(self, address):
        if await self._is_late(REPORT_TIMEOUT_SECONDS):
            raise ports.RunnerUnavailableError("no response")
        now = asyncio.get_running_loop().time()
        busy = self.busy_until.get(address, 0.0) > now
        layers = self.layers.get(address, directory.NO_LAYERS)
        return ports.Report(
            directory.NO_LAYERS if busy else layers,
            int(address in self.layers),
            busy,
            1.0,
            (),
        )

    async def _is_late(self, limit):
        """Waits for a response; returns whether it comes too late."""
        self._calls += 1
        seconds = self._calls * SECONDS_PER_CALL
        await asyncio.sleep(min(seconds, limit))
        self._calls -= 1
        return seconds > limit


class ManyOrdersTest(unittest.TestCase):
    async def start(self, deployment, count):
        """Starts a router and runners; returns both."""
        deployment.runners = runners = BusyRunners()
        await deployment.put(test_controllers.CATALOG_KEY, b"config")
        by_domain = {d: {"mid": count // 4} for d in "abcd"}
        for server in rig.make_runners(by_domain):
            await deployment.put_server(
                server.id,
                address=server.address,
                kind=server.kind,
                domain=server.domain,
            )
        return test_controllers.Router(deployment, "one"), runners

    def check_orders(self, runners, count):
        """Checks that each runner was ordered once."""
        counts = collections.Counter(
            server.id for server, _, _ in runners.placed
        )
        self.assertEqual(len(counts), count)
        self.assertEqual(max(counts.values()), 1)

    def test_each_runner_is_ordered_once(self):
        async def scenario(deployment):
            _, runners = await self.start(deployment, RUNNER_COUNT)
            await asyncio.sleep(8.0)
            self.check_orders(runners, RUNNER_COUNT)

        test_controllers.run_scenario(scenario)

    def test_a_new_planner_repeats_no_order_that_is_carried_out(self):
        async def scenario(deployment):
            one, runners = await self.start(deployment, 40)
            runners.load_seconds = 9.0
            await asyncio.sleep(2.0)
            one.kill()
            two = test_controllers.Router(deployment, "two")
            await asyncio.sleep(registration.LEASE_TTL_SECONDS + 3.0)
            self.assertTrue(two.board.fence)
            self.check_orders(runners, 40)

        test_controllers.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
