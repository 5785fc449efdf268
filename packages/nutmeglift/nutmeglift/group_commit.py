"""Groups writes of single keys into few transactions."""

import collections
import dataclasses

from nutmeglift import ids
from nutmeglift import kv

MAX_BATCH_WRITES = 128
"""etcd refuses a transaction with more operations of one kind."""
MAX_BATCH_BYTES = 1024 * 1024
MAX_URGENT_RATIO = 0.75
TOKEN_TOLERANCE = 1e-6
"""Rounding must not leave a start that is due a hair short of its token."""
INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, eq=False)
class KeyWrite:
    """Replaces one key, if it was last written at a known revision.

    Its value is unlike that of any other write to the key, so that it can
    be recognised when it is read back.

    Attributes:
        key: the key.
        expected: revision of its last write; NEVER_WRITTEN if absent.
        value: the new value.
        urgent: whether a caller waits for it.
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
    """The key was written by somebody else.

    Attributes:
        found: what it holds now; None when it does not exist.
    """

    found: kv.KeyValue | None


Result = Written | Conflict


@dataclasses.dataclass(frozen=True)
class Settled:
    """A write with its result."""

    write: KeyWrite
    result: Result


@dataclasses.dataclass(frozen=True, eq=False)
class Batch:
    """Writes of different keys, to be made in one transaction."""

    writes: tuple[KeyWrite, ...]

    def compares(self) -> list[kv.Compare]:
        """Returns the transaction's conditions."""
        return [kv.Compare(w.key, w.expected) for w in self.writes]

    def puts(self) -> list[kv.Write]:
        """Returns the transaction's writes."""
        return [kv.Put(w.key, w.value) for w in self.writes]

    def gets(self) -> list[kv.Get]:
        """Returns what to read when a condition fails."""
        return [kv.Get(w.key) for w in self.writes]


class GroupCommit:
    """Decides which writes go into the next transaction, and when it starts.

    One transaction is in flight; what arrives meanwhile goes into the next.
    Starts are paced by a token bucket, so that few arrivals never wait and
    many share a transaction. A transaction whose answer was lost, or in which
    one write met a conflict, is followed by one with the undecided writes: its
    failure branch reads every key, which tells own writes from others'.
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
        self._unsure: set[KeyWrite] = set()
        self._withdrawn: set[KeyWrite] = set()

    def set_pace(self, now: float, starts_per_second: float) -> None:
        """Changes how many transactions may start a second."""
        if starts_per_second == self._starts_per_second:
            return
        self._fill(now)
        self._starts_per_second = starts_per_second

    @property
    def pending(self) -> int:
        """Number of writes that wait, those in flight included."""
        flying = len(self._in_flight.writes) if self._in_flight else 0
        return len(self._urgent) + len(self._deferred) + flying

    @property
    def deferred(self) -> int:
        """Number of writes that nobody waits for, those in flight left out."""
        return len(self._deferred)

    @property
    def failing(self) -> bool:
        """Whether the last transaction gave no answer."""
        return self._backoff > 0

    def add(self, write: KeyWrite) -> None:
        """Takes a write."""
        queue = self._urgent if write.urgent else self._deferred
        queue.append(write)

    def withdraw(self, write: KeyWrite) -> bool:
        """Gives a write up; its result will not be reported.

        Returns:
            Whether it may have taken effect, or still may.
        """
        if self._in_flight is not None and write in self._in_flight.writes:
            self._withdrawn.add(write)
            return True
        for queue in (self._urgent, self._deferred):
            if write in queue:
                queue.remove(write)
        unsure = write in self._unsure
        self._unsure.discard(write)
        return unsure

    def start_at(self, now: float) -> float | None:
        """Returns when start has a batch; None when only add changes that."""
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
        """Returns the batch to execute now, if one is due."""
        due = self.start_at(now)
        if due is None or due > now:
            return None
        self._tokens = max(0.0, self._tokens - 1.0)
        self._in_flight = Batch(tuple(self._take()))
        return self._in_flight

    def finish(self, result: kv.TxnResult, now: float) -> list[Settled]:
        """Takes the answer of the transaction in flight.

        Returns:
            The writes that are decided; the others stay for the next batch.
        """
        batch = self._land()
        self._backoff = 0.0
        if result.succeeded:
            settled = [Settled(w, Written(result.revision)) for w in batch]
        else:
            settled = self._sort_out(batch, result.found)
        self._unsure.difference_update(item.write for item in settled)
        reported = [s for s in settled if s.write not in self._withdrawn]
        self._forget_withdrawn()
        return reported

    def fail(self, now: float, *, maybe_written: bool) -> None:
        """Notes that the transaction in flight gave no answer.

        Args:
            now: clock time.
            maybe_written: whether it may have taken effect.
        """
        batch = self._land()
        kept = [w for w in batch if w not in self._withdrawn]
        self._forget_withdrawn()
        if maybe_written:
            self._unsure.update(kept)
        self._put_back(kept)
        doubled = max(INITIAL_BACKOFF_SECONDS, 2 * self._backoff)
        self._backoff = min(doubled, MAX_BACKOFF_SECONDS)
        self._not_before = now + self._backoff

    def _land(self) -> tuple[KeyWrite, ...]:
        assert self._in_flight is not None
        batch, self._in_flight = self._in_flight, None
        return batch.writes

    def _forget_withdrawn(self) -> None:
        self._unsure -= self._withdrawn
        self._withdrawn.clear()

    def _fill(self, now: float) -> None:
        earned = (now - self._filled_at) * self._starts_per_second
        self._tokens = min(self._burst, self._tokens + earned)
        self._filled_at = now

    def _take(self) -> list[KeyWrite]:
        taken: list[KeyWrite] = []
        keys: set[str] = set()
        budget = MAX_BATCH_BYTES
        urgent_most = int(MAX_BATCH_WRITES * MAX_URGENT_RATIO)
        if not self._deferred:
            urgent_most = MAX_BATCH_WRITES
        for queue, most in (
            (self._urgent, urgent_most),
            (self._deferred, MAX_BATCH_WRITES),
        ):
            held: list[KeyWrite] = []
            while queue and len(taken) < most:
                write = queue.popleft()
                if write.key in keys:
                    held.append(write)
                    continue
                if taken and len(write.value) > budget:
                    held.append(write)
                    break
                budget -= len(write.value)
                keys.add(write.key)
                taken.append(write)
            queue.extendleft(reversed(held))
        return taken

    def _sort_out(
        self, batch: tuple[KeyWrite, ...], found: list[list[kv.KeyValue]]
    ) -> list[Settled]:
        settled: list[Settled] = []
        undecided: list[KeyWrite] = []
        for write, entries in zip(batch, found, strict=True):
            entry = entries[0] if entries else None
            revision = entry.mod_revision if entry else kv.NEVER_WRITTEN
            if entry is not None and entry.value == write.value:
                settled.append(Settled(write, Written(revision)))
            elif revision != write.expected:
                settled.append(Settled(write, Conflict(entry)))
            elif write in self._withdrawn:
                continue
            else:
                undecided.append(write)
        self._put_back(undecided)
        return settled

    def _put_back(self, writes: list[KeyWrite]) -> None:
        for write in reversed(writes):
            queue = self._urgent if write.urgent else self._deferred
            queue.appendleft(write)
