"""The backend servers that are registered in the store."""

from collections.abc import Mapping
import dataclasses
import enum

from nutmeglift import ids
from nutmeglift_gateway import address_claims
from nutmeglift_gateway import leaving_servers
from nutmeglift_gateway import restored_entries

MAX_REPORT_LAG_SECONDS = 0.5
"""Greatest age of a report: its own delay plus the propagation of an entry."""


KindsByService = Mapping[ids.ServiceId, frozenset[str] | None]
"""The kinds of runners of each service; None for a plain service."""


class ServerState(enum.Enum):
    """State that a backend server reports in its entry."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True)
class LayerRange:
    """A half-open range of layers, from `start` to before `end`."""

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
        id: instance id.
        born: start time in Unix milliseconds; 0 if not reported.
        service: service that it belongs to.
        address: IP address and port.
        domain: failure domain.
        state: whether it accepts requests or is draining.
        slots: number of requests that it runs concurrently.
        kind: kind of accelerator; empty for a plain service.
        layers: layers that it holds.
        orders: number of orders known to have been accepted in this lifetime;
            not part of the entry.
        revision: store revision of the entry.
        version: version of its software; empty if not reported.
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
    version: str = ""

    @property
    def lifetime(self) -> tuple[str, int]:
        """Instance id and start time; distinguishes restarts under one id."""
        return (self.id, self.born)

    @property
    def is_draining(self) -> bool:
        """Whether the server leaves and accepts no new requests."""
        return self.state is ServerState.DRAINING


class Directory:
    """Holds the registered servers and when each began to drain.

    Attributes:
        server_by_id: all current entries.
        draining_since_by_id: loop time at which each draining server was first
            seen draining.
        lapse_window_end: loop time until which a removed entry may have lapsed
            and is kept; written by the tracker of the store's outages.
        version: incremented by changes of the entries.
    """

    def __init__(self) -> None:
        self.server_by_id: dict[str, Server] = {}
        self.draining_since_by_id: dict[str, float] = {}
        self.lapse_window_end = float("-inf")
        self._lapsed_ids: set[str] = set()
        self._changed_at_by_id: dict[str, float] = {}
        self._claims: address_claims.AddressClaims[Server] = (
            address_claims.AddressClaims(self._rank)
        )
        self._restored = restored_entries.RestoredEntries()
        self._leaving = leaving_servers.LeavingServers()
        self._kinds_by_service: KindsByService | None = None
        self._has_outdated_claims = False
        self.version = 0

    def put(self, now: float, server: Server) -> bool:
        """Stores an entry.

        Returns:
            False if it is older than the known entry, if a newer or a
            recognized server is registered at its address, or if its lifetime
            was rejected.
        """
        known = self.server_by_id.get(server.id)
        if self._claims.is_rejected(server):
            return False
        if self._restored.is_outdated(known, server):
            return False
        if known is not None and known.revision >= server.revision:
            return False
        for other in self._others_at(server):
            if self._claims.keeps(other, server):
                self._claims.displace(server)
                return False
            # An address has one server, so the older one has ended, unless the
            # server at the address rejects the newer lifetime.
            self._delete(other.id)
            self._claims.displace(other)
        if known is not None and known.lifetime != server.lifetime:
            self.draining_since_by_id.pop(server.id, None)
        elif known is not None:
            server = dataclasses.replace(server, orders=known.orders)
        if server.lifetime in self._leaving:
            server = dataclasses.replace(server, state=ServerState.DRAINING)
        self._lapsed_ids.discard(server.id)
        if known is None or known.layers != server.layers:
            self._changed_at_by_id[server.id] = now
        self.server_by_id[server.id] = server
        self.version += 1
        if server.state is ServerState.DRAINING:
            self.draining_since_by_id.setdefault(server.id, now)
        else:
            self.draining_since_by_id.pop(server.id, None)
        return True

    def recognize(self, kinds_by_service: KindsByService) -> None:
        """Applies which services, and kinds of runners, there are.

        Entries of other writers may name others. Before the first call, all
        are recognized. Claims on an address change with the next call of
        `update_claims`.

        Args:
            kinds_by_service: the services of the configuration in force.
        """
        if kinds_by_service == self._kinds_by_service:
            return
        self._kinds_by_service = kinds_by_service
        self.version += 1
        self._has_outdated_claims = True

    def update_claims(self, now: float) -> None:
        """Lists the servers whose entries have become recognized."""
        if not self._has_outdated_claims:
            return
        self._has_outdated_claims = False
        for displaced in self._claims.take_all():
            self.put(now, displaced)

    def is_recognized(self, server: Server) -> bool:
        """Returns whether an entry names a service, and a kind, that exist."""
        if self._kinds_by_service is None:
            return True
        if server.service not in self._kinds_by_service:
            return False
        kinds = self._kinds_by_service[server.service]
        return kinds is None or server.kind in kinds

    def _rank(self, server: Server) -> tuple[bool, int, ids.Revision]:
        """Returns what orders the claims on an address."""
        return (self.is_recognized(server), server.born, server.revision)

    def _others_at(self, server: Server) -> list[Server]:
        """Returns servers with other ids at the same address.

        Servers whose start time is unknown are excluded.
        """
        return [
            other
            for other in self.server_by_id.values()
            if other.address == server.address
            and other.id != server.id
            and other.born
            and server.born
        ]

    def remove_lifetime(self, server: Server) -> bool:
        """Removes a lifetime that has ended; returns whether it was listed."""
        known = self.server_by_id.get(server.id)
        if known is None or known.lifetime != server.lifetime:
            return False
        self._delete(server.id)
        return True

    def reject_lifetime(
        self, now: float, server: Server, born: int | None = None
    ) -> bool:
        """Removes a lifetime that is not that of the server at its address.

        Another writer's entry may name the address of a server and a later
        start. What it displaced is listed again.

        Args:
            now: loop time in seconds.
            server: the lifetime.
            born: start time that the server at the address reported; None if
                it just rejected the lifetime.

        Returns:
            Whether it was listed and had displaced another lifetime.
        """
        known = self.server_by_id.get(server.id)
        if known is None or known.lifetime != server.lifetime:
            return False
        displaced = self._claims.reject(server, born)
        if displaced is None:
            return False
        self._delete(server.id)
        self.put(now, displaced)
        return True

    def discard(
        self, now: float, server_id: str, revision: ids.Revision
    ) -> bool:
        """Removes an entry of which a newer version is unreadable.

        Args:
            now: loop time in seconds.
            server_id: the entry's id.
            revision: store revision of the unreadable version.

        Returns:
            Whether the entry was listed.
        """
        known = self.server_by_id.get(server_id)
        if known is not None and known.revision > revision:
            return False
        self._claims.forget(server_id)
        if known is None:
            return False
        self._restored.record_left(known)
        self._leave(now, server_id)
        return True

    def update_layers(
        self, now: float, server: Server, layers: LayerRange, orders: int
    ) -> None:
        """Applies a runner's own report.

        Reports are delayed. The layers of a report that may be older than the
        last change of the entry are ignored.
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

    def record_leaving(self, now: float, server: Server) -> bool:
        """Records that a server said that it leaves; returns if it is new."""
        if not self._leaving.record(server.lifetime):
            return False
        known = self.server_by_id.get(server.id)
        if known is not None and known.lifetime == server.lifetime:
            self.server_by_id[server.id] = dataclasses.replace(
                known, state=ServerState.DRAINING
            )
            self.draining_since_by_id.setdefault(server.id, now)
            self.version += 1
        return True

    def record_order(self, server: Server) -> None:
        """Records that a server accepted an order from this router."""
        known = self.server_by_id.get(server.id)
        if known is None or known.lifetime != server.lifetime:
            return
        self.server_by_id[server.id] = dataclasses.replace(
            known, orders=max(known.orders, server.orders + 1)
        )

    def remove(self, now: float, server_id: str) -> None:
        """Removes an entry, or keeps it while it may be restored."""
        self._claims.forget(server_id)
        if server_id not in self.server_by_id:
            return
        if now < self.lapse_window_end:
            self._lapsed_ids.add(server_id)
            return
        self._restored.record_left(self.server_by_id[server_id])
        self._leave(now, server_id)

    def begin_era(self, revision: ids.Revision) -> None:
        """Records that the store came back from an older copy.

        Args:
            revision: the first known revision since.
        """
        self._restored.begin(revision)

    def replace_all(self, now: float, servers: list[Server]) -> None:
        """Replaces all entries by a complete listing."""
        listed = {server.id for server in servers}
        for server_id in self.server_by_id.keys() | self._claims.ids():
            if server_id not in listed:
                self.remove(now, server_id)
        for server in servers:
            self.put(now, server)

    def expire(self, now: float) -> list[str]:
        """Removes entries that were not restored after an outage.

        Returns:
            The ids of the removed servers.
        """
        if now < self.lapse_window_end:
            return []
        gone = sorted(self._lapsed_ids)
        for server_id in gone:
            self._restored.record_left(self.server_by_id[server_id])
            self._leave(now, server_id)
        return gone

    def of_service(self, service: ids.ServiceId) -> list[Server]:
        """Returns the entries of a service, ready or draining."""
        return [
            server
            for server in self.server_by_id.values()
            if server.service == service
        ]

    def server_at(self, address: str) -> Server | None:
        """Returns the server at an address.

        Of several, the newest whose service and kind exist is returned.
        """
        return max(
            (
                server
                for server in self.server_by_id.values()
                if server.address == address
            ),
            key=lambda server: (self.is_recognized(server), server.revision),
            default=None,
        )

    def is_current(self, now: float, server: Server) -> bool:
        """Returns whether this entry still holds and is not draining."""
        known = self.server_by_id.get(server.id)
        return (
            known is not None
            and not (
                server.id in self._lapsed_ids and now >= self.lapse_window_end
            )
            and known.lifetime == server.lifetime
            and known.service == server.service
            and known.address == server.address
            and known.state is ServerState.READY
        )

    def _leave(self, now: float, server_id: str) -> None:
        """Deletes a server; lists what it displaced at its address."""
        server = self.server_by_id[server_id]
        self._delete(server_id)
        displaced = self._claims.take(server)
        if displaced is not None:
            self.put(now, displaced)

    def _delete(self, server_id: str) -> None:
        self.server_by_id.pop(server_id, None)
        self.draining_since_by_id.pop(server_id, None)
        self._lapsed_ids.discard(server_id)
        self._changed_at_by_id.pop(server_id, None)
        self.version += 1
