"""Keeps which lifetimes of backend servers claim the same address.

An address has one server. Of two entries with it, the one that started later
is that of a restarted server, unless another writer made it up. An entry that
names no service of the configuration is no claim against one that does. Only
the server at the address knows: it rejects requests that name another
lifetime, its report names its own start, and it goes on writing its entry. A
lifetime that was displaced is therefore kept while its entry exists.
"""

from collections.abc import Callable
from typing import Generic
from typing import Protocol
from typing import TypeVar

MAX_CLAIM_COUNT = 64
"""Limits the displaced lifetimes of one address."""


class Claimant(Protocol):
    """An entry of a backend server that claims an address."""

    @property
    def id(self) -> str:
        """Instance id."""

    @property
    def born(self) -> int:
        """Start time in Unix milliseconds; 0 if not reported."""

    @property
    def address(self) -> str:
        """IP address and port."""

    @property
    def lifetime(self) -> tuple[str, int]:
        """Instance id and start time."""

    @property
    def revision(self) -> int:
        """Store revision of the entry."""


ClaimantT = TypeVar("ClaimantT", bound=Claimant)

Rank = tuple[bool, int, int]
"""Whether an entry names a service and a kind that exist, the start time, and
the store revision."""


class AddressClaims(Generic[ClaimantT]):
    """Holds displaced and rejected lifetimes by address."""

    def __init__(self, rank: Callable[[ClaimantT], Rank]) -> None:
        """Initializes without claims.

        Args:
            rank: returns what orders the claims on an address; the greatest is
                that of its server.
        """
        self._rank = rank
        self._displaced: dict[str, dict[str, ClaimantT]] = {}
        self._rejected: dict[str, set[tuple[str, int]]] = {}

    def displace(self, server: ClaimantT) -> None:
        """Keeps a lifetime that another one displaces."""
        claims = self._displaced.setdefault(server.address, {})
        claims[server.id] = server
        if len(claims) > MAX_CLAIM_COUNT:
            del claims[min(claims.values(), key=self._rank).id]

    def keeps(self, listed: ClaimantT, server: ClaimantT) -> bool:
        """Returns whether a lifetime stays listed despite another claim.

        Of two with the same start time, the first one stays: one is made up.

        Args:
            listed: the lifetime.
            server: the other lifetime with the same address.
        """
        was_recognized, listed_born, _ = self._rank(listed)
        is_recognized, born, _ = self._rank(server)
        if was_recognized == is_recognized and self._outlives(server, listed):
            return False
        return (was_recognized, listed_born) >= (is_recognized, born)

    def reject(self, server: ClaimantT, born: int | None) -> ClaimantT | None:
        """Records that the server at an address is not this lifetime.

        Args:
            server: the lifetime.
            born: start time that the server at the address reported; None if it
                just rejected the lifetime.

        Returns:
            The displaced lifetime that takes its place; None if there is none,
            in which case nothing is recorded.
        """
        found = self.take(server, born)
        if found is not None:
            rejected = self._rejected.setdefault(server.address, set())
            rejected.add(server.lifetime)
        return found

    def take(
        self, server: ClaimantT, born: int | None = None
    ) -> ClaimantT | None:
        """Removes and returns the lifetime that follows one at its address.

        Args:
            server: a lifetime that is no longer listed.
            born: start time that the result must have; None for any.
        """
        candidates = [
            each
            for each in self._displaced.get(server.address, {}).values()
            if each.id != server.id and (born is None or each.born == born)
        ]
        if not candidates:
            return None
        found = max(candidates, key=self._rank)
        self._forget_displaced(found)
        return found

    def take_all(self) -> list[ClaimantT]:
        """Removes and returns all displaced lifetimes."""
        found = [
            each
            for claims in self._displaced.values()
            for each in claims.values()
        ]
        self._displaced.clear()
        return found

    def is_rejected(self, server: ClaimantT) -> bool:
        """Returns whether the server at its address is not this lifetime."""
        return server.lifetime in self._rejected.get(server.address, ())

    def ids(self) -> set[str]:
        """Returns the ids of all displaced and rejected lifetimes."""
        found = {id_ for claims in self._displaced.values() for id_ in claims}
        return found | {
            lifetime[0]
            for lifetimes in self._rejected.values()
            for lifetime in lifetimes
        }

    def forget(self, server_id: str) -> None:
        """Drops what is kept of an id whose entry was removed."""
        for claims in list(self._displaced.values()):
            if server_id in claims:
                self._forget_displaced(claims[server_id])
        for address, lifetimes in list(self._rejected.items()):
            lifetimes -= {each for each in lifetimes if each[0] == server_id}
            if not lifetimes:
                del self._rejected[address]

    def _outlives(self, server: ClaimantT, listed: ClaimantT) -> bool:
        """Returns whether a displaced entry outlives the listed one.

        It does if it was written twice since the listed entry was. A single
        write may be a late one of a lifetime that has ended.
        """
        known = self._displaced.get(server.address, {}).get(server.id)
        return (
            known is not None
            and known.lifetime == server.lifetime
            and listed.revision < known.revision < server.revision
        )

    def _forget_displaced(self, server: ClaimantT) -> None:
        claims = self._displaced[server.address]
        del claims[server.id]
        if not claims:
            del self._displaced[server.address]
