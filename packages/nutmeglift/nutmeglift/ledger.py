"""Claims of idempotency keys and attempts of non-idempotent calls."""

import dataclasses
import hashlib

import msgspec

from nutmeglift import ids
from nutmeglift import plain_messages
from nutmeglift import states

CLAIM_PREFIX = "/nutmeglift/claims/"


class Claim(msgspec.Struct, frozen=True):
    """A claimed idempotency key, as kept in the key-value service.

    Attributes:
        state: its state.
        request: the request that claimed it.
        attempt: the attempt that may run.
        body_digest: digest of method, path and body.
        vm: VM of the agent that may run it.
        incarnation: the agent's incarnation that may run it.
        address: the agent's address.
        claimed_at: seconds since the epoch.
        outcome: the recorded outcome.
    """

    state: states.ClaimState
    request: ids.RequestId
    attempt: ids.Attempt
    body_digest: ids.Digest
    vm: ids.VmId
    incarnation: ids.Incarnation
    address: str
    claimed_at: float
    outcome: plain_messages.PlainOutcome | None = None


def claim_digest(
    account: ids.AccountId, service: ids.ServiceId, key: ids.IdempotencyKey
) -> ids.Digest:
    """Returns the digest under which a key is claimed."""
    text = "\0".join((account, service, key))
    return ids.Digest(hashlib.sha256(text.encode()).hexdigest())


def body_digest(method: str, path: str, body: bytes) -> ids.Digest:
    """Returns the digest that tells whether two calls are the same."""
    head = f"{method}\0{path}\0".encode()
    return ids.Digest(hashlib.sha256(head + body).hexdigest())


@dataclasses.dataclass
class _Attempt:
    state: states.AttemptState
    outcome: plain_messages.PlainOutcome | None = None


class AttemptTable:
    """An agent's memory of attempts: each runs at most once.

    Attributes:
        incarnation: the incarnation whose attempts these are.
    """

    def __init__(self, incarnation: ids.Incarnation) -> None:
        self.incarnation = incarnation
        self._by_attempt: dict[tuple[ids.RequestId, ids.Attempt], _Attempt] = {}

    def begin(self, call: plain_messages.PlainCall) -> bool:
        """Returns whether the call may run now, and notes that it does."""
        key = (call.request, call.attempt)
        if call.incarnation != self.incarnation or key in self._by_attempt:
            return False
        self._by_attempt[key] = _Attempt(states.AttemptState.RUNNING)
        return True

    def finish(self, outcome: plain_messages.PlainOutcome) -> None:
        """Keeps the outcome of an attempt that ran."""
        found = self._by_attempt[(outcome.request, outcome.attempt)]
        found.state = states.AttemptState.DONE
        found.outcome = outcome

    def query(
        self, query: plain_messages.AttemptQuery
    ) -> plain_messages.AttemptStatus:
        """Tells an attempt's state, and fences it if it was never seen."""
        key = (query.request, query.attempt)
        if query.incarnation != self.incarnation:
            return plain_messages.AttemptStatus(*key, self.incarnation, None)
        found = self._by_attempt.setdefault(
            key, _Attempt(states.AttemptState.FENCED)
        )
        return plain_messages.AttemptStatus(
            *key, self.incarnation, found.state, found.outcome
        )
