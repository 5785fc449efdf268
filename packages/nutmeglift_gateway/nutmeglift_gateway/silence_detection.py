"""Finds runners that may have failed, from the streams that went silent.

A runner that is partitioned or has lost power reports nothing, and the reports
of its neighbours lag. However, all streams through it go silent within one
event interval, while streams on other paths continue. Runners that are on the
paths of silent streams only are therefore suspected, and a connection attempt
shows which of them is lost.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from nutmeglift_gateway import stalls

MISSED_EVENT_COUNT = 2.0
"""A stream is silent once this many expected events are overdue."""
MIN_SILENCE_SECONDS = 0.06
"""Prompts that are processed between token steps cause shorter silences."""
FIRST_EVENT_SILENCE_RATIO = 0.3
"""Part of the objective for the first event after which a stream without events
counts as silent: half of the remainder is left for another pipeline."""


@dataclasses.dataclass(frozen=True)
class StreamSilence:
    """How long a stream has been silent, and the runners on its path.

    Attributes:
        addresses: addresses of the runners on its path.
        silent: seconds since its last event, or since it was sent or moved.
        limit: seconds after which it counts as silent.
        begun: whether an event arrived since it was sent or moved.
    """

    addresses: tuple[str, ...]
    silent: float
    limit: float
    begun: bool


def silence_timeout(
    *, step_seconds: float, begun: bool, objective: float
) -> float:
    """Returns the seconds after which a stream counts as silent.

    Args:
        step_seconds: expected duration of a token step on its path.
        begun: whether its first event arrived.
        objective: target for the time to the first event, in seconds.
    """
    events = MISSED_EVENT_COUNT * step_seconds * stalls.STEPS_PER_EVENT
    if not begun:
        return max(objective * FIRST_EVENT_SILENCE_RATIO, events)
    return max(MIN_SILENCE_SECONDS, events)


def suspected_addresses(streams: Iterable[StreamSilence]) -> set[str]:
    """Returns the addresses that are on the paths of silent streams only."""
    listed = list(streams)
    silent = [stream for stream in listed if stream.silent >= stream.limit]
    if not silent:
        return set()
    suspected = {address for each in silent for address in each.addresses}
    for stream in listed:
        if stream.begun and stream.silent < stream.limit:
            suspected.difference_update(stream.addresses)
    return suspected


def unreachable_addresses(answered_by_address: Mapping[str, bool]) -> set[str]:
    """Returns the addresses that are considered lost.

    The result is empty if more than half of the addresses did not respond:
    then this router's own network link has probably failed.

    Args:
        answered_by_address: whether a connection to each address succeeded.
    """
    missing = {
        address
        for address, answered in answered_by_address.items()
        if not answered
    }
    if 2 * len(missing) > len(answered_by_address):
        return set()
    return missing
