"""Claims of idempotency keys, and decisions on calls with a claimed key."""

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
"""A younger claim is not queried: its router may be about to dispatch."""
MAX_CLOCK_SKEW_SECONDS = 300.0
MAX_KEY_AGE_SECONDS = 7 * 86400.0
"""Keys with an older timestamp are refused regardless of the retention."""
MAX_RECORDED_BODY_BYTES = 512 * 1024
TIMESTAMPED_UUID_VERSION = 7


class Claim(msgspec.Struct, frozen=True):
    """A claimed idempotency key, as stored in the key-value service.

    Attributes:
        state: state of the claim.
        request: the request that claimed it.
        attempt: the attempt that may run.
        body_digest: digest of method, path and body.
        vm: VM of the agent that may run the attempt.
        incarnation: incarnation of that agent.
        address: the agent's address.
        claimed_at: seconds since the epoch.
        outcome: the recorded outcome.
        expires_at: seconds since the epoch; the key is refused from then on.
        keyed_at: timestamp contained in the key; None if there is none.
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
        """Returns whether both claims refer to the same attempt."""
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
    """Returns the digest by which two calls are compared."""
    head = f"{method}\0{path}\0".encode()
    return ids.Digest(hashlib.sha256(head + body).hexdigest())


def key_timestamp(key: ids.IdempotencyKey) -> float | None:
    """Returns the timestamp of a key that is a UUID of version 7.

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
    """Checks that an outcome for the key would still be stored.

    Args:
        keyed_at: timestamp contained in the key, or None.
        now: seconds since the epoch.
        retention_seconds: retention period of outcomes.

    Raises:
        errors.RefusedError: the timestamp is too old or in the future.
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
            "the timestamp of the idempotency key is in the future"
        )


@dataclasses.dataclass(frozen=True)
class Refuse:
    """The call is refused and does not run."""

    kind: errors.ErrorKind
    detail: str
    retry_after: float | None = None


@dataclasses.dataclass(frozen=True)
class Replay:
    """The call is answered with the recorded outcome of the key."""

    outcome: plain_messages.PlainOutcome


@dataclasses.dataclass(frozen=True)
class Replace:
    """The claimed attempt never runs, so the call may claim the key."""


@dataclasses.dataclass(frozen=True)
class Settle:
    """The outcome of the attempt has to be queried from its agent."""


ClaimDecision = Refuse | Replay | Replace | Settle


def judge(found: Claim, digest: ids.Digest, now: float) -> ClaimDecision:
    """Decides how to handle a call whose key is already claimed.

    Args:
        found: the existing claim.
        digest: digest of the call's method, path and body.
        now: seconds since the epoch.
    """
    if found.state is states.ClaimState.VOID:
        return Replace()
    if found.state is states.ClaimState.EXPIRED or _has_expired(found, now):
        return Refuse(
            errors.ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
            "the outcome of the idempotency key is no longer stored",
        )
    if found.body_digest != digest:
        return Refuse(
            errors.ErrorKind.IDEMPOTENCY_KEY_REUSED,
            "the idempotency key was used for another call",
        )
    if found.outcome is not None:
        if found.outcome.ran is states.Ran.NOT_RUN:
            return Replace()
        return Replay(plain_messages.check_outcome(found.outcome))
    if now - found.claimed_at < DISPATCH_GRACE_SECONDS:
        return in_progress_refusal()
    return Settle()


def in_progress_refusal() -> Refuse:
    """Returns the refusal of a call whose key has a call in progress."""
    return Refuse(
        errors.ErrorKind.IN_PROGRESS,
        "a call with this key is in progress",
        retry_after=1.0,
    )


def _has_expired(found: Claim, now: float) -> bool:
    return 0 < found.expires_at <= now


def complete_claim(claim: Claim, outcome: plain_messages.PlainOutcome) -> Claim:
    """Returns a claim with its outcome, without a body that is too large."""
    recorded = outcome
    if len(outcome.body) > MAX_RECORDED_BODY_BYTES:
        recorded = plain_messages.PlainOutcome(
            outcome.request,
            outcome.attempt,
            outcome.ran,
            kind=errors.ErrorKind.OUTCOME_UNKNOWN,
            detail="the call ran; its response was too large to store",
        )
    return msgspec.structs.replace(
        claim, state=states.ClaimState.DONE, outcome=recorded
    )


def void_claim(claim: Claim) -> Claim:
    """Returns the tombstone of a claim whose attempt never runs."""
    return msgspec.structs.replace(claim, state=states.ClaimState.VOID)


@dataclasses.dataclass(frozen=True)
class Keep:
    """The claim is kept unchanged."""


@dataclasses.dataclass(frozen=True)
class Shrink:
    """The claim is replaced by a smaller one."""

    claim: Claim


@dataclasses.dataclass(frozen=True)
class Drop:
    """The claim is deleted, since its key can no longer run a call."""


RetentionDecision = Keep | Shrink | Drop


def check_retention(claim: Claim, now: float) -> RetentionDecision:
    """Decides whether to keep, shrink or delete a claim by its age.

    A key with a timestamp is refused by its timestamp alone once it is a week
    old, so its claim can be deleted then, even if the declared retention was
    raised in the meantime. A key without one leaves a small claim permanently,
    since nothing else distinguishes an old key from a new one.

    Args:
        claim: the claim.
        now: seconds since the epoch.
    """
    # Twice the skew, since the writer's clock and this one may both be off.
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
