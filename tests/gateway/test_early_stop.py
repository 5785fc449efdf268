"""Routers that get SIGTERM before their event loops run."""

import asyncio
import unittest

from nutmeglift_gateway import drain
from nutmeglift_platform import names
from tests.gateway import router_case
from tests.gateway import stand_ins

GRACE_SECONDS = 8.0
ROUNDING_SECONDS = 1e-6


class EarlyStopTest(router_case.RouterTestCase):
    shutdown_seconds = GRACE_SECONDS

    async def answer(self, request, writer, number):
        writer.write(stand_ins.complete_response(request))

    async def restart(self, early_signal_age):
        await self.stop()
        self.early_signal_age = early_signal_age
        await self.asyncSetUp()

    async def test_requests_and_the_exit_count_from_the_signal(self):
        # They counted from the moment at which the event loop ran.
        cases = [
            # seconds from SIGTERM to the loop, status of a request
            (0.0, b"200"),
            (drain.REFUSE_SECONDS - 0.5, b"200"),
            (drain.REFUSE_SECONDS + 0.05, b"503"),
            (drain.REFUSE_SECONDS + 1.0, b"503"),
            (GRACE_SECONDS - drain.EXIT_MARGIN_SECONDS, b"503"),
            (GRACE_SECONDS, b"503"),
        ]
        for age, status in cases:
            with self.subTest(age=age):
                loop = asyncio.get_running_loop()
                exit_after = GRACE_SECONDS - drain.EXIT_MARGIN_SECONDS - age
                earliest = loop.time() + exit_after
                await self.restart(age)
                latest = loop.time() + exit_after
                await self.add_server(self.answer)
                reader, writer = await self.send(
                    router_case.format_request("one")
                )
                response = await self.read_to_end(reader)
                writer.close()
                self.assertEqual(response.split(b" ")[1], status)
                exit_at = self.gateway.board.exit_at
                self.assertGreaterEqual(exit_at + ROUNDING_SECONDS, earliest)
                self.assertLessEqual(exit_at - ROUNDING_SECONDS, latest)
                await asyncio.wait_for(self.task, router_case.WAIT_SECONDS)

    async def test_it_is_never_ready(self):
        await self.restart(0.0)
        host, _, port = self.loaded.listen.readiness.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(
            f"GET {names.READINESS_PATH} HTTP/1.1\r\nhost: r\r\n\r\n".encode()
        )
        response = await self.read_to_end(reader)
        self.assertEqual(response.split(b" ")[1], b"503")


if __name__ == "__main__":
    unittest.main()
