"""Plays troubles of a store on routers in memory, for a model test."""

import asyncio
import collections
import contextlib
import itertools

from nutmeglift import kv
from nutmeglift_gateway import freshness
from nutmeglift_gateway import store_view
from nutmeglift_platform import names
from tests.gateway import confirmation_reference
from tests.gateway import memory_routers
from tests.gateway import platform_routers

START_SECONDS = 3.0
MAX_SETTLE_SECONDS = 4.4
"""Longest time after which confirmations of a new era count: while the last one
before is young enough to accept keys, waiting refuses no request."""
END_SECONDS = confirmation_reference.APPLY_SECONDS + MAX_SETTLE_SECONDS
PROBE_SECONDS = 0.02
REQUEST_PROBE_COUNT = 5
"""Every so many probes send requests."""
COPY_SECONDS = 0.1
"""Interval of the copies that the store may come back from."""
MAX_COPY_COUNT = 101
FIRST_KEY = store_view.OWN_PREFIX + "first"
HEARTBEAT_SECONDS = 0.3
STORM_SECONDS = 0.05
ROUTER_NAMES = ("one", "two", "three")


class Scenario:
    """Some routers, their store, and the operator that writes to it.

    The methods whose names begin with do_ are the steps.

    Attributes:
        reference: judges the routers.
    """

    def __init__(self, router_count, era):
        self.reference = confirmation_reference.Reference()
        self._store = memory_routers.MemoryStore()
        self._store.stand_in.era = era
        self._router_by_name = dict.fromkeys(ROUTER_NAMES[:router_count])
        self._links = []
        self._copies = collections.deque(maxlen=MAX_COPY_COUNT)
        self._names = itertools.count()
        self._fences = itertools.count(1)
        self._returned = asyncio.Event()
        self._returned.set()
        self._version_by_value = {}
        self._rewriting = None

    async def play(self, steps):
        """Plays steps, and lets the routers settle."""
        await self._write(
            confirmation_reference.Version(
                1,
                frozenset(["first"]),
                frozenset([confirmation_reference.KEPT]),
            )
        )
        # The configuration is not on the first page of a listing then.
        await self._store.memory.txn([], [kv.Put(FIRST_KEY, b"")])
        background = [
            asyncio.ensure_future(work())
            for work in (self._probe, self._beat, self._keep_copies)
        ]
        try:
            for name in self._router_by_name:
                await self._start(name)
            await asyncio.sleep(START_SECONDS)
            for name, *arguments in steps:
                await getattr(self, f"do_{name}")(*arguments)
            await self._settle()
            for task in background:
                if task.done():
                    task.result()
        finally:
            for task in (*background, self._rewriting):
                if task is not None:
                    task.cancel()
            for link in self._links:
                await link.stop()
            for router in self._router_by_name.values():
                if router is not None:
                    await router.stop()

    # Steps.

    async def do_wait(self, seconds):
        await asyncio.sleep(seconds)

    async def do_write(self, step, revokes, readable):
        """Writes a version with a route and a key more, perhaps some less."""
        await self._returned.wait()
        newest = self.reference.newest
        extra = frozenset([f"n{next(self._names)}"])
        routes, keys = newest.routes, newest.keys
        if revokes:
            routes = frozenset(["first"])
            keys = frozenset([confirmation_reference.KEPT])
        await self._write(
            confirmation_reference.Version(
                newest.number + step, routes | extra, keys | extra, readable
            )
        )

    async def do_storm(self, count):
        """Writes versions in quick succession."""
        for number in range(count):
            await self.do_write(1 + number % 2, number % 2 == 1, True)
            await asyncio.sleep(STORM_SECONDS)

    async def do_renew(self, count):
        """Raises the store's revision."""
        await self._returned.wait()
        for _ in range(count):
            await self._put_server()

    async def do_drill(self, away, age, gap, rewriting):
        """The store is away, and comes back from a copy.

        Args:
            away: for how many seconds.
            age: age of the copy in seconds.
            gap: seconds until the operator writes again what was lost.
            rewriting: whether it writes the newest lost version again, all of
                them, or a further one.
        """
        if self._rewriting is not None:
            self._rewriting.cancel()
        taken = self._copies[max(0, len(self._copies) - 1 - round(age * 10))]
        self._returned.clear()
        self._store.leave()
        await asyncio.sleep(away)
        self._store.come_back(taken)
        self._copies.clear()
        self._copies.append(taken)
        self._returned.set()
        self._rewriting = asyncio.ensure_future(self._rewrite(gap, rewriting))

    async def do_lose(self, index, count):
        self._client(index).lost_count = count

    async def do_delay(self, index, count, seconds):
        client = self._client(index)
        client.late_count, client.late_seconds = count, seconds

    async def do_reject(self, index, status, seconds):
        client = self._client(index)
        client.rejected_status = status
        client.rejected_until = self._now() + seconds

    async def do_cut_watches(self):
        self._store.reset(memory_routers.HISTORY_CALL)

    async def do_drop_history(self, index):
        self._client(index).dropped_count = 1
        self._store.reset(memory_routers.HISTORY_CALL)

    async def do_list_in_pages(self, index, size):
        """Lets a router list the store in pages of this many items."""
        self._store.stand_in.page_size = size
        await self.do_drop_history(index)

    async def do_silence_watches(self, index, seconds):
        self._client(index).silent_watches_until = self._now() + seconds

    async def do_forge_era(self, index, kind, count):
        """Replaces the header of the next responses."""
        forge = {
            "missing": lambda era: None,
            "falling": lambda era: b"1",
            "malformed": lambda era: b"one",
        }[kind]
        self._client(index).era_faults.extend([forge] * count)

    async def do_restart(self, index):
        """Ends a router, if it runs, and starts a new process."""
        name = ROUTER_NAMES[index % len(ROUTER_NAMES)]
        await self._stop(name)
        await self._start(name)

    async def do_cut_links(self, index, seconds):
        if self._links:
            self._links[index % len(self._links)].cut(seconds)

    async def do_hold_links(self, index, seconds):
        if self._links:
            self._links[index % len(self._links)].hold(seconds)

    async def do_plan(self, index):
        """Elects a router."""
        elected = self._routers[index % len(self._routers)]
        for router in self._routers:
            router.board.fence = 0
        elected.board.fence = next(self._fences)
        elected.board.greatest_fence = elected.board.fence

    # The operator and the backend servers.

    async def _write(self, version):
        await self._store.memory.txn(
            [], [kv.Put(names.CONFIG_KEY, version.encode())]
        )
        self._version_by_value[version.encode()] = version
        self.reference.acknowledge(self._now(), version)

    async def _rewrite(self, gap, rewriting):
        await asyncio.sleep(gap)
        await self._returned.wait()
        entry = await self._store.memory.get(names.CONFIG_KEY)
        stored = self._version_by_value[entry.value]
        newest = self.reference.newest
        if stored.number >= newest.number:
            return
        if rewriting == "next":
            await self.do_write(1, False, newest.readable)
            return
        lost = [
            version
            for version in self._version_by_value.values()
            if stored.number < version.number <= newest.number
        ]
        if rewriting == "newest":
            lost = lost[-1:]
        for version in lost:
            await self._write(version)

    async def _put_server(self):
        await self._store.memory.txn(
            [],
            [
                kv.Put(
                    names.SERVER_PREFIX + "stays",
                    platform_routers.encode(
                        platform_routers.make_server("stays")
                    ),
                )
            ],
        )

    async def _beat(self):
        while True:
            await self._returned.wait()
            await self._put_server()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _keep_copies(self):
        while True:
            await self._returned.wait()
            self._copies.append(self._store.memory.take_copy())
            await asyncio.sleep(COPY_SECONDS)

    # The routers.

    @property
    def _routers(self):
        return [r for r in self._router_by_name.values() if r is not None]

    def _client(self, index):
        return self._routers[index % len(self._routers)].client

    async def _start(self, name):
        router = memory_routers.MemoryRouter(name, self._store)
        for other in self._routers:
            self._links.append(memory_routers.MemoryLink(other, router))
        self._router_by_name[name] = router
        router.start()
        if not any(each.board.fence for each in self._routers):
            await self.do_plan(0)

    async def _stop(self, name):
        router = self._router_by_name.get(name)
        if router is None:
            return
        self._router_by_name[name] = None
        for link in [each for each in self._links if router in each.routers]:
            self._links.remove(link)
            await link.stop()
        await router.stop()

    async def _probe(self):
        for number in itertools.count():
            for router in self._routers:
                self.reference.check_confirmation(self._now(), router)
                if number % REQUEST_PROBE_COUNT == 0:
                    self.reference.check_requests(self._now(), router)
            await asyncio.sleep(PROBE_SECONDS)

    async def _settle(self):
        """Ends all troubles, and checks what the routers have then."""
        for router in self._routers:
            router.client.clear()
        for link in self._links:
            link.cut_until = 0.0
        if self._rewriting is not None:
            with contextlib.suppress(asyncio.CancelledError):
                await self._rewriting
        await asyncio.sleep(END_SECONDS)
        for router in self._routers:
            self.reference.check_settled(self._now(), router)

    @staticmethod
    def _now():
        return freshness.boot_clock()
