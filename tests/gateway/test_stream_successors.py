"""Successors of silent attempts: what they may cost and take over."""

import asyncio
from unittest import mock

from nutmeglift_gateway import http_call
from nutmeglift_gateway import sender as senders
from nutmeglift_gateway import suspect_servers
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import test_exchange_stream as streams
from tests.gateway import test_silent_servers as silent_servers


async def wait_until(condition):
    """Waits until a condition on the servers or the log holds."""
    async with asyncio.timeout(stand_ins.WAIT_SECONDS):
        while not condition():  # noqa: ASYNC110 - over the network.
            await asyncio.sleep(0.01)


class SuccessorTest(streams.StreamTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.wakes = asyncio.Event()

    def suspect(self, runner, reason):
        self.rig.failure_recorder.record_by_address(
            runner.address, reason, "test"
        )

    def has_events_of(self, name):
        return any(
            stream.path.first.id == name and stream.receiver.events_seen
            for stream in self.rig.monitor._streams
        )

    async def test_successors_share_the_link_between_failure_domains(self):
        # The prompt of one stream takes more than the router's part of a link.
        silent = await self.rig.add_runner(
            silent_servers.silent_until(self.wakes), "x", 0, 80
        )
        calls = [
            asyncio.ensure_future(
                self.event_ids(
                    x_attempt_id=b"attempt-%d" % number,
                    x_token_usage=b"20000,40",
                )
            )
            for number in range(4)
        ]
        await wait_until(lambda: len(silent.requests) == len(calls))
        other = await self.rig.add_runner(
            silent_servers.resume_silently, "y", 0, 50, domain="b"
        )
        await self.rig.add_runner(stand_ins.silent, "z", 50, 80, domain="c")
        await wait_until(lambda: other.requests)
        await asyncio.sleep(0.3)
        count = len(other.requests)
        self.wakes.set()
        await asyncio.gather(*calls)
        self.assertEqual(count, 1)

    async def test_a_stream_with_a_successor_is_not_moved_as_well(self):
        await self.rig.add_runner(
            silent_servers.silent_until(self.wakes), "x", 0, 50
        )
        lost = await self.rig.add_runner(stand_ins.silent, "y", 50, 80)
        call = asyncio.ensure_future(self.event_ids())
        await wait_until(lambda: self.rig.monitor._streams)
        other = await self.rig.add_runner(
            silent_servers.resume_silently, "w", 0, 80, domain="b"
        )
        await self.rig.add_runner(stand_ins.silent, "z", 50, 80, domain="b")
        await asyncio.sleep(0.05)
        self.suspect(lost, suspect_servers.Reason.UNREACHABLE)
        await wait_until(lambda: other.requests)
        await asyncio.sleep(0.5)
        redirected = len(self.rig.runners.redirected)
        self.wakes.set()
        self.assertEqual(await call, silent_servers.ALL_EVENTS)
        self.assertEqual(redirected, 0)

    async def test_an_older_entry_at_its_address_does_not_cut_a_stream(self):
        # The store has come back from a copy that is some seconds old.
        first = await self.rig.add_runner(
            silent_servers.silent_until(self.wakes), "x", 0, 80, born=2
        )
        call = asyncio.ensure_future(self.event_ids())
        await first.wait_for_request()
        directory_ = self.rig.board.directory
        directory_.remove_lifetime(directory_.server_by_id["x"])
        self.rig.register("before", first.address, rig.MODEL, born=1)
        await asyncio.sleep(0.6)
        self.wakes.set()
        self.assertEqual(await call, silent_servers.ALL_EVENTS)

    async def test_a_stream_that_ends_while_its_successor_connects(self):
        ends = asyncio.Event()

        async def script(request, writer, number):
            writer.write(
                stand_ins.stream_head(request) + stand_ins.sse_chunk(1, 9)
            )
            await ends.wait()
            writer.write(streams.LAST_CHUNK)

        await self.rig.add_runner(script, "x", 0, 80)
        other = await self.rig.add_runner(
            silent_servers.resume_silently, "y", 0, 80, domain="b"
        )
        connecting = asyncio.Event()
        connect = senders.Sender.connect

        async def connect_slowly(sender, server):
            if server.id == "y":
                connecting.set()
                await asyncio.sleep(http_call.CONNECT_TIMEOUT_SECONDS)
            return await connect(sender, server)

        with mock.patch.object(senders.Sender, "connect", connect_slowly):
            call = asyncio.ensure_future(self.event_ids())
            await asyncio.wait_for(connecting.wait(), stand_ins.WAIT_SECONDS)
            ends.set()
            self.assertEqual(await call, silent_servers.ALL_EVENTS)
        await asyncio.sleep(0.1)
        self.assertEqual(other.requests, [])

    async def test_lost_runners_of_superseded_attempts_use_up_no_attempt(self):
        # Each runner is lost without a closed connection.
        names = ["x", "y", "z", "w"]

        async def stop_after_two(request, writer, number):
            begin = int(request.headers.get("last-event-id", 0)) + 1
            writer.write(
                stand_ins.stream_head(request)
                + stand_ins.sse_chunk(begin, begin + 1)
            )
            await asyncio.sleep(60)

        runners = []
        call = None
        for name in names:
            script = streams.resumable if name == "w" else stop_after_two
            runner = await self.rig.add_runner(script, name, 0, 80)
            if runners:
                self.suspect(runners[-1], suspect_servers.Reason.UNREACHABLE)
            else:
                call = asyncio.ensure_future(self.event_ids())
            runners.append(runner)
            if name != "w":
                await wait_until(lambda name=name: self.has_events_of(name))
        self.assertEqual(
            await asyncio.wait_for(call, stand_ins.WAIT_SECONDS),
            silent_servers.ALL_EVENTS,
        )

    async def test_a_runner_that_may_go_on_uses_up_its_attempt(self):
        route = rig.make_route(
            "draft", rig.STREAM.idempotency, rig.MODEL, max_attempts=1
        )
        cases = [
            # what is believed of the silent runner; attempts at another one
            (suspect_servers.Reason.STALLED, 0),
            (suspect_servers.Reason.REPORTED_BY_PEER, 0),
            (suspect_servers.Reason.NO_REPORT, 0),
            ("its entry is removed", 0),
            (suspect_servers.Reason.UNREACHABLE, 1),
        ]
        for belief, attempts in cases:
            with self.subTest(belief):
                await self.asyncSetUp()
                self.rig.board.catalog = rig.make_catalog(
                    routes=(route, rig.SAFE, rig.UNSAFE, rig.OPEN)
                )
                first = await self.rig.add_runner(
                    silent_servers.silent_until(self.wakes), "x", 0, 80
                )
                call = asyncio.ensure_future(self.event_ids())
                await first.wait_for_request()
                other = await self.rig.add_runner(
                    silent_servers.resume_silently, "y", 0, 80, domain="b"
                )
                directory_ = self.rig.board.directory
                if isinstance(belief, suspect_servers.Reason):
                    self.suspect(first, belief)
                else:
                    directory_.remove_lifetime(directory_.server_by_id["x"])
                await asyncio.sleep(0.6)
                self.wakes.set()
                self.assertEqual(await call, silent_servers.ALL_EVENTS)
                self.assertEqual(len(other.requests), attempts)
                await self.rig.stop()
