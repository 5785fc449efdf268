"""Distribution of the configuration: from the store and between routers."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import logging
import random

from nutmeglift import blackboard
from nutmeglift import cancellation
from nutmeglift import codec
from nutmeglift import configuration
from nutmeglift import configuration_sync as sync
from nutmeglift import control_messages
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import membership
from nutmeglift import messages
from nutmeglift import pacing
from nutmeglift import settings
from nutmeglift_router import blackboard_entries
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

TICK_INTERVAL_SECONDS = 0.5
MAX_WATCH_SECONDS = 300.0

_logger = logging.getLogger(__name__)

Post = Callable[[ids.VmId, codec.AnyMessage], bool]
Broadcast = Callable[[codec.AnyMessage], None]


class ConfigurationController:
    """Tracks the accepted configuration via the service and the peers."""

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
        self._sync = sync.ConfigurationSync()
        self._freshness: sync.Freshness | None = None
        self._highest_at_agents = ids.Generation(0)
        self._backoff = pacing.Backoff(rng)
        self._fetch_wanted = asyncio.Event()

    @property
    def generation(self) -> ids.Generation:
        """Generation of the configuration in force; 0 for none."""
        return self._sync.head.generation

    @property
    def highest_known(self) -> ids.Generation:
        """The highest generation that any process reported."""
        return max(self._sync.highest_known, self._highest_at_agents)

    @property
    def fresh(self) -> bool:
        """Whether the configuration was confirmed since the start or a pause.

        Pauses shorter than the freshness bound don't count.
        """
        return self._get_freshness().is_fresh(
            self.generation,
            self._count_routers() + self._count_agents(),
            self._clock.now(),
        )

    def check_usable(self) -> None:
        """Checks that new work may be accepted under this configuration.

        Raises:
            errors.RefusedError: no configuration is in force, or it may be
                out of date.
        """
        if self.generation == 0:
            raise _stale("no configuration is in force yet")
        if not self.fresh:
            raise _stale(
                "the configuration was not confirmed since a start or pause"
            )

    def router_up(self, vm: ids.VmId, hello: messages.Hello) -> None:
        """Records a new connection to another router."""
        now = self._clock.now()
        self._record_peer(vm, hello.generation)
        self._apply_actions(self._sync.add_peer(vm, hello.generation, now))

    def router_down(self, vm: ids.VmId) -> None:
        """Records that the connection to another router ended."""
        self._sync.remove_peer(vm)

    def record_router(self, vm: ids.VmId, generation: ids.Generation) -> None:
        """Records the generation in another router's heartbeat."""
        self._record_peer(vm, generation)
        self._apply_actions(
            self._sync.record_peer(vm, generation, self._clock.now())
        )

    def record_agent(self, vm: ids.VmId, generation: ids.Generation) -> None:
        """Records the generation that an agent reported."""
        self._record_peer(vm, generation)
        self._highest_at_agents = max(self._highest_at_agents, generation)

    def generation_of(
        self, vm: ids.VmId, default: ids.Generation
    ) -> ids.Generation:
        """Returns the generation that another router reported last."""
        return self._sync.generation_of(vm, default)

    def agent_configuration_for(
        self, member: membership.Member | None
    ) -> control_messages.AgentConfiguration | None:
        """Returns the part of the configuration that an agent needs.

        Returns None for an unknown agent or while no configuration is in force.
        """
        if member is None or self.generation == 0:
            return None
        declared = self._board.read(blackboard_entries.CONFIGURATION).declared
        name = member.entry.backend_class
        backend_class = next(
            (c for c in declared.backend_classes if c.id == name), None
        )
        return control_messages.AgentConfiguration(
            self.generation,
            backend_class is not None and backend_class.checks_fencing_number,
            backend_class.service if backend_class is not None else None,
        )

    def handle_message(self, vm: ids.VmId, message: codec.AnyMessage) -> bool:
        """Handles a message from another router.

        Returns:
            Whether the message concerns the configuration.
        """
        now = self._clock.now()
        match message:
            case control_messages.ConfigurationHead():
                self._apply_actions(self._sync.receive_head(message, now, vm))
            case control_messages.ConfigurationChunk():
                self._apply_actions(self._sync.receive_chunk(message, now))
            case control_messages.ConfigurationWanted():
                for response in self._sync.answer(message):
                    self._post(vm, response)
            case _:
                return False
        return True

    async def run(self) -> None:
        """Tracks the service and the peers until cancelled."""
        await asyncio.gather(
            self._run_ticks(), self._run_watch(), self._run_fetches()
        )

    async def _run_ticks(self) -> None:
        while True:
            now = self._clock.now()
            self._get_freshness().tick(now)
            self._apply_actions(self._sync.tick(now))
            self._publish_freshness()
            await self._clock.sleep(TICK_INTERVAL_SECONDS)

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

    async def _read_head(self) -> configuration.StoredHead:
        requested_at = self._clock.now()
        stored = await configuration.read_head(self._store)
        self._backoff.reset()
        self._accept_stored_head(stored.head)
        if not configuration.is_newer(stored.head, self._sync.head):
            self._get_freshness().record_service(requested_at)
        await self._restore_if_newer(stored)
        return stored

    async def _watch(self, stored: configuration.StoredHead) -> None:
        """Watches the head, and polls it as well.

        A watch can stop delivering events without an error.
        """
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
            await cancellation.cancel_and_wait([watching])

    async def _follow(self, stored: configuration.StoredHead) -> None:
        start = ids.Revision(stored.read_revision + 1)
        changes = self._store.watch(configuration.HEAD_KEY, start=start)
        async for batch in changes:
            for event in batch:
                if event.kind is kv.WatchKind.PUT:
                    head = configuration.decode_head(event.entry.value)
                    self._accept_stored_head(head)

    def _accept_stored_head(
        self, head: control_messages.ConfigurationHead
    ) -> None:
        self._apply_actions(self._sync.receive_head(head, self._clock.now()))
        if self._sync.pending is not None:
            self._fetch_wanted.set()

    async def _run_fetches(self) -> None:
        """Reads missing chunks from the service.

        The random delay gives peers the chance to deliver them first.
        """
        while True:
            await self._fetch_wanted.wait()
            self._fetch_wanted.clear()
            await self._clock.sleep(
                pacing.jitter_seconds(self._count_routers(), self._rng)
            )
            with contextlib.suppress(errors.NutmegError):
                await self._fetch()

    async def _fetch(self) -> None:
        while missing := self._sync.missing():
            requested_at = self._clock.now()
            chunks = await configuration.read_chunks(self._store, missing)
            if not chunks:
                self._metrics.count("configuration.chunks_missing")
                return
            self._metrics.count("configuration.chunks_read", len(chunks))
            pending = self._sync.pending
            self._apply_actions(
                self._sync.receive_chunks(chunks, self._clock.now())
            )
            if self._sync.head == pending:
                self._get_freshness().record_service(requested_at)

    async def _restore_if_newer(self, stored: configuration.StoredHead) -> None:
        """Writes the configuration back to a service that holds an older one.

        A service restored from a backup does.
        """
        own_head = self._sync.head
        if configuration.choose_head_to_restore(stored.head, own_head) is None:
            return
        await self._clock.sleep(
            pacing.jitter_seconds(self._count_routers(), self._rng)
        )
        reread = await configuration.read_head(self._store)
        self._accept_stored_head(reread.head)
        own_head, found = self._sync.head, dict(self._sync.chunk_by_digest)
        if await configuration.restore_newer_head(
            self._store, reread, own_head, found
        ):
            self._metrics.count("configuration.put_back")
            _logger.warning(
                "configuration put back into the key-value service",
                extra={
                    "stored": reread.head.generation,
                    "own": own_head.generation,
                },
            )

    def _record_peer(self, vm: ids.VmId, generation: ids.Generation) -> None:
        now = self._clock.now()
        self._get_freshness().record_peer(vm, generation, now)

    def _apply_actions(self, actions: Iterable[sync.Action]) -> None:
        for action in actions:
            match action:
                case sync.RequestChunks(peer, message):
                    self._post(peer, message)
                case sync.Activated():
                    self._put_in_force(action)

    def _put_in_force(self, new: sync.Activated) -> None:
        old = self._board.read(blackboard_entries.CONFIGURATION)
        self._board.write(
            blackboard_entries.CONFIGURATION,
            blackboard_entries.ConfigurationInForce(
                new.head, new.declared, old.fresh
            ),
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
            # A heartbeat carries only the generation, which did not change.
            self._broadcast(new.head)
            return
        self._broadcast(messages.Heartbeat(0, new.head.generation))

    def _publish_freshness(self) -> None:
        old = self._board.read(blackboard_entries.CONFIGURATION)
        fresh = self.fresh
        if old.fresh == fresh or old.head.generation == 0:
            return
        self._board.write(
            blackboard_entries.CONFIGURATION,
            blackboard_entries.ConfigurationInForce(
                old.head, old.declared, fresh
            ),
            blackboard.Controller.CONFIGURATION,
        )
        self._metrics.gauge("configuration.fresh", float(fresh))

    def _get_freshness(self) -> sync.Freshness:
        if self._freshness is None:
            self._freshness = sync.Freshness(
                self._bounds.freshness_seconds,
                self._bounds.silence_seconds,
                self._clock.now(),
            )
        return self._freshness


def _stale(detail: str) -> errors.RefusedError:
    return errors.RefusedError(
        detail, kind=errors.ErrorKind.CONFIGURATION_STALE, retry_after=1.0
    )
