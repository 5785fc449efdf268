"""Budgets of one client account on one router."""

from nutmeglift import limits
from nutmeglift import shares

DEMAND_TIME_CONSTANT_SECONDS = 2.0
DEMAND_RENEWAL_SECONDS = 2.0
MIN_REPORT_INTERVAL_SECONDS = 0.5
MIN_CREDIT_INTERVAL_SECONDS = 0.05
REPORTED_CHANGE_RATIO = 0.25
MIN_REPORTED_PER_SECOND = 0.01


class Budget:
    """One account's budget of one resource on this router.

    Attributes:
        limit: the account's limit over all routers, per second.
        bucket: token bucket of the budget.
        meter: rate of the demand.
        share: this router's share of the limit, per second.
        expires: clock time at which the share expires.
        reported_rate: demand last reported to the share owner, per second.
        waiting_cost: cost of requests that wait for credit not requested yet.
        requested_credit: credit last requested from the share owner.
    """

    __slots__ = (
        "bucket",
        "expires",
        "limit",
        "meter",
        "reported_rate",
        "requested_credit",
        "share",
        "waiting_cost",
    )

    def __init__(
        self, now: float, limit: float, bucket: limits.TokenBucket
    ) -> None:
        self.limit = limit
        self.bucket = bucket
        self.meter = limits.DemandRate(now)
        self.share = 0.0
        self.expires = 0.0
        self.reported_rate = 0.0
        self.waiting_cost = 0.0
        self.requested_credit = 0.0


class AccountBudgets:
    """One account's budgets and the state of its reports.

    Attributes:
        budget_by_resource: its budgets.
        reported_at: clock time of the last demand that included it.
        seen_at: clock time of its last request.
        share_lowered: whether a reduced share is not acknowledged yet.
        credit_pending: whether requested credit is not granted yet.
        next_credit_at: earliest clock time of the next credit request.
    """

    __slots__ = (
        "budget_by_resource",
        "credit_pending",
        "next_credit_at",
        "reported_at",
        "seen_at",
        "share_lowered",
    )

    def __init__(self, now: float) -> None:
        self.budget_by_resource: dict[shares.Resource, Budget] = {}
        self.reported_at = -DEMAND_TIME_CONSTANT_SECONDS
        self.seen_at = now
        self.share_lowered = False
        self.credit_pending = False
        self.next_credit_at = now

    def is_due(self, now: float) -> bool:
        """Returns whether to include the account in a demand now."""
        age = now - self.reported_at
        budgets = self.budget_by_resource.values()
        if age >= MIN_CREDIT_INTERVAL_SECONDS and any(
            b.waiting_cost for b in budgets
        ):
            return True
        if age < MIN_REPORT_INTERVAL_SECONDS:
            return False
        for budget in budgets:
            rate = budget.meter.rate(now, DEMAND_TIME_CONSTANT_SECONDS)
            if rate < MIN_REPORTED_PER_SECOND:
                continue
            if self.share_lowered:
                return True
            change = abs(rate - budget.reported_rate)
            if (
                age >= DEMAND_RENEWAL_SECONDS
                or change > REPORTED_CHANGE_RATIO * rate
            ):
                return True
        return False

    def expire_shares(self, now: float) -> None:
        """Expires all shares of the account."""
        for budget in self.budget_by_resource.values():
            budget.expires = min(budget.expires, now)

    def refund(self, resource: shares.Resource, amount: float) -> None:
        """Refunds what was taken of a resource and not used."""
        budget = self.budget_by_resource.get(resource)
        if budget is not None:
            budget.bucket.refund(amount)
