"""Encodes demand in the reports on one link between two routers.

A report names only the priorities whose demand has changed since the previous
one. The link delivers every report once and in order; a new link starts without
any demand.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from nutmeglift import ids
from nutmeglift_gateway.load import demand

MAX_ROW_COUNT = 1024
"""Services times priorities of one router; further ones are left out."""
MAX_LENGTH = 256
"""Limits the name of a service."""
MAX_NUMBER = 10**9
"""Limits rates, times and counts."""
CHANGE_RATIO = 0.2
"""Change of a number up to which a row isn't sent again."""

ServiceDemand = Mapping[ids.ServiceId, Mapping[int, demand.Demand]]


class DemandRow(msgspec.Struct, array_like=True, frozen=True):
    """Demand of the sender's own callers for a service, of one priority.

    Attributes:
        service: the service.
        priority: the priority.
        arrivals: requests that callers sent, per 100 seconds; 0 if there is no
            demand any more.
        objective: shortest objective of their routes, in milliseconds.
        waiting: requests that wait for room.
        prompt_tokens: mean number of prompt tokens.
        held_tokens: mean number of tokens that one holds in the KV cache.
    """

    service: str
    priority: int
    arrivals: int
    objective: int
    waiting: int
    prompt_tokens: int
    held_tokens: int


class Encoder:
    """The sending side of a link."""

    def __init__(self) -> None:
        self._sent_by_key: dict[tuple[ids.ServiceId, int], DemandRow] = {}

    def encode(self, known: ServiceDemand) -> list[DemandRow]:
        """Returns the rows that have changed, which count as sent."""
        row_by_key = {
            (service, priority): _row(service, priority, each)
            for service, demand_by_priority in known.items()
            for priority, each in demand_by_priority.items()
        }
        if len(row_by_key) > MAX_ROW_COUNT:
            kept = sorted(row_by_key)[:MAX_ROW_COUNT]
            row_by_key = {key: row_by_key[key] for key in kept}
        ended = self._sent_by_key.keys() - row_by_key.keys()
        rows = [
            row
            for key, row in row_by_key.items()
            if _differs(self._sent_by_key.get(key), row)
        ]
        rows += [DemandRow(*key, 0, 0, 0, 0, 0) for key in ended]
        for row in rows:
            self._sent_by_key[ids.ServiceId(row.service), row.priority] = row
        for key in ended:
            del self._sent_by_key[key]
        return rows


class Decoder:
    """The receiving side of a link.

    Attributes:
        demand_by_key: the sender's demand by service and priority.
    """

    def __init__(self) -> None:
        self.demand_by_key: dict[tuple[ids.ServiceId, int], demand.Demand] = {}

    def apply(self, rows: Iterable[object]) -> list[str]:
        """Applies the rows of a report; returns what is wrong with them.

        A malformed row is left out, and the others are applied.
        """
        problems = []
        for raw in rows:
            try:
                row = msgspec.convert(raw, DemandRow)
            except msgspec.ValidationError as error:
                problems.append(f"malformed demand: {error}")
                continue
            if not _is_valid(row):
                problems.append("demand out of range")
                continue
            key = (ids.ServiceId(row.service), row.priority)
            if row.arrivals == 0 and row.waiting == 0:
                self.demand_by_key.pop(key, None)
            elif (
                key not in self.demand_by_key
                and len(self.demand_by_key) >= MAX_ROW_COUNT
            ):
                problems.append("too much demand")
            else:
                self.demand_by_key[key] = demand.Demand(
                    row.arrivals / 100,
                    row.objective / 1000,
                    row.waiting,
                    row.prompt_tokens,
                    row.held_tokens,
                )
        return problems


def _row(
    service: ids.ServiceId, priority: int, known: demand.Demand
) -> DemandRow:
    return DemandRow(
        service,
        priority,
        # Demand, however little, isn't sent as none.
        max(1, round(known.arrivals_per_second * 100)),
        round(known.objective * 1000),
        known.waiting,
        round(known.prompt_tokens),
        round(known.held_tokens),
    )


def _numbers(row: DemandRow) -> tuple[int, ...]:
    return (
        row.arrivals,
        row.objective,
        row.waiting,
        row.prompt_tokens,
        row.held_tokens,
    )


def _differs(sent: DemandRow | None, row: DemandRow) -> bool:
    if sent is None:
        return True
    return any(
        abs(new - old) > CHANGE_RATIO * old
        for old, new in zip(_numbers(sent), _numbers(row), strict=True)
    )


def _is_valid(row: DemandRow) -> bool:
    return (
        0 < len(row.service) <= MAX_LENGTH
        and abs(row.priority) <= MAX_NUMBER
        and all(0 <= number <= MAX_NUMBER for number in _numbers(row))
    )
