"""Cancellations that a task drops do not keep its owner waiting."""

import asyncio
import unittest
from unittest import mock

from nutmeglift import cancellation
from nutmeglift import ids
from nutmeglift import settings
from nutmeglift_agent import agent as agents
from nutmeglift_wire import metrics
from tests import utils
from tests import virtual_time


async def drop_cancellations(count):
    """Runs until cancelled more often than this."""
    while True:
        try:
            await asyncio.get_running_loop().create_future()
        except asyncio.CancelledError:
            if not count:
                raise
            count -= 1


async def wait_for_result(result):
    """Awaits through asyncio.wait_for, as HTTP clients do, and goes on."""
    while True:
        await asyncio.wait_for(result, 10.0)
        result = asyncio.get_running_loop().create_future()


class CancelAndWaitTest(unittest.TestCase):
    def test_a_task_that_drops_cancellations_ends(self):
        async def run(count):
            tasks = [
                asyncio.ensure_future(drop_cancellations(n))
                for n in range(count)
            ]
            await asyncio.sleep(0)
            await cancellation.cancel_and_wait(tasks)
            self.assertTrue(all(task.done() for task in tasks))

        for count in (0, 1, 2, 5):
            with self.subTest(count=count):
                virtual_time.run(run(count))

    def test_a_result_beside_the_cancellation_ends_the_task(self):
        async def run():
            result = asyncio.get_running_loop().create_future()
            task = asyncio.ensure_future(wait_for_result(result))
            await asyncio.sleep(0)
            result.set_result(None)
            await cancellation.cancel_and_wait([task])
            self.assertTrue(task.cancelled())

        virtual_time.run(run())

    def test_errors_and_ended_tasks_are_ignored(self):
        async def fail():
            raise ValueError("test")

        async def run():
            tasks = [asyncio.ensure_future(fail()) for _ in range(2)]
            await asyncio.wait(tasks)
            await cancellation.cancel_and_wait(tasks)
            await cancellation.cancel_and_wait([])

        virtual_time.run(run())


class AgentStopTest(unittest.TestCase):
    def test_an_agent_stops_beside_an_engine_that_drops_the_cancellation(self):
        async def run():
            result = asyncio.get_running_loop().create_future()

            async def load():
                return await asyncio.wait_for(result, 10.0)

            engine = mock.AsyncMock()
            engine.load = load
            engine.cache_events.return_value.events = ()
            clock = mock.Mock(sleep=asyncio.sleep, now=lambda: 0.0)
            agent = agents.Agent(
                settings.AgentSettings(
                    vm=ids.VmId("a"),
                    listen="10.0.0.1:1",
                    failure_domain=ids.FailureDomain("a"),
                    platform=utils.PLATFORM,
                    shared_key=utils.SHARED_KEY,
                    backend="10.9.0.1:1",
                    backend_class="big",
                ),
                incarnation=ids.Incarnation("a-1"),
                clock=clock,
                dialer=mock.Mock(),
                metrics=metrics.MemoryMetrics(),
                engine=engine,
            )
            agent.start()
            await asyncio.sleep(0.1)
            result.set_result(mock.Mock())
            await asyncio.wait_for(agent.stop(), 100.0)

        virtual_time.run(run())


if __name__ == "__main__":
    unittest.main()
