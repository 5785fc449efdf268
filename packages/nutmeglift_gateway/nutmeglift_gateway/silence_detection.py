"""Finds the runners for which silent streams may wait.

A runner that is cut off or has lost power says nothing, and what its
neighbours report about it lags. But all streams through it fall silent within
one event, while streams on other paths go on. So the runners that are only on
the paths of silent streams are doubtful; a connection tells which is lost.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from nutmeglift_gateway import stall_detection

MISSED_EVENT_COUNT = 2.0
"""A stream is silent when so many expected events are missing."""
MIN_SILENCE_SECONDS = 0.06
"""Shorter silences come of prompts that are read between the steps."""
FIRST_EVENT_SILENCE_RATIO = 0.3
"""Part of the objective for the first event after which a stream that has not
begun counts as silent: half of the rest is left for another pipeline."""


@dataclasses.dataclass(frozen=True)
class StreamSilence:
    """A stream, and the runners that it passes.

    Attributes:
        addresses: the runners on its path.
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
        step_seconds: expected time of a token step on its path.
        begun: whether its first event arrived.
        objective: seconds to the first event.
    """
    events = MISSED_EVENT_COUNT * step_seconds * stall_detection.STEPS_PER_EVENT
    if not begun:
        return max(objective * FIRST_EVENT_SILENCE_RATIO, events)
    return max(MIN_SILENCE_SECONDS, events)


def suspected_addresses(streams: Iterable[StreamSilence]) -> set[str]:
    """Returns the addresses that only silent streams pass."""
    listed = list(streams)
    silent = [stream for stream in listed if stream.silent >= stream.limit]
    if not silent:
        return set()
    doubted = {address for each in silent for address in each.addresses}
    for stream in listed:
        if stream.begun and stream.silent < stream.limit:
            doubted.difference_update(stream.addresses)
    return doubted


def unreachable_addresses(answered_by_address: Mapping[str, bool]) -> set[str]:
    """Returns the addresses that are lost, by who took a connection.

    Where most are silent it is our own link that fails, and nothing is known.

    Args:
        answered_by_address: whether each address that was tried answered.
    """
    missing = {
        address
        for address, answered in answered_by_address.items()
        if not answered
    }
    if 2 * len(missing) > len(answered_by_address):
        return set()
    return missing
