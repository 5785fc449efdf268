"""Group commit: batches writes of single keys into transactions."""

import collections
import dataclasses

from nutmeglift import ids
from nutmeglift import kv

MAX_BATCH_WRITES = 128
"""etcd refuses a transaction with more operations of one kind."""
MAX_BATCH_BYTES = 1024 * 1024
MAX_URGENT_RATIO = 0.75
TOKEN_TOLERANCE = 1e-6
"""Absorbs rounding errors, which would delay a start that is due."""
INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, eq=False)
class KeyWrite:
    """Conditional write of one key.

    It takes effect if the key was last written at the expected revision. Its
    value differs from that of every other write to the key, so that the write
    can be recognised when the key is read back.

    Attributes:
        key: the key.
        expected: revision of the last write; NEVER_WRITTEN if absent.
        value: the new value.
        urgent: whether a caller waits for the write.
    """

    key: str
    expected: ids.Revision
    value: bytes
    urgent: bool = True


@dataclasses.dataclass(frozen=True)
class Written:
    """The write took effect.

    Attributes:
        revision: revision of the write.
    """

    revision: ids.Revision


@dataclasses.dataclass(frozen=True)
class Conflict:
    """The key was changed by another writer.

    Attributes:
        found: its current entry; None if the key does not exist.
    """

    found: kv.KeyValue | None


Result = Written | Conflict


@dataclasses.dataclass(frozen=True)
class DecidedWrite:
    """A write whose result is known."""

    write: KeyWrite
    result: Result


@dataclasses.dataclass(frozen=True, eq=False)
class Batch:
    """Writes of distinct keys for one transaction."""

    writes: tuple[KeyWrite, ...]

    def compares(self) -> list[kv.Compare]:
        """Returns the transaction's conditions."""
        return [kv.Compare(w.key, w.expected) for w in self.writes]

    def puts(self) -> list[kv.Write]:
        """Returns the transaction's writes."""
        return [kv.Put(w.key, w.value) for w in self.writes]

    def gets(self) -> list[kv.Get]:
        """Returns the reads to perform if a condition fails."""
        return [kv.Get(w.key) for w in self.writes]


class GroupCommit:
    """Selects the writes of the next transaction and its start time.

    At most one transaction is in flight; writes that arrive in the meantime go
    into the next one. Starts are paced by a token bucket, so that occasional
    writes are not delayed and frequent ones share a transaction. After a
    transaction whose response was lost, or in which a write conflicted, the
    undecided writes are sent again. The failure branch of a transaction reads
    every key, which distinguishes own writes from those of others.
    """

    def __init__(self, starts_per_second: float, burst: float) -> None:
        self._starts_per_second = starts_per_second
        self._burst = burst
        self._tokens = burst
        self._filled_at = 0.0
        self._not_before = 0.0
        self._backoff = 0.0
        self._urgent: collections.deque[KeyWrite] = collections.deque()
        self._deferred: collections.deque[KeyWrite] = collections.deque()
        self._in_flight: Batch | None = None
        self._uncertain: set[KeyWrite] = set()
        self._withdrawn: set[KeyWrite] = set()

    def set_rate(self, now: float, starts_per_second: float) -> None:
        """Changes the maximum number of transaction starts per second."""
        if starts_per_second == self._starts_per_second:
            return
        self._fill(now)
        self._starts_per_second = starts_per_second

    @property
    def pending(self) -> int:
        """Number of pending writes, including those in flight."""
        in_flight = len(self._in_flight.writes) if self._in_flight else 0
        return len(self._urgent) + len(self._deferred) + in_flight

    @property
    def deferred(self) -> int:
        """Number of queued writes that are not urgent."""
        return len(self._deferred)

    @property
    def failing(self) -> bool:
        """Whether the last transaction got no response."""
        return self._backoff > 0

    def add(self, write: KeyWrite) -> None:
        """Queues a write."""
        queue = self._urgent if write.urgent else self._deferred
        queue.append(write)

    def withdraw(self, write: KeyWrite) -> bool:
        """Withdraws a write; its result will not be reported.

        Returns:
            Whether it may have taken effect or may still do so.
        """
        if self._in_flight is not None and write in self._in_flight.writes:
            self._withdrawn.add(write)
            return True
        for queue in (self._urgent, self._deferred):
            if write in queue:
                queue.remove(write)
        uncertain = write in self._uncertain
        self._uncertain.discard(write)
        return uncertain

    def next_start(self, now: float) -> float | None:
        """Returns when the next batch may start; None without queued writes."""
        waiting = len(self._urgent) + len(self._deferred)
        if self._in_flight is not None or not waiting:
            return None
        if waiting >= MAX_BATCH_WRITES:
            return max(now, self._not_before)
        self._fill(now)
        missing = 1.0 - self._tokens
        if missing <= TOKEN_TOLERANCE:
            return max(now, self._not_before)
        return max(now + missing / self._starts_per_second, self._not_before)

    def start(self, now: float) -> Batch | None:
        """Returns the batch to execute now, or None if none is due."""
        due = self.next_start(now)
        if due is None or due > now:
            return None
        self._tokens = max(0.0, self._tokens - 1.0)
        self._in_flight = Batch(tuple(self._take()))
        return self._in_flight

    def finish(self, result: kv.TxnResult, now: float) -> list[DecidedWrite]:
        """Processes the response to the transaction in flight.

        Returns:
            The writes whose result is known; the others are queued again.
        """
        batch = self._take_in_flight()
        self._backoff = 0.0
        if result.succeeded:
            decided = [DecidedWrite(w, Written(result.revision)) for w in batch]
        else:
            decided = self._decide_failed_batch(batch, result.found)
        self._uncertain.difference_update(item.write for item in decided)
        reported = [s for s in decided if s.write not in self._withdrawn]
        self._forget_withdrawn()
        return reported

    def fail(self, now: float, *, maybe_written: bool) -> None:
        """Records that the transaction in flight got no response.

        Args:
            now: clock time, in seconds.
            maybe_written: whether it may have taken effect.
        """
        batch = self._take_in_flight()
        remaining = [w for w in batch if w not in self._withdrawn]
        self._forget_withdrawn()
        if maybe_written:
            self._uncertain.update(remaining)
        self._requeue(remaining)
        doubled = max(INITIAL_BACKOFF_SECONDS, 2 * self._backoff)
        self._backoff = min(doubled, MAX_BACKOFF_SECONDS)
        self._not_before = now + self._backoff

    def _take_in_flight(self) -> tuple[KeyWrite, ...]:
        assert self._in_flight is not None
        batch, self._in_flight = self._in_flight, None
        return batch.writes

    def _forget_withdrawn(self) -> None:
        self._uncertain -= self._withdrawn
        self._withdrawn.clear()

    def _fill(self, now: float) -> None:
        earned = (now - self._filled_at) * self._starts_per_second
        self._tokens = min(self._burst, self._tokens + earned)
        self._filled_at = now

    def _take(self) -> list[KeyWrite]:
        taken: list[KeyWrite] = []
        keys: set[str] = set()
        budget = MAX_BATCH_BYTES
        max_urgent = int(MAX_BATCH_WRITES * MAX_URGENT_RATIO)
        if not self._deferred:
            max_urgent = MAX_BATCH_WRITES
        for queue, max_count in (
            (self._urgent, max_urgent),
            (self._deferred, MAX_BATCH_WRITES),
        ):
            skipped: list[KeyWrite] = []
            while queue and len(taken) < max_count:
                write = queue.popleft()
                if write.key in keys:
                    skipped.append(write)
                    continue
                if taken and len(write.value) > budget:
                    skipped.append(write)
                    break
                budget -= len(write.value)
                keys.add(write.key)
                taken.append(write)
            queue.extendleft(reversed(skipped))
        return taken

    def _decide_failed_batch(
        self, batch: tuple[KeyWrite, ...], found: list[list[kv.KeyValue]]
    ) -> list[DecidedWrite]:
        decided: list[DecidedWrite] = []
        undecided: list[KeyWrite] = []
        for write, entries in zip(batch, found, strict=True):
            entry = entries[0] if entries else None
            revision = entry.mod_revision if entry else kv.NEVER_WRITTEN
            if entry is not None and entry.value == write.value:
                decided.append(DecidedWrite(write, Written(revision)))
            elif revision != write.expected:
                decided.append(DecidedWrite(write, Conflict(entry)))
            elif write in self._withdrawn:
                continue
            else:
                undecided.append(write)
        self._requeue(undecided)
        return decided

    def _requeue(self, writes: list[KeyWrite]) -> None:
        for write in reversed(writes):
            queue = self._urgent if write.urgent else self._deferred
            queue.appendleft(write)
