"""Decides which segments of prompts end the servers that answer them.

Load: a few requests a second that end every runner that begins to answer them,
beside sound requests with the same accounts and other segments, and beside
crashes for other reasons, of one runner or of several at the same time.

A segment is judged by the crashes since it was last survived. Each of them
weighs as much as it is unlikely for a sound request: the logarithm of the ratio
of requests that survived to requests that other crashes ended, over a while
and around that very crash. A popular segment is likely to be in a request that
something else in it makes end its server, so that a crash weighs at most
the logarithm of the inverse of its share of the requests. Crashes at the same
time have one cause and count once: a crash counts only if its suspect was sent
after the one before.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

from nutmeglift import ids
from nutmeglift_gateway import crash_evidence
from nutmeglift_gateway import runs

MAX_WEIGHT = math.log(100.0)
"""Limits the weight of a crash: two calm ones are needed at least."""
MIN_SCORE = math.log(8000.0)
"""Score of a segment that was never survived: fewer than one request in so
many is ended by crashes that have nothing to do with it."""
SURVIVED_SCORE = 9.0
"""Added for a segment that was survived before the crashes: most segments are
sound, and this one was."""
MARGIN_SCORE = 2.0
"""Difference to the score of another explanation of the same crashes."""
AMBIGUOUS_CRASH_COUNT = 5
"""Crashes after which the likeliest explanation is used even if another one is
about as likely."""
MIN_REQUEST_COUNT = 2
"""Requests that have to be suspects: a single one may itself be the cause."""
RATE_SECONDS = 30.0
"""Time over which the requests that other crashes ended are counted."""
SAME_TIME_SECONDS = 0.25
"""Crashes this close together may have one cause."""
CLOCK_ERROR_SECONDS = 0.02
"""Error of times that another router reports as ages."""


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Segments that end the servers that begin to answer them together.

    Attributes:
        segments: the segments, in order; several if every suspect has all.
        crashes: the crashes that it rests on.
        request_ids: the suspects with the segments.
        score: natural logarithm of how unlikely the crashes are otherwise.
    """

    segments: tuple[ids.SegmentId, ...]
    crashes: tuple[crash_evidence.CrashRecord, ...]
    request_ids: tuple[str, ...]
    score: float


@dataclasses.dataclass(frozen=True)
class Survivals:
    """Counts of requests that survived the beginning of their run.

    Attributes:
        count_between: returns how many did between two loop times, over all
            routers.
        share_of: returns the part of the requests that have a segment, not
            less than it is likely to be.
        last_at: when each segment was last survived, by segment; a segment
            that is missing never was.
    """

    count_between: Callable[[float, float], float]
    share_of: Callable[[ids.SegmentId], float]
    last_at: Mapping[ids.SegmentId, float]


@dataclasses.dataclass(frozen=True)
class _Candidate:
    segment: ids.SegmentId
    crashes: tuple[crash_evidence.CrashRecord, ...]
    request_ids: frozenset[str]
    score: float
    excess: float

    @property
    def key(self) -> tuple[frozenset[runs.Lifetime], frozenset[str]]:
        """What it rests on."""
        return frozenset(c.lifetime for c in self.crashes), self.request_ids


def find_poison(
    now: float,
    crashes: Sequence[crash_evidence.CrashRecord],
    survivals: Survivals,
) -> Verdict | None:
    """Returns the likeliest segments that end servers, or None.

    Args:
        now: loop time in seconds.
        crashes: the crashes that nothing explains yet, in order of their times.
        survivals: what was survived.
    """
    guilty = []
    for segment, found in _crashes_by_segment(crashes, survivals).items():
        candidate = _judge(now, segment, found, crashes, survivals)
        if candidate is not None and candidate.excess >= 0:
            guilty.append(candidate)
    if not guilty:
        return None
    best = max(guilty, key=lambda each: (each.excess, each.segment))
    same = [each for each in guilty if each.key == best.key]
    for other in guilty:
        if (
            other not in same
            and other.score > best.score - MARGIN_SCORE
            and len(best.crashes) < AMBIGUOUS_CRASH_COUNT
        ):
            return None
    return Verdict(
        tuple(sorted(each.segment for each in same)),
        best.crashes,
        tuple(sorted(best.request_ids)),
        best.score,
    )


def _crashes_by_segment(
    crashes: Sequence[crash_evidence.CrashRecord], survivals: Survivals
) -> dict[ids.SegmentId, list[crash_evidence.CrashRecord]]:
    """Returns the crashes of each segment since it was survived, in order.

    Segments with a single one are left out.
    """
    found: dict[ids.SegmentId, list[crash_evidence.CrashRecord]] = {}
    for crash in crashes:
        for segment in crash.suspects_by_segment:
            if crash.at > survivals.last_at.get(segment, float("-inf")):
                found.setdefault(segment, []).append(crash)
    return {
        segment: found[segment]
        for segment in sorted(found)
        if len(found[segment]) > 1
    }


def _judge(
    now: float,
    segment: ids.SegmentId,
    found: Sequence[crash_evidence.CrashRecord],
    crashes: Sequence[crash_evidence.CrashRecord],
    survivals: Survivals,
) -> _Candidate | None:
    """Returns the score of a segment, or None if it can't suffice.

    Args:
        now: loop time in seconds.
        segment: the segment.
        found: its crashes since it was survived.
        crashes: all crashes.
        survivals: what was survived.
    """
    counted: list[crash_evidence.CrashRecord] = []
    request_ids: set[str] = set()
    for crash in found:
        suspects = crash.suspects_by_segment[segment]
        request_ids.update(each.request_id for each in suspects)
        sent_at = max(each.sent_at for each in suspects)
        if counted and sent_at < counted[-1].at - CLOCK_ERROR_SECONDS:
            continue
        counted.append(crash)
    needed = MIN_SCORE
    if segment in survivals.last_at:
        needed += SURVIVED_SCORE
    limit = min(MAX_WEIGHT, -math.log(survivals.share_of(segment)))
    if len(request_ids) < MIN_REQUEST_COUNT or limit * len(counted) < needed:
        return None
    others = [c for c in crashes if segment not in c.suspects_by_segment]
    score = sum(
        min(limit, _weight(now, crash, others, survivals)) for crash in counted
    )
    return _Candidate(
        segment,
        tuple(counted),
        frozenset(request_ids),
        score,
        score - needed,
    )


def _weight(
    now: float,
    crash: crash_evidence.CrashRecord,
    others: Sequence[crash_evidence.CrashRecord],
    survivals: Survivals,
) -> float:
    """Returns how unlikely it is for a sound request to be ended here.

    Args:
        now: loop time in seconds.
        crash: the crash that ended it.
        others: the crashes without a suspect of the same kind.
        survivals: what was survived.
    """
    since = now - RATE_SECONDS
    ended = sum(len(c.suspect_by_id) for c in others if c.at >= since)
    survived = survivals.count_between(since, now)
    ratio = (1.0 + ended) / (1.0 + survived + ended)
    near = sum(
        len(each.suspect_by_id)
        for each in others
        if abs(each.at - crash.at) <= SAME_TIME_SECONDS
    )
    if near:
        survived = survivals.count_between(
            crash.at - SAME_TIME_SECONDS, crash.at + SAME_TIME_SECONDS
        )
        ratio = max(ratio, near / (near + survived))
    return -math.log(ratio)
