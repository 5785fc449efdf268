"""How streams end after they broke off, and when they are complete."""

import asyncio

from nutmeglift_gateway import http_call
from tests.gateway import stand_ins
from tests.gateway import test_exchange_stream as streams


class StreamEndTest(streams.StreamTestCase):
    async def test_an_interrupted_stream_never_ends_with_another_response(self):
        async def without_events(request, writer, number):
            writer.write(stand_ins.complete_response(request, b"{}"))

        async def forbidden(request, writer, number):
            writer.write(stand_ins.complete_response(request, b"no", 403))

        async def server_error(request, writer, number):
            writer.write(stand_ins.complete_response(request, b"no", 500))

        for script in (without_events, forbidden, server_error):
            with self.subTest(script=script):
                await self.asyncSetUp()
                await self.rig.add_runner(
                    streams.stream(1, 3, None), "x", 0, 80
                )
                await self.rig.add_runner(script, "y", 0, 80, domain="b")
                with self.assertRaises(http_call.CallError):
                    await self.rig.call("/draft/1")
                self.assertIn("stream cut", self.rig.log.events())
                await self.rig.stop()

    async def test_a_caller_that_has_all_events_gets_the_end_of_the_stream(
        self,
    ):
        await self.rig.add_runner(streams.stream(10, 9), "x", 0, 80)
        self.assertEqual(await self.event_ids(last_event_id=b"9"), [])

    def unframed(self, first, last, tail=b"", end=None):
        """Returns a script whose stream has neither a length nor chunks."""

        async def script(request, writer, number):
            head = stand_ins.stream_head(request).replace(
                b"transfer-encoding: chunked\r\n", b""
            )
            events = b"".join(
                b"id: %d\ndata: t\n\n" % n for n in range(first, last + 1)
            )
            writer.write(head + events + tail)
            await writer.drain()
            await asyncio.sleep(0.01)
            if end is not None:
                end(writer)

        return script

    async def test_a_stream_that_ends_with_its_connection_is_whole(self):
        await self.rig.add_runner(self.unframed(1, 9), "x", 0, 80)
        self.assertEqual(await self.event_ids(), list(range(1, 10)))

    async def test_an_unframed_stream_that_broke_off_never_looks_complete(self):
        reset = stand_ins.reset_connection
        cases = [
            ("reset between events", self.unframed(1, 3, end=reset)),
            ("reset within an event", self.unframed(1, 3, b"id: 4", reset)),
            ("ended within an event", self.unframed(1, 3, b"id: 4\ndata")),
            ("ended within the first event", self.unframed(1, 0, b"id: 1")),
            ("ended before the first event", self.unframed(1, 0)),
        ]
        for name, script in cases:
            with self.subTest(name):
                await self.asyncSetUp()
                await self.rig.add_runner(script, "x", 0, 80)
                try:
                    response = await self.rig.call("/draft/1")
                except http_call.CallError:
                    continue
                finally:
                    await self.rig.stop()
                self.assertEqual(response.status, 502)

    async def test_a_stream_whose_head_is_cut_short_is_no_answer(self):
        async def cut_head(request, writer, number):
            head = stand_ins.stream_head(request)
            writer.write(head[: len(head) - number * 9])

        await self.rig.add_runner(cut_head, "x", 0, 80)
        for _ in range(4):
            response = await self.rig.call("/draft/1")
            self.assertEqual(response.status, 502)

    async def test_streams_that_broke_off_are_spread_over_failure_domains(self):
        await self.rig.add_runner(streams.stream(1, 3, end=None), "x", 0, 80)
        others = [
            await self.rig.add_runner(
                streams.resumable, name, 0, 80, domain=name
            )
            for name in "bcd"
        ]
        for _ in range(12):
            self.assertEqual(await self.event_ids(), list(range(1, 10)))
        counts = [len(other.requests) for other in others]
        self.assertEqual(sum(counts), 12)
        self.assertLess(max(counts), 9)
