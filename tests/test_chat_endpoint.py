"""Tests of deadlines and server-sent events of chat completions."""

import json
import unittest

from starlette import requests

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import states
from nutmeglift_router import chat
from nutmeglift_router import chat_endpoint
from nutmeglift_router import server_sent_events
from nutmeglift_wire import clock as clocks
from tests import utils
from tests import virtual_time

PART = chat.ChatPart((" lot",))
LAST = chat.ChatPart((" seven",), states.FinishReason.LENGTH)


class DeadlineTest(unittest.TestCase):
    TABLE = {
        # name: header, route's deadline, effective deadline or None if refused
        "neither": (None, 0.0, 0.0),
        "route only": (None, 20.0, 20.0),
        "caller only": ("5", 0.0, 5.0),
        "caller is shorter": ("5", 20.0, 5.0),
        "route is shorter": ("50", 20.0, 20.0),
        "not a number": ("soon", 20.0, None),
        "zero": ("0", 20.0, None),
        "negative": ("-3", 20.0, None),
        "infinite": ("inf", 20.0, None),
        "not any number": ("nan", 20.0, None),
    }

    def test_effective_deadline_is_the_shorter_one(self):
        for name, (header, seconds, wanted) in self.TABLE.items():
            with self.subTest(name):
                headers = []
                if header is not None:
                    headers = [(b"x-request-timeout", header.encode())]
                request = requests.Request({"type": "http", "headers": headers})
                route = utils.make_declaration().routes[0]
                route = route.model_copy(update={"deadline_seconds": seconds})
                if wanted is None:
                    with self.assertRaises(errors.RefusedError) as refused:
                        chat_endpoint._find_deadline(request, route)
                    self.assertEqual(
                        refused.exception.kind, errors.ErrorKind.BAD_REQUEST
                    )
                    continue
                found = chat_endpoint._find_deadline(request, route)
                self.assertEqual(found, wanted)


class ServerSentEventWriterTest(unittest.TestCase):
    def write(self, arrivals):
        """Feeds parts at the given times; returns (time, message) pairs."""

        async def scenario():
            clock = clocks.LoopClock()
            stream = chat.Stream(
                ids.RequestId("r-1"),
                chat.ChatRequest(
                    utils.make_account("a"),
                    utils.make_declaration().routes[0],
                    (1,),
                    9,
                ),
            )
            for at, part in arrivals:
                loop = virtual_time.asyncio.get_running_loop()
                loop.call_at(at, stream.put, part)
            sent = []

            async def send(message):
                sent.append((clock.now(), message))

            async def parts():
                while True:
                    yield await stream.next()

            writer = server_sent_events.ServerSentEventWriter(
                stream, 'a"b', clock, {}, send
            )
            try:
                await writer.write(parts())
            except errors.NutmegError as error:
                sent.append((clock.now(), error))
            return sent

        return virtual_time.run(scenario())

    def test_tokens_within_the_flush_interval_are_written_together(self):
        """A token 50 ms after the last write is written immediately.

        Tokens that arrive within the flush interval are written together.
        """
        sent = self.write(
            [(0.1, PART), (0.11, PART), (0.12, PART), (0.2, PART), (0.25, LAST)]
        )
        bodies = [(at, m["body"]) for at, m in sent[1:]]
        counts = [(round(at, 3), b.count(b" lot")) for at, b in bodies]
        self.assertEqual(counts[:4], [(0.1, 1), (0.14, 2), (0.2, 1), (0.25, 0)])
        self.assertEqual(bodies[-1][1], b"data: [DONE]\n\n")
        self.assertFalse(sent[-1][1]["more_body"])

    def test_last_part_is_not_held_back(self):
        sent = self.write([(0.1, PART), (0.101, LAST)])
        self.assertAlmostEqual(sent[-1][0], 0.101)

    def test_events_are_json(self):
        sent = self.write([(0.1, chat.ChatPart(('"\\\n',))), (0.3, LAST)])
        body = b"".join(m["body"] for _, m in sent[1:]).decode()
        lines = body.split("\n\n")
        first = json.loads(lines[0].removeprefix("data: "))
        self.assertEqual(first["model"], 'a"b')
        self.assertEqual(first["id"], "r-1")
        self.assertEqual(first["choices"][0]["delta"]["content"], '"\\\n')

    def test_failures(self):
        error = errors.StageFailedError("gone", ran=states.Ran.RAN)
        before = self.write([(0.1, error)])
        self.assertEqual([m for _, m in before], [error])
        after = self.write([(0.1, PART), (0.11, error)])
        last = after[-1][1]
        self.assertFalse(last["more_body"])
        self.assertTrue(last["body"].startswith(b"event: error\ndata: {"))
        reported = json.loads(last["body"].split(b"data: ")[1])["error"]
        self.assertEqual(
            (reported["kind"], reported["ran"]), ("stage_failed", "ran")
        )


if __name__ == "__main__":
    unittest.main()
