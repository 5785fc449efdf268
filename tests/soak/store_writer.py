"""Writes to the store as the operator and the servers do."""

import asyncio

from nutmeglift import kv

POLL_SECONDS = 0.01


class StoreWriter:
    """Waits with writes while the store is away, and keeps what it wrote."""

    def __init__(self, store):
        self._store = store
        self._value_by_key = {}

    async def wait_until_present(self):
        while self._store.away:  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)

    async def txn(self, compares, writes):
        await self.wait_until_present()
        for write in writes:
            value = write.value if isinstance(write, kv.Put) else None
            self._value_by_key[write.key] = value
        return await self._store.memory.txn(compares, writes)

    def lost_keys(self):
        """Returns the keys whose last write is not in the store."""
        stored = self._store.memory.dump()
        return [
            key
            for key, value in self._value_by_key.items()
            if stored.get(key) != value
        ]

    async def write_again(self, key):
        """Writes what was last written at a key, unless the store has it."""
        await self.wait_until_present()
        if key not in self.lost_keys():
            return
        value = self._value_by_key[key]
        write = kv.Delete(key) if value is None else kv.Put(key, value)
        await self._store.memory.txn([], [write])
