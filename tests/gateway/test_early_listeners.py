import asyncio
import pathlib
import socket
import subprocess
import sys
import tempfile
import unittest

from nutmeglift_gateway import early_listeners
from nutmeglift_gateway import http_listener
from tests.gateway import rig
from tests.gateway import stand_ins

LATER_MODULES = ("asyncio", "msgspec", "nutmeglift_gateway.gateway")


class EarlyListenersTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "router.yaml"

    def open(self, text):
        self.path.write_text(text, encoding="utf-8")
        opened = early_listeners.open_early(str(self.path))
        for listener in opened.values():
            self.addCleanup(listener.close)
        return opened

    def test_invalid_settings_open_no_ports(self):
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            port = taken.getsockname()[1]
            cases = [
                "",
                "listen: 7",
                "{broken",
                "listen: {callers: 5}",
                "listen: {callers: nowhere}",
                "listen: {callers: '127.0.0.1:99999'}",
                f"listen: {{callers: '127.0.0.1:{port}'}}",
            ]
            for text in cases:
                with self.subTest(text):
                    self.assertEqual(self.open(text), {})
        self.assertEqual(early_listeners.open_early("no such file"), {})

    async def test_early_callers_are_served_once_the_router_is_loaded(self):
        opened = self.open("listen: {callers: '127.0.0.1:0'}")
        (listener,) = opened.values()
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        writer.write(
            stand_ins.GatewayRig.format_request("/status/1", "GET", b"")
        )
        await writer.drain()
        targets = []

        def handler(connection, request):
            targets.append(request.target)
            connection.write(b"HTTP/1.1 204 X\r\n\r\n")
            connection.finish(keep_alive=False)

        server = await asyncio.get_running_loop().create_server(
            lambda: http_listener.CallerConnection(
                handler, rig.make_board().limits, lambda kind: b"", set()
            ),
            sock=listener,
        )
        self.addCleanup(server.close)
        async with asyncio.timeout(stand_ins.WAIT_SECONDS):
            response = await reader.read()
        writer.close()
        self.assertTrue(response.startswith(b"HTTP/1.1 204"))
        self.assertEqual(targets, ["/status/1"])

    def test_large_modules_are_not_imported_before_the_ports_open(self):
        code = (
            "import sys, nutmeglift_gateway.early_listeners, "
            "nutmeglift_platform.environment; "
            f"print([m for m in {LATER_MODULES!r} if m in sys.modules])"
        )
        process = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertEqual(process.stdout.strip(), "[]")


if __name__ == "__main__":
    unittest.main()
