"""Starts a router's process and sends it signals."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import unittest

from nutmeglift_gateway import drain
from nutmeglift_platform import environment
from tests.gateway import test_settings
from tests.gateway import test_whole_gateway

WAIT_SECONDS = 20.0
"""Includes the time to load the program on a busy machine."""
PEERS = 2
"""Index of the port for other routers."""
SLOW_IMPORT = """
import sys
import time


class SlowFinder:
    def find_spec(self, name, path=None, target=None):
        if name == "nutmeglift_gateway.gateway":
            time.sleep({seconds})


sys.meta_path.insert(0, SlowFinder())
"""
"""Delays a program between its first ports and the rest of it."""


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "router.yaml"
        text = test_settings.GOOD.replace("shutdown_seconds: 8", "")
        self.ports = [test_whole_gateway.free_port() for _ in range(5)]
        addresses = [f"10.0.0.1:8{number}" for number in range(4)]
        for address, port in zip(
            [*addresses, "10.0.0.9:90"], self.ports, strict=True
        ):
            text = text.replace(address, f"127.0.0.1:{port}")
        self.path.write_text(text, encoding="utf-8")
        self.process = None
        self.addAsyncCleanup(self.stop)
        await self.start()

    async def start(self, **variables):
        """Starts the process, in place of one that was started before."""
        await self.stop()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "nutmeglift_platform",
            "serve",
            env=os.environ
            | {environment.SETTINGS_VARIABLE: str(self.path)}
            | variables,
            stdout=asyncio.subprocess.PIPE,
        )

    async def stop(self):
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def wait_for_port(self, number=0):
        async with asyncio.timeout(WAIT_SECONDS):
            while True:
                try:
                    _, writer = await asyncio.open_connection(
                        "127.0.0.1", self.ports[number]
                    )
                except ConnectionRefusedError:
                    await asyncio.sleep(0.005)
                else:
                    writer.close()
                    return

    async def wait_for_event(self, event):
        """Returns the line of an event."""
        async with asyncio.timeout(WAIT_SECONDS):
            while line := await self.process.stdout.readline():
                if f'"{event}"'.encode() in line:
                    return line
        raise self.failureException(
            f"ended with {await self.process.wait()} before {event}"
        )

    async def test_a_sighup_while_it_is_loaded_does_not_end_it(self):
        await self.wait_for_port()
        self.process.send_signal(signal.SIGHUP)
        await self.wait_for_event("started")
        self.process.send_signal(signal.SIGHUP)
        await self.wait_for_event("settings reloaded")
        self.process.send_signal(signal.SIGTERM)
        await self.wait_for_event("stopped")
        code = await asyncio.wait_for(self.process.wait(), WAIT_SECONDS)
        self.assertEqual(code, 0)

    async def test_no_thread_is_started(self):
        # The event loop would stand still until a new thread gets a processor.
        await self.wait_for_event("started")
        await self.wait_for_port(PEERS)
        threads = os.listdir(f"/proc/{self.process.pid}/task")
        self.assertEqual(threads, [str(self.process.pid)])

    async def test_a_change_without_a_signal_is_noticed(self):
        await self.wait_for_event("started")
        text = self.path.read_text(encoding="utf-8")
        text = text.replace("5000e-3", "2000e-3")
        self.path.write_text(text, encoding="utf-8")
        line = await self.wait_for_event("settings reloaded")
        self.assertIn(b'"bounds_changed":true', line)

    async def test_a_sigterm_while_it_is_loaded_ends_it_after_a_response(self):
        await self.wait_for_port()
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.ports[0]
        )
        self.addCleanup(writer.close)
        writer.write(b"GET / HTTP/1.1\r\nhost: desk.example\r\n\r\n")
        await writer.drain()
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(WAIT_SECONDS):
            response = await reader.readuntil(b"\r\n")
        self.assertTrue(response.startswith(b"HTTP/1.1 503"), response)
        await self.wait_for_event("stopped")
        code = await asyncio.wait_for(self.process.wait(), WAIT_SECONDS)
        self.assertEqual(code, 0)

    async def test_the_grace_counts_from_a_sigterm_while_it_is_loaded(self):
        # Requests were taken too late in the grace, and cut off at its end.
        folder = self.path.parent
        seconds = drain.REFUSE_SECONDS + 0.5
        (folder / "sitecustomize.py").write_text(
            SLOW_IMPORT.format(seconds=seconds), encoding="utf-8"
        )
        await self.start(PYTHONPATH=str(folder))
        await self.wait_for_port()
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.ports[0]
        )
        self.addCleanup(writer.close)
        writer.write(b"GET / HTTP/1.1\r\nhost: desk.example\r\n\r\n")
        await writer.drain()
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(WAIT_SECONDS):
            response = await reader.read()
        self.assertTrue(response.startswith(b"HTTP/1.1 503"), response)
        self.assertIn(b'"kind":"draining"', response)
        code = await asyncio.wait_for(self.process.wait(), WAIT_SECONDS)
        self.assertEqual(code, 0)


if __name__ == "__main__":
    unittest.main()
