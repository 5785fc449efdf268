"""How streams end after they broke off, and when they are complete."""

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
