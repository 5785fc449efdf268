"""Divides account limits over routers by shares that lapse."""

from collections.abc import Iterable
import dataclasses
import enum
import heapq

from nutmeglift import control_messages
from nutmeglift import declaration
from nutmeglift import ids

LEASE_SECONDS = 5.0
LEASE_MARGIN_RATIO = 1.02
"""The owner holds a share back for longer, since clocks run unequally."""
RESERVED_LIMIT_RATIO = 0.02
"""Part of each limit that routers without a share use, equally divided."""
MIN_KEPT_SHARE_RATIO = 0.8
"""A share is kept that exceeds its router's fair one by less than this."""
MAX_UNMET_LIMIT_RATIO = 0.1
"""Shares are kept while routers lack less than this part of the limit."""
STARVING_SHARE_RATIO = 0.5
"""A router with less than this part of its fair share is starving."""
SUM_REFRESH_GRANT_COUNT = 1024
MAX_SHARE_DEMAND_RATIO = 4.0
"""A share is at most so many times what its router asks for."""
MAX_SAVED_LIMIT_SECONDS = 4.0
"""Seconds of an unused limit that are saved up for credits."""


class Resource(enum.Enum):
    """What accounts are limited in."""

    REQUESTS = "requests"
    TOKENS = "tokens"


def account_limit(
    account: declaration.ClientAccount, resource: Resource
) -> float:
    """Returns an account's limit a second; 0 for none."""
    match resource:
        case Resource.REQUESTS:
            return account.requests_per_second
        case Resource.TOKENS:
            return account.tokens_per_second


@dataclasses.dataclass(slots=True)
class _Lease:
    """What one router holds of one limit.

    Attributes:
        demand: what it last asked for, a second.
        granted: its newest share.
        unmet: what its newest share lacks of its fair share.
        starving: whether that is most of it.
        outstanding: most that it may be using.
        sequence: sequence of the newest grant.
        expires: when all of this ends.
    """

    demand: float = 0.0
    granted: float = 0.0
    unmet: float = 0.0
    starving: bool = False
    outstanding: float = 0.0
    sequence: int = 0
    expires: float = 0.0


class Division:
    """Divides one limit; what is outstanding never passes it.

    A share that was lowered counts in full until its router acknowledges the
    lower one or the lease ends. What is not outstanding is saved up, for
    credits that let a first request run at once.
    """

    def __init__(self, limit: float, since: float = 0.0) -> None:
        """Makes a division.

        Args:
            limit: the limit, a second.
            since: clock time since when none of it was outstanding.
        """
        self.limit = limit
        self._saved = 0.0
        self._saved_at = since
        self._lease_by_router: dict[ids.VmId, _Lease] = {}
        self._expiries: list[tuple[float, ids.VmId]] = []
        self._demand = 0.0
        self._outstanding = 0.0
        self._unmet = 0.0
        self._starving = 0
        self._changes = 0

    @property
    def outstanding(self) -> float:
        """Most that all routers together may be using."""
        return self._outstanding

    @property
    def is_unused(self) -> bool:
        """Whether no router holds a share and nothing more is saved up."""
        full = self.limit * (1 - RESERVED_LIMIT_RATIO) * MAX_SAVED_LIMIT_SECONDS
        return not self._lease_by_router and self._saved >= full

    def acknowledge(self, router: ids.VmId, sequence: int) -> None:
        """Notes that a router took its grants up to a sequence."""
        lease = self._lease_by_router.get(router)
        if lease is None or sequence < lease.sequence:
            return
        self._outstanding += lease.granted - lease.outstanding
        lease.outstanding = lease.granted

    def grant(
        self, now: float, router: ids.VmId, demand: float, sequence: int
    ) -> float:
        """Returns a router's new share.

        Args:
            now: seconds.
            router: the router.
            demand: what it asks for, a second.
            sequence: sequence of its demand.
        """
        self.expire(now)
        lease = self._lease_by_router.setdefault(router, _Lease())
        self._demand += demand - lease.demand
        lease.demand = demand
        share = self._choose_share(lease)
        self._unmet -= lease.unmet
        fair = self._fair_share(lease)
        lease.unmet = max(0.0, fair - share)
        self._unmet += lease.unmet
        self._starving -= lease.starving
        lease.starving = share < STARVING_SHARE_RATIO * fair
        self._starving += lease.starving
        lease.granted = share
        lease.sequence = sequence
        if share > lease.outstanding:
            self._outstanding += share - lease.outstanding
            lease.outstanding = share
        lease.expires = now + LEASE_SECONDS * LEASE_MARGIN_RATIO
        heapq.heappush(self._expiries, (lease.expires, router))
        self._refresh_sums()
        return share

    def take_credit(self, now: float, wanted: float) -> float:
        """Takes what waits at a router out of what was saved up."""
        self._accrue(now)
        credit = min(wanted, self._saved)
        self._saved -= credit
        return credit

    def expire(self, now: float) -> None:
        """Takes back the shares whose leases have ended."""
        self._accrue(now)
        while self._expiries and self._expiries[0][0] <= now:
            _, router = heapq.heappop(self._expiries)
            lease = self._lease_by_router.get(router)
            if lease is None or lease.expires > now:
                continue
            del self._lease_by_router[router]
            self._demand -= lease.demand
            self._outstanding -= lease.outstanding
            self._unmet -= lease.unmet
            self._starving -= lease.starving

    def _accrue(self, now: float) -> None:
        usable = self.limit * (1 - RESERVED_LIMIT_RATIO)
        seconds = max(0.0, now - self._saved_at)
        self._saved_at = max(now, self._saved_at)
        unused = max(0.0, usable - self._outstanding) * seconds
        self._saved = min(
            self._saved + unused, usable * MAX_SAVED_LIMIT_SECONDS
        )

    def _choose_share(self, lease: _Lease) -> float:
        usable = self.limit * (1 - RESERVED_LIMIT_RATIO)
        others = self._outstanding - lease.outstanding
        free = max(0.0, usable - others)
        wanted = self._fair_share(lease)
        calm = (
            not self._starving and self._unmet < MAX_UNMET_LIMIT_RATIO * usable
        )
        if calm and wanted > MIN_KEPT_SHARE_RATIO * lease.granted:
            # What is lowered and raised again with the noise of demand is of
            # use to nobody until the lower share is acknowledged.
            wanted = max(wanted, lease.granted)
        return min(free, wanted)

    def _fair_share(self, lease: _Lease) -> float:
        if self._demand <= 0:
            return 0.0
        usable = self.limit * (1 - RESERVED_LIMIT_RATIO)
        part = usable * lease.demand / self._demand
        return min(part, MAX_SHARE_DEMAND_RATIO * lease.demand)

    def _refresh_sums(self) -> None:
        self._changes += 1
        if self._changes < SUM_REFRESH_GRANT_COUNT:
            return
        self._changes = 0
        leases = self._lease_by_router.values()
        self._demand = sum(lease.demand for lease in leases)
        self._outstanding = sum(lease.outstanding for lease in leases)
        self._unmet = sum(lease.unmet for lease in leases)


class ShareOwner:
    """Grants shares of all limits to the routers that ask for them.

    Attributes:
        epoch: its fencing number.
    """

    def __init__(self, epoch: int, now: float, *, first: bool = False) -> None:
        """Makes an owner.

        Args:
            epoch: its fencing number.
            now: seconds; it waits from here until every share that an
                earlier owner granted has lapsed.
            first: whether there can't have been an earlier owner.
        """
        self.epoch = epoch
        self._grants_from = now
        if not first:
            self._grants_from += LEASE_SECONDS * LEASE_MARGIN_RATIO
        self._account_by_id: dict[ids.AccountId, declaration.ClientAccount] = {}
        self._division_by_key: dict[
            tuple[ids.AccountId, Resource], Division
        ] = {}
        self._last_by_router: dict[ids.VmId, tuple[int, float]] = {}

    def set_accounts(
        self, accounts: Iterable[declaration.ClientAccount]
    ) -> None:
        """Takes the limits of a new configuration into force."""
        self._account_by_id = {
            account.id: account
            for account in accounts
            if account.requests_per_second or account.tokens_per_second
        }
        for (name, resource), division in self._division_by_key.items():
            account = self._account_by_id.get(name)
            division.limit = (
                account_limit(account, resource) if account else 0.0
            )

    def handle_demand(
        self,
        now: float,
        router: ids.VmId,
        demand: control_messages.ShareDemand,
    ) -> control_messages.ShareGrant | None:
        """Answers a router's demand; None while it may not grant."""
        if now < self._grants_from:
            return None
        if demand.epoch > self.epoch or self._is_outdated(now, router, demand):
            return None
        shares = [
            self._grant_all(now, router, demand, resource, rate_by_account)
            for resource, rate_by_account in (
                (Resource.REQUESTS, demand.requests_by_account),
                (Resource.TOKENS, demand.tokens_by_account),
            )
        ]
        credits = [
            self._credit_all(now, resource, wanted_by_account)
            for resource, wanted_by_account in (
                (Resource.REQUESTS, demand.wanted_requests_by_account),
                (Resource.TOKENS, demand.wanted_tokens_by_account),
            )
        ]
        return control_messages.ShareGrant(
            self.epoch,
            LEASE_SECONDS,
            shares[0],
            shares[1],
            demand.sequence,
            credits[0],
            credits[1],
        )

    def outstanding(self, account: ids.AccountId, resource: Resource) -> float:
        """Returns the most that all routers may be using of a limit."""
        division = self._division_by_key.get((account, resource))
        return division.outstanding if division is not None else 0.0

    def expire(self, now: float) -> None:
        """Takes back lapsed shares and forgets the limits nobody uses."""
        for router, (_, until) in list(self._last_by_router.items()):
            if now >= until:
                del self._last_by_router[router]
        for key, division in list(self._division_by_key.items()):
            division.expire(now)
            if division.is_unused:
                del self._division_by_key[key]

    def _is_outdated(
        self,
        now: float,
        router: ids.VmId,
        demand: control_messages.ShareDemand,
    ) -> bool:
        """Tells whether a later demand came first, by another connection."""
        last, until = self._last_by_router.get(router, (0, now))
        if now < until and demand.sequence <= last:
            return True
        until = now + LEASE_SECONDS * LEASE_MARGIN_RATIO
        self._last_by_router[router] = (demand.sequence, until)
        return False

    def _grant_all(
        self,
        now: float,
        router: ids.VmId,
        demand: control_messages.ShareDemand,
        resource: Resource,
        rate_by_account: dict[ids.AccountId, float],
    ) -> dict[ids.AccountId, float]:
        shares = {}
        for name, rate in rate_by_account.items():
            account = self._account_by_id.get(name)
            if account is None or not account_limit(account, resource):
                continue
            division = self._division_by_key.get((name, resource))
            if division is None:
                limit = account_limit(account, resource)
                division = Division(limit, self._grants_from)
                self._division_by_key[name, resource] = division
            # Saves up what was unused before the acknowledgement frees more.
            division.expire(now)
            if demand.epoch == self.epoch:
                division.acknowledge(router, demand.acknowledged)
            shares[name] = division.grant(now, router, rate, demand.sequence)
        return shares

    def _credit_all(
        self,
        now: float,
        resource: Resource,
        wanted_by_account: dict[ids.AccountId, float],
    ) -> dict[ids.AccountId, float]:
        credits = {}
        for name, wanted in wanted_by_account.items():
            division = self._division_by_key.get((name, resource))
            if division is not None:
                credits[name] = division.take_credit(now, wanted)
        return credits
