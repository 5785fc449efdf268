"""Tests of the in-memory network and its fault injection."""

import asyncio
import unittest

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import link as links
from tests import virtual_time

NEAR = "10.0.0.1:1"
FAR = "10.0.0.2:1"


def now():
    return asyncio.get_running_loop().time()


def make_message(number):
    return messages.FrameAcknowledged(number)


async def connect():
    network = links.MemoryNetwork()
    accepted = asyncio.Queue()
    clock = clocks.PausableClock()
    network.listen(FAR, accepted.put, clock)
    near = await network.connect(NEAR, FAR, clock)
    return network, near, await accepted.get()


class OrderTest(unittest.TestCase):
    def test_messages_arrive_in_order_with_any_delay(self):
        for first, second in ((0.0, 0.0), (0.5, 0.5), (0.5, 0.0), (0.0, 0.5)):
            with self.subTest(first=first, second=second):

                async def work(delays=(first, second)):
                    network, near, far = await connect()
                    for half, delay in enumerate(delays):
                        network.degrade(NEAR, FAR, delay)
                        for number in range(50):
                            await near.send(make_message(50 * half + number))
                    got = [await far.receive() for _ in range(100)]
                    return [message.sequence for message in got], now()

                sequences, seconds = virtual_time.run(work())
                self.assertEqual(sequences, list(range(100)))
                self.assertEqual(seconds, max(first, second))


class FaultTest(unittest.TestCase):
    def test_silent_connection_loses_messages_but_new_connections_work(self):
        async def work():
            network, near, far = await connect()
            network.silence(NEAR, FAR)
            await near.send(make_message(1))
            await asyncio.sleep(1)
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(9):
                    await far.receive()
            await network.connect(NEAR, FAR, clocks.PausableClock())

        virtual_time.run(work())

    def test_closing_cutting_or_killing_ends_a_connection(self):
        for name, end, reconnects in (
            ("close", lambda network, far: far.close(), True),
            ("cut", lambda network, far: network.cut(NEAR, FAR), True),
            ("kill", lambda network, far: network.kill(FAR), False),
        ):
            with self.subTest(name):

                async def work(end=end, reconnects=reconnects):
                    network, near, far = await connect()
                    ended = end(network, far)
                    if ended is not None:
                        await ended
                    with self.assertRaises(errors.LinkClosedError):
                        await near.receive()
                    try:
                        await network.connect(NEAR, FAR, clocks.LoopClock())
                    except errors.LinkClosedError:
                        return False
                    return True

                self.assertEqual(virtual_time.run(work()), reconnects)

    def test_partitioned_endpoints_cannot_connect_until_rejoined(self):
        async def work():
            network, _, _ = await connect()
            network.partition(NEAR, FAR)
            with self.assertRaises(errors.LinkClosedError):
                await network.connect(NEAR, FAR, clocks.LoopClock())
            network.join(NEAR, FAR)
            await network.connect(NEAR, FAR, clocks.LoopClock())
            return ids.VmId("done")

        self.assertEqual(virtual_time.run(work()), "done")


if __name__ == "__main__":
    unittest.main()
