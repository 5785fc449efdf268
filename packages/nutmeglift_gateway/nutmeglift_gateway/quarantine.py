"""Segments of prompts that are not sent to any server.

A quarantine ends by a trial: one request of one router, while the others are
refused. There is one after a long time without such requests, longer after each
trial that failed, and one after all servers run another version of their
software. An operator may end a quarantine, or impose one.
"""

from collections.abc import Iterable
import dataclasses
import enum

from nutmeglift import ids
from nutmeglift_gateway import crash_evidence

IDLE_SECONDS = 600.0
"""Time without such a request before a trial."""
MAX_DOUBLINGS = 7
"""Each failed trial doubles the time before the next one, at most so often."""
TRIAL_SECONDS = 30.0
"""A trial without a result in this time has failed: its router is lost."""
LIFTED_KEEP_SECONDS = 3600.0
"""Time for which a lifted quarantine is kept, so that an old report of a router
that comes back does not impose it again."""
MAX_RELEASE_TRIALS = 2
"""Trials after a release while such requests keep coming."""
MAX_EVIDENCE_COUNT = 8
"""Ended servers that are named in an entry."""
MAX_QUARANTINE_COUNT = 64
"""Limits the quarantines; the one that was requested least recently is
dropped."""


class State(enum.StrEnum):
    """State of a quarantine."""

    ACTIVE = "active"
    TRIAL = "trial"
    """One request is sent, to find whether it still ends its server."""
    LIFTED = "lifted"


class Cause(enum.StrEnum):
    """Who imposed a quarantine."""

    CRASHES = "crashes"
    OPERATOR = "operator"


@dataclasses.dataclass(frozen=True)
class Entry:
    """One quarantine; the same on all routers.

    Attributes:
        segments: requests whose prompts have all of these are refused.
        state: its state.
        version: increases with each change of it.
        cause: who imposed it.
        failed_trials: number of trials that ended their server.
        trial_id: the request that is sent during a trial.
        server_version: software version of the servers that it was last found
            on; empty if unknown.
        evidence: ids of the servers that such requests ended.
    """

    segments: tuple[ids.SegmentId, ...]
    state: State = State.ACTIVE
    version: int = 1
    cause: Cause = Cause.CRASHES
    failed_trials: int = 0
    trial_id: str = ""
    server_version: str = ""
    evidence: tuple[str, ...] = ()

    @property
    def order(self) -> tuple[int, bool, bool, int, str]:
        """Orders the versions: all routers keep the greatest."""
        return (
            self.version,
            self.state is State.LIFTED,
            self.state is State.ACTIVE,
            self.failed_trials,
            self.trial_id,
        )

    def changed(self, state: State, **changes: object) -> "Entry":
        """Returns the next version."""
        values = {"state": state, "version": self.version + 1, "trial_id": ""}
        return dataclasses.replace(self, **(values | changes))  # type: ignore[arg-type]


@dataclasses.dataclass
class _Local:
    """What one router knows of a quarantine besides its entry.

    Attributes:
        entry: the entry.
        requested_at: loop time of the last such request, at any router.
        changed_at: loop time at which this router learned of its version.
        stamp: position in the order of the changes at this router.
    """

    entry: Entry
    requested_at: float
    changed_at: float
    stamp: int


class Quarantines:
    """All quarantines, as one router knows them."""

    def __init__(self) -> None:
        self._local_by_segments: dict[tuple[ids.SegmentId, ...], _Local] = {}
        self._stamp = 0

    @property
    def stamp(self) -> int:
        """Position of the last change."""
        return self._stamp

    def entries(self) -> list[Entry]:
        """Returns all entries in order of their segments."""
        return [
            self._local_by_segments[segments].entry
            for segments in sorted(self._local_by_segments)
        ]

    def segments(self) -> set[ids.SegmentId]:
        """Returns the segments of all quarantines that are not lifted."""
        return {
            segment
            for local in self._local_by_segments.values()
            if local.entry.state is not State.LIFTED
            for segment in local.entry.segments
        }

    def entries_since(self, stamp: int) -> list[Entry]:
        """Returns the entries that have changed after a position."""
        return [
            local.entry
            for local in self._local_by_segments.values()
            if local.stamp > stamp
        ]

    def get(self, segments: tuple[ids.SegmentId, ...]) -> Entry | None:
        """Returns the entry with exactly these segments."""
        local = self._local_by_segments.get(segments)
        return local.entry if local is not None else None

    def find(
        self, segments: Iterable[ids.SegmentId], request_id: str = ""
    ) -> Entry | None:
        """Returns the quarantine that a request is in, or None.

        Args:
            segments: segments of its prompt.
            request_id: its id; it may be the one that is sent during a trial.
        """
        if not self._local_by_segments:
            return None
        own = set(segments)
        for local in self._local_by_segments.values():
            entry = local.entry
            if entry.state is State.LIFTED or not own.issuperset(
                entry.segments
            ):
                continue
            if entry.state is State.TRIAL and entry.trial_id == request_id:
                continue
            return entry
        return None

    def merge(self, now: float, entry: Entry) -> bool:
        """Applies an entry unless a later version is known.

        Returns:
            Whether it was applied.
        """
        local = self._local_by_segments.get(entry.segments)
        if local is not None and local.entry.order >= entry.order:
            return False
        self._stamp += 1
        requested_at = local.requested_at if local is not None else now
        self._local_by_segments[entry.segments] = _Local(
            entry, requested_at, now, self._stamp
        )
        self._limit(entry)
        return True

    def record_request(self, now: float, entry: Entry) -> None:
        """Records that a request in a quarantine arrived, at any router."""
        local = self._local_by_segments.get(entry.segments)
        if local is not None:
            local.requested_at = max(local.requested_at, now)

    def requested_at(self, entry: Entry) -> float:
        """Returns when the last request in a quarantine arrived."""
        return self._local_by_segments[entry.segments].requested_at

    def is_trial_due(
        self, now: float, entry: Entry, server_versions: set[str]
    ) -> bool:
        """Returns whether the next request of a quarantine is a trial.

        Args:
            now: loop time in seconds.
            entry: the quarantine.
            server_versions: software versions of the servers that may run it;
                empty if unknown.
        """
        local = self._local_by_segments[entry.segments]
        failed = entry.failed_trials
        if entry.state is State.TRIAL:
            if now - local.changed_at < TRIAL_SECONDS:
                return False
            failed += 1
        idle = IDLE_SECONDS * 2 ** min(failed, MAX_DOUBLINGS)
        if now - local.requested_at >= idle:
            return True
        return (
            entry.cause is Cause.CRASHES
            and failed < MAX_RELEASE_TRIALS
            and bool(entry.server_version)
            and bool(server_versions)
            and entry.server_version not in server_versions
        )

    def digest(self) -> int:
        """Returns a number that is the same for the same entries."""
        found = 0
        for local in self._local_by_segments.values():
            entry = local.entry
            found ^= crash_evidence.stable_hash(
                f"{entry.segments}/{entry.order}"
            )
        return found

    def expire(self, now: float) -> None:
        """Drops quarantines that were lifted long ago."""
        for segments, local in list(self._local_by_segments.items()):
            if (
                local.entry.state is State.LIFTED
                and now - local.changed_at > LIFTED_KEEP_SECONDS
            ):
                del self._local_by_segments[segments]

    def _limit(self, kept: Entry) -> None:
        if len(self._local_by_segments) <= MAX_QUARANTINE_COUNT:
            return
        others = [
            segments
            for segments in self._local_by_segments
            if segments != kept.segments
        ]
        oldest = min(
            others, key=lambda s: self._local_by_segments[s].requested_at
        )
        del self._local_by_segments[oldest]


def with_evidence(
    entry: Entry, servers: tuple[str, ...], server_version: str
) -> Entry:
    """Returns an entry with the servers that such requests have ended."""
    return dataclasses.replace(
        entry,
        evidence=servers[-MAX_EVIDENCE_COUNT:],
        server_version=server_version or entry.server_version,
    )
