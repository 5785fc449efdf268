"""How a router process ends requests that it cannot complete."""

import asyncio
import os
import signal
import unittest
from unittest import mock

import msgspec

from nutmeglift_gateway import admission
from nutmeglift_gateway import attempt_failures
from nutmeglift_gateway import drain
from nutmeglift_gateway import exchange
from nutmeglift_gateway import sender as senders
from nutmeglift_gateway import settings
from tests.gateway import router_case
from tests.gateway import stand_ins

WAIT_SECONDS = stand_ins.WAIT_SECONDS
LARGE = b"x" * 32 * 1024 * 1024
FIRST_CHUNK = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n"
format_request = router_case.format_request


class EndingsTest(router_case.RouterTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        for name, value in (("ACCEPT_SECONDS", 0.0), ("REFUSE_SECONDS", 0.0)):
            patch = mock.patch.object(drain, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def patch_exchanges(self, run):
        """Replaces the processing of requests by a coroutine function."""

        async def run_exchange(self):
            await run(self._connection, self._request)

        patch = mock.patch.object(exchange.Exchange, "run", run_exchange)
        patch.start()
        self.addCleanup(patch.stop)

    async def test_an_error_after_the_first_byte_is_recorded(self):
        async def fail(connection, request):
            connection.write(FIRST_CHUNK)
            raise ValueError("unexpected")

        self.patch_exchanges(fail)
        reader, _ = await self.send(format_request("one"))
        self.assertEqual(await self.read_to_end(reader), FIRST_CHUNK)
        self.check_unanswered(("one", "internal_error"))

    async def test_requests_behind_an_aborted_response_are_recorded(self):
        async def fail(connection, request):
            connection.write(FIRST_CHUNK)
            await asyncio.sleep(0)
            raise ValueError("unexpected")

        self.patch_exchanges(fail)
        reader, _ = await self.send(
            format_request("one"), format_request("two")
        )
        self.assertEqual(await self.read_to_end(reader), FIRST_CHUNK)
        self.check_unanswered(
            ("one", "internal_error"), ("two", "connection_aborted")
        )

    async def test_a_response_cut_by_the_end_of_the_drain_is_recorded(self):
        async def hang(connection, request):
            connection.write(FIRST_CHUNK)
            await asyncio.sleep(60)

        self.patch_exchanges(hang)
        reader, _ = await self.send(format_request("one"))
        received = await asyncio.wait_for(reader.readexactly(5), WAIT_SECONDS)
        with mock.patch.object(drain, "EXIT_MARGIN_SECONDS", 60.0):
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.wait_for(self.task, WAIT_SECONDS)
            received += await self.read_to_end(reader)
        self.assertEqual(received, FIRST_CHUNK)
        self.check_unanswered(("one", "drain_ended"))

    async def test_an_exchange_that_ends_without_a_response_is_recorded(self):
        async def do_nothing(connection, request):
            await asyncio.sleep(0)

        self.patch_exchanges(do_nothing)
        reader, _ = await self.send(format_request("one"))
        self.assertEqual(await self.read_to_end(reader), b"")
        self.check_unanswered(("one", "internal_error"))

    async def test_response_after_an_unexpected_error(self):
        await self.add_server(stand_ins.reset)
        cases = [
            # what fails, status for the caller, whether it may have run
            (admission, "admit", b"503", False),
            (senders.Sender, "connect", b"503", False),
            (attempt_failures.FailureHandler, "decide", b"502", True),
        ]
        for owner, name, status, may_have_run in cases:
            with (
                self.subTest(name),
                mock.patch.object(owner, name, side_effect=ValueError("x")),
            ):
                reader, writer = await self.send(format_request("one"))
                head = await asyncio.wait_for(
                    reader.readuntil(b"\r\n\r\n"), WAIT_SECONDS
                )
                writer.close()
                self.assertEqual(head.split(b" ")[1], status)
                self.assertEqual(b"retry-after" in head, not may_have_run)
                self.assertNotIn(b"connection: close", head)
        self.assertEqual(self.log.events().count("internal error"), len(cases))
        self.check_unanswered()

    async def test_responses_at_the_end_of_the_drain(self):
        async def hang(*args):
            await asyncio.sleep(60)

        await self.add_server(stand_ins.silent)
        sent = await self.send(format_request("sent"), format_request("next"))
        server = self.servers[0]
        await server.wait_for_request()
        with mock.patch.object(senders.Sender, "connect", hang):
            unsent = await self.send(format_request("unsent"))
            await self.wait_until(
                lambda: self.gateway.metrics.in_flight._value.get() == 2
            )
            with mock.patch.object(drain, "EXIT_MARGIN_SECONDS", 60.0):
                os.kill(os.getpid(), signal.SIGTERM)
                received = await self.read_to_end(sent[0])
                statuses = [
                    part[:3] for part in received.split(b"HTTP/1.1 ")[1:]
                ]
                self.assertEqual(statuses, [b"502", b"503"])
                self.assertEqual(received.count(b"connection: close"), 1)
                received = await self.read_to_end(unsent[0])
                self.assertEqual(received.split(b" ")[1], b"503")
                await asyncio.wait_for(self.task, WAIT_SECONDS)
        self.check_unanswered()
        self.assertNotIn("caller left", self.log.events())

    async def test_the_process_stays_until_responses_have_been_sent(self):
        async def respond(connection, request):
            connection.write(
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(LARGE)
                + LARGE
            )
            connection.finish(keep_alive=True)

        self.patch_exchanges(respond)
        reader, _ = await self.send(format_request("one"))
        head = await asyncio.wait_for(
            reader.readuntil(b"\r\n\r\n"), WAIT_SECONDS
        )
        os.kill(os.getpid(), signal.SIGTERM)
        await self.wait_for_event("draining")
        await asyncio.sleep(drain.FLUSH_SECONDS + 4 * drain.TICK_SECONDS)
        self.assertFalse(self.task.done())
        self.assertIn(b"200 OK", head)
        body = await asyncio.wait_for(
            reader.readexactly(len(LARGE)), WAIT_SECONDS
        )
        self.assertEqual(len(body), len(LARGE))
        await asyncio.wait_for(self.task, WAIT_SECONDS)
        self.assertEqual(self.lines("stopped"), [{"in_flight": 0, "unsent": 0}])

    async def test_the_process_stays_until_a_request_has_been_read(self):
        await self.add_server(stand_ins.healthy)
        raw = format_request("one")
        reader, writer = await self.send(raw[:-20])
        await self.wait_until(
            lambda: any(not c.is_idle for c in self.gateway._callers)
        )
        os.kill(os.getpid(), signal.SIGTERM)
        await self.wait_for_event("draining")
        await asyncio.sleep(4 * drain.TICK_SECONDS)
        writer.write(raw[-20:])
        received = await self.read_to_end(reader)
        self.assertEqual(received.split(b" ")[1], b"503")
        await asyncio.wait_for(self.task, WAIT_SECONDS)

    async def test_further_signals_during_a_drain(self):
        server = await self.add_server(stand_ins.silent)
        reader, _ = await self.send(format_request("one"))
        await server.wait_for_request()
        os.kill(os.getpid(), signal.SIGTERM)
        await self.wait_for_event("draining")
        for number, time_left in enumerate((0.0, 60.0), 1):
            bounds = settings.Bounds(shutdown_seconds=time_left)
            self.source.settings = msgspec.structs.replace(
                self.loaded, bounds=bounds
            )
            os.kill(os.getpid(), signal.SIGTERM)
            os.kill(os.getpid(), signal.SIGHUP)
            await self.wait_until(
                lambda n=number: len(self.lines("settings reloaded")) == n
            )
            await asyncio.sleep(2 * drain.TICK_SECONDS)
            self.assertFalse(self.task.done())
        received = await self.read_to_end(reader)
        self.assertEqual(received.split(b" ")[1], b"504")
        await asyncio.wait_for(self.task, WAIT_SECONDS)
        self.assertEqual(self.log.events().count("draining"), 1)

    async def test_a_half_written_file_changes_no_bounds(self):
        complete = self.loaded
        texts = [settings.Bounds(), complete.bounds]

        def load():
            bounds = texts.pop(0) if len(texts) > 1 else texts[0]
            return msgspec.structs.replace(complete, bounds=bounds)

        self.source.load = load
        seen = []
        self.gateway.board.set_bounds = seen.append
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGHUP)
        await self.wait_for_event("settings reloaded")
        self.assertEqual(seen, [complete.bounds])

    async def test_a_caller_that_leaves_is_not_recorded_as_unanswered(self):
        server = await self.add_server(stand_ins.silent)
        _, writer = await self.send(format_request("one"))
        await server.wait_for_request()
        writer.close()
        await self.wait_for_event("caller left")
        self.check_unanswered()


if __name__ == "__main__":
    unittest.main()
