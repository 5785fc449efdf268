"""Index of the runners that probably have a prompt's prefix cached."""

import dataclasses
import struct

import xxhash

from nutmeglift import control_messages
from nutmeglift import ids

BLOCK_TOKENS = 16
TOKEN_BYTES = 8
BLOCK_BYTES = BLOCK_TOKENS * TOKEN_BYTES
LOOKUP_LENGTHS_BLOCKS = (1, 2, 4, 8, 16, 32)
"""Lengths of a prompt's prefixes that are looked up, in blocks."""
MAX_LOOKUP_TOKENS = LOOKUP_LENGTHS_BLOCKS[-1] * BLOCK_TOKENS
MAX_LEVEL_COUNT = 3
MAX_ENTRY_COUNT = 65_536
"""Maximum number of entries over all runners."""
MIN_ENTRY_COUNT_PER_RUNNER = 64
MAX_ENTRY_COUNT_PER_RUNNER = 2048
DISPATCH_RETENTION_SECONDS = 30.0
"""Minimum retention of this router's dispatches.

A cache event that contradicts a dispatch removes it earlier.
"""
MAX_DISPATCHED_PREFIX_COUNT = 16_384
UNCONFIRMED_RETENTION_SECONDS = 30.0
"""Retention of entries that a gap in the events left unconfirmed."""


def hash_prefix_blocks(tokens: tuple[int, ...]) -> list[str]:
    """Returns the hash of each prefix of the prompt that is whole blocks."""
    blocks = len(tokens) // BLOCK_TOKENS
    body = _pack(tokens[: blocks * BLOCK_TOKENS])
    chain = xxhash.xxh64()
    found = []
    for start in range(0, blocks * BLOCK_BYTES, BLOCK_BYTES):
        chain.update(body[start : start + BLOCK_BYTES])
        found.append(chain.hexdigest())
    return found


def _pack(tokens: tuple[int, ...]) -> bytes:
    return struct.pack(f"<{len(tokens)}q", *tokens)


def _hash_prefixes(tokens: tuple[int, ...]) -> dict[int, int]:
    """Returns the hashes to look up by the prefix's length in blocks."""
    body = memoryview(_pack(tokens[:MAX_LOOKUP_TOKENS]))
    end = len(body) // BLOCK_BYTES
    hash_of = xxhash.xxh64_intdigest
    return {
        blocks: hash_of(body[: blocks * BLOCK_BYTES])
        for blocks in LOOKUP_LENGTHS_BLOCKS
        if blocks <= end
    }


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """Runners that hold a prompt's prefix of at least a given length.

    Attributes:
        runner_bits: bit set; bit n represents the runner with number n.
        blocks: length of the prefix in blocks.
    """

    runner_bits: int
    blocks: int


@dataclasses.dataclass(frozen=True, slots=True)
class Match:
    """Result of a lookup for one prompt.

    Attributes:
        levels: the runners by prefix length, longest first.
        digests: hashes of the prefixes that were looked up.
        blocks: length of the longest prefix that was looked up, in blocks.
    """

    levels: tuple[Level, ...]
    digests: tuple[int, ...]
    blocks: int


NO_MATCH = Match((), (), 0)


@dataclasses.dataclass
class _Cache:
    """One runner's entries.

    Attributes:
        number: the runner's bit.
        time_by_digest: clock time at which each entry was last confirmed,
            oldest first.
        next_sequence: expected sequence number of the next event; 0 before
            the first event.
        unconfirmed_since: clock time of the last unresolved gap in the
            events; None if there is none.
    """

    number: int
    time_by_digest: dict[int, float] = dataclasses.field(default_factory=dict)
    next_sequence: int = 0
    unconfirmed_since: float | None = None


class PrefixIndex:
    """Index built from cache events and own dispatches, in bounded memory.

    Events may be late, and some may be missing.

    Attributes:
        gaps: number of gaps detected in the events.
    """

    def __init__(self) -> None:
        self.gaps = 0
        self._cache_by_vm: dict[ids.VmId, _Cache] = {}
        self._runners_by_digest: dict[int, int] = {}
        self._free_numbers: list[int] = []
        # This router's dispatches of the current and the previous period.
        self._dispatched: dict[int, int] = {}
        self._previously_dispatched: dict[int, int] = {}
        self._rotated_at = float("-inf")

    def number_of(self, vm: ids.VmId) -> int:
        """Returns the runner's number; assigns one on the first call."""
        cache = self._cache_by_vm.get(vm)
        if cache is None:
            if self._free_numbers:
                number = self._free_numbers.pop()
            else:
                number = len(self._cache_by_vm)
            cache = self._cache_by_vm[vm] = _Cache(number)
        return cache.number

    def forget(self, vm: ids.VmId) -> None:
        """Removes a runner and frees its number."""
        cache = self._cache_by_vm.get(vm)
        if cache is None:
            return
        self._clear(cache)
        del self._cache_by_vm[vm]
        self._free_numbers.append(cache.number)

    def clear(self, vm: ids.VmId) -> None:
        """Removes the entries of a runner whose engine has restarted."""
        cache = self._cache_by_vm.get(vm)
        if cache is not None:
            self._clear(cache)
            cache.next_sequence = 0
            cache.unconfirmed_since = None

    def record_events(
        self, vm: ids.VmId, events: control_messages.CacheEvents, now: float
    ) -> None:
        """Applies a runner's cache events.

        A complete report replaces the runner's entries; events that were
        already applied are skipped.
        """
        self.number_of(vm)
        cache = self._cache_by_vm[vm]
        end = events.first + len(events.events)
        if events.complete:
            self._clear(cache)
            cache.unconfirmed_since = None
            self._apply(cache, events.events, now)
            cache.next_sequence = end
            return
        if cache.next_sequence == 0:
            cache.next_sequence = events.first
        if events.first > cache.next_sequence:
            self.gaps += 1
            cache.unconfirmed_since = now
            cache.next_sequence = events.first
        known = cache.next_sequence - events.first
        self._apply(cache, events.events[known:], now)
        cache.next_sequence = max(cache.next_sequence, end)

    def expire(self, now: float) -> None:
        """Removes unconfirmed entries after UNCONFIRMED_RETENTION_SECONDS."""
        for cache in self._cache_by_vm.values():
            since = cache.unconfirmed_since
            if since is None or now - since < UNCONFIRMED_RETENTION_SECONDS:
                continue
            cache.unconfirmed_since = None
            times = cache.time_by_digest
            for digest in [d for d, at in times.items() if at <= since]:
                self._drop(cache, digest)

    def match(self, tokens: tuple[int, ...]) -> Match:
        """Returns the runners that probably hold prefixes of a prompt."""
        digests = _hash_prefixes(tokens)
        if not digests:
            return NO_MATCH
        confirmed = self._runners_by_digest
        dispatched, previously_dispatched = (
            self._dispatched,
            self._previously_dispatched,
        )
        levels: list[Level] = []
        holders = 0
        # A runner that holds a longer prefix also holds the shorter ones,
        # even if the event for one of them was lost.
        for blocks in reversed(digests):
            digest = digests[blocks]
            more = (
                holders
                | confirmed.get(digest, 0)
                | dispatched.get(digest, 0)
                | previously_dispatched.get(digest, 0)
            )
            if more != holders:
                levels.append(Level(more, blocks))
                holders = more
        longest = next(reversed(digests))
        kept = tuple(levels[:MAX_LEVEL_COUNT])
        return Match(kept, tuple(digests.values()), longest)

    def record_dispatch(
        self, runner_bits: int, match: Match, now: float
    ) -> None:
        """Records that a prompt was dispatched to runners, which will cache it.

        Args:
            runner_bits: bit set of the runners' numbers.
            match: result of `match` for the prompt.
            now: clock time in seconds.
        """
        if (
            now - self._rotated_at > DISPATCH_RETENTION_SECONDS
            or len(self._dispatched) > MAX_DISPATCHED_PREFIX_COUNT
        ):
            self._previously_dispatched = self._dispatched
            self._dispatched = {}
            self._rotated_at = now
        dispatched = self._dispatched
        for digest in match.digests:
            dispatched[digest] = dispatched.get(digest, 0) | runner_bits

    def count_entries(self) -> int:
        """Returns the number of entries over all runners."""
        return sum(len(c.time_by_digest) for c in self._cache_by_vm.values())

    def _apply(
        self,
        cache: _Cache,
        events: tuple[control_messages.CacheEvent, ...],
        now: float,
    ) -> None:
        for event in events:
            try:
                digest = int(event.prefix, 16)
            except ValueError:
                continue
            if event.stored:
                self._store(cache, digest, now)
            else:
                self._remove(cache, digest)

    def _store(self, cache: _Cache, digest: int, now: float) -> None:
        times = cache.time_by_digest
        if digest in times:
            del times[digest]
            times[digest] = now
            return
        times[digest] = now
        held = self._runners_by_digest.get(digest, 0)
        self._runners_by_digest[digest] = held | 1 << cache.number
        if len(times) > self._limit():
            self._drop(cache, next(iter(times)))

    def _limit(self) -> int:
        share = MAX_ENTRY_COUNT // len(self._cache_by_vm)
        share = max(MIN_ENTRY_COUNT_PER_RUNNER, share)
        return min(MAX_ENTRY_COUNT_PER_RUNNER, share)

    def _remove(self, cache: _Cache, digest: int) -> None:
        self._discard_dispatch(cache, digest)
        self._drop(cache, digest)

    def _drop(self, cache: _Cache, digest: int) -> None:
        if cache.time_by_digest.pop(digest, None) is None:
            return
        left = self._runners_by_digest[digest] & ~(1 << cache.number)
        if left:
            self._runners_by_digest[digest] = left
        else:
            del self._runners_by_digest[digest]

    def _discard_dispatch(self, cache: _Cache, digest: int) -> None:
        for dispatched in (self._dispatched, self._previously_dispatched):
            if digest in dispatched:
                dispatched[digest] &= ~(1 << cache.number)

    def _clear(self, cache: _Cache) -> None:
        for dispatched in (self._dispatched, self._previously_dispatched):
            for digest in dispatched:
                dispatched[digest] &= ~(1 << cache.number)
        for digest in list(cache.time_by_digest):
            self._drop(cache, digest)
