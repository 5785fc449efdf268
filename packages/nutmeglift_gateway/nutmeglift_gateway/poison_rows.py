"""Encodes the reports of crashes and quarantines between routers.

A link carries what has changed since its last report. A router passes on what
another one reported only to a peer that still lacks it after a while, as a
digest in that peer's reports shows: in a full mesh nothing is sent twice.
"""

import msgspec

from nutmeglift import decoding
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift_gateway import crash_evidence
from nutmeglift_gateway import poison_guard
from nutmeglift_gateway import prompt_segments
from nutmeglift_gateway import quarantine
from nutmeglift_gateway import runs

RELAY_DELAY_SECONDS = 0.3
"""Time for which a peer may lack something before others pass it on: one
interval of reports."""
REQUEST_NEWS_SECONDS = 1.0
"""Interval at which the last request of a quarantine is reported."""
MAX_AGE_SECONDS = 1e9
"""Greater than any age."""
MAX_LENGTH = 256
"""Limits the texts in a row."""


class SuspectRow(msgspec.Struct, array_like=True, frozen=True):
    """A request that may have caused a crash; its age in seconds."""

    request: str
    age: float
    segments: list[str]


class CrashRow(msgspec.Struct, array_like=True, frozen=True):
    """A crash of a server, its age in seconds, and its suspects."""

    server: str
    born: int
    age: float
    suspects: list[SuspectRow]
    seen_by: list[str]


class SoundRow(msgspec.Struct, array_like=True, frozen=True):
    """A segment and the seconds since it was last survived."""

    segment: str
    age: float


class QuarantineRow(msgspec.Struct, array_like=True, frozen=True):
    """A quarantine."""

    segments: list[str]
    state: str
    version: int
    cause: str
    failed_trials: int
    trial_id: str
    server_version: str
    evidence: list[str]


class RequestedRow(msgspec.Struct, array_like=True, frozen=True):
    """A quarantine and the seconds since its last request."""

    segments: list[str]
    age: float


class PoisonReport(msgspec.Struct, array_like=True, frozen=True):
    """What has changed since the last report on a link.

    Attributes:
        digest: summary of all that the sender knows.
        crashes: crashes, each with all of its suspects.
        sound: segments that were survived though they are suspected.
        quarantines: quarantines.
        requested: quarantines that were requested.
    """

    digest: int = 0
    crashes: list[CrashRow] = []
    sound: list[SoundRow] = []
    quarantines: list[QuarantineRow] = []
    requested: list[RequestedRow] = []


class Encoder:
    """Selects what to report to the peer of one link."""

    def __init__(self) -> None:
        self._crash_stamp = 0
        self._sound_stamp = 0
        self._entry_stamp = 0
        self._relayed: dict[runs.Lifetime, None] = {}
        self._differs_since: float | None = None
        self._requested_sent_at = float("-inf")
        self._is_first = True

    def record_peer_digest(self, now: float, digest: int, own: int) -> None:
        """Compares what the peer knows with what this router knows."""
        if digest == own:
            self._differs_since = None
            self._relayed.clear()
        elif self._differs_since is None:
            self._differs_since = now

    def encode(
        self, now: float, guard: poison_guard.PoisonGuard
    ) -> PoisonReport:
        """Returns the next report."""
        evidence = guard.evidence
        changed = evidence.crashes_since(self._crash_stamp)
        may_relay = self._is_first or (
            self._differs_since is not None
            and now - self._differs_since >= RELAY_DELAY_SECONDS
        )
        self._relayed |= {c.lifetime: None for c in changed if not c.own}
        sent = [crash for crash in changed if crash.own]
        if may_relay:
            sent += [
                crash
                for crash in evidence.crashes()
                if crash.lifetime in self._relayed and crash not in sent
            ]
            self._relayed.clear()
        self._is_first = False
        sound = evidence.sound_since(self._sound_stamp)
        entries = guard.quarantines.entries_since(self._entry_stamp)
        self._crash_stamp = self._sound_stamp = evidence.stamp
        self._entry_stamp = guard.quarantines.stamp
        return PoisonReport(
            guard.digest(),
            [_crash_row(now, crash) for crash in sent],
            [
                SoundRow(segment, now - record.at)
                for segment, record in sound.items()
            ],
            [_quarantine_row(entry) for entry in entries],
            self._requested_rows(now, guard),
        )

    def _requested_rows(
        self, now: float, guard: poison_guard.PoisonGuard
    ) -> list[RequestedRow]:
        if now - self._requested_sent_at < REQUEST_NEWS_SECONDS:
            return []
        rows = [
            RequestedRow(list(entry.segments), now - requested_at)
            for entry in guard.quarantines.entries()
            if (requested_at := guard.quarantines.requested_at(entry))
            > self._requested_sent_at
        ]
        self._requested_sent_at = now
        return rows


def apply(
    now: float,
    vm: str,
    report: PoisonReport,
    guard: poison_guard.PoisonGuard,
) -> list[str]:
    """Applies a peer's report; returns what is wrong with its rows.

    A malformed row is left out, and the others are applied.

    Args:
        now: loop time in seconds.
        vm: VM of the sender.
        report: the report.
        guard: what this router knows.
    """
    problems = []
    for sound in report.sound:
        if _is_age(sound.age) and _are_segments([sound.segment]):
            guard.evidence.merge_sound(
                now - sound.age, ids.SegmentId(sound.segment)
            )
        else:
            problems.append("malformed segment that was survived")
    news = False
    for crash in report.crashes:
        if _is_crash(crash):
            news |= guard.merge_crash(now, _crash_record(now, crash))
        else:
            problems.append("malformed crash")
    for row in report.quarantines:
        entry = _entry(row)
        if entry is None:
            problems.append("malformed quarantine")
        else:
            guard.merge_entry(now, entry, f"reported by {vm}")
    for requested in report.requested:
        known = guard.quarantines.get(poison_guard.shared(requested.segments))
        if known is not None and _is_age(requested.age):
            guard.quarantines.record_request(now - requested.age, known)
    if news:
        guard.judge(now)
    return problems


def _crash_row(now: float, crash: crash_evidence.CrashRecord) -> CrashRow:
    return CrashRow(
        crash.lifetime[0],
        crash.lifetime[1],
        now - crash.at,
        [
            SuspectRow(each.request_id, now - each.sent_at, list(each.segments))
            for each in crash.suspect_by_id.values()
        ],
        sorted(crash.seen_by),
    )


def _crash_record(now: float, row: CrashRow) -> crash_evidence.CrashRecord:
    return crash_evidence.CrashRecord(
        (row.server, row.born),
        now - row.age,
        {
            each.request: crash_evidence.Suspect(
                each.request,
                now - each.age,
                tuple(ids.SegmentId(segment) for segment in each.segments),
            )
            for each in row.suspects
        },
        set(row.seen_by),
    )


def _quarantine_row(entry: quarantine.Entry) -> QuarantineRow:
    return QuarantineRow(
        list(entry.segments),
        entry.state.value,
        entry.version,
        entry.cause.value,
        entry.failed_trials,
        entry.trial_id,
        entry.server_version,
        list(entry.evidence),
    )


def _entry(row: QuarantineRow) -> quarantine.Entry | None:
    if (
        not row.segments
        or not _are_segments(row.segments)
        or row.version < 1
        or row.failed_trials < 0
        or not _are_texts([row.trial_id, row.server_version, *row.evidence])
    ):
        return None
    try:
        return quarantine.Entry(
            poison_guard.shared(row.segments),
            quarantine.State(row.state),
            row.version,
            quarantine.Cause(row.cause),
            row.failed_trials,
            row.trial_id,
            row.server_version,
            tuple(row.evidence[: quarantine.MAX_EVIDENCE_COUNT]),
        )
    except ValueError:
        return None


def _is_crash(row: CrashRow) -> bool:
    return (
        _is_age(row.age)
        and len(row.suspects) <= crash_evidence.MAX_SUSPECT_COUNT
        and _are_texts([row.server, *row.seen_by])
        and all(
            _is_age(each.age)
            and _are_texts([each.request])
            and _are_segments(each.segments)
            for each in row.suspects
        )
    )


def _is_age(age: float) -> bool:
    return -1.0 <= age <= MAX_AGE_SECONDS


def _are_segments(segments: list[str]) -> bool:
    return len(segments) <= prompt_segments.MAX_SEGMENT_COUNT and all(
        0 < len(each) <= prompt_segments.MAX_ID_LENGTH for each in segments
    )


def _are_texts(texts: list[str]) -> bool:
    return all(len(each) <= MAX_LENGTH for each in texts)


def encode_entry(entry: quarantine.Entry) -> bytes:
    """Returns a quarantine as it is stored."""
    return msgspec.json.encode(msgspec.structs.asdict(_quarantine_row(entry)))


class _StoredEntry(msgspec.Struct):
    segments: list[str]
    state: str
    version: int
    cause: str
    failed_trials: int = 0
    trial_id: str = ""
    server_version: str = ""
    evidence: list[str] = []


def decode_entry(raw: bytes) -> quarantine.Entry | None:
    """Returns a quarantine that was stored; None if it is malformed."""
    try:
        stored = decoding.decode_json(raw, _StoredEntry)
    except errors.MalformedMessageError:
        return None
    return _entry(QuarantineRow(**msgspec.structs.asdict(stored)))
