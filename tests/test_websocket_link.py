"""Tests of connections over real WebSockets on the loopback interface."""

import asyncio
import unittest

import websockets

from nutmeglift import codec
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import settings
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import session as sessions
from nutmeglift_wire import websocket_link
from tests import test_session

ANY_PORT = "127.0.0.1:0"
BOUNDS = settings.Bounds(heartbeat_seconds=0.02, silence_seconds=0.1)


class Proxy:
    """Forwards bytes while `forwards` is set; silent otherwise."""

    def __init__(self, target):
        self._target = target
        self._tasks = []
        self.forwards = asyncio.Event()
        self.forwards.set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def stop(self):
        self.server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        host, _, port = self._target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self._tasks += [
            asyncio.ensure_future(self._pump(reader, far_writer)),
            asyncio.ensure_future(self._pump(far_reader, writer)),
        ]

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.forwards.wait()
                writer.write(data)
        finally:
            writer.close()


class WebsocketTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.accepted = asyncio.Queue()
        self.finished = asyncio.Event()
        self.listener = websocket_link.WebsocketListener(self._accept)
        self.address = await self.listener.start(ANY_PORT)
        self.dialer = websocket_link.WebsocketDialer()

    async def asyncTearDown(self):
        self.finished.set()
        await self.listener.stop()

    async def _accept(self, link):
        await self.accepted.put(link)
        await self.finished.wait()

    async def test_messages_pass_in_order_both_ways(self):
        near = await self.dialer.dial(self.address)
        far = await self.accepted.get()
        for number in range(20):
            await near.send(messages.FrameAcknowledged(number))
            await far.send(messages.FrameAcknowledged(-number))
        for number in range(20):
            self.assertEqual((await far.receive()).sequence, number)
            self.assertEqual((await near.receive()).sequence, -number)
        await near.close()
        with self.assertRaises(errors.LinkClosedError):
            await far.receive()

    async def test_malformed_frames_raise_malformed_message_error(self):
        for frame in ("text", b"\xff", codec.encode(messages.Leaving())[:-1]):
            with self.subTest(frame=frame):
                async with websockets.connect(f"ws://{self.address}/") as raw:
                    far = await self.accepted.get()
                    await raw.send(frame)
                    with self.assertRaises(errors.MalformedMessageError):
                        await far.receive()
                    far.abort()

    async def test_unreachable_address_raises_link_closed_error(self):
        with self.assertRaises(errors.LinkClosedError):
            await self.dialer.dial("127.0.0.1:1")

    async def test_both_ends_of_a_silent_connection_end(self):
        proxy = Proxy(self.address)
        near = await self.dialer.dial(await proxy.start())
        far = await self.accepted.get()
        runs = [
            asyncio.ensure_future(self._make_session(link).run())
            for link in (near, far)
        ]
        await asyncio.sleep(0.25)
        self.assertFalse(any(run.done() for run in runs))
        proxy.forwards.clear()
        async with asyncio.timeout(10):
            reasons = await asyncio.gather(*runs)
        for reason in reasons:
            self.assertIn("no byte", reason.detail)
        await proxy.stop()

    def _make_session(self, link):
        return sessions.Session(
            link,
            test_session.make_hello("peer"),
            clock=clocks.LoopClock(),
            bounds=BOUNDS,
            handler=lambda session, message: None,
            make_heartbeat=lambda n: messages.Heartbeat(n, ids.Generation(0)),
        )


if __name__ == "__main__":
    unittest.main()
