"""Tests of events written directly while the caller has buffer room."""

import asyncio
import json
import random
import unittest

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import states
from nutmeglift_router import chat
from nutmeglift_router import server_sent_events
from nutmeglift_wire import clock as clocks
from tests import utils
from tests import virtual_time


class Caller:
    """A caller's connection whose buffer room the test controls."""

    def __init__(self):
        self.body = b""
        self.has_room = asyncio.Event()
        self.has_room.set()

    async def write(self, part):
        await self.has_room.wait()
        self.body += part

    def try_write(self, part):
        if not self.has_room.is_set():
            return False
        self.body += part
        return True

    async def send(self, message):
        self.body += message.get("body", b"")

    def read_texts(self):
        lines = [
            line.removeprefix(b"data: ")
            for line in self.body.split(b"\n\n")
            if line.startswith(b"data: {")
        ]
        deltas = [json.loads(line)["choices"][0]["delta"] for line in lines]
        return [delta["content"] for delta in deltas if delta["content"]]


def make_stream():
    account = utils.make_account("bank-a")
    route = utils.make_declaration().routes[0]
    request = chat.ChatRequest(account, route, (1,), 100)
    return chat.Stream(ids.RequestId("r"), request)


async def read_parts(stream):
    yield await stream.next()


async def run(scenario):
    """Writes the events that `scenario` puts into a stream."""
    caller, stream = Caller(), make_stream()
    scope = {"nutmeglift.body_writer": caller}
    writer = server_sent_events.ServerSentEventWriter(
        stream, "letters", clocks.LoopClock(), scope, caller.send
    )
    writing = asyncio.ensure_future(writer.write(read_parts(stream)))
    await scenario(caller, stream)
    await writing
    return caller


class DirectWriteTest(unittest.TestCase):
    def test_order_is_kept_with_and_without_buffer_room(self):
        expected = [f"t{number}" for number in range(200)]
        for seed in range(30):
            rng = random.Random(seed)

            async def scenario(caller, stream, rng=rng):
                for text in expected:
                    if rng.random() < 0.3:
                        caller.has_room.set()
                    stream.put(chat.ChatPart((text,)))
                    if rng.random() < 0.3:
                        caller.has_room.clear()
                    if rng.random() < 0.5:
                        await asyncio.sleep(rng.choice((0.0, 0.001, 0.05)))
                caller.has_room.set()
                stream.put(chat.ChatPart((), states.FinishReason.STOP))

            with self.subTest(seed=seed):
                caller = virtual_time.run(run(scenario))
                self.assertEqual(caller.read_texts(), expected)
                self.assertTrue(caller.body.endswith(b"data: [DONE]\n\n"))

    def test_part_is_written_before_put_returns(self):
        async def scenario(caller, stream):
            stream.put(chat.ChatPart(("one",)))
            await asyncio.sleep(0.1)
            stream.put(chat.ChatPart(("two",)))
            self.assertEqual(caller.read_texts(), ["one", "two"])
            stream.put(chat.ChatPart((), states.FinishReason.STOP))

        virtual_time.run(run(scenario))

    def test_nothing_follows_an_error(self):
        async def scenario(caller, stream):
            stream.put(chat.ChatPart(("one",)))
            await asyncio.sleep(0.1)
            stream.put(errors.StageFailedError("lost"))
            await asyncio.sleep(0.1)
            stream.put(chat.ChatPart(("late",)))

        caller = virtual_time.run(run(scenario))
        self.assertEqual(caller.body.count(b"\n\n"), 2)
        self.assertIn(b"event: error", caller.body)
        self.assertNotIn(b"late", caller.body)


if __name__ == "__main__":
    unittest.main()
