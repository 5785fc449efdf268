"""Writes claims and outcomes to the key-value service, many at a time."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
from typing import NoReturn

from nutmeglift import codec
from nutmeglift import errors
from nutmeglift import group_commit
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import ledger
from nutmeglift import states
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

STARTS_PER_SECOND = 40.0
FLEET_STARTS_PER_SECOND = 120.0
"""Of all routers together: the service takes several hundred writes."""
"""Transactions that a router starts when calls keep coming."""
START_BURST = 4.0
CLAIM_SECONDS = 2.0
"""Longest wait of a caller for its claim."""
TRANSACTION_SECONDS = 5.0
MAX_DEFERRED = 10_000
SWEEP_PREFIX_DIGITS = 3
SWEEP_INTERVAL_SECONDS = 20.0

OnResult = Callable[[group_commit.Result], None]


@dataclasses.dataclass(frozen=True)
class Held:
    """A claim as it stands in the key-value service.

    Attributes:
        key: its key there.
        claim: its content.
        revision: revision of its last write.
    """

    key: str
    claim: ledger.Claim
    revision: ids.Revision


class LedgerController:
    """Owns the claims' writes of one router."""

    def __init__(
        self,
        *,
        store: kv.BaseKv,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
        starts_per_second: float = STARTS_PER_SECOND,
        burst: float = START_BURST,
        count_routers: Callable[[], int] = lambda: 1,
    ) -> None:
        self._starts_per_second = starts_per_second
        self._count_routers = count_routers
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._group = group_commit.GroupCommit(starts_per_second, burst)
        self._listener_by_write: dict[group_commit.KeyWrite, OnResult] = {}
        self._added = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def unrecorded(self) -> int:
        """Writes to wait for at shutdown; 0 while the service is down."""
        return 0 if self._group.failing else self._group.pending

    async def write(
        self, key: str, expected: ids.Revision, claim: ledger.Claim
    ) -> group_commit.Result:
        """Writes a claim that a caller waits for.

        Raises:
            errors.KvUnavailableError: it was not written and never will be.
            errors.KvAnswerLostError: it may have been, or still may be.
        """
        write = group_commit.KeyWrite(key, expected, codec.encode(claim))
        decided = asyncio.Event()
        results: list[group_commit.Result] = []

        def take(result: group_commit.Result) -> None:
            results.append(result)
            decided.set()

        self._add(write, take)
        try:
            async with asyncio.timeout(CLAIM_SECONDS):
                await decided.wait()
        except TimeoutError:
            # The result may have come in this very moment.
            if not results:
                self._give_up(write)
        finally:
            if self._listener_by_write.pop(write, None) is not None:
                self._group.withdraw(write)
        return results[0]

    def record(self, held: Held, done: ledger.Claim) -> None:
        """Replaces a claim by the one with its outcome, some time soon."""

        def take(result: group_commit.Result) -> None:
            # Another router that settled the attempt came first: it holds
            # the same outcome.
            if isinstance(result, group_commit.Conflict):
                self._metrics.count("ledger.record_conflict")

        write = group_commit.KeyWrite(
            held.key, held.revision, codec.encode(done), urgent=False
        )
        self._add_deferred(write, take)

    def void(
        self, key: str, claim: ledger.Claim, expected: ids.Revision
    ) -> None:
        """Makes sure, some time soon, that a claim is never met as open.

        Writes its tombstone: creates it, or replaces this claim itself or
        what it was to replace, never another's.

        Args:
            key: its key in the key-value service.
            claim: the claim; its attempt was never dispatched, or is known
                not to have run.
            expected: revision that the claim was written over, or its own.
        """
        self._void_at(key, claim, expected, expected)

    async def sweep(self, rng: random.Random) -> None:
        """Removes claims past their retention, a small part at a time."""
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
        """Removes the claims past retention whose digest starts so.

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
        """Ends everything at once."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _give_up(self, write: group_commit.KeyWrite) -> NoReturn:
        self._listener_by_write.pop(write, None)
        if self._group.withdraw(write):
            raise errors.KvAnswerLostError("no answer to the claim in time")
        raise errors.KvUnavailableError("the claim could not be written")

    def _void_at(
        self,
        key: str,
        claim: ledger.Claim,
        expected: ids.Revision,
        replaceable: ids.Revision,
    ) -> None:
        tombstone = codec.encode(ledger.void_claim(claim))

        def take(result: group_commit.Result) -> None:
            match result:
                case group_commit.Conflict(None):
                    self._void_at(key, claim, kv.NEVER_WRITTEN, replaceable)
                case group_commit.Conflict(found) if found is not None:
                    if self._may_void(found, claim, replaceable):
                        at = found.mod_revision
                        self._void_at(key, claim, at, replaceable)

        write = group_commit.KeyWrite(key, expected, tombstone, urgent=False)
        self._add_deferred(write, take)

    def _may_void(
        self,
        found: kv.KeyValue,
        claim: ledger.Claim,
        replaceable: ids.Revision,
    ) -> bool:
        if found.mod_revision == replaceable:
            return True
        other = to_held(found).claim
        open_ = other.state is states.ClaimState.CLAIMED
        return open_ and other.same_attempt(claim)

    def _add(self, write: group_commit.KeyWrite, take: OnResult) -> None:
        self._listener_by_write[write] = take
        self._group.add(write)
        self._added.set()
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._run())

    def _add_deferred(
        self, write: group_commit.KeyWrite, take: OnResult
    ) -> None:
        if self._group.deferred >= MAX_DEFERRED:
            self._metrics.count("ledger.deferred_dropped")
            return
        self._add(write, take)

    async def _run(self) -> None:
        while self._group.pending:
            self._added.clear()
            self._group.set_rate(self._clock.now(), self._find_pace())
            due = self._group.next_start(self._clock.now())
            assert due is not None
            wait = due - self._clock.now()
            if wait > 0:
                await self._wait_or_added(wait)
                continue
            batch = self._group.start(self._clock.now())
            assert batch is not None
            await self._execute(batch)

    def _find_pace(self) -> float:
        part = FLEET_STARTS_PER_SECOND / max(1, self._count_routers())
        return min(self._starts_per_second, part)

    async def _wait_or_added(self, seconds: float) -> None:
        # A full batch starts before the pace allows the next.
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
            async with asyncio.timeout(TRANSACTION_SECONDS):
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
            take = self._listener_by_write.pop(settled.write, None)
            if take is not None:
                take(settled.result)

    def _fail(self, name: str, *, maybe_written: bool) -> None:
        self._metrics.count(name)
        self._group.fail(self._clock.now(), maybe_written=maybe_written)


def to_held(entry: kv.KeyValue) -> Held:
    """Returns the claim that an entry holds.

    Raises:
        errors.MalformedMessageError: it holds none.
    """
    claim = codec.decode_as(entry.value, ledger.Claim)
    return Held(entry.key, claim, entry.mod_revision)


def _retention_write(entry: kv.KeyValue, now: float) -> kv.Write | None:
    claim = codec.decode_as(entry.value, ledger.Claim)
    match ledger.check_retention(claim, now):
        case ledger.Keep():
            return None
        case ledger.Drop():
            return kv.Delete(entry.key)
        case ledger.Shrink(smaller):
            return kv.Put(entry.key, codec.encode(smaller))
