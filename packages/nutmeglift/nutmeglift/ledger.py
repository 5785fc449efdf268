"""Claims of idempotency keys, and what a call meets that finds one."""

import dataclasses
import hashlib
import uuid

import msgspec

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import plain_messages
from nutmeglift import states

CLAIM_PREFIX = "/nutmeglift/claims/"
DISPATCH_GRACE_SECONDS = 3.0
"""A younger claim's router is left alone, as it is about to dispatch."""
MAX_CLOCK_SKEW_SECONDS = 300.0
MAX_KEY_AGE_SECONDS = 7 * 86400.0
"""A key that bears an older time is refused, whatever the retention."""
MAX_RECORDED_BODY_BYTES = 512 * 1024
TIMESTAMPED_UUID_VERSION = 7


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
        expires_at: seconds since the epoch; the key is refused from then on.
        keyed_at: the time that the key itself bears; None when it bears none.
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
    expires_at: float = 0.0
    keyed_at: float | None = None

    def same_attempt(self, other: "Claim") -> bool:
        """Returns whether both name the same attempt."""
        return (self.request, self.attempt) == (other.request, other.attempt)


def claim_digest(
    account: ids.AccountId, service: ids.ServiceId, key: ids.IdempotencyKey
) -> ids.Digest:
    """Returns the digest under which a key is claimed."""
    text = "\0".join((account, service, key))
    return ids.Digest(hashlib.sha256(text.encode()).hexdigest())


def claim_key(digest: ids.Digest) -> str:
    """Returns the key of a claim in the key-value service."""
    return CLAIM_PREFIX + digest


def body_digest(method: str, path: str, body: bytes) -> ids.Digest:
    """Returns the digest that tells whether two calls are the same."""
    head = f"{method}\0{path}\0".encode()
    return ids.Digest(hashlib.sha256(head + body).hexdigest())


def key_time(key: ids.IdempotencyKey) -> float | None:
    """Returns the time that a key bears, if it is a UUID of version 7.

    Returns:
        Seconds since the epoch, or None.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != TIMESTAMPED_UUID_VERSION:
        return None
    return (parsed.int >> 80) / 1000


def check_key_time(
    keyed_at: float | None, now: float, retention_seconds: float
) -> None:
    """Checks that a key's outcome would still be known.

    Args:
        keyed_at: the time that the key bears, or None.
        now: seconds since the epoch.
        retention_seconds: how long outcomes are kept.

    Raises:
        errors.RefusedError: the key is too old, or from the future.
    """
    if keyed_at is None:
        return
    oldest = now - min(retention_seconds, MAX_KEY_AGE_SECONDS)
    if keyed_at <= oldest:
        raise errors.RefusedError(
            "the idempotency key is older than its retention",
            kind=errors.ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
        )
    if keyed_at > now + MAX_CLOCK_SKEW_SECONDS:
        raise errors.RefusedError(
            "the idempotency key's time lies in the future"
        )


@dataclasses.dataclass(frozen=True)
class Refuse:
    """The call is refused; nothing runs on its behalf."""

    kind: errors.ErrorKind
    detail: str
    retry_after: float | None = None


@dataclasses.dataclass(frozen=True)
class Replay:
    """The key's recorded outcome is the answer."""

    outcome: plain_messages.PlainOutcome


@dataclasses.dataclass(frozen=True)
class Replace:
    """The claim's attempt never runs: the call may claim the key."""


@dataclasses.dataclass(frozen=True)
class Settle:
    """The claim's agent has to be asked what became of the attempt."""


Judgement = Refuse | Replay | Replace | Settle


def judge(found: Claim, digest: ids.Digest, now: float) -> Judgement:
    """Decides what a call does that finds its key claimed.

    Args:
        found: the claim.
        digest: digest of the call's method, path and body.
        now: seconds since the epoch.
    """
    if found.state is states.ClaimState.VOID:
        return Replace()
    if found.state is states.ClaimState.EXPIRED or _has_expired(found, now):
        return Refuse(
            errors.ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
            "the idempotency key's outcome is no longer kept",
        )
    if found.body_digest != digest:
        return Refuse(
            errors.ErrorKind.IDEMPOTENCY_KEY_REUSED,
            "the idempotency key was used for another call",
        )
    if found.outcome is not None:
        if found.outcome.ran is states.Ran.NOT_RUN:
            return Replace()
        return Replay(found.outcome)
    if now - found.claimed_at < DISPATCH_GRACE_SECONDS:
        return in_progress()
    return Settle()


def in_progress() -> Refuse:
    """Returns the refusal of a call whose key is being worked on."""
    return Refuse(
        errors.ErrorKind.IN_PROGRESS,
        "a call with this key is in progress",
        retry_after=1.0,
    )


def _has_expired(found: Claim, now: float) -> bool:
    return 0 < found.expires_at <= now


def make_done(claim: Claim, outcome: plain_messages.PlainOutcome) -> Claim:
    """Returns a claim with its outcome, a too large body left out."""
    kept = outcome
    if len(outcome.body) > MAX_RECORDED_BODY_BYTES:
        kept = plain_messages.PlainOutcome(
            outcome.request,
            outcome.attempt,
            outcome.ran,
            kind=errors.ErrorKind.OUTCOME_UNKNOWN,
            detail="the call ran; its answer was too large to keep",
        )
    return msgspec.structs.replace(
        claim, state=states.ClaimState.DONE, outcome=kept
    )


def make_void(claim: Claim) -> Claim:
    """Returns the tombstone of a claim whose attempt never runs."""
    return msgspec.structs.replace(claim, state=states.ClaimState.VOID)


@dataclasses.dataclass(frozen=True)
class Keep:
    """The claim stays as it is."""


@dataclasses.dataclass(frozen=True)
class Shrink:
    """The claim is replaced by a smaller one."""

    claim: Claim


@dataclasses.dataclass(frozen=True)
class Drop:
    """The claim is deleted: nothing can run by its key any more."""


Retention = Keep | Shrink | Drop


def judge_age(claim: Claim, now: float) -> Retention:
    """Decides what becomes of a claim with age.

    A key that bears its time is refused by that time alone once it is a week
    old, so its claim can go then, also when the declared retention was raised
    meanwhile. Any other key leaves a small claim for good, as nothing else
    could tell an old key from a new one.

    Args:
        claim: the claim.
        now: seconds since the epoch.
    """
    # Twice the skew: the writer's clock and this one may both be wrong.
    now -= 2 * MAX_CLOCK_SKEW_SECONDS
    if not claim.expires_at or now < claim.expires_at:
        return Keep()
    if claim.state is states.ClaimState.VOID:
        return Drop()
    keyed_at = claim.keyed_at
    if keyed_at is not None and keyed_at + MAX_KEY_AGE_SECONDS <= now:
        return Drop()
    if claim.state is states.ClaimState.EXPIRED:
        return Keep()
    return Shrink(
        msgspec.structs.replace(
            claim,
            state=states.ClaimState.EXPIRED,
            body_digest=ids.Digest(""),
            vm=ids.VmId(""),
            incarnation=ids.Incarnation(""),
            address="",
            outcome=None,
        )
    )
