"""The event loop in virtual time with real sockets."""

import asyncio
import os
import signal
import socket
import time
import unittest
from unittest import mock

from nutmeglift_gateway import freshness
from tests import virtual_time
from tests.gateway import endless
from tests.gateway import virtual_time_case

NETWORK_SECONDS = 0.04
"""Shortest time-out of the gateway for an event over the network."""


async def _no_delay():
    pass


async def _delay_the_thread():
    time.sleep(0.06)  # noqa: ASYNC251 - longer than any time-out here.


async def _delay_in_another_thread():
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, time.sleep, 0.06)


async def _resolve_a_name():
    await asyncio.get_running_loop().getaddrinfo("localhost", 80)


async def _send_a_signal():
    loop = asyncio.get_running_loop()
    received = asyncio.Event()
    loop.add_signal_handler(signal.SIGUSR1, received.set)
    os.kill(os.getpid(), signal.SIGUSR1)
    await received.wait()
    loop.remove_signal_handler(signal.SIGUSR1)


class LoopbackTimeLoopTest(virtual_time_case.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.loop = asyncio.get_running_loop()
        self.delay = _no_delay

    async def connect(self, serve):
        """Returns the streams of a connection to a server with a handler."""
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        reader, writer = await asyncio.open_connection(
            *server.sockets[0].getsockname()
        )
        self.addCleanup(writer.close)
        return reader, writer

    async def test_a_sleep_takes_its_time_of_the_clock_alone(self):
        for seconds in (0.0, 0.0001, 0.01, 1.0, 3600.0):
            with self.subTest(seconds):
                start = self.loop.time()
                await asyncio.sleep(seconds)
                elapsed = self.loop.time() - start
                self.assertGreaterEqual(elapsed, seconds)
                self.assertLess(
                    elapsed, seconds + 3 * virtual_time.ITERATION_SECONDS
                )

    async def test_timers_fire_in_order(self):
        fired = []
        for seconds in (0.3, 0.1, 0.0, 0.2, 0.10001):
            self.loop.call_later(seconds, fired.append, seconds)
        await asyncio.sleep(1.0)
        self.assertEqual(fired, [0.0, 0.1, 0.10001, 0.2, 0.3])

    async def test_the_clock_waits_for_what_is_on_its_way(self):
        cases = [
            _no_delay,
            _delay_the_thread,
            _delay_in_another_thread,
            _resolve_a_name,
            _send_a_signal,
        ]
        for delay in cases:
            with self.subTest(delay.__name__):
                start = self.loop.time()
                async with asyncio.timeout(NETWORK_SECONDS):
                    await delay()
                self.assertLess(self.loop.time() - start, NETWORK_SECONDS / 10)

    async def test_the_clock_waits_for_data_in_flight(self):
        async def echo(reader, writer):
            while data := await reader.read(65536):
                await self.delay()
                writer.write(data)
                await writer.drain()
            writer.close()

        cases = [
            # bytes, delay before each answer
            (1, _no_delay),
            (65536, _no_delay),
            (2**20, _no_delay),
            (1, _delay_the_thread),
            (1, _delay_in_another_thread),
        ]
        for size, delay in cases:
            with self.subTest(size=size, delay=delay.__name__):
                self.delay = delay
                async with asyncio.timeout(NETWORK_SECONDS):
                    reader, writer = await self.connect(echo)
                    writer.write(bytes(size))
                    received = await reader.readexactly(size)
                    writer.write_eof()
                    self.assertEqual(await reader.read(), b"")
                self.assertEqual(len(received), size)

    async def test_the_clock_waits_for_the_end_of_a_connection(self):
        async def close(reader, writer):
            writer.close()

        async def abort(reader, writer):
            await self.delay()
            writer.transport.abort()

        for serve in (close, abort):
            with self.subTest(serve.__name__):
                self.delay = _delay_the_thread
                async with asyncio.timeout(NETWORK_SECONDS):
                    reader, _ = await self.connect(serve)
                    self.assertEqual(await reader.read(), b"")

    async def test_a_refused_connection_takes_no_time(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = listener.getsockname()
        async with asyncio.timeout(NETWORK_SECONDS):
            with self.assertRaises(ConnectionRefusedError):
                await asyncio.open_connection(*address)

    async def test_a_deadline_passes_beside_work_without_end(self):
        async def receive():
            server = endless.EndlessServer(b"", b"x", await_request=False)
            await server.start()
            reader, writer = await asyncio.open_connection(
                *server.address.split(":")
            )
            try:
                while True:
                    await reader.read(65536)
            finally:
                writer.transport.abort()
                await server.ended.wait()
                server.close()

        async def spin():
            while True:  # noqa: ASYNC110 - to let time pass.
                await asyncio.sleep(0)

        async def wait():
            await asyncio.Event().wait()

        for work in (receive, spin, wait):
            with self.subTest(work.__name__):
                start = self.loop.time()
                with self.assertRaises(TimeoutError):
                    await asyncio.wait_for(work(), NETWORK_SECONDS)
                self.assertLess(self.loop.time() - start, NETWORK_SECONDS * 1.1)

    async def test_an_advanced_clock_and_an_event_are_handled_together(self):
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        handled = []
        self.loop.add_reader(ours, lambda: handled.append(ours.recv(1)))
        self.loop.call_later(0.2, handled.append, "timer")
        theirs.send(b"x")
        self.loop.advance(0.3)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.loop.remove_reader(ours)
        self.assertEqual(handled, [b"x", "timer"])

    async def test_the_clock_for_time_in_suspension_is_the_loops(self):
        self.assertGreaterEqual(
            freshness.boot_clock(), virtual_time.START_SECONDS
        )
        start = freshness.boot_clock()
        await asyncio.sleep(60.0)
        self.assertAlmostEqual(freshness.boot_clock() - start, 60.0, places=3)


class EndTest(unittest.TestCase):
    """What ends a loop that would wait or run without end."""

    def run_with_low_limits(self, work):
        loop = virtual_time.LoopbackTimeLoop()
        self.addCleanup(loop.close)
        task = loop.create_task(work())
        try:
            with (
                mock.patch.object(virtual_time, "MAX_BLOCK_SECONDS", 0.05),
                mock.patch.object(virtual_time, "MAX_VIRTUAL_SECONDS", 5000.0),
            ):
                loop.run_until_complete(task)
        finally:
            task.cancel()
            loop.run_until_complete(asyncio.wait([task]))

    def test_faults(self):
        async def wait():
            await asyncio.Event().wait()

        async def wait_for_a_thread():
            loop = asyncio.get_running_loop()
            job = loop.run_in_executor(None, time.sleep, 0.2)
            await asyncio.wait_for(job, NETWORK_SECONDS)

        async def sleep_on():
            while True:  # noqa: ASYNC110 - to let time pass.
                await asyncio.sleep(3600.0)

        cases = [
            (wait, "no event in 0.05 s of real time, with 0 jobs"),
            (wait_for_a_thread, "no event in 0.05 s of real time, with 1 jobs"),
            (sleep_on, "over 24 h of virtual time"),
        ]
        for work, message in cases:
            with (
                self.subTest(work.__name__),
                self.assertRaisesRegex(RuntimeError, message),
            ):
                self.run_with_low_limits(work)


if __name__ == "__main__":
    unittest.main()
