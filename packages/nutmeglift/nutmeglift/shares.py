"""Divides account limits among routers by shares with a lease."""

from collections.abc import Iterable
import dataclasses
import enum
import heapq

from nutmeglift import control_messages
from nutmeglift import declaration
from nutmeglift import ids

LEASE_SECONDS = 5.0
LEASE_MARGIN_RATIO = 1.02
"""The owner extends each lease by this factor to allow for clock drift."""
RESERVED_LIMIT_RATIO = 0.02
"""Fraction of each limit divided equally among routers without a share."""
MIN_KEPT_SHARE_RATIO = 0.8
"""A share is kept while the fair share exceeds this fraction of it."""
MAX_UNMET_LIMIT_RATIO = 0.1
"""Shares are kept while the unmet demand is below this limit fraction."""
STARVING_SHARE_RATIO = 0.5
"""A router is starving below this fraction of its fair share."""
SUM_REFRESH_GRANT_COUNT = 1024
MAX_SHARE_DEMAND_RATIO = 4.0
"""Maximum share of a router relative to its demand."""
MAX_SAVED_LIMIT_SECONDS = 4.0
"""Unused limit that accrues for credits, in seconds of the limit."""


class Resource(enum.Enum):
    """Resource that an account limit applies to."""

    REQUESTS = "requests"
    TOKENS = "tokens"


def account_limit(
    account: declaration.ClientAccount, resource: Resource
) -> float:
    """Returns an account's limit per second; 0 for none."""
    match resource:
        case Resource.REQUESTS:
            return account.requests_per_second
        case Resource.TOKENS:
            return account.tokens_per_second


@dataclasses.dataclass(slots=True)
class _Lease:
    """One router's lease of a share of one limit.

    Attributes:
        demand: its last reported demand, per second.
        granted: its latest share, per second.
        unmet: fair share minus the latest share, if positive.
        starving: whether the latest share is below STARVING_SHARE_RATIO of
            the fair share.
        outstanding: maximum rate that the router may be using.
        sequence: sequence number of the latest grant.
        expires: clock time at which the lease expires.
    """

    demand: float = 0.0
    granted: float = 0.0
    unmet: float = 0.0
    starving: bool = False
    outstanding: float = 0.0
    sequence: int = 0
    expires: float = 0.0


class Division:
    """Divides one limit; the outstanding shares never exceed it.

    A reduced share counts at its previous value until its router acknowledges
    the reduction or the lease expires. The part that is not outstanding
    accrues for credits, which allow a first request to run immediately.
    """

    def __init__(self, limit: float, since: float = 0.0) -> None:
        """Initializes the division.

        Args:
            limit: the limit, per second.
            since: clock time since which none of it was outstanding.
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
        """Maximum rate that all routers together may be using."""
        return self._outstanding

    @property
    def is_unused(self) -> bool:
        """Whether no router holds a share and the accrued credit is full."""
        full = self.limit * (1 - RESERVED_LIMIT_RATIO) * MAX_SAVED_LIMIT_SECONDS
        return not self._lease_by_router and self._saved >= full

    def acknowledge(self, router: ids.VmId, sequence: int) -> None:
        """Records that a router applied its grants up to a sequence number."""
        lease = self._lease_by_router.get(router)
        if lease is None or sequence < lease.sequence:
            return
        self._outstanding += lease.granted - lease.outstanding
        lease.outstanding = lease.granted

    def grant(
        self, now: float, router: ids.VmId, demand: float, sequence: int
    ) -> float:
        """Renews a router's lease and returns its new share, per second.

        Args:
            now: clock time, in seconds.
            router: the router.
            demand: its demand, per second.
            sequence: sequence number of its demand.
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
        """Returns the wanted credit, up to what has accrued, and deducts it."""
        self._accrue(now)
        credit = min(wanted, self._saved)
        self._saved -= credit
        return credit

    def expire(self, now: float) -> None:
        """Reclaims the shares whose leases have expired."""
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
        usable_limit = self.limit * (1 - RESERVED_LIMIT_RATIO)
        seconds = max(0.0, now - self._saved_at)
        self._saved_at = max(now, self._saved_at)
        unused = max(0.0, usable_limit - self._outstanding) * seconds
        self._saved = min(
            self._saved + unused, usable_limit * MAX_SAVED_LIMIT_SECONDS
        )

    def _choose_share(self, lease: _Lease) -> float:
        usable_limit = self.limit * (1 - RESERVED_LIMIT_RATIO)
        others = self._outstanding - lease.outstanding
        free = max(0.0, usable_limit - others)
        wanted = self._fair_share(lease)
        stable = (
            not self._starving
            and self._unmet < MAX_UNMET_LIMIT_RATIO * usable_limit
        )
        if stable and wanted > MIN_KEPT_SHARE_RATIO * lease.granted:
            # Lowering and raising a share with the noise of the demand leaves
            # the difference unusable until the lower share is acknowledged.
            wanted = max(wanted, lease.granted)
        return min(free, wanted)

    def _fair_share(self, lease: _Lease) -> float:
        if self._demand <= 0:
            return 0.0
        usable_limit = self.limit * (1 - RESERVED_LIMIT_RATIO)
        part = usable_limit * lease.demand / self._demand
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
    """Grants shares of all limits to the routers that demand them.

    Attributes:
        epoch: the owner's fencing number.
    """

    def __init__(self, epoch: int, now: float, *, first: bool = False) -> None:
        """Initializes the owner.

        Args:
            epoch: the owner's fencing number.
            now: clock time, in seconds; grants start once every share of an
                earlier owner has expired, counted from this time.
            first: whether an earlier owner is impossible.
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
        """Applies the limits of a new configuration."""
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
        """Returns the grant for a router's demand; None if not permitted."""
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
        """Returns the maximum rate of a limit that all routers may be using."""
        division = self._division_by_key.get((account, resource))
        return division.outstanding if division is not None else 0.0

    def expire(self, now: float) -> None:
        """Reclaims expired shares and drops the state of unused limits."""
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
        """Returns whether a later demand has already arrived.

        Demands can overtake each other on different connections.
        """
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
            # Accrues unused credit before the acknowledgement frees more.
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
