"""Applying a declaration, with concurrent operators and lost responses."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses

from nutmeglift import audit
from nutmeglift import configuration
from nutmeglift import configuration_chunks as chunks
from nutmeglift import control_messages
from nutmeglift import declaration
from nutmeglift import declaration_diff
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv

MAX_ATTEMPT_COUNT = 6
BACKOFF_BASE_SECONDS = 0.1

Sleep = Callable[[float], Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class ApplyRequest:
    """Parameters of an apply.

    Attributes:
        apply_id: identifier of the apply.
        author: operator who applies.
        time: seconds since the epoch.
        expected: generation that the apply must follow, or None for any.
        known: newest head reported by a router; the apply continues its
            numbering when the service holds an older head.
    """

    apply_id: ids.ApplyId
    author: str
    time: float
    expected: ids.Generation | None = None
    known: control_messages.ConfigurationHead = configuration.NO_HEAD


class Applier:
    """Makes a declaration the accepted configuration."""

    def __init__(self, store: kv.BaseKv, sleep: Sleep) -> None:
        self._store = store
        self._sleep = sleep

    async def apply(
        self, declared: declaration.Declaration, request: ApplyRequest
    ) -> control_messages.ConfigurationHead:
        """Applies a complete declaration.

        Returns:
            The accepted head.

        Raises:
            errors.ConflictError: another apply was accepted first, or the
                expected generation is not the newest.
            errors.KvAnswerLostError: a response was lost, and whether the
                apply was accepted is unknown.
            errors.PlatformError: the apply was not accepted.
        """
        split = chunks.ChunkedDeclaration(declared)
        return await self._run(split.index, split.chunk_by_digest, request)

    async def roll_back(
        self, generation: ids.Generation, request: ApplyRequest
    ) -> control_messages.ConfigurationHead:
        """Applies the content of an older generation as a new generation.

        Returns:
            The accepted head.

        Raises:
            errors.UsageError: the generation is no longer retained.
            errors.ConflictError: as for `apply`.
            errors.PlatformError: as for `apply`.
        """
        old = await configuration.read_retained_head(self._store, generation)
        found = await configuration.read_all_chunks(self._store, old.chunks)
        return await self._run(old.chunks, found, request)

    async def plan(
        self, declared: declaration.Declaration
    ) -> list[declaration_diff.Change]:
        """Returns the changes that an apply would make, without writing.

        Raises:
            errors.PlatformError: the service did not respond.
        """
        split = chunks.ChunkedDeclaration(declared)
        stored = await configuration.read_head(self._store)
        return await self._compare(
            stored.head, split.index, split.chunk_by_digest
        )

    async def _run(
        self,
        index: tuple[ids.Digest, ...],
        chunk_by_digest: chunks.ChunkByDigest,
        request: ApplyRequest,
    ) -> control_messages.ConfigurationHead:
        stored = await self._check_base(request)
        while True:
            base = stored.head
            if configuration.is_newer(request.known, base):
                base = request.known
            head = configuration.next_head(
                index,
                base,
                apply_id=request.apply_id,
                author=request.author,
                time=request.time,
            )
            changes = await self._compare(
                stored.head, index, chunk_by_digest, write=True
            )
            entry = audit.AuditEntry(
                head.generation,
                base.generation,
                head.author,
                head.time,
                head.apply,
                declaration_diff.lines(changes),
            )
            if await self._swap(stored, head, entry):
                await self._sweep(head)
                return head
            reread = await configuration.read_head(self._store)
            if reread.head_revision != stored.head_revision:
                raise await self._make_conflict(stored.head, reread.head)
            # A sweep deleted old chunks: write the missing ones again.
            stored = reread

    async def _check_base(
        self, request: ApplyRequest
    ) -> configuration.StoredHead:
        stored = await configuration.read_head(self._store)
        newest = max(stored.head, request.known, key=configuration.sort_key)
        expected = request.expected
        if expected is not None and newest.generation != expected:
            raise errors.ConflictError(
                f"generation {newest.generation} of {newest.author or 'nobody'}"
                f" is accepted, but generation {expected} was expected"
            )
        return stored

    async def _compare(
        self,
        old: control_messages.ConfigurationHead,
        index: tuple[ids.Digest, ...],
        chunk_by_digest: chunks.ChunkByDigest,
        *,
        write: bool = False,
    ) -> list[declaration_diff.Change]:
        """Returns the changes between the leaves that differ.

        Args:
            old: head of the old declaration.
            index: digests of the new declaration's index chunks.
            chunk_by_digest: chunks of the new declaration.
            write: whether to write the chunks that the old one lacks.
        """
        old_index = await configuration.read_chunks(self._store, old.chunks)
        old_leaves = chunks.leaves_of(old.chunks, old_index)
        present = set(old_leaves) | set(old_index)
        if write:
            missing = {
                digest: chunk
                for digest, chunk in chunk_by_digest.items()
                if digest not in present
            }
            await configuration.write_chunks(self._store, missing)
        new_leaves = chunks.leaves_of(index, chunk_by_digest)
        only_old = [leaf for leaf in old_leaves if leaf not in chunk_by_digest]
        only_new = [leaf for leaf in new_leaves if leaf not in present]
        body = await configuration.read_chunks(self._store, only_old)
        return declaration_diff.compare(
            chunks.join([leaf for leaf in only_old if leaf in body], body),
            chunks.join(only_new, chunk_by_digest),
        )

    async def _swap(
        self,
        stored: configuration.StoredHead,
        head: control_messages.ConfigurationHead,
        entry: audit.AuditEntry,
    ) -> bool:
        """Replaces the head; retries until the outcome is known.

        Repeating the transaction is safe because its condition holds at most
        once.
        """
        outcome_unknown = False
        for attempt in range(MAX_ATTEMPT_COUNT):
            if attempt:
                await self._sleep(BACKOFF_BASE_SECONDS * 2**attempt)
            try:
                result = await self._store.txn(
                    stored.unchanged(), configuration.head_writes(head, entry)
                )
                return result.succeeded or await self._was_accepted(head)
            except errors.KvUnavailableError:
                continue
            except errors.KvAnswerLostError:
                outcome_unknown = True
        if outcome_unknown:
            raise errors.KvAnswerLostError(
                "the key-value service did not respond; whether apply"
                f" {head.apply} was accepted is unknown, see the history"
            )
        raise errors.KvUnavailableError(
            "the key-value service is unreachable; nothing was applied"
        )

    async def _was_accepted(
        self, head: control_messages.ConfigurationHead
    ) -> bool:
        """Returns whether the head or its history contains this apply."""
        result = await self._store.txn(
            [kv.Compare(configuration.HEAD_KEY, ids.Revision(-1))],
            [],
            [
                kv.Get(configuration.HEAD_KEY),
                kv.Get(configuration.RETAINED_HEAD_PREFIX, prefix=True),
            ],
        )
        return any(
            configuration.decode_head(entry.value).apply == head.apply
            for entries in result.found
            for entry in entries
        )

    async def _make_conflict(
        self,
        base: control_messages.ConfigurationHead,
        winner: control_messages.ConfigurationHead,
    ) -> errors.ConflictError:
        lines: tuple[str, ...] = ()
        with contextlib.suppress(errors.NutmegError):
            index = await configuration.read_all_chunks(
                self._store, winner.chunks
            )
            changes = await self._compare(base, winner.chunks, index)
            lines = declaration_diff.lines(changes)
        return errors.ConflictError(
            "\n".join(
                [
                    f"{winner.author} applied generation {winner.generation}"
                    " first; it changed:",
                    *(lines or ("no changes available",)),
                ]
            )
        )

    async def _sweep(self, head: control_messages.ConfigurationHead) -> None:
        if head.generation % configuration.SWEEP_INTERVAL_GENERATIONS:
            return
        with contextlib.suppress(errors.PlatformError):
            await configuration.sweep(self._store)
