"""The accepted configuration: its head, its chunks, its generations."""

import hashlib

from nutmeglift import codec
from nutmeglift import control_messages
from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv

PREFIX = "/nutmeglift/configuration/"
HEAD_KEY = PREFIX + "head"
CHUNK_PREFIX = PREFIX + "chunks/"
CHUNK_BYTES = 512 * 1024
NO_HEAD = control_messages.ConfigurationHead(
    ids.Generation(0),
    ids.Digest(""),
    (),
    ids.ApplyId(""),
    "",
    0.0,
    ids.Digest(""),
)


def split(body: bytes) -> dict[ids.Digest, bytes]:
    """Returns the chunks of canonical bytes by digest, in order."""
    parts = [
        body[start : start + CHUNK_BYTES]
        for start in range(0, len(body), CHUNK_BYTES)
    ]
    return {
        ids.Digest(hashlib.sha256(part).hexdigest()): part for part in parts
    }


def join(
    head: control_messages.ConfigurationHead,
    chunk_by_digest: dict[ids.Digest, bytes],
) -> declaration.Declaration:
    """Returns the declaration that a head names.

    Raises:
        errors.DeclarationError: a chunk is missing or the digest is wrong.
    """
    missing = [d for d in head.chunks if d not in chunk_by_digest]
    if missing:
        raise errors.DeclarationError(
            [f"chunk {d} is missing" for d in missing]
        )
    body = b"".join(chunk_by_digest[digest] for digest in head.chunks)
    if hashlib.sha256(body).hexdigest() != head.digest:
        raise errors.DeclarationError(["the chunks do not match the digest"])
    return declaration.from_canonical_bytes(body)


async def read(
    store: kv.BaseKv,
) -> tuple[control_messages.ConfigurationHead, declaration.Declaration]:
    """Reads the configuration that the key-value service holds.

    Raises:
        errors.PlatformError: the service gave no answer.
    """
    found = await store.get(HEAD_KEY)
    if found is None:
        return NO_HEAD, declaration.Declaration()
    head = codec.decode_as(found.value, control_messages.ConfigurationHead)
    chunk_by_digest = {}
    for digest in head.chunks:
        chunk = await store.get(CHUNK_PREFIX + digest)
        if chunk is not None:
            chunk_by_digest[digest] = chunk.value
    return head, join(head, chunk_by_digest)


async def apply(
    store: kv.BaseKv,
    declared: declaration.Declaration,
    *,
    apply_id: ids.ApplyId,
    author: str,
    time: float,
    expected: ids.Generation | None = None,
) -> control_messages.ConfigurationHead:
    """Makes a declaration the accepted configuration.

    Args:
        store: the key-value service.
        declared: the whole set.
        apply_id: identifies this apply.
        author: who applies it.
        time: seconds since the epoch.
        expected: generation that it must follow, or None for any.

    Raises:
        errors.ConflictError: another apply came first.
        errors.PlatformError: the service gave no answer.
    """
    found = await store.get(HEAD_KEY)
    old = NO_HEAD
    revision = kv.NEVER_WRITTEN
    if found is not None:
        old = codec.decode_as(found.value, control_messages.ConfigurationHead)
        revision = found.mod_revision
    if expected is not None and old.generation != expected:
        raise errors.ConflictError(
            f"generation {old.generation} of {old.author} is in force,"
            f" not {expected}"
        )
    body = declared.canonical_bytes()
    chunk_by_digest = split(body)
    for digest, chunk in chunk_by_digest.items():
        await store.txn([], [kv.Put(CHUNK_PREFIX + digest, chunk)])
    head = control_messages.ConfigurationHead(
        ids.Generation(old.generation + 1),
        declared.digest(),
        tuple(chunk_by_digest),
        apply_id,
        author,
        time,
        old.digest,
    )
    result = await store.txn(
        [kv.Compare(HEAD_KEY, revision)],
        [kv.Put(HEAD_KEY, codec.encode(head))],
    )
    if not result.succeeded:
        raise errors.ConflictError("another apply came first")
    return head
