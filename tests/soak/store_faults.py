"""Faults of the store, alone and beside faults of the planner."""

import asyncio
import collections
import contextlib
import signal

from nutmeglift_gateway import store_view
from tests.soak import configs
from tests.soak import network
from tests.soak import routers as router_processes

COPY_INTERVAL_SECONDS = 0.1
MAX_COPY_COUNT = 100
"""The oldest copy is 10 s old."""
MAX_AWAY_SECONDS = 3.0
REWRITE_SECONDS = (0.05, 2.0)
"""Until the operator or a server notices what the store has lost."""
SLOW_SECONDS = (0.2, 0.9)
SETTLE_SECONDS = 7.0
MAX_PAGE_SIZE = 12
PAGE_SIZE = 500
"""Number of items in one page of the platform's store."""


@contextlib.contextmanager
def disturbing(affected):
    """Records that the store is disturbed for these routers."""
    loop = asyncio.get_running_loop()
    disruptions = [router_processes.Disruption(loop.time()) for _ in affected]
    for router, disruption in zip(affected, disruptions, strict=True):
        router.store_disruptions.append(disruption)
    try:
        yield
    finally:
        for disruption in disruptions:
            disruption.end = loop.time()


def is_settling(affected, now):
    """Returns whether the store was disturbed for all routers a while ago.

    Most of its faults wait for that, or the rules would excuse all that a
    router does with the configurations.
    """
    return all(
        router.store_disruptions
        and now < router.store_disruptions[-1].end + SETTLE_SECONDS
        for router in affected
    )


class Copies:
    """Copies of the store, one each 0.1 s."""

    def __init__(self, memory):
        self._memory = memory
        self._copies = collections.deque(maxlen=MAX_COPY_COUNT)

    async def run(self):
        """Takes copies until it is cancelled."""
        while True:
            self._copies.append(self._memory.take_copy())
            await asyncio.sleep(COPY_INTERVAL_SECONDS)

    def draw(self, rng):
        """Returns a copy, as often younger than a second as older."""
        copies = list(self._copies)
        return rng.choice(copies[-10:] if rng.random() < 0.5 else copies)


class StoreFaults:
    """Injects one fault of the store."""

    def __init__(self, rng, system):
        """Initializes the faults.

        Args:
            rng: random numbers for this fault only.
            system: the soak_run.System that the fault acts on.
        """
        self._rng = rng
        self._system = system
        self._store = system.store

    def all(self):
        """Returns all faults and whether each may go with a changed config."""
        return [
            (self.drill_store, True),
            (self.drill_as_router_starts, True),
            (self.lose_answers, True),
            (self.slow_store, True),
            (self.cut_watches, True),
            (self.drop_history, True),
            (self.limit_store, True),
            (self.disturb_planner, True),
            (self.drill_as_planner_fails, True),
        ]

    async def drill_store(self):
        """The store comes back from an older copy, sometimes twice."""
        rewrites = await self._drill()
        if self._rng.random() < 0.3:
            await asyncio.sleep(self._rng.uniform(0.0, 1.5))
            rewrites += await self._drill()
        await asyncio.gather(*rewrites, self._write_on())

    async def drill_as_router_starts(self):
        """A router is killed so that it starts before all is written again."""
        router = self._rng.choice(self._system.routers)
        router.send(signal.SIGKILL)
        await asyncio.gather(*await self._drill())

    async def _drill(self):
        """Returns the tasks that write again what the store has lost."""
        async with self._system.drill_lock:
            taken = self._system.copies.draw(self._rng)
            away_seconds = self._rng.choice(
                [0.0, self._rng.uniform(0.0, MAX_AWAY_SECONDS)]
            )
            with disturbing(self._system.routers):
                await self._store.drill(taken, away_seconds)
        entry = await self._store.memory.get(configs.CONFIG_KEY)
        self._system.config_writer.lose(entry.value)
        # The draws don't depend on what was lost, so that the seed tells more.
        config_delay = self._rng.uniform(*REWRITE_SECONDS)
        is_newer = self._rng.random() < 0.5
        rewrites = []
        for key in self._system.writer.lost_keys():
            if key == configs.CONFIG_KEY:
                rewrite = self._rewrite_config(config_delay, is_newer)
            else:
                seconds = self._rng.uniform(*REWRITE_SECONDS)
                rewrite = self._rewrite(key, seconds)
            rewrites.append(asyncio.ensure_future(rewrite))
        return rewrites

    async def _write_on(self):
        """Writes versions until the rules excuse a late one no more."""
        for _ in range(self._rng.randint(0, 10)):
            await asyncio.sleep(self._rng.uniform(0.2, 1.2))
            self._system.config_writer.vary()
            await self._system.config_writer.write()

    async def _rewrite(self, key, seconds):
        await asyncio.sleep(seconds)
        await self._system.writer.write_again(key)

    async def _rewrite_config(self, seconds, is_newer):
        await asyncio.sleep(seconds)
        writer = self._system.config_writer
        if is_newer:
            writer.vary()
            await writer.write()
        else:
            await writer.write_again()

    def _duration(self):
        return self._rng.uniform(0.3, 2.5)

    async def lose_answers(self):
        with disturbing(self._system.routers):
            self._store.losing_answers = True
            await asyncio.sleep(self._duration())
            self._store.losing_answers = False

    async def slow_store(self):
        with disturbing(self._system.routers):
            self._store.draw_delay = lambda: self._rng.uniform(*SLOW_SECONDS)
            await asyncio.sleep(self._duration())
            self._store.draw_delay = None

    async def cut_watches(self):
        """Watches are cut again and again; a sound store may do that."""
        for _ in range(self._rng.randint(1, 6)):
            self._store.cut_watches()
            await asyncio.sleep(self._rng.uniform(0.0, 0.4))

    async def drop_history(self):
        """Watches have to start anew, with listings of several pages."""
        self._store.page_size = self._rng.randint(1, MAX_PAGE_SIZE)
        for _ in range(self._rng.randint(1, 4)):
            self._store.cut_watches()
            self._store.memory.drop_history()
            await asyncio.sleep(self._rng.uniform(0.0, 0.8))
        self._store.page_size = PAGE_SIZE

    async def limit_store(self):
        """Some calls get 429."""
        with disturbing(self._system.routers):
            self._store.fault = lambda request: (
                self._store.format_refusal(429)
                if self._rng.random() < 0.7
                else None
            )
            await asyncio.sleep(self._duration())
            self._store.fault = None

    async def disturb_planner(self):
        """The planner is paused, killed or cut off during another fault."""
        others = [self.lose_answers, self.slow_store]
        others += [self.drop_history, self.limit_store]
        await asyncio.gather(
            self._rng.choice(others)(), self._disturb_planner_alone()
        )

    async def drill_as_planner_fails(self):
        await asyncio.gather(self.drill_store(), self._disturb_planner_alone())

    async def _disturb_planner_alone(self):
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        entry = await self._store.memory.get(store_view.PLANNER_KEY)
        if entry is None:
            return
        router, proxy = next(
            (router, proxy)
            for router, proxy in zip(
                self._system.routers, self._system.proxies, strict=True
            )
            if router.vm == entry.value.decode()
        )
        match self._rng.choice(["kill", "pause", "cut off"]):
            case "kill":
                router.send(signal.SIGKILL)
            case "pause":
                router.send(signal.SIGSTOP)
                await asyncio.sleep(self._duration())
                router.send(signal.SIGCONT)
            case "cut off":
                modes = [m for m in network.Mode if m is not network.Mode.PASS]
                with disturbing([router]):
                    proxy.set_mode(self._rng.choice(modes))
                    await asyncio.sleep(self._duration())
                    proxy.set_mode(network.Mode.PASS)
