"""Requests to plain services, before servers that fail in every way."""

import asyncio
import unittest

from nutmeglift_gateway import control_client
from nutmeglift_gateway import directory
from nutmeglift_gateway import http_call
from tests.gateway import rig
from tests.gateway import stand_ins


async def half(request, writer, number):
    answer = stand_ins.whole(request, b"0123456789")
    writer.write(answer[:-5])


async def half_and_reset(request, writer, number):
    writer.write(stand_ins.whole(request, b"0123456789")[:-5])
    await writer.drain()
    stand_ins.drop(writer)


async def crossed(request, writer, number):
    request.headers["x-attempt-id"] = "another"
    writer.write(stand_ins.whole(request))


async def nameless(request, writer, number):
    del request.headers["x-attempt-id"]
    answer = stand_ins.whole(request)
    writer.write(answer.replace(b"x-attempt-id: \r\n", b""))


async def garbage(request, writer, number):
    writer.write(b"\x00\x01 no answer at all\r\n\r\n")


async def twice(request, writer, number):
    writer.write(stand_ins.whole(request) + stand_ins.whole(request, b"more"))


async def until_close(request, writer, number):
    answer = stand_ins.whole(request, b"0123456789")
    writer.write(answer.replace(b"content-length: 10\r\n", b""))


async def until_reset(request, writer, number):
    await until_close(request, writer, number)
    await writer.drain()
    await asyncio.sleep(0.05)
    stand_ins.drop(writer)


async def failing(request, writer, number):
    writer.write(stand_ins.whole(request, b"broken", 500))


async def busy_but_ran(request, writer, number):
    writer.write(stand_ins.whole(request, b"", 503))


async def denied(request, writer, number):
    writer.write(stand_ins.whole(request, b"no", 403))


class PlainCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.rig = stand_ins.GatewayRig()
        await self.rig.start()
        self.addAsyncCleanup(self.rig.stop)


class UnsafeTest(PlainCase):
    async def test_answers_of_one_server(self):
        cases = [
            # script, status for the caller, body or None for our own
            (stand_ins.sound, 200, b"done"),
            (twice, 200, b"done"),
            (until_close, 200, b"0123456789"),
            (denied, 403, b"no"),
            (failing, 500, b"broken"),
            (half, 502, None),
            (half_and_reset, 502, None),
            (until_reset, 502, None),
            (crossed, 502, None),
            (nameless, 502, None),
            (garbage, 502, None),
            (stand_ins.reset, 502, None),
            (busy_but_ran, 502, None),
            (stand_ins.not_run(), 503, None),
        ]
        for script, status, body in cases:
            with self.subTest(script.__name__):
                server = await self.rig.add(script, "only")
                answer = await self.rig.call("/release/1")
                self.assertEqual(answer.status, status)
                self.assertEqual(len(server.seen), 1)
                if body is None:
                    self.assertIsNone(answer.head.get(b"x-response-seal"))
                else:
                    self.assertEqual(answer.body, body)
                    self.assertEqual(
                        answer.head.get(b"x-response-seal"), b"seal"
                    )

    async def test_headers_of_an_extra_answer_are_not_passed_on(self):
        await self.rig.add(twice, "only")
        answer = await self.rig.call("/release/1")
        names = [name for name, _ in answer.head.headers]
        self.assertEqual(len(names), len(set(names)), names)

    async def test_silence_ends_at_the_deadline_as_unknown(self):
        server = await self.rig.add(stand_ins.silent, "only")
        answer = await self.rig.call("/release/1", x_deadline_ms=b"200")
        self.assertEqual(answer.status, 504)
        await asyncio.wait_for(server.lost.wait(), stand_ins.WAIT_SECONDS)

    async def test_another_server_is_tried_only_when_nothing_ran(self):
        cases = [
            (stand_ins.not_run(), 200, 1),
            (stand_ins.reset, 502, 0),
            (half, 502, 0),
            (crossed, 502, 0),
            (failing, 500, 0),
        ]
        for number, (script, status, second) in enumerate(cases):
            with self.subTest(script.__name__):
                one = await self.rig.add(script, "a")
                other = await self.rig.add(stand_ins.sound, "b", domain="far")
                answer = await self.rig.call("/release/1")
                self.assertEqual(answer.status, status, number)
                self.assertEqual(len(one.seen), 1)
                self.assertEqual(len(other.seen), second)

    async def test_a_refused_connection_is_no_attempt(self):
        gone = await self.rig.add(stand_ins.sound, "a")
        gone.close()
        other = await self.rig.add(stand_ins.sound, "b", domain="far")
        answer = await self.rig.call("/release/1")
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(other.seen), 1)

    async def test_no_server(self):
        answer = await self.rig.call("/release/1")
        self.assertEqual(answer.status, 503)
        self.assertIsNotNone(answer.head.get(b"retry-after"))

    async def test_a_leaving_server_gets_nothing(self):
        draining = directory.ServerState.DRAINING
        server = await self.rig.add(stand_ins.sound, "a", state=draining)
        answer = await self.rig.call("/release/1")
        self.assertEqual(answer.status, 503)
        self.assertEqual(server.seen, [])


class SafeTest(PlainCase):
    async def test_what_is_repeated(self):
        cases = [
            (failing, 200, 1),
            (half, 200, 1),
            (crossed, 200, 1),
            (stand_ins.reset, 200, 1),
            (stand_ins.not_run(), 200, 1),
            (denied, 403, 0),
        ]
        for script, status, second in cases:
            with self.subTest(script.__name__):
                one = await self.rig.add(script, "a")
                other = await self.rig.add(stand_ins.sound, "b", domain="far")
                answer = await self.rig.call("/status/1", "GET", body=b"")
                self.assertEqual(answer.status, status)
                self.assertEqual(len(one.seen), 1)
                self.assertEqual(len(other.seen), second)

    async def test_no_more_than_the_routes_attempts(self):
        servers = [await self.rig.add(failing, name) for name in "abc"]
        answer = await self.rig.call("/status/1", "GET", body=b"")
        self.assertEqual(answer.status, 500)
        self.assertEqual(sum(len(s.seen) for s in servers), 2)

    async def test_an_empty_budget_ends_repeats(self):
        self.rig.board.budget(rig.CORE).set_bounds(
            ratio=0.0, slack=0.0, window=10.0
        )
        one = await self.rig.add(stand_ins.reset, "a")
        other = await self.rig.add(stand_ins.sound, "b", domain="far")
        answer = await self.rig.call("/status/1", "GET", body=b"")
        self.assertEqual(answer.status, 502)
        self.assertEqual((len(one.seen), len(other.seen)), (1, 0))


class ForwardingTest(PlainCase):
    async def test_what_a_server_gets(self):
        server = await self.rig.add(stand_ins.sound, "only")
        await self.rig.call(
            "/release/a%20b?x=1&y=2",
            body=b"payload",
            x_tenant=b"forged",
            x_expect_instance=b"forged",
            x_hop_count=b"forged",
            x_other=b"kept",
            connection=b"keep-alive, x-private",
            x_private=b"dropped",
        )
        (seen,) = server.seen
        self.assertEqual(seen.head, "POST /release/a%20b?x=1&y=2 HTTP/1.1")
        self.assertEqual(seen.body, b"payload")
        expected = {
            "host": "desk.example",
            "x-attempt-id": "attempt-1",
            "x-tenant": "bank-1",
            "x-expect-instance": "only",
            "x-other": "kept",
            "x-api-key": None,
            "x-hop-count": None,
            "x-private": None,
        }
        for name, value in expected.items():
            with self.subTest(name):
                self.assertEqual(seen.headers.get(name), value)
        self.assertLessEqual(int(seen.headers["x-deadline-ms"]), 1000)

    async def test_a_caller_that_leaves_cancels_its_request(self):
        server = await self.rig.add(stand_ins.silent, "only")
        connection = await http_call.connect(self.rig.address)
        collector = asyncio.ensure_future(
            control_client.exchange(
                connection, "POST", self.rig.format("/release/1"), 9.0
            )
        )
        await server.wait_for_request()
        collector.cancel()
        await asyncio.wait_for(server.lost.wait(), stand_ins.WAIT_SECONDS)


if __name__ == "__main__":
    unittest.main()
