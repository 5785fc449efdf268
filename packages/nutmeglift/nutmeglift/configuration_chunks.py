"""Content-addressed chunks of a declaration.

Leaves contain the entries of a section; a large section is partitioned by a
hash of its entries' keys, so that a change of few entries changes few leaves.
Index chunks list the leaves, and the head lists the index chunks.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
from typing import Any
import zlib

import cbor2
import pydantic
import xxhash

from nutmeglift import declaration
from nutmeglift import declaration_diff
from nutmeglift import errors
from nutmeglift import ids

MAX_CHUNK_BYTES = 900_000
ENTRY_COUNT_PER_LEAF = 64
LEAF_COUNT_PER_INDEX = 32
DIGEST_BYTES = 32
COMPRESSION_LEVEL = 6
MAX_LEAF_BYTES = 16 * 1024 * 1024

ChunkByDigest = dict[ids.Digest, bytes]


class ChunkedDeclaration:
    """A declaration split into chunks.

    Attributes:
        index: digests of the index chunks, in order.
        chunk_by_digest: all chunks, including the index chunks.
    """

    def __init__(self, declared: declaration.Declaration) -> None:
        self.chunk_by_digest: ChunkByDigest = {}
        leaves = [self._add(leaf) for leaf in _make_leaves(declared)]
        self.index = tuple(
            self._add(b"".join(bytes.fromhex(d) for d in part))
            for part in _batches(leaves, LEAF_COUNT_PER_INDEX)
        )

    def _add(self, chunk: bytes) -> ids.Digest:
        if len(chunk) > MAX_CHUNK_BYTES:
            raise errors.DeclarationError(
                [f"an entry exceeds the limit of {MAX_CHUNK_BYTES} bytes"]
            )
        digest = digest_of(chunk)
        self.chunk_by_digest[digest] = chunk
        return digest


def digest_of(chunk: bytes) -> ids.Digest:
    """Returns the digest that identifies a chunk."""
    return ids.Digest(hashlib.sha256(chunk).hexdigest())


def root_digest(index: Iterable[ids.Digest]) -> ids.Digest:
    """Returns the digest of a declaration from its index chunks' digests."""
    return ids.Digest(hashlib.sha256("".join(index).encode()).hexdigest())


def leaves_of(
    index: Iterable[ids.Digest], chunk_by_digest: Mapping[ids.Digest, bytes]
) -> list[ids.Digest]:
    """Returns the leaves listed by the index chunks that are present."""
    leaves = []
    for digest in index:
        chunk = chunk_by_digest.get(digest, b"")
        for start in range(0, len(chunk), DIGEST_BYTES):
            leaf = chunk[start : start + DIGEST_BYTES]
            leaves.append(ids.Digest(leaf.hex()))
    return leaves


def find_missing(
    index: Iterable[ids.Digest], chunk_by_digest: Mapping[ids.Digest, bytes]
) -> list[ids.Digest]:
    """Returns the chunks to fetch next: index chunks first, then leaves."""
    index = list(index)
    missing = [digest for digest in index if digest not in chunk_by_digest]
    if missing:
        return missing
    leaves = leaves_of(index, chunk_by_digest)
    return [digest for digest in leaves if digest not in chunk_by_digest]


def join(
    leaves: Iterable[ids.Digest],
    chunk_by_digest: Mapping[ids.Digest, bytes],
    cache: "LeafCache | None" = None,
) -> declaration.Declaration:
    """Returns the declaration that consists of the given leaves.

    Args:
        leaves: digests of the leaves; all must be present.
        chunk_by_digest: the chunks.
        cache: cache of decoded leaves.

    Raises:
        errors.DeclarationError: a leaf is damaged.
    """
    cache = cache or LeafCache()
    entries_by_section: dict[str, list[Any]] = {}
    for digest in leaves:
        for section, entries in cache.read(digest, chunk_by_digest).items():
            entries_by_section.setdefault(section, []).extend(entries)
    return declaration.Declaration.model_construct(
        None,
        **{name: tuple(list_) for name, list_ in entries_by_section.items()},
    )


class LeafCache:
    """Cache of decoded leaves."""

    def __init__(self) -> None:
        self._entries_by_digest: dict[ids.Digest, dict[str, tuple[Any]]] = {}

    def read(
        self, digest: ids.Digest, chunk_by_digest: Mapping[ids.Digest, bytes]
    ) -> dict[str, tuple[Any]]:
        """Returns a leaf's entries by section, decoding it if necessary.

        Raises:
            errors.DeclarationError: the leaf is damaged.
        """
        found = self._entries_by_digest.get(digest)
        if found is None:
            found = _read_leaf(chunk_by_digest[digest])
            self._entries_by_digest[digest] = found
        return found

    def keep_only(self, leaves: Iterable[ids.Digest]) -> None:
        """Evicts all other leaves."""
        kept = set(leaves)
        for digest in list(self._entries_by_digest):
            if digest not in kept:
                del self._entries_by_digest[digest]


def _read_leaf(chunk: bytes) -> dict[str, tuple[Any]]:
    try:
        body = zlib.decompressobj().decompress(chunk, MAX_LEAF_BYTES)
        declared = declaration.Declaration.model_validate(cbor2.loads(body))
    except (
        zlib.error,
        cbor2.CBORError,
        pydantic.ValidationError,
        ValueError,
    ) as error:
        raise errors.DeclarationError(
            [f"a chunk is damaged: {type(error).__name__}"]
        ) from error
    found = {
        name: getattr(declared, name) for name in declared.model_fields_set
    }
    for entries in found.values():
        for entry in entries:
            _intern_common_values(entry)
    return found


def _intern_common_values(entry: pydantic.BaseModel) -> None:
    """Shares equal field-name sets and numbers between entries.

    This saves memory, because most entries have them in common.
    """
    kind = type(entry)
    names = _FIELD_NAMES_BY_KIND.setdefault(kind, set(kind.model_fields))
    if entry.__pydantic_fields_set__ == names:
        object.__setattr__(entry, "__pydantic_fields_set__", names)
    values = entry.__dict__
    for name, value in values.items():
        if isinstance(value, float):
            values[name] = _COMMON_NUMBERS.get(value, value)


_FIELD_NAMES_BY_KIND: dict[type[pydantic.BaseModel], set[str]] = {}
_COMMON_NUMBERS = {float(number): float(number) for number in range(101)}


def _make_leaves(declared: declaration.Declaration) -> Iterable[bytes]:
    for section in declaration.Declaration.model_fields:
        for bucket in _split_section(getattr(declared, section)):
            entries = [entry.model_dump(mode="json") for entry in bucket]
            body = cbor2.dumps({section: entries}, canonical=True)
            yield zlib.compress(body, COMPRESSION_LEVEL)


def _split_section(entries: tuple[Any, ...]) -> Iterable[list[Any]]:
    if len(entries) <= 2 * ENTRY_COUNT_PER_LEAF:
        if entries:
            yield list(entries)
        return
    buckets: list[list[Any]] = [[] for _ in range(_count_buckets(len(entries)))]
    for entry in sorted(entries, key=declaration_diff.key_of):
        hashed = xxhash.xxh64_intdigest(declaration_diff.key_of(entry).encode())
        buckets[hashed % len(buckets)].append(entry)
    for bucket in buckets:
        if bucket:
            yield bucket


def _count_buckets(entries: int) -> int:
    return 1 << (entries // ENTRY_COUNT_PER_LEAF).bit_length()


def _batches(
    digests: list[ids.Digest], size: int
) -> Iterable[list[ids.Digest]]:
    for start in range(0, len(digests), size):
        yield digests[start : start + size]
