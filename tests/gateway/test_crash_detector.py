import asyncio
import unittest
from unittest import mock

from nutmeglift_gateway import crash_detector
from nutmeglift_gateway import directory
from nutmeglift_gateway import failure_recorder
from nutmeglift_gateway import http_call
from nutmeglift_gateway import metrics
from nutmeglift_gateway import suspect_servers
from tests.gateway import endless
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import virtual_time_case


class CrashDetectorTest(virtual_time_case.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.board = rig.make_board()
        self.log = rig.MemoryLog()
        self.runner = await stand_ins.ScriptedServer(stand_ins.healthy).start()
        self.addCleanup(self.runner.close)
        self.server = rig.make_server(
            "s",
            address=self.runner.address,
            layers=directory.LayerRange(0, 80),
        )
        self.board.directory.put(0.0, self.server)
        self.detector = crash_detector.CrashDetector(
            self.board,
            failure_recorder.FailureRecorder(
                self.board, self.log, metrics.Metrics()
            ),
        )
        self.task = asyncio.ensure_future(self.detector.run())
        self.addCleanup(self.task.cancel)
        await self.wait_until(lambda: self.runner.open_connection_count == 1)

    async def wait_until(self, check):
        async with asyncio.timeout(stand_ins.WAIT_SECONDS):
            while not check():  # noqa: ASYNC110 - over the network.
                await asyncio.sleep(0.01)

    async def test_a_crash_is_detected(self):
        self.runner.abort()
        address = self.server.address
        await self.wait_until(
            lambda: address in self.board.suspect_servers.down_addresses()
        )
        self.assertEqual(
            self.board.suspect_servers.reason(address),
            suspect_servers.Reason.CRASHED,
        )

    async def test_a_closed_idle_connection_is_not_a_crash(self):
        self.runner.reset_connections()
        await self.wait_until(lambda: self.runner.accepted_count == 2)
        self.assertEqual(self.board.suspect_servers.suspects(), {})

    async def test_bytes_on_an_idle_connection_close_it(self):
        first, repeated = endless.NO_REQUEST_CASES["garbage"]
        noisy = await endless.EndlessServer(
            first, repeated, await_request=False
        ).start()
        self.addCleanup(noisy.close)
        self.board.directory.put(
            0.0,
            rig.make_server(
                "noisy",
                address=noisy.address,
                layers=directory.LayerRange(0, 80),
            ),
        )
        await asyncio.wait_for(noisy.ended.wait(), stand_ins.WAIT_SECONDS)
        self.assertEqual(noisy.connection_count, 1)
        self.assertEqual(self.board.suspect_servers.suspects(), {})

    async def test_a_removed_runner_is_not_monitored(self):
        self.board.directory.remove(1.0, "s")
        await self.wait_until(lambda: self.runner.open_connection_count == 0)
        self.assertEqual(self.board.suspect_servers.suspects(), {})

    async def test_a_restarted_detector_monitors_again(self):
        self.task.cancel()
        await self.wait_until(lambda: self.runner.open_connection_count == 0)
        task = asyncio.ensure_future(self.detector.run())
        self.addCleanup(task.cancel)
        await self.wait_until(lambda: self.runner.open_connection_count == 1)

    async def test_a_runner_is_monitored_again_after_an_unexpected_error(self):
        connect = http_call.connect
        errors = [OverflowError("connect(): port must be 0-65535.")]

        async def fail_once(address):
            if errors:
                raise errors.pop()
            return await connect(address)

        with mock.patch.object(http_call, "connect", fail_once):
            self.runner.reset_connections()
            await self.wait_until(lambda: not errors)
            await self.wait_until(
                lambda: self.runner.open_connection_count == 1
            )


if __name__ == "__main__":
    unittest.main()
