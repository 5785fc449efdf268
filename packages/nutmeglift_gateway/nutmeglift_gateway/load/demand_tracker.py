"""Recent demand of this router's callers, by service and rank."""

from collections.abc import Mapping
import dataclasses
import math

from nutmeglift import ids
from nutmeglift_gateway.load import demand
from nutmeglift_gateway.load import demand_rows
from nutmeglift_gateway.load import room

IN_DEMAND_SECONDS = 3.0
"""Time for which a rank counts as in demand after a request: at ten routers
and three requests a second in all, one router sees one each three seconds."""
RATE_SECONDS = 1.5
"""Time over which rates are averaged; as long as a peer's report holds."""
MAX_TOKENS = 1_000_000
"""Longer than the prompts that engines take. A caller may name any number, and
one request must not decide the mean for a minute."""
MAX_ROW_COUNT = 1024
"""Services times ranks; those no longer in demand are dropped beyond it."""


@dataclasses.dataclass(slots=True)
class _Rate:
    """Exponentially weighted rate of events."""

    count: float = 0.0
    at: float = float("-inf")

    def add(self, now: float) -> None:
        self.count = self._decayed(now) + 1.0
        self.at = now

    def per_second(self, now: float) -> float:
        return self._decayed(now) / RATE_SECONDS

    def _decayed(self, now: float) -> float:
        return self.count * math.exp((self.at - now) / RATE_SECONDS)


@dataclasses.dataclass(slots=True)
class _Row:
    """Recent requests of one rank for one service.

    Attributes:
        arrivals: their rate.
        objective: the shortest recent objective.
        objective_at: when it was seen.
        prompt_tokens: mean of the recent prompts.
        held_tokens: mean of the tokens that one holds.
    """

    arrivals: _Rate
    objective: float
    objective_at: float
    prompt_tokens: float
    held_tokens: float


class DemandTracker(demand.BaseDemand):
    """Demand of this router's own callers."""

    def __init__(self) -> None:
        self._rows_by_service: dict[ids.ServiceId, dict[int, _Row]] = {}
        self._ends_by_service: dict[ids.ServiceId, _Rate] = {}
        self._row_count = 0

    def record(self, now: float, request: room.RoomRequest) -> None:
        """Records an admitted request at a loop time in seconds."""
        rows = self._rows_by_service.setdefault(request.service, {})
        urgency = request.urgency
        prompt_tokens = min(request.prompt_tokens, MAX_TOKENS)
        held_tokens = min(request.held_tokens, MAX_TOKENS)
        row = rows.get(request.rank)
        if row is None:
            self._drop_old(now)
            rows = self._rows_by_service.setdefault(request.service, {})
            row = rows[request.rank] = _Row(
                _Rate(),
                urgency.objective,
                now,
                prompt_tokens,
                held_tokens,
            )
            self._row_count += 1
        weight = 1.0 / max(1.0, row.arrivals.per_second(now) * RATE_SECONDS + 1)
        row.prompt_tokens += weight * (prompt_tokens - row.prompt_tokens)
        row.held_tokens += weight * (held_tokens - row.held_tokens)
        row.arrivals.add(now)
        if (
            urgency.objective <= row.objective
            or now - row.objective_at > IN_DEMAND_SECONDS
        ):
            row.objective, row.objective_at = urgency.objective, now

    def record_end(self, now: float, service: ids.ServiceId) -> None:
        """Records that a request has ended and freed its room."""
        if len(self._ends_by_service) >= MAX_ROW_COUNT:
            self._ends_by_service.clear()
        self._ends_by_service.setdefault(service, _Rate()).add(now)

    def ends_per_second(self, now: float, service: ids.ServiceId) -> float:
        """Returns how many of this router's requests end per second."""
        rate = self._ends_by_service.get(service)
        if rate is None or now - rate.at > IN_DEMAND_SECONDS:
            return 0.0
        return rate.per_second(now)

    def by_service(self, now: float) -> demand_rows.ServiceDemand:
        """Returns the demand by service and rank.

        Args:
            now: loop time in seconds.
        """
        return {
            service: found
            for service in self._rows_by_service
            if (found := self.by_priority(now, service))
        }

    def by_priority(
        self, now: float, service: ids.ServiceId
    ) -> Mapping[int, demand.Demand]:
        """Returns the demand of the ranks that were in use recently."""
        since = now - IN_DEMAND_SECONDS
        return {
            rank: demand.Demand(
                row.arrivals.per_second(now),
                row.objective,
                prompt_tokens=row.prompt_tokens,
                held_tokens=row.held_tokens,
            )
            for rank, row in self._rows_by_service.get(service, {}).items()
            if row.arrivals.at > since
        }

    def _drop_old(self, now: float) -> None:
        """Drops what is no longer in demand, once there are many rows."""
        if self._row_count < MAX_ROW_COUNT:
            return
        since = now - IN_DEMAND_SECONDS
        self._rows_by_service = {
            service: kept
            for service, rows in self._rows_by_service.items()
            if (
                kept := {
                    priority: row
                    for priority, row in rows.items()
                    if row.arrivals.at > since
                }
            )
        }
        self._row_count = sum(map(len, self._rows_by_service.values()))
        if self._row_count >= MAX_ROW_COUNT:
            self._rows_by_service.clear()
            self._row_count = 0
