"""Placement beside a sound runner that is silent for a moment."""

import asyncio
import unittest

from nutmeglift_gateway import suspect_servers
from tests.gateway import test_controllers as controllers


class SilentRunnerPlanTest(unittest.TestCase):
    def test_a_runner_that_missed_one_report_is_not_replaced_at_once(self):
        async def scenario(deployment):
            planner_test = controllers.PlannerTest()
            await planner_test.start(deployment)
            router = controllers.Router(deployment, "one")
            await asyncio.sleep(3.0)
            for write in planner_test.complete_orders(deployment):
                await write
            await asyncio.sleep(3.0)
            for write in planner_test.complete_orders(deployment):
                await write
            await asyncio.sleep(3.0)
            deployment.runners.placed.clear()
            silent, *_ = [
                server
                for server in router.board.directory.server_by_id.values()
                if server.layers.count
            ]
            now = asyncio.get_running_loop().time()
            router.board.suspect(now, silent, suspect_servers.Reason.NO_REPORT)
            await asyncio.sleep(0.5)
            self.assertEqual(deployment.runners.placed, [])

        controllers.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
