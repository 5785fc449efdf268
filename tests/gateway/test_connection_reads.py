"""A fast connection to a server does not hold up the others."""

import asyncio
import socket
import threading
import unittest

import uvloop

from nutmeglift_gateway import http_call
from nutmeglift_gateway import read_turns
from tests.gateway import test_http_call
from tests.gateway import virtual_time_case

TOTAL_BYTES = 64 * 1024 * 1024
READ_BYTES = test_http_call.READ_BYTES


class CountingReceiver(test_http_call.Recorder):
    """Receiver that counts the bytes of each turn of the event loop.

    Attributes:
        max_turn_bytes: most bytes received in one turn.
        ended: set at the end of the response.
    """

    def __init__(self):
        super().__init__()
        self.max_turn_bytes = 0
        self.ended = asyncio.Event()
        self._turn_bytes = 0

    def on_body(self, data):
        super().on_body(data)
        self._turn_bytes += len(data)
        self.max_turn_bytes = max(self.max_turn_bytes, self._turn_bytes)

    def on_complete(self, body):
        super().on_complete(body)
        self.ended.set()

    async def count_turns(self):
        while True:
            self._turn_bytes = 0
            await asyncio.sleep(0)


def _send_body(listener):
    with listener, listener.accept()[0] as connection:
        connection.recv(1024)
        connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
        connection.sendall(bytes(TOTAL_BYTES))


async def _receive(address):
    connection = await http_call.connect(address)
    receiver = CountingReceiver()
    turns = asyncio.create_task(receiver.count_turns())
    connection.send(b"GET / HTTP/1.1\r\n\r\n", receiver, head_only=False)
    await asyncio.wait_for(receiver.ended.wait(), 30)
    turns.cancel()
    return receiver


class ReadTest(unittest.TestCase):
    def test_the_event_loop_turns_after_each_read(self):
        for run in (uvloop.run, asyncio.run):
            with self.subTest(run.__module__):
                listener = socket.create_server(("127.0.0.1", 0))
                port = listener.getsockname()[1]
                thread = threading.Thread(target=_send_body, args=(listener,))
                thread.start()
                self.addCleanup(thread.join)
                receiver = run(_receive(f"127.0.0.1:{port}"))
                self.assertEqual(receiver.body_bytes, TOTAL_BYTES)
                self.assertLessEqual(
                    receiver.max_turn_bytes,
                    READ_BYTES + http_call.MAX_READ_BYTES,
                )


class TurnsTest(virtual_time_case.VirtualTimeTestCase):
    async def test_few_connections_read_much_in_one_turn(self):
        transports = []
        for _ in range(20):
            connection, transport = test_http_call.open_connection()
            connection.send(b"", test_http_call.Recorder(), head_only=False)
            connection.data_received(b"HTTP/1.1 200 OK\r\n\r\n")
            connection.data_received(bytes(READ_BYTES))
            transports.append((connection, transport))
        turns = 0
        while not all(transport.reading for _, transport in transports):
            reading = [each for each in transports if each[1].reading]
            await asyncio.sleep(0)
            resumed = [each for each in transports if each[1].reading]
            self.assertLessEqual(
                len(resumed) - len(reading), read_turns.CONNECTIONS_PER_TURN
            )
            turns += 1
            self.assertLess(turns, 50)
        self.assertGreaterEqual(turns, 20 // read_turns.CONNECTIONS_PER_TURN)

    async def test_a_small_response_waits_for_no_turn(self):
        for _ in range(20):
            connection, transport = test_http_call.open_connection()
            connection.send(b"", test_http_call.Recorder(), head_only=False)
            connection.data_received(b"HTTP/1.1 200 OK\r\n\r\n")
            connection.data_received(bytes(READ_BYTES))
        connection, transport = test_http_call.open_connection()
        recorder = test_http_call.Recorder()
        connection.send(b"", recorder, head_only=False)
        connection.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n")
        self.assertTrue(transport.reading)
        connection.data_received(b"\r\nx")
        self.assertTrue(recorder.completed)


class PauseTest(virtual_time_case.VirtualTimeTestCase):
    async def test_a_pause_outlasts_the_turn_after_a_large_read(self):
        cases = [
            # calls before the turn ends, whether reading goes on after it
            ([], True),
            (["pause"], False),
            (["pause", "resume"], True),
            (["close"], False),
        ]
        for calls, reading in cases:
            with self.subTest(calls):
                connection, transport = test_http_call.open_connection()
                connection.send(b"", test_http_call.Recorder(), head_only=False)
                connection.data_received(b"HTTP/1.1 200 OK\r\n\r\n")
                self.assertTrue(transport.reading)
                connection.data_received(bytes(http_call.MAX_READ_BYTES))
                self.assertFalse(transport.reading)
                for call in calls:
                    getattr(connection, call)()
                self.assertFalse(transport.reading)
                await asyncio.sleep(0)
                self.assertEqual(transport.reading, reading)


if __name__ == "__main__":
    unittest.main()
