"""What a service has room for at present."""

import abc
import dataclasses

from nutmeglift import ids
from nutmeglift_gateway.load import urgency as urgencies


@dataclasses.dataclass(frozen=True, slots=True)
class RoomRequest:
    """What a request needs.

    Attributes:
        service: the service that runs it.
        urgency: its priority and objectives.
        prompt_tokens: tokens of its prompt.
        held_tokens: tokens that it holds in the KV cache on average.
        rank: order in which requests get room; 0 comes first.
    """

    service: ids.ServiceId
    urgency: urgencies.Urgency
    prompt_tokens: int
    held_tokens: float
    rank: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """The best path that a request would get now.

    Attributes:
        first_event_seconds: expected time to its first event.
        fastest_seconds: expected time to the first event of an equal request
            on the fastest path, once this one was sent.
        used_ratio: used part of the path's memory or slots, whichever is more,
            once this request was sent.
        capacity_tokens: tokens that the service's runners can hold, over
            all paths.
        link_used_ratio: used part of this router's share of the links between
            failure domains that the path crosses.
    """

    first_event_seconds: float
    fastest_seconds: float
    used_ratio: float
    capacity_tokens: float
    link_used_ratio: float = 0.0


class BaseRoom(abc.ABC):
    """Source of offers."""

    @abc.abstractmethod
    def offer(self, now: float, request: RoomRequest) -> Offer | None:
        """Returns what a request would get, or None without any room.

        Args:
            now: loop time in seconds.
            request: what it needs.
        """

    @abc.abstractmethod
    def seconds_until_freed(
        self, now: float, request: RoomRequest
    ) -> float | None:
        """Returns the time until room for a request becomes free.

        Returns:
            The expected seconds, or None if that isn't known.
        """


class InMemoryRoom(BaseRoom):
    """Room that is set by hand."""

    def __init__(self) -> None:
        self.next_offer: Offer | None = None
        self.freed_after: float | None = None

    def offer(self, now: float, request: RoomRequest) -> Offer | None:
        """Returns what was set."""
        return self.next_offer

    def seconds_until_freed(
        self, now: float, request: RoomRequest
    ) -> float | None:
        """Returns what was set."""
        return self.freed_after
