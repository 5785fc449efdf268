"""Test case with a whole router on the loopback interface."""

import asyncio
import signal

from nutmeglift import ids
from nutmeglift_gateway import early_listeners
from nutmeglift_gateway import freshness
from nutmeglift_gateway import gateway
from nutmeglift_gateway import settings
from nutmeglift_gateway import stop_signal
from nutmeglift_platform import names
from nutmeglift_platform import schema
from nutmeglift_platform import store
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import virtual_time_case

WAIT_SECONDS = stand_ins.WAIT_SECONDS
NO_STORE = "127.0.0.1:1"


def format_request(name, path="/release/1", **headers):
    """Returns the bytes of a caller's request with an id."""
    return stand_ins.GatewayRig.format_request(
        path, x_attempt_id=name.encode(), **headers
    )


class RouterTestCase(virtual_time_case.VirtualTimeTestCase):
    """Runs a router whose configuration and servers are set by the test.

    Attributes:
        shutdown_seconds: time from SIGTERM until the process is killed.
        early_signal_age: seconds since a SIGTERM that came before the router's
            event loop ran; None without one.
    """

    shutdown_seconds = 60.0
    early_signal_age = None

    async def asyncSetUp(self):
        listeners = {}
        for _ in range(4):
            listener = early_listeners.open_listener("127.0.0.1:0")
            listeners[f"127.0.0.1:{listener.getsockname()[1]}"] = listener
        addresses = list(listeners)
        # The port for other routers is opened by the router itself.
        listeners.pop(addresses[2]).close()
        self.servers = []
        self.log = rig.MemoryLog()
        self.loaded = settings.Settings(
            vm="one",
            failure_domain="a",
            listen=settings.Listen(*addresses),
            store=settings.Store(NO_STORE),
            bounds=settings.Bounds(shutdown_seconds=self.shutdown_seconds),
        )
        self.source = rig.MemorySettings(self.loaded)
        stop = None
        if self.early_signal_age is not None:
            stop = stop_signal.MemoryStopSignal(
                self.early_signal_age, is_received=True
            )
        self.addCleanup(
            signal.signal, signal.SIGTERM, signal.getsignal(signal.SIGTERM)
        )
        self.gateway = gateway.Gateway(
            self.loaded,
            store=store.PlatformKv(NO_STORE, 1.0),
            schema=schema.PlatformSchema(),
            runners=rig.MemoryRunners(),
            names=names.HEADERS,
            readiness_path=names.READINESS_PATH,
            log=self.log,
            rng=rig.make_rng(),
            source=self.source,
            listeners=listeners,
            stop=stop,
        )
        board = self.gateway.board
        board.set_catalog(ids.Revision(3), rig.make_catalog())
        rig.confirm(board, freshness.boot_clock())
        self.task = asyncio.ensure_future(self.gateway.run())
        self.addAsyncCleanup(self.stop)
        await self.wait_for_event("started")

    async def stop(self):
        self.task.cancel()
        await asyncio.wait([self.task])

    async def add_server(self, script, path_name="core"):
        server = await stand_ins.ScriptedServer(script).start()
        self.addCleanup(server.close)
        self.servers.append(server)
        self.gateway.board.directory.put(
            0.0,
            rig.make_server(
                path_name, address=server.address, service=rig.CORE, kind=""
            ),
        )
        return server

    async def send(self, *requests):
        host, _, port = self.loaded.listen.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(b"".join(requests))
        return reader, writer

    async def read_to_end(self, reader):
        return await asyncio.wait_for(reader.read(), WAIT_SECONDS)

    async def wait_until(self, check):
        async with asyncio.timeout(WAIT_SECONDS):
            while not check():  # noqa: ASYNC110 - state of the router.
                await asyncio.sleep(0.01)

    async def wait_for_event(self, event):
        await self.wait_until(lambda: event in self.log.events())

    def lines(self, event):
        return [fields for name, fields in self.log.lines if name == event]

    def check_unanswered(self, *expected):
        lines = self.lines("unanswered")
        self.assertEqual(
            [(e["request"], e["cause"]) for e in lines], [*expected]
        )
        counted = [
            sample.value
            for metric in self.gateway.metrics.unanswered.collect()
            for sample in metric.samples
            if sample.name.endswith("_total")
        ]
        self.assertEqual(sum(counted), len(expected))
