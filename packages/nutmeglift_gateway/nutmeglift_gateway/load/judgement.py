"""Judges whether one request is sent, waits or is refused.

A less urgent request waits while sending it would make more urgent ones late,
and for as long as it can still be in time; then it is sent all the same, as an
answer that is late is better than none. A request without any room waits while
room is expected in time.
"""

from collections.abc import Mapping
import dataclasses
import random

from nutmeglift import errors
from nutmeglift_gateway.load import demand as demands
from nutmeglift_gateway.load import events
from nutmeglift_gateway.load import room as rooms

IN_TIME_MARGIN_RATIO = 0.2
"""Part of its objective that a request keeps for errors of its forecast."""
RESERVE_SECONDS = 0.25
"""Memory for the more urgent requests of this time is kept free of others: the
interval of the peers' reports, until which what they have sent isn't known."""
MIN_HELD_USED_RATIO = 0.5
"""No request waits for memory that others may need on a path that is used
less."""
RETRY_SPREAD_RATIO = 0.25
"""Part of the wait over which refused callers return."""
MIN_RETRY_SECONDS = 0.05
"""Shortest Retry-After."""
MAX_RETRY_SECONDS = 5.0
"""Longest Retry-After: callers honour up to a third of their time."""
RETRY_PRIORITY_RATIO = 0.5
"""Part of the wait by which callers of the next priority return later."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the queue.

    Attributes:
        urgent_ratio: part of a more urgent request's objective that its first
            event may take before less urgent ones wait.
        max_wait: longest wait in seconds.
        max_waiting: number of requests that wait at a time.
        max_bytes: bytes of the bodies of the requests that wait.
    """

    urgent_ratio: float = 0.5
    max_wait: float = 2.0
    max_waiting: int = 256
    max_bytes: float = 8e6


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """A request is to wait.

    Attributes:
        until: loop time at which it is sent, or refused without room.
        detail: why it waits.
        has_room: whether it could be sent now.
    """

    until: float
    detail: str
    has_room: bool = True


class Judge:
    """Judges requests by the room and the demand of their service."""

    def __init__(
        self,
        room: rooms.BaseRoom,
        demand: demands.BaseDemand,
        limits: Limits,
        rng: random.Random,
    ) -> None:
        """Initializes a judge.

        Args:
            room: what the services have room for.
            demand: recent demand by priority.
            limits: limits of the queue.
            rng: spreads the callers that return.
        """
        self._room = room
        self._demand = demand
        self._limits = limits
        self._rng = rng

    def is_alone(self, now: float, arrived: events.Arrived) -> bool:
        """Returns whether no other priority was in demand recently."""
        demand = self._demand.by_priority(now, arrived.needs.service)
        return not demand.keys() - {arrived.needs.rank}

    def judge(
        self, now: float, arrived: events.Arrived, ahead: int
    ) -> events.Dispatch | events.Refuse | Wait:
        """Decides about one request.

        Args:
            now: loop time in seconds.
            arrived: the request.
            ahead: number of requests that get room before it.
        """
        needs = arrived.needs
        offer = self._room.offer(now, needs)
        if offer is None:
            return self._judge_without_room(now, arrived, ahead)
        detail = self._find_harm(now, needs, offer)
        if not detail:
            return events.Dispatch(arrived.number)
        until = self.last_start(arrived) - offer.first_event_seconds
        if until <= now:
            return events.Dispatch(arrived.number, detail)
        return Wait(until, detail)

    def _find_harm(
        self, now: float, needs: rooms.RoomRequest, offer: rooms.Offer
    ) -> str:
        """Returns how sending a request would harm more urgent ones, if so."""
        reserve = urgent_tokens = all_tokens = 0.0
        demand = self._demand.by_priority(now, needs.service)
        for rank, other in demand.items():
            tokens = other.arrivals_per_second * other.prompt_tokens
            all_tokens += tokens
            if rank >= needs.rank:
                continue
            limit = self._limits.urgent_ratio * other.objective
            if offer.fastest_seconds > limit:
                return (
                    f"rank {rank} would get its first event in"
                    f" {offer.fastest_seconds:.3f} s, limit {limit:.3f} s"
                )
            urgent_tokens += tokens
            reserve += (
                other.arrivals_per_second * RESERVE_SECONDS * other.held_tokens
            )
        if offer.link_used_ratio > 1.0 - urgent_tokens / max(1.0, all_tokens):
            return (
                f"its links are used to {offer.link_used_ratio:.2f}, and"
                f" {urgent_tokens / max(1.0, all_tokens):.2f} of the prompts"
                " are more urgent"
            )
        if offer.used_ratio <= MIN_HELD_USED_RATIO or not reserve:
            return ""
        reserve_ratio = reserve / max(1.0, offer.capacity_tokens)
        if offer.used_ratio + reserve_ratio <= 1.0:
            return ""
        return (
            f"its path would be used to {offer.used_ratio:.2f}, and more urgent"
            f" ones need {reserve_ratio:.2f} of all"
        )

    def _judge_without_room(
        self, now: float, arrived: events.Arrived, ahead: int
    ) -> events.Dispatch | events.Refuse | Wait:
        freed_after = self._room.seconds_until_freed(now, arrived.needs)
        if freed_after is None:
            # Its attempt finds no path and says why, as without a queue.
            return events.Dispatch(arrived.number)
        expected = freed_after * (1 + ahead)
        until = self.last_start(arrived)
        detail = (
            f"no room for {arrived.needs.held_tokens:.0f} tokens, expected in"
            f" {expected:.3f} s behind {ahead}, in time until"
            f" {max(0.0, until - now):.3f} s"
        )
        if now + expected < until:
            return Wait(until, detail, has_room=False)
        return self.refuse(
            now, arrived, events.Reason.NOT_IN_TIME, expected, detail
        )

    def last_start(self, arrived: events.Arrived) -> float:
        """Returns until when a request may begin to be processed in time."""
        urgency = arrived.needs.urgency
        margin = IN_TIME_MARGIN_RATIO * urgency.objective
        return min(
            urgency.received_at + urgency.objective - margin,
            urgency.received_at + self._limits.max_wait,
            arrived.deadline - margin,
        )

    def refuse(
        self,
        now: float,
        arrived: events.Arrived,
        reason: events.Reason,
        expected: float,
        detail: str,
    ) -> events.Refuse:
        """Returns a refusal; the more urgent callers return first."""
        needs = arrived.needs
        demand = self._demand.by_priority(now, needs.service)
        behind = _count_more_urgent(demand, needs.rank)
        wait = expected * (1.0 + RETRY_PRIORITY_RATIO * behind)
        wait *= 1.0 + self._rng.uniform(0.0, RETRY_SPREAD_RATIO)
        return events.Refuse(
            arrived.number,
            errors.ErrorKind.OVERLOADED,
            reason,
            min(max(wait, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS),
            f"{reason.value}: {detail}",
        )


def _count_more_urgent(demand: Mapping[int, demands.Demand], rank: int) -> int:
    return sum(each < rank for each in demand)
