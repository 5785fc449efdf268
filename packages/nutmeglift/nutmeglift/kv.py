"""Interface to the platform's key-value service, with an in-memory fake."""

import abc
import asyncio
from collections.abc import AsyncIterator
import dataclasses
import enum

from nutmeglift import errors
from nutmeglift import ids

NEVER_WRITTEN = ids.Revision(0)
"""Modification revision of a key that does not exist."""


@dataclasses.dataclass(frozen=True)
class KeyValue:
    """A stored key with its value.

    Attributes:
        key: the key.
        value: the value, at most one megabyte.
        mod_revision: revision of the last write.
        lease: lease to which the key is attached, or 0.
    """

    key: str
    value: bytes
    mod_revision: ids.Revision
    lease: ids.LeaseId = ids.LeaseId(0)


@dataclasses.dataclass(frozen=True)
class Compare:
    """A transaction's condition on the revision of a key's last write.

    Attributes:
        key: the key.
        mod_revision: expected revision; NEVER_WRITTEN for an absent key.
    """

    key: str
    mod_revision: ids.Revision


@dataclasses.dataclass(frozen=True)
class Put:
    """Writes a key."""

    key: str
    value: bytes
    lease: ids.LeaseId = ids.LeaseId(0)


@dataclasses.dataclass(frozen=True)
class Delete:
    """Deletes a key, or every key with a prefix."""

    key: str
    prefix: bool = False


@dataclasses.dataclass(frozen=True)
class Get:
    """Reads a key, or every key with a prefix.

    Attributes:
        key: the key or prefix.
        prefix: whether to read all keys that start with `key`.
        limit: maximum number of keys to return; 0 for all.
        newest_first: whether to order by creation, newest first, instead of
            by key.
        keys_only: whether to omit the values.
    """

    key: str
    prefix: bool = False
    limit: int = 0
    newest_first: bool = False
    keys_only: bool = False


Write = Put | Delete


@dataclasses.dataclass(frozen=True)
class TxnResult:
    """Result of a transaction.

    Attributes:
        succeeded: whether all conditions held and the writes were applied.
        revision: revision of the service after the transaction.
        found: results of the reads of the failure branch, one list each.
    """

    succeeded: bool
    revision: ids.Revision
    found: list[list[KeyValue]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """All keys with a prefix, at a revision after which a watch can start."""

    entries: list[KeyValue]
    revision: ids.Revision


class WatchKind(enum.Enum):
    """Kind of a change of a watched key."""

    PUT = "put"
    DELETE = "delete"


@dataclasses.dataclass(frozen=True)
class WatchEvent:
    """One change of a watched key.

    Attributes:
        kind: kind of the change.
        entry: the key as written; a deleted key has the revision of its
            deletion.
    """

    kind: WatchKind
    entry: KeyValue


class BaseKv(abc.ABC):
    """Client of the key-value service.

    Every method raises errors.KvUnavailableError when the request was
    certainly not executed, and errors.KvAnswerLostError when it may have been.

    Attributes:
        calls: number of calls made; a waiting watch counts as one.
    """

    def __init__(self) -> None:
        self.calls = 0

    @abc.abstractmethod
    async def range(self, get: Get) -> list[KeyValue]:
        """Reads one key or a prefix."""

    @abc.abstractmethod
    async def txn(
        self,
        compares: list[Compare],
        writes: list[Write],
        otherwise: list[Get] | None = None,
    ) -> TxnResult:
        """Executes a transaction atomically.

        Args:
            compares: the conditions.
            writes: writes to apply when every condition holds.
            otherwise: reads to execute when a condition fails.
        """

    @abc.abstractmethod
    async def grant(self, ttl: float) -> ids.LeaseId:
        """Grants a lease that expires after ttl seconds unless renewed."""

    @abc.abstractmethod
    async def keep_alive(self, lease: ids.LeaseId) -> float:
        """Renews a lease.

        Returns:
            Seconds until the lease expires; 0 when it has expired.
        """

    @abc.abstractmethod
    async def revoke(self, lease: ids.LeaseId) -> None:
        """Revokes a lease and deletes the keys attached to it."""

    @abc.abstractmethod
    def watch(
        self, key: str, *, prefix: bool = False, start: ids.Revision
    ) -> AsyncIterator[list[WatchEvent]]:
        """Yields changes from a revision on, until the watch fails."""

    @abc.abstractmethod
    async def snapshot(self, prefix: str) -> Snapshot:
        """Reads all keys with a prefix, and the revision of the read."""

    async def get(self, key: str) -> KeyValue | None:
        """Reads one key; None when it does not exist."""
        found = await self.range(Get(key))
        return found[0] if found else None


@dataclasses.dataclass
class _Lease:
    ttl: float
    deadline: float


class MemoryKv(BaseKv):
    """In-memory fake of the key-value service with fault injection.

    Attributes:
        down: whether every call fails as unavailable.
        delay: duration of every call in seconds.
        lose_answers: number of further transactions whose response is lost
            after the writes took effect.
        lose_requests: number of further transactions that are lost before
            they take effect, which the caller cannot distinguish.
        transactions: number of transactions executed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.down = False
        self.delay = 0.0
        self.lose_answers = 0
        self.lose_requests = 0
        self.transactions = 0
        self._revision = ids.Revision(1)
        self._entry_by_key: dict[str, KeyValue] = {}
        self._created_by_key: dict[str, int] = {}
        self._lease_by_id: dict[ids.LeaseId, _Lease] = {}
        self._history: list[tuple[ids.Revision, WatchEvent]] = []
        self._changed = asyncio.Event()
        self._next_lease = 1

    async def range(self, get: Get) -> list[KeyValue]:
        """Reads one key or a prefix."""
        await self._enter()
        return self._read(get)

    async def txn(
        self,
        compares: list[Compare],
        writes: list[Write],
        otherwise: list[Get] | None = None,
    ) -> TxnResult:
        """Executes a transaction atomically."""
        await self._enter()
        if self.lose_requests > 0:
            self.lose_requests -= 1
            raise errors.KvAnswerLostError("the response was lost")
        result = self._execute(compares, writes, otherwise or [])
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise errors.KvAnswerLostError("the response was lost")
        return result

    async def grant(self, ttl: float) -> ids.LeaseId:
        """Grants a lease."""
        await self._enter()
        lease = ids.LeaseId(self._next_lease)
        self._next_lease += 1
        self._lease_by_id[lease] = _Lease(ttl, self._now() + ttl)
        return lease

    async def keep_alive(self, lease: ids.LeaseId) -> float:
        """Renews a lease."""
        await self._enter()
        found = self._lease_by_id.get(lease)
        if found is None:
            return 0.0
        found.deadline = self._now() + found.ttl
        return found.ttl

    async def revoke(self, lease: ids.LeaseId) -> None:
        """Revokes a lease."""
        await self._enter()
        self._end_lease(lease)

    async def watch(
        self, key: str, *, prefix: bool = False, start: ids.Revision
    ) -> AsyncIterator[list[WatchEvent]]:
        """Yields changes from a revision on."""
        await self._enter()
        position = start
        while True:
            changed = self._changed
            self._check_up()
            batch = [
                event
                for revision, event in self._history
                if revision >= position
                and _matches(event.entry.key, key, prefix)
            ]
            position = ids.Revision(self._revision + 1)
            if batch:
                yield batch
                continue
            await changed.wait()

    async def snapshot(self, prefix: str) -> Snapshot:
        """Reads all keys with a prefix."""
        await self._enter()
        return Snapshot(self._read(Get(prefix, True)), self._revision)

    def set_down(self, down: bool) -> None:
        """Starts or ends an outage; an outage fails the waiting watches."""
        self.down = down
        self._notify()

    def restore(self, entries: dict[str, bytes]) -> None:
        """Replaces all content, like a restore from an old backup."""
        self._revision = ids.Revision(self._revision + 1)
        self._entry_by_key = {
            key: KeyValue(key, value, self._revision)
            for key, value in entries.items()
        }
        self._history.clear()
        self._notify()

    def dump(self) -> dict[str, bytes]:
        """Returns a copy of all content."""
        self._expire()
        return {key: e.value for key, e in self._entry_by_key.items()}

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _check_up(self) -> None:
        if self.down:
            raise errors.KvUnavailableError("the key-value service is down")

    async def _enter(self) -> None:
        self.calls += 1
        self._check_up()
        if self.delay:
            await asyncio.sleep(self.delay)
            self._check_up()
        self._expire()

    def _expire(self) -> None:
        now = self._now()
        expired = [
            lease
            for lease, found in self._lease_by_id.items()
            if found.deadline <= now
        ]
        for lease in expired:
            self._end_lease(lease)

    def _end_lease(self, lease: ids.LeaseId) -> None:
        if self._lease_by_id.pop(lease, None) is None:
            return
        keys = [k for k, e in self._entry_by_key.items() if e.lease == lease]
        if keys:
            self._commit([Delete(key) for key in keys])

    def _read(self, get: Get) -> list[KeyValue]:
        found = [
            entry
            for key, entry in self._entry_by_key.items()
            if _matches(key, get.key, get.prefix)
        ]
        if get.newest_first:
            found.sort(key=lambda e: -self._created_by_key.get(e.key, 0))
        else:
            found.sort(key=lambda e: e.key)
        if get.keys_only:
            found = [dataclasses.replace(e, value=b"") for e in found]
        return found[: get.limit] if get.limit else found

    def _execute(
        self, compares: list[Compare], writes: list[Write], gets: list[Get]
    ) -> TxnResult:
        self.transactions += 1
        for compare in compares:
            entry = self._entry_by_key.get(compare.key)
            actual = entry.mod_revision if entry else NEVER_WRITTEN
            if actual != compare.mod_revision:
                found = [self._read(get) for get in gets]
                return TxnResult(False, self._revision, found)
        for write in writes:
            if isinstance(write, Put) and write.lease:
                self._check_lease(write.lease)
        if writes:
            self._commit(writes)
        return TxnResult(True, self._revision)

    def _check_lease(self, lease: ids.LeaseId) -> None:
        if lease not in self._lease_by_id:
            raise errors.KvUnavailableError(f"lease {lease} does not exist")

    def _commit(self, writes: list[Write]) -> None:
        self._revision = ids.Revision(self._revision + 1)
        for write in writes:
            match write:
                case Put(key, value, lease):
                    entry = KeyValue(key, value, self._revision, lease)
                    if key not in self._entry_by_key:
                        self._created_by_key[key] = self._revision
                    self._entry_by_key[key] = entry
                    self._record(WatchEvent(WatchKind.PUT, entry))
                case Delete(key, prefix):
                    for gone in self._read(Get(key, prefix)):
                        del self._entry_by_key[gone.key]
                        entry = dataclasses.replace(
                            gone, mod_revision=self._revision
                        )
                        self._record(WatchEvent(WatchKind.DELETE, entry))
        self._notify()

    def _record(self, event: WatchEvent) -> None:
        self._history.append((self._revision, event))

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


def _matches(key: str, wanted: str, prefix: bool) -> bool:
    return key.startswith(wanted) if prefix else key == wanted
