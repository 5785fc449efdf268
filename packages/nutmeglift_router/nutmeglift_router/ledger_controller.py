"""Writes claims and outcomes to the key-value service in batches."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
from typing import NoReturn

from nutmeglift import cancellation
from nutmeglift import codec
from nutmeglift import errors
from nutmeglift import group_commit
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import ledger
from nutmeglift import states
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

MAX_TRANSACTIONS_PER_SECOND = 40.0
"""Rate at which one router starts transactions under continuous load."""
MAX_FLEET_TRANSACTIONS_PER_SECOND = 120.0
"""For all routers together: the service handles several hundred writes per
second."""
TRANSACTION_BURST_COUNT = 4.0
CLAIM_TIMEOUT_SECONDS = 2.0
"""Maximum time that a caller waits for its claim to be written."""
TRANSACTION_TIMEOUT_SECONDS = 5.0
MAX_DEFERRED_WRITE_COUNT = 10_000
SWEEP_PREFIX_DIGITS = 3
SWEEP_INTERVAL_SECONDS = 20.0

OnResult = Callable[[group_commit.Result], None]


@dataclasses.dataclass(frozen=True)
class StoredClaim:
    """A claim as stored in the key-value service.

    Attributes:
        key: the claim's key in the service.
        claim: the claim.
        revision: revision of its last write.
    """

    key: str
    claim: ledger.Claim
    revision: ids.Revision


class LedgerController:
    """Performs all writes of claims by one router."""

    def __init__(
        self,
        *,
        store: kv.BaseKv,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
        transactions_per_second: float = MAX_TRANSACTIONS_PER_SECOND,
        burst: float = TRANSACTION_BURST_COUNT,
        count_routers: Callable[[], int] = lambda: 1,
    ) -> None:
        self._transactions_per_second = transactions_per_second
        self._count_routers = count_routers
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._group = group_commit.GroupCommit(transactions_per_second, burst)
        self._listener_by_write: dict[group_commit.KeyWrite, OnResult] = {}
        self._added = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def pending_writes(self) -> int:
        """Number of writes to finish at shutdown; 0 while the service fails."""
        return 0 if self._group.failing else self._group.pending

    async def write(
        self, key: str, expected: ids.Revision, claim: ledger.Claim
    ) -> group_commit.Result:
        """Writes a claim and waits for the result.

        Raises:
            errors.KvUnavailableError: it was not written and will not be.
            errors.KvAnswerLostError: it may have been written, or may still be.
        """
        write = group_commit.KeyWrite(key, expected, codec.encode(claim))
        decided = asyncio.Event()
        results: list[group_commit.Result] = []

        def on_result(result: group_commit.Result) -> None:
            results.append(result)
            decided.set()

        self._add(write, on_result)
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_SECONDS):
                await decided.wait()
        except TimeoutError:
            # The result may have arrived together with the timeout.
            if not results:
                self._raise_claim_timeout(write)
        finally:
            if self._listener_by_write.pop(write, None) is not None:
                self._group.withdraw(write)
        return results[0]

    def record(self, stored: StoredClaim, completed: ledger.Claim) -> None:
        """Schedules a write that replaces a claim by its completed version."""

        def on_result(result: group_commit.Result) -> None:
            # On a conflict, another router settled the attempt first and
            # recorded the same outcome.
            if isinstance(result, group_commit.Conflict):
                self._metrics.count("ledger.record_conflict")

        write = group_commit.KeyWrite(
            stored.key, stored.revision, codec.encode(completed), urgent=False
        )
        self._add_deferred(write, on_result)

    def write_tombstone(
        self, key: str, claim: ledger.Claim, expected: ids.Revision
    ) -> None:
        """Schedules a tombstone, so that a claim is not read as open later.

        The tombstone is created, or replaces this claim or the entry that the
        claim was to replace; it never replaces the claim of another attempt.

        Args:
            key: the claim's key in the key-value service.
            claim: the claim; its attempt was never dispatched, or is known
                not to have run.
            expected: revision that the claim was to replace, or its own.
        """
        self._write_tombstone_at(key, claim, expected, expected)

    async def sweep(self, rng: random.Random) -> None:
        """Removes claims past their retention until cancelled.

        Each pass covers one part of the key space, selected by the first
        digits of the digest.
        """
        parts = 16**SWEEP_PREFIX_DIGITS
        part = rng.randrange(parts)
        while True:
            await self._clock.sleep(
                SWEEP_INTERVAL_SECONDS * rng.uniform(0.5, 1.5)
            )
            part = (part + 1) % parts
            try:
                await self.sweep_part(f"{part:0{SWEEP_PREFIX_DIGITS}x}")
            except errors.NutmegError:
                self._metrics.count("ledger.sweep_failed")

    async def sweep_part(self, digits: str) -> int:
        """Removes or shrinks claims past retention in a part of the key space.

        Args:
            digits: first digits of the claims' digests.

        Returns:
            Number of claims removed or shrunk.
        """
        prefix = ledger.CLAIM_PREFIX + digits
        entries = await self._store.range(kv.Get(prefix, prefix=True))
        now = self._clock.utc()
        compares: list[kv.Compare] = []
        writes: list[kv.Write] = []
        for entry in entries:
            change = _retention_write(entry, now)
            if change is None or len(writes) == group_commit.MAX_BATCH_WRITES:
                continue
            compares.append(kv.Compare(entry.key, entry.mod_revision))
            writes.append(change)
        if not writes:
            return 0
        result = await self._store.txn(compares, writes)
        if not result.succeeded:
            self._metrics.count("ledger.sweep_conflict")
            return 0
        self._metrics.count("ledger.swept", len(writes))
        return len(writes)

    async def stop(self) -> None:
        """Stops writing at once; pending writes are abandoned."""
        if self._task is not None:
            await cancellation.cancel_and_wait([self._task])

    def _raise_claim_timeout(self, write: group_commit.KeyWrite) -> NoReturn:
        self._listener_by_write.pop(write, None)
        if self._group.withdraw(write):
            raise errors.KvAnswerLostError(
                "the write of the claim timed out; its result is unknown"
            )
        raise errors.KvUnavailableError("the claim was not written in time")

    def _write_tombstone_at(
        self,
        key: str,
        claim: ledger.Claim,
        expected: ids.Revision,
        replaceable: ids.Revision,
    ) -> None:
        tombstone = codec.encode(ledger.void_claim(claim))

        def on_result(result: group_commit.Result) -> None:
            match result:
                case group_commit.Conflict(None):
                    self._write_tombstone_at(
                        key, claim, kv.NEVER_WRITTEN, replaceable
                    )
                case group_commit.Conflict(found) if found is not None:
                    if self._may_replace(found, claim, replaceable):
                        revision = found.mod_revision
                        self._write_tombstone_at(
                            key, claim, revision, replaceable
                        )

        write = group_commit.KeyWrite(key, expected, tombstone, urgent=False)
        self._add_deferred(write, on_result)

    def _may_replace(
        self,
        found: kv.KeyValue,
        claim: ledger.Claim,
        replaceable: ids.Revision,
    ) -> bool:
        if found.mod_revision == replaceable:
            return True
        other = decode_stored_claim(found).claim
        open_ = other.state is states.ClaimState.CLAIMED
        return open_ and other.same_attempt(claim)

    def _add(self, write: group_commit.KeyWrite, on_result: OnResult) -> None:
        self._listener_by_write[write] = on_result
        self._group.add(write)
        self._added.set()
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._run())

    def _add_deferred(
        self, write: group_commit.KeyWrite, on_result: OnResult
    ) -> None:
        if self._group.deferred >= MAX_DEFERRED_WRITE_COUNT:
            self._metrics.count("ledger.deferred_dropped")
            return
        self._add(write, on_result)

    async def _run(self) -> None:
        while self._group.pending:
            self._added.clear()
            self._group.set_rate(
                self._clock.now(), self._find_transaction_rate()
            )
            due = self._group.next_start(self._clock.now())
            assert due is not None
            wait = due - self._clock.now()
            if wait > 0:
                await self._wait_for_write(wait)
                continue
            batch = self._group.start(self._clock.now())
            assert batch is not None
            await self._execute(batch)

    def _find_transaction_rate(self) -> float:
        fleet_share = MAX_FLEET_TRANSACTIONS_PER_SECOND / max(
            1, self._count_routers()
        )
        return min(self._transactions_per_second, fleet_share)

    async def _wait_for_write(self, seconds: float) -> None:
        # Returns early on a new write: a full batch may start before the rate
        # limit allows the next one.
        try:
            async with asyncio.timeout(seconds):
                await self._added.wait()
        except TimeoutError:
            return

    async def _execute(self, batch: group_commit.Batch) -> None:
        self._metrics.count("ledger.transactions")
        self._metrics.count("ledger.writes", len(batch.writes))
        began = self._clock.now()
        try:
            async with asyncio.timeout(TRANSACTION_TIMEOUT_SECONDS):
                result = await self._store.txn(
                    batch.compares(), batch.puts(), batch.gets()
                )
        except errors.KvUnavailableError:
            self._fail("ledger.unavailable", maybe_written=False)
            return
        except (errors.PlatformError, TimeoutError):
            self._fail("ledger.answer_lost", maybe_written=True)
            return
        now = self._clock.now()
        self._metrics.time("ledger.transaction", now - began)
        if not result.succeeded:
            self._metrics.count("ledger.batch_conflict")
        for settled in self._group.finish(result, now):
            on_result = self._listener_by_write.pop(settled.write, None)
            if on_result is not None:
                on_result(settled.result)

    def _fail(self, name: str, *, maybe_written: bool) -> None:
        self._metrics.count(name)
        self._group.fail(self._clock.now(), maybe_written=maybe_written)


def decode_stored_claim(entry: kv.KeyValue) -> StoredClaim:
    """Returns the claim stored in an entry.

    Raises:
        errors.MalformedMessageError: the entry's value is not a claim.
    """
    claim = codec.decode_as(entry.value, ledger.Claim)
    return StoredClaim(entry.key, claim, entry.mod_revision)


def _retention_write(entry: kv.KeyValue, now: float) -> kv.Write | None:
    claim = codec.decode_as(entry.value, ledger.Claim)
    match ledger.check_retention(claim, now):
        case ledger.Keep():
            return None
        case ledger.Drop():
            return kv.Delete(entry.key)
        case ledger.Shrink(smaller):
            return kv.Put(entry.key, codec.encode(smaller))
