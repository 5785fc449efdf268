"""The audit trail: one entry for each accepted apply."""

import msgspec

from nutmeglift import codec
from nutmeglift import ids
from nutmeglift import kv

PREFIX = "/nutmeglift/audit/"
GENERATION_DIGITS = 12


class AuditEntry(msgspec.Struct, frozen=True):
    """What an accepted apply changed.

    Attributes:
        generation: the new generation.
        previous: the generation before it.
        author: who applied it.
        time: seconds since the epoch.
        apply: identifies the apply.
        changes: readable lines, without secrets.
    """

    generation: ids.Generation
    previous: ids.Generation
    author: str
    time: float
    apply: ids.ApplyId
    changes: tuple[str, ...]


def key(generation: ids.Generation) -> str:
    """Returns the key of a generation's entry."""
    return f"{PREFIX}{generation:0{GENERATION_DIGITS}d}"


async def read(store: kv.BaseKv, limit: int) -> list[AuditEntry]:
    """Returns the newest entries, newest first.

    Raises:
        errors.PlatformError: the service gave no answer.
    """
    found = await store.range(
        kv.Get(PREFIX, prefix=True, limit=limit, newest_first=True)
    )
    return [codec.decode_as(entry.value, AuditEntry) for entry in found]
