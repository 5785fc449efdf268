"""Recent demand for a service by rank, over all routers."""

import abc
from collections.abc import Mapping
import dataclasses

from nutmeglift import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Recent requests of one rank for one service.

    Attributes:
        arrivals_per_second: requests that callers sent, over all routers.
        objective: shortest objective of their routes, in seconds.
        waiting: requests that wait for room at any router.
        prompt_tokens: mean number of prompt tokens.
        held_tokens: mean number of tokens that one holds in the KV cache.
    """

    arrivals_per_second: float
    objective: float
    waiting: int = 0
    prompt_tokens: float = 0.0
    held_tokens: float = 0.0


class BaseDemand(abc.ABC):
    """Source of the recent demand."""

    @abc.abstractmethod
    def by_priority(
        self, now: float, service: ids.ServiceId
    ) -> Mapping[int, Demand]:
        """Returns the demand by rank, of those that were in use recently.

        Args:
            now: loop time in seconds.
            service: the service.
        """


class InMemoryDemand(BaseDemand):
    """Demand that is set by hand."""

    def __init__(self) -> None:
        self.demand_by_priority: dict[int, Demand] = {}

    def by_priority(
        self, now: float, service: ids.ServiceId
    ) -> Mapping[int, Demand]:
        """Returns what was set, for every service."""
        return self.demand_by_priority
