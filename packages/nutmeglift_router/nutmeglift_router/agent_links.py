"""The router's connections to agents."""

import asyncio
from collections.abc import Callable
import logging
import random

import msgspec

from nutmeglift import codec
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import settings
from nutmeglift import streams
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import link as links
from nutmeglift_wire import metrics as metric
from nutmeglift_wire import session as sessions

FIRST_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0
ACKNOWLEDGE_FRAMES = 16

_logger = logging.getLogger(__name__)

UpListener = Callable[[ids.VmId, messages.Hello], None]
DownListener = Callable[[ids.VmId, errors.NutmegError], None]
MessageListener = Callable[[ids.VmId, codec.AnyMessage], None]


class AgentLink:
    """A connection to one agent, reopened until stopped.

    Attributes:
        peer: the agent's Hello on the open connection, or None.
    """

    def __init__(self, vm: ids.VmId, address: str, owner: "AgentLinks") -> None:
        self.peer: messages.Hello | None = None
        self.address = address
        self._vm = vm
        self._owner = owner
        self._session: sessions.Session | None = None
        self._inbox = streams.FrameInbox()
        self._incarnation: ids.Incarnation | None = None
        self._unacknowledged = 0
        self._task = asyncio.ensure_future(self._run())

    def post(self, message: codec.AnyMessage) -> bool:
        """Sends a message; returns False when the connection is down."""
        return self._session is not None and self._session.post(message)

    async def stop(self) -> None:
        """Closes the connection for good."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            try:
                session = await self._open()
            except (errors.NutmegError, TimeoutError):
                self._owner.metrics.count("agent_link.dial_failed")
                await self._owner.clock.sleep(
                    backoff * self._owner.rng.uniform(0.5, 1.0)
                )
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
                continue
            backoff = FIRST_BACKOFF_SECONDS
            await self._serve(session)

    async def _open(self) -> sessions.Session:
        owner = self._owner
        link = await owner.dialer.dial(self.address)
        try:
            hello = msgspec.structs.replace(
                owner.make_hello(), resume=self._inbox.sequence
            )
            # Unlike wait_for, this never swallows a cancellation.
            async with asyncio.timeout(sessions.HANDSHAKE_TIMEOUT_SECONDS):
                peer = await sessions.shake_hands_as_dialer(
                    link, owner.key, hello
                )
        except (errors.NutmegError, TimeoutError):
            await link.close()
            raise
        if peer.incarnation != self._incarnation:
            self._inbox = streams.FrameInbox()
            self._incarnation = peer.incarnation
        return sessions.Session(
            link,
            peer,
            clock=owner.clock,
            bounds=owner.bounds,
            handler=self._handle,
            make_heartbeat=owner.make_heartbeat,
        )

    async def _serve(self, session: sessions.Session) -> None:
        self._session = session
        self.peer = session.peer
        _logger.info("agent connected", extra={"agent": self._vm})
        self._owner.on_up(self._vm, session.peer)
        try:
            reason = await session.run()
        finally:
            self._session = None
            self.peer = None
        self._owner.metrics.count("agent_link.lost")
        _logger.info(
            "agent disconnected",
            extra={"agent": self._vm, "reason": reason.detail},
        )
        self._owner.on_down(self._vm, reason)

    def _handle(
        self, session: sessions.Session, message: codec.AnyMessage
    ) -> None:
        match message:
            case messages.TokenFrame(sequence):
                if not self._take_frame(session, sequence):
                    return
        self._owner.on_message(self._vm, message)

    def _take_frame(self, session: sessions.Session, sequence: int) -> bool:
        arrival = self._inbox.accept(sequence)
        if arrival is not streams.Arrival.NEXT:
            self._owner.metrics.count(f"token_frame.{arrival.value}")
            return False
        self._unacknowledged += 1
        if self._unacknowledged >= ACKNOWLEDGE_FRAMES:
            self._unacknowledged = 0
            session.post(messages.FrameAcknowledged(sequence))
        return True


class AgentLinks:
    """All connections to agents, by VM."""

    def __init__(
        self,
        *,
        key: bytes,
        clock: clocks.BaseClock,
        rng: random.Random,
        dialer: links.BaseDialer,
        bounds: settings.Bounds,
        metrics: metric.BaseMetrics,
        make_hello: Callable[[], messages.Hello],
        make_heartbeat: sessions.HeartbeatMaker,
        on_up: UpListener,
        on_down: DownListener,
        on_message: MessageListener,
    ) -> None:
        self.key = key
        self.clock = clock
        self.rng = rng
        self.dialer = dialer
        self.bounds = bounds
        self.metrics = metrics
        self.make_hello = make_hello
        self.make_heartbeat = make_heartbeat
        self.on_up = on_up
        self.on_down = on_down
        self.on_message = on_message
        self._link_by_vm: dict[ids.VmId, AgentLink] = {}

    def set_targets(self, address_by_vm: dict[ids.VmId, str]) -> None:
        """Connects to exactly these agents."""
        for vm, link in list(self._link_by_vm.items()):
            if address_by_vm.get(vm) != link.address:
                del self._link_by_vm[vm]
                asyncio.ensure_future(link.stop())
        for vm, address in address_by_vm.items():
            if vm not in self._link_by_vm:
                self._link_by_vm[vm] = AgentLink(vm, address, self)

    def post(self, vm: ids.VmId, message: codec.AnyMessage) -> bool:
        """Sends a message; returns False when there is no connection."""
        link = self._link_by_vm.get(vm)
        return link is not None and link.post(message)

    def broadcast(self, message: codec.AnyMessage) -> None:
        """Sends a message to every connected agent."""
        for link in self._link_by_vm.values():
            link.post(message)

    async def stop(self) -> None:
        """Closes all connections."""
        for link in list(self._link_by_vm.values()):
            await link.stop()
