"""What an agent keeps for the routers that talk to it."""

from nutmeglift import codec
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import streams
from nutmeglift_wire import metrics as metric
from nutmeglift_wire import session as sessions

MAX_UNACKNOWLEDGED_FRAMES = 8192


class _RouterPort:
    """State for one incarnation of a router."""

    def __init__(self, incarnation: ids.Incarnation) -> None:
        self.incarnation = incarnation
        self.outbox = streams.FrameOutbox(MAX_UNACKNOWLEDGED_FRAMES)
        self.session: sessions.Session | None = None
        self.detached_at = 0.0


class RouterPorts:
    """Sends to routers, across reopened connections."""

    def __init__(self, metrics: metric.BaseMetrics) -> None:
        self._metrics = metrics
        self._port_by_router: dict[ids.VmId, _RouterPort] = {}

    @property
    def routers(self) -> set[ids.VmId]:
        """The routers that are connected, or may come back."""
        return set(self._port_by_router)

    @property
    def all_acknowledged(self) -> bool:
        """Whether every router has all its tokens."""
        return all(p.outbox.is_empty for p in self._port_by_router.values())

    def frames_made(self, peer: messages.Hello) -> int:
        """Returns the sequence of the last frame made for a router."""
        port = self._port_by_router.get(peer.vm)
        if port is None or port.incarnation != peer.incarnation:
            return 0
        return port.outbox.sequence

    def attach(
        self, session: sessions.Session, held: messages.AttemptsHeld
    ) -> None:
        """Takes a new connection of a router into use.

        Args:
            session: the connection.
            held: the attempts that go on for the router.
        """
        peer = session.peer
        port = self._port_by_router.get(peer.vm)
        if port is None or port.incarnation != peer.incarnation:
            port = _RouterPort(peer.incarnation)
            self._port_by_router[peer.vm] = port
        port.session = session
        session.post(held)
        for frame in port.outbox.resume(peer.resume):
            session.post(frame)

    def is_replaced_by(self, peer: messages.Hello) -> bool:
        """Tells whether a router's Hello shows that it was restarted."""
        port = self._port_by_router.get(peer.vm)
        return port is not None and port.incarnation != peer.incarnation

    def detach(self, session: sessions.Session, now: float) -> None:
        """Notes that a connection ended."""
        port = self._port_by_router.get(session.peer.vm)
        if port is not None and port.session is session:
            port.session = None
            port.detached_at = now

    def forget_detached(self, before: float) -> list[ids.VmId]:
        """Forgets the routers that did not come back.

        Args:
            before: those that were last connected before this time.

        Returns:
            The routers forgotten.
        """
        gone = [
            router
            for router, port in self._port_by_router.items()
            if port.session is None and port.detached_at < before
        ]
        for router in gone:
            del self._port_by_router[router]
        return gone

    def acknowledge(self, router: ids.VmId, sequence: int) -> None:
        """Forgets the token frames that a router has."""
        port = self._port_by_router.get(router)
        if port is not None:
            port.outbox.acknowledge(sequence)

    def post(self, router: ids.VmId, message: codec.AnyMessage) -> None:
        """Sends a message, if the router is connected."""
        port = self._port_by_router.get(router)
        if port is None or port.session is None:
            self._metrics.count("router.missing")
            return
        port.session.post(message)

    def post_tokens(
        self, router: ids.VmId, items: list[messages.TokenItem]
    ) -> bool:
        """Sends tokens, now or when the router is connected again.

        Returns:
            False when they can't be kept for the router.
        """
        port = self._port_by_router.get(router)
        if port is None:
            self._metrics.count("router.missing")
            return False
        try:
            frame = port.outbox.add(tuple(items))
        except errors.LinkClosedError:
            self._metrics.count("router.too_slow")
            return False
        if port.session is not None:
            port.session.post(frame)
        return True

    def broadcast(self, message: codec.AnyMessage) -> None:
        """Sends a message to every connected router."""
        for port in self._port_by_router.values():
            if port.session is not None:
                port.session.post(message)
