"""One router's shares of account limits, and its demands."""

import dataclasses
import enum

from nutmeglift import account_budget
from nutmeglift import control_messages
from nutmeglift import declaration
from nutmeglift import ids
from nutmeglift import limits
from nutmeglift import shares

REPORTED_DECREASE_RATIO = 0.95
MAX_ACCOUNTS_PER_DEMAND = 64
ACCOUNT_IDLE_SECONDS = 60.0


class OwnerView(enum.Enum):
    """Whether a router has learned of a share owner."""

    NONE = "none"
    """No owner has been announced yet."""
    KNOWN = "known"


@dataclasses.dataclass(frozen=True)
class _SentDemand:
    """A demand that was sent, without a response yet."""

    sequence: int
    sent_at: float
    accounts: tuple[ids.AccountId, ...]


class ShareHolder:
    """Checks requests against this router's shares.

    A router without a lease uses an equal part of the rate that the owner
    reserves for routers without one, or of the whole limit as long as no
    owner has been announced. A single router has the whole limit.

    Attributes:
        epoch: epoch of the newest announced owner.
    """

    def __init__(self, first_sequence: int = 0) -> None:
        """Initializes a holder without shares.

        Args:
            first_sequence: value above every sequence number of an earlier
                holder on this VM.
        """
        self.epoch = 0
        self._granted_epoch = 0
        self._routers = 1
        self._view = OwnerView.NONE
        self._sequence = first_sequence
        self._acknowledged = 0
        self._unanswered: list[_SentDemand] = []
        self._account_by_id: dict[
            ids.AccountId, account_budget.AccountBudgets
        ] = {}

    def __len__(self) -> int:
        return len(self._account_by_id)

    def set_owner(self, epoch: int) -> None:
        """Records an owner; grants of earlier owners are ignored from then."""
        if epoch <= self.epoch:
            return
        self.epoch = epoch
        self._view = OwnerView.KNOWN
        self._unanswered.clear()
        for account in self._account_by_id.values():
            account.reported_at = -account_budget.DEMAND_TIME_CONSTANT_SECONDS

    def set_routers(self, routers: int) -> None:
        """Sets the number of routers, including this one."""
        self._routers = max(1, routers)

    def take(
        self, now: float, account: declaration.ClientAccount, tokens: float
    ) -> limits.LimitDecision:
        """Charges one request and its tokens to the account's budgets.

        Args:
            now: clock time, in seconds.
            account: the client account of the caller.
            tokens: maximum number of tokens that the request may use.
        """
        if not account.requests_per_second and not account.tokens_per_second:
            return limits.LimitDecision(True, 0.0)
        budgets = self._account_by_id.get(account.id)
        if budgets is None:
            budgets = account_budget.AccountBudgets(now)
            self._account_by_id[account.id] = budgets
        budgets.seen_at = now
        first = self._take_one(
            now, budgets, account, shares.Resource.REQUESTS, 1.0
        )
        second = self._take_one(
            now, budgets, account, shares.Resource.TOKENS, tokens
        )
        seconds = max(first.seconds, second.seconds)
        if first.allowed and second.allowed:
            return limits.LimitDecision(True, seconds)
        if first.allowed:
            budgets.refund(shares.Resource.REQUESTS, 1.0)
        if second.allowed:
            budgets.refund(shares.Resource.TOKENS, tokens)
        return limits.LimitDecision(False, seconds)

    def settle(self, account: ids.AccountId, taken: float, used: float) -> None:
        """Refunds the tokens that a completed request did not use."""
        budgets = self._account_by_id.get(account)
        if budgets is not None:
            budgets.refund(shares.Resource.TOKENS, taken - used)

    def refund_request(self, account: ids.AccountId, tokens: float) -> None:
        """Refunds everything taken for a request that did not run."""
        budgets = self._account_by_id.get(account)
        if budgets is None:
            return
        budgets.refund(shares.Resource.REQUESTS, 1.0)
        budgets.refund(shares.Resource.TOKENS, tokens)

    def request_credit(
        self, now: float, account: declaration.ClientAccount, tokens: float
    ) -> bool:
        """Registers a request that waits for credit.

        Returns:
            Whether an immediate demand to the owner may yield credit.
        """
        budgets = self._account_by_id.get(account.id)
        if (
            budgets is None
            or self._view is OwnerView.NONE
            or self._routers == 1
        ):
            return False
        if now < budgets.next_credit_at:
            return False
        for resource, cost in (
            (shares.Resource.REQUESTS, 1.0),
            (shares.Resource.TOKENS, tokens),
        ):
            budget = budgets.budget_by_resource.get(resource)
            if budget is not None:
                budget.waiting_cost += cost
        budgets.credit_pending = True
        return True

    def has_unsent_credit_request(self) -> bool:
        """Returns whether an account's credit is not requested yet."""
        return any(
            budget.waiting_cost
            for account in self._account_by_id.values()
            if account.credit_pending
            for budget in account.budget_by_resource.values()
        )

    def is_credit_pending(self, account: ids.AccountId) -> bool:
        """Returns whether an account's credit request has no response yet."""
        budgets = self._account_by_id.get(account)
        return budgets is not None and budgets.credit_pending

    def make_demand(self, now: float) -> control_messages.ShareDemand | None:
        """Returns the demand to send to the owner now, or None."""
        due = [
            name
            for name, account in self._account_by_id.items()
            if account.is_due(now)
        ]
        if not due:
            return None
        due.sort(key=lambda name: self._account_by_id[name].reported_at)
        chosen = tuple(due[:MAX_ACCOUNTS_PER_DEMAND])
        self._sequence += 1
        self._drop_expired_demands(now)
        self._unanswered.append(_SentDemand(self._sequence, now, chosen))
        return control_messages.ShareDemand(
            self.epoch,
            self._collect_rates(now, chosen, shares.Resource.REQUESTS),
            self._collect_rates(now, chosen, shares.Resource.TOKENS),
            self._sequence,
            self._acknowledged,
            self._collect_waiting_costs(chosen, shares.Resource.REQUESTS),
            self._collect_waiting_costs(chosen, shares.Resource.TOKENS),
        )

    def apply_grant(
        self, now: float, grant: control_messages.ShareGrant
    ) -> bool:
        """Applies a grant from the owner.

        Returns:
            False if the grant is ignored, since it comes from an older owner
            or answers no pending demand to this owner.
        """
        if grant.epoch > self.epoch:
            self.set_owner(grant.epoch)
            return False
        sent = self._find_sent(grant.sequence)
        if grant.epoch < self.epoch or sent is None:
            return False
        if self._granted_epoch != grant.epoch:
            self._expire_all_shares(now)
            self._granted_epoch = grant.epoch
        self._expire_unanswered_shares(now, grant.sequence)
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
                account.credit_pending = False
        return True

    def remove_idle_accounts(self, now: float) -> None:
        """Removes accounts without requests for ACCOUNT_IDLE_SECONDS."""
        for name, account in list(self._account_by_id.items()):
            if now - account.seen_at > ACCOUNT_IDLE_SECONDS:
                del self._account_by_id[name]

    def rate(
        self,
        now: float,
        account: declaration.ClientAccount,
        resource: shares.Resource,
    ) -> float:
        """Returns the rate that the account may use here, per second."""
        budgets = self._account_by_id.get(account.id)
        budget = budgets.budget_by_resource.get(resource) if budgets else None
        return self._rate(now, budget, shares.account_limit(account, resource))

    def _rate(
        self, now: float, budget: account_budget.Budget | None, limit: float
    ) -> float:
        if self._routers == 1:
            return limit
        if self._view is OwnerView.NONE:
            return limit / self._routers
        fallback = limit * shares.RESERVED_LIMIT_RATIO / self._routers
        if budget is None or now >= budget.expires:
            return fallback
        return fallback + budget.share

    def _take_one(
        self,
        now: float,
        budgets: account_budget.AccountBudgets,
        account: declaration.ClientAccount,
        resource: shares.Resource,
        cost: float,
    ) -> limits.LimitDecision:
        limit = shares.account_limit(account, resource)
        if not limit or not cost:
            return limits.LimitDecision(True, 0.0)
        budget = budgets.budget_by_resource.get(resource)
        if budget is None:
            rate = self._rate(now, None, limit)
            bucket = limits.TokenBucket(
                now, rate, full=self._routers == 1, cost=cost
            )
            budget = account_budget.Budget(now, limit, bucket)
            budgets.budget_by_resource[resource] = budget
        budget.meter.add(now, cost, account_budget.DEMAND_TIME_CONSTANT_SECONDS)
        budget.limit = limit
        self._update_rate(now, budget)
        return budget.bucket.take(now, cost)

    def _update_rate(self, now: float, budget: account_budget.Budget) -> None:
        if budget.share and now >= budget.expires:
            # The expired share filled the bucket up to its expiry only.
            budget.bucket.set_rate(budget.expires, 0.0)
            budget.share = 0.0
        rate = self._rate(now, budget, budget.limit)
        budget.bucket.set_rate(now, rate)

    def _collect_rates(
        self,
        now: float,
        names: tuple[ids.AccountId, ...],
        resource: shares.Resource,
    ) -> dict[ids.AccountId, float]:
        rate_by_account = {}
        for name in names:
            account = self._account_by_id[name]
            account.reported_at = now
            account.share_lowered = False
            budget = account.budget_by_resource.get(resource)
            if budget is None:
                continue
            budget.reported_rate = budget.meter.rate(
                now, account_budget.DEMAND_TIME_CONSTANT_SECONDS
            )
            rate_by_account[name] = budget.reported_rate
        return rate_by_account

    def _collect_waiting_costs(
        self, names: tuple[ids.AccountId, ...], resource: shares.Resource
    ) -> dict[ids.AccountId, float]:
        wanted_by_account = {}
        for name in names:
            account = self._account_by_id[name]
            budget = account.budget_by_resource.get(resource)
            if budget is None or not budget.waiting_cost:
                continue
            wanted_by_account[name] = budget.requested_credit = (
                budget.waiting_cost
            )
            budget.waiting_cost = 0.0
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
        budget.bucket.refund(credit)
        if credit < budget.requested_credit:
            account.next_credit_at = (
                now + account_budget.MIN_REPORT_INTERVAL_SECONDS
            )

    def _find_sent(self, sequence: int) -> _SentDemand | None:
        for sent in self._unanswered:
            if sent.sequence == sequence:
                return sent
        return None

    def _drop_expired_demands(self, now: float) -> None:
        """Drops demands for which every granted share has expired."""
        self._unanswered = [
            sent
            for sent in self._unanswered
            if now - sent.sent_at <= shares.LEASE_SECONDS
        ]

    def _expire_unanswered_shares(self, now: float, sequence: int) -> None:
        """Expires the shares whose latest grant was lost.

        The owner takes a later acknowledgement to cover the lost grant too.
        """
        for sent in self._unanswered:
            if sent.sequence >= sequence:
                continue
            for name in sent.accounts:
                account = self._account_by_id.get(name)
                if account is not None:
                    account.expire_shares(now)
        self._unanswered = [
            sent for sent in self._unanswered if sent.sequence > sequence
        ]

    def _expire_all_shares(self, now: float) -> None:
        """Expires the shares of an earlier owner."""
        for account in self._account_by_id.values():
            account.expire_shares(now)

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
        self._update_rate(now, budget)
        if share < REPORTED_DECREASE_RATIO * budget.share:
            account.share_lowered = True
        budget.share = share
        budget.expires = expires
        self._update_rate(now, budget)
