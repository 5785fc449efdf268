"""Processes of routers, with a stand-in of the store and plain servers."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile

from nutmeglift import kv
from nutmeglift_gateway import http_call
from nutmeglift_platform import environment
from nutmeglift_platform import names
from tests.gateway import platform_routers
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import store_stand_in
from tests.gateway import test_whole_gateway

START_SECONDS = 30.0
"""Includes the time to load the program on a busy machine."""
RATIO = 0.2
SLACK = 20.0
WINDOW = 3.0


class Process:
    """One router, which may be killed, started again and stopped for a time."""

    def __init__(self, name, store_address, folder):
        self.name = name
        self.address = f"127.0.0.1:{test_whole_gateway.free_port()}"
        self._process = None
        self._path = pathlib.Path(folder) / f"{name}.json"
        port = test_whole_gateway.free_port
        fields = {
            "vm": name,
            "failure_domain": "a",
            "first_start": True,
            "listen": {
                "callers": self.address,
                "readiness": f"127.0.0.1:{port()}",
                "peers": f"127.0.0.1:{port()}",
                "metrics": f"127.0.0.1:{port()}",
            },
            "store": {"address": store_address},
            "bounds": {
                "retry_ratio": RATIO,
                "retry_slack": SLACK,
                "retry_window_seconds": WINDOW,
            },
        }
        self._fields = fields

    async def start(self):
        """Starts the process and waits until it is ready."""
        self._path.write_text(json.dumps(self._fields), encoding="utf-8")
        self._fields["first_start"] = False
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "nutmeglift_platform",
            "serve",
            env=os.environ | {environment.SETTINGS_VARIABLE: str(self._path)},
            stdout=asyncio.subprocess.DEVNULL,
        )
        async with asyncio.timeout(START_SECONDS):
            while not await self._is_ready():  # noqa: ASYNC110 - a process.
                await asyncio.sleep(0.05)

    async def _is_ready(self):
        host, _, port = self._fields["listen"]["readiness"].rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        path = names.READINESS_PATH
        writer.write(f"GET {path} HTTP/1.1\r\nhost: x\r\n\r\n".encode())
        try:
            return b" 200 " in await reader.readline()
        finally:
            writer.close()

    def send_signal(self, number):
        self._process.send_signal(number)

    async def kill(self):
        """Ends the process without notice."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def freeze(self, seconds):
        """Stops the process for a time."""
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send_signal(signal.SIGCONT)


class Deployment:
    """Router processes, their store and the servers of one plain service.

    Attributes:
        routers: the routers.
        memory: what the store holds.
        statuses: statuses of the responses to callers; None for none.
        requests: loop time of each caller's request.
    """

    def __init__(self):
        self.routers = []
        self.statuses = []
        self.requests = []
        self.memory = None
        self._store = store_stand_in.StoreStandIn()
        self._folder = tempfile.TemporaryDirectory()
        self._servers = []
        self._count = 0

    async def start(self, router_count, scripts):
        await self._store.start()
        self.memory = self._store.memory
        configuration = platform_routers.make_configuration(7)
        configuration["routes"][0]["max_attempts"] = 2
        await self._put(names.CONFIG_KEY, configuration)
        for number, script in enumerate(scripts):
            server = await stand_ins.ScriptedServer(script).start()
            self._servers.append(server)
            name = f"s{number}"
            fields = platform_routers.make_server(name, address=server.address)
            await self._put(names.SERVER_PREFIX + name, fields)
        self.routers = [
            Process(f"r{number}", self._store.server.address, self._folder.name)
            for number in range(router_count)
        ]
        await asyncio.gather(*(router.start() for router in self.routers))

    async def _put(self, key, fields):
        raw = platform_routers.encode(fields)
        await self.memory.txn([], [kv.Put(key, raw)])

    async def stop(self):
        for router in self.routers:
            await router.kill()
        for server in self._servers:
            server.close()
        self._store.server.abort()
        self._folder.cleanup()

    async def call(self, router):
        """Sends a request whose id names the router; returns the status."""
        self._count += 1
        request = rig.make_request(
            "/status/1",
            "GET",
            b"",
            x_attempt_id=f"{router.name}-{self._count}".encode(),
        )
        raw = http_call.format_request("GET", "/status/1", request.headers, b"")
        self.requests.append(asyncio.get_running_loop().time())
        status = await self._status(router.address, raw)
        self.statuses.append(status)
        return status

    @staticmethod
    async def _status(address, raw):
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(raw)
                    line = await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return None
        return int(line.split()[1]) if line else None
