"""Requests beside servers that turn requests away for a time."""

import asyncio
import random
import unittest
from unittest import mock

from nutmeglift_gateway import directory
from nutmeglift_gateway import freshness
from nutmeglift_gateway import http_call
from tests.gateway import holding_servers
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import test_exchange_stream

HOLD_SECONDS = 4.0
WORK_SECONDS = 0.2
"""Keeps several servers at work in the load tests."""
whole_stream = test_exchange_stream.stream(1, 9)


async def slow(request, writer, number):
    await asyncio.sleep(WORK_SECONDS)
    await stand_ins.healthy(request, writer, number)


async def slow_stream(request, writer, number):
    await asyncio.sleep(WORK_SECONDS)
    await whole_stream(request, writer, number)


class HoldOffTestCase(stand_ins.GatewayTestCase):
    async def add_plain(self, name, seconds=HOLD_SECONDS, **changes):
        """Adds a plain server that holds off, and returns its script."""
        domain = changes.pop("domain", "a")
        script = holding_servers.HoldingServer(seconds, **changes)
        await self.rig.add_server(script, name, domain=domain)
        return script

    async def status(self, path="/release/1"):
        rig.confirm(self.rig.board, freshness.boot_clock())
        return (await self.rig.call(path)).status

    def lines(self, event):
        return [f for name, f in self.rig.log.lines if name == event]


class PlainHoldOffTest(HoldOffTestCase):
    async def test_a_server_gets_nothing_while_it_holds_off(self):
        holding = await self.add_plain("a")
        other = await self.rig.add_server(stand_ins.healthy, "b", domain="far")
        for _ in range(10):
            self.assertEqual(await self.status(), 200)
            await asyncio.sleep(0.3)
        self.assertEqual(holding.early_arrivals, [])
        self.assertEqual((len(holding.arrivals), len(other.requests)), (1, 10))
        holding.holds = False
        await asyncio.sleep(HOLD_SECONDS)
        self.assertEqual(await self.status(), 200)
        self.assertEqual(len(holding.arrivals), 2)
        (line,) = self.lines("server holds off")
        self.assertEqual((line["server"], line["seconds"]), ("a", HOLD_SECONDS))

    async def test_values_that_are_no_time(self):
        for value in ("-3", "nan", "soon", "9" * 40, ""):
            with self.subTest(value):
                await self.asyncSetUp()
                holding = await self.add_plain("a", value=value)
                await self.rig.add_server(stand_ins.healthy, "b", domain="far")
                for _ in range(6):
                    self.assertEqual(await self.status(), 200)
                    await asyncio.sleep(0.7)
                bounded = value.isdigit()
                self.assertEqual(len(holding.arrivals) == 1, bounded)
                self.assertEqual(
                    len(self.lines("hold-off malformed")), int(not bounded)
                )
                await self.rig.stop()

    async def test_a_new_lifetime_is_used_at_once(self):
        holding = await self.add_plain("a")
        self.assertEqual(await self.status(), 503)
        listed = self.rig.board.directory.server_by_id["a"]
        holding.holds = False
        self.rig.register("a", listed.address, born=listed.born + 1)
        self.assertEqual(await self.status(), 200)

    async def test_requests_that_all_servers_turn_away_are_refused_at_once(
        self,
    ):
        servers = [await self.add_plain(name) for name in ("a", "b")]
        delays = set()
        for _ in range(8):
            response = await self.rig.call("/release/1")
            self.assertEqual(response.status, 503)
            delays.add(float(response.head.get(b"retry-after")))
        self.assertEqual([len(s.arrivals) for s in servers], [1, 1])
        self.assertGreater(len(delays), 4)
        self.assertGreater(min(delays), HOLD_SECONDS * 0.9)
        self.assertLess(max(delays), HOLD_SECONDS * 1.5 + 1.0)

    async def test_requests_that_wait_for_a_connection_are_not_sent(self):
        holding = await self.add_plain("a")
        await self.rig.add_server(stand_ins.healthy, "b", domain="far")
        address = self.rig.board.directory.server_by_id["a"].address
        connect = http_call.connect
        waiting = []
        released = asyncio.Event()

        async def connect_late(target, *args):
            connection = await connect(target, *args)
            if target == address:
                waiting.append(target)
                if len(waiting) > 1:
                    await released.wait()
            return connection

        with mock.patch.object(http_call, "connect", connect_late):
            calls = [asyncio.ensure_future(self.status()) for _ in range(2)]
            while len(waiting) < len(calls):  # noqa: ASYNC110 - in the router.
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            released.set()
            self.assertEqual(await asyncio.gather(*calls), [200, 200])
        self.assertEqual(len(holding.arrivals), 1)

    async def test_a_caller_that_leaves_does_not_undo_it(self):
        holding = await self.add_plain("a")
        call = asyncio.ensure_future(self.rig.call("/release/1"))
        while not holding.arrivals:  # noqa: ASYNC110 - over the network.
            await asyncio.sleep(0)
        for _ in range(3):
            await asyncio.sleep(0)
        call.cancel()
        await asyncio.sleep(0.1)
        self.assertEqual(await self.status(), 503)
        self.assertEqual(len(holding.arrivals), 1)


class StreamHoldOffTest(HoldOffTestCase):
    async def stream(self):
        response = await self.rig.call("/draft/1")
        if response.status != 200:
            return response.status
        return stand_ins.event_ids(response.body)[-1]

    async def test_a_first_runner_gets_nothing_while_it_holds_off(self):
        holding = holding_servers.HoldingServer(HOLD_SECONDS)
        await self.rig.add_runner(holding, "x", 0, 80)
        await self.rig.add_runner(whole_stream, "y", 0, 80, domain="b")
        for _ in range(8):
            self.assertEqual(await self.stream(), 9)
            await asyncio.sleep(0.3)
        self.assertEqual(len(holding.arrivals), 1)

    async def test_the_time_holds_for_the_runner_that_is_named_too(self):
        fault = self.rig.register(
            "z", "127.0.0.1:9", rig.MODEL, kind="whole",
            layers=directory.LayerRange(50, 80),
        )  # fmt: skip
        holding = holding_servers.HoldingServer(
            HOLD_SECONDS, fault=fault.address
        )
        await self.rig.add_runner(holding, "x", 0, 50)
        other = await self.rig.add_runner(whole_stream, "y", 0, 80, domain="b")
        self.assertEqual(await self.stream(), 9)
        self.assertEqual(len(other.requests), 1)
        hold_offs = self.rig.board.hold_offs
        self.assertTrue(hold_offs.holds_off(fault.lifetime))
        self.assertTrue(hold_offs.holds_off(("x", 1)))
        self.assertEqual(self.rig.board.suspect_servers.suspects(), {})

    async def test_a_fault_that_is_no_runner_of_the_service_is_not_excluded(
        self,
    ):
        plain = await self.rig.add_server(stand_ins.healthy, "plain")
        for fault in (plain.address, "127.0.0.1:9", "no address"):
            with self.subTest(fault):
                holding = holding_servers.HoldingServer(
                    HOLD_SECONDS, fault=fault
                )
                await self.rig.add_runner(holding, fault, 0, 80)
                self.assertEqual(await self.stream(), 503)
                hold_offs = self.rig.board.hold_offs
                self.assertTrue(hold_offs.holds_off((fault, 1)))
                self.assertFalse(hold_offs.holds_off(("plain", 1)))

    async def test_a_refused_stream_fits_the_first_runner_to_come_back(self):
        for name, seconds in (("x", 9.0), ("y", 3.0)):
            await self.rig.add_runner(
                holding_servers.HoldingServer(seconds), name, 0, 80
            )
        response = await self.rig.call("/draft/1")
        self.assertEqual(response.status, 503)
        delay = float(response.head.get(b"retry-after"))
        self.assertGreater(delay, 2.9)
        self.assertLess(delay, 5.5)


class LoadTest(HoldOffTestCase):
    """A third of the servers holds off, time and again."""

    async def play(self, path, servers, rng):
        statuses = []

        async def call(number):
            await asyncio.sleep(number * 0.02 + rng.random() * 0.02)
            statuses.append(await self.status(path))

        async def hold():
            while True:
                for index, server in enumerate(servers):
                    server.holds = index % 3 == 0
                await asyncio.sleep(2.0)
                for server in servers:
                    server.holds = False
                await asyncio.sleep(1.0)

        holding = asyncio.ensure_future(hold())
        await asyncio.gather(*(call(number) for number in range(400)))
        holding.cancel()
        return statuses

    async def test_plain_servers(self):
        rng = random.Random(5)
        servers = [
            await self.add_plain(f"s{number}", 1.5, serve=slow)
            for number in range(9)
        ]
        statuses = await self.play("/release/1", servers, rng)
        early = [len(server.early_arrivals) for server in servers]
        self.assertLessEqual(max(early), 2, early)
        self.assertGreater(statuses.count(200), 380)

    async def test_runners(self):
        rng = random.Random(5)
        servers = []
        for number in range(9):
            script = holding_servers.HoldingServer(1.5, serve=slow_stream)
            servers.append(script)
            await self.rig.add_runner(script, f"r{number}", 0, 80)
        statuses = await self.play("/draft/1", servers, rng)
        early = [len(server.early_arrivals) for server in servers]
        self.assertLessEqual(max(early), 2, early)
        self.assertGreater(statuses.count(200), 380)


if __name__ == "__main__":
    unittest.main()
