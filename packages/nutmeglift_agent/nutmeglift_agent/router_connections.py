"""What an agent keeps for the routers that talk to it."""

from nutmeglift import codec
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import streams
from nutmeglift_wire import metrics as metric
from nutmeglift_wire import session as sessions

MAX_UNACKNOWLEDGED_FRAMES = 8192


class _RouterConnection:
    """State for one incarnation of a router."""

    def __init__(self, incarnation: ids.Incarnation) -> None:
        self.incarnation = incarnation
        self.outbox = streams.FrameOutbox(MAX_UNACKNOWLEDGED_FRAMES)
        self.session: sessions.Session | None = None
        self.disconnected_at = 0.0


class RouterConnections:
    """Sends to routers, across reopened connections."""

    def __init__(self, metrics: metric.BaseMetrics) -> None:
        self._metrics = metrics
        self._connection_by_router: dict[ids.VmId, _RouterConnection] = {}

    @property
    def routers(self) -> set[ids.VmId]:
        """The routers that are connected, or may come back."""
        return set(self._connection_by_router)

    @property
    def all_acknowledged(self) -> bool:
        """Whether every router has all its tokens."""
        return all(
            p.outbox.is_empty for p in self._connection_by_router.values()
        )

    def last_frame_sequence(self, peer: messages.Hello) -> int:
        """Returns the sequence of the last frame made for a router."""
        connection = self._connection_by_router.get(peer.vm)
        if connection is None or connection.incarnation != peer.incarnation:
            return 0
        return connection.outbox.sequence

    def attach(
        self, session: sessions.Session, held: messages.AttemptsHeld
    ) -> None:
        """Takes a new connection of a router into use.

        Args:
            session: the connection.
            held: the attempts that go on for the router.
        """
        peer = session.peer
        connection = self._connection_by_router.get(peer.vm)
        if connection is None or connection.incarnation != peer.incarnation:
            connection = _RouterConnection(peer.incarnation)
            self._connection_by_router[peer.vm] = connection
        connection.session = session
        session.post(held)
        for frame in connection.outbox.resume(peer.resume):
            session.post(frame)

    def is_restarted(self, peer: messages.Hello) -> bool:
        """Tells whether a router's Hello shows that it was restarted."""
        connection = self._connection_by_router.get(peer.vm)
        return (
            connection is not None
            and connection.incarnation != peer.incarnation
        )

    def detach(self, session: sessions.Session, now: float) -> None:
        """Notes that a connection ended."""
        connection = self._connection_by_router.get(session.peer.vm)
        if connection is not None and connection.session is session:
            connection.session = None
            connection.disconnected_at = now

    def forget_disconnected(self, before: float) -> list[ids.VmId]:
        """Forgets the routers that did not come back.

        Args:
            before: those that were last connected before this time.

        Returns:
            The routers forgotten.
        """
        gone = [
            router
            for router, connection in self._connection_by_router.items()
            if connection.session is None
            and connection.disconnected_at < before
        ]
        for router in gone:
            del self._connection_by_router[router]
        return gone

    def acknowledge(self, router: ids.VmId, sequence: int) -> None:
        """Forgets the token frames that a router has."""
        connection = self._connection_by_router.get(router)
        if connection is not None:
            connection.outbox.acknowledge(sequence)

    def post(self, router: ids.VmId, message: codec.AnyMessage) -> None:
        """Sends a message, if the router is connected."""
        connection = self._connection_by_router.get(router)
        if connection is None or connection.session is None:
            self._metrics.count("router.missing")
            return
        connection.session.post(message)

    def post_tokens(
        self, router: ids.VmId, items: list[messages.TokenItem]
    ) -> bool:
        """Sends tokens, now or when the router is connected again.

        Returns:
            False when they can't be kept for the router.
        """
        connection = self._connection_by_router.get(router)
        if connection is None:
            self._metrics.count("router.missing")
            return False
        try:
            frame = connection.outbox.add(tuple(items))
        except errors.LinkClosedError:
            self._metrics.count("router.too_slow")
            return False
        if connection.session is not None:
            connection.session.post(frame)
        return True

    def broadcast(self, message: codec.AnyMessage) -> None:
        """Sends a message to every connected router."""
        for connection in self._connection_by_router.values():
            if connection.session is not None:
                connection.session.post(message)
