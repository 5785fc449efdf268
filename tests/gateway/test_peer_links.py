"""Links between two routers over real connections."""

import asyncio
import unittest
from unittest import mock

from websockets.asyncio import server

from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import peer_links
from nutmeglift_gateway import peer_messages
from nutmeglift_gateway import store_reader
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import test_whole_gateway
from tests.gateway import virtual_time_case


class Router:
    """A router's links, without its other parts."""

    def __init__(self, vm):
        self.vm = vm
        self.address = f"127.0.0.1:{test_whole_gateway.free_port()}"
        self.log = rig.MemoryLog()
        self.board = rig.make_board()
        self.reader = store_reader.StoreReader(
            kv.MemoryKv(), rig.MemorySchema(), self.board, self.log, None, vm
        )
        self.links = peer_links.PeerLinks(
            self.board, self.reader, vm, self.log, rig.make_rng()
        )
        self.tasks = []

    def start(self, routers):
        self.board.router_by_name = {r.vm: r.address for r in routers}
        for work in (self.links.serve(self.address), self.links.dial()):
            self.tasks.append(asyncio.ensure_future(work))

    def stop(self):
        for task in self.tasks:
            task.cancel()


class PeerLinksTest(virtual_time_case.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.one, self.two = Router("one"), Router("two")
        for router in (self.one, self.two):
            router.start([self.one, self.two])
            self.addCleanup(router.stop)

    async def wait_until_linked(self):
        """Waits until both routers have received a new report."""
        received = {"one": asyncio.Event(), "two": asyncio.Event()}
        decode = peer_messages.decode

        def decode_and_record(raw):
            message = decode(raw)
            if isinstance(message, peer_messages.PeerReport):
                received[message.vm].set()
            return message

        with mock.patch.object(peer_messages, "decode", decode_and_record):
            async with asyncio.timeout(stand_ins.WAIT_SECONDS):
                for event in received.values():
                    await event.wait()

    async def test_reports_are_exchanged(self):
        await self.wait_until_linked()

    async def test_a_link_is_opened_again_after_an_unexpected_error(self):
        await self.wait_until_linked()
        failures = [KeyError("kind"), KeyError("kind")]

        decode = peer_messages.decode

        def fail(raw):
            if failures:
                raise failures.pop()
            return decode(raw)

        with mock.patch.object(peer_messages, "decode", fail):
            async with asyncio.timeout(stand_ins.WAIT_SECONDS):
                while failures:  # noqa: ASYNC110 - over the network.
                    await asyncio.sleep(0.01)
        await self.wait_until_linked()
        self.assertIn("peer link failed", self.one.log.events())

    async def test_a_router_that_loses_its_entry_is_heard_until_it_ends(self):
        await self.wait_until_linked()
        self.one.board.router_by_name = {"one": self.one.address}
        await asyncio.sleep(3.0)
        await self.wait_until_linked()
        self.two.stop()
        await asyncio.sleep(3.0)
        self.assertEqual(self.one.links._task_by_peer, {})

    async def test_cancelled_links_end_at_once(self):
        await self.wait_until_linked()
        for router in (self.one, self.two):
            router.stop()
        _, pending = await asyncio.wait(
            [*self.one.tasks, *self.two.tasks], timeout=stand_ins.WAIT_SECONDS
        )
        self.assertEqual(pending, set())


class FrozenPeerTest(virtual_time_case.VirtualTimeTestCase):
    """A link to a peer whose process is stopped, so that it reads nothing."""

    async def freeze(self, connection):
        connection.transport.pause_reading()
        self.frozen.set()
        await asyncio.sleep(60.0)

    async def asyncSetUp(self):
        self.frozen = asyncio.Event()
        peer = await server.serve(
            self.freeze, "127.0.0.1", 0, ping_interval=None, close_timeout=0.0
        )
        self.addCleanup(peer.close)
        self.router = Router("one")
        self.frozen_peer = Router("two")
        port = peer.sockets[0].getsockname()[1]
        self.frozen_peer.address = f"127.0.0.1:{port}"
        self.router.start([self.router, self.frozen_peer])
        self.addCleanup(self.router.stop)
        await asyncio.wait_for(self.frozen.wait(), stand_ins.WAIT_SECONDS)

    def link_tasks(self):
        return [
            task
            for task in asyncio.all_tasks()
            if "_maintain_link" in repr(task.get_coro())
        ]

    async def test_a_cancelled_link_with_unsent_bytes_ends(self):
        self.router.board.fence = ids.FencingNumber(4)
        event = kv.WatchEvent(
            kv.WatchKind.PUT, rig.make_entry("k", b"x" * 2**20, 9)
        )
        for _ in range(20):
            self.router.reader.on_changes(ids.Revision(8), [event])
        await asyncio.sleep(0.2)
        (task,) = self.link_tasks()
        # As the event loop cancels all tasks before the process exits.
        task.cancel()
        await asyncio.wait([task], timeout=stand_ins.WAIT_SECONDS)
        self.assertTrue(task.done())


if __name__ == "__main__":
    unittest.main()
