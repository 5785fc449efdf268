"""Synchronization of one router with the accepted configuration.

Heads arrive from the key-value service and from other routers. A newer head is
pending until all its chunks are present; then it is put into force.
"""

import dataclasses

from nutmeglift import configuration
from nutmeglift import configuration_chunks as chunks
from nutmeglift import control_messages
from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids

MAX_REQUESTED_CHUNK_COUNT = 64
REQUEST_RETRY_SECONDS = 1.0
PENDING_HEAD_TIMEOUT_SECONDS = 4.0
REQUIRED_CONFIRMATION_COUNT = 2

Head = control_messages.ConfigurationHead


@dataclasses.dataclass(frozen=True)
class RequestChunks:
    """Action: send a peer a request for its head and for chunks."""

    peer: ids.VmId
    message: control_messages.ConfigurationWanted


@dataclasses.dataclass(frozen=True)
class Activated:
    """Action: this configuration is now in force."""

    head: Head
    declared: declaration.Declaration


Action = RequestChunks | Activated


class ConfigurationSync:
    """Decides what to request and when to put a configuration into force.

    Attributes:
        head: the head in force.
        pending: a newer head with missing chunks, or None.
    """

    def __init__(self) -> None:
        self.head = configuration.NO_HEAD
        self.pending: Head | None = None
        self._pending_since = 0.0
        self._missing: dict[ids.Digest, None] = {}
        self._chunk_by_digest: chunks.ChunkByDigest = {}
        self._cache = chunks.LeafCache()
        self._generation_by_peer: dict[ids.VmId, ids.Generation] = {}
        self._requested_at_by_peer: dict[ids.VmId, float] = {}

    @property
    def chunk_by_digest(self) -> chunks.ChunkByDigest:
        """Chunks of the head in force, and some of the pending head's."""
        return self._chunk_by_digest

    @property
    def highest_known(self) -> ids.Generation:
        """The highest generation known here or reported by a connected peer."""
        pending = self.pending.generation if self.pending else 0
        reported = self._generation_by_peer.values()
        return ids.Generation(max(self.head.generation, pending, 0, *reported))

    def generation_of(
        self, peer: ids.VmId, default: ids.Generation
    ) -> ids.Generation:
        """Returns the generation last reported by a connected router."""
        return self._generation_by_peer.get(peer, default)

    def missing(self) -> list[ids.Digest]:
        """Returns the pending head's chunks to fetch next."""
        if self.pending is None:
            return []
        if not self._missing:
            # Search again only after all chunks found missing have arrived.
            found = chunks.find_missing(
                self.pending.chunks, self._chunk_by_digest
            )
            self._missing = dict.fromkeys(found)
        return list(self._missing)

    def record_peer(
        self, peer: ids.VmId, generation: ids.Generation, now: float
    ) -> list[Action]:
        """Records the generation in force at another router."""
        self._generation_by_peer[peer] = generation
        if generation <= self.head.generation:
            return []
        return self._request(peer, now)

    def add_peer(
        self, peer: ids.VmId, generation: ids.Generation, now: float
    ) -> list[Action]:
        """Adds a newly connected router.

        Two histories may share a generation after the service was restored
        from a backup, so the head is requested also when the generations are
        equal.
        """
        self._generation_by_peer[peer] = generation
        if generation == 0 or generation < self.head.generation:
            return []
        return self._request(peer, now, force=True)

    def remove_peer(self, peer: ids.VmId) -> None:
        """Removes a router whose connection has ended."""
        self._generation_by_peer.pop(peer, None)
        self._requested_at_by_peer.pop(peer, None)

    def receive_head(
        self, head: Head, now: float, peer: ids.VmId | None = None
    ) -> list[Action]:
        """Handles a head from a router, or from the service if peer is None."""
        if not configuration.is_newer(head, self.pending or self.head):
            return []
        self.pending = head
        self._pending_since = now
        self._missing.clear()
        activated = self._activate_if_complete()
        if activated or peer is None:
            return activated
        return self._request(peer, now, force=True)

    def receive_chunk(
        self, chunk: control_messages.ConfigurationChunk, now: float
    ) -> list[Action]:
        """Handles a chunk from a peer; one that is not missing is dropped."""
        if chunk.digest not in self.missing():
            return []
        return self.receive_chunks({chunk.digest: chunk.body}, now)

    def receive_chunks(
        self, found: chunks.ChunkByDigest, now: float
    ) -> list[Action]:
        """Stores chunks of the pending head; damaged ones are dropped."""
        if self.pending is None:
            return []
        index_missing = set(self.missing()) & set(self.pending.chunks)
        for digest, body in found.items():
            if self._is_valid(digest, body):
                self._chunk_by_digest[digest] = body
                self._missing.pop(digest, None)
        activated = self._activate_if_complete()
        if (
            activated
            or not index_missing
            or index_missing & set(self.missing())
        ):
            return activated
        # The index is now complete: request the leaves immediately.
        return self._request_from_any(now, force=True)

    def tick(self, now: float) -> list[Action]:
        """Retries unanswered requests; drops a pending head that timed out."""
        if (
            self.pending
            and now - self._pending_since > PENDING_HEAD_TIMEOUT_SECONDS
        ):
            # No peer has its chunks any more: accept the newest head available.
            self.pending = None
        if self.highest_known <= self.head.generation and not self.pending:
            return []
        return self._request_from_any(now)

    def answer(
        self, wanted: control_messages.ConfigurationWanted
    ) -> list[
        control_messages.ConfigurationHead | control_messages.ConfigurationChunk
    ]:
        """Returns the head in force and the requested chunks held here."""
        found = [
            control_messages.ConfigurationChunk(digest, body)
            for digest in wanted.chunks[:MAX_REQUESTED_CHUNK_COUNT]
            if (body := self._chunk_by_digest.get(digest)) is not None
        ]
        return [self.head, *found]

    def _is_valid(self, digest: ids.Digest, body: bytes) -> bool:
        """Validates a chunk; decodes a leaf now so that joining is cheap."""
        if chunks.digest_of(body) != digest:
            return False
        if self.pending is None or digest in self.pending.chunks:
            return True
        try:
            self._cache.read(digest, {digest: body})
        except errors.DeclarationError:
            return False
        return True

    def _request_from_any(
        self, now: float, force: bool = False
    ) -> list[Action]:
        wanted = max(self.head.generation + 1, self._pending_generation())
        for peer, generation in sorted(
            self._generation_by_peer.items(),
            key=lambda item: self._requested_at_by_peer.get(item[0], 0.0),
        ):
            if generation >= wanted and (
                actions := self._request(peer, now, force=force)
            ):
                return actions
        return []

    def _request(
        self, peer: ids.VmId, now: float, force: bool = False
    ) -> list[Action]:
        requested_at = self._requested_at_by_peer.get(peer)
        recent = (
            requested_at is not None
            and now - requested_at < REQUEST_RETRY_SECONDS
        )
        if recent and not force:
            return []
        self._requested_at_by_peer[peer] = now
        digests = tuple(self.missing()[:MAX_REQUESTED_CHUNK_COUNT])
        return [
            RequestChunks(peer, control_messages.ConfigurationWanted(digests))
        ]

    def _pending_generation(self) -> int:
        return self.pending.generation if self.pending else 0

    def _activate_if_complete(self) -> list[Action]:
        """Puts the pending head into force if all its chunks are present."""
        if self.pending is None or self.missing():
            return []
        head, self.pending = self.pending, None
        leaves = chunks.leaves_of(head.chunks, self._chunk_by_digest)
        try:
            declared = chunks.join(leaves, self._chunk_by_digest, self._cache)
        except errors.DeclarationError:
            return []
        self.head = head
        self._discard_chunks_except({*head.chunks, *leaves})
        self._cache.keep_only(leaves)
        return [Activated(head, declared)]

    def _discard_chunks_except(self, digests: set[ids.Digest]) -> None:
        for digest in list(self._chunk_by_digest):
            if digest not in digests:
                del self._chunk_by_digest[digest]


class Freshness:
    """Tracks whether a process may assume that its configuration is current.

    A process that starts, or resumes from a pause longer than the limit, may
    not assume so until the service or enough peers have reported nothing
    newer. An outage of the service alone has no effect.
    """

    def __init__(
        self, max_pause: float, stale_report_window: float, now: float
    ) -> None:
        """Initializes the state for a process that starts.

        Args:
            max_pause: longest pause without effect, in seconds.
            stale_report_window: seconds after a pause during which a peer's
                report may have been sent before the pause ended.
            now: clock time in seconds.
        """
        self._max_pause = max_pause
        self._stale_report_window = stale_report_window
        self._ticked_at = now
        self._trusted_from = now
        self._confirmed = False
        self._generation_by_peer: dict[ids.VmId, ids.Generation] = {}

    def tick(self, now: float) -> None:
        """Detects pauses of the process; must be called frequently."""
        if now - self._ticked_at > self._max_pause:
            self._confirmed = False
            self._trusted_from = now + self._stale_report_window
            self._generation_by_peer.clear()
        self._ticked_at = now

    def record_service(self, requested_at: float) -> None:
        """Records that the service reported nothing newer.

        Args:
            requested_at: clock time in seconds when the request was sent.
        """
        if requested_at >= self._trusted_from - self._stale_report_window:
            self._confirmed = True

    def record_peer(
        self, peer: ids.VmId, generation: ids.Generation, now: float
    ) -> None:
        """Records the generation reported by a peer."""
        if not self._confirmed and now >= self._trusted_from:
            self._generation_by_peer[peer] = generation

    def is_fresh(
        self, own: ids.Generation, known_peers: int, now: float
    ) -> bool:
        """Returns whether new work may be accepted.

        Args:
            own: generation in force in this process.
            known_peers: number of other processes in the VM list.
            now: clock time in seconds.
        """
        self.tick(now)
        if not self._confirmed:
            self._confirmed = self._is_confirmed_by_peers(own, known_peers)
        if self._confirmed:
            self._generation_by_peer.clear()
        return self._confirmed

    def _is_confirmed_by_peers(
        self, own: ids.Generation, known_peers: int
    ) -> bool:
        reported = self._generation_by_peer.values()
        needed = max(1, min(REQUIRED_CONFIRMATION_COUNT, known_peers))
        return len(reported) >= needed and own >= max(reported)
