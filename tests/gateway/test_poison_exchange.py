"""A router keeps requests away from the servers that they would end."""

import asyncio
from unittest import mock

from nutmeglift_gateway import http_call
from nutmeglift_gateway import quarantine
from nutmeglift_gateway import retry_policy
from nutmeglift_gateway import runs
from nutmeglift_platform import names
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import test_exchange_stream as streams

SEGMENTS = names.HEADERS.prompt_segments.decode().replace("-", "_")
POISON = {SEGMENTS: b"0a:40,bad:40,01:700"}
SOUND = {SEGMENTS: b"0a:40,02:700"}


class PoisonExchangeTest(streams.StreamTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.guard = self.rig.board.guard
        self.ended = []

    async def add_fragile(self, name, service=rig.MODEL):
        """Adds a server that ends as soon as it gets a request."""

        async def script(request, writer, number):
            self.ended.append(name)
            server.abort()

        if service == rig.MODEL:
            server = await self.rig.add_runner(script, name, 0, 80)
        else:
            server = await self.rig.add_server(script, name, service)
        return server

    def impose(self, *segments):
        entry = quarantine.Entry(segments)
        self.guard.merge_entry(self.now(), entry, "test")
        return entry

    def now(self):
        return asyncio.get_running_loop().time()

    async def test_a_request_that_ended_two_servers_gets_no_third(self):
        cases = [
            ("/draft/1", rig.MODEL, POISON),
            ("/draft/1", rig.MODEL, {}),
            ("/status/1", rig.CORE, {}),
        ]
        for path, service, headers in cases:
            with self.subTest(path, **headers):
                self.ended.clear()
                prefix = f"{service}{len(headers)}"
                for number in range(4):
                    await self.add_fragile(f"{prefix}-{number}", service)
                response = await self.rig.call(path, **headers)
                self.assertEqual(response.status, 502)
                self.assertEqual(
                    len(self.ended), retry_policy.MAX_ENDED_SERVER_COUNT
                )

    async def test_a_server_that_resets_requests_does_not_count_as_ended(self):
        for name in ("x", "y"):
            await self.rig.add_runner(stand_ins.reset, name, 0, 80)
        response = await self.rig.call("/draft/1", **POISON)
        self.assertEqual(response.status, 502)
        self.assertNotIn("server ended runs", self.rig.log.events())

    async def test_a_quarantined_request_is_refused_as_not_run(self):
        server = await self.rig.add_runner(streams.resumable, "x", 0, 80)
        self.impose("bad")
        response = await self.rig.call("/draft/1", **POISON)
        self.assertEqual(response.status, 503)
        self.assertIn(b'"quarantined"', response.body)
        self.assertGreaterEqual(float(response.head.get(b"retry-after")), 1.0)
        self.assertEqual(server.requests, [])
        (line,) = [f for e, f in self.rig.log.lines if e == "refused"]
        self.assertIn("bad", line["detail"])
        response = await self.rig.call("/draft/1", **SOUND)
        self.assertEqual(response.status, 200)

    async def test_a_request_that_waits_is_ended_by_the_verdict(self):
        server = await self.rig.add_runner(stand_ins.silent, "x", 0, 80)
        call = asyncio.ensure_future(self.rig.call("/draft/1", **POISON))
        await server.wait_for_request()
        self.impose("bad")
        # It may have run, so nothing else is said.
        self.assertEqual((await call).status, 502)
        await asyncio.wait_for(server.client_eof.wait(), 1.0)

    async def test_a_stream_that_has_survived_goes_on(self):
        begun = asyncio.Event()
        imposed = asyncio.Event()

        async def pausing(request, writer, number):
            writer.write(stand_ins.stream_head(request))
            writer.write(stand_ins.sse_chunk(1, 3))
            begun.set()
            await imposed.wait()
            writer.write(stand_ins.sse_chunk(4, 9) + streams.LAST_CHUNK)

        await self.rig.add_runner(pausing, "x", 0, 80)
        call = asyncio.ensure_future(self.rig.call("/draft/1", **POISON))
        await begun.wait()
        await asyncio.sleep(0.01)
        self.impose("bad")
        imposed.set()
        response = await call
        self.assertEqual(stand_ins.event_ids(response.body), list(range(1, 10)))

    async def test_a_verdict_between_two_attempts_prevents_the_second(self):
        async def ending(request, writer, number):
            self.impose("bad")
            await stand_ins.reset(request, writer, number)

        first = await self.rig.add_runner(ending, "x", 0, 80)
        second = await self.rig.add_runner(
            streams.resumable, "y", 0, 80, kind="whole-slow"
        )
        response = await self.rig.call("/draft/1", **POISON)
        self.assertEqual(response.status, 502)
        self.assertEqual((len(first.requests), len(second.requests)), (1, 0))

    async def test_a_stream_that_had_just_begun_is_not_resumed(self):
        async def beginning(request, writer, number):
            writer.write(stand_ins.stream_head(request))
            writer.write(stand_ins.sse_chunk(1, 1))
            await writer.drain()
            # The caller has the event before the verdict.
            await asyncio.sleep(0.01)
            self.impose("bad")
            first.abort()

        first = await self.rig.add_runner(beginning, "x", 0, 80)
        second = await self.rig.add_runner(
            streams.resumable, "y", 0, 80, kind="whole-slow"
        )
        with self.assertRaises(http_call.CallError):
            await self.rig.call("/draft/1", **POISON)
        self.assertEqual(second.requests, [])

    async def test_a_verdict_while_connecting_prevents_the_request(self):
        server = await self.rig.add_runner(streams.resumable, "x", 0, 80)
        connect = http_call.connect

        async def slow_connect(*arguments, **options):
            connection = await connect(*arguments, **options)
            self.impose("bad")
            return connection

        with mock.patch.object(http_call, "connect", slow_connect):
            raw = self.rig.format_request("/draft/1", **POISON)
            reader, writer = await asyncio.open_connection(
                *self.rig.address.split(":")
            )
            writer.write(raw)
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
        self.assertIn(b" 503 ", head)
        self.assertEqual(server.requests, [])

    async def test_a_trial_is_one_request_and_its_survival_ends_it(self):
        await self.rig.add_runner(streams.resumable, "x", 0, 80)
        entry = self.impose("bad")
        claims = []

        async def claim(found, request_id):
            claims.append(request_id)
            trial = found.changed(quarantine.State.TRIAL, trial_id=request_id)
            return self.guard.change(self.now(), trial, "trial")

        self.guard.claim_trial = claim
        self.guard.quarantines._local_by_segments[
            entry.segments
        ].requested_at = self.now() - quarantine.IDLE_SECONDS
        response = await self.rig.call("/draft/1", **POISON)
        self.assertEqual(response.status, 200)
        self.assertEqual(len(claims), 1)
        self.assertIsNone(self.guard.find(("bad",)))

    async def test_a_trial_that_ends_its_server_is_not_repeated(self):
        await self.add_fragile("x")
        other = await self.rig.add_runner(
            streams.resumable, "y", 0, 80, kind="whole-slow"
        )
        entry = self.impose("bad")
        trial = entry.changed(quarantine.State.TRIAL, trial_id="attempt-1")
        self.guard.merge_entry(self.now(), trial, "test")
        response = await self.rig.call("/draft/1", **POISON)
        self.assertEqual(response.status, 502)
        self.assertEqual(other.requests, [])
        await asyncio.sleep(0.01)

    async def test_a_malformed_list_is_logged_and_passed_on(self):
        server = await self.rig.add_runner(streams.resumable, "x", 0, 80)
        raw = b"0a:40,,bad"
        response = await self.rig.call("/draft/1", **{SEGMENTS: raw})
        self.assertEqual(response.status, 200)
        self.assertEqual(
            server.requests[0].headers["x-prompt-prefix"], raw.decode()
        )
        self.assertEqual(
            self.rig.log.events().count("prompt segments malformed"), 1
        )

    async def test_survivals_and_crashes_reach_the_guard(self):
        await self.rig.add_runner(streams.resumable, "x", 0, 80)
        await self.rig.call("/draft/1", **SOUND)
        self.assertEqual(len(self.guard._survivals), 1)
        self.rig.board.runs.begin(
            runs.Run("r1", rig.MODEL, ("bad",), ("x", 1), "h:1", self.now())
        )
        self.rig.failure_recorder.record_ended(self.now(), ("x", 1))
        (crash,) = self.guard.evidence.crashes()
        self.assertEqual(list(crash.suspect_by_id), ["r1"])
