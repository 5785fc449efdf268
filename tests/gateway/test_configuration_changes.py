"""Changes of the configuration beside requests in flight."""

import asyncio
import dataclasses
import unittest

from nutmeglift import ids
from nutmeglift_gateway import catalog
from nutmeglift_gateway import control_client
from nutmeglift_gateway import freshness
from nutmeglift_gateway import http_call
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import virtual_time_case

OTHER = ids.ServiceId("other")
LAST_CHUNK = b"0\r\n\r\n"
ROUTE_NAMES = ("draft", "status", "release", "open")
SERVICES = {
    rig.MODEL: catalog.Service(rig.MODEL, "/health", rig.ENGINE),
    rig.CORE: catalog.Service(rig.CORE, "/health"),
    OTHER: catalog.Service(OTHER, "/health"),
}


def change_routes(**changes):
    """Returns the changes of a configuration that apply to all routes."""
    routes = (rig.STREAM, rig.SAFE, rig.UNSAFE, rig.OPEN)
    return {
        "routes": tuple(
            dataclasses.replace(route, **changes) for route in routes
        )
    }


def change_limits(**changes):
    """Returns the changes of a configuration that apply to the limits."""
    return {"limits": catalog.ClientLimits(**changes)}


def change_engine(**changes):
    """Returns the changes that apply to the parameters of the runners."""
    engine = dataclasses.replace(rig.ENGINE, **changes)
    model = catalog.Service(rig.MODEL, "/health", engine)
    return {"service_by_id": SERVICES | {rig.MODEL: model}}


def weigh(*rows):
    """Returns weighted services."""
    return tuple(
        catalog.WeightedService(service, weight) for service, weight in rows
    )


MANY_ROUTES = tuple(
    rig.make_route(f"r{number}", catalog.Idempotency.SAFE, rig.CORE)
    for number in range(2000)
)

# Name, changes of the configuration, and the statuses of a stream, a safe, an
# unsafe and an anonymous request that are sent after it.
CASES = [
    ("nothing", {}, (200, 200, 200, 200)),
    ("routes removed", {"routes": ()}, (404, 404, 404, 404)),
    ("routes moved to a plain service",
     change_routes(services=weigh((OTHER, 1.0))), (200, 200, 200, 200)),
    ("routes moved to an unknown service",
     change_routes(services=weigh((ids.ServiceId("x"), 1.0))),
     (503, 503, 503, 503)),
    ("routes split",
     change_routes(services=weigh((rig.CORE, 1.0), (OTHER, 3.0))),
     (200, 200, 200, 200)),
    ("routes split with weights of zero",
     change_routes(services=weigh((rig.CORE, 0.0), (OTHER, 0.0))),
     (200, 200, 200, 200)),
    ("time-out shortened", change_routes(timeout=0.3), (200, 200, 200, 200)),
    ("time-out lengthened", change_routes(timeout=60.0), (200, 200, 200, 200)),
    ("no time", change_routes(timeout=0.0), (503, 503, 503, 503)),
    ("one attempt", change_routes(max_attempts=1), (200, 200, 200, 200)),
    ("no repetition",
     change_routes(idempotency=catalog.Idempotency.UNSAFE, resumable=False),
     (200, 200, 200, 200)),
    ("no keys needed", change_routes(anonymous=True), (200, 200, 200, 200)),
    ("services removed", {"service_by_id": {}}, (503, 503, 503, 503)),
    ("engine removed",
     {"service_by_id": SERVICES
      | {rig.MODEL: catalog.Service(rig.MODEL, "/health")}},
     (200, 200, 200, 200)),
    # The only server of the core service holds no layers.
    ("engine added",
     {"service_by_id": SERVICES
      | {rig.CORE: catalog.Service(rig.CORE, "/health", rig.ENGINE)}},
     (200, 503, 503, 503)),
    ("engine slower", change_engine(step_seconds=0.05), (200, 200, 200, 200)),
    ("more layers", change_engine(layers=120), (503, 200, 200, 200)),
    ("fewer layers", change_engine(layers=60), (200, 200, 200, 200)),
    ("key removed", {"account_by_key": {}}, (401, 401, 401, 200)),
    ("key of another account",
     {"account_by_key": {"key-1": catalog.Account(ids.AccountId("b"), 3)}},
     (200, 200, 200, 200)),
    ("no accounts", {"account_by_key": {}, "accounts_required": False},
     (200, 200, 200, 200)),
    ("small heads", change_limits(header_bytes=10), (431, 431, 431, 431)),
    ("small bodies", change_limits(body_bytes=0), (413, 413, 413, 413)),
    ("short header time-out", change_limits(header_timeout=0.0),
     (200, 200, 200, 200)),
    ("many routes", {"routes": (*MANY_ROUTES, rig.SAFE)}, (404, 200, 404, 404)),
    ("older generation", {"generation": 6, "routes": ()},
     (200, 200, 200, 200)),
]  # fmt: skip


class Caller:
    """A caller with a connection that it keeps."""

    def __init__(self, connection):
        self.connection = connection

    async def call(self, route):
        """Sends a request and returns the complete response."""
        raw = stand_ins.GatewayRig.format_request(f"/{route}/1")
        return await control_client.exchange(
            self.connection, "POST", raw, stand_ins.WAIT_SECONDS
        )


class ConfigurationChangeTest(virtual_time_case.VirtualTimeTestCase):
    async def asyncSetUp(self):
        await self.restart()

    async def asyncTearDown(self):
        await self.rig.stop()

    async def restart(self):
        self.rig = stand_ins.GatewayRig()
        await self.rig.start()
        self.released = asyncio.Event()
        self.rig.board.set_catalog(
            ids.Revision(4), rig.make_catalog(8, service_by_id=SERVICES)
        )
        for route in self.rig.board.catalog.routes:
            self.assertGreater(route.timeout, 0.5)
        self.core = await self.rig.add_server(self.respond, "core-1")
        self.other = await self.rig.add_server(self.respond, "other-1", OTHER)
        self.runner = await self.rig.add_runner(self.respond, "i-1", 0, 80)

    async def respond(self, request, writer, number):
        if "x-hop-count" not in request.headers:
            await self.released.wait()
            writer.write(stand_ins.complete_response(request))
            return
        writer.write(stand_ins.stream_head(request))
        writer.write(stand_ins.sse_chunk(1, 2))
        await self.released.wait()
        writer.write(stand_ins.sse_chunk(3, 4) + LAST_CHUNK)

    async def dial(self):
        return Caller(await http_call.connect(self.rig.address))

    def activate(self, changes):
        values = {"generation": 9, "service_by_id": SERVICES} | changes
        self.rig.board.set_catalog(ids.Revision(9), rig.make_catalog(**values))
        rig.confirm(self.rig.board, freshness.boot_clock())

    def assert_whole(self, route, response):
        self.assertEqual(response.status, 200)
        if route == "draft":
            self.assertEqual(stand_ins.event_ids(response.body), [1, 2, 3, 4])
        else:
            self.assertEqual(response.body, b"done")

    async def wait_until_sent(self, count):
        servers = (self.core, self.runner)
        async with asyncio.timeout(stand_ins.WAIT_SECONDS):
            while sum(len(s.requests) for s in servers) < count:  # noqa: ASYNC110 - of two servers.
                await asyncio.sleep(0.002)

    async def check_change(self, changes, statuses):
        """Makes a change beside requests in flight and kept connections."""
        self.released.set()
        kept = {}
        for route in ROUTE_NAMES:
            kept[route] = await self.dial()
            self.assert_whole(route, await kept[route].call(route))
        self.released.clear()
        sent = len(self.core.requests) + len(self.runner.requests)
        callers = {route: await self.dial() for route in ROUTE_NAMES}
        running = {
            route: asyncio.ensure_future(caller.call(route))
            for route, caller in callers.items()
        }
        await self.wait_until_sent(sent + len(ROUTE_NAMES))
        self.activate(changes)
        await asyncio.sleep(0.02)
        for route, task in running.items():
            self.assertFalse(task.done(), route)
        self.released.set()
        for route, task in running.items():
            self.assert_whole(route, await task)
        for by_route in (kept, callers):
            for route, status in zip(ROUTE_NAMES, statuses, strict=True):
                response = await by_route[route].call(route)
                self.assertEqual(response.status, status, route)
                by_route[route].connection.close()

    async def test_requests_in_flight_end_and_later_ones_follow_the_change(
        self,
    ):
        for name, changes, statuses in CASES:
            with self.subTest(name):
                await self.rig.stop()
                await self.restart()
                await self.check_change(changes, statuses)

    async def test_many_changes_beside_requests_in_flight(self):
        for _, changes, _ in CASES:
            with self.subTest(str(changes)[:40]):
                await self.rig.stop()
                await self.restart()
                caller = await self.dial()
                task = asyncio.ensure_future(caller.call("draft"))
                await self.wait_until_sent(1)
                for generation, (_, others, _) in enumerate(CASES, 10):
                    self.activate(others | {"generation": generation})
                    await asyncio.sleep(0)
                self.activate(changes | {"generation": 100})
                self.released.set()
                self.assert_whole("draft", await task)

    async def test_a_request_that_is_read_during_a_change(self):
        raw = stand_ins.GatewayRig.format_request("/status/1", body=b"x" * 900)
        for name, changes, statuses in CASES:
            with self.subTest(name):
                await self.rig.stop()
                await self.restart()
                self.released.set()
                reader, writer = await asyncio.open_connection(
                    *self.rig.address.split(":")
                )
                writer.write(raw[:-500])
                await asyncio.sleep(0.01)
                self.activate(changes)
                await asyncio.sleep(0.01)
                writer.write(raw[-500:])
                # A head that was read whole before the change is not refused.
                expected = statuses[1] if statuses[1] != 431 else 200  # noqa: PLR2004
                status_line = await asyncio.wait_for(
                    reader.readline(), stand_ins.WAIT_SECONDS
                )
                self.assertEqual(int(status_line.split()[1]), expected)
                writer.close()

    async def test_a_request_that_waits_behind_another_during_a_change(self):
        raw = stand_ins.GatewayRig.format_request("/status/1")
        for name, changes, statuses in CASES:
            with self.subTest(name):
                await self.rig.stop()
                await self.restart()
                reader, writer = await asyncio.open_connection(
                    *self.rig.address.split(":")
                )
                writer.write(raw + raw)
                await self.wait_until_sent(1)
                self.activate(changes)
                self.released.set()
                # Both were read whole before the change of the limits.
                second = 200 if statuses[1] in (413, 431) else statuses[1]
                for expected in (200, second):
                    async with asyncio.timeout(stand_ins.WAIT_SECONDS):
                        head = (await reader.readuntil(b"\r\n\r\n")).decode()
                    status, *headers = head.lower().split("\r\n")
                    self.assertEqual(int(status.split()[1]), expected)
                    (length,) = [
                        int(each.partition(":")[2])
                        for each in headers
                        if each.startswith("content-length:")
                    ]
                    await reader.readexactly(length)
                writer.close()


if __name__ == "__main__":
    unittest.main()
