"""Prompts that end the servers that answer them, and how many arrive."""

import dataclasses

COUNTED_CRASHES = 5
MAX_LATE_ARRIVALS = 3
POPULAR_SEGMENT_COUNT = 3


@dataclasses.dataclass
class Poison:
    """One segment that ends servers.

    Attributes:
        crashes: times of the crashes that it caused.
        arrivals: times and request ids of the requests that reached a server.
    """

    crashes: list[float] = dataclasses.field(default_factory=list)
    arrivals: list[tuple[float, str]] = dataclasses.field(default_factory=list)


def make_header(number, poison, *, first):
    """Returns the list of a prompt's segments.

    Args:
        number: number of the request.
        poison: the segment that ends servers; empty for a sound request.
        first: whether that segment is the first one.
    """
    segments = [f"0{number % POPULAR_SEGMENT_COUNT}", f"{number:x}"]
    if poison:
        segments.insert(0 if first else 1, poison)
    return ",".join(f"{segment}:40" for segment in segments)


def find(header, poison_by_segment):
    """Returns the segment of a prompt that ends servers, or None."""
    segments = [row.partition(":")[0] for row in header.split(",")][:-1]
    return next((s for s in segments if s in poison_by_segment), None)


def late_arrivals(poison, contact_seconds, is_in_touch, starved_seconds):
    """Returns the request ids that arrived too late after the fifth crash.

    Args:
        poison: the segment.
        contact_seconds: time after the fifth crash in which all routers learn
            of it.
        is_in_touch: returns whether the router of a request counts at a time.
        starved_seconds: returns how long no processor was free between two
            times.
    """
    if len(poison.crashes) < COUNTED_CRASHES:
        return []
    fifth = sorted(poison.crashes)[COUNTED_CRASHES - 1]
    late = [
        request_id
        for at, request_id in poison.arrivals
        if at > fifth + contact_seconds + starved_seconds(fifth, at)
        and is_in_touch(request_id, at)
    ]
    return late if len(late) > MAX_LATE_ARRIVALS else []
