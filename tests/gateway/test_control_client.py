"""Control calls to servers whose bytes never end or belong to no call."""

import asyncio
import contextlib
import unittest

from nutmeglift import errors
from nutmeglift_gateway import body_buffer
from nutmeglift_gateway import control_client
from nutmeglift_gateway import http_call
from nutmeglift_gateway import ports
from nutmeglift_platform import runners
from nutmeglift_platform import store
from tests.gateway import endless
from tests.gateway import stand_ins
from tests.gateway import virtual_time_case

CASES = (
    endless.HEAD_CASES
    | endless.FRAMING_CASES
    | endless.BODY_CASES
    | {"garbage": endless.NO_REQUEST_CASES["garbage"]}
)
TIMEOUT_SECONDS = 5.0
"""Longer than any of these calls takes if its limit ends it."""
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b"


def response(body):
    """Returns the bytes of a response with a body."""
    return RESPONSE % (len(body), body)


class EndlessCallTest(virtual_time_case.VirtualTimeTestCase):
    async def _start(self, case, **options):
        server = await endless.EndlessServer(*case, **options).start()
        self.addCleanup(server.close)
        return server

    async def test_calls_end_at_a_limit_and_not_at_their_timeout(self):
        for name, case in CASES.items():
            with self.subTest(name):
                server = await self._start(case)
                client = control_client.ControlClient(server.address)
                with self.assertRaises(http_call.CallError) as raised:
                    await client.call("GET", "/", timeout=TIMEOUT_SECONDS)
                self.assertIs(
                    raised.exception.failure, http_call.CallFailure.MALFORMED
                )
                await asyncio.wait_for(server.ended.wait(), TIMEOUT_SECONDS)
                self.assertEqual(body_buffer.SHARED_BUDGET.used, 0)

    async def test_the_store_counts_as_unanswered(self):
        server = await self._start(endless.BODY_CASES["chunks"])
        client = store.PlatformKv(server.address, TIMEOUT_SECONDS)
        with self.assertRaises(errors.KvAnswerLostError) as raised:
            await client.snapshot("p/")
        self.assertIn("the body is too large", str(raised.exception))

    async def test_a_runner_without_a_valid_report_is_unavailable(self):
        for name in endless.BODY_CASES:
            with self.subTest(name):
                server = await self._start(endless.BODY_CASES[name])
                with self.assertRaises(ports.RunnerUnavailableError) as raised:
                    await runners.PlatformRunners().report(server.address)
                self.assertNotIn("timeout", str(raised.exception))

    async def test_a_head_sent_byte_by_byte_ends_at_the_timeout(self):
        async def trickle(request, writer, number):
            writer.write(b"HTTP/1.1 200 OK\r\na: ")
            while True:
                writer.write(b"b")
                await asyncio.sleep(0.001)

        server = await stand_ins.ScriptedServer(trickle).start()
        self.addCleanup(server.close)
        client = control_client.ControlClient(server.address)
        with self.assertRaises(http_call.CallError) as raised:
            await client.call("GET", "/", timeout=0.1)
        self.assertIs(raised.exception.failure, http_call.CallFailure.TIMEOUT)
        await asyncio.wait_for(server.client_eof.wait(), TIMEOUT_SECONDS)


class SlowCallTest(virtual_time_case.VirtualTimeTestCase):
    """Large responses of the store on a slow link."""

    async def _call(self, sizes, interval, max_seconds=10.0):
        """Calls a server that sends pieces of a body at an interval."""

        async def script(request, writer, number):
            total = sum(sizes)
            writer.write(
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % total
            )
            for size in sizes:
                writer.write(b"x" * size)
                await asyncio.sleep(interval)
            await asyncio.sleep(60.0)

        server = await stand_ins.ScriptedServer(script).start()
        self.addCleanup(server.close)
        client = control_client.ControlClient(server.address)
        self.addCleanup(client.close)
        started_at = asyncio.get_running_loop().time()
        try:
            found = await client.call(
                "GET", "/", timeout=1.0, max_seconds=max_seconds
            )
            received = len(found.body)
        except http_call.CallError as error:
            self.assertIs(error.failure, http_call.CallFailure.TIMEOUT)
            received = None
        return received, asyncio.get_running_loop().time() - started_at

    async def test_which_responses_are_read_to_their_end(self):
        large = [50_000] * 20
        cases = [
            # pieces, interval, longest time, complete, seconds at most
            ("fast", large, 0.01, 10.0, True, 1.0),
            ("slow", large, 0.3, 10.0, True, 7.0),
            ("stalled", [50_000, *[0] * 60, 1], 0.1, 10.0, False, 2.1),
            ("a byte now and then", [1] * 300, 0.1, 10.0, False, 1.1),
            ("too slow", large, 0.9, 10.0, False, 10.1),
            ("not allowed longer", large, 0.3, 0.0, False, 1.1),
        ]
        for name, sizes, interval, longest, complete, seconds in cases:
            with self.subTest(name):
                received, took = await self._call(sizes, interval, longest)
                self.assertEqual(received, sum(sizes) if complete else None)
                self.assertLessEqual(took, seconds)

    async def test_a_large_configuration_on_a_slow_link(self):
        value = b"x" * 900_000
        body = store.msgspec.json.encode(
            {"key": "k", "revision": 5, "value": value}
        )

        async def script(request, writer, number):
            writer.write(
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
            )
            for start in range(0, len(body), 50_000):
                writer.write(body[start : start + 50_000])
                await asyncio.sleep(0.1)

        server = await stand_ins.ScriptedServer(script).start()
        self.addCleanup(server.close)
        client = store.PlatformKv(server.address, 1.0)
        entry = await client.get("k")
        self.assertEqual(entry.value, value)


class ExtraBytesTest(virtual_time_case.VirtualTimeTestCase):
    async def test_extra_bytes_are_not_the_next_response(self):
        extra = response(b"extra")
        cases = {
            "a response": extra,
            "the begin of a response": extra[:-1],
            "the begin of a head": extra[:10],
            "garbage": b"\x00\x01",
            "an empty line": b"\r\n",
        }
        for name, sent in cases.items():
            for apart in (False, True):
                with self.subTest(name, apart=apart):
                    await self._call_twice(sent, extra[len(sent) :], apart)

    async def _call_twice(self, sent, rest, apart):
        """Sends extra bytes after the first response, the rest later."""

        async def script(request, writer, number):
            if len(server.requests) > 1:
                writer.write(rest + response(b"second"))
                return
            writer.write(response(b"first") + (b"" if apart else sent))
            if apart:
                await asyncio.sleep(0)
                writer.write(sent)

        server = stand_ins.ScriptedServer(script, keep_alive=True)
        await server.start()
        self.addCleanup(server.close)
        client = control_client.ControlClient(server.address)
        self.addCleanup(client.close)
        first = await client.call("GET", "/1", timeout=TIMEOUT_SECONDS)
        self.assertEqual(first.body, b"first")
        await asyncio.sleep(0.02 if apart else 0)
        with contextlib.suppress(http_call.CallError):
            second = await client.call("GET", "/2", timeout=0.3)
            self.assertNotEqual(second.body, b"extra")


if __name__ == "__main__":
    unittest.main()
