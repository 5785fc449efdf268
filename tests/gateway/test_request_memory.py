"""Memory that all callers' requests hold at the same time."""

import asyncio
import random
import tracemalloc
import unittest

from nutmeglift_gateway import catalog
from nutmeglift_gateway import http_listener
from nutmeglift_gateway import request_memory
from nutmeglift_gateway import responses

BODY_BYTES = 4 * 1024 * 1024
CALLER_COUNT = 40
LIMITS = catalog.ClientLimits(
    header_bytes=65536,
    body_bytes=BODY_BYTES,
    header_timeout=5.0,
    idle_timeout=5.0,
)
MEMORY_LIMIT_BYTES = 100_000_000
"""A third of the memory of the smallest VM."""
HEAD = b"POST /a HTTP/1.1\r\nhost: h\r\nconnection: close\r\n"
DECLARED = b"content-length: %d\r\n\r\n" % BODY_BYTES
CHUNKED = b"transfer-encoding: chunked\r\n\r\n%x\r\n" % BODY_BYTES


class ListenerMemoryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.connections = set()
        self.handled = 0
        self.server = await asyncio.get_running_loop().create_server(
            lambda: http_listener.CallerConnection(
                self._handle,
                lambda: LIMITS,
                responses.error_response,
                self.connections,
            ),
            "127.0.0.1",
            0,
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.body = b"x" * BODY_BYTES
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    async def asyncTearDown(self):
        self.server.close()
        for connection in list(self.connections):
            connection.abort()
        await asyncio.sleep(0)

    def _handle(self, connection, request):
        self.assertEqual(len(request.body), BODY_BYTES)
        self.handled += 1
        asyncio.get_running_loop().call_later(
            0.1, self._respond, connection, request
        )

    def _respond(self, connection, request):
        connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        connection.finish(keep_alive=request.keep_alive)

    async def _call(self, head, end):
        """Sends a request; returns the status of the response, or None."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        # Without a copy in the writer's buffer.
        writer.transport.set_write_buffer_limits(high=0)
        view = memoryview(self.body)
        try:
            writer.write(HEAD + head)
            for start in range(0, BODY_BYTES, 65536):
                writer.write(view[start : start + 65536])
                await writer.drain()
            writer.write(end)
            line = await reader.readline()
        except ConnectionError:
            return None
        finally:
            writer.close()
        return int(line.split()[1]) if line else None

    async def test_bodies_of_many_callers_exceed_the_memory(self):
        cases = [
            ("declared", DECLARED, b""),
            ("chunked", CHUNKED, b"\r\n0\r\n\r\n"),
        ]
        for name, head, end in cases:
            with self.subTest(name):
                tracemalloc.reset_peak()
                self.handled = 0
                statuses = await asyncio.wait_for(
                    asyncio.gather(
                        *(self._call(head, end) for _ in range(CALLER_COUNT))
                    ),
                    60.0,
                )
                peak = tracemalloc.get_traced_memory()[1]
                self.assertLess(peak, MEMORY_LIMIT_BYTES)
                self.assertLessEqual(set(statuses), {200, 503})
                self.assertEqual(statuses.count(200), self.handled)
                self.assertGreater(self.handled, 0)


class Requests:
    """Requests by name, whose memory is counted."""

    def __init__(self, limit):
        self.budget = request_memory.Budget(limit)
        self.holding_by_name = {}
        self.reserved = []

    def apply(self, event, name, size=0):
        """Applies an event; returns the result of the budget."""
        if name not in self.holding_by_name:
            self.holding_by_name[name] = request_memory.Holding()
        holding = self.holding_by_name[name]
        match event:
            case "receive":
                return self.budget.resize(holding, size)
            case "complete":
                return self.budget.complete(holding, size)
            case "reserve":
                return self.budget.reserve(
                    holding, size, lambda: self.reserved.append(name)
                )
            case _:
                self.budget.release(holding)
                return None

    def state(self, name):
        return self.holding_by_name[name].state


class BudgetTest(unittest.TestCase):
    def test_events(self):
        # Of 1000 bytes, 750 at most are reserved.
        cases = [
            # events with their results, names reserved after a wait, used
            ("small", [("receive", "a", 400, True),
             ("complete", "a", 600, True)],
             [], 600),
            ("small, none left", [("complete", "a", 900, True),
             ("complete", "b", 101, False), ("complete", "c", 100, True)],
             [], 1000),
            ("small beside large", [("reserve", "a", 750, True),
             ("complete", "b", 250, True), ("complete", "c", 1, False)],
             [], 1000),
            ("at once", [("reserve", "a", 400, True),
             ("receive", "a", 300, True)], [], 400),
            ("too large for ever", [("reserve", "a", 751, False)], [], 0),
            ("in turn", [("reserve", "a", 700, True),
             ("reserve", "b", 700, True), ("reserve", "c", 10, True),
             ("release", "a", 0, None)], ["b", "c"], 710),
            ("no smaller one first", [("reserve", "a", 500, True),
             ("reserve", "b", 700, True), ("reserve", "c", 100, True)],
             [], 500),
            ("shorter than announced", [("reserve", "a", 700, True),
             ("reserve", "b", 600, True), ("complete", "a", 100, True)],
             ["b"], 700),
            ("a waiting one gives up", [("reserve", "a", 700, True),
             ("reserve", "b", 600, True), ("reserve", "c", 50, True),
             ("release", "b", 0, None)], ["c"], 750),
            ("a waiting one counts what it has", [("reserve", "a", 700, True),
             ("receive", "b", 90, True), ("reserve", "b", 600, True)],
             [], 790),
            ("complete while it waits", [("reserve", "a", 700, True),
             ("receive", "b", 90, True), ("reserve", "b", 600, True),
             ("complete", "b", 100, True), ("release", "a", 0, None)],
             [], 100),
            ("small ones leave no room", [("complete", "a", 600, True),
             ("reserve", "b", 401, True), ("release", "a", 0, None)],
             ["b"], 401),
            ("released twice", [("complete", "a", 600, True),
             ("release", "a", 0, None), ("release", "a", 0, None)], [], 0),
            ("received after its release", [("release", "a", 0, None),
             ("receive", "a", 10, False)], [], 0),
        ]  # fmt: skip
        for name, events, reserved, used in cases:
            with self.subTest(name):
                requests = Requests(1000)
                for *event, result in events:
                    self.assertEqual(requests.apply(*event), result, event)
                self.assertEqual(requests.reserved, reserved)
                self.assertEqual(requests.budget.used, used)

    def test_random_events_keep_the_limits_and_starve_none(self):
        for seed in range(200):
            with self.subTest(seed=seed):
                self._play(random.Random(seed))

    def _play(self, rng):
        requests = Requests(1000)
        budget = requests.budget
        open_names = []
        for number in range(200):
            name = rng.choice([*open_names, number])
            if name == number:
                open_names.append(name)
                event = rng.choice(["receive", "reserve"])
                requests.apply(event, name, rng.randrange(1, 800))
            elif requests.state(name) is request_memory.State.RESERVED:
                size = requests.holding_by_name[name].size
                requests.apply("complete", name, rng.randrange(size + 1))
            elif rng.random() < 0.5:
                requests.apply("complete", name, rng.randrange(1, 300))
            if rng.random() < 0.4:
                requests.apply("release", name)
                open_names.remove(name)
            sizes = [each.size for each in requests.holding_by_name.values()]
            self.assertEqual(budget.used, sum(sizes))
            self.assertLessEqual(budget.used, 1000)
            self.assertLessEqual(budget.reserved, 750)
        waiting = [
            name
            for name in open_names
            if requests.state(name) is request_memory.State.WAITING
        ]
        requests.reserved.clear()
        while open_names:
            # A request that waits isn't given up while others hold memory.
            name = next(
                name
                for name in open_names
                if requests.state(name) is not request_memory.State.WAITING
            )
            requests.apply("release", name)
            open_names.remove(name)
        self.assertEqual(requests.reserved, waiting)
        self.assertEqual((budget.used, budget.reserved), (0, 0))

    def test_the_budget_of_a_process(self):
        cases = [(None, 75_000_000), (300.0, 75_000_000), (560.0, 140_000_000)]
        for megabytes, limit in cases:
            with self.subTest(megabytes):
                budget = request_memory.for_process(megabytes)
                self.assertEqual(budget.limit, limit)
