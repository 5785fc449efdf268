"""The faults of a soak run, drawn from its seed."""

import asyncio
import functools
import signal

from tests.soak import backend
from tests.soak import endless
from tests.soak import network

MAX_SERIES_LENGTH = 5
_SIGNALS = (
    signal.SIGTERM,
    signal.SIGTERM,
    signal.SIGHUP,
    signal.SIGHUP,
    signal.SIGKILL,
)


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

    def draw(self):
        """Returns the name of a random fault and its coroutine."""
        fault, may_change_config = self._rng.choice(
            [
                (self._kill_router, False),
                (self._drain_router, False),
                (self._pause_router, False),
                (self._reload_router, False),
                (self._send_signals, True),
                (self._disrupt_store_connection, False),
                (self._fail_store, False),
                (self._send_store_responses_without_end, True),
                (self._fail_server, True),
                (self._crash_server, False),
                (self._pause_servers, True),
                (self._pause_service, True),
                (self._send_control_responses_without_end, True),
                (self._change_config, False),
                (self._revoke_key, False),
            ]
        )
        name = fault.__name__.strip("_")
        if may_change_config and self._rng.random() < 0.5:
            return f"{name}, change_config", self._beside_config(fault)
        return name, fault()

    async def _beside_config(self, fault):
        await asyncio.gather(fault(), self._change_config())

    def _random_duration(self):
        return self._rng.uniform(0.3, 2.5)

    # Routers.

    def _router(self):
        return self._rng.choice(self._system.routers)

    async def _kill_router(self):
        self._router().send(signal.SIGKILL)

    async def _drain_router(self):
        self._router().send(signal.SIGTERM)

    async def _pause_router(self):
        router = self._router()
        router.send(signal.SIGSTOP)
        await asyncio.sleep(self._random_duration())
        router.send(signal.SIGCONT)

    async def _reload_router(self):
        self._router().send(signal.SIGHUP)

    async def _send_signals(self):
        """Sends signals in quick series, to one router or several."""
        count = self._rng.randint(1, 2)
        chosen = [self._router() for _ in range(count)]
        for _ in range(self._rng.randint(2, MAX_SERIES_LENGTH)):
            self._rng.choice(chosen).send(self._rng.choice(_SIGNALS))
            await asyncio.sleep(self._rng.uniform(0, 0.4))

    # The store.

    async def _disrupt_store_connection(self):
        proxy = self._rng.choice(self._system.proxies)
        modes = [mode for mode in network.Mode if mode is not network.Mode.PASS]
        proxy.set_mode(self._rng.choice(modes))
        await asyncio.sleep(self._random_duration())
        proxy.set_mode(network.Mode.PASS)

    async def _fail_store(self):
        status = self._rng.choice([429, 503])
        raw = b"HTTP/1.1 %d X\r\ncontent-length: 0\r\n\r\n" % status
        self._system.store.fault = lambda request: raw
        await asyncio.sleep(self._random_duration())
        self._system.store.fault = None

    async def _send_store_responses_without_end(self):
        kind = self._rng.choice(list(endless.Endless))
        self._system.store.writer_fault = functools.partial(endless.write, kind)
        await asyncio.sleep(self._random_duration())
        self._system.store.writer_fault = None

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
        for _ in range(self._rng.randint(1, 5)):
            self._system.config_writer.vary()
            await self._write_config()
            await asyncio.sleep(self._rng.choice([0.05, 0.05, 0.5]))

    async def _revoke_key(self):
        callers = self._system.callers
        if len(callers.keys) > 1:
            key = callers.keys[0]
            callers.keys = [*callers.keys[1:], f"{key}-next"]
            callers.revoked_keys.append(key)
            await self._write_config()
            loop = asyncio.get_running_loop()
            callers.revoked_at_by_key[key] = loop.time()

    async def _write_config(self):
        now = asyncio.get_running_loop().time()
        await self._system.config_writer.write(now)
