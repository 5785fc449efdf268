"""The faults of a soak run, drawn from its seed."""

import asyncio
import contextlib
import dataclasses
import functools

from tests.soak import backend
from tests.soak import configs
from tests.soak import endless
from tests.soak import late_runs
from tests.soak import network
from tests.soak import odd_entries
from tests.soak import poison
from tests.soak import router_faults
from tests.soak import store_faults

LAPSE_RATIO = 0.3
"""Part of the servers whose entries lapse in an outage of the store."""
MAX_OUTAGE_SECONDS = 5.0
MAX_RESTORE_SECONDS = 1.8
"""Longest time from the store's return until a server restores its entry."""
DRAIN_SECONDS = 2.0
"""Shortest time for which a leaving server serves on, as on the platform."""
SETTLE_RATIO = 0.85
"""Part of the draws without store faults after a disturbance of the store."""
_STORE_FAULTS = (
    "fail_store",
    "lapse_entries",
    "leave_after_outage",
    "send_store_responses_without_end",
    "drill_store",
    "drill_as_router_starts",
    "lose_answers",
    "slow_store",
    "limit_store",
    "disturb_planner",
    "drill_as_planner_fails",
)


def _name(fault):
    return fault.__name__.strip("_")


@dataclasses.dataclass
class _Departure:
    """How a server leaves and returns.

    Attributes:
        has_notice: whether its entry says that it drains before it is removed.
        serving_seconds: how long it accepts requests after its first change of
            the entry.
        exit_seconds: how long running requests may go on after that.
        absent_seconds: time from its end to its next lifetime.
    """

    has_notice: bool
    serving_seconds: float
    exit_seconds: float
    absent_seconds: float


class Injector:
    """Injects one fault into the processes and stand-ins of a run."""

    def __init__(self, rng, system):
        """Initializes the injector.

        Args:
            rng: random numbers for this fault only, so that faults that overlap
                do not change each other.
            system: the soak_run.System that the fault acts on.
        """
        self._rng = rng
        self._system = system

    def names(self):
        """Returns the names of all faults."""
        return [_name(fault) for fault, _ in self._all()]

    def draw(self, names=()):
        """Returns the name of a random fault and its coroutine.

        Args:
            names: names of the faults to choose from; empty for all.
        """
        drawn = [
            (fault, may_change_config)
            for fault, may_change_config in self._all()
            if not names or _name(fault) in names
        ]
        now = asyncio.get_running_loop().time()
        if (
            store_faults.is_settling(self._system.routers, now)
            and self._rng.random() < SETTLE_RATIO
        ):
            drawn = [
                (fault, may_change_config)
                for fault, may_change_config in drawn
                if _name(fault) not in _STORE_FAULTS
            ] or drawn
        fault, may_change_config = self._rng.choice(drawn)
        if may_change_config and self._rng.random() < 0.5:
            return f"{_name(fault)}, change_config", self._beside_config(fault)
        return _name(fault), fault()

    def _all(self):
        """Returns all faults and whether each may go with a changed config."""
        return [
            *router_faults.RouterFaults(self._rng, self._system).all(),
            (self._disrupt_store_connection, False),
            (self._fail_store, False),
            (self._lapse_entries, False),
            (self._leave_after_outage, False),
            (self._put_odd_entries, True),
            (self._write_odd_config, False),
            (self._send_store_responses_without_end, True),
            (self._fail_server, True),
            (self._crash_server, False),
            (self._send_poison, False),
            (self._leave_server, True),
            (self._leave_servers, True),
            (self._pause_servers, True),
            (self._pause_service, True),
            (self._send_control_responses_without_end, True),
            (self._change_config, False),
            (self._revoke_key, False),
            *store_faults.StoreFaults(self._rng, self._system).all(),
        ]

    async def _beside_config(self, fault):
        await asyncio.gather(fault(), self._change_config())

    def _random_duration(self):
        return self._rng.uniform(0.3, 2.5)

    # The store.

    async def _disrupt_store_connection(self):
        number = self._rng.randrange(len(self._system.routers))
        proxy = self._system.proxies[number]
        modes = [mode for mode in network.Mode if mode is not network.Mode.PASS]
        with store_faults.disturbing([self._system.routers[number]]):
            proxy.set_mode(self._rng.choice(modes))
            await asyncio.sleep(self._random_duration())
            proxy.set_mode(network.Mode.PASS)

    async def _lapse_entries(self):
        """The store is silent, and entries of some servers lapse meanwhile."""
        store = self._system.store
        async with contextlib.AsyncExitStack() as locks:
            lapsed = []
            for server in self._system.servers:
                if self._rng.random() < LAPSE_RATIO:
                    await locks.enter_async_context(server.lifetime_lock)
                    lapsed.append(server)
            with store_faults.disturbing(self._system.routers):
                store.silent = True
                await asyncio.sleep(self._rng.uniform(1.0, MAX_OUTAGE_SECONDS))
                for server in lapsed:
                    await server.change_entry(backend.EntryState.REMOVED)
                await asyncio.sleep(self._rng.uniform(0.0, 1.0))
                store.silent = False
            restored_after = sorted(
                self._rng.uniform(0.0, MAX_RESTORE_SECONDS) for _ in lapsed
            )
            loop = asyncio.get_running_loop()
            returned_at = loop.time()
            for server, seconds in zip(lapsed, restored_after, strict=True):
                await asyncio.sleep(returned_at + seconds - loop.time())
                await server.change_entry(backend.EntryState.READY)

    async def _leave_after_outage(self):
        """Servers leave soon after the bounds hold again."""
        await self._lapse_entries()
        settled = late_runs.CONTACT_SECONDS - MAX_RESTORE_SECONDS
        for _ in range(2):
            await asyncio.sleep(settled + self._rng.uniform(0.0, 1.0))
            await self._leave_servers()

    async def _fail_store(self):
        status = self._rng.choice([429, 503])
        store = self._system.store
        with store_faults.disturbing(self._system.routers):
            store.fault = lambda request: store.format_refusal(status)
            await asyncio.sleep(self._random_duration())
            store.fault = None

    async def _put_odd_entries(self):
        """Another writer leaves odd entries for a while."""
        memory = self._system.writer
        keys = await odd_entries.put(self._rng, memory, self._system.servers)
        await asyncio.sleep(2 * self._random_duration())
        await odd_entries.remove(memory, keys)

    async def _send_store_responses_without_end(self):
        kind = self._rng.choice(list(endless.Endless))
        with store_faults.disturbing(self._system.routers):
            store = self._system.store
            store.writer_fault = functools.partial(endless.write, kind)
            await asyncio.sleep(self._random_duration())
            store.writer_fault = None

    # Backend servers.

    def _server(self):
        return self._rng.choice(self._system.servers)

    async def _fail_server(self):
        server = self._server()
        server.endless = self._rng.choice(list(endless.Endless))
        kinds = [f for f in backend.Fault if f is not backend.Fault.NONE]
        kinds += [backend.Fault.ENDLESS] * 2
        server.fault = self._rng.choice(kinds)
        await asyncio.sleep(self._random_duration())
        server.fault = backend.Fault.NONE

    async def _send_control_responses_without_end(self):
        runner = self._rng.choice([s for s in self._system.servers if s.kind])
        runner.control_endless = self._rng.choice(list(endless.Endless))
        await asyncio.sleep(self._random_duration())
        runner.control_endless = None

    async def _crash_server(self):
        server = self._server()
        async with server.lifetime_lock:
            await server.crash()
            await asyncio.sleep(self._random_duration())
            await server.restart()

    async def _send_poison(self):
        """Some streams end the runners that begin to answer them."""
        found = self._system.record.poison_by_segment
        segment = f"bad{len(found)}"
        found[segment] = poison.Poison()
        callers = self._system.callers
        callers.poison = segment
        await asyncio.sleep(self._rng.uniform(4.0, 9.0))
        if callers.poison == segment:
            callers.poison = ""

    async def _leave_server(self):
        await self._leave(self._server().service, self._draw_departure())

    async def _leave_servers(self):
        """Several servers of a service leave in close succession."""
        service = self._server().service
        departures = []
        for _ in range(self._rng.randint(2, 4)):
            departure = self._leave(service, self._draw_departure())
            departures.append(asyncio.ensure_future(departure))
            await asyncio.sleep(self._rng.uniform(0.02, 0.6))
        await asyncio.gather(*departures)

    def _draw_departure(self):
        return _Departure(
            has_notice=self._rng.random() < 0.5,
            serving_seconds=DRAIN_SECONDS + self._rng.uniform(0.1, 1.5),
            exit_seconds=self._rng.uniform(0.2, 2.0),
            absent_seconds=self._rng.uniform(0.3, 1.5),
        )

    async def _leave(self, service, departure):
        """A server of a service leaves, unless too few would remain."""
        is_model = service in configs.MODELS
        min_remaining = configs.MIN_RUNNERS if is_model else 1
        present = self._present_servers(service)
        if len(present) <= min_remaining:
            return
        server = self._rng.choice(present)
        async with server.lifetime_lock:
            # A crash may have held the lock in between.
            if len(self._present_servers(service)) < min_remaining:
                return
            left = self._record_departure(server)
            if departure.has_notice:
                await server.change_entry(backend.EntryState.DRAINING)
                await asyncio.sleep(departure.serving_seconds)
                await server.change_entry(backend.EntryState.REMOVED)
            else:
                await server.change_entry(backend.EntryState.REMOVED)
                await asyncio.sleep(departure.serving_seconds)
            await server.exit(departure.exit_seconds)
            left.ended_at = asyncio.get_running_loop().time()
            await asyncio.sleep(departure.absent_seconds)
            await server.restart()

    def _record_departure(self, server):
        now = asyncio.get_running_loop().time()
        departure = backend.Departure(server.name, now)
        self._system.record.departures.append(departure)
        return departure

    def _present_servers(self, service):
        """Returns the servers of a service that neither leave nor crash."""
        return [
            server
            for server in self._system.servers
            if server.service == service and not server.lifetime_lock.locked()
        ]

    async def _pause_servers(self):
        """One sound server or more fall silent, and go on."""
        for _ in range(self._rng.randint(1, 3)):
            await self._server().pause(self._rng.uniform(0.3, 1.5))

    async def _pause_service(self):
        """All servers of a service fall silent, and go on."""
        service = self._server().service
        seconds = self._rng.uniform(0.3, 1.5)
        await asyncio.gather(
            *(
                server.pause(seconds)
                for server in self._system.servers
                if server.service == service
            )
        )

    # The configuration.

    async def _change_config(self):
        """Versions are written in uneven steps, or in a storm."""
        count, pauses = self._rng.randint(1, 5), [0.05, 0.05, 0.5]
        if self._rng.random() < 0.25:
            count, pauses = self._rng.randint(5, 15), [0.0, 0.02, 0.1]
        for _ in range(count):
            self._system.config_writer.vary()
            await self._system.config_writer.write()
            await asyncio.sleep(self._rng.choice(pauses))

    async def _write_odd_config(self):
        """An invalid configuration is written, and a sound one later."""
        await self._system.config_writer.write_odd()
        await asyncio.sleep(self._random_duration())
        await self._system.config_writer.write()

    async def _revoke_key(self):
        callers = self._system.callers
        if len(callers.keys) > 1:
            key = callers.keys[0]
            callers.keys = [*callers.keys[1:], f"{key}-next"]
            callers.revoked_keys.append(key)
            await self._system.config_writer.write()
            loop = asyncio.get_running_loop()
            callers.revoked_at_by_key[key] = loop.time()
