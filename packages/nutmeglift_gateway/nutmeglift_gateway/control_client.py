"""HTTP client for control calls; buffers responses and reuses connections."""

import asyncio

from nutmeglift_gateway import body_buffer
from nutmeglift_gateway import http_call


class _Collector(http_call.BaseReceiver):
    """Buffers a complete response."""

    def __init__(self) -> None:
        self.done: asyncio.Future[http_call.Response] = (
            asyncio.get_running_loop().create_future()
        )
        self._head: http_call.Head | None = None

    def on_head(self, head: http_call.Head) -> bool:
        self._head = head
        return True

    def on_body(self, data: bytes) -> None:
        raise NotImplementedError

    def on_complete(self, body: bytes) -> None:
        assert self._head is not None
        if not self.done.done():
            self.done.set_result(http_call.Response(self._head, body))

    def on_failure(self, error: http_call.CallError) -> None:
        if not self.done.done():
            self.done.set_exception(error)


async def exchange(
    connection: http_call.Connection,
    method: str,
    request: bytes,
    timeout: float,
    max_body_bytes: int = body_buffer.MAX_TOTAL_BYTES,
) -> http_call.Response:
    """Sends a request and returns the complete response.

    Args:
        connection: open connection.
        method: HTTP method.
        request: encoded request.
        timeout: longest wait for the complete response, in seconds.
        max_body_bytes: limit on the body.

    Raises:
        http_call.CallError: no complete response was received; the connection
            is closed.
    """
    collector = _Collector()
    connection.send(
        request,
        collector,
        head_only=method == "HEAD",
        max_body_bytes=max_body_bytes,
    )
    try:
        async with asyncio.timeout(timeout):
            return await collector.done
    except TimeoutError as error:
        connection.abort()
        raise http_call.CallError(
            http_call.CallFailure.TIMEOUT,
            True,
            f"no response within {timeout:.2f} s",
        ) from error
    except asyncio.CancelledError:
        connection.abort()
        raise


class ControlClient:
    """Makes control calls to one server over reusable connections."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._idle: list[http_call.Connection] = []

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout: float,
    ) -> http_call.Response:
        """Makes one call.

        Raises:
            http_call.CallError: no complete response was received.
        """
        connection = await self._get_connection(timeout)
        headers = [(b"host", self._address.encode())]
        if body:
            headers.append((b"content-type", b"application/json"))
        request = http_call.format_request(method, target, headers, body)
        response = await exchange(connection, method, request, timeout)
        if connection.reusable:
            self._idle.append(connection)
        else:
            connection.close()
        return response

    def close(self) -> None:
        """Closes idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _get_connection(self, timeout: float) -> http_call.Connection:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
        return await http_call.connect(self._address, min(timeout, 1.0))
