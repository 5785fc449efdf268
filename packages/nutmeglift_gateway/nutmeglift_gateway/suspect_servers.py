"""Backend servers that failed and are excluded until they recover."""

import dataclasses
import enum

INITIAL_HOLD_DOWN_SECONDS = 0.3
"""A suspect is excluded for at least as long as it takes to detect a crash."""
MAX_HOLD_DOWN_SECONDS = 4.0
"""Less than two heartbeat intervals of a backend server that has recovered."""
RELAPSE_WINDOW_SECONDS = 15.0
"""A failure within this time of the previous one counts as a relapse."""
LOST_HOLD_DOWN_SECONDS = 1.0
"""A server that rejects requests or falls silent counts as lost once its
hold-down has grown to this, with the third failure in a row."""
LOST_SILENCE_SECONDS = 1.5
"""A silent server counts as lost after this time. A sound server may be silent
for a second and go on."""
PROBE_INTERVAL_SECONDS = 0.5
"""A third of the time in which a restarted runner loads its layers."""


class Reason(enum.StrEnum):
    """Why a server is excluded."""

    REJECTED = "rejected"
    CRASHED = "crashed"
    """Its process ended: connections to it are refused."""
    STALLED = "stalled"
    """Another runner reports that it is waiting for it."""
    UNREACHABLE = "unreachable"
    """All streams through it are silent, and it accepts no connection."""
    REPORTED_BY_PEER = "peer"
    """Another router reported it as crashed, stalled or unreachable."""
    LAYERS_CHANGED = "moved"
    """It holds other layers than its directory entry states; a report lists
    them."""
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
"""Streams through a server with one of these reasons cannot continue."""
TERMINATED_REASONS = frozenset({Reason.CRASHED, Reason.UNREACHABLE})
"""Reasons by which this router itself has found that a server has ended or is
cut off."""
SILENCE_REASONS = frozenset(
    {Reason.NO_REPORT, Reason.STALLED, Reason.REPORTED_BY_PEER}
)
"""Reasons for which a sound server that is briefly silent is suspect."""
SHARED_REASONS = DOWN_REASONS - {Reason.REPORTED_BY_PEER}
"""Reasons that hold for all routers. NOT_CONNECTED is not among them: such a
server may be cut off from this router only."""


@dataclasses.dataclass
class _Record:
    lifetime: tuple[str, int]
    reason: Reason
    suspect: bool
    failed_at: float
    hold_down_seconds: float
    probed_at: float
    lost_at: float
    """Time from which its layers have to be loaded elsewhere."""


class SuspectServers:
    """Tracks which backend servers are suspect, by address.

    A server becomes suspect through failed requests and connections, not
    through its own reports. It is used again once a probe succeeds that began
    after its hold-down time. Every relapse doubles the hold-down time.
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
        """Records a failure.

        Returns:
            Whether the server becomes suspect, or a suspect turns out to be
            down or terminated.
        """
        record = self._record_by_address.get(address)
        if record is not None and record.lifetime == lifetime:
            if record.suspect:
                return self._escalate(now, record, reason)
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
        hold_down_seconds = min(hold_down_seconds, MAX_HOLD_DOWN_SECONDS)
        self._record_by_address[address] = _Record(
            lifetime,
            reason,
            True,
            now,
            hold_down_seconds,
            float("-inf") if reason == Reason.LAYERS_CHANGED else now,
            _find_lost_at(now, reason, hold_down_seconds),
        )
        self.version += 1
        return True

    def _escalate(self, now: float, record: _Record, reason: Reason) -> bool:
        """Adds a reason to a suspect; returns whether it is a stronger one."""
        lost_at = _find_lost_at(now, reason, record.hold_down_seconds)
        record.lost_at = min(record.lost_at, lost_at)
        if not (
            (reason in DOWN_REASONS and record.reason not in DOWN_REASONS)
            or (
                reason in TERMINATED_REASONS
                and record.reason not in TERMINATED_REASONS
            )
        ):
            return False
        record.reason = reason
        self.version += 1
        return True

    def is_suspect(self, address: str, lifetime: tuple[str, int]) -> bool:
        """Returns whether the server with this lifetime is suspect."""
        record = self._record_by_address.get(address)
        return (
            record is not None
            and record.suspect
            and record.lifetime == lifetime
        )

    def needs_replacement(
        self, now: float, address: str, lifetime: tuple[str, int]
    ) -> bool:
        """Returns whether a suspect's layers have to be loaded elsewhere.

        A server that rejects requests may be short of memory temporarily. One
        that continues to reject them is shutting down without notice. A silent
        server may go on.
        """
        return (
            self.is_suspect(address, lifetime)
            and now >= self._record_by_address[address].lost_at
        )

    def may_go_on(
        self, now: float, address: str, lifetime: tuple[str, int]
    ) -> bool:
        """Returns whether a suspect is silent, but not yet lost."""
        return self.is_suspect(
            address, lifetime
        ) and now < self._record_by_address[address].lost_at < float("inf")

    def gives_no_report(self, address: str, lifetime: tuple[str, int]) -> bool:
        """Returns whether a server's report was requested and not received.

        It is requested again by probes, so that no further request is needed.
        """
        return (
            self.is_suspect(address, lifetime)
            and self._record_by_address[address].reason == Reason.NO_REPORT
        )

    def reason(self, address: str) -> str:
        """Returns why the address is suspect, or an empty string."""
        record = self._record_by_address.get(address)
        return record.reason if record and record.suspect else ""

    def due_probes(self, now: float) -> list[str]:
        """Returns the suspects to probe now and records the probe time."""
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
        """Clears an address's suspect state; returns whether it was suspect."""
        record = self._record_by_address.get(address)
        if record is None or not record.suspect:
            return False
        record.suspect = False
        self.version += 1
        return True

    def keep_only(self, addresses: set[str]) -> None:
        """Removes the records of all other addresses."""
        for address in list(self._record_by_address):
            if address not in addresses:
                del self._record_by_address[address]

    def down_addresses(self) -> set[str]:
        """Returns the addresses of suspects that no stream can pass through."""
        return {
            address
            for address, record in self._record_by_address.items()
            if record.suspect and record.reason in DOWN_REASONS
        }

    def terminated_addresses(self) -> set[str]:
        """Returns the addresses of suspects that were found lost."""
        return {
            address
            for address, record in self._record_by_address.items()
            if record.suspect and record.reason in TERMINATED_REASONS
        }

    def down_since(self, address: str) -> float | None:
        """Returns when the suspect at an address failed; None if not down."""
        record = self._record_by_address.get(address)
        if record is None or not record.suspect:
            return None
        return record.failed_at if record.reason in DOWN_REASONS else None

    def suspects(self) -> dict[str, tuple[str, int]]:
        """Returns the lifetime of each suspect by address."""
        return {
            address: record.lifetime
            for address, record in self._record_by_address.items()
            if record.suspect
        }


def _find_lost_at(
    now: float, reason: Reason, hold_down_seconds: float
) -> float:
    """Returns when a server that fails now counts as lost if it stays suspect.

    Args:
        now: the time in seconds.
        reason: how it has failed.
        hold_down_seconds: its hold-down, which grows with each relapse.
    """
    if reason == Reason.LAYERS_CHANGED:
        return float("inf")
    if reason != Reason.REJECTED and reason not in SILENCE_REASONS:
        return now
    if hold_down_seconds >= LOST_HOLD_DOWN_SECONDS:
        return now
    if reason == Reason.REJECTED:
        return float("inf")
    return now + LOST_SILENCE_SECONDS
