"""The agent's connections to routers and its state for each of them."""

from nutmeglift import codec
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import streams
from nutmeglift_wire import metrics as metric
from nutmeglift_wire import session as sessions

MAX_UNACKNOWLEDGED_FRAMES = 8192


class _RouterConnection:
    """State kept for one incarnation of a router."""

    def __init__(self, incarnation: ids.Incarnation) -> None:
        self.incarnation = incarnation
        self.outbox = streams.FrameOutbox(MAX_UNACKNOWLEDGED_FRAMES)
        self.session: sessions.Session | None = None
        self.disconnected_at = 0.0


class RouterConnections:
    """Sends messages to routers; token frames survive reconnects."""

    def __init__(self, metrics: metric.BaseMetrics) -> None:
        self._metrics = metrics
        self._connection_by_router: dict[ids.VmId, _RouterConnection] = {}

    @property
    def routers(self) -> set[ids.VmId]:
        """The routers that are connected, or may still reconnect."""
        return set(self._connection_by_router)

    @property
    def all_acknowledged(self) -> bool:
        """Whether every router has acknowledged all its token frames."""
        return all(
            connection.outbox.is_empty
            for connection in self._connection_by_router.values()
        )

    def last_frame_sequence(self, peer: messages.Hello) -> int:
        """Returns the sequence number of a router's last token frame, or 0."""
        connection = self._connection_by_router.get(peer.vm)
        if connection is None or connection.incarnation != peer.incarnation:
            return 0
        return connection.outbox.sequence

    def attach(
        self, session: sessions.Session, held: messages.AttemptsHeld
    ) -> None:
        """Replaces a router's session and resends unacknowledged frames.

        Args:
            session: the new session.
            held: the attempts that continue for the router.
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
        """Returns whether a router's Hello has a new incarnation."""
        connection = self._connection_by_router.get(peer.vm)
        return (
            connection is not None
            and connection.incarnation != peer.incarnation
        )

    def detach(self, session: sessions.Session, now: float) -> None:
        """Records that a session ended."""
        connection = self._connection_by_router.get(session.peer.vm)
        if connection is not None and connection.session is session:
            connection.session = None
            connection.disconnected_at = now

    def forget_disconnected(self, disconnected_before: float) -> list[ids.VmId]:
        """Forgets the routers that did not reconnect.

        Args:
            disconnected_before: clock time; only the routers that disconnected
                before it are forgotten.

        Returns:
            The forgotten routers.
        """
        forgotten = [
            router
            for router, connection in self._connection_by_router.items()
            if connection.session is None
            and connection.disconnected_at < disconnected_before
        ]
        for router in forgotten:
            del self._connection_by_router[router]
        return forgotten

    def acknowledge(self, router: ids.VmId, sequence: int) -> None:
        """Drops the token frames that a router has received."""
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
        """Sends tokens, immediately or once the router reconnects.

        Returns:
            False if the router is unknown or has too many unacknowledged
            frames; the tokens are dropped.
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
