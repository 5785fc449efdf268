"""The router's connections to agents."""

import asyncio
from collections.abc import Callable
import dataclasses
import logging

import msgspec

from nutmeglift import cancellation
from nutmeglift import codec
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import streams
from nutmeglift_router import attempt_tracker
from nutmeglift_router import link_context
from nutmeglift_wire import session as sessions

INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0
FRAME_COUNT_PER_ACKNOWLEDGEMENT = 16

_logger = logging.getLogger(__name__)

ConnectedListener = Callable[[ids.VmId, messages.Hello], None]
UnreachableListener = Callable[[ids.VmId], None]
DisconnectedListener = Callable[[ids.VmId, errors.NutmegError], None]
MessageListener = Callable[[ids.VmId, codec.AnyMessage], None]


class AgentLink:
    """A connection to one agent, reopened with backoff until stopped.

    Attributes:
        peer: the agent's Hello on the open connection; None if not connected.
        address: the agent's address.
    """

    def __init__(self, vm: ids.VmId, address: str, owner: "AgentLinks") -> None:
        self.peer: messages.Hello | None = None
        self.address = address
        self._vm = vm
        self._owner = owner
        self._context = owner.context
        self._session: sessions.Session | None = None
        self._inbox = streams.FrameInbox()
        self._incarnation: ids.Incarnation | None = None
        self._unacknowledged = 0
        self._task = asyncio.ensure_future(self._run())

    def post(self, message: codec.AnyMessage) -> bool:
        """Sends a message; returns False if not connected."""
        return self._session is not None and self._session.post(message)

    async def stop(self) -> None:
        """Closes the connection permanently."""
        await cancellation.cancel_and_wait([self._task])

    async def _run(self) -> None:
        backoff = INITIAL_BACKOFF_SECONDS
        while True:
            try:
                session = await self._connect()
            except (errors.NutmegError, TimeoutError):
                self._context.metrics.count("agent_link.dial_failed")
                self._owner.on_unreachable(self._vm)
                await self._context.clock.sleep(
                    backoff * self._context.rng.uniform(0.5, 1.0)
                )
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
                continue
            backoff = INITIAL_BACKOFF_SECONDS
            await self._serve(session)

    async def _connect(self) -> sessions.Session:
        context = self._context
        hello = msgspec.structs.replace(
            context.make_hello(), resume=self._inbox.sequence
        )
        session = await context.open(self.address, hello, self._handle)
        peer = session.peer
        if peer.incarnation != self._incarnation:
            self._inbox = streams.FrameInbox()
            self._incarnation = peer.incarnation
        self._inbox.resynchronize(peer.resume)
        self._unacknowledged = 0
        return session

    async def _serve(self, session: sessions.Session) -> None:
        self._session = session
        self.peer = session.peer
        _logger.info("agent connected", extra={"agent": self._vm})
        self._owner.on_connected(self._vm, session.peer)
        try:
            reason = await session.run()
        finally:
            self._session = None
            self.peer = None
        self._context.metrics.count("agent_link.lost")
        _logger.info(
            "agent disconnected",
            extra={"agent": self._vm, "reason": reason.detail},
        )
        self._owner.on_disconnected(self._vm, reason)

    def _handle(
        self, session: sessions.Session, message: codec.AnyMessage
    ) -> None:
        match message:
            case messages.TokenFrame(sequence):
                if not self._accept_frame(session, sequence):
                    return
            case messages.Heartbeat() if self._unacknowledged:
                self._acknowledge(session)
        self._owner.on_message(self._vm, message)

    def _accept_frame(self, session: sessions.Session, sequence: int) -> bool:
        arrival = self._inbox.accept(sequence)
        if arrival is not streams.SequenceStatus.NEXT:
            self._context.metrics.count(f"token_frame.{arrival.value}")
        if arrival is streams.SequenceStatus.GAP:
            # Reconnecting resumes after the last frame received.
            raise errors.LinkClosedError(
                f"frame {sequence} arrived out of order"
            )
        if arrival is not streams.SequenceStatus.NEXT:
            return False
        self._unacknowledged += 1
        if self._unacknowledged >= FRAME_COUNT_PER_ACKNOWLEDGEMENT:
            self._acknowledge(session)
        return True

    def _acknowledge(self, session: sessions.Session) -> None:
        self._unacknowledged = 0
        session.post(messages.FrameAcknowledged(self._inbox.sequence))


@dataclasses.dataclass
class _AcquiredAddress:
    address: str
    uses: int = 0


class AgentLinks(attempt_tracker.BaseAgentConnections):
    """All connections to agents, one per VM."""

    def __init__(
        self,
        context: link_context.LinkContext,
        *,
        on_connected: ConnectedListener,
        on_disconnected: DisconnectedListener,
        on_message: MessageListener,
        on_unreachable: UnreachableListener,
        is_busy: Callable[[ids.VmId], bool],
    ) -> None:
        self.context = context
        self.on_connected = on_connected
        self.on_disconnected = on_disconnected
        self.on_message = on_message
        self.on_unreachable = on_unreachable
        self._is_busy = is_busy
        self._link_by_vm: dict[ids.VmId, AgentLink] = {}
        self._target_by_vm: dict[ids.VmId, str] = {}
        self._acquired_by_vm: dict[ids.VmId, _AcquiredAddress] = {}
        self._stop_tasks: set[asyncio.Task[None]] = set()

    def set_targets(self, address_by_vm: dict[ids.VmId, str]) -> None:
        """Connects to these agents and closes other connections not in use.

        Acquired connections stay, and so do those to VMs that are absent from
        address_by_vm but still busy.
        """
        self._target_by_vm = address_by_vm
        acquired = {
            vm: acquired.address
            for vm, acquired in self._acquired_by_vm.items()
        }
        address_by_vm = acquired | address_by_vm
        for vm, link in list(self._link_by_vm.items()):
            address = address_by_vm.get(vm)
            if address == link.address:
                continue
            if address is None and link.peer is not None and self._is_busy(vm):
                continue
            self._drop(vm, link)
        for vm, address in address_by_vm.items():
            if vm not in self._link_by_vm:
                self._link_by_vm[vm] = AgentLink(vm, address, self)

    def _drop(self, vm: ids.VmId, link: AgentLink) -> None:
        del self._link_by_vm[vm]
        was_up = link.peer is not None
        stop = asyncio.ensure_future(link.stop())
        self._stop_tasks.add(stop)
        stop.add_done_callback(self._stop_tasks.discard)
        if was_up:
            self.on_disconnected(
                vm,
                errors.LinkClosedError(
                    "the agent was removed or has a new address"
                ),
            )
        self.on_unreachable(vm)

    def post(self, vm: ids.VmId, message: codec.AnyMessage) -> bool:
        """Sends a message; returns False if there is no connection."""
        link = self._link_by_vm.get(vm)
        return link is not None and link.post(message)

    def incarnation(self, vm: ids.VmId) -> ids.Incarnation | None:
        """Returns the connected agent's incarnation; None if not connected."""
        link = self._link_by_vm.get(vm)
        if link is None or link.peer is None:
            return None
        return link.peer.incarnation

    def acquire(self, vm: ids.VmId, address: str) -> None:
        """Connects to an agent, even if it is not a target.

        The connection is kept until release was called as often as acquire.
        """
        acquired = self._acquired_by_vm.setdefault(
            vm, _AcquiredAddress(address)
        )
        acquired.uses += 1
        if vm not in self._link_by_vm:
            self.set_targets(self._target_by_vm)

    def release(self, vm: ids.VmId) -> None:
        """Undoes one acquire."""
        acquired = self._acquired_by_vm[vm]
        acquired.uses -= 1
        if acquired.uses:
            return
        del self._acquired_by_vm[vm]
        if vm not in self._target_by_vm:
            self.set_targets(self._target_by_vm)

    def broadcast(self, message: codec.AnyMessage) -> None:
        """Sends a message to every connected agent."""
        for link in self._link_by_vm.values():
            link.post(message)

    async def stop(self) -> None:
        """Closes all connections."""
        for link in list(self._link_by_vm.values()):
            await link.stop()
