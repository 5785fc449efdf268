"""The router's connections to other routers."""

import asyncio
from collections.abc import Callable
import contextlib
import logging

from nutmeglift import cancellation
from nutmeglift import codec
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import neighbours
from nutmeglift import plan
from nutmeglift import states
from nutmeglift_router import link_context
from nutmeglift_wire import link as links
from nutmeglift_wire import session as sessions

INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 4.0
MAX_ACCEPTED_LINK_COUNT = 1024

_logger = logging.getLogger(__name__)

ConnectedListener = Callable[[ids.VmId, messages.Hello], None]
DisconnectedListener = Callable[[ids.VmId], None]
MessageListener = Callable[[ids.VmId, codec.AnyMessage], None]


class RouterLinks:
    """All connections to other routers, opened from either side, by VM."""

    def __init__(
        self,
        own_vm: ids.VmId,
        context: link_context.LinkContext,
        *,
        on_connected: ConnectedListener,
        on_disconnected: DisconnectedListener,
        on_message: MessageListener,
    ) -> None:
        self._own_vm = own_vm
        self._context = context
        self._on_connected = on_connected
        self._on_disconnected = on_disconnected
        self._on_message = on_message
        self._sessions_by_vm: dict[ids.VmId, list[sessions.Session]] = {}
        self._dial_task_by_address: dict[str, asyncio.Task[None]] = {}
        self._listed_by_vm: dict[ids.VmId, plan.VmEntry] = {}
        self._pinned: ids.VmId | None = None
        self._leaving_incarnation_by_vm: dict[ids.VmId, ids.Incarnation] = {}
        self._accepted_tasks: set[asyncio.Task[None]] = set()

    @property
    def listed(self) -> int:
        """Number of other routers in the VM list."""
        return len(self._listed_by_vm.keys() - {self._own_vm})

    @property
    def connected(self) -> list[ids.VmId]:
        """The connected routers, sorted."""
        return sorted(self._sessions_by_vm)

    def record_leaving(self, vm: ids.VmId) -> None:
        """Records that another router announced that it accepts no new work."""
        peer = self.peer(vm)
        if peer is not None:
            self._leaving_incarnation_by_vm[vm] = peer.incarnation

    def is_leaving(self, vm: ids.VmId) -> bool:
        """Returns whether a connected router accepts no new work."""
        peer = self.peer(vm)
        if peer is None:
            return False
        return (
            peer.leaving
            or self._leaving_incarnation_by_vm.get(vm) == peer.incarnation
        )

    def peer(self, vm: ids.VmId) -> messages.Hello | None:
        """Returns the Hello of a connected router, or None."""
        vm_sessions = self._sessions_by_vm.get(vm)
        return vm_sessions[-1].peer if vm_sessions else None

    def set_listed(self, entries: list[plan.VmEntry]) -> None:
        """Sets the routers of the VM list and connects to a subset of them."""
        listed = {entry.vm: entry for entry in entries}
        if listed == self._listed_by_vm:
            return
        self._listed_by_vm = listed
        self._set_targets()

    def pin(self, vm: ids.VmId | None) -> None:
        """Connects to a router in addition to the chosen subset.

        Args:
            vm: the router, which replaces the one pinned before; None for none.
        """
        if vm == self._pinned:
            return
        self._pinned = vm
        self._set_targets()

    def post(self, vm: ids.VmId, message: codec.AnyMessage) -> bool:
        """Sends a message; returns False if there is no connection."""
        vm_sessions = self._sessions_by_vm.get(vm, [])
        return any(session.post(message) for session in reversed(vm_sessions))

    def broadcast(self, message: codec.AnyMessage) -> None:
        """Sends a message to every connected router."""
        for vm in self._sessions_by_vm:
            self.post(vm, message)

    async def serve_link(self, link: links.BaseLink) -> None:
        """Serves a connection that another router opened."""
        if len(self._accepted_tasks) >= MAX_ACCEPTED_LINK_COUNT:
            self._context.metrics.count("router_link.too_many")
            await link.close()
            return
        task = asyncio.ensure_future(self._serve_accepted(link))
        self._accepted_tasks.add(task)
        task.add_done_callback(self._accepted_tasks.discard)
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def stop(self) -> None:
        """Closes all connections."""
        tasks = [*self._dial_task_by_address.values(), *self._accepted_tasks]
        self._dial_task_by_address.clear()
        await cancellation.cancel_and_wait(tasks)

    async def _serve_accepted(self, link: links.BaseLink) -> None:
        try:
            async with asyncio.timeout(sessions.HANDSHAKE_TIMEOUT_SECONDS):
                peer = await sessions.shake_hands_as_listener(
                    link,
                    self._context.key,
                    lambda _: self._context.make_hello(),
                )
            _check_router(peer)
        except (errors.NutmegError, TimeoutError):
            self._context.metrics.count("router_link.refused")
            await link.close()
            return
        await self._serve(self._context.make_session(link, peer, self._handle))

    def _set_targets(self) -> None:
        entries = list(self._listed_by_vm.values())
        chosen = neighbours.choose(self._own_vm, entries)
        if self._pinned in self._listed_by_vm and self._pinned != self._own_vm:
            chosen.append(self._listed_by_vm[self._pinned])
        vm_by_address = {entry.address: entry.vm for entry in chosen}
        for address in self._dial_task_by_address.keys() - vm_by_address.keys():
            self._dial_task_by_address.pop(address).cancel()
        for address, vm in vm_by_address.items():
            if address not in self._dial_task_by_address:
                self._dial_task_by_address[address] = asyncio.ensure_future(
                    self._maintain_connection(vm, address)
                )

    async def _maintain_connection(self, vm: ids.VmId, address: str) -> None:
        backoff = INITIAL_BACKOFF_SECONDS
        # Jitter: of two routers that choose each other, one often finds the
        # connection open already.
        await self._context.clock.sleep(
            self._context.rng.uniform(0, INITIAL_BACKOFF_SECONDS)
        )
        while True:
            if vm in self._sessions_by_vm:
                await self._context.clock.sleep(
                    self._context.bounds.heartbeat_seconds
                )
                continue
            if await self._connect(address):
                backoff = INITIAL_BACKOFF_SECONDS
            await self._context.clock.sleep(
                backoff * self._context.rng.uniform(0.5, 1.0)
            )
            backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)

    async def _connect(self, address: str) -> bool:
        """Opens and serves a connection; returns whether it was opened."""
        context = self._context
        try:
            session = await context.open(
                address, context.make_hello(), self._handle, _check_router
            )
        except (errors.NutmegError, TimeoutError):
            context.metrics.count("router_link.dial_failed")
            return False
        await self._serve(session)
        return True

    async def _serve(self, session: sessions.Session) -> None:
        self._attach(session)
        try:
            reason = await session.run()
        finally:
            self._detach(session)
        self._context.metrics.count("router_link.lost")
        _logger.info(
            "router disconnected",
            extra={"router": session.peer.vm, "reason": reason.detail},
        )

    def _handle(
        self, session: sessions.Session, message: codec.AnyMessage
    ) -> None:
        self._on_message(session.peer.vm, message)

    def _attach(self, session: sessions.Session) -> None:
        peer = session.peer
        vm_sessions = self._sessions_by_vm.setdefault(peer.vm, [])
        vm_sessions.append(session)
        _logger.info("router connected", extra={"router": peer.vm})
        self._on_connected(peer.vm, peer)

    def _detach(self, session: sessions.Session) -> None:
        vm = session.peer.vm
        vm_sessions = self._sessions_by_vm.get(vm, [])
        if session in vm_sessions:
            vm_sessions.remove(session)
        if vm in self._sessions_by_vm and not vm_sessions:
            del self._sessions_by_vm[vm]
            self._leaving_incarnation_by_vm.pop(vm, None)
            self._on_disconnected(vm)


def _check_router(peer: messages.Hello) -> None:
    if peer.role is not states.ProcessRole.ROUTER:
        raise errors.MalformedMessageError(f"{peer.vm} is not a router")
