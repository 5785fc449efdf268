"""Collects which requests may have caused crashes, over all routers.

Each router reports the suspects of the crashes that ended its own runs, and
which segments it has seen to be sound. What the routers report is merged by
unions and maxima, so that neither the order of the reports nor their
repetition matters.
"""

import collections
from collections.abc import Iterable
import dataclasses
import hashlib

from nutmeglift import ids
from nutmeglift_gateway import runs

EVIDENCE_SECONDS = 600.0
"""Time for which a crash is kept. Requests that end a runner once a minute are
found, too."""
MAX_CRASH_COUNT = 48
"""Crashes kept; the oldest are dropped."""
MAX_SUSPECT_COUNT = 32
"""Suspects kept of one crash."""
MAX_SOUND_SEGMENT_COUNT = 8192
"""Segments of which the last survival is kept; those that were not requested
for the longest time are dropped."""
SOUND_NEWS_SECONDS = 0.5
"""Survivals of a suspected segment are reported at most this often."""
MAX_REQUEST_ID_LENGTH = 64
HASH_BYTES = 7
"""Hashes are exact in all encodings of numbers."""


@dataclasses.dataclass(frozen=True)
class Suspect:
    """A request that may have caused a crash.

    Attributes:
        request_id: the id that the caller gave it.
        sent_at: loop time at which it was sent to the server.
        segments: segments of its prompt.
    """

    request_id: str
    sent_at: float
    segments: tuple[ids.SegmentId, ...]


@dataclasses.dataclass
class CrashRecord:
    """A crash, and all suspects known.

    Attributes:
        lifetime: the lifetime of the server that ended.
        at: loop time of the crash.
        suspect_by_id: the suspects by their request's id.
        seen_by: VMs of the routers whose requests it ended.
        stamp: position in the order of the changes at this router.
        own: whether the last change was this router's own observation.
    """

    lifetime: runs.Lifetime
    at: float
    suspect_by_id: dict[str, Suspect]
    seen_by: set[str]
    stamp: int = 0
    own: bool = False

    def __post_init__(self) -> None:
        """Indexes the suspects."""
        self.suspects_by_segment: dict[ids.SegmentId, list[Suspect]] = {}
        for suspect in self.suspect_by_id.values():
            self._index(suspect)

    def add(self, suspect: Suspect) -> None:
        """Adds a suspect."""
        self.suspect_by_id[suspect.request_id] = suspect
        self._index(suspect)

    def _index(self, suspect: Suspect) -> None:
        for segment in suspect.segments:
            self.suspects_by_segment.setdefault(segment, []).append(suspect)


@dataclasses.dataclass
class SoundRecord:
    """The last time at which a segment was survived.

    Attributes:
        at: loop time.
        reported_at: loop time of the survival last reported to peers.
        stamp: position of that in the order of the changes at this router; 0
            if peers need not know it.
    """

    at: float
    reported_at: float = float("-inf")
    stamp: int = 0


def from_crash(crash: runs.Crash, vm: str) -> CrashRecord:
    """Returns the record of a crash that ended this router's own runs."""
    return CrashRecord(
        crash.lifetime,
        crash.at,
        {
            run.request_id[:MAX_REQUEST_ID_LENGTH]: Suspect(
                run.request_id[:MAX_REQUEST_ID_LENGTH],
                run.sent_at,
                run.segments,
            )
            for run in crash.suspects
        },
        {vm},
        own=True,
    )


class CrashEvidence:
    """Crashes with their suspects, and the segments known to be sound."""

    def __init__(self) -> None:
        self._crash_by_lifetime: dict[runs.Lifetime, CrashRecord] = {}
        self._sound_by_segment: collections.OrderedDict[
            ids.SegmentId, SoundRecord
        ] = collections.OrderedDict()
        self._reported: dict[ids.SegmentId, SoundRecord] = {}
        self._suspected: frozenset[ids.SegmentId] = frozenset()
        self._digest = 0
        self._stamp = 0

    @property
    def stamp(self) -> int:
        """Position of the last change."""
        return self._stamp

    def crashes(self) -> list[CrashRecord]:
        """Returns the crashes in order of their times."""
        return sorted(self._crash_by_lifetime.values(), key=lambda c: c.at)

    def crashes_since(self, stamp: int) -> list[CrashRecord]:
        """Returns the crashes that have changed after a position."""
        return [
            crash
            for crash in self._crash_by_lifetime.values()
            if crash.stamp > stamp
        ]

    def sound_since(self, stamp: int) -> dict[ids.SegmentId, SoundRecord]:
        """Returns the survivals to report that came after a position."""
        return {
            segment: record
            for segment, record in self._reported.items()
            if record.stamp > stamp
        }

    def digest(self) -> int:
        """Returns a number that is the same for the same set of suspects."""
        return self._digest

    def merge(self, now: float, crash: CrashRecord) -> bool:
        """Adds a crash, or what it adds to a known one.

        Returns:
            Whether anything was new.
        """
        if now - crash.at > EVIDENCE_SECONDS:
            return False
        known = self._crash_by_lifetime.get(crash.lifetime)
        if known is None:
            known = CrashRecord(crash.lifetime, crash.at, {}, set())
        new = [
            suspect
            for request_id, suspect in crash.suspect_by_id.items()
            if request_id not in known.suspect_by_id
        ][: max(0, MAX_SUSPECT_COUNT - len(known.suspect_by_id))]
        if not new:
            return False
        self._crash_by_lifetime[crash.lifetime] = known
        known.at = min(known.at, crash.at)
        for suspect in new:
            known.add(suspect)
        known.seen_by |= crash.seen_by
        known.own = crash.own
        self._stamp += 1
        known.stamp = self._stamp
        if len(self._crash_by_lifetime) > MAX_CRASH_COUNT:
            oldest = min(self._crash_by_lifetime.values(), key=lambda c: c.at)
            del self._crash_by_lifetime[oldest.lifetime]
        self._update_summary()
        for suspect in new:
            self._report_known_sound(suspect.segments)
        return True

    def record_sound(
        self, at: float, segments: Iterable[ids.SegmentId]
    ) -> None:
        """Records that a request with these segments survived its beginning."""
        for segment in segments:
            record = self._sound_by_segment.setdefault(segment, SoundRecord(at))
            self._sound_by_segment.move_to_end(segment)
            record.at = max(record.at, at)
            if (
                segment in self._suspected
                and record.at - record.reported_at >= SOUND_NEWS_SECONDS
            ):
                self._mark_news(segment, record)
        self._limit_sound()

    def merge_sound(self, at: float, segment: ids.SegmentId) -> None:
        """Records that a segment was survived at another router."""
        record = self._sound_by_segment.setdefault(segment, SoundRecord(at))
        record.at = max(record.at, at)
        self._limit_sound()

    def last_sound(self) -> dict[ids.SegmentId, float]:
        """Returns when the suspected segments were last survived."""
        return {
            segment: record.at
            for segment in self._suspected
            if (record := self._sound_by_segment.get(segment)) is not None
        }

    def is_suspected(self, segments: Iterable[ids.SegmentId]) -> bool:
        """Returns whether a suspect of any crash has one of the segments."""
        return not self._suspected.isdisjoint(segments)

    def expire(self, now: float) -> None:
        """Drops old crashes."""
        for crash in list(self._crash_by_lifetime.values()):
            if now - crash.at > EVIDENCE_SECONDS:
                del self._crash_by_lifetime[crash.lifetime]
                self._update_summary()

    def _update_summary(self) -> None:
        segments: set[ids.SegmentId] = set()
        self._digest = 0
        for lifetime, crash in self._crash_by_lifetime.items():
            for suspect in crash.suspect_by_id.values():
                segments.update(suspect.segments)
                self._digest ^= stable_hash(f"{lifetime}/{suspect.request_id}")
        self._suspected = frozenset(segments)
        for segment in self._reported.keys() - segments:
            del self._reported[segment]

    def _report_known_sound(self, segments: Iterable[ids.SegmentId]) -> None:
        """Has peers learn that suspected segments were survived before."""
        for segment in segments:
            record = self._sound_by_segment.get(segment)
            if record is not None and record.at > record.reported_at:
                self._mark_news(segment, record)

    def _limit_sound(self) -> None:
        while len(self._sound_by_segment) > MAX_SOUND_SEGMENT_COUNT:
            self._sound_by_segment.popitem(last=False)

    def _mark_news(self, segment: ids.SegmentId, record: SoundRecord) -> None:
        self._stamp += 1
        record.stamp = self._stamp
        record.reported_at = record.at
        self._reported[segment] = record


def stable_hash(text: str) -> int:
    """Returns a hash that is the same in all processes."""
    raw = hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(raw)
