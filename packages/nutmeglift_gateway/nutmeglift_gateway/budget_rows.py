"""Formats counts for the retry budgets in reports between routers."""

import msgspec

from nutmeglift import ids
from nutmeglift_gateway import retry_budget
from nutmeglift_gateway import service_budgets


class BudgetRow(msgspec.Struct, array_like=True, frozen=True):
    """The sender's counts for a service's retry budget in its window.

    Attributes:
        service: the service.
        requests: callers' requests for it.
        retries: retries that the sender sent to it.
        process: identifies the sender's process; 0 if unknown.
        total: retries that the process has sent since its start.
        overspent: retries that routers that the sender does not hear had sent
            beyond their requests' part.
        complete: whether the process has run for a window.
        second_attempts: those of the retries that ran beside a slow attempt.
    """

    service: str
    requests: int
    retries: int
    process: int = 0
    total: int = 0
    overspent: int = 0
    complete: bool = False
    second_attempts: int = 0


def encode(
    now: float, budgets: service_budgets.ServiceBudgets
) -> list[BudgetRow]:
    """Returns the rows of all services."""
    return [
        BudgetRow(
            service,
            counts.requests,
            counts.retries,
            counts.process,
            counts.total,
            counts.overspent,
            counts.complete,
            counts.second_attempts,
        )
        for service, counts in budgets.counts(now).items()
    ]


def apply(
    now: float,
    vm: str,
    rows: list[BudgetRow],
    budgets: service_budgets.ServiceBudgets,
    as_of: float,
) -> None:
    """Records a peer's counts.

    Args:
        now: loop time in seconds.
        vm: VM of the peer.
        rows: the rows of its report.
        budgets: this router's budgets.
        as_of: loop time by which the peer had not yet taken them.
    """
    for row in rows:
        budgets.of(ids.ServiceId(row.service)).set_peer_counts(
            now,
            vm,
            retry_budget.Counts(
                row.requests,
                row.retries,
                row.process,
                row.total,
                row.overspent,
                row.complete,
                row.second_attempts,
            ),
            as_of,
        )
