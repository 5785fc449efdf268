"""Requests that reach another server than the one they are for."""

import dataclasses
import unittest

from tests.gateway import stand_ins
from tests.gateway import test_exchange_stream as streams


class MisdirectedRequestTest(streams.StreamTestCase):
    async def test_a_runner_that_is_another_one_is_asked_and_not_full(self):
        # The address was taken for full, so that no request reached the sound
        # runner there, and nothing found out that the entry is made up.
        async def serve_as_real(request, writer, number):
            if request.headers["x-expect-instance"] == "real":
                await streams.stream(1, 9)(request, writer, number)
                return
            named = {"at_server": server.address} if names_itself else {}
            writer.write(
                stand_ins.complete_response(
                    request, status=421, x_not_executed="1", **named
                )
            )

        for names_itself in (False, True):
            with self.subTest(names_itself=names_itself):
                self.rig.board.directory.replace_all(0.0, [])
                server = await self.rig.add_runner(
                    serve_as_real, "real", 0, 80, born=5
                )
                listed = self.rig.board.directory
                real = listed.server_by_id["real"]
                forged = dataclasses.replace(real, id="forged", born=9)
                listed.put(0.0, forged)
                response = await self.rig.call("/draft/1")
                self.assertEqual(response.status, 503)
                suspects = self.rig.board.suspect_servers.suspects()
                self.assertEqual(suspects[server.address], forged.lifetime)
                # The prober reads the runner's report.
                listed.reject_lifetime(0.0, forged, real.born)
                self.assertEqual(await self.event_ids(), list(range(1, 10)))


if __name__ == "__main__":
    unittest.main()
