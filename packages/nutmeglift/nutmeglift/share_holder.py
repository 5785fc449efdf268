"""One router's shares of account limits, and what it asks for."""

import dataclasses
import enum

from nutmeglift import account_budget
from nutmeglift import control_messages
from nutmeglift import declaration
from nutmeglift import ids
from nutmeglift import limits
from nutmeglift import shares

LOWERED_REPORTED = 0.95
ACCOUNTS_PER_DEMAND = 64
IDLE_SECONDS = 60.0


class OwnerView(enum.Enum):
    """What a router knows of the share owner."""

    NONE = "none"
    """No owner was ever heard of."""
    KNOWN = "known"


@dataclasses.dataclass(frozen=True)
class _Sent:
    """A demand that was sent and not answered."""

    sequence: int
    sent_at: float
    accounts: tuple[ids.AccountId, ...]


class ShareHolder:
    """Checks requests against this router's shares.

    Without a lease a router uses an equal part of what the owner reserves
    for routers without one, or of the whole limit while no owner was ever
    heard of. A single router has the whole limit.

    Attributes:
        epoch: the newest owner's epoch that was heard of.
    """

    def __init__(self, first_sequence: int = 0) -> None:
        """Makes a holder without shares.

        Args:
            first_sequence: more than every sequence of an earlier holder on
                this VM.
        """
        self.epoch = 0
        self._granted_epoch = 0
        self._routers = 1
        self._view = OwnerView.NONE
        self._sequence = first_sequence
        self._acknowledged = 0
        self._unanswered: list[_Sent] = []
        self._account_by_id: dict[ids.AccountId, account_budget.Account] = {}

    def __len__(self) -> int:
        return len(self._account_by_id)

    def set_owner(self, epoch: int) -> None:
        """Notes an owner; grants of earlier ones don't count from now on."""
        if epoch <= self.epoch:
            return
        self.epoch = epoch
        self._view = OwnerView.KNOWN
        self._unanswered.clear()
        for account in self._account_by_id.values():
            account.reported_at = -account_budget.METER_SECONDS

    def set_routers(self, routers: int) -> None:
        """Notes how many routers there are, this one included."""
        self._routers = max(1, routers)

    def take(
        self, now: float, account: declaration.ClientAccount, tokens: float
    ) -> limits.Verdict:
        """Takes one request and its tokens out of the account's budgets.

        Args:
            now: seconds.
            account: the caller's account.
            tokens: most tokens that the request may use.
        """
        if not account.requests_per_second and not account.tokens_per_second:
            return limits.Verdict(True, 0.0)
        state = self._account_by_id.get(account.id)
        if state is None:
            state = account_budget.Account(now)
            self._account_by_id[account.id] = state
        state.seen_at = now
        first = self._take_one(
            now, state, account, shares.Resource.REQUESTS, 1.0
        )
        second = self._take_one(
            now, state, account, shares.Resource.TOKENS, tokens
        )
        seconds = max(first.seconds, second.seconds)
        if first.allowed and second.allowed:
            return limits.Verdict(True, seconds)
        if first.allowed:
            state.put_back(shares.Resource.REQUESTS, 1.0)
        if second.allowed:
            state.put_back(shares.Resource.TOKENS, tokens)
        return limits.Verdict(False, seconds)

    def settle(self, account: ids.AccountId, taken: float, used: float) -> None:
        """Gives back the tokens that an ended request did not use."""
        state = self._account_by_id.get(account)
        if state is not None:
            state.put_back(shares.Resource.TOKENS, taken - used)

    def give_back(self, account: ids.AccountId, tokens: float) -> None:
        """Gives back all that was taken for a request that did not run."""
        state = self._account_by_id.get(account)
        if state is None:
            return
        state.put_back(shares.Resource.REQUESTS, 1.0)
        state.put_back(shares.Resource.TOKENS, tokens)

    def want(
        self, now: float, account: declaration.ClientAccount, tokens: float
    ) -> bool:
        """Notes a request that waits for credit.

        Returns:
            Whether asking the owner at once may help.
        """
        state = self._account_by_id.get(account.id)
        if state is None or self._view is OwnerView.NONE or self._routers == 1:
            return False
        if now < state.refused_until:
            return False
        for resource, cost in (
            (shares.Resource.REQUESTS, 1.0),
            (shares.Resource.TOKENS, tokens),
        ):
            budget = state.budget_by_resource.get(resource)
            if budget is not None:
                budget.wanted += cost
        state.asking = True
        return True

    def has_unsent(self) -> bool:
        """Tells whether some account's credit was not asked for yet."""
        return any(
            budget.wanted
            for account in self._account_by_id.values()
            if account.asking
            for budget in account.budget_by_resource.values()
        )

    def is_asking(self, account: ids.AccountId) -> bool:
        """Tells whether an account's credit was not answered yet."""
        state = self._account_by_id.get(account)
        return state is not None and state.asking

    def make_demand(self, now: float) -> control_messages.ShareDemand | None:
        """Returns what to ask the owner for now, or None for nothing."""
        due = [
            name
            for name, account in self._account_by_id.items()
            if account.is_due(now)
        ]
        if not due:
            return None
        due.sort(key=lambda name: self._account_by_id[name].reported_at)
        chosen = tuple(due[:ACCOUNTS_PER_DEMAND])
        self._sequence += 1
        self._forget_unanswered(now)
        self._unanswered.append(_Sent(self._sequence, now, chosen))
        return control_messages.ShareDemand(
            self.epoch,
            self._report(now, chosen, shares.Resource.REQUESTS),
            self._report(now, chosen, shares.Resource.TOKENS),
            self._sequence,
            self._acknowledged,
            self._report_wanted(chosen, shares.Resource.REQUESTS),
            self._report_wanted(chosen, shares.Resource.TOKENS),
        )

    def take_grant(
        self, now: float, grant: control_messages.ShareGrant
    ) -> bool:
        """Takes shares from the owner.

        Returns:
            Whether they count: an older owner's, or a grant that answers no
            demand of this owner's time, does not.
        """
        if grant.epoch > self.epoch:
            self.set_owner(grant.epoch)
            return False
        sent = self._find_sent(grant.sequence)
        if grant.epoch < self.epoch or sent is None:
            return False
        if self._granted_epoch != grant.epoch:
            self._lapse_all(now)
            self._granted_epoch = grant.epoch
        self._lapse_skipped(now, grant.sequence)
        self._acknowledged = grant.sequence
        expires = sent.sent_at + grant.seconds
        for resource, share_by_account in (
            (shares.Resource.REQUESTS, grant.requests_by_account),
            (shares.Resource.TOKENS, grant.tokens_by_account),
        ):
            for name, share in share_by_account.items():
                self._set_share(now, name, resource, share, expires)
        for resource, credit_by_account in (
            (shares.Resource.REQUESTS, grant.request_credits_by_account),
            (shares.Resource.TOKENS, grant.token_credits_by_account),
        ):
            for name, credit in credit_by_account.items():
                self._add_credit(now, name, resource, credit)
        for name in sent.accounts:
            account = self._account_by_id.get(name)
            if account is not None:
                account.asking = False
        return True

    def forget_idle(self, now: float) -> None:
        """Forgets the accounts that asked for nothing for long."""
        for name, account in list(self._account_by_id.items()):
            if now - account.seen_at > IDLE_SECONDS:
                del self._account_by_id[name]

    def rate(
        self,
        now: float,
        account: declaration.ClientAccount,
        resource: shares.Resource,
    ) -> float:
        """Returns what the account may use here, a second."""
        state = self._account_by_id.get(account.id)
        budget = state.budget_by_resource.get(resource) if state else None
        return self._rate(now, budget, shares.limit_of(account, resource))

    def _rate(
        self, now: float, budget: account_budget.Budget | None, limit: float
    ) -> float:
        if self._routers == 1:
            return limit
        if self._view is OwnerView.NONE:
            return limit / self._routers
        fallback = limit * shares.RESERVED_SHARE / self._routers
        if budget is None or now >= budget.expires:
            return fallback
        return fallback + budget.share

    def _take_one(
        self,
        now: float,
        state: account_budget.Account,
        account: declaration.ClientAccount,
        resource: shares.Resource,
        cost: float,
    ) -> limits.Verdict:
        limit = shares.limit_of(account, resource)
        if not limit or not cost:
            return limits.Verdict(True, 0.0)
        budget = state.budget_by_resource.get(resource)
        if budget is None:
            rate = self._rate(now, None, limit)
            bucket = limits.TokenBucket(
                now, rate, full=self._routers == 1, cost=cost
            )
            budget = account_budget.Budget(now, limit, bucket)
            state.budget_by_resource[resource] = budget
        budget.meter.add(now, cost, account_budget.METER_SECONDS)
        budget.limit = limit
        self._renew_rate(now, budget)
        return budget.bucket.take(now, cost)

    def _renew_rate(self, now: float, budget: account_budget.Budget) -> None:
        if budget.share and now >= budget.expires:
            # What was saved up to here was filled at the lapsed rate.
            budget.bucket.set_rate(budget.expires, 0.0)
            budget.share = 0.0
        rate = self._rate(now, budget, budget.limit)
        budget.bucket.set_rate(now, rate)

    def _report(
        self,
        now: float,
        names: tuple[ids.AccountId, ...],
        resource: shares.Resource,
    ) -> dict[ids.AccountId, float]:
        rate_by_account = {}
        for name in names:
            account = self._account_by_id[name]
            account.reported_at = now
            account.lowered = False
            budget = account.budget_by_resource.get(resource)
            if budget is None:
                continue
            budget.reported = budget.meter.rate(
                now, account_budget.METER_SECONDS
            )
            rate_by_account[name] = budget.reported
        return rate_by_account

    def _report_wanted(
        self, names: tuple[ids.AccountId, ...], resource: shares.Resource
    ) -> dict[ids.AccountId, float]:
        wanted_by_account = {}
        for name in names:
            account = self._account_by_id[name]
            budget = account.budget_by_resource.get(resource)
            if budget is None or not budget.wanted:
                continue
            wanted_by_account[name] = budget.asked = budget.wanted
            budget.wanted = 0.0
        return wanted_by_account

    def _add_credit(
        self,
        now: float,
        name: ids.AccountId,
        resource: shares.Resource,
        credit: float,
    ) -> None:
        account = self._account_by_id.get(name)
        budget = account.budget_by_resource.get(resource) if account else None
        if account is None or budget is None:
            return
        budget.bucket.put_back(credit)
        if credit < budget.asked:
            account.refused_until = now + account_budget.SHORTEST_REPORT_SECONDS

    def _find_sent(self, sequence: int) -> _Sent | None:
        for sent in self._unanswered:
            if sent.sequence == sequence:
                return sent
        return None

    def _forget_unanswered(self, now: float) -> None:
        """Forgets the demands before which every share has lapsed."""
        self._unanswered = [
            sent
            for sent in self._unanswered
            if now - sent.sent_at <= shares.LEASE_SECONDS
        ]

    def _lapse_skipped(self, now: float, sequence: int) -> None:
        """Ends the shares whose newest grant was lost.

        The owner takes a later acknowledgement to cover the lost one too.
        """
        for sent in self._unanswered:
            if sent.sequence >= sequence:
                continue
            for name in sent.accounts:
                account = self._account_by_id.get(name)
                if account is not None:
                    account.lapse(now)
        self._unanswered = [
            sent for sent in self._unanswered if sent.sequence > sequence
        ]

    def _lapse_all(self, now: float) -> None:
        """Ends the shares of an earlier owner."""
        for account in self._account_by_id.values():
            account.lapse(now)

    def _set_share(
        self,
        now: float,
        name: ids.AccountId,
        resource: shares.Resource,
        share: float,
        expires: float,
    ) -> None:
        account = self._account_by_id.get(name)
        if account is None or resource not in account.budget_by_resource:
            return
        budget = account.budget_by_resource[resource]
        self._renew_rate(now, budget)
        if share < LOWERED_REPORTED * budget.share:
            account.lowered = True
        budget.share = share
        budget.expires = expires
        self._renew_rate(now, budget)
