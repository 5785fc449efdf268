"""Storage of the accepted configuration in the key-value service.

The head lists the digests of the index chunks. It is replaced by
compare-and-swap, in one transaction with its audit entry and a retained copy
of the head. A second key, the sweep marker, changes whenever old chunks are
deleted: an apply that relied on a chunk which has been deleted in the meantime
fails its swap and is retried.
"""

from collections.abc import Iterable
import dataclasses
import math

from nutmeglift import audit
from nutmeglift import codec
from nutmeglift import configuration_chunks as chunks
from nutmeglift import control_messages
from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv

PREFIX = "/nutmeglift/configuration/"
HEAD_KEY = PREFIX + "head"
SWEEP_KEY = PREFIX + "sweep"
CHUNK_PREFIX = PREFIX + "chunks/"
RETAINED_HEAD_PREFIX = PREFIX + "kept/"
RETAINED_HEAD_COUNT = 16
RETAINED_AUDIT_ENTRY_COUNT = 1000
SWEEP_INTERVAL_GENERATIONS = 8
MAX_OPERATION_COUNT_PER_TRANSACTION = 64
MIN_TIME_STEP_SECONDS = 1e-3
NO_HEAD = control_messages.ConfigurationHead(
    ids.Generation(0),
    ids.Digest(""),
    (),
    ids.ApplyId(""),
    "",
    0.0,
    ids.Digest(""),
)

Head = control_messages.ConfigurationHead


@dataclasses.dataclass(frozen=True)
class StoredHead:
    """The head as read from the key-value service.

    Attributes:
        head: the head.
        head_revision: revision of the head's last write.
        sweep_revision: revision of the last deletion of chunks.
        read_revision: revision of the service at the time of the read.
    """

    head: Head
    head_revision: ids.Revision
    sweep_revision: ids.Revision
    read_revision: ids.Revision

    def unchanged(self) -> list[kv.Compare]:
        """Returns the conditions under which this head is still current."""
        return [
            kv.Compare(HEAD_KEY, self.head_revision),
            kv.Compare(SWEEP_KEY, self.sweep_revision),
        ]


def sort_key(head: Head) -> tuple[int, float, str]:
    """Returns the key of the total order of heads.

    The higher generation wins. When two histories share a generation after
    the service was restored from a backup, the head that was applied later
    wins.
    """
    return (head.generation, head.time, head.apply)


def is_newer(head: Head, other: Head) -> bool:
    """Returns whether a head supersedes another."""
    return sort_key(head) > sort_key(other)


def rebase(branch: Head, own: Head) -> Head:
    """Returns a head that rebases a later apply onto a longer history.

    A service restored from a backup continues to number from its old head. An
    apply accepted there takes precedence because it is later, but its
    generation is below the highest known one.

    Args:
        branch: head with the later apply, from the restored service.
        own: head with the highest known generation.
    """
    return Head(
        ids.Generation(own.generation + 1),
        branch.digest,
        branch.chunks,
        branch.apply,
        branch.author,
        branch.time,
        own.digest,
    )


def choose_head_to_restore(stored: Head, own: Head) -> Head | None:
    """Returns the head to write to a service with an older head, or None."""
    if not is_newer(own, stored):
        return None
    if stored.time > own.time and stored.apply != own.apply:
        return rebase(stored, own)
    return own


def retained_head_key(generation: ids.Generation) -> str:
    """Returns the key of the retained copy of an accepted head."""
    return f"{RETAINED_HEAD_PREFIX}{generation:0{audit.GENERATION_DIGITS}d}"


async def read_head(store: kv.BaseKv) -> StoredHead:
    """Reads the head.

    Raises:
        errors.PlatformError: the service did not respond.
    """
    # The condition never holds, so that the failure branch reads both keys at
    # one revision.
    result = await store.txn(
        [kv.Compare(HEAD_KEY, ids.Revision(-1))],
        [],
        [kv.Get(HEAD_KEY), kv.Get(SWEEP_KEY)],
    )
    (head, sweep) = result.found
    return StoredHead(
        decode_head(head[0].value) if head else NO_HEAD,
        head[0].mod_revision if head else kv.NEVER_WRITTEN,
        sweep[0].mod_revision if sweep else kv.NEVER_WRITTEN,
        result.revision,
    )


def decode_head(value: bytes) -> Head:
    """Decodes a stored head.

    Raises:
        errors.MalformedMessageError: the value is damaged.
    """
    return codec.decode_as(value, Head)


async def read_chunks(
    store: kv.BaseKv, digests: Iterable[ids.Digest]
) -> chunks.ChunkByDigest:
    """Reads chunks; missing and damaged chunks are omitted.

    Raises:
        errors.PlatformError: the service did not respond.
    """
    wanted = list(dict.fromkeys(digests))
    found: chunks.ChunkByDigest = {}
    for start in range(0, len(wanted), MAX_OPERATION_COUNT_PER_TRANSACTION):
        part = wanted[start : start + MAX_OPERATION_COUNT_PER_TRANSACTION]
        result = await store.txn(
            [kv.Compare(HEAD_KEY, ids.Revision(-1))],
            [],
            [kv.Get(CHUNK_PREFIX + digest) for digest in part],
        )
        for digest, entries in zip(part, result.found, strict=True):
            if entries and chunks.digest_of(entries[0].value) == digest:
                found[digest] = entries[0].value
    return found


async def read_all_chunks(
    store: kv.BaseKv,
    index: Iterable[ids.Digest],
    known: chunks.ChunkByDigest | None = None,
) -> chunks.ChunkByDigest:
    """Reads the given index chunks and all leaves that they list.

    Args:
        store: the service.
        index: digests of the index chunks.
        known: chunks that are already present.

    Raises:
        errors.DeclarationError: a chunk is missing or damaged.
        errors.PlatformError: the service did not respond.
    """
    index = list(index)
    found = dict(known or {})
    for _ in range(2):
        found |= await read_chunks(store, chunks.find_missing(index, found))
    missing = chunks.find_missing(index, found)
    if missing:
        raise errors.DeclarationError(
            [f"chunk {digest} is missing" for digest in missing]
        )
    return found


async def read(
    store: kv.BaseKv,
) -> tuple[Head, declaration.Declaration]:
    """Reads the stored configuration.

    Raises:
        errors.DeclarationError: a chunk is missing or damaged.
        errors.PlatformError: the service did not respond.
    """
    stored = await read_head(store)
    index = stored.head.chunks
    found = await read_all_chunks(store, index)
    return stored.head, chunks.join(chunks.leaves_of(index, found), found)


async def read_retained_head(
    store: kv.BaseKv, generation: ids.Generation
) -> Head:
    """Reads the retained head of an older generation.

    Raises:
        errors.UsageError: the generation is no longer retained.
        errors.PlatformError: the service did not respond.
    """
    found = await store.get(retained_head_key(generation))
    if found is None:
        raise errors.UsageError(
            f"generation {generation} is not retained;"
            f" only the last {RETAINED_HEAD_COUNT} generations are"
        )
    return decode_head(found.value)


def next_head(
    index: tuple[ids.Digest, ...],
    base: Head,
    *,
    apply_id: ids.ApplyId,
    author: str,
    time: float,
) -> Head:
    """Returns the successor of a head; its time is always later."""
    next_time = max(time, base.time + MIN_TIME_STEP_SECONDS)
    return Head(
        ids.Generation(base.generation + 1),
        chunks.root_digest(index),
        index,
        apply_id,
        author,
        next_time
        if math.isfinite(next_time)
        else base.time + MIN_TIME_STEP_SECONDS,
        base.digest,
    )


async def write_chunks(
    store: kv.BaseKv, chunk_by_digest: chunks.ChunkByDigest
) -> None:
    """Writes chunks in batches; the operation is idempotent.

    Raises:
        errors.PlatformError: the service did not respond.
    """
    batch: list[kv.Write] = []
    size = 0
    for digest, chunk in chunk_by_digest.items():
        full = len(batch) == MAX_OPERATION_COUNT_PER_TRANSACTION
        if batch and (full or size + len(chunk) > chunks.MAX_CHUNK_BYTES):
            await store.txn([], batch)
            batch, size = [], 0
        batch.append(kv.Put(CHUNK_PREFIX + digest, chunk))
        size += len(chunk)
    if batch:
        await store.txn([], batch)


def head_writes(head: Head, entry: audit.AuditEntry) -> list[kv.Write]:
    """Returns the writes that accept a head."""
    encoded = codec.encode(head)
    return [
        kv.Put(HEAD_KEY, encoded),
        kv.Put(retained_head_key(head.generation), encoded),
        kv.Put(audit.key(head.generation), codec.encode(entry)),
    ]


async def restore_newer_head(
    store: kv.BaseKv,
    stored: StoredHead,
    own: Head,
    chunk_by_digest: chunks.ChunkByDigest,
) -> bool:
    """Restores a newer head to a service that returned with an older one.

    Args:
        store: the service.
        stored: the head that the service holds.
        own: the head in force in this process.
        chunk_by_digest: all chunks of the head in force in this process.

    Returns:
        Whether the head was written; False when nothing had to be restored or
        the service changed in the meantime.

    Raises:
        errors.PlatformError: the service did not respond.
    """
    repaired = choose_head_to_restore(stored.head, own)
    if repaired is None:
        return False
    if repaired is own:
        await write_chunks(store, chunk_by_digest)
    entry = audit.AuditEntry(
        repaired.generation,
        stored.head.generation,
        repaired.author,
        repaired.time,
        repaired.apply,
        (f"put back over generation {stored.head.generation}",),
    )
    result = await store.txn(stored.unchanged(), head_writes(repaired, entry))
    return result.succeeded


async def sweep(store: kv.BaseKv) -> int:
    """Deletes heads, chunks and audit entries that are no longer retained.

    Returns:
        Number of keys deleted; 0 also when the head changed in the meantime
        or an index chunk could not be read.

    Raises:
        errors.PlatformError: the service did not respond.
    """
    stored = await read_head(store)
    heads = await store.range(kv.Get(RETAINED_HEAD_PREFIX, prefix=True))
    kept = [decode_head(e.value) for e in heads[-RETAINED_HEAD_COUNT:]]
    index = {digest for head in [*kept, stored.head] for digest in head.chunks}
    found = await read_chunks(store, index)
    referenced = index | set(chunks.leaves_of(index, found))
    if len(found) < len(index):
        return 0
    listed = await store.range(
        kv.Get(CHUNK_PREFIX, prefix=True, keys_only=True)
    )
    obsolete_keys = [entry.key for entry in heads[:-RETAINED_HEAD_COUNT]]
    obsolete_keys += [
        entry.key
        for entry in listed
        if entry.key.removeprefix(CHUNK_PREFIX) not in referenced
    ]
    audit_entries = await store.range(
        kv.Get(audit.PREFIX, prefix=True, keys_only=True)
    )
    obsolete_keys += [
        entry.key for entry in audit_entries[:-RETAINED_AUDIT_ENTRY_COUNT]
    ]
    return await _delete(store, stored, obsolete_keys)


async def _delete(
    store: kv.BaseKv, stored: StoredHead, obsolete_keys: list[str]
) -> int:
    deleted = 0
    for start in range(
        0, len(obsolete_keys), MAX_OPERATION_COUNT_PER_TRANSACTION
    ):
        part = obsolete_keys[
            start : start + MAX_OPERATION_COUNT_PER_TRANSACTION
        ]
        writes: list[kv.Write] = [kv.Delete(key) for key in part]
        result = await store.txn(
            [kv.Compare(HEAD_KEY, stored.head_revision)],
            [*writes, kv.Put(SWEEP_KEY, b"")],
        )
        if not result.succeeded:
            return deleted
        deleted += len(part)
    return deleted
