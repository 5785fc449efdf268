"""Responses of servers whose status HTTP doesn't have: they are no answers."""

import dataclasses
import unittest

from nutmeglift import ids
from nutmeglift_gateway import http_call
from nutmeglift_gateway import ports
from nutmeglift_platform import runners
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import test_exchange_stream as streams
from tests.gateway import test_platform_runners
from tests.gateway import test_second_attempts as second

STATUSES = ("000", "001", "099", "101", "600", "999")


def invalid(status, **headers):
    """Returns a script that answers with a status, else as a sound server."""

    async def script(request, writer, number):
        raw = stand_ins.complete_response(request, **headers)
        writer.write(raw.replace(b" 200 ", f" {status} ".encode(), 1))

    return script


def in_order(*scripts):
    """Returns a script for several servers; each request gets the next one."""
    left = list(scripts)

    async def script(request, writer, number):
        await left.pop(0)(request, writer, number)

    return script


class InvalidStatusTest(second.SecondAttemptTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.requests = []

    async def add(self, *scripts, runner=False):
        """Adds as many servers as there are scripts; any may be used first."""
        script = in_order(*scripts)

        async def run(request, writer, number):
            self.requests.append(request)
            await script(request, writer, number)

        self.rig.board.directory.replace_all(0.0, [])
        self.requests.clear()
        for number in range(len(scripts)):
            if runner:
                await self.rig.add_runner(run, f"r{number}", 0, 80)
            else:
                await self.rig.add_server(run, f"s{number}")

    async def test_a_call_that_may_not_be_repeated_has_an_unknown_outcome(self):
        for status in STATUSES:
            with self.subTest(status):
                await self.add(invalid(status), stand_ins.healthy)
                response = await self.rig.call("/release/1")
                self.assertEqual(response.status, 502)
                self.assertEqual(len(self.requests), 1)

    async def test_a_call_that_may_be_repeated_is_sent_to_another_server(self):
        for status in STATUSES:
            with self.subTest(status):
                await self.add(invalid(status), stand_ins.healthy)
                response = await self.rig.call("/status/1")
                self.assertEqual(response.status, 200)
                self.assertEqual(len(self.requests), 2)

    async def test_no_such_response_says_that_a_request_did_not_run(self):
        for status in STATUSES:
            with self.subTest(status):
                script = invalid(status, x_not_executed="1", retry_after="9")
                await self.add(script, stand_ins.healthy)
                response = await self.rig.call("/release/1")
                self.assertEqual(response.status, 502)
                self.assertEqual(self.rig.board.hold_offs.count, 0)

    async def test_a_stream_before_its_first_event(self):
        for status in STATUSES:
            with self.subTest(status):
                script = invalid(status, content_type="text/event-stream")
                await self.add(script, streams.stream(1, 9), runner=True)
                self.assertEqual(await self.event_ids(), list(range(1, 10)))

    async def test_a_stream_that_is_resumed_after_its_first_event(self):
        route = dataclasses.replace(rig.STREAM, max_attempts=3)
        for status in STATUSES:
            with self.subTest(status):
                await self.add(
                    streams.stream(1, 3, end=None),
                    invalid(status, content_type="text/event-stream"),
                    streams.resumable,
                    runner=True,
                )
                self.rig.board.set_catalog(
                    ids.Revision(3), rig.make_catalog(routes=(route,))
                )
                self.assertEqual(await self.event_ids(), list(range(1, 10)))
                self.assertEqual(len(self.requests), 3)

    async def test_a_stream_whose_last_attempt_gets_one_does_not_look_whole(
        self,
    ):
        await self.add(
            streams.stream(1, 3, end=None), invalid("000"), runner=True
        )
        with self.assertRaises(http_call.CallError):
            await self.rig.call("/draft/1")

    async def test_a_second_attempt_and_one_beside_a_second(self):
        orders = {
            "second": (second.late(stand_ins.healthy), invalid("000")),
            "first": (
                second.late(invalid("000")),
                second.late(stand_ins.healthy),
            ),
        }
        for name, scripts in orders.items():
            with self.subTest(name):
                await self.add(*scripts)
                response = await self.rig.call("/status/1")
                self.assertEqual(response.status, 200)
                self.assertEqual(len(self.requests), 2)

    async def test_a_second_attempt_at_a_stream(self):
        sound = second.late(streams.stream(1, 9))
        orders = {
            "second": (sound, invalid("000")),
            "first": (second.late(invalid("000")), sound),
        }
        for name, scripts in orders.items():
            with self.subTest(name):
                await self.add(*scripts, runner=True)
                self.assertEqual(await self.event_ids(), list(range(1, 10)))
                self.assertEqual(len(self.requests), 2)


class ControlCallTest(test_platform_runners.PlaceTestCase):
    async def test_an_order_has_an_unknown_outcome(self):
        for status in (0, 99, 600, 999):
            with self.subTest(status):
                outcome, _ = await self.place(f"{status:03}")
                self.assertIs(outcome, ports.OrderOutcome.UNKNOWN)

    async def test_a_report_is_unavailable(self):
        async def respond(request, writer, number):
            writer.write(b"HTTP/1.1 000 X\r\ncontent-length: 2\r\n\r\n{}")

        server = await stand_ins.ScriptedServer(respond).start()
        self.addCleanup(server.close)
        with self.assertRaises(ports.RunnerUnavailableError) as caught:
            await runners.PlatformRunners().report(server.address)
        self.assertIn("malformed", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
