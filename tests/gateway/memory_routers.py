"""Routers, their links and a store without sockets, for model tests."""

import asyncio
import collections
import json
import types
from urllib import parse

from websockets import exceptions

from nutmeglift import ids
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import freshness
from nutmeglift_gateway import http_call
from nutmeglift_gateway import peer_links
from nutmeglift_gateway import settings
from nutmeglift_gateway import store_reader
from nutmeglift_gateway import supervision
from nutmeglift_platform import schema
from nutmeglift_platform import store
from tests.gateway import rig
from tests.gateway import store_stand_in

LATENCY_SECONDS = 0.001
REDIAL_SECONDS = 0.2
HISTORY_CALL = "/v1/kv-watch"


class MemoryStore:
    """The platform's store, whose connections can be reset.

    Attributes:
        stand_in: answers the calls.
        away: whether all connections are reset.
    """

    def __init__(self):
        self.stand_in = store_stand_in.StoreStandIn()
        self.away = False
        self._pending = {}

    @property
    def memory(self):
        return self.stand_in.memory

    @property
    def era(self):
        return self.stand_in.era

    def leave(self):
        """Resets all connections from now on."""
        self.away = True
        self.reset("")

    def come_back(self, taken):
        """Restores a copy, and answers calls again in the next era."""
        self.memory.restore_copy(taken)
        self.stand_in.era = (self.era or 0) + 1
        self.away = False

    def reset(self, target):
        """Resets the connections of waiting calls to an interface."""
        for pending, called in list(self._pending.items()):
            if called.startswith(target) and not pending.done():
                pending.set_result(None)

    async def call(self, method, target, body):
        """Returns status, fields and era of the response.

        Raises:
            http_call.CallError: the connection was reset.
        """
        await asyncio.sleep(LATENCY_SECONDS)
        url = parse.urlsplit(target)
        query = dict(parse.parse_qsl(url.query, keep_blank_values=True))
        pending = asyncio.get_running_loop().create_future()
        self._pending[pending] = target
        if self.away:
            pending.set_result(None)
        work = asyncio.ensure_future(
            self.stand_in._dispatch(
                method, url.path, query, json.loads(body) if body else {}
            )
        )
        try:
            await asyncio.wait(
                {work, pending}, return_when=asyncio.FIRST_COMPLETED
            )
            if pending.done() or self.away:
                raise http_call.CallError(
                    http_call.CallFailure.RESET, True, "away"
                )
            status, fields = work.result()
            return status, fields, self.era
        finally:
            work.cancel()
            del self._pending[pending]


class MemoryClient:
    """Replaces the HTTP client of one router's calls to the store.

    Attributes:
        lost_count: number of next calls whose responses are lost.
        late_count: number of next calls whose responses come late. They have
            left the store by then, so they arrive even if it is away.
        late_seconds: how late.
        rejected_until: loop time until which calls are rejected.
        rejected_status: HTTP status of the rejections.
        silent_watches_until: loop time until which watches get no response.
        dropped_count: number of next watches whose history is gone.
        era_faults: headers that replace that of the next responses; None
            leaves it out.
    """

    def __init__(self, memory_store):
        self._store = memory_store
        self.clear()

    def clear(self):
        """Ends all troubles."""
        self.lost_count = 0
        self.late_count = 0
        self.late_seconds = 0.0
        self.rejected_until = 0.0
        self.rejected_status = 503
        self.silent_watches_until = 0.0
        self.dropped_count = 0
        self.era_faults = collections.deque()

    def close(self):
        """Closes idle connections."""

    async def call(self, method, target, body=b"", *, timeout, max_seconds=0.0):
        """Makes one call."""
        del max_seconds
        try:
            async with asyncio.timeout(timeout):
                return await self._call(method, target, body)
        except TimeoutError as error:
            raise http_call.CallError(
                http_call.CallFailure.TIMEOUT, True, "no response"
            ) from error

    async def _call(self, method, target, body):
        loop = asyncio.get_running_loop()
        if loop.time() < self.rejected_until:
            await asyncio.sleep(LATENCY_SECONDS)
            return self._respond(self.rejected_status, {}, self._store.era)
        is_watch = target.startswith(HISTORY_CALL)
        if is_watch and self.dropped_count:
            self.dropped_count -= 1
            await asyncio.sleep(LATENCY_SECONDS)
            return self._respond(410, {}, self._store.era)
        response = self._respond(*await self._store.call(method, target, body))
        if is_watch and loop.time() < self.silent_watches_until:
            await loop.create_future()
        if self.lost_count:
            self.lost_count -= 1
            await loop.create_future()
        if self.late_count:
            self.late_count -= 1
            await asyncio.sleep(self.late_seconds)
        await asyncio.sleep(LATENCY_SECONDS)
        return response

    def _respond(self, status, fields, era):
        value = None if era is None else b"%d" % era
        if self.era_faults:
            value = self.era_faults.popleft()(era)
        headers = [] if value is None else [(b"store-era", value)]
        body = json.dumps(fields).encode()
        return http_call.Response(http_call.Head(status, headers), body)


class _LinkEnd:
    """One end of a websocket connection without a socket."""

    def __init__(self, name):
        self.remote_address = name
        self.transport = types.SimpleNamespace(abort=self.abort)
        self.other = None
        self._queue = asyncio.Queue()
        self._closed = False
        self.held_until = 0.0

    def abort(self):
        for end in (self, self.other):
            if not end._closed:
                end._closed = True
                end._queue.put_nowait(None)

    async def send(self, raw):
        if self._closed:
            raise exceptions.ConnectionClosedError(None, None)
        self.other._queue.put_nowait(raw)

    async def recv(self):
        loop = asyncio.get_running_loop()
        raw = await self._queue.get()
        await asyncio.sleep(max(LATENCY_SECONDS, self.held_until - loop.time()))
        if raw is None or self._closed:
            raise exceptions.ConnectionClosedError(None, None)
        return raw


class MemoryRouter:
    """The parts of a router that decide on the configuration.

    Attributes:
        vm: name of the router's VM.
        board: the router's shared state.
        log: the router's log.
        client: its way to the store.
        links: its side of the links.
    """

    def __init__(self, vm, memory_store):
        self.vm = vm
        self.log = rig.MemoryLog()
        self.board = boards.Board(settings.Bounds(), ids.FailureDomain("a"))
        self.client = MemoryClient(memory_store)
        kv = store.PlatformKv(
            "127.0.0.1:1", settings.Store("127.0.0.1:1").timeout_seconds
        )
        kv._calls = kv._watches = self.client
        self.rng = rig.make_rng()
        self.rng.seed(vm)
        self.reader = store_reader.StoreReader(
            kv, schema.PlatformSchema(), self.board, self.log, self.rng, vm
        )
        self.links = peer_links.PeerLinks(
            self.board, self.reader, vm, self.log, self.rng
        )
        self._tasks = []

    def start(self):
        self._tasks = [
            asyncio.ensure_future(
                supervision.supervise(repr(work), work, self.log, self.rng)
            )
            for work in (self.reader.watch, self.reader.confirm)
        ]

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def age(self):
        return self.board.freshness.age(freshness.boot_clock())


class MemoryLink:
    """Keeps two routers linked.

    Attributes:
        cut_until: loop time until which they can't be linked.
    """

    def __init__(self, one, two):
        self.routers = (one, two)
        self.cut_until = 0.0
        self._ends = ()
        self._task = asyncio.ensure_future(self._run())

    def cut(self, seconds):
        self.cut_until = asyncio.get_running_loop().time() + seconds
        for end in self._ends:
            end.abort()

    def hold(self, seconds):
        """Delays what is received from now on."""
        until = asyncio.get_running_loop().time() + seconds
        for end in self._ends:
            end.held_until = until

    async def stop(self):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self):
        loop = asyncio.get_running_loop()
        one, two = self.routers
        while True:
            if loop.time() >= self.cut_until:
                self._ends = (_LinkEnd(two.vm), _LinkEnd(one.vm))
                self._ends[0].other, self._ends[1].other = reversed(self._ends)
                await asyncio.gather(
                    one.links._run_link(self._ends[0]),
                    two.links._run_link(self._ends[1]),
                )
            await asyncio.sleep(REDIAL_SECONDS)
