"""Orders to runners over HTTP."""

import json
import unittest

from nutmeglift_gateway import directory
from nutmeglift_gateway import ports
from nutmeglift_platform import runners
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import virtual_time_case


class PlaceTestCase(virtual_time_case.VirtualTimeTestCase):
    async def place(self, status):
        """Returns the outcome of an order and the request that was received."""
        received = []

        async def respond(request, writer, number):
            received.append(request)
            writer.write(
                f"HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n".encode()
            )

        server = await stand_ins.ScriptedServer(respond).start()
        self.addCleanup(server.close)
        outcome = await runners.PlatformRunners().place(
            rig.make_server("i-1", address=server.address),
            directory.LayerRange(3, 8),
            5,
        )
        return outcome, received[0]


class PlaceTest(PlaceTestCase):
    async def test_outcomes_by_status(self):
        outcomes = ports.OrderOutcome
        cases = [
            (200, outcomes.DONE),
            (202, outcomes.BEGUN),
            (400, outcomes.REFUSED),
            (409, outcomes.CONFLICT),
            (412, outcomes.STALE_FENCE),
            (421, outcomes.MISDIRECTED),
        ]
        for status, expected in cases:
            with self.subTest(status):
                outcome, _ = await self.place(status)
                self.assertIs(outcome, expected)

    async def test_an_order_names_its_runner(self):
        _, request = await self.place(202)
        self.assertEqual(request.headers["x-expect-instance"], "i-1")
        body = json.loads(request.body)
        self.assertEqual((body["from"], body["target"]), (3, 8))


if __name__ == "__main__":
    unittest.main()
