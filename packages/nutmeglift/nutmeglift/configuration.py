"""The accepted configuration in the key-value service.

The head names the chunks. It is replaced by compare-and-swap, in one
transaction with its audit entry and its kept copy. A second key, the sweep
mark, changes whenever old chunks are deleted: an apply that relied on a chunk
which was deleted meanwhile fails its swap and starts again.
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
    """What the service holds.

    Attributes:
        head: the head.
        head_revision: revision of the head's last write.
        sweep_revision: revision of the last deletion of chunks.
        read_revision: revision of the service at the reading.
    """

    head: Head
    head_revision: ids.Revision
    sweep_revision: ids.Revision
    read_revision: ids.Revision

    def unchanged(self) -> list[kv.Compare]:
        """Returns the conditions under which this reading still holds."""
        return [
            kv.Compare(HEAD_KEY, self.head_revision),
            kv.Compare(SWEEP_KEY, self.sweep_revision),
        ]


def sort_key(head: Head) -> tuple[int, float, str]:
    """Returns the key of the total order of heads.

    Of two heads, the one with the higher generation counts; of two histories
    that share a generation after a restore, the one applied later.
    """
    return (head.generation, head.time, head.apply)


def is_newer(head: Head, other: Head) -> bool:
    """Returns whether a head replaces another."""
    return sort_key(head) > sort_key(other)


def rebase(branch: Head, own: Head) -> Head:
    """Returns a head that puts a later apply on top of a longer history.

    A service restored from a backup numbers on from its old head. An apply
    accepted there counts, as it came later, but its generation lies below
    the highest known one.
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
    """Returns what to write to a service that holds an older head, if any."""
    if not is_newer(own, stored):
        return None
    if stored.time > own.time and stored.apply != own.apply:
        return rebase(stored, own)
    return own


def retained_head_key(generation: ids.Generation) -> str:
    """Returns the key of an accepted head's kept copy."""
    return f"{RETAINED_HEAD_PREFIX}{generation:0{audit.GENERATION_DIGITS}d}"


async def read_head(store: kv.BaseKv) -> StoredHead:
    """Reads the head.

    Raises:
        errors.PlatformError: the service gave no answer.
    """
    # A condition that never holds makes this one consistent reading.
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
    """Reads a stored head.

    Raises:
        errors.MalformedMessageError: it is damaged.
    """
    return codec.decode_as(value, Head)


async def read_chunks(
    store: kv.BaseKv, digests: Iterable[ids.Digest]
) -> chunks.ChunkByDigest:
    """Reads chunks; those that don't exist or are damaged are left out.

    Raises:
        errors.PlatformError: the service gave no answer.
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
    """Reads all chunks that some index chunks lead to.

    Args:
        store: the service.
        index: digests of the index chunks.
        known: chunks that need not be read.

    Raises:
        errors.DeclarationError: a chunk is missing.
        errors.PlatformError: the service gave no answer.
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
    """Reads the configuration that the service holds.

    Raises:
        errors.DeclarationError: a chunk is missing.
        errors.PlatformError: the service gave no answer.
    """
    stored = await read_head(store)
    index = stored.head.chunks
    found = await read_all_chunks(store, index)
    return stored.head, chunks.join(chunks.leaves_of(index, found), found)


async def read_retained_head(
    store: kv.BaseKv, generation: ids.Generation
) -> Head:
    """Reads the kept head of an older generation.

    Raises:
        errors.UsageError: it is not kept.
        errors.PlatformError: the service gave no answer.
    """
    found = await store.get(retained_head_key(generation))
    if found is None:
        raise errors.UsageError(
            f"generation {generation} is not kept;"
            f" the last {RETAINED_HEAD_COUNT} are"
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
    """Returns the head that follows another; its time is later, too."""
    later = max(time, base.time + MIN_TIME_STEP_SECONDS)
    return Head(
        ids.Generation(base.generation + 1),
        chunks.root_digest(index),
        index,
        apply_id,
        author,
        later if math.isfinite(later) else base.time + MIN_TIME_STEP_SECONDS,
        base.digest,
    )


async def write_chunks(
    store: kv.BaseKv, chunk_by_digest: chunks.ChunkByDigest
) -> None:
    """Writes chunks, several in a transaction; writing twice is harmless.

    Raises:
        errors.PlatformError: the service gave no answer.
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
    """Writes a newer head to a service that came back with an older one.

    Args:
        store: the service.
        stored: what it was found to hold.
        own: the head in force here.
        chunk_by_digest: all chunks of the head in force here.

    Returns:
        Whether it was written; False when the service changed meanwhile.

    Raises:
        errors.PlatformError: the service gave no answer.
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
    """Deletes heads, chunks and audit entries that are no longer kept.

    Returns:
        Number of keys deleted; 0 also when the service changed meanwhile.

    Raises:
        errors.PlatformError: the service gave no answer.
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
    trail = await store.range(kv.Get(audit.PREFIX, prefix=True, keys_only=True))
    obsolete_keys += [
        entry.key for entry in trail[:-RETAINED_AUDIT_ENTRY_COUNT]
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
