"""Streams through sound runners that fall silent for a while and go on."""

import asyncio

from nutmeglift_gateway import directory
from nutmeglift_gateway import http_call
from nutmeglift_gateway import ports
from nutmeglift_gateway import responses
from nutmeglift_gateway import settings
from nutmeglift_gateway import stalls
from nutmeglift_gateway import stream_monitor
from nutmeglift_gateway import suspect_servers
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import test_exchange_stream as streams

ALL_EVENTS = list(range(1, 10))


def silent_until(event, first=3):
    """Returns a script that sends `first` events, and the rest after `event`.

    Without any events, not even the head is sent before.
    """

    async def script(request, writer, number):
        if first:
            writer.write(
                stand_ins.stream_head(request) + stand_ins.sse_chunk(1, first)
            )
        await event.wait()
        if not first:
            writer.write(stand_ins.stream_head(request))
        writer.write(stand_ins.sse_chunk(first + 1, 9) + streams.LAST_CHUNK)

    return script


async def resume_silently(request, writer, number):
    """Accepts a resumed stream and sends nothing."""
    writer.write(stand_ins.stream_head(request))
    await asyncio.sleep(60)


async def resume_and_reset(request, writer, number):
    stand_ins.reset_connection(writer)


async def resume_with_wrong_event(request, writer, number):
    await streams.stream(6, 9)(request, writer, number)


class SilentRunnerTest(streams.StreamTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.wakes = asyncio.Event()

    async def call_through_silence(self, successors=0):
        """Wakes the silent runner after the router has tried to leave it.

        Args:
            successors: attempts at the other runners to wait for.
        """
        call = asyncio.ensure_future(self.event_ids())
        await self.silent.wait_for_request()
        async with asyncio.timeout(stand_ins.WAIT_SECONDS):
            while (  # noqa: ASYNC110 - over the network.
                len(self.others_requests()) < successors
                or "server suspect" not in self.rig.log.events()
            ):
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        self.wakes.set()
        return await call

    def others_requests(self):
        return [r for other in self.others for r in other.requests]

    async def test_a_silent_stream_is_not_cut_when_its_successor_fails(self):
        cases = [
            # events before the silence, successor's script
            (0, None),
            (0, stand_ins.rejecting()),
            (0, resume_silently),
            (0, resume_and_reset),
            (3, None),
            (3, stand_ins.rejecting()),
            (3, resume_silently),
            (3, resume_and_reset),
            (3, resume_with_wrong_event),
        ]
        for first, script in cases:
            with self.subTest(first=first, script=script):
                await self.asyncSetUp()
                self.silent = await self.rig.add_runner(
                    silent_until(self.wakes, first), "x", 0, 80
                )
                self.others = []
                if script is not None:
                    self.others.append(
                        await self.rig.add_runner(
                            script, "y", 0, 80, domain="b"
                        )
                    )
                found = await self.call_through_silence(len(self.others))
                self.assertEqual(found, ALL_EVENTS)
                self.assertNotIn("stream cut", self.rig.log.events())
                await self.rig.stop()

    async def test_a_silent_stream_is_not_cut_for_an_unreachable_runner(self):
        self.others = []
        self.silent = await self.rig.add_runner(
            silent_until(self.wakes), "x", 0, 80
        )
        call = asyncio.ensure_future(self.event_ids())
        await self.silent.wait_for_request()
        self.rig.failure_recorder.record_by_address(
            self.silent.address, suspect_servers.Reason.UNREACHABLE, "test"
        )
        await asyncio.sleep(0.3)
        self.wakes.set()
        self.assertEqual(await call, ALL_EVENTS)

    async def test_no_stream_is_cut_when_more_fall_silent_than_may_retry(self):
        # The budget allows one retry, for all routers together.
        self.rig.board.set_bounds(settings.Bounds(retry_ratio=0, retry_slack=2))
        self.silent = await self.rig.add_runner(
            silent_until(self.wakes), "x", 0, 80
        )
        other = await self.rig.add_runner(
            streams.resumable, "y", 0, 80, domain="b"
        )
        calls = [
            asyncio.ensure_future(
                self.event_ids(x_attempt_id=b"attempt-%d" % number)
            )
            for number in range(4)
        ]
        async with asyncio.timeout(stand_ins.WAIT_SECONDS):
            while not other.requests:  # noqa: ASYNC110 - over the network.
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        self.wakes.set()
        self.assertEqual(await asyncio.gather(*calls), [ALL_EVENTS] * 4)
        self.assertEqual(len(other.requests), 1)

    async def test_a_silent_stream_is_resumed_where_there_is_room(self):
        self.silent = await self.rig.add_runner(
            silent_until(self.wakes), "x", 0, 80
        )
        other = await self.rig.add_runner(
            streams.resumable, "y", 0, 80, domain="b"
        )
        self.assertEqual(await self.event_ids(), ALL_EVENTS)
        self.assertEqual(other.requests[0].headers["last-event-id"], "3")
        await asyncio.wait_for(
            self.silent.client_eof.wait(), stand_ins.WAIT_SECONDS
        )
        self.assertEqual(self.rig.board.load_tracker.own(), {})

    async def test_a_runner_that_goes_on_first_ends_its_successor(self):
        self.silent = await self.rig.add_runner(
            silent_until(self.wakes), "x", 0, 80
        )
        other = await self.rig.add_runner(
            resume_silently, "y", 0, 80, domain="b"
        )
        self.others = [other]
        self.assertEqual(await self.call_through_silence(1), ALL_EVENTS)
        await asyncio.wait_for(other.client_eof.wait(), stand_ins.WAIT_SECONDS)
        self.assertEqual(self.rig.board.load_tracker.own(), {})

    async def test_a_stream_whose_runner_has_ended_is_not_waited_for(self):
        first = await self.rig.add_runner(streams.stalling, "x", 0, 80)
        call = asyncio.ensure_future(self.rig.call("/draft/1"))
        await first.wait_for_request()
        # Another lifetime at its address, without layers.
        self.rig.register("z", first.address, rig.MODEL, kind="whole", born=2)
        with self.assertRaises(http_call.CallError):
            await call
        self.assertIn("stream cut", self.rig.log.events())

    async def test_a_silent_part_of_a_path_does_not_cut_the_stream(self):
        # The first runner reports that it waits for the silent one.
        self.others = []
        self.silent = await self.rig.add_runner(
            silent_until(self.wakes), "x", 0, 50
        )
        waited_for = await self.rig.add_runner(stand_ins.silent, "y", 50, 80)
        self.rig.runners.report_by_address[self.silent.address] = (
            ports.Report(
                directory.LayerRange(0, 50), 0, False, 1.0,
                (ports.StalledRequest("attempt-1", waited_for.address),),
            )
        )  # fmt: skip
        self.assertEqual(await self.call_through_silence(), ALL_EVENTS)

    async def test_a_silent_runner_is_not_asked_for_reports_without_end(self):
        reports = []

        async def count_reports(address):
            reports.append(address)
            raise ports.RunnerUnavailableError("no report")

        self.rig.runners.report = count_reports
        self.others = []
        self.silent = await self.rig.add_runner(
            silent_until(self.wakes), "x", 0, 80
        )
        call = asyncio.ensure_future(self.event_ids())
        await self.silent.wait_for_request()
        await asyncio.sleep(1.0)
        self.wakes.set()
        self.assertEqual(await call, ALL_EVENTS)
        self.assertEqual(len(reports), 1)


class RemovedRunnerTest(streams.StreamTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        # A runner that leaves without notice serves on without an entry.
        self.first = await self.rig.add_runner(self.stream_on, "x", 0, 30)
        await self.rig.add_runner(stand_ins.silent, "y", 30, 60)
        self.leaving = await self.rig.add_runner(stand_ins.silent, "z", 60, 80)
        self.ends = asyncio.Event()

    async def stream_on(self, request, writer, number):
        """Sends an event every 10 ms until the test ends the stream."""
        writer.write(stand_ins.stream_head(request))
        event_id = 0
        while not self.ends.is_set():
            event_id += 1
            writer.write(stand_ins.sse_chunk(event_id, event_id))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(streams.LAST_CHUNK)

    async def test_a_flowing_stream_is_not_resumed_elsewhere(self):
        cases = [
            # the other trouble on the path
            lambda: self.rig.register(
                "z", self.leaving.address, rig.MODEL, kind="whole",
                layers=directory.LayerRange(60, 80),
                state=directory.ServerState.DRAINING,
            ),
            lambda: self.rig.failure_recorder.record_by_address(
                self.leaving.address, suspect_servers.Reason.STALLED, "test"
            ),
        ]  # fmt: skip
        for cause in cases:
            with self.subTest(cause=cause):
                await self.asyncSetUp()
                call = asyncio.ensure_future(self.event_ids())
                await self.first.wait_for_request()
                other = await self.rig.add_runner(
                    streams.resumable, "other", 0, 80, domain="b"
                )
                removed = self.rig.board.directory.server_by_id["y"]
                self.rig.board.directory.remove_lifetime(removed)
                cause()
                await asyncio.sleep(10 * stream_monitor.CHECK_INTERVAL_SECONDS)
                self.ends.set()
                found = await call
                self.assertEqual(found, list(range(1, len(found) + 1)))
                self.assertEqual(other.requests, [])
                self.assertNotIn("successor started", self.rig.log.events())
                await self.rig.stop()


class SlowCallerTest(streams.StreamTestCase):
    async def test_a_slow_caller_does_not_make_its_runner_look_silent(self):
        # More than the socket buffers and the router's write buffer hold.
        padding = b"x" * 1024
        count = 16 * 1024

        async def script(request, writer, number):
            writer.write(stand_ins.stream_head(request))
            for event_id in range(1, count + 1):
                writer.write(
                    responses.chunk(
                        b"id: %d\ndata: %b\n\n" % (event_id, padding)
                    )
                )
                await writer.drain()
            writer.write(streams.LAST_CHUNK)

        await self.rig.add_runner(script, "x", 0, 80)
        other = await self.rig.add_runner(
            streams.resumable, "y", 0, 80, domain="b"
        )
        reader, writer = await asyncio.open_connection(
            *self.rig.address.split(":")
        )
        writer.write(self.rig.format_request("/draft/1", connection=b"close"))
        await asyncio.sleep(2 * stalls.SILENCE_TIMEOUT_SECONDS)
        response = await asyncio.wait_for(
            reader.read(), 4 * stand_ins.WAIT_SECONDS
        )
        writer.close()
        self.assertEqual(
            stand_ins.event_ids(response), list(range(1, count + 1))
        )
        self.assertTrue(response.endswith(streams.LAST_CHUNK))
        self.assertEqual(other.requests, [])
        self.assertNotIn("server suspect", self.rig.log.events())
