"""Injects a seeded series of faults and checks the router's guarantees."""

import asyncio
import dataclasses
import json
import random
import signal
import tempfile

from nutmeglift import kv
from tests.gateway import store_stand_in
from tests.gateway import test_platform_schema
from tests.soak import backend
from tests.soak import callers
from tests.soak import network
from tests.soak import routers

ROUTER_COUNT = 3
RUNNER_COUNT = 4
PLAIN_SERVER_COUNT = 3
CALLER_COUNT = 12
REVOCATION_SECONDS = 2.0
SETTLE_SECONDS = 3.0
MIN_SERVED_RATIO = 0.25


@dataclasses.dataclass
class Result:
    """The result of a run.

    Attributes:
        problems: violated guarantees.
        sent: number of requests sent.
        served: number of requests with a 200 response.
        faults: names of the injected faults, in order.
    """

    problems: list[str]
    sent: int
    served: int
    faults: list[str]


class SoakRun:
    """One soak run with its store, servers, routers and callers."""

    def __init__(self, seed, folder):
        self._rng = random.Random(seed)
        self._folder = folder
        self._record = backend.Record()
        self._version = 1
        self._revoked_at = {}
        self._faults = []
        self._store = store_stand_in.StoreStandIn()
        self._memory = self._store.memory

    async def run(self, seconds):
        """Injects faults for that many seconds; then checks all guarantees."""
        await self._start()
        tasks = [
            asyncio.ensure_future(self._callers.run())
            for _ in range(CALLER_COUNT)
        ]
        await self._wait_until_served()
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        running = set()
        while loop.time() < end:
            fault = self._rng.choice(self._fault_kinds())
            self._faults.append(fault.__name__)
            running.add(asyncio.ensure_future(fault()))
            if self._rng.random() < 0.6:
                await asyncio.wait(running)
            running = {task for task in running if not task.done()}
            await asyncio.sleep(self._rng.uniform(0.1, 0.6))
        if running:
            await asyncio.wait(running)
        await self._wait_until_served()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.gather(*(r.drain() for r in self._routers))
        for proxy in self._proxies:
            proxy.close()
        self._check()
        sent = self._callers.sent_by_id.values()
        served = sum(1 for request in sent if request.status == 200)
        return Result(self._record.problems, len(sent), served, self._faults)

    async def _start(self):
        await self._store.start()
        self._servers = [
            backend.Server(
                self._record, self._memory, f"runner-{n}", "model", "big"
            )
            for n in range(RUNNER_COUNT)
        ]
        self._servers += [
            backend.Server(self._record, self._memory, f"core-{n}", "core")
            for n in range(PLAIN_SERVER_COUNT)
        ]
        for server in self._servers:
            await server.start()
        self._proxies = []
        self._routers = []
        for number in range(ROUTER_COUNT):
            proxy = network.Proxy(self._store.server.address)
            await proxy.start()
            self._proxies.append(proxy)
            self._routers.append(
                routers.RouterProcess(
                    self._folder, f"router-{number}", proxy.address
                )
            )
        self._callers = callers.Callers(
            self._routers, self._rng, self._record.problems
        )
        await self._write_config()
        for router in self._routers:
            await router.start()

    async def _write_config(self):
        self._version += self._rng.randint(1, 4)
        engine = json.loads(json.dumps(test_platform_schema.ENGINE))
        engine["kinds"][0]["mb"] = 300000.0
        config = {
            "version": self._version,
            "routes": [
                {
                    "name": kind,
                    "host": "desk.example",
                    "prefix": f"/{kind}/",
                    "kind": "streaming" if kind == "stream" else kind,
                    "timeout_ms": 5000,
                    "service": "model" if kind == "stream" else "core",
                    "max_attempts": 1 if kind == "unsafe" else 2,
                    "resumable": kind == "stream",
                }
                for kind in ("stream", "safe", "unsafe")
            ],
            "services": [
                {"name": "model", "engine": engine},
                {"name": "core"},
            ],
            "tenants": [{"name": "bank", "api_keys": self._callers.keys}],
        }
        raw = json.dumps(config).encode()
        await self._memory.txn([], [kv.Put("op/config", raw)])

    async def _wait_until_served(self):
        """Waits up to 30 s until a new request of each kind has been served."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        while loop.time() < start + 30.0:
            served = [
                request
                for request in self._callers.sent_by_id.values()
                if request.sent_at > start and request.status == 200
            ]
            if {request.kind for request in served} >= {
                "stream",
                "safe",
                "unsafe",
            }:
                return
            await asyncio.sleep(0.1)
        self._record.problems.append(
            "not every kind of request was served again within 30 s"
        )

    # Faults.

    def _fault_kinds(self):
        return [
            self._kill_router,
            self._drain_router,
            self._pause_router,
            self._reload_router,
            self._disrupt_store_connection,
            self._fail_store,
            self._fail_server,
            self._crash_server,
            self._change_config,
            self._revoke_key,
        ]

    def _random_duration(self):
        return self._rng.uniform(0.3, 2.5)

    async def _kill_router(self):
        router = self._rng.choice(self._routers)
        await router.kill_and_restart(self._rng.uniform(0.1, 1.0))

    async def _drain_router(self):
        router = self._rng.choice(self._routers)
        if not await router.drain_and_restart():
            self._record.problems.append(
                f"{router.vm} did not exit after SIGTERM"
            )

    async def _pause_router(self):
        router = self._rng.choice(self._routers)
        router.send(signal.SIGSTOP)
        await asyncio.sleep(self._random_duration())
        router.send(signal.SIGCONT)

    async def _reload_router(self):
        self._rng.choice(self._routers).send(signal.SIGHUP)

    async def _disrupt_store_connection(self):
        proxy = self._rng.choice(self._proxies)
        modes = [mode for mode in network.Mode if mode is not network.Mode.PASS]
        proxy.set_mode(self._rng.choice(modes))
        await asyncio.sleep(self._random_duration())
        proxy.set_mode(network.Mode.PASS)

    async def _fail_store(self):
        status = self._rng.choice([429, 503])
        raw = b"HTTP/1.1 %d X\r\ncontent-length: 0\r\n\r\n" % status
        self._store.fault = lambda request: raw
        await asyncio.sleep(self._random_duration())
        self._store.fault = None

    async def _fail_server(self):
        server = self._rng.choice(self._servers)
        kinds = [f for f in backend.Fault if f is not backend.Fault.NONE]
        server.fault = self._rng.choice(kinds)
        await asyncio.sleep(self._random_duration())
        server.fault = backend.Fault.NONE

    async def _crash_server(self):
        server = self._rng.choice(self._servers)
        await server.crash()
        await asyncio.sleep(self._random_duration())
        await server.restart()

    async def _change_config(self):
        for _ in range(self._rng.randint(1, 5)):
            await self._write_config()
            await asyncio.sleep(0.05)

    async def _revoke_key(self):
        if len(self._callers.keys) > 1:
            key = self._callers.keys[0]
            self._callers.keys = [*self._callers.keys[1:], f"{key}-next"]
            self._callers.revoked_keys.append(key)
            await self._write_config()
            self._revoked_at[key] = asyncio.get_running_loop().time()

    # Checks.

    def _check(self):
        problems = self._record.problems
        for sent in self._callers.sent_by_id.values():
            runs = self._record.runs_by_id.get(sent.id, [])
            if sent.kind == "unsafe" and len(runs) > 1:
                problems.append(f"{sent.id} ran at {runs}")
            if sent.status in callers.NOT_RUN_STATUSES and runs:
                problems.append(f"{sent.id}: {sent.status}, but ran at {runs}")
            revoked_at = self._revoked_at.get(sent.key)
            if (
                runs
                and revoked_at is not None
                and sent.sent_at > revoked_at + REVOCATION_SECONDS
            ):
                problems.append(f"{sent.id} ran with a revoked key")
        for router in self._routers:
            for mark in ("internal error", "controller failed", "Traceback"):
                log = router.log()
                at = log.find(mark)
                if at >= 0:
                    problems.append(f"{router.vm}: {log[at : at + 1500]}")


async def run_seed(seed, seconds):
    """Runs the soak with a seed in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        return await SoakRun(seed, folder).run(seconds)
