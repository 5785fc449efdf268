"""Signals to the product's router and agent while they start."""

import asyncio
import os
import pathlib
import signal
import tempfile
import unittest
from unittest import mock

from nutmeglift import settings
from nutmeglift_agent import cli as agent_cli
from nutmeglift_router import cli as router_cli
from nutmeglift_wire import websocket_link

WAIT_SECONDS = 20.0
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGQUIT)
COMMON = """\
vm: entry-1
listen: 127.0.0.1:0
failure_domain: luzon-1
platform: {key_value: "127.0.0.1:1", vm_list: "127.0.0.1:1"}
shared_key: a-key-of-the-tests-only
"""
ROUTER = """\
http: 127.0.0.1:0
"""
AGENT = """\
backend: 127.0.0.1:1
backend_class: large
"""


class EarlySignalTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.yaml"
        for number in SIGNALS:
            self.addCleanup(signal.signal, number, signal.getsignal(number))

    def load(self, text, kind):
        self.path.write_text(COMMON + text, encoding="utf-8")
        return settings.load(self.path, kind)

    async def check(self, work, number):
        """Sends a signal as the first port opens; the process has to end."""
        unhandled = []
        for each in SIGNALS:
            asyncio.get_running_loop().remove_signal_handler(each)
            signal.signal(each, lambda number, frame: unhandled.append(number))
        start = websocket_link.WebsocketListener.start

        async def start_and_signal(listener, address):
            await start(listener, address)
            os.kill(os.getpid(), number)

        with mock.patch.object(
            websocket_link.WebsocketListener, "start", start_and_signal
        ):
            await asyncio.wait_for(work, WAIT_SECONDS)
        self.assertEqual(unhandled, [])

    async def test_a_signal_as_the_ports_open_begins_the_drain(self):
        # It ended the process, in the middle of what had been taken.
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(process="router", number=number):
                own = self.load(ROUTER, settings.RouterSettings)
                await self.check(router_cli.serve_router(own), number)
            for plain in (False, True):
                with self.subTest(process="agent", number=number, plain=plain):
                    own = self.load(AGENT, settings.AgentSettings)
                    await self.check(
                        agent_cli.serve_agent(own, plain=plain), number
                    )


if __name__ == "__main__":
    unittest.main()
