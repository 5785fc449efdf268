"""Streams over runners that run slower than expected."""

import asyncio
import unittest

from nutmeglift_gateway import directory
from nutmeglift_gateway import loads
from nutmeglift_gateway import pace_reader
from nutmeglift_gateway import paths
from nutmeglift_gateway import ports
from nutmeglift_gateway import running_stream
from tests.gateway import rig
from tests.gateway import stand_ins


class FakeResponse:
    def __init__(self, *, interval, seen, last_byte_at):
        self.event_interval = interval
        self.events_seen = seen
        self.last_byte_at = last_byte_at


class FakeAdmitted:
    route = rig.STREAM


class IsSlowTest(unittest.TestCase):
    def test_which_streams_are_slow(self):
        cases = [
            # step s, interval s, begun, silent s, slow
            (0.005, 0.02, True, 0.0, False),
            (0.005, 0.059, True, 0.0, False),
            (0.005, 0.07, True, 0.0, True),
            (0.02, 0.2, True, 0.0, False),
            (0.02, 0.25, True, 0.0, True),
            (0.005, None, False, 0.2, False),
            (0.005, None, False, 0.3, True),
            (0.005, None, True, 0.3, False),
        ]
        for step, interval, begun, silent, expected in cases:
            with self.subTest(step=step, interval=interval, silent=silent):
                stream = running_stream.Stream(
                    FakeAdmitted(),
                    paths.Path((), step),
                    FakeResponse(
                        interval=interval, seen=begun, last_byte_at=10.0
                    ),
                    10.0,
                    100.0,
                    None,
                )
                self.assertEqual(
                    pace_reader.is_slow(stream, 10.0 + silent), expected
                )


class PaceReaderTest(stand_ins.GatewayTestCase):
    async def test_the_next_stream_avoids_a_slow_runner(self):
        async def slow(request, writer, number):
            writer.write(stand_ins.stream_head(request))
            for event in range(1, 100):
                writer.write(stand_ins.sse_chunk(event, event))
                await asyncio.sleep(0.08)

        server = await self.rig.add_runner(slow, "x", 0, 80)
        await self.rig.add_runner(stand_ins.silent, "y", 0, 80,
                                  kind="whole-slow")  # fmt: skip
        address = server.address
        self.rig.runners.report_by_address[address] = ports.Report(
            directory.LayerRange(0, 80), 0, False, 12.0, ()
        )
        call = asyncio.ensure_future(self.rig.call("/draft/1"))
        board = self.rig.board
        async with asyncio.timeout(stand_ins.WAIT_SECONDS):
            while address not in board.pace_by_address:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        call.cancel()
        self.assertEqual(board.pace_by_address[address].value, 12.0)
        self.assertIn("pace", self.rig.log.events())
        finder = paths.PathFinder(
            rig.ENGINE,
            loads.LoadTracker(),
            board.pace_reader(board.pace_by_address[address].read_at),
        )
        path = finder.find(
            board.usable(rig.MODEL), paths.PathRequirements(board.home, 100.0)
        )
        self.assertEqual(path.first.id, "y")

    async def test_a_slow_runner_is_polled_until_it_has_recovered(self):
        reader = pace_reader.PaceReader(
            self.rig.board,
            self.rig.runners,
            self.rig.failure_recorder,
            self.rig.log,
        )
        board = self.rig.board
        start = asyncio.get_running_loop().time() - 100.0
        board.record_pace(start, "x:1", 3.0)
        self.rig.runners.report_by_address["x:1"] = ports.Report(
            directory.LayerRange(0, 80), 0, False, 1.0, ()
        )
        for now, value in [(start + 0.5, 3.0), (start + 1.1, 1.0)]:
            reader.read(now, [])
            await asyncio.sleep(0.01)
            self.assertEqual(board.pace_by_address["x:1"].value, value)


if __name__ == "__main__":
    unittest.main()
