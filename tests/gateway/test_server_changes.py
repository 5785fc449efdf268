"""Entries of servers that change while a request is sent to them."""

import unittest
from unittest import mock

from nutmeglift import ids
from nutmeglift_gateway import http_call
from tests.gateway import stand_ins
from tests.gateway import virtual_time_case

OTHER = ids.ServiceId("other")
OK = 200
CONNECT = http_call.connect

# Name, changed fields of the server's entry (None: the entry is removed), and
# the status of the request. The server is the only one.
CASES = [
    ("unchanged", {}, 200),
    ("more slots", {"slots": 7}, 200),
    ("another service", {"service": OTHER}, 503),
    ("another address", {"address": "127.0.0.1:1"}, 503),
    ("restarted", {"born": 2}, 503),
    ("removed", None, 503),
]


class ServerChangeTest(virtual_time_case.VirtualTimeTestCase):
    async def check(self, changes, status):
        gateway = stand_ins.GatewayRig()
        self.addAsyncCleanup(gateway.stop)
        await gateway.start()
        server = await gateway.add_server(stand_ins.healthy, "i-1")

        async def connect(address, *args):
            connection = await CONNECT(address, *args)
            if address == server.address:
                if changes is None:
                    gateway.board.directory.remove(0.0, "i-1")
                else:
                    gateway.register("i-1", **({"address": address} | changes))
            return connection

        with mock.patch.object(http_call, "connect", connect):
            response = await gateway.call("/release/1")
        self.assertEqual(response.status, status)
        self.assertEqual(len(server.requests), int(response.status == OK))

    async def test_a_request_reaches_the_server_that_was_selected(self):
        for name, changes, status in CASES:
            with self.subTest(name):
                await self.check(changes, status)


if __name__ == "__main__":
    unittest.main()
