"""One account's budgets on one router."""

from nutmeglift import limits
from nutmeglift import shares

METER_SECONDS = 2.0
RENEW_SECONDS = 2.0
SHORTEST_REPORT_SECONDS = 0.5
SHORTEST_ASK_SECONDS = 0.05
CHANGE_REPORTED = 0.25
SMALLEST_DEMAND = 0.01


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
        "asked",
        "bucket",
        "expires",
        "limit",
        "meter",
        "reported",
        "share",
        "wanted",
    )

    def __init__(
        self, now: float, limit: float, bucket: limits.TokenBucket
    ) -> None:
        self.limit = limit
        self.bucket = bucket
        self.meter = limits.DemandMeter(now)
        self.share = 0.0
        self.expires = 0.0
        self.reported = 0.0
        self.wanted = 0.0
        self.asked = 0.0


class Account:
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
        "asking",
        "budget_by_resource",
        "lowered",
        "refused_until",
        "reported_at",
        "seen_at",
    )

    def __init__(self, now: float) -> None:
        self.budget_by_resource: dict[shares.Resource, Budget] = {}
        self.reported_at = -METER_SECONDS
        self.seen_at = now
        self.lowered = False
        self.asking = False
        self.refused_until = now

    def is_due(self, now: float) -> bool:
        """Tells whether the owner has to hear of it now."""
        age = now - self.reported_at
        budgets = self.budget_by_resource.values()
        if age >= SHORTEST_ASK_SECONDS and any(b.wanted for b in budgets):
            return True
        if age < SHORTEST_REPORT_SECONDS:
            return False
        for budget in budgets:
            rate = budget.meter.rate(now, METER_SECONDS)
            if rate < SMALLEST_DEMAND:
                continue
            if self.lowered:
                return True
            change = abs(rate - budget.reported)
            if age >= RENEW_SECONDS or change > CHANGE_REPORTED * rate:
                return True
        return False

    def lapse(self, now: float) -> None:
        """Ends its shares."""
        for budget in self.budget_by_resource.values():
            budget.expires = min(budget.expires, now)

    def put_back(self, resource: shares.Resource, amount: float) -> None:
        """Gives back what was taken of a resource and not used."""
        budget = self.budget_by_resource.get(resource)
        if budget is not None:
            budget.bucket.put_back(amount)
