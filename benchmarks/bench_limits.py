"""Account limits over many routers under skewed, moving demand."""

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
REPORT_STEPS = 5
WARM_SECONDS = 15.0
MEASURED_SECONDS = 60.0
MOVE_SECONDS = 40.0
WINDOW_SECONDS = 10.0
SKEW = 0.8
OVERLOAD = 1.5
REQUESTS_PER_ROUTER = 4.0
SMALL_LIMIT = 50.0
ACCOUNT = ids.AccountId("account-00001")


@dataclasses.dataclass
class Outcome:
    """What a run allowed.

    Attributes:
        limit: the account's limit, requests a second.
        allowed_by_second: requests that started in each second.
        sent_bytes: size of all demands and grants.
    """

    limit: float
    allowed_by_second: collections.Counter[int]
    sent_bytes: int = 0

    def usable(self) -> float:
        """Returns what was allowed over the limit, after the start."""
        first = int(WARM_SECONDS)
        seconds = range(first, first + int(MEASURED_SECONDS))
        total = sum(self.allowed_by_second[second] for second in seconds)
        return total / (self.limit * MEASURED_SECONDS)

    def overshoot(self) -> float:
        """Returns the worst window's excess over the limit."""
        width = int(WINDOW_SECONDS)
        last = int(WARM_SECONDS + MEASURED_SECONDS) - width
        worst = max(
            sum(self.allowed_by_second[s] for s in range(start, start + width))
            for start in range(last + 1)
        )
        return max(0.0, worst / (self.limit * width) - 1.0)


def _rates(routers: int, total: float, moved: bool) -> list[float]:
    weights = [1.0 / (rank + 1) ** SKEW for rank in range(routers)]
    if moved:
        weights.reverse()
    return [total * weight / sum(weights) for weight in weights]


def _poisson(rng: random.Random, mean: float) -> int:
    count = 0
    left = rng.expovariate(1.0)
    while left < mean:
        count += 1
        left += rng.expovariate(1.0)
    return count


def _account(limit: float) -> declaration.ClientAccount:
    return declaration.ClientAccount(id=ACCOUNT, requests_per_second=limit)


_Grant = tuple[int, control_messages.ShareGrant]


class _Shared:
    """Holders and their owner; messages take a step each way."""

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
            if (step + router) % REPORT_STEPS:
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


class _Static:
    """An equal part of the limit on each router."""

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
def _run(routers: int, limit: float, shared: bool) -> Outcome:
    rng = random.Random(5)
    kind = _Shared if shared else _Static
    division = kind(routers, _account(limit))
    outcome = Outcome(limit, collections.Counter())
    steps = round((WARM_SECONDS + MEASURED_SECONDS) / STEP_SECONDS)
    for step in range(steps):
        now = step * STEP_SECONDS
        rates = _rates(routers, OVERLOAD * limit, now >= MOVE_SECONDS)
        for router, rate in enumerate(rates):
            for _ in range(_poisson(rng, rate * STEP_SECONDS)):
                verdict = division.take(now, router)
                if verdict.allowed:
                    started = int(now + verdict.seconds)
                    outcome.allowed_by_second[started] += 1
        division.step(now, step)
    outcome.sent_bytes = division.sent_bytes
    return outcome


def _limit(routers: int) -> float:
    return max(200.0, REQUESTS_PER_ROUTER * routers)


def _overshoot(routers: int) -> figures.Measurement:
    limit = _limit(routers)
    return figures.Measurement(
        round(_run(routers, limit, True).overshoot(), 4),
        round(_run(routers, limit, False).overshoot(), 4),
    )


def _usable(routers: int, limit: float | None = None) -> figures.Measurement:
    limit = limit or _limit(routers)
    return figures.Measurement(
        round(_run(routers, limit, True).usable(), 4),
        round(_run(routers, limit, False).usable(), 4),
    )


def _owner_bytes() -> figures.Measurement:
    """Bytes a second that all shares of one account cost its owner."""
    outcome = _run(510, _limit(510), True)
    return figures.Measurement(
        round(outcome.sent_bytes / (WARM_SECONDS + MEASURED_SECONDS), 1)
    )


def _memory(accounts: int) -> figures.Measurement:
    """Bytes of one limited account that a router has seen lately."""
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
        functools.partial(_overshoot, routers),
    )
    for routers in (3, 30, 510)
]
FIGURES += [
    figures.Figure(
        f"account_limit_usable_{routers}",
        "ratio",
        ">= 0.95",
        functools.partial(_usable, routers),
    )
    for routers in (3, 30, 510)
]
FIGURES += [
    figures.Figure(
        "account_limit_usable_510_small",
        "ratio",
        "",
        functools.partial(_usable, 510, SMALL_LIMIT),
    ),
    figures.Figure("share_owner_bytes_510", "B/s", "", _owner_bytes),
]
FIGURES += [
    figures.Figure(
        f"account_memory_{accounts}",
        "B",
        "",
        functools.partial(_memory, accounts),
    )
    for accounts in (100, 1000, 10000)
]
