"""Successors of silent attempts: what they may cost and take over."""

import asyncio

from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import test_exchange_stream as streams
from tests.gateway import test_silent_servers as silent_servers


async def wait_until(condition):
    """Waits until a condition on the servers or the log holds."""
    async with asyncio.timeout(stand_ins.WAIT_SECONDS):
        while not condition():  # noqa: ASYNC110 - over the network.
            await asyncio.sleep(0.01)


class SuccessorTest(streams.StreamTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.wakes = asyncio.Event()

    def suspect(self, runner, reason):
        self.rig.failure_recorder.record_by_address(
            runner.address, reason, "test"
        )

    async def test_an_older_entry_at_its_address_does_not_cut_a_stream(self):
        # The store has come back from a copy that is some seconds old.
        first = await self.rig.add_runner(
            silent_servers.silent_until(self.wakes), "x", 0, 80, born=2
        )
        call = asyncio.ensure_future(self.event_ids())
        await first.wait_for_request()
        directory_ = self.rig.board.directory
        directory_.remove_lifetime(directory_.server_by_id["x"])
        self.rig.register("before", first.address, rig.MODEL, born=1)
        await asyncio.sleep(0.6)
        self.wakes.set()
        self.assertEqual(await call, silent_servers.ALL_EVENTS)
