"""An in-memory key-value service that comes back from an older copy."""

import copy
import dataclasses

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """The content of a store at a revision, with its leases."""

    revision: ids.Revision
    entry_by_key: dict[str, kv.KeyValue]
    created_by_key: dict[str, int]
    lease_by_id: dict[ids.LeaseId, object]
    next_lease: int


class RestorableKv(kv.MemoryKv):
    """In-memory fake whose revisions and leases go back in a restore.

    Revisions and leases that were assigned after the copy was taken are
    assigned again.

    Attributes:
        first_revision: oldest revision that a watch can start after.
    """

    def __init__(self):
        super().__init__()
        self.first_revision = ids.Revision(0)

    def take_copy(self):
        """Returns a copy that the store can be restored from."""
        self._expire()
        return StoreCopy(
            self._revision,
            dict(self._entry_by_key),
            dict(self._created_by_key),
            copy.deepcopy(self._lease_by_id),
            self._next_lease,
        )

    def restore_copy(self, taken):
        """Replaces all content by that of a copy, and drops the history."""
        self._revision = self.first_revision = taken.revision
        self._entry_by_key = dict(taken.entry_by_key)
        self._created_by_key = dict(taken.created_by_key)
        self._lease_by_id = copy.deepcopy(taken.lease_by_id)
        self._next_lease = taken.next_lease
        for lease in self._lease_by_id.values():
            lease.deadline = self._now() + lease.ttl
        self._history.clear()
        self._notify()

    def drop_history(self):
        """Drops the history, so that watches that lag have to start anew."""
        self.first_revision = self._revision
        self._history.clear()

    async def watch(self, key, *, prefix=False, start):
        """Yields changes from a revision on.

        Raises:
            errors.KvCompactedError: the store has no history from there on.
        """
        if not self.first_revision < start <= self._revision + 1:
            raise errors.KvCompactedError("no such history")
        async for batch in super().watch(key, prefix=prefix, start=start):
            yield batch
