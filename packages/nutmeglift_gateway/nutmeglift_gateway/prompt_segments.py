"""Parses the list of the segments that make up a request's prompt.

Callers choose the segments' ids, so that what is kept of them is bounded.
"""

import hashlib

from nutmeglift import ids

MAX_SEGMENT_COUNT = 32
"""Shared segments kept of one request; further ones are ignored."""
MAX_ID_LENGTH = 64
"""Longer ids are replaced by a digest."""
DIGEST_BYTES = 16
DIGEST_PREFIX = "blake2b-"


class MalformedSegmentsError(ValueError):
    """The list of segments is malformed."""


def parse_shared(raw: bytes) -> tuple[ids.SegmentId, ...]:
    """Returns the segments that other requests may share: all but the last.

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
    shared = dict.fromkeys(_normalize(each) for each in found[:-1])
    return tuple(shared)[:MAX_SEGMENT_COUNT]


def _normalize(segment: bytes) -> ids.SegmentId:
    if len(segment) > MAX_ID_LENGTH:
        digest = hashlib.blake2b(segment.lower(), digest_size=DIGEST_BYTES)
        return ids.SegmentId(DIGEST_PREFIX + digest.hexdigest())
    return ids.SegmentId(segment.decode("latin-1").lower())
