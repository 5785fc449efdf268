"""Storage of the plan in the key-value service."""

import dataclasses

from nutmeglift import codec
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import plan

PLAN_KEY = "nutmeglift/plan"
MAX_PLAN_BYTES = 1_000_000
"""Size limit of a value in the key-value service."""


@dataclasses.dataclass(frozen=True)
class StoredPlan:
    """A plan as read from the key-value service.

    Attributes:
        plan: the plan; empty when none has been written.
        revision: revision of the plan's last write.
    """

    plan: plan.Plan
    revision: ids.Revision


async def read(store: kv.BaseKv) -> StoredPlan:
    """Reads the stored plan.

    Raises:
        errors.PlatformError: the service did not respond.
        errors.MalformedMessageError: the stored value is not a plan.
    """
    found = await store.get(PLAN_KEY)
    if found is None:
        return StoredPlan(plan.Plan(), kv.NEVER_WRITTEN)
    return StoredPlan(decode(found.value), found.mod_revision)


def decode(value: bytes) -> plan.Plan:
    """Decodes a stored plan.

    Raises:
        errors.MalformedMessageError: the value is not a plan.
    """
    return codec.decode_as(value, plan.Plan)


async def write(
    store: kv.BaseKv, new: plan.Plan, replaced: StoredPlan
) -> StoredPlan:
    """Replaces a previously read plan by compare-and-swap.

    When the response is lost, the outcome is determined by reading the plan.

    Args:
        store: the service.
        new: the plan to write.
        replaced: the stored plan that it replaces.

    Raises:
        errors.ConflictError: the stored plan has changed, or the new plan is
            not newer than it or too large.
        errors.PlatformError: the service did not respond, or the outcome
            could not be determined after a lost response.
    """
    if new.order <= replaced.plan.order:
        raise errors.ConflictError(
            f"plan {new.order} is not newer than {replaced.plan.order}"
        )
    value = codec.encode(new)
    if len(value) > MAX_PLAN_BYTES:
        raise errors.ConflictError(
            f"plan of {len(value)} bytes exceeds {MAX_PLAN_BYTES} bytes"
        )
    compare = kv.Compare(PLAN_KEY, replaced.revision)
    try:
        result = await store.txn([compare], [kv.Put(PLAN_KEY, value)])
    except errors.KvAnswerLostError:
        stored = await read(store)
        if stored.plan == new:
            return stored
        raise
    if not result.succeeded:
        raise errors.ConflictError(
            "the stored plan was changed by another writer"
        )
    return StoredPlan(new, result.revision)
