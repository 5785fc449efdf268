"""A stand-in for the platform's store that implements its HTTP API."""

import asyncio
import base64
import json
from urllib import parse

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from tests.gateway import restorable_kv
from tests.gateway import stand_ins

SILENCE_SECONDS = 60.0
"""Longer than any client waits for a response."""


def _encode_entry(entry):
    return {
        "key": entry.key,
        "value": base64.b64encode(entry.value).decode(),
        "revision": entry.mod_revision,
        "created_rev": entry.mod_revision,
        "lease": entry.lease,
    }


class StoreStandIn:
    """Serves the store's HTTP API from an in-memory key-value store.

    Attributes:
        memory: the stored entries.
        fault: None, or a function from a request to the bytes that are sent
            in place of the response; b"" sends no response, None sends the
            usual one.
        writer_fault: None, or a coroutine function that is called with the
            connection's writer in place of a response.
        silent: whether responses are withheld, also those to calls that are
            waiting; a call that arrives meanwhile has no effect.
        silent_watches: whether just the responses to watches are withheld.
        page_size: largest number of items in one page of a listing.
        sent_values: the values of all items that were sent, in order.
        era: number of the store's era, sent with each response; None sends
            none, as a store does that never came back from a copy.
        away: whether all connections are reset.
        losing_answers: whether calls other than watches are executed, and
            their connections reset without a response.
        draw_delay: None, or a function that returns for how many seconds the
            next call other than a watch waits before it is executed.
    """

    def __init__(self):
        self.memory = restorable_kv.RestorableKv()
        self.era = None
        self.away = False
        self.losing_answers = False
        self.draw_delay = None
        self._watch_writers = set()
        self.fault = None
        self.writer_fault = None
        self.silent = False
        self.silent_watches = False
        self._watch_arrived = asyncio.Event()
        self.page_size = 500
        self.sent_values = []
        self.server = stand_ins.ScriptedServer(self._respond, keep_alive=True)

    async def start(self):
        await self.server.start()
        return self

    async def drill(self, taken, away_seconds):
        """Is away for a while, and comes back from a copy in the next era.

        Args:
            taken: the copy, from memory.take_copy().
            away_seconds: how long no call is answered.
        """
        self.away = True
        self.server.reset_connections()
        await asyncio.sleep(away_seconds)
        self.memory.restore_copy(taken)
        self.era = (self.era or 0) + 1
        self.away = False

    def format_refusal(self, status):
        """Returns a response without a body, for use in a fault."""
        return b"HTTP/1.1 %d X\r\n%bcontent-length: 0\r\n\r\n" % (
            status,
            self._era_header(),
        )

    def _era_header(self):
        return b"" if self.era is None else b"store-era: %d\r\n" % self.era

    def cut_watches(self):
        """Resets the connections of all watches that wait."""
        for writer in list(self._watch_writers):
            stand_ins.reset_connection(writer)

    async def wait_for_watch(self):
        """Waits until the next watch call arrives."""
        self._watch_arrived.clear()
        await self._watch_arrived.wait()

    async def _respond(self, request, writer, number):
        method, target, _ = request.head.split(" ")
        url = parse.urlsplit(target)
        query = dict(parse.parse_qsl(url.query, keep_blank_values=True))
        if self.away:
            stand_ins.reset_connection(writer)
            return
        if self.writer_fault is not None:
            await self.writer_fault(writer)
            return
        if self.fault is not None:
            raw = self.fault(request)
            if raw is not None:
                writer.write(raw)
                if not raw:
                    await asyncio.sleep(SILENCE_SECONDS)
                return
        body = json.loads(request.body) if request.body else {}
        if self.silent:
            await asyncio.sleep(SILENCE_SECONDS)
        is_watch = url.path.endswith("/kv-watch")
        if self.draw_delay is not None and not is_watch:
            await asyncio.sleep(self.draw_delay())
        if is_watch:
            self._watch_writers.add(writer)
        try:
            status, response = await self._dispatch(
                method, url.path, query, body
            )
        finally:
            self._watch_writers.discard(writer)
        if self.away or (self.losing_answers and not is_watch):
            stand_ins.reset_connection(writer)
            return
        if self.silent or (is_watch and self.silent_watches):
            await asyncio.sleep(SILENCE_SECONDS)
        raw = json.dumps(response).encode()
        writer.write(
            b"HTTP/1.1 %d X\r\n%bcontent-length: %d\r\n\r\n%b"
            % (status, self._era_header(), len(raw), raw)
        )

    def _encode(self, entry):
        self.sent_values.append(entry.value)
        return _encode_entry(entry)

    async def _dispatch(self, method, path, query, body):
        match path.split("/")[2:]:
            case ["kv-key"]:
                entry = await self.memory.get(query["key"])
                if entry is None:
                    return 404, {}
                return 200, self._encode(entry)
            case ["kv-range"]:
                snapshot = await self.memory.snapshot(query["prefix"])
                rest = [
                    entry
                    for entry in snapshot.entries
                    if entry.key > query.get("after", "")
                ]
                return 200, {
                    "items": [
                        self._encode(entry) for entry in rest[: self.page_size]
                    ],
                    "more_pages": len(rest) > self.page_size,
                    "store_revision": snapshot.revision,
                }
            case ["kv-watch"]:
                return await self._watch(query)
            case ["kv-txn"]:
                return await self._txn(body)
            case ["kv-lease"]:
                lease = await self.memory.grant(body["ttl_ms"] / 1000)
                return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
            case ["kv-keep", lease]:
                ttl = await self.memory.keep_alive(ids.LeaseId(int(lease)))
                if not ttl:
                    return 404, {}
                return 200, {"ttl_ms": ttl * 1000}
            case ["kv-lease-end", lease]:
                await self.memory.revoke(ids.LeaseId(int(lease)))
                return 200, {}
        return 400, {"error": path}

    async def _watch(self, query):
        self._watch_arrived.set()
        after = int(query["after"])
        watch = self.memory.watch(
            query["prefix"], prefix=True, start=ids.Revision(after + 1)
        )
        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                batch = await anext(watch)
        except TimeoutError:
            batch = []
        except errors.KvCompactedError:
            return 410, {}
        events = [
            {
                "key": event.entry.key,
                "revision": event.entry.mod_revision,
                "removed": True,
            }
            if event.kind is kv.WatchKind.DELETE
            else self._encode(event.entry)
            for event in batch
        ]
        revision = (await self.memory.snapshot("")).revision
        return 200, {"events": events, "store_revision": revision}

    async def _txn(self, body):
        compares = [
            kv.Compare(row["key"], ids.Revision(row["revision"]))
            for row in body["expected"]
        ]
        writes = [
            kv.Put(
                row["key"],
                base64.b64decode(row["value"]),
                ids.LeaseId(row.get("lease", 0)),
            )
            for row in body["puts"]
        ]
        writes += [kv.Delete(key) for key in body["remove"]]
        gets = [kv.Get(compare.key) for compare in compares]
        try:
            result = await self.memory.txn(compares, writes, gets)
        except errors.KvUnavailableError:
            return 404, {}
        if result.succeeded:
            return 200, {"revision": result.revision}
        items = [
            self._encode(entry) for found in result.found for entry in found
        ]
        return 412, {"items": items}
