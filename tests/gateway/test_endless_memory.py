"""The memory of a router's process whose servers send without end."""

import asyncio
import json
import random
import sys
import tempfile
import unittest

from nutmeglift import kv
from nutmeglift_gateway import control_client
from nutmeglift_gateway import http_call
from nutmeglift_gateway import sse
from nutmeglift_platform import names
from tests.gateway import endless
from tests.gateway import endless_servers
from tests.gateway import stand_ins
from tests.gateway import store_stand_in
from tests.gateway import test_platform_schema
from tests.soak import routers

MAX_PEAK_BYTES = 200e6
"""A router has 300 MB, of which it usually needs 74 MB."""
START_SECONDS = 20.0
READ_SECONDS = 0.3
"""Time for the router to read of the faulty servers."""
PARALLEL_REQUEST_COUNT = 200
START_INTERVAL_SECONDS = 0.001
DEADLINE_SECONDS = 1.0
END_SECONDS = 10.0
"""Longest wait for a response; a loaded machine is slow."""
SOUND_INTERVAL_SECONDS = 0.02
HELD_BYTES = sse.MAX_EVENT_BYTES - 2 * endless.PIECE_BYTES
"""Bytes of a body or an event that exceeds no limit by itself."""
HELD_HEAD_BYTES = 60000
HONEST_STATUSES = frozenset({502, 503, 504})
DECLARED = b"HTTP/1.1 200 OK\r\nx-attempt-id: attempt-1\r\n" + (
    b"x-response-seal: seal\r\ncontent-length: 50000000\r\n\r\n"
)


def _make_configuration():
    config = json.loads(json.dumps(test_platform_schema.CONFIG))
    engine = config["services"][0]["engine"]
    engine["kinds"][0]["mb"] = 300000.0
    safe = {"kind": "safe", "sticky": False, "resumable": False}
    routes = [
        test_platform_schema.ROUTE
        | {"name": service, "prefix": f"/{service}/", "timeout_ms": 5000}
        | {"backends": [{"service": service, "weight": 1}]}
        | ({} if service == "model" else safe)
        for service in ("sound", "plain", "model")
    ]
    return config | {
        "routes": routes,
        "services": [
            {"name": "sound"},
            {"name": "plain"},
            {"name": "model", "engine": engine},
        ],
    }


class EndlessMemoryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # The stand-ins share processors with the router.
        asyncio.get_running_loop().set_debug(False)
        # The stand-ins of servers close their connections at the end.
        self.addAsyncCleanup(asyncio.sleep, 0.05)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.store = await store_stand_in.StoreStandIn().start()
        self.addCleanup(self.store.server.close)
        raw = json.dumps(_make_configuration()).encode()
        await self._put("op/config", raw)
        self.sound = await stand_ins.ScriptedServer(stand_ins.healthy).start()
        self.addCleanup(self.sound.close)
        await self._put_server("sound-1", "sound", self.sound.address, kind="")
        self.problems = []
        self.router = routers.RouterProcess(
            folder.name,
            "one",
            self.store.server.address,
            random.Random(1),
            self.problems,
        )
        await self.router.start()
        self.addAsyncCleanup(self.router.stop)
        async with asyncio.timeout(START_SECONDS):
            while await self._call("sound", 0) != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def _put(self, key, raw):
        await self.store.memory.txn([], [kv.Put(key, raw)])

    async def _put_server(self, name, service, address, *, kind):
        entry = {"service": service, "address": address}
        if kind:
            layers = endless_servers.LAYERS | {"version": 1}
            entry |= {"kind": kind, "layers": layers}
            entry = test_platform_schema.HEARTBEAT | entry
        else:
            entry = test_platform_schema.PLAIN_HEARTBEAT | entry
        await self._put(f"servers/{name}", json.dumps(entry).encode())

    async def _call(self, service, number):
        """Returns the status of a response; None for none."""
        headers = [
            (b"host", b"h"),
            (names.HEADERS.request_id, b"%b-%d" % (service.encode(), number)),
            (names.HEADERS.key, b"k1"),
            (names.HEADERS.tokens, b"100,40"),
            (names.HEADERS.deadline, b"%d" % (DEADLINE_SECONDS * 1000)),
        ]
        raw = http_call.format_request("POST", f"/{service}/1", headers, b"{}")
        try:
            connection = await http_call.connect(self.router.address, 1.0)
            response = await control_client.exchange(
                connection, "POST", raw, END_SECONDS
            )
        except http_call.CallError as error:
            return error.failure
        connection.close()
        return response.status

    async def _call_sound(self, statuses):
        while True:
            statuses.append(await self._call("sound", len(statuses)))
            await asyncio.sleep(SOUND_INTERVAL_SECONDS)

    async def check_servers(self, cases):
        """Calls faulty servers beside sound requests."""
        arguments = [str(argument) for case in cases for argument in case[1:]]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.gateway.endless_servers",
            *arguments,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(process.communicate, b"")
        line = await asyncio.wait_for(process.stdout.readline(), START_SECONDS)
        for case, addresses in zip(cases, json.loads(line), strict=True):
            with self.subTest(case):
                await self._check(case[0], addresses)

    async def _check(self, service, addresses):
        kind = "big" if service == "model" else ""
        for number, address in enumerate(addresses):
            await self._put_server(
                f"{service}-{number}", service, address, kind=kind
            )
        await asyncio.sleep(READ_SECONDS)
        sound_statuses = []
        sound = asyncio.ensure_future(self._call_sound(sound_statuses))
        calls = []
        for number in range(PARALLEL_REQUEST_COUNT):
            calls.append(asyncio.ensure_future(self._call(service, number)))
            await asyncio.sleep(START_INTERVAL_SECONDS)
        statuses = await asyncio.gather(*calls)
        sound.cancel()
        await asyncio.wait([sound])
        self.assertLessEqual(set(statuses), HONEST_STATUSES)
        self.assertEqual(set(sound_statuses), {200})
        self.assertLess(self.router.peak_resident_bytes(), MAX_PEAK_BYTES)
        self.assertEqual(self.problems, [])

    async def test_responses_without_end_stay_within_the_memory(self):
        cases = [
            # service, where, bytes after which it goes on slowly
            ("plain", "header line", HELD_HEAD_BYTES),
            ("plain", "until close", 0),
            ("plain", "until close", HELD_BYTES),
            ("plain", "declared", HELD_BYTES),
            ("model", "event", 0),
            ("model", "event", HELD_BYTES),
        ]
        await self.check_servers(cases)


if __name__ == "__main__":
    unittest.main()
