"""Account limits shared by many routers under skewed, shifting demand."""

import collections
import dataclasses
import functools
import random
import tracemalloc

from benchmarks import figures
from nutmeglift import codec
from nutmeglift import control_messages
from nutmeglift import declaration
from nutmeglift import ids
from nutmeglift import limits
from nutmeglift import share_holder
from nutmeglift import shares

STEP_SECONDS = 0.1
STEPS_PER_REPORT = 5
WARM_UP_SECONDS = 15.0
MEASURED_SECONDS = 60.0
DEMAND_SHIFT_SECONDS = 40.0
OVERSHOOT_WINDOW_SECONDS = 10.0
DEMAND_SKEW_EXPONENT = 0.8
OVERLOAD_RATIO = 1.5
LIMIT_PER_ROUTER_REQUESTS_PER_SECOND = 4.0
SMALL_LIMIT_REQUESTS_PER_SECOND = 50.0
ACCOUNT = ids.AccountId("account-00001")


@dataclasses.dataclass
class Outcome:
    """Result of a simulation.

    Attributes:
        limit: the account's limit, in requests per second.
        allowed_by_second: number of requests that started in each second.
        sent_bytes: total size of all demand and grant messages.
    """

    limit: float
    allowed_by_second: collections.Counter[int]
    sent_bytes: int = 0

    def usable_ratio(self) -> float:
        """Returns the allowed rate over the limit, after the warm-up."""
        first = int(WARM_UP_SECONDS)
        seconds = range(first, first + int(MEASURED_SECONDS))
        total = sum(self.allowed_by_second[second] for second in seconds)
        return total / (self.limit * MEASURED_SECONDS)

    def overshoot_ratio(self) -> float:
        """Returns the largest relative excess over the limit in any window."""
        width = int(OVERSHOOT_WINDOW_SECONDS)
        last = int(WARM_UP_SECONDS + MEASURED_SECONDS) - width
        worst = max(
            sum(self.allowed_by_second[s] for s in range(start, start + width))
            for start in range(last + 1)
        )
        return max(0.0, worst / (self.limit * width) - 1.0)


def _request_rates(routers: int, total: float, shifted: bool) -> list[float]:
    weights = [
        1.0 / (rank + 1) ** DEMAND_SKEW_EXPONENT for rank in range(routers)
    ]
    if shifted:
        weights.reverse()
    return [total * weight / sum(weights) for weight in weights]


def _sample_poisson(rng: random.Random, mean: float) -> int:
    count = 0
    arrival_time = rng.expovariate(1.0)
    while arrival_time < mean:
        count += 1
        arrival_time += rng.expovariate(1.0)
    return count


def _make_account(limit: float) -> declaration.ClientAccount:
    return declaration.ClientAccount(id=ACCOUNT, requests_per_second=limit)


_Grant = tuple[int, control_messages.ShareGrant]


class _SharedLimit:
    """Share holders and their owner; each message takes one step to arrive."""

    def __init__(
        self, routers: int, account: declaration.ClientAccount
    ) -> None:
        self.sent_bytes = 0
        self._account = account
        self._owner = shares.ShareOwner(1, 0.0, first=True)
        self._owner.set_accounts([account])
        self._holders = [share_holder.ShareHolder() for _ in range(routers)]
        self._grants: list[list[_Grant]] = [[], []]
        for holder in self._holders:
            holder.set_routers(routers)
            holder.set_owner(1)

    def take(self, now: float, router: int) -> limits.LimitDecision:
        return self._holders[router].take(now, self._account, 0.0)

    def step(self, now: float, step: int) -> None:
        for target, arrived in self._grants.pop(0):
            self._holders[target].apply_grant(now, arrived)
        arriving: list[_Grant] = []
        for router, holder in enumerate(self._holders):
            if (step + router) % STEPS_PER_REPORT:
                continue
            demand = holder.make_demand(now)
            if demand is None:
                continue
            vm = ids.VmId(f"entry-{router}")
            grant = self._owner.handle_demand(now, vm, demand)
            self.sent_bytes += len(codec.encode(demand))
            if grant is not None:
                self.sent_bytes += len(codec.encode(grant))
                arriving.append((router, grant))
        self._grants.append(arriving)


class _StaticLimit:
    """Baseline: each router enforces an equal part of the limit."""

    def __init__(
        self, routers: int, account: declaration.ClientAccount
    ) -> None:
        self.sent_bytes = 0
        rate = account.requests_per_second / routers
        self._buckets = [limits.TokenBucket(0.0, rate) for _ in range(routers)]

    def take(self, now: float, router: int) -> limits.LimitDecision:
        return self._buckets[router].take(now, 1.0)

    def step(self, now: float, step: int) -> None:
        """Does nothing."""


@functools.cache
def _simulate(routers: int, limit: float, shared: bool) -> Outcome:
    rng = random.Random(5)
    division_class = _SharedLimit if shared else _StaticLimit
    division = division_class(routers, _make_account(limit))
    outcome = Outcome(limit, collections.Counter())
    steps = round((WARM_UP_SECONDS + MEASURED_SECONDS) / STEP_SECONDS)
    for step in range(steps):
        now = step * STEP_SECONDS
        rates = _request_rates(
            routers, OVERLOAD_RATIO * limit, now >= DEMAND_SHIFT_SECONDS
        )
        for router, rate in enumerate(rates):
            for _ in range(_sample_poisson(rng, rate * STEP_SECONDS)):
                decision = division.take(now, router)
                if decision.allowed:
                    started = int(now + decision.seconds)
                    outcome.allowed_by_second[started] += 1
        division.step(now, step)
    outcome.sent_bytes = division.sent_bytes
    return outcome


def _account_limit(routers: int) -> float:
    return max(200.0, LIMIT_PER_ROUTER_REQUESTS_PER_SECOND * routers)


def _measure_overshoot(routers: int) -> figures.Measurement:
    limit = _account_limit(routers)
    return figures.Measurement(
        round(_simulate(routers, limit, True).overshoot_ratio(), 4),
        round(_simulate(routers, limit, False).overshoot_ratio(), 4),
    )


def _measure_usable(
    routers: int, limit: float | None = None
) -> figures.Measurement:
    limit = limit or _account_limit(routers)
    return figures.Measurement(
        round(_simulate(routers, limit, True).usable_ratio(), 4),
        round(_simulate(routers, limit, False).usable_ratio(), 4),
    )


def _measure_owner_bytes() -> figures.Measurement:
    """Measures the share traffic of one account, in bytes per second."""
    outcome = _simulate(510, _account_limit(510), True)
    return figures.Measurement(
        round(outcome.sent_bytes / (WARM_UP_SECONDS + MEASURED_SECONDS), 1)
    )


def _measure_account_memory(accounts: int) -> figures.Measurement:
    """Measures a router's memory per recently seen account, in bytes.

    The accounts have limits on requests and tokens.
    """
    declared = [
        declaration.ClientAccount(
            id=ids.AccountId(f"account-{number}"),
            requests_per_second=5.0,
            tokens_per_second=1000.0,
        )
        for number in range(accounts)
    ]
    holder = share_holder.ShareHolder()
    holder.set_routers(510)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for account in declared:
        holder.take(0.0, account, 100.0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return figures.Measurement(round((after - before) / accounts, 1))


FIGURES = [
    figures.Figure(
        f"account_limit_overshoot_{routers}",
        "ratio",
        "<= 0.02",
        functools.partial(_measure_overshoot, routers),
    )
    for routers in (3, 30, 510)
]
FIGURES += [
    figures.Figure(
        f"account_limit_usable_{routers}",
        "ratio",
        ">= 0.95",
        functools.partial(_measure_usable, routers),
    )
    for routers in (3, 30, 510)
]
FIGURES += [
    figures.Figure(
        "account_limit_usable_510_small",
        "ratio",
        "",
        functools.partial(
            _measure_usable, 510, SMALL_LIMIT_REQUESTS_PER_SECOND
        ),
    ),
    figures.Figure("share_owner_bytes_510", "B/s", "", _measure_owner_bytes),
]
FIGURES += [
    figures.Figure(
        f"account_memory_{accounts}",
        "B",
        "",
        functools.partial(_measure_account_memory, accounts),
    )
    for accounts in (100, 1000, 10000)
]
