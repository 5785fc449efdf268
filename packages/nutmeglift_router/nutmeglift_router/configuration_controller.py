"""Keeps the router's configuration in force."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import logging
import random

from nutmeglift import blackboard
from nutmeglift import codec
from nutmeglift import configuration
from nutmeglift import configuration_spread as spread
from nutmeglift import control_messages
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import membership
from nutmeglift import messages
from nutmeglift import pacing
from nutmeglift import settings
from nutmeglift_router import entries
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

TICK_SECONDS = 0.5
MAX_WATCH_SECONDS = 300.0

_logger = logging.getLogger(__name__)

Post = Callable[[ids.VmId, codec.AnyMessage], bool]
Broadcast = Callable[[codec.AnyMessage], None]


class ConfigurationController:
    """Follows the accepted configuration, by the service and by peers."""

    def __init__(
        self,
        *,
        board: blackboard.Blackboard,
        store: kv.BaseKv,
        clock: clocks.BaseClock,
        rng: random.Random,
        metrics: metric.BaseMetrics,
        bounds: settings.Bounds,
        post: Post,
        broadcast: Broadcast,
        count_routers: Callable[[], int],
        count_agents: Callable[[], int],
    ) -> None:
        self._board = board
        self._store = store
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._bounds = bounds
        self._post = post
        self._broadcast = broadcast
        self._count_routers = count_routers
        self._count_agents = count_agents
        self._spread = spread.Spread()
        self._freshness: spread.Freshness | None = None
        self._highest_at_agents = ids.Generation(0)
        self._backoff = pacing.Backoff(rng)
        self._fetch_wanted = asyncio.Event()

    @property
    def generation(self) -> ids.Generation:
        """Generation of the configuration in force; 0 for none."""
        return self._spread.head.generation

    @property
    def highest_known(self) -> ids.Generation:
        """The highest generation that any process showed."""
        return max(self._spread.highest_known, self._highest_at_agents)

    @property
    def fresh(self) -> bool:
        """Whether the configuration was confirmed since the last pause."""
        return self._get_freshness().is_fresh(
            self.generation,
            self._count_routers() + self._count_agents(),
            self._clock.now(),
        )

    def check_in_force(self) -> None:
        """Checks that new work may be done by this configuration.

        Raises:
            errors.RefusedError: there is none, or it may be out of date.
        """
        if self.generation == 0:
            raise _stale("no configuration is in force yet")
        if not self.fresh:
            raise _stale("the configuration was not confirmed since a pause")

    def router_up(self, vm: ids.VmId, hello: messages.Hello) -> None:
        """Notes a new connection to another router."""
        now = self._clock.now()
        self._note_peer(vm, hello.generation)
        self._act(self._spread.open_peer(vm, hello.generation, now))

    def router_down(self, vm: ids.VmId) -> None:
        """Notes that the connection to another router ended."""
        self._spread.lose_peer(vm)

    def note_router(self, vm: ids.VmId, generation: ids.Generation) -> None:
        """Takes the generation of another router's heartbeat."""
        self._note_peer(vm, generation)
        self._act(self._spread.note_peer(vm, generation, self._clock.now()))

    def note_agent(self, vm: ids.VmId, generation: ids.Generation) -> None:
        """Takes the generation that an agent shows."""
        self._note_peer(vm, generation)
        self._highest_at_agents = max(self._highest_at_agents, generation)

    def generation_of(
        self, vm: ids.VmId, default: ids.Generation
    ) -> ids.Generation:
        """Returns the generation that another router showed last."""
        return self._spread.generation_of(vm, default)

    def extract_for(
        self, member: membership.Member | None
    ) -> control_messages.AgentConfiguration | None:
        """Returns the part of the configuration that an agent needs."""
        if member is None or self.generation == 0:
            return None
        declared = self._board.read(entries.CONFIGURATION).declared
        name = member.entry.backend_class
        found = next(
            (c for c in declared.backend_classes if c.id == name), None
        )
        return control_messages.AgentConfiguration(
            self.generation,
            found is not None and found.checks_fencing_number,
            found.service if found is not None else None,
        )

    def take_message(self, vm: ids.VmId, message: codec.AnyMessage) -> bool:
        """Takes another router's message; returns whether it was for this."""
        now = self._clock.now()
        match message:
            case control_messages.ConfigurationHead():
                self._act(self._spread.take_head(message, now, vm))
            case control_messages.ConfigurationChunk():
                self._act(self._spread.take_chunk(message, now))
            case control_messages.ConfigurationWanted():
                for answer in self._spread.answer(message):
                    self._post(vm, answer)
            case _:
                return False
        return True

    async def run(self) -> None:
        """Follows the service and the peers for ever."""
        await asyncio.gather(
            self._run_ticks(), self._run_watch(), self._run_fetches()
        )

    async def _run_ticks(self) -> None:
        while True:
            now = self._clock.now()
            self._get_freshness().tick(now)
            self._act(self._spread.tick(now))
            self._publish_freshness()
            await self._clock.sleep(TICK_SECONDS)

    async def _run_watch(self) -> None:
        while True:
            try:
                stored = await self._read_head()
                await self._watch(stored)
            except (errors.NutmegError, TimeoutError):
                self._metrics.count("configuration.read_failed")
                await self._clock.sleep(
                    self._backoff.next_seconds(self._count_routers())
                )

    async def _read_head(self) -> configuration.Stored:
        asked_at = self._clock.now()
        stored = await configuration.read_head(self._store)
        self._backoff.reset()
        self._take_stored(stored.head)
        if not configuration.is_newer(stored.head, self._spread.head):
            self._get_freshness().note_service(asked_at)
        await self._repair(stored)
        return stored

    async def _watch(self, stored: configuration.Stored) -> None:
        """Watches the head; reads it now and then, as a watch can go silent."""
        watching = asyncio.ensure_future(self._follow(stored))
        ends_at = self._clock.now() + MAX_WATCH_SECONDS
        try:
            while self._clock.now() < ends_at and not watching.done():
                await self._clock.sleep(
                    pacing.poll_seconds(self._count_routers(), self._rng)
                )
                await self._read_head()
            if watching.done():
                watching.result()
        finally:
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)

    async def _follow(self, stored: configuration.Stored) -> None:
        start = ids.Revision(stored.read_revision + 1)
        changes = self._store.watch(configuration.HEAD_KEY, start=start)
        async for batch in changes:
            for event in batch:
                if event.kind is kv.WatchKind.PUT:
                    head = configuration.decode_head(event.entry.value)
                    self._take_stored(head)

    def _take_stored(self, head: control_messages.ConfigurationHead) -> None:
        self._act(self._spread.take_head(head, self._clock.now()))
        if self._spread.pending is not None:
            self._fetch_wanted.set()

    async def _run_fetches(self) -> None:
        """Reads chunks from the service, unless a peer was quicker."""
        while True:
            await self._fetch_wanted.wait()
            self._fetch_wanted.clear()
            await self._clock.sleep(
                pacing.jitter_seconds(self._count_routers(), self._rng)
            )
            with contextlib.suppress(errors.NutmegError):
                await self._fetch()

    async def _fetch(self) -> None:
        while missing := self._spread.missing():
            asked_at = self._clock.now()
            found = await configuration.read_chunks(self._store, missing)
            if not found:
                self._metrics.count("configuration.chunks_missing")
                return
            self._metrics.count("configuration.chunks_read", len(found))
            pending = self._spread.pending
            self._act(self._spread.take_chunks(found, self._clock.now()))
            if self._spread.head == pending:
                self._get_freshness().note_service(asked_at)

    async def _repair(self, stored: configuration.Stored) -> None:
        """Puts a newer configuration back into a restored service."""
        own = self._spread.head
        if configuration.choose_repair(stored.head, own) is None:
            return
        await self._clock.sleep(
            pacing.jitter_seconds(self._count_routers(), self._rng)
        )
        again = await configuration.read_head(self._store)
        self._take_stored(again.head)
        own, found = self._spread.head, dict(self._spread.chunk_by_digest)
        if await configuration.put_back(self._store, again, own, found):
            self._metrics.count("configuration.put_back")
            _logger.warning(
                "configuration put back into the key-value service",
                extra={"stored": again.head.generation, "own": own.generation},
            )

    def _note_peer(self, vm: ids.VmId, generation: ids.Generation) -> None:
        now = self._clock.now()
        self._get_freshness().note_peer(vm, generation, now)

    def _act(self, actions: Iterable[spread.Action]) -> None:
        for action in actions:
            match action:
                case spread.Ask(peer, message):
                    self._post(peer, message)
                case spread.InForce():
                    self._put_in_force(action)

    def _put_in_force(self, new: spread.InForce) -> None:
        old = self._board.read(entries.CONFIGURATION)
        self._board.write(
            entries.CONFIGURATION,
            entries.ConfigurationInForce(new.head, new.declared, old.fresh),
            blackboard.Controller.CONFIGURATION,
        )
        self._metrics.gauge("configuration.generation", new.head.generation)
        _logger.info(
            "configuration in force",
            extra={
                "generation": new.head.generation,
                "apply": new.head.apply,
            },
        )
        if new.head.generation == old.head.generation:
            # A heartbeat would not show that another head took its place.
            self._broadcast(new.head)
            return
        self._broadcast(messages.Heartbeat(0, new.head.generation))

    def _publish_freshness(self) -> None:
        old = self._board.read(entries.CONFIGURATION)
        fresh = self.fresh
        if old.fresh == fresh or old.head.generation == 0:
            return
        self._board.write(
            entries.CONFIGURATION,
            entries.ConfigurationInForce(old.head, old.declared, fresh),
            blackboard.Controller.CONFIGURATION,
        )
        self._metrics.gauge("configuration.fresh", float(fresh))

    def _get_freshness(self) -> spread.Freshness:
        if self._freshness is None:
            self._freshness = spread.Freshness(
                self._bounds.freshness_seconds,
                self._bounds.silence_seconds,
                self._clock.now(),
            )
        return self._freshness


def _stale(detail: str) -> errors.RefusedError:
    return errors.RefusedError(
        detail, kind=errors.ErrorKind.CONFIGURATION_STALE, retry_after=1.0
    )
