"""Fake key-value service that speaks etcd's v3 JSON gateway format."""

import base64
from collections.abc import AsyncIterator
import json
from typing import Any

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv


class KvServer:
    """ASGI application that serves an in-memory key-value store."""

    def __init__(self, store: kv.MemoryKv) -> None:
        self._store = store
        routes = [
            routing.Route(path, endpoint, methods=["POST"])
            for path, endpoint in (
                ("/v3/kv/range", self._range),
                ("/v3/kv/txn", self._txn),
                ("/v3/lease/grant", self._grant),
                ("/v3/lease/keepalive", self._keep_alive),
                ("/v3/lease/revoke", self._revoke),
                ("/v3/watch", self._watch),
            )
        ]
        self.app = applications.Starlette(
            routes=routes,
            exception_handlers={errors.NutmegError: _answer_failure},
        )

    async def _range(self, request: requests.Request) -> responses.Response:
        found = await self._store.range(_parse_get(await request.json()))
        return _answer(kvs=[_encode_entry(entry) for entry in found])

    async def _txn(self, request: requests.Request) -> responses.Response:
        body = await request.json()
        result = await self._store.txn(
            [_parse_compare(item) for item in body.get("compare", [])],
            [_parse_write(item) for item in body.get("success", [])],
            [
                _parse_get(item["request_range"])
                for item in body.get("failure", [])
            ],
        )
        found = [
            {
                "response_range": {
                    "kvs": [_encode_entry(entry) for entry in entries]
                }
            }
            for entries in result.found
        ]
        return _answer(
            result.revision, succeeded=result.succeeded, responses=found
        )

    async def _grant(self, request: requests.Request) -> responses.Response:
        ttl = (await request.json())["TTL"]
        lease = await self._store.grant(float(ttl))
        return _answer(ID=str(lease), TTL=ttl)

    async def _keep_alive(
        self, request: requests.Request
    ) -> responses.Response:
        lease = ids.LeaseId(int((await request.json())["ID"]))
        ttl = await self._store.keep_alive(lease)
        return _answer(result={"ID": str(lease), "TTL": str(int(ttl))})

    async def _revoke(self, request: requests.Request) -> responses.Response:
        lease = ids.LeaseId(int((await request.json())["ID"]))
        await self._store.revoke(lease)
        return _answer()

    async def _watch(self, request: requests.Request) -> responses.Response:
        wanted = (await request.json())["create_request"]
        key = _decode(wanted["key"]).decode()
        changes = self._store.watch(
            key,
            prefix="range_end" in wanted,
            start=ids.Revision(int(wanted.get("start_revision", 0))),
        )
        return responses.StreamingResponse(
            _watch_lines(changes), media_type="application/json"
        )


async def _watch_lines(
    changes: AsyncIterator[list[kv.WatchEvent]],
) -> AsyncIterator[bytes]:
    yield b'{"result":{"created":true}}\n'
    try:
        async for batch in changes:
            events = [
                {"type": event.kind.name, "kv": _encode_entry(event.entry)}
                for event in batch
            ]
            line = json.dumps({"result": {"events": events}})
            yield line.encode() + b"\n"
    except errors.PlatformError:
        return


def _decode(text: str) -> bytes:
    return base64.b64decode(text)


def _parse_get(body: dict[str, Any]) -> kv.Get:
    return kv.Get(
        _decode(body["key"]).decode(),
        "range_end" in body,
        int(body.get("limit", 0)),
        body.get("sort_order") == "DESCEND",
        bool(body.get("keys_only", False)),
    )


def _parse_compare(body: dict[str, Any]) -> kv.Compare:
    return kv.Compare(
        _decode(body["key"]).decode(), ids.Revision(int(body["mod_revision"]))
    )


def _parse_write(body: dict[str, Any]) -> kv.Write:
    if "request_put" in body:
        put = body["request_put"]
        return kv.Put(
            _decode(put["key"]).decode(),
            _decode(put["value"]),
            ids.LeaseId(int(put.get("lease", 0))),
        )
    delete = body["request_delete_range"]
    return kv.Delete(_decode(delete["key"]).decode(), "range_end" in delete)


def _encode_entry(entry: kv.KeyValue) -> dict[str, str]:
    return {
        "key": base64.b64encode(entry.key.encode()).decode(),
        "value": base64.b64encode(entry.value).decode(),
        "mod_revision": str(entry.mod_revision),
        "lease": str(entry.lease),
    }


def _answer(revision: int = 0, **fields: Any) -> responses.Response:
    header = {"revision": str(revision)}
    return responses.JSONResponse({"header": header, **fields})


async def _answer_failure(
    request: requests.Request, error: Exception
) -> responses.Response:
    return responses.PlainTextResponse(str(error), status_code=503)
