"""What an agent keeps for the routers that talk to it."""

from nutmeglift import codec
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


class RouterPorts:
    """Sends to routers, across reopened connections."""

    def __init__(self, metrics: metric.BaseMetrics) -> None:
        self._metrics = metrics
        self._port_by_router: dict[ids.VmId, _RouterPort] = {}

    def attach(self, session: sessions.Session) -> bool:
        """Takes a new connection of a router into use.

        Returns:
            Whether an earlier incarnation of the router is gone by this.
        """
        peer = session.peer
        port = self._port_by_router.get(peer.vm)
        replaced = port is not None and port.incarnation != peer.incarnation
        if port is None or replaced:
            port = _RouterPort(peer.incarnation)
            self._port_by_router[peer.vm] = port
        port.session = session
        for frame in port.outbox.resume(peer.resume):
            session.post(frame)
        return replaced

    def detach(self, session: sessions.Session) -> None:
        """Notes that a connection ended."""
        port = self._port_by_router.get(session.peer.vm)
        if port is not None and port.session is session:
            port.session = None

    def forget_if_detached(self, session: sessions.Session) -> bool:
        """Forgets a router that did not come back.

        Returns:
            Whether it was forgotten.
        """
        peer = session.peer
        port = self._port_by_router.get(peer.vm)
        if port is None or port.session is not None:
            return False
        if port.incarnation != peer.incarnation:
            return False
        del self._port_by_router[peer.vm]
        return True

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
    ) -> None:
        """Sends tokens, now or when the router is connected again."""
        port = self._port_by_router.get(router)
        if port is None:
            self._metrics.count("router.missing")
            return
        frame = port.outbox.add(tuple(items))
        if port.session is not None:
            port.session.post(frame)

    def broadcast(self, message: codec.AnyMessage) -> None:
        """Sends a message to every connected router."""
        for port in self._port_by_router.values():
            if port.session is not None:
                port.session.post(message)
