import asyncio
import unittest
from unittest import mock

from nutmeglift_gateway import crash_detector
from nutmeglift_gateway import crash_watchers
from nutmeglift_gateway import directory
from nutmeglift_gateway import failure_recorder
from nutmeglift_gateway import http_call
from nutmeglift_gateway import metrics
from nutmeglift_gateway import suspect_servers
from tests.gateway import endless
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import virtual_time_case


def make_detector(board, log, vm="one"):
    """Returns a router's crash detector."""
    counters = metrics.Metrics()
    return crash_detector.CrashDetector(
        board,
        failure_recorder.FailureRecorder(board, log, counters),
        vm,
        counters,
        log,
    )


class DetectorTestCase(virtual_time_case.VirtualTimeTestCase):
    """Test case with a crash detector that watches one runner."""

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
        self.detector = make_detector(self.board, self.log)
        self.task = asyncio.ensure_future(self.detector.run())
        self.addCleanup(self.task.cancel)
        await self.wait_until(lambda: self.runner.open_connection_count == 1)

    async def wait_until(self, check):
        async with asyncio.timeout(stand_ins.WAIT_SECONDS):
            while not check():  # noqa: ASYNC110 - over the network.
                await asyncio.sleep(0.01)


class CrashDetectorTest(DetectorTestCase):
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


class WatchedByFewTest(virtual_time_case.VirtualTimeTestCase):
    """Several routers before one runner, linked by the reports they send."""

    ROUTERS = ("one", "two", "three", "four", "five", "six")

    async def asyncSetUp(self):
        self.runner = await stand_ins.ScriptedServer(stand_ins.healthy).start()
        self.addCleanup(self.runner.close)
        self.server = rig.make_server(
            "s",
            address=self.runner.address,
            layers=directory.LayerRange(0, 80),
        )
        self.board_by_name = {}
        self.silent = set()
        self.stopped_at = {}
        for name in self.ROUTERS:
            board = self.board_by_name[name] = rig.make_board()
            board.home = "a" if name in ("one", "two", "three") else "b"
            board.directory.put(0.0, self.server)
            board.listeners.add(self.report)
            detector = make_detector(board, rig.MemoryLog(), name)
            task = asyncio.ensure_future(detector.run())
            self.addCleanup(task.cancel)
            setattr(self, f"task_{name}", task)
        reporter = asyncio.ensure_future(self.report_repeatedly())
        self.addCleanup(reporter.cancel)
        self.watchers = crash_watchers.choose_watchers(
            "s", {n: b.home for n, b in self.board_by_name.items()}
        )
        await asyncio.sleep(crash_detector.START_DELAY_SECONDS + 1.0)

    async def report_repeatedly(self):
        while True:
            self.report()
            await asyncio.sleep(0.25)

    def report(self):
        """Delivers what each router reports to the others."""
        now = asyncio.get_running_loop().time()
        for name, board in self.board_by_name.items():
            if name in self.silent:
                continue
            crashed = (
                board.suspect_servers.reason(self.server.address)
                == suspect_servers.Reason.CRASHED
            )
            for other, peer in self.board_by_name.items():
                if other == name or other in self.silent:
                    continue
                peer.live_peers.record_report(now, name, board.home)
                if crashed:
                    peer.suspect(
                        now,
                        self.server,
                        suspect_servers.Reason.REPORTED_BY_PEER,
                    )
                    peer.on_crash_reported(now, self.server)

    def reasons(self):
        return {
            board.suspect_servers.reason(self.server.address)
            for board in self.board_by_name.values()
        }

    async def test_few_connections_are_kept(self):
        self.assertEqual(self.runner.open_connection_count, 2)
        self.assertEqual(len(self.watchers), 2)

    async def test_a_runner_that_closes_idle_connections(self):
        before = self.runner.accepted_count
        for _ in range(5):
            self.runner.reset_connections()
            await asyncio.sleep(6.0)
        self.assertLessEqual(self.runner.accepted_count - before, 2 * 5)
        self.assertEqual(self.reasons(), {""})

    async def test_a_crash_is_known_to_all_routers_at_once(self):
        self.runner.abort()
        await asyncio.sleep(0.02)
        self.assertEqual(self.reasons(), {suspect_servers.Reason.CRASHED})

    async def test_a_lost_watcher_is_replaced_within_a_second(self):
        for lost in self.watchers:
            with self.subTest(lost):
                self.silent.add(lost)
                getattr(self, f"task_{lost}").cancel()
                await asyncio.sleep(1.0)
                self.assertEqual(self.runner.open_connection_count, 2)

    async def test_a_crash_while_both_watchers_are_being_replaced(self):
        for lost in self.watchers:
            self.silent.add(lost)
            getattr(self, f"task_{lost}").cancel()
        self.runner.abort()
        await asyncio.sleep(1.05)
        for name in set(self.ROUTERS) - set(self.watchers):
            board = self.board_by_name[name]
            self.assertEqual(
                board.suspect_servers.reason(self.server.address),
                suspect_servers.Reason.CRASHED,
            )

    async def test_a_delayed_router_opens_no_connections_at_once(self):
        before = self.runner.accepted_count
        asyncio.get_running_loop().advance(5.0)
        await asyncio.sleep(0.6)
        self.assertEqual(self.runner.accepted_count, before)

    async def test_a_false_alarm_does_not_pass_for_a_crash_elsewhere(self):
        cut_off = self.board_by_name[self.watchers[0]]
        now = asyncio.get_running_loop().time()
        cut_off.suspect(now, self.server, suspect_servers.Reason.CRASHED)
        await asyncio.sleep(0.3)
        others = [
            board.suspect_servers.reason(self.server.address)
            for board in self.board_by_name.values()
            if board is not cut_off
        ]
        self.assertEqual(set(others), {suspect_servers.Reason.REPORTED_BY_PEER})
        # One confirmation each, however often the alarm is reported.
        count = self.runner.accepted_count
        await asyncio.sleep(0.5)
        self.assertEqual(self.runner.accepted_count, count)


if __name__ == "__main__":
    unittest.main()
