"""One account's budgets on one router."""

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
        limit: the account's limit over all routers, a second.
        bucket: what may be used now.
        meter: what is asked for.
        share: this router's share, a second.
        expires: when the share lapses.
        reported: demand that the owner heard of last, a second.
        wanted: what waits for credit and was not asked for yet.
        asked: what credit was last asked for.
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
    """One account's budgets and when they were last asked for.

    Attributes:
        budget_by_resource: its budgets.
        reported_at: when it was last in a demand.
        seen_at: when it was last asked for.
        lowered: whether the owner waits to hear that a share was lowered.
        asking: whether its credit was asked for and not answered yet.
        refused_until: when to ask for credit again at the earliest.
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
        """Tells whether the owner has to hear of it now."""
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
        """Ends its shares."""
        for budget in self.budget_by_resource.values():
            budget.expires = min(budget.expires, now)

    def refund(self, resource: shares.Resource, amount: float) -> None:
        """Gives back what was taken of a resource and not used."""
        budget = self.budget_by_resource.get(resource)
        if budget is not None:
            budget.bucket.refund(amount)
