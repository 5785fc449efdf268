"""A listing of the store whose pages never end."""

import asyncio
import json
import unittest

from nutmeglift import errors
from nutmeglift_platform import store
from tests.gateway import stand_ins
from tests.gateway import virtual_time_case

MAX_PAGE_COUNT = 200
"""Pages after which the listing counts as followed without end."""


class EndlessListingTest(virtual_time_case.VirtualTimeTestCase):
    async def test_pages_that_lead_no_further_end_the_listing(self):
        item = {"key": "servers/a", "revision": 5, "value": "", "lease": 0}
        page = {"items": [item], "more_pages": True, "store_revision": 9}
        raw = json.dumps(page).encode()
        too_many = asyncio.Event()

        async def script(request, writer, number):
            writer.write(
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b"
                % (len(raw), raw)
            )
            if number > MAX_PAGE_COUNT:
                too_many.set()

        server = stand_ins.ScriptedServer(script, keep_alive=True)
        await server.start()
        self.addCleanup(server.close)
        client = store.PlatformKv(server.address, 1.0)
        listing = asyncio.ensure_future(client.snapshot("servers/"))
        waiting = asyncio.ensure_future(too_many.wait())
        await asyncio.wait(
            [listing, waiting], return_when=asyncio.FIRST_COMPLETED
        )
        waiting.cancel()
        listing.cancel()
        await asyncio.wait([listing])
        self.assertFalse(
            too_many.is_set(), f"{MAX_PAGE_COUNT} pages with the same key"
        )
        self.assertIsInstance(listing.exception(), errors.KvAnswerLostError)


if __name__ == "__main__":
    unittest.main()
