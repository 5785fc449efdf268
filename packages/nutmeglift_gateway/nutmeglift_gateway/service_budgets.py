"""The retry budgets of all services of one router."""

import time

from nutmeglift import ids
from nutmeglift_gateway import retry_budget
from nutmeglift_gateway import router_counts

START_SECONDS = 2.0
"""Time in which a router that has started hears from the others."""


class ServiceBudgets:
    """The retry budgets of all services, with the same bounds."""

    def __init__(self) -> None:
        self._bounds = {
            "ratio": 0.0,
            "slack": 0.0,
            "window": 0.0,
            "second_ratio": 0.0,
        }
        self._process = time.time_ns()
        self._router_counts = router_counts.RouterCounts()
        self._settled_at = float("-inf")
        self._complete_at = float("-inf")
        self._budget_by_service: dict[
            ids.ServiceId, retry_budget.RetryBudget
        ] = {}

    def begin(self, now: float, *, first: bool) -> None:
        """Records the start of this process, before any request.

        Args:
            now: loop time in seconds.
            first: whether no process was here before.
        """
        self._settled_at = now + START_SECONDS
        self._complete_at = self._settled_at
        if not first:
            self._complete_at = now + max(START_SECONDS, self._bounds["window"])

    def record_routers(self, now: float, routers: int) -> int:
        """Records the number of listed routers, including this one.

        Returns:
            The number that share the budgets: a router that is no longer
            listed may go on, and what it has sent counts for a window.
        """
        return self._router_counts.record(now, routers, self._bounds["window"])

    def of(self, service: ids.ServiceId) -> retry_budget.RetryBudget:
        """Returns the budget of a service."""
        found = self._budget_by_service.get(service)
        if found is None:
            found = retry_budget.RetryBudget(
                **self._bounds,
                process=self._process,
                settled_at=self._settled_at,
                complete_at=self._complete_at,
            )
            self._budget_by_service[service] = found
        return found

    def set_bounds(
        self,
        *,
        ratio: float,
        slack: float,
        window: float,
        second_ratio: float = 0.0,
    ) -> None:
        """Applies the operators' bounds; see RetryBudget."""
        self._bounds = {
            "ratio": ratio,
            "slack": slack,
            "window": window,
            "second_ratio": second_ratio,
        }
        for budget in self._budget_by_service.values():
            budget.set_bounds(**self._bounds)

    def counts(self, now: float) -> dict[ids.ServiceId, retry_budget.Counts]:
        """Returns this router's counts by service, at a loop time."""
        return {
            service: budget.counts(now)
            for service, budget in self._budget_by_service.items()
        }
