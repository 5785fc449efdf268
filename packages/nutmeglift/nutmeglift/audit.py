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
        previous: the generation that it replaced.
        author: operator who applied it.
        time: seconds since the epoch.
        apply: identifier of the apply.
        changes: human-readable lines, without secrets.
    """

    generation: ids.Generation
    previous: ids.Generation
    author: str
    time: float
    apply: ids.ApplyId
    changes: tuple[str, ...]


def key(generation: ids.Generation) -> str:
    """Returns the key of a generation's audit entry."""
    return f"{PREFIX}{generation:0{GENERATION_DIGITS}d}"


async def read(store: kv.BaseKv, limit: int) -> list[AuditEntry]:
    """Returns the newest audit entries, newest first.

    Args:
        store: the service.
        limit: maximum number of entries; 0 for all.

    Raises:
        errors.PlatformError: the service did not respond.
    """
    found = await store.range(
        kv.Get(PREFIX, prefix=True, limit=limit, newest_first=True)
    )
    return [codec.decode_as(entry.value, AuditEntry) for entry in found]
