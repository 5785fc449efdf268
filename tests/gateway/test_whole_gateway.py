"""A complete router with stand-ins for the platform's store and runners."""

import asyncio
import json
import os
import signal
import socket
import unittest
from unittest import mock

from nutmeglift import kv
from nutmeglift_gateway import control_client
from nutmeglift_gateway import drain
from nutmeglift_gateway import gateway
from nutmeglift_gateway import http_call
from nutmeglift_gateway import settings
from nutmeglift_platform import names
from nutmeglift_platform import runners
from nutmeglift_platform import schema
from nutmeglift_platform import store
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import store_stand_in
from tests.gateway import test_platform_schema
from tests.gateway import virtual_time_case

WAIT_SECONDS = stand_ins.WAIT_SECONDS
LAST_CHUNK = b"0\r\n\r\n"


class Runner:
    """A stand-in for a runner that executes orders and streams events.

    Attributes:
        may_finish: while it is clear, streams pause after three events.
    """

    def __init__(self, memory, name, kind):
        self.memory = memory
        self.name = name
        self.kind = kind
        self.layers = None
        self.orders = 0
        self.may_finish = asyncio.Event()
        self.may_finish.set()
        self.server = stand_ins.ScriptedServer(self._respond)

    async def start(self):
        await self.server.start()
        await self.write()
        return self

    async def write(self):
        entry = test_platform_schema.HEARTBEAT | {
            "address": self.server.address,
            "kind": self.kind,
            "layers": self.layers and self.layers | {"version": 1},
        }
        raw = json.dumps(entry).encode()
        await self.memory.txn([], [kv.Put(f"servers/{self.name}", raw)])

    async def _respond(self, request, writer, number):
        if request.head.startswith("GET /v1/report"):
            await self._send_json(
                writer, 200, {"sequence": self.orders, "layers": self.layers}
            )
        elif request.head.startswith("POST /v1/order"):
            order = json.loads(request.body)
            if order["expected"] != self.orders:
                await self._send_json(writer, 409, {})
                return
            self.orders += 1
            self.layers = {"from": order["from"], "target": order["target"]}
            await self._send_json(writer, 202, {})
            await self.write()
        else:
            writer.write(stand_ins.stream_head(request))
            writer.write(stand_ins.sse_chunk(1, 3))
            await self.may_finish.wait()
            writer.write(stand_ins.sse_chunk(4, 6) + LAST_CHUNK)

    @staticmethod
    async def _send_json(writer, status, body):
        raw = json.dumps(body).encode()
        writer.write(
            b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%b"
            % (status, len(raw), raw)
        )


def free_port():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


class WholeGatewayTest(virtual_time_case.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.store = await store_stand_in.StoreStandIn().start()
        self.addCleanup(self.store.server.close)
        memory = self.store.memory
        config = json.loads(json.dumps(test_platform_schema.CONFIG))
        config["routes"][0] |= {"backends": [], "service": "s"}
        config["services"][0]["engine"]["kinds"][0]["mb"] = 300000.0
        raw = json.dumps(config).encode()
        await memory.txn([], [kv.Put("op/config", raw)])
        self.runner = await Runner(memory, "i-1", "big").start()
        self.addCleanup(self.runner.server.close)
        addresses = [f"127.0.0.1:{free_port()}" for _ in range(4)]
        self.settings = settings.Settings(
            vm="one",
            failure_domain="a",
            listen=settings.Listen(*addresses),
            store=settings.Store(self.store.server.address),
        )
        self.log = rig.MemoryLog()
        self.source = rig.MemorySettings(self.settings)
        self.gateway = gateway.Gateway(
            self.settings,
            store=store.PlatformKv(self.store.server.address, 1.0),
            schema=schema.PlatformSchema(),
            runners=runners.PlatformRunners(),
            names=names.HEADERS,
            readiness_path=names.READINESS_PATH,
            log=self.log,
            rng=rig.make_rng(),
            source=self.source,
        )
        self.task = asyncio.ensure_future(self.gateway.run())
        self.addCleanup(self.task.cancel)

    async def get(self, address, target):
        connection = await http_call.connect(address)
        raw = http_call.format_request("GET", target, [(b"host", b"x")], b"")
        try:
            return await control_client.exchange(
                connection, "GET", raw, WAIT_SECONDS
            )
        finally:
            connection.close()

    async def wait_until(self, check):
        async with asyncio.timeout(WAIT_SECONDS):
            while not await check():  # noqa: ASYNC110 - over the network.
                await asyncio.sleep(0.02)

    async def is_ready(self):
        try:
            response = await self.get(
                self.settings.listen.readiness, names.READINESS_PATH
            )
        except http_call.CallError:
            return False
        return response.status == 200

    async def has_layers(self):
        return self.runner.layers == {"from": 0, "target": 80}

    async def stream(self):
        connection = await http_call.connect(self.settings.listen.callers)
        headers = [
            (b"host", b"h"),
            (names.HEADERS.request_id, b"attempt-1"),
            (names.HEADERS.key, b"k1"),
            (names.HEADERS.tokens, b"100,40"),
        ]
        raw = http_call.format_request("POST", "/p/1", headers, b"{}")
        try:
            return await control_client.exchange(
                connection, "POST", raw, WAIT_SECONDS
            )
        finally:
            connection.close()

    async def test_layers_are_placed_and_streams_are_served(self):
        await self.wait_until(self.is_ready)
        await self.wait_until(self.has_layers)

        async def served():
            return (await self.stream()).status == 200

        await self.wait_until(served)
        response = await self.stream()
        self.assertEqual(stand_ins.event_ids(response.body), [1, 2, 3, 4, 5, 6])
        seen = self.runner.server.requests[-1]
        self.assertEqual(
            seen.headers["x-hop-count"], f"{self.runner.server.address}=0-80"
        )
        metrics = await self.get(self.settings.listen.metrics, "/metrics")
        self.assertIn(b"nutmeglift_gateway_first_event_seconds", metrics.body)
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(asyncio.shield(self.task), 0.01)

    async def test_a_drain_completes_requests_in_flight(self):
        await self.wait_until(self.is_ready)
        await self.wait_until(self.has_layers)

        async def served():
            return (await self.stream()).status == 200

        await self.wait_until(served)
        self.runner.may_finish.clear()
        count = len(self.runner.server.requests)
        running = asyncio.ensure_future(self.stream())

        async def begun():
            return len(self.runner.server.requests) > count

        await self.wait_until(begun)
        with (
            mock.patch.object(drain, "ACCEPT_SECONDS", 1.0),
            mock.patch.object(drain, "REFUSE_SECONDS", 0.0),
        ):
            os.kill(os.getpid(), signal.SIGTERM)

            async def not_ready():
                return not await self.is_ready()

            await self.wait_until(not_ready)
            self.assertFalse(self.task.done())

            async def refused():
                return (await self.stream()).status == 503

            await self.wait_until(refused)
            self.runner.may_finish.set()
            response = await running
            await asyncio.wait_for(self.task, WAIT_SECONDS)
        self.assertEqual(stand_ins.event_ids(response.body), [1, 2, 3, 4, 5, 6])
        self.assertEqual(response.head.get(b"connection"), None)
        self.assertIn("stopped", self.log.events())

    async def test_a_drain_closes_idle_but_not_new_connections(self):
        await self.wait_until(self.is_ready)
        idle = await http_call.connect(self.settings.listen.callers)
        raw = http_call.format_request("GET", "/x", [(b"host", b"x")], b"")
        await control_client.exchange(idle, "GET", raw, WAIT_SECONDS)
        lost = asyncio.Event()
        idle.on_lost = lost.set
        with (
            mock.patch.object(drain, "CLOSE_IDLE_SECONDS", 0.0),
            mock.patch.object(drain, "ACCEPT_SECONDS", 60.0),
            mock.patch.object(drain, "REFUSE_SECONDS", 60.0),
        ):
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.wait_for(lost.wait(), WAIT_SECONDS)
            fresh = await http_call.connect(self.settings.listen.callers)
            await asyncio.sleep(3 * drain.TICK_SECONDS)
            response = await control_client.exchange(
                fresh, "GET", raw, WAIT_SECONDS
            )
        self.assertEqual(response.status, 400)
        fresh.close()

    async def check_layers_after_a_failure(self, owner, name, event):
        """Checks that layers are placed though a call fails once."""
        await self.wait_until(self.is_ready)
        call = getattr(owner, name)
        failures = []

        def fail_once(*args):
            if not failures:
                failures.append(args)
                raise IndexError("test")
            return call(*args)

        with mock.patch.object(owner, name, fail_once):
            await self.wait_until(self.has_layers)
        self.assertTrue(failures)
        self.assertIn(event, self.log.events())

    async def test_a_controller_that_failed_is_restarted(self):
        await self.check_layers_after_a_failure(
            self.gateway.board, "record_planner", "controller failed"
        )

    async def test_planning_that_failed_is_repeated(self):
        await self.check_layers_after_a_failure(
            self.gateway.board.load_tracker, "at", "planning failed"
        )

    async def test_sighup_reloads_the_settings(self):
        await self.wait_until(self.is_ready)
        os.kill(os.getpid(), signal.SIGHUP)

        async def reloaded():
            return "settings reloaded" in self.log.events()

        await self.wait_until(reloaded)
        # Two reads have to agree.
        self.assertEqual(self.source.reads, 2)
        self.assertTrue(await self.is_ready())


if __name__ == "__main__":
    unittest.main()
