"""Servers that hold off get no status check, and keep their layers."""

import asyncio
import unittest

from nutmeglift_gateway import directory
from nutmeglift_gateway import failure_recorder
from nutmeglift_gateway import metrics
from nutmeglift_gateway import pace_reader
from nutmeglift_gateway import ports
from nutmeglift_gateway import prober
from nutmeglift_gateway import suspect_servers
from nutmeglift_platform import runners as platform_runners
from tests.gateway import holding_servers
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import test_controllers as controllers
from tests.gateway import test_crash_detector
from tests.gateway import test_silent_planning
from tests.gateway import virtual_time_case

HOLD_SECONDS = 3.0


class CountingRunners(rig.MemoryRunners):
    """Runners that record the times of their reports by address."""

    def __init__(self):
        super().__init__()
        self.reported = {}

    async def report(self, address):
        now = asyncio.get_running_loop().time()
        self.reported.setdefault(address, []).append(now)
        return await super().report(address)


class ProberAndPaceTest(virtual_time_case.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.board = rig.make_board()
        self.log = rig.MemoryLog()
        self.runners = CountingRunners()
        self.server = rig.make_server("s", layers=directory.LayerRange(0, 80))
        self.board.directory.put(0.0, self.server)
        self.runners.report_by_address[self.server.address] = ports.Report(
            self.server.layers, 0, False, 5.0, ()
        )
        probes = prober.Prober(self.board, self.runners, self.log)
        task = asyncio.ensure_future(probes.run())
        self.addCleanup(task.cancel)
        self.now = asyncio.get_running_loop().time()

    def reports(self):
        return self.runners.reported.get(self.server.address, [])

    async def test_a_suspect_is_probed_once_its_time_is_over(self):
        self.board.suspect(
            self.now, self.server, suspect_servers.Reason.NO_REPORT
        )
        self.board.hold_offs.record(
            self.now, self.server.lifetime, HOLD_SECONDS
        )
        await asyncio.sleep(HOLD_SECONDS + 1.0)
        self.assertGreaterEqual(self.reports()[0], self.now + HOLD_SECONDS)
        self.assertEqual(self.board.suspect_servers.suspects(), {})

    async def test_the_pace_is_read_once_its_time_is_over(self):
        counters = metrics.Metrics()
        recorder = failure_recorder.FailureRecorder(
            self.board, self.log, counters
        )
        reader = pace_reader.PaceReader(
            self.board, self.runners, recorder, self.log
        )
        self.board.record_pace(self.now, self.server.address, 5.0)
        self.board.hold_offs.record(
            self.now, self.server.lifetime, HOLD_SECONDS
        )
        for _ in range(50):
            reader.read(asyncio.get_running_loop().time(), [])
            await asyncio.sleep(0.1)
        self.assertGreaterEqual(self.reports()[0], self.now + HOLD_SECONDS)


class CrashDetectorHoldOffTest(test_crash_detector.DetectorTestCase):
    async def test_no_connection_is_opened_while_a_server_holds_off(self):
        now = asyncio.get_running_loop().time()
        hold_offs = self.board.hold_offs
        hold_offs.record(now, self.server.lifetime, HOLD_SECONDS)
        self.runner.reset_connections()
        self.board.on_crash_reported(now, self.server)
        await asyncio.sleep(HOLD_SECONDS)
        self.assertEqual(self.runner.accepted_count, 1)
        hold_offs.expire(now + HOLD_SECONDS)
        await self.wait_until(lambda: self.runner.accepted_count == 2)


class StalledStreamTest(stand_ins.GatewayTestCase):
    async def test_no_report_is_read_of_a_first_runner_that_holds_off(self):
        runners = CountingRunners()
        self.rig.monitor._runners = runners
        server = await self.rig.add_runner(stand_ins.silent, "x", 0, 80)
        call = asyncio.ensure_future(self.rig.call("/draft/1"))
        await server.wait_for_request()
        now = asyncio.get_running_loop().time()
        self.rig.board.hold_offs.record(now, ("x", 1), 60.0)
        await asyncio.sleep(5.0)
        call.cancel()
        self.assertEqual(runners.reported, {})
        self.assertEqual(server.accepted_count, 1)


class TurnedAwayCheckTest(virtual_time_case.VirtualTimeTestCase):
    """A status check or an order may be turned away as well."""

    async def test_a_check_that_is_turned_away_is_not_repeated(self):
        board, log = rig.make_board(), rig.MemoryLog()
        recorder = failure_recorder.FailureRecorder(
            board, log, metrics.Metrics()
        )
        holding = holding_servers.HoldingServer(HOLD_SECONDS)
        scripted = await stand_ins.ScriptedServer(holding).start()
        self.addCleanup(scripted.close)
        server = rig.make_server(
            "s", address=scripted.address, layers=directory.LayerRange(0, 80)
        )
        board.directory.put(0.0, server)
        client = platform_runners.PlatformRunners()
        client.on_hold_off = recorder.record_hold_off_at
        calls = [
            lambda: client.report(server.address),
            lambda: client.place(server, server.layers, 1),
        ]
        for number, call in enumerate(calls):
            with self.subTest(number):
                now = asyncio.get_running_loop().time()
                try:
                    await call()
                except ports.RunnerUnavailableError as error:
                    recorder.record(
                        server, suspect_servers.Reason.NO_REPORT, str(error)
                    )
                self.assertTrue(board.hold_offs.holds_off(server.lifetime))
                self.assertEqual(board.suspect_servers.suspects(), {})
                board.hold_offs.expire(now + HOLD_SECONDS + 1.0)
        self.assertEqual(log.events(), ["server holds off"] * 2)


class HoldOffPlanTest(unittest.TestCase):
    def test_layers_are_not_placed_elsewhere(self):
        async def scenario(deployment):
            router, (holding, *_) = await test_silent_planning.place_all(
                deployment
            )
            now = asyncio.get_running_loop().time()
            runners = deployment.runners
            router.board.hold_offs.record(now, holding.lifetime, 8.0)
            reported = []
            report = runners.report

            async def count_reports(address):
                reported.append(address)
                return await report(address)

            runners.report = count_reports
            await asyncio.sleep(7.5)
            self.assertEqual(runners.placed, [])
            self.assertNotIn(holding.address, reported)
            await asyncio.sleep(1.0)
            self.assertIn(holding, router.board.usable(rig.MODEL))

        controllers.run_scenario(scenario)

    def test_it_gets_no_order_when_another_runner_is_lost(self):
        async def scenario(deployment):
            router, holders = await test_silent_planning.place_all(deployment)
            now = asyncio.get_running_loop().time()
            holding, lost = holders[0], holders[-1]
            router.board.hold_offs.record(now, holding.lifetime, 8.0)
            router.board.suspect(now, lost, suspect_servers.Reason.CRASHED)
            await asyncio.sleep(7.5)
            ordered = {server.id for server, _, _ in deployment.runners.placed}
            self.assertNotIn(holding.id, ordered)

        controllers.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
