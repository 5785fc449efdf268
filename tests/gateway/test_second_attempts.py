"""Second attempts beside slow ones, over the network."""

import asyncio
import dataclasses
import unittest

from nutmeglift import ids
from nutmeglift_gateway import runs
from nutmeglift_gateway import settings
from nutmeglift_gateway.load import hedging
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import test_exchange_plain as plain
from tests.gateway import test_exchange_stream as streams
from tests.gateway import test_poison_exchange as poison
from tests.gateway import test_silent_servers as silent_servers

LATENCIES = (0.05,) * 12 + (0.1,) * 8
LATE_SECONDS = 0.25


def late(script):
    """Returns a script that runs after a second attempt was started."""

    async def run(request, writer, number):
        await asyncio.sleep(LATE_SECONDS)
        await script(request, writer, number)

    return run


def body(data):
    """Returns a script that answers with a body."""

    async def answer(request, writer, number):
        writer.write(stand_ins.complete_response(request, data))

    return answer


async def endless(request, writer, number):
    response = stand_ins.complete_response(request)
    writer.write(response.replace(b"content-length: 4\r\n", b""))
    while True:
        await asyncio.sleep(0.02)
        writer.write(b"more")


def prepare(gateway, *, ratio=0.2, requests=200):
    """Turns second attempts on in a router that knows usual latencies."""
    gateway.board.set_bounds(settings.Bounds(second_attempt_ratio=ratio))
    for service, streaming in ((rig.CORE, False), (rig.MODEL, True)):
        group = hedging.Group(service, ids.FailureDomain("a"), streaming)
        expected = 0.0025 if streaming else 1.0
        now = asyncio.get_running_loop().time()
        for seconds in LATENCIES:
            gateway.context.second_attempts.handle(
                now, hedging.Answered(group, expected, seconds)
            )
        for _ in range(requests):
            gateway.board.budget(service).record_request(now)


class SecondAttemptTestCase(streams.StreamTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        prepare(self.rig)

    def events(self):
        """Returns the counted second attempts by event and by denial."""
        counted = {}
        for counter in (
            self.rig.metrics.second_attempts,
            self.rig.metrics.second_attempts_denied,
        ):
            for metric in counter.collect():
                for sample in metric.samples:
                    if sample.name.endswith("_total"):
                        (label,) = sample.labels.values()
                        counted[label] = int(sample.value)
        return counted

    def assert_nothing_is_held(self):
        self.assertEqual(self.rig.board.load_tracker.own(), {})


class PlainTest(SecondAttemptTestCase):
    async def test_two_attempts(self):
        reset, silent = stand_ins.reset, stand_ins.silent
        one, two = body(b"one"), body(b"two")
        failed, crossed = plain.server_error, plain.wrong_request_id
        lost, late_crossed = late(reset), late(crossed)
        at_fault = (reset, lost, crossed, late_crossed)
        cases = [
            # first, second, status, body; None for the router's own, won
            (silent, two, 200, b"two", True),
            (endless, two, 200, b"two", True),
            (late(one), silent, 200, b"one", False),
            (late(one), endless, 200, b"one", False),
            (lost, late(two), 200, b"two", True),
            (late(one), reset, 200, b"one", False),
            (late(one), crossed, 200, b"one", False),
            (late_crossed, late(two), 200, b"two", True),
            (late(one), failed, 200, b"one", False),
            (late(one), stand_ins.rejecting(), 200, b"one", False),
            (late(failed), late(failed), 500, b"broken", False),
            (lost, lost, 502, None, False),
        ]
        for number, (first, second, status, data, won) in enumerate(cases):
            with self.subTest(number=number):
                await self.asyncSetUp()
                one_ = await self.rig.add_server(first, "s1")
                two_ = await self.rig.add_server(second, "s2")
                response = await self.rig.call("/status/1")
                self.assertEqual(response.status, status)
                if data is not None:
                    self.assertEqual(response.body, data)
                self.assertEqual(
                    (len(one_.requests), len(two_.requests)), (1, 1)
                )
                self.assertEqual(
                    self.events(),
                    {"started": 1, "won" if won else "wasted": 1},
                )
                if first in (silent, endless):
                    await asyncio.wait_for(one_.client_eof.wait(), 1.0)
                if second in (silent, endless):
                    await asyncio.wait_for(two_.client_eof.wait(), 1.0)
                self.assert_nothing_is_held()
                blamed = [
                    self.rig.board.penalties.value(0.0, each.address) > 0
                    for each in (one_, two_)
                ]
                self.assertEqual(
                    blamed, [each in at_fault for each in (first, second)]
                )
                await self.rig.stop()

    async def test_no_second_attempt(self):
        denial = hedging.Denial
        cases = [
            # path, change of the router, denial
            ("/release/1", lambda r: None, None),
            ("/status/1", lambda r: prepare(r, ratio=0.0), None),
            ("/status/1", lambda r: prepare(r, ratio=0.001), denial.LIMIT),
            ("/status/1", leave, denial.DRAINING),
            ("/status/1", allow_one_attempt, denial.NO_ATTEMPT_LEFT),
            ("/status/1", lose_responses, denial.NO_SERVER),
            ("/status/1", hold_off, denial.NO_SERVER),
        ]
        for number, (path, change, reason) in enumerate(cases):
            with self.subTest(number=number):
                await self.asyncSetUp()
                await self.rig.add_server(late(body(b"one")), "s1")
                other = await self.rig.add_server(stand_ins.healthy, "s2")
                change(self.rig)
                response = await self.rig.call(path)
                self.assertEqual(
                    (response.status, response.body), (200, b"one")
                )
                self.assertEqual(other.requests, [])
                expected = {reason.value: 1} if reason else {}
                self.assertEqual(self.events(), expected)
                await self.rig.stop()

    async def test_the_caller_leaves(self):
        for path in ("/status/1", "/draft/1"):
            with self.subTest(path):
                await self.asyncSetUp()
                servers = [
                    await self.rig.add_server(stand_ins.silent, "s1"),
                    await self.rig.add_server(stand_ins.silent, "s2"),
                ]
                if path == "/draft/1":
                    servers = [
                        await self.rig.add_runner(stand_ins.silent, name, 0, 80)
                        for name in ("x", "y")
                    ]
                call = asyncio.ensure_future(self.rig.call(path))
                for server in servers:
                    await server.wait_for_request()
                call.cancel()
                for server in servers:
                    await asyncio.wait_for(server.client_eof.wait(), 1.0)
                self.assertEqual(self.events(), {"started": 1, "wasted": 1})
                self.assert_nothing_is_held()
                await self.rig.stop()


def leave(gateway):
    gateway.board.draining = True


def allow_one_attempt(gateway):
    route = dataclasses.replace(rig.SAFE, max_attempts=1)
    gateway.board.catalog = rig.make_catalog(routes=(route,))


def lose_responses(gateway):
    server = gateway.board.directory.server_by_id["s2"]
    now = asyncio.get_running_loop().time()
    gateway.board.penalties.record_loss(now, server.address)


def hold_off(gateway):
    server = gateway.board.directory.server_by_id["s2"]
    now = asyncio.get_running_loop().time()
    gateway.board.hold_offs.record(now, server.lifetime, 9.0)


class StreamTest(SecondAttemptTestCase):
    async def test_two_attempts(self):
        silent = stand_ins.silent
        whole = streams.stream(1, 9)
        cases = [
            # first, second, won
            (silent, whole, True),
            (silent_servers.resume_silently, whole, True),
            (late(whole), silent, False),
            (late(stand_ins.reset), late(whole), True),
            (late(whole), stand_ins.reset, False),
            (late(whole), stand_ins.rejecting(), False),
        ]
        for number, (first, second, won) in enumerate(cases):
            with self.subTest(number=number):
                await self.asyncSetUp()
                one = await self.rig.add_runner(first, "x", 0, 80)
                two = await self.rig.add_runner(second, "y", 0, 80)
                self.assertEqual(
                    await self.event_ids(), silent_servers.ALL_EVENTS
                )
                self.assertEqual((len(one.requests), len(two.requests)), (1, 1))
                self.assertEqual(
                    self.events(),
                    {"started": 1, "won" if won else "wasted": 1},
                )
                loser = one if won else two
                if (first if won else second) is silent:
                    await asyncio.wait_for(loser.client_eof.wait(), 1.0)
                self.assert_nothing_is_held()
                await self.rig.stop()

    async def test_a_crash_is_blamed_on_the_server_that_crashed(self):
        runners = {}

        async def crash(request, writer, number):
            runners["x"].abort()

        runners["x"] = await self.rig.add_runner(late(crash), "x", 0, 80)
        runners["y"] = await self.rig.add_runner(
            late(streams.stream(1, 9)), "y", 0, 80
        )
        self.assertEqual(await self.event_ids(), silent_servers.ALL_EVENTS)
        now = asyncio.get_running_loop().time()
        for name in runners:
            self.rig.failure_recorder.record_ended(now, (name, 1))
        ended = [f for e, f in self.rig.log.lines if e == "server ended runs"]
        self.assertEqual(
            [(each["server"], each["suspect_count"]) for each in ended],
            [("x", 1)],
        )

    async def test_a_prompt_that_ends_both_gets_no_third_server(self):
        ended = []
        runner_by_name = {}
        for name in ("x", "y", "z"):

            async def crash(request, writer, number, name=name):
                ended.append(name)
                runner_by_name[name].abort()

            runner_by_name[name] = await self.rig.add_runner(
                late(crash), name, 0, 80
            )
        response = await self.rig.call("/draft/1", **poison.POISON)
        self.assertEqual(response.status, 502)
        self.assertEqual(ended, ["x", "y"])

    async def test_a_suspected_prompt_is_never_at_two_servers(self):
        runners = [
            await self.rig.add_runner(late(streams.stream(1, 9)), name, 0, 80)
            for name in ("x", "y")
        ]
        now = asyncio.get_running_loop().time()
        run = runs.Run("r", rig.MODEL, ("bad",), ("z", 1), "", now)
        crash = runs.Crash(("z", 1), now, (run,), 0)
        self.rig.board.guard.record_crash(now, crash, "")
        self.assertEqual(
            await self.event_ids(**poison.POISON), silent_servers.ALL_EVENTS
        )
        self.assertEqual(sum(len(each.requests) for each in runners), 1)
        self.assertEqual(self.events(), {"suspect": 1})


if __name__ == "__main__":
    unittest.main()
