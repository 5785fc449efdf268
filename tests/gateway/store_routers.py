"""Routers that keep in sync with a stand-in of the store, over sockets."""

import asyncio
import functools

from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import failure_recorder
from nutmeglift_gateway import metrics
from nutmeglift_gateway import peer_links
from nutmeglift_gateway import planner_controller
from nutmeglift_gateway import prober
from nutmeglift_gateway import registration
from nutmeglift_gateway import settings
from nutmeglift_gateway import store_reader
from nutmeglift_gateway import supervision
from nutmeglift_platform import store
from tests.gateway import restorable_kv
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import store_stand_in
from tests.gateway import test_whole_gateway

CATALOG_KEY = "operators/configuration"
POLL_SECONDS = 0.01


class Router:
    """The controllers of one router, with its own way to the store.

    Attributes:
        vm: name of the router's VM.
        store: the store as this router reaches it.
        board: the router's shared state.
        log: the router's log.
        reader: keeps the board in sync with the store.
        runners: the runners that it calls.
    """

    def __init__(self, vm, memory, schema):
        self.vm = vm
        self.log = rig.MemoryLog()
        self.board = rig.make_empty_board()
        self.store = store_stand_in.StoreStandIn()
        self.store.memory = memory
        self.runners = rig.MemoryRunners()
        self._schema = schema
        self._tasks = []

    async def start(self):
        await self.store.start()
        client = store.PlatformKv(
            self.store.server.address,
            settings.Store("127.0.0.1:1").timeout_seconds,
        )
        rng = rig.make_rng()
        rng.seed(self.vm)
        address = f"127.0.0.1:{test_whole_gateway.free_port()}"
        runners = self.runners
        counters = metrics.Metrics()
        reader = store_reader.StoreReader(
            client, self._schema, self.board, self.log, rng, self.vm
        )
        registered = registration.Registration(
            client,
            self.vm,
            address,
            reader.outage,
            self.log,
            rng,
            reader.readers,
        )
        planner = planner_controller.PlannerController(
            client,
            reader,
            registered,
            self.board,
            runners,
            self.vm,
            self.log,
            counters,
            failure_recorder.FailureRecorder(self.board, self.log, counters),
            rng,
        )
        links = peer_links.PeerLinks(self.board, reader, self.vm, self.log, rng)
        probes = prober.Prober(self.board, runners, self.log)
        self.reader = reader
        self._tasks = [
            asyncio.ensure_future(
                supervision.supervise(repr(work), work, self.log, rng)
            )
            for work in (
                reader.watch,
                reader.confirm,
                registered.run,
                planner.run,
                probes.run,
                functools.partial(links.serve, address),
                links.dial,
            )
        ]

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.store.server.abort()

    def uses(self, name):
        """Returns whether new requests may be sent to a server."""
        return name in {s.id for s in self.board.usable(rig.CORE)}

    @property
    def plans(self):
        return bool(self.board.fence)

    async def wait_until_unused(self, name):
        """Returns the loop time from which a server gets no new requests."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(stand_ins.WAIT_SECONDS):
            while self.uses(name):  # noqa: ASYNC110 - in virtual time.
                await asyncio.sleep(POLL_SECONDS)
        return loop.time()


class Deployment:
    """Some routers, and backend servers that write to the same store.

    Attributes:
        memory: what the store holds.
        routers: the routers, started.
    """

    def __init__(self):
        self.memory = restorable_kv.RestorableKv()
        self._era = None
        self.schema = rig.MemorySchema()
        self.schema.by_value[b"config"] = rig.make_catalog()
        self.routers = []

    async def put(self, key, value):
        """Writes an entry, as any writer to the store can."""
        await self.memory.txn([], [kv.Put(key, value)])

    async def remove(self, key):
        await self.memory.txn([], [kv.Delete(key)])

    async def put_configuration(self):
        await self.put(CATALOG_KEY, b"config")

    async def start(self, names, servers, domain_by_name=None):
        await self.put_configuration()
        for name in servers:
            await self.put_server(name)
        for name in names:
            await self.add_router(name, (domain_by_name or {}).get(name))

    async def add_router(self, name, domain=None):
        """Starts another router, and returns it."""
        router = Router(name, self.memory, self.schema)
        router.store.era = self._era
        if domain is not None:
            router.board.home = ids.FailureDomain(domain)
        self.routers.append(router)
        await router.start()
        return router

    async def stop(self):
        for router in self.routers:
            await router.stop()

    async def put_server(self, name, **changes):
        fields = {"service": rig.CORE, "kind": ""} | changes
        value = f"{name}{sorted(fields.items())}".encode()
        self.schema.by_value[value] = fields
        await self.memory.txn([], [kv.Put(f"backends/{name}", value)])

    async def remove_server(self, name):
        await self.memory.txn([], [kv.Delete(f"backends/{name}")])

    def set_silent(self, silent):
        """Withholds all responses of the store, or answers calls again."""
        for router in self.routers:
            router.store.silent = silent

    def set_era(self, era):
        """Sets the era that the store names in its responses."""
        self._era = era
        for router in self.routers:
            router.store.era = era

    async def drill(self, taken, away_seconds):
        """The store is away, and comes back from a copy in the next era."""
        self.leave()
        await asyncio.sleep(away_seconds)
        self.come_back(taken)

    def leave(self):
        """Resets all connections to the store from now on."""
        for router in self.routers:
            router.store.away = True
            router.store.server.reset_connections()

    def come_back(self, taken):
        """Restores the store from a copy, and answers calls again."""
        self.memory.restore_copy(taken)
        self.set_era((self._era or 0) + 1)
        for router in self.routers:
            router.store.away = False

    async def wait_for_planner(self):
        """Returns the planning router once one is elected."""
        async with asyncio.timeout(stand_ins.WAIT_SECONDS):
            while not any(r.plans for r in self.routers):  # noqa: ASYNC110
                await asyncio.sleep(POLL_SECONDS)
        return next(r for r in self.routers if r.plans)
