"""Client of the key-value service over etcd's v3 JSON gateway."""

import base64
from collections.abc import AsyncIterator
import json
from typing import Any

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_wire import http_client

MAX_POOLED_CONNECTIONS = 32
HTTP_OK = 200


def _encode_text(value: str) -> str:
    return base64.b64encode(value.encode()).decode()


def _encode_bytes(value: bytes) -> str:
    return base64.b64encode(value).decode()


def prefix_end(prefix: str) -> bytes:
    """Returns the first key after all keys with a prefix (exclusive end)."""
    raw = prefix.encode()
    if not raw:
        return b"\0"
    return raw[:-1] + bytes([raw[-1] + 1])


def _key_range(key: str, prefix: bool) -> dict[str, Any]:
    body = {"key": _encode_text(key)}
    if prefix:
        body["range_end"] = _encode_bytes(prefix_end(key))
    return body


def _range_body(get: kv.Get) -> dict[str, Any]:
    body = _key_range(get.key, get.prefix)
    if get.limit:
        body["limit"] = str(get.limit)
    if get.newest_first:
        body["sort_order"] = "DESCEND"
        body["sort_target"] = "CREATE"
    if get.keys_only:
        body["keys_only"] = True
    return body


def _compare_body(compare: kv.Compare) -> dict[str, Any]:
    return {
        "key": _encode_text(compare.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(compare.mod_revision),
    }


def _write_body(write: kv.Write) -> dict[str, Any]:
    match write:
        case kv.Put(key, value, lease):
            put = {"key": _encode_text(key), "value": _encode_bytes(value)}
            if lease:
                put["lease"] = str(lease)
            return {"request_put": put}
        case kv.Delete(key, prefix):
            return {"request_delete_range": _key_range(key, prefix)}


def _parse_entry(found: dict[str, Any]) -> kv.KeyValue:
    return kv.KeyValue(
        base64.b64decode(found["key"]).decode(),
        base64.b64decode(found.get("value", "")),
        ids.Revision(int(found.get("mod_revision", 0))),
        ids.LeaseId(int(found.get("lease", 0))),
    )


def _parse_entries(answer: dict[str, Any]) -> list[kv.KeyValue]:
    return [_parse_entry(found) for found in answer.get("kvs", [])]


class EtcdKv(kv.BaseKv):
    """Key-value client for etcd's JSON gateway."""

    def __init__(self, address: str, timeout: float) -> None:
        super().__init__()
        self._address = address
        self._timeout = timeout
        self._client = http_client.make(MAX_POOLED_CONNECTIONS)

    async def range(self, get: kv.Get) -> list[kv.KeyValue]:
        """Reads one key or all keys with a prefix."""
        return _parse_entries(
            await self._post("/v3/kv/range", _range_body(get))
        )

    async def txn(
        self,
        compares: list[kv.Compare],
        writes: list[kv.Write],
        otherwise: list[kv.Get] | None = None,
    ) -> kv.TxnResult:
        """Applies all writes atomically if all compares succeed.

        Otherwise returns the results of the `otherwise` reads.
        """
        body = {
            "compare": [_compare_body(compare) for compare in compares],
            "success": [_write_body(write) for write in writes],
            "failure": [
                {"request_range": _range_body(get)} for get in otherwise or []
            ],
        }
        answer = await self._post("/v3/kv/txn", body)
        succeeded = bool(answer.get("succeeded", False))
        found = [
            _parse_entries(response.get("response_range", {}))
            for response in answer.get("responses", [])
        ]
        revision = ids.Revision(int(answer["header"]["revision"]))
        return kv.TxnResult(succeeded, revision, [] if succeeded else found)

    async def grant(self, ttl: float) -> ids.LeaseId:
        """Grants a lease; rounds its TTL up to whole seconds, at least 1."""
        body = {"TTL": str(max(1, -int(-ttl // 1))), "ID": "0"}
        answer = await self._post("/v3/lease/grant", body)
        return ids.LeaseId(int(answer["ID"]))

    async def keep_alive(self, lease: ids.LeaseId) -> float:
        """Renews a lease; returns its remaining seconds, 0 if it expired."""
        answer = await self._post("/v3/lease/keepalive", {"ID": str(lease)})
        result = answer.get("result", answer)
        return float(result.get("TTL", 0))

    async def revoke(self, lease: ids.LeaseId) -> None:
        """Revokes a lease."""
        await self._post("/v3/lease/revoke", {"ID": str(lease)})

    async def watch(
        self, key: str, *, prefix: bool = False, start: ids.Revision
    ) -> AsyncIterator[list[kv.WatchEvent]]:
        """Yields changes from a revision on, until the connection closes."""
        self.calls += 1
        request = _key_range(key, prefix) | {"start_revision": str(start)}
        client = http_client.make(1, streams=True)
        try:
            response = await client.post(
                f"http://{self._address}/v3/watch",
                json={"create_request": request},
                timeouts=http_client.make_timeouts(None),
            )
            pending = b""
            async for part in response.read_chunks():
                *lines, pending = (pending + part).split(b"\n")
                if len(pending) > http_client.MAX_BODY_BYTES:
                    raise errors.KvUnavailableError(
                        "a change in the watch stream is too large"
                    )
                for line in lines:
                    events = _parse_events(line)
                    if events:
                        yield events
        except http_client.ERRORS as error:
            raise errors.KvUnavailableError(repr(error)) from error
        finally:
            await client.aclose()
        raise errors.KvUnavailableError("the watch stream ended")

    async def snapshot(self, prefix: str) -> kv.Snapshot:
        """Reads all keys with a prefix."""
        body = _range_body(kv.Get(prefix, True))
        answer = await self._post("/v3/kv/range", body)
        revision = ids.Revision(int(answer["header"]["revision"]))
        return kv.Snapshot(_parse_entries(answer), revision)

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.aclose()

    async def _post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        self.calls += 1
        try:
            response = await self._client.post(
                f"http://{self._address}{path}",
                json=body,
                timeouts=http_client.make_timeouts(self._timeout),
            )
            text = await response.content()
        except http_client.NOT_SENT_ERRORS as error:
            raise errors.KvUnavailableError(repr(error)) from error
        except http_client.ERRORS as error:
            raise errors.KvAnswerLostError(repr(error)) from error
        if response.status_code != HTTP_OK:
            # The gateway also returns an error when a write timed out and may
            # have been applied.
            raise errors.KvAnswerLostError(f"HTTP {response.status_code}")
        try:
            answer: dict[str, Any] = json.loads(text)
        except ValueError as error:
            raise errors.KvAnswerLostError(
                "the response is not JSON"
            ) from error
        return answer


def _parse_events(line: bytes) -> list[kv.WatchEvent]:
    if not line.strip():
        return []
    result = json.loads(line).get("result", {})
    return [
        kv.WatchEvent(
            kv.WatchKind.DELETE
            if event.get("type") == "DELETE"
            else kv.WatchKind.PUT,
            _parse_entry(event["kv"]),
        )
        for event in result.get("events", [])
    ]
