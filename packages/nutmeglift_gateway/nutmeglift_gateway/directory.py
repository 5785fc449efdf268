"""The backend servers, as they registered themselves."""

import dataclasses
import enum

from nutmeglift import ids

LAPSE_GRACE_SECONDS = 2.0
"""An entry that lapsed in a store outage is back so soon after it."""


MAX_REPORT_LAG_SECONDS = 0.5
"""A report is at most so old: its own lag, and the way of an entry."""


class ServerState(enum.Enum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True)
class LayerRange:
    """Layers from start up to, and without, end."""

    start: int
    end: int

    @property
    def count(self) -> int:
        """Number of layers."""
        return self.end - self.start


NO_LAYERS = LayerRange(0, 0)


@dataclasses.dataclass(frozen=True)
class Server:
    """One lifetime of a backend server.

    Attributes:
        id: its instance.
        born: Unix milliseconds of its start; 0 where it doesn't say.
        service: what it serves.
        address: IP number and port.
        domain: its failure domain.
        state: whether it is leaving.
        slots: requests that it runs at once.
        kind: its accelerator; empty for a plain service.
        layers: the layers that it holds.
        orders: number of orders that it accepted in this lifetime, as far as
            we know: it is no part of the entry.
        revision: revision of the entry.
    """

    id: str
    born: int
    service: ids.ServiceId
    address: str
    domain: ids.FailureDomain
    state: ServerState
    slots: int
    kind: str
    layers: LayerRange
    orders: int
    revision: ids.Revision

    @property
    def lifetime(self) -> tuple[str, int]:
        """Tells apart two lives under one id."""
        return (self.id, self.born)


class Directory:
    """Keeps the entries and when each began to leave.

    Attributes:
        server_by_id: all entries but those that left.
        draining_since_by_id: clock time at which it was seen leaving.
    """

    def __init__(self) -> None:
        self.server_by_id: dict[str, Server] = {}
        self.draining_since_by_id: dict[str, float] = {}
        self._gone_at_by_id: dict[str, float] = {}
        self._changed_at_by_id: dict[str, float] = {}
        self.version = 0

    def put(self, now: float, server: Server) -> bool:
        """Takes an entry; False when it is older than the one known."""
        known = self.server_by_id.get(server.id)
        if known is not None and known.revision >= server.revision:
            return False
        for other in self._others_at(server):
            if other.born > server.born:
                return False
            # An address has one server: the older one has ended.
            self._delete(other.id)
        if known is not None and known.lifetime != server.lifetime:
            self.draining_since_by_id.pop(server.id, None)
        elif known is not None:
            server = dataclasses.replace(server, orders=known.orders)
        self._gone_at_by_id.pop(server.id, None)
        if known is None or known.layers != server.layers:
            self._changed_at_by_id[server.id] = now
        self.server_by_id[server.id] = server
        self.version += 1
        if server.state is ServerState.DRAINING:
            self.draining_since_by_id.setdefault(server.id, now)
        else:
            self.draining_since_by_id.pop(server.id, None)
        return True

    def _others_at(self, server: Server) -> list[Server]:
        """Returns servers under other ids at the address, if age is known."""
        return [
            other
            for other in self.server_by_id.values()
            if other.address == server.address
            and other.id != server.id
            and other.born
            and server.born
            and other.born != server.born
        ]

    def remove_lifetime(self, server: Server) -> bool:
        """Drops a lifetime that is known to have ended, if it is listed."""
        known = self.server_by_id.get(server.id)
        if known is None or known.lifetime != server.lifetime:
            return False
        self._delete(server.id)
        return True

    def update_layers(
        self, now: float, server: Server, layers: LayerRange, orders: int
    ) -> None:
        """Takes what a runner itself reported.

        Reports lag: one that may be older than the entry's last change says
        nothing about the layers.
        """
        known = self.server_by_id.get(server.id)
        if known is None or known.lifetime != server.lifetime:
            return
        if known.layers == layers and known.orders == orders:
            return
        changed_at = self._changed_at_by_id.get(server.id, float("-inf"))
        if now - changed_at < MAX_REPORT_LAG_SECONDS:
            layers = known.layers
        self.server_by_id[server.id] = dataclasses.replace(
            known, layers=layers, orders=orders
        )
        self.version += 1

    def record_order(self, server: Server) -> None:
        """Notes that a server began to carry out an order of ours."""
        known = self.server_by_id.get(server.id)
        if known is None or known.lifetime != server.lifetime:
            return
        self.server_by_id[server.id] = dataclasses.replace(
            known, orders=max(known.orders, server.orders + 1)
        )

    def remove(self, now: float, server_id: str, *, lapsed: bool) -> None:
        """Takes the removal of an entry.

        Args:
            now: seconds.
            server_id: whose entry.
            lapsed: the store was away, so the entry may only have lapsed; it
                is kept for LAPSE_GRACE_SECONDS.
        """
        if server_id not in self.server_by_id:
            return
        if lapsed:
            self._gone_at_by_id.setdefault(server_id, now + LAPSE_GRACE_SECONDS)
            return
        self._delete(server_id)

    def replace_all(
        self, now: float, servers: list[Server], *, lapsed: bool
    ) -> None:
        """Takes a complete listing."""
        listed = {server.id for server in servers}
        for server_id in list(self.server_by_id):
            if server_id not in listed:
                self.remove(now, server_id, lapsed=lapsed)
        for server in servers:
            self.put(now, server)

    def expire(self, now: float) -> list[str]:
        """Drops entries that did not come back after an outage."""
        gone = [
            server_id
            for server_id, gone_at in self._gone_at_by_id.items()
            if gone_at <= now
        ]
        for server_id in gone:
            self._delete(server_id)
        return gone

    def of_service(self, service: ids.ServiceId) -> list[Server]:
        """Returns the entries of a service, ready or leaving."""
        return [
            server
            for server in self.server_by_id.values()
            if server.service == service
        ]

    def is_current(self, server: Server) -> bool:
        """Tells whether this lifetime is listed and not leaving."""
        known = self.server_by_id.get(server.id)
        return (
            known is not None
            and known.lifetime == server.lifetime
            and known.state is ServerState.READY
        )

    def _delete(self, server_id: str) -> None:
        self.server_by_id.pop(server_id, None)
        self.draining_since_by_id.pop(server_id, None)
        self._gone_at_by_id.pop(server_id, None)
        self._changed_at_by_id.pop(server_id, None)
        self.version += 1
