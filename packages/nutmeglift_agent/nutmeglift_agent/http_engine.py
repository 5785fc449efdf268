"""Client of the model engine's HTTP interface."""

from typing import TypeVar

import msgspec

from nutmeglift import codec
from nutmeglift import control_messages
from nutmeglift import engine
from nutmeglift import errors
from nutmeglift import messages
from nutmeglift_wire import http_client

MAX_POOLED_CONNECTIONS = 8
HTTP_OK = 200
HTTP_CONFLICT = 409

S = TypeVar("S", bound=msgspec.Struct)


class HttpEngine(engine.BaseEngine):
    """Calls the engine over HTTP with CBOR bodies."""

    def __init__(self, address: str, timeout: float) -> None:
        self._address = address
        self._timeout = timeout
        self._client = http_client.make(MAX_POOLED_CONNECTIONS)

    async def step(
        self, items: tuple[engine.StepItem, ...]
    ) -> tuple[engine.StepResult, ...]:
        """Runs one batch of steps."""
        body = codec.encode(engine.StepRequest(items))
        response = await self._post("/v1/step", body)
        return codec.decode_as(response, engine.StepResponse).results

    async def release(self, sequence: str) -> None:
        """Cancels a sequence."""
        await self._post(f"/v1/release/{sequence}", b"")

    async def load(self) -> messages.LoadReport:
        """Returns the load that the engine published last."""
        response = await self._post("/v1/load", b"")
        return codec.decode_as(response, messages.LoadReport)

    async def cache_events(self, after: int) -> control_messages.CacheEvents:
        """Returns the cache events after a sequence number."""
        response = await self._post(f"/v1/cache-events/{after}", b"")
        return codec.decode_as(response, control_messages.CacheEvents)

    async def order(self, order: control_messages.Order) -> None:
        """Sends an order to the engine."""
        await self._post("/v1/order", codec.encode(order))

    async def export_cache(self, sequence: str) -> bytes:
        """Returns a sequence's KV cache."""
        return await self._post(f"/v1/cache/export/{sequence}", b"")

    async def import_cache(self, sequence: str, body: bytes) -> None:
        """Installs an exported KV cache."""
        await self._post(f"/v1/cache/import/{sequence}", body)

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.aclose()

    async def _post(self, path: str, body: bytes) -> bytes:
        try:
            response = await self._client.post(
                f"http://{self._address}{path}",
                data=body,
                headers={"content-type": "application/cbor"},
                timeouts=http_client.make_timeouts(self._timeout),
            )
            content = await response.content()
        except http_client.ERRORS as error:
            raise errors.StageFailedError(f"engine: {error!r}") from error
        if response.status_code == HTTP_CONFLICT:
            raise errors.StaleFencingNumberError(content.decode())
        if response.status_code != HTTP_OK:
            raise errors.StageFailedError(
                f"engine: HTTP {response.status_code}"
            )
        return bytes(content)
