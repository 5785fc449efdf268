"""Faults of the routers' processes, and signals to them."""

import asyncio
import signal

MAX_SERIES_LENGTH = 5
_SIGNALS = (
    signal.SIGTERM,
    signal.SIGTERM,
    signal.SIGHUP,
    signal.SIGHUP,
    signal.SIGKILL,
)


class RouterFaults:
    """Injects one fault into the routers' processes."""

    def __init__(self, rng, system):
        """Initializes the faults.

        Args:
            rng: random numbers for this fault only.
            system: the soak_run.System that the fault acts on.
        """
        self._rng = rng
        self._system = system

    def all(self):
        """Returns all faults and whether each may go with a changed config."""
        return [
            (self.kill_router, False),
            (self.drain_router, False),
            (self.pause_router, False),
            (self.reload_router, False),
            (self.send_signals, True),
            (self.stop_starting_routers, True),
        ]

    def _router(self):
        return self._rng.choice(self._system.routers)

    async def kill_router(self):
        self._router().send(signal.SIGKILL)

    async def drain_router(self):
        self._router().send(signal.SIGTERM)

    async def pause_router(self):
        router = self._router()
        router.send(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.3, 2.5))
        router.send(signal.SIGCONT)

    async def reload_router(self):
        self._router().send(signal.SIGHUP)

    async def send_signals(self):
        """Sends signals in quick series, to one router or several."""
        count = self._rng.randint(1, 2)
        chosen = [self._router() for _ in range(count)]
        for _ in range(self._rng.randint(2, MAX_SERIES_LENGTH)):
            self._rng.choice(chosen).send(self._rng.choice(_SIGNALS))
            await asyncio.sleep(self._rng.uniform(0, 0.4))

    async def stop_starting_routers(self):
        """SIGTERM comes as one router or two start, several times in a row."""
        drawn = [self._router() for _ in range(self._rng.randint(1, 2))]
        chosen = {router.vm: router for router in drawn}
        await asyncio.gather(
            *(self._stop_as_it_starts(each) for each in chosen.values())
        )

    async def _stop_as_it_starts(self, router):
        for _ in range(self._rng.randint(1, MAX_SERIES_LENGTH)):
            router.send(self._rng.choice((signal.SIGTERM, signal.SIGKILL)))
            if not await router.wait_started_again():
                return
            await asyncio.sleep(self._rng.uniform(0.0, 0.5))
        router.send(signal.SIGTERM)
