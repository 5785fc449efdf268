"""Parses the list of the segments that make up a request's prompt.

Callers choose the segments' ids, so that what is kept of them is bounded.
"""

import hashlib

from nutmeglift import ids

MAX_SEGMENT_COUNT = 32
"""Segments kept of one request: the last one, and as many of the first."""
MAX_ID_LENGTH = 64
"""Longer ids are replaced by a digest."""
DIGEST_BYTES = 16
DIGEST_PREFIX = "blake2b-"


class MalformedSegmentsError(ValueError):
    """The list of segments is malformed."""


def parse(raw: bytes) -> tuple[ids.SegmentId, ...]:
    """Returns the segments of a prompt.

    Other requests may share all of them. The last one, which belongs to the
    request or its session, is the same in a request that is repeated.

    Args:
        raw: comma-separated ids, each with a colon and its number of tokens.

    Raises:
        MalformedSegmentsError: the list is malformed.
    """
    if not raw:
        return ()
    found = []
    for row in raw.split(b","):
        segment, colon, tokens = row.strip().partition(b":")
        if not segment or not colon or not tokens.isdigit():
            raise MalformedSegmentsError(repr(row[:MAX_ID_LENGTH]))
        found.append(segment)
    kept = found[: MAX_SEGMENT_COUNT - 1] + found[MAX_SEGMENT_COUNT - 1 :][-1:]
    return tuple(dict.fromkeys(_normalize(each) for each in kept))


def _normalize(segment: bytes) -> ids.SegmentId:
    if len(segment) > MAX_ID_LENGTH:
        digest = hashlib.blake2b(segment.lower(), digest_size=DIGEST_BYTES)
        return ids.SegmentId(DIGEST_PREFIX + digest.hexdigest())
    return ids.SegmentId(segment.decode("latin-1").lower())
