"""The plan in the key-value service."""

import dataclasses

from nutmeglift import codec
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import plan

PLAN_KEY = "nutmeglift/plan"
MAX_PLAN_BYTES = 1_000_000
"""Size of a value that the key-value service still takes."""


@dataclasses.dataclass(frozen=True)
class StoredPlan:
    """The plan as read.

    Attributes:
        plan: the plan; an empty one when none was written.
        revision: revision of its last write.
    """

    plan: plan.Plan
    revision: ids.Revision


async def read(store: kv.BaseKv) -> StoredPlan:
    """Reads the plan.

    Raises:
        errors.PlatformError: the service did not answer.
        errors.MalformedMessageError: it holds something else.
    """
    found = await store.get(PLAN_KEY)
    if found is None:
        return StoredPlan(plan.Plan(), kv.NEVER_WRITTEN)
    return StoredPlan(decode(found.value), found.mod_revision)


def decode(value: bytes) -> plan.Plan:
    """Decodes a stored plan.

    Raises:
        errors.MalformedMessageError: it is no plan.
    """
    return codec.decode_as(value, plan.Plan)


async def write(
    store: kv.BaseKv, new: plan.Plan, replaced: StoredPlan
) -> StoredPlan:
    """Replaces the plan that was read, and no other.

    Raises:
        errors.ConflictError: another plan is stored by now, or the new one
            is not newer than it.
        errors.PlatformError: the service did not answer; a lost answer was
            settled by reading, unless that failed as well.
    """
    if new.order <= replaced.plan.order:
        raise errors.ConflictError(
            f"plan {new.order} is not newer than {replaced.plan.order}"
        )
    value = codec.encode(new)
    if len(value) > MAX_PLAN_BYTES:
        raise errors.ConflictError(f"a plan of {len(value)} bytes is too large")
    compare = kv.Compare(PLAN_KEY, replaced.revision)
    try:
        result = await store.txn([compare], [kv.Put(PLAN_KEY, value)])
    except errors.KvAnswerLostError:
        stored = await read(store)
        if stored.plan == new:
            return stored
        raise
    if not result.succeeded:
        raise errors.ConflictError("another plan was written in between")
    return StoredPlan(new, result.revision)
