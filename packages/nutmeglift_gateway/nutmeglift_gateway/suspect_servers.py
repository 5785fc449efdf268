"""Backend servers that failed requests and are left out until they recover."""

import dataclasses
import enum

INITIAL_HOLD_DOWN_SECONDS = 0.3
"""A suspect is left out at least as long as a crash takes to show."""
MAX_HOLD_DOWN_SECONDS = 4.0
"""Under two heartbeats of a backend server that is alive again."""
RELAPSE_WINDOW_SECONDS = 15.0
"""Failures further apart count as unrelated."""
LOST_HOLD_DOWN_SECONDS = 1.0
"""After the third relapse in a row a server that rejects counts as lost."""
PROBE_INTERVAL_SECONDS = 0.5
"""A third of the time within which a restarted runner loads a part."""


class Reason(enum.StrEnum):
    """Why a server is left out."""

    REJECTED = "rejected"
    CRASHED = "crashed"
    """Its process ended: it refuses connections."""
    STALLED = "stalled"
    """Another runner waits for it."""
    UNREACHABLE = "unreachable"
    """All streams through it are silent, and it takes no connection."""
    REPORTED_BY_PEER = "peer"
    """Another router found that its process ended, or that it stalls others."""
    LAYERS_CHANGED = "moved"
    """It holds other layers than its entry says: a report tells which."""
    NOT_CONNECTED = "connect"
    NO_REPORT = "no report"


DOWN_REASONS = frozenset(
    {
        Reason.CRASHED,
        Reason.STALLED,
        Reason.UNREACHABLE,
        Reason.REPORTED_BY_PEER,
    }
)
"""What passes through such a server does not go on."""
SHARED_REASONS = DOWN_REASONS - {Reason.REPORTED_BY_PEER}
"""Such a server is lost for all routers; one that a router can't connect to
may be cut off from that router alone."""


@dataclasses.dataclass
class _Record:
    lifetime: tuple[str, int]
    reason: Reason
    suspect: bool
    failed_at: float
    hold_down_seconds: float
    probed_at: float


class SuspectServers:
    """Knows which backend servers are suspect, by address.

    Trust follows from what requests met, not from what a server says of
    itself. A suspect is used again once a probe that began after its hold
    succeeded. Every relapse doubles the hold.
    """

    def __init__(self) -> None:
        self._record_by_address: dict[str, _Record] = {}
        self.version = 0

    def mark_suspect(
        self,
        now: float,
        address: str,
        lifetime: tuple[str, int],
        reason: Reason,
    ) -> bool:
        """Notes a failure; returns whether the address was trusted before."""
        record = self._record_by_address.get(address)
        if record is not None and record.lifetime == lifetime:
            if record.suspect:
                return self._escalate(record, reason)
            recent = now - record.failed_at < RELAPSE_WINDOW_SECONDS
            hold_down_seconds = max(
                record.hold_down_seconds * 2, INITIAL_HOLD_DOWN_SECONDS
            )
            if not recent:
                hold_down_seconds = INITIAL_HOLD_DOWN_SECONDS
        else:
            hold_down_seconds = INITIAL_HOLD_DOWN_SECONDS
        if reason == Reason.LAYERS_CHANGED:
            hold_down_seconds = 0.0
        self._record_by_address[address] = _Record(
            lifetime,
            reason,
            True,
            now,
            min(hold_down_seconds, MAX_HOLD_DOWN_SECONDS),
            float("-inf") if reason == Reason.LAYERS_CHANGED else now,
        )
        self.version += 1
        return True

    def _escalate(self, record: _Record, reason: Reason) -> bool:
        """Notes that a suspect turned out to be gone."""
        if reason not in DOWN_REASONS or record.reason in DOWN_REASONS:
            return False
        record.reason = reason
        self.version += 1
        return True

    def is_suspect(self, address: str, lifetime: tuple[str, int]) -> bool:
        """Tells whether this lifetime at the address is suspect."""
        record = self._record_by_address.get(address)
        return (
            record is not None
            and record.suspect
            and record.lifetime == lifetime
        )

    def needs_replacement(
        self, address: str, lifetime: tuple[str, int]
    ) -> bool:
        """Tells whether a suspect's layers have to be loaded elsewhere.

        A server that rejects requests may be short of memory for a moment;
        one that goes on rejecting is leaving without having said so.
        """
        if not self.is_suspect(address, lifetime):
            return False
        record = self._record_by_address[address]
        if record.reason == Reason.LAYERS_CHANGED:
            return False
        return (
            record.reason != Reason.REJECTED
            or record.hold_down_seconds >= LOST_HOLD_DOWN_SECONDS
        )

    def reason(self, address: str) -> str:
        """Returns why the address is suspect, or an empty text."""
        record = self._record_by_address.get(address)
        return record.reason if record and record.suspect else ""

    def due_probes(self, now: float) -> list[str]:
        """Returns the suspects to probe now, and notes that they are."""
        due = []
        for address, record in self._record_by_address.items():
            if (
                not record.suspect
                or now < record.failed_at + record.hold_down_seconds
            ):
                continue
            if now - record.probed_at >= PROBE_INTERVAL_SECONDS:
                record.probed_at = now
                due.append(address)
        return due

    def clear(self, address: str) -> bool:
        """Trusts an address again; returns whether it was suspect."""
        record = self._record_by_address.get(address)
        if record is None or not record.suspect:
            return False
        record.suspect = False
        self.version += 1
        return True

    def keep_only(self, addresses: set[str]) -> None:
        """Forgets addresses that are no longer listed."""
        for address in list(self._record_by_address):
            if address not in addresses:
                del self._record_by_address[address]

    def down_addresses(self) -> set[str]:
        """Returns the addresses of suspects through which nothing passes."""
        return {
            address
            for address, record in self._record_by_address.items()
            if record.suspect and record.reason in DOWN_REASONS
        }

    def suspects(self) -> dict[str, tuple[str, int]]:
        """Returns the lifetime of each suspect by address."""
        return {
            address: record.lifetime
            for address, record in self._record_by_address.items()
            if record.suspect
        }
