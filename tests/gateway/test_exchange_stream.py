"""Streams over runners that fail in different ways."""

import asyncio
import unittest

from nutmeglift_gateway import board as boards
from nutmeglift_gateway import control_client
from nutmeglift_gateway import directory
from nutmeglift_gateway import http_call
from nutmeglift_gateway import ports
from nutmeglift_gateway import settings
from nutmeglift_gateway import stalls
from nutmeglift_gateway import stream_monitor
from nutmeglift_gateway import suspect_servers
from tests.gateway import rig
from tests.gateway import stand_ins

LAST_CHUNK = b"0\r\n\r\n"


def stream(first, last, end=LAST_CHUNK):
    """Returns a script that sends events and `end`; None resets instead."""

    async def script(request, writer, number):
        writer.write(stand_ins.stream_head(request))
        writer.write(stand_ins.sse_chunk(first, last))
        await writer.drain()
        if end is None:
            stand_ins.reset_connection(writer)
        else:
            writer.write(end)

    return script


def paused(wait):
    """Returns a script that sends 3 events, waits, and sends the other 6."""

    async def script(request, writer, number):
        writer.write(stand_ins.stream_head(request) + stand_ins.sse_chunk(1, 3))
        await wait()
        writer.write(stand_ins.sse_chunk(4, 9) + LAST_CHUNK)

    return script


async def resumable(request, writer, number):
    begin = int(request.headers.get("last-event-id", 0)) + 1
    await stream(begin, 9)(request, writer, number)


async def stalling(request, writer, number):
    writer.write(stand_ins.stream_head(request) + stand_ins.sse_chunk(1, 3))
    await asyncio.sleep(60)


class StreamTestCase(stand_ins.GatewayTestCase):
    async def event_ids(self, **headers):
        response = await self.rig.call("/draft/1", **headers)
        self.assertEqual(response.status, 200)
        return stand_ins.event_ids(response.body)


class StreamTest(StreamTestCase):
    async def test_a_path_over_two_runners(self):
        one = await self.rig.add_runner(stream(1, 9), "x", 0, 50)
        two = await self.rig.add_runner(stream(1, 9), "y", 50, 80)
        self.assertEqual(await self.event_ids(), list(range(1, 10)))
        (seen,) = one.requests
        self.assertEqual(
            seen.headers["x-hop-count"],
            f"{one.address}=0-50,{two.address}=50-80",
        )
        self.assertEqual(seen.headers["x-expect-instance"], "x")
        self.assertEqual(two.requests, [])
        self.assertEqual(self.rig.board.load_tracker.own(), {})

    async def test_a_lost_first_runner_is_resumed_after_the_last_event(self):
        partial = stand_ins.sse_chunk(4, 4)[:-8]
        cases = [
            ("reset", stream(1, 3, None)),
            ("a partial event", stream(1, 3, partial)),
            ("a missing event", stream(1, 3, stand_ins.sse_chunk(5, 6))),
            ("a missing event in a chunk", stand_ins.missing_event),
            ("a repeated event", stream(1, 3, stand_ins.sse_chunk(3, 4))),
        ]
        for name, script in cases:
            with self.subTest(name):
                await self.rig.add_runner(script, "x", 0, 80)
                other = await self.rig.add_runner(
                    resumable, "y", 0, 80, domain="b"
                )
                self.assertEqual(await self.event_ids(), list(range(1, 10)))
                self.assertEqual(
                    other.requests[0].headers["last-event-id"], "3"
                )

    async def test_a_pause_between_attempts_is_logged(self):
        async def slow(request, writer, number):
            await asyncio.sleep(0.3)
            await stream(4, 9)(request, writer, number)

        await self.rig.add_runner(stream(1, 3, None), "x", 0, 80)
        await self.rig.add_runner(slow, "y", 0, 80, domain="b")
        self.assertEqual(await self.event_ids(), list(range(1, 10)))
        (late,) = [f for e, f in self.rig.log.lines if e == "answer late"]
        self.assertGreaterEqual(late["longest_gap"], 0.3)

    async def test_lost_runners_do_not_use_up_attempts(self):
        names = ["x", "y", "z"]

        def dying(first, last):
            async def script(request, writer, number):
                at = len(lost)
                lost.append(runner_by_name[names[at]])
                await stream(first + 2 * at, last + 2 * at, None)(
                    request, writer, number
                )
                lost[-1].abort()

            return script

        lost, runner_by_name = [], {}
        for name, kind in zip(names, ("whole", "whole", "whole-slow"),
                              strict=True):  # fmt: skip
            script = resumable if name == "z" else dying(1, 2)
            runner_by_name[name] = await self.rig.add_runner(
                script, name, 0, 80, kind=kind
            )
        self.assertEqual(await self.event_ids(), list(range(1, 10)))
        self.assertEqual(len(runner_by_name["z"].requests), 1)

    async def test_a_full_runner_is_skipped_for_a_moment(self):
        full = await self.rig.add_runner(stand_ins.rejecting(), "x", 0, 80)
        other = await self.rig.add_runner(resumable, "y", 0, 80, domain="b")
        for _ in range(2):
            self.assertEqual(await self.event_ids(), list(range(1, 10)))
        self.assertEqual((len(full.requests), len(other.requests)), (1, 2))

    async def test_a_stream_that_cannot_be_resumed_never_looks_complete(self):
        await self.rig.add_runner(stream(1, 3, None), "x", 0, 80)
        with self.assertRaises(http_call.CallError):
            await self.rig.call("/draft/1")
        self.assertIn("stream cut", self.rig.log.events())

    async def test_a_callers_own_resumption(self):
        server = await self.rig.add_runner(resumable, "x", 0, 80)
        self.assertEqual(await self.event_ids(last_event_id=b"5"), [6, 7, 8, 9])
        self.assertEqual(server.requests[0].headers["last-event-id"], "5")

    async def test_rejected_streams_are_retried_and_name_the_suspect(self):
        fault = self.rig.register(
            "z", "127.0.0.1:9", "model", kind="whole",
            layers=directory.LayerRange(50, 80),
        )  # fmt: skip
        await self.rig.add_runner(
            stand_ins.rejecting(fault.address), "x", 0, 50
        )
        other = await self.rig.add_runner(resumable, "y", 0, 80, domain="b")
        self.assertEqual(await self.event_ids(), list(range(1, 10)))
        self.assertEqual(len(other.requests), 1)
        self.assertTrue(
            self.rig.board.suspect_servers.is_suspect(
                fault.address, fault.lifetime
            )
        )

    async def test_no_path(self):
        await self.rig.add_runner(stream(1, 9), "x", 0, 50)
        response = await self.rig.call("/draft/1")
        self.assertEqual(response.status, 503)
        self.assertIsNotNone(response.head.get(b"retry-after"))

    async def test_a_disconnected_caller_cancels_its_stream(self):
        server = await self.rig.add_runner(stalling, "x", 0, 80)
        connection = await http_call.connect(self.rig.address)
        call = asyncio.ensure_future(
            control_client.exchange(
                connection, "POST", self.rig.format_request("/draft/1"), 9.0
            )
        )
        await server.wait_for_request()
        call.cancel()
        await asyncio.wait_for(server.client_eof.wait(), stand_ins.WAIT_SECONDS)

    async def test_an_http_1_0_caller_gets_the_stream_without_chunks(self):
        await self.rig.add_runner(stream(1, 9), "x", 0, 80)
        reader, writer = await asyncio.open_connection(
            *self.rig.address.split(":")
        )
        raw = self.rig.format_request("/draft/1").replace(
            b"HTTP/1.1", b"HTTP/1.0"
        )
        writer.write(raw)
        response = await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
        self.assertNotIn(b"transfer-encoding", response)
        self.assertEqual(stand_ins.event_ids(response), list(range(1, 10)))


class StallTest(StreamTestCase):
    async def test_a_stalled_stream_is_redirected_around_the_lost_runner(self):
        may_continue = asyncio.Event()
        script = paused(may_continue.wait)
        first = await self.rig.add_runner(script, "x", 0, 50)
        lost = await self.rig.add_runner(stand_ins.silent, "y", 50, 80)
        spare = await self.rig.add_runner(
            stand_ins.silent, "z", 50, 80, kind="whole-slow"
        )
        self.rig.runners.report_by_address[first.address] = ports.Report(
            directory.LayerRange(0, 50), 0, False, 1.0,
            (ports.StalledRequest("attempt-1", lost.address),),
        )  # fmt: skip
        call = asyncio.ensure_future(self.event_ids())
        await asyncio.wait_for(
            self.rig.runners.redirect_called.wait(), stand_ins.WAIT_SECONDS
        )
        may_continue.set()
        self.assertEqual(await call, list(range(1, 10)))
        request_id, path = self.rig.runners.redirected[0]
        self.assertEqual(request_id, "attempt-1")
        self.assertEqual(
            [(p.server.address, p.start, p.end) for p in path.parts],
            [(first.address, 0, 50), (spare.address, 50, 80)],
        )
        self.assertEqual(len(first.requests), 1)

    async def test_a_runner_without_capacity_is_not_tried_again(self):
        first = await self.rig.add_runner(stalling, "x", 0, 50)
        lost = await self.rig.add_runner(stand_ins.silent, "y", 50, 80)
        for name in ("full", "roomy"):
            await self.rig.add_runner(
                stand_ins.silent, name, 50, 80, kind="whole-slow"
            )
        self.rig.runners.outcomes = [ports.OrderOutcome.CONFLICT]
        self.rig.runners.report_by_address[first.address] = ports.Report(
            directory.LayerRange(0, 50), 0, False, 1.0,
            (ports.StalledRequest("attempt-1", lost.address),),
        )  # fmt: skip
        call = asyncio.ensure_future(self.event_ids())
        async with asyncio.timeout(stand_ins.WAIT_SECONDS):
            while len(self.rig.runners.redirected) < 2:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        call.cancel()
        tried = [
            path.parts[-1].server.id
            for _, path in self.rig.runners.redirected[:2]
        ]
        self.assertEqual(sorted(tried), ["full", "roomy"])

    async def test_streams_leave_a_runner_that_releases_their_layers(self):
        first = await self.rig.add_runner(stalling, "x", 0, 50)
        await self.rig.add_runner(stand_ins.silent, "y", 50, 80)
        spare = await self.rig.add_runner(
            stand_ins.silent, "z", 50, 80, kind="whole-slow"
        )
        call = asyncio.ensure_future(self.event_ids())
        await first.wait_for_request()
        leaving = self.rig.board.directory.server_by_id["y"]
        self.rig.board.set_moves(
            0.0,
            {"y": boards.PendingMove(leaving.lifetime, directory.NO_LAYERS)},
        )
        await asyncio.wait_for(
            self.rig.runners.redirect_called.wait(), stand_ins.WAIT_SECONDS
        )
        call.cancel()
        _, path = self.rig.runners.redirected[0]
        self.assertEqual(
            [part.server.address for part in path.parts],
            [first.address, spare.address],
        )

    async def test_a_stream_through_a_draining_runner_is_not_abandoned(self):
        may_continue = asyncio.Event()
        script = paused(may_continue.wait)
        first = await self.rig.add_runner(script, "x", 0, 50)
        leaving = await self.rig.add_runner(stand_ins.silent, "y", 50, 80)
        self.rig.runners.report_by_address[first.address] = ports.Report(
            directory.LayerRange(0, 50), 0, False, 1.0, ()
        )
        call = asyncio.ensure_future(self.event_ids())
        await first.wait_for_request()
        other = await self.rig.add_runner(resumable, "z", 0, 80, domain="b")
        # It announced long ago that it drains, and still serves its streams.
        self.rig.register(
            "y",
            leaving.address,
            rig.MODEL,
            kind="whole",
            layers=directory.LayerRange(50, 80),
            state=directory.ServerState.DRAINING,
        )
        await asyncio.sleep(5 * stream_monitor.CHECK_INTERVAL_SECONDS)
        may_continue.set()
        self.assertEqual(await call, list(range(1, 10)))
        self.assertNotIn("successor started", self.rig.log.events())
        self.assertEqual(other.requests, [])

    async def test_no_more_streams_are_given_up_than_find_room(self):
        # Both use a lost runner; the other pipeline has capacity for one.
        first = await self.rig.add_runner(stalling, "x", 0, 50)
        await self.rig.add_runner(stand_ins.silent, "y", 50, 80)
        room = rig.ENGINE.token_layer_capacity(rig.RUNNER_KINDS["big"], 28) / 28
        tokens = int(room * 0.6)
        calls = [
            asyncio.ensure_future(
                self.rig.call(
                    "/draft/1",
                    x_token_usage=b"%d,4" % tokens,
                    x_attempt_id=b"attempt-%d" % number,
                )
            )
            for number in range(2)
        ]
        async with asyncio.timeout(stand_ins.WAIT_SECONDS):
            while len(first.requests) < 2:  # noqa: ASYNC110 - over the network.
                await asyncio.sleep(0.01)
        for number, start in enumerate((0, 28, 56)):
            await self.rig.add_runner(
                stand_ins.silent, f"b{number}", start, min(80, start + 28),
                kind="big", domain="b",
            )  # fmt: skip
        lost = self.rig.board.directory.server_by_id["y"]
        self.rig.failure_recorder.record(
            lost, suspect_servers.Reason.CRASHED, "test"
        )
        async with asyncio.timeout(stand_ins.WAIT_SECONDS):
            while "successor started" not in self.rig.log.events():  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        self.assertEqual(self.rig.log.events().count("successor started"), 1)
        self.assertNotIn("stream cut", self.rig.log.events())
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    async def test_streams_stay_if_no_other_runner_holds_the_layers(self):
        first = await self.rig.add_runner(stream(1, 9), "x", 0, 50)
        await self.rig.add_runner(stand_ins.silent, "y", 50, 80)
        leaving = self.rig.board.directory.server_by_id["y"]
        call = asyncio.ensure_future(self.event_ids())
        await first.wait_for_request()
        self.rig.board.set_moves(
            0.0,
            {"y": boards.PendingMove(leaving.lifetime, directory.NO_LAYERS)},
        )
        self.assertEqual(await call, list(range(1, 10)))
        self.assertEqual(self.rig.runners.redirected, [])

    async def test_a_stream_leaves_an_unreachable_first_runner(self):
        first = await self.rig.add_runner(stalling, "x", 0, 80)
        await self.rig.add_runner(resumable, "y", 0, 80, domain="b")
        call = asyncio.ensure_future(self.event_ids())
        await first.wait_for_request()
        self.rig.failure_recorder.record_by_address(
            first.address, suspect_servers.Reason.UNREACHABLE, "test"
        )
        self.assertEqual(await call, list(range(1, 10)))
        self.assertIn(
            ("successor started", "its first runner is lost"),
            [(e, f.get("detail")) for e, f in self.rig.log.lines],
        )

    async def test_the_last_attempt_is_not_aborted_for_silence(self):
        delayed = paused(
            lambda: asyncio.sleep(stalls.SILENCE_TIMEOUT_SECONDS + 0.4)
        )
        await self.rig.add_runner(stand_ins.reset, "x", 0, 80)
        await self.rig.add_runner(delayed, "y", 0, 80, domain="b")
        self.assertEqual(await self.event_ids(), list(range(1, 10)))
        self.assertNotIn("stream cut", self.rig.log.events())

    async def test_a_stream_that_could_not_be_resumed_is_not_abandoned(self):
        delayed = paused(
            lambda: asyncio.sleep(stalls.SILENCE_TIMEOUT_SECONDS + 0.4)
        )
        self.rig.board.set_bounds(
            settings.Bounds(retry_ratio=0.0, retry_slack=0)
        )
        await self.rig.add_runner(delayed, "x", 0, 80)
        await self.rig.add_runner(resumable, "y", 0, 80, domain="b")
        self.assertEqual(await self.event_ids(), list(range(1, 10)))
        self.assertNotIn("successor started", self.rig.log.events())

    async def test_a_stream_leaves_a_silent_first_runner(self):
        # It provides no report either.
        await self.rig.add_runner(stalling, "x", 0, 80)
        other = await self.rig.add_runner(resumable, "y", 0, 80, domain="b")
        self.assertEqual(await self.event_ids(), list(range(1, 10)))
        self.assertEqual(other.requests[0].headers["last-event-id"], "3")


if __name__ == "__main__":
    unittest.main()
