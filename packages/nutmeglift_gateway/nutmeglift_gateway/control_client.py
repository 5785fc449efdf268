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


MIN_PROGRESS_BYTES = 16 * 1024
"""A response of which fewer bytes arrive within its time limit has stalled. Any
link that can serve callers carries many times as much in a second."""


async def exchange(
    connection: http_call.Connection,
    method: str,
    request: bytes,
    timeout: float,
    max_body_bytes: int = body_buffer.MAX_TOTAL_BYTES,
    max_seconds: float = 0.0,
) -> http_call.Response:
    """Sends a request and returns the complete response.

    A large response may take longer than its time limit on a slow link. It is
    read on as long as MIN_PROGRESS_BYTES arrive within each time limit.

    Args:
        connection: open connection.
        method: HTTP method.
        request: encoded request.
        timeout: time limit for the complete response, or for progress, in
            seconds.
        max_body_bytes: limit on the body.
        max_seconds: time limit for a response that makes progress.

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
        await _wait_for_response(
            connection, collector.done, timeout, max_seconds
        )
    except asyncio.CancelledError:
        connection.abort()
        raise
    if collector.done.done():
        return collector.done.result()
    connection.abort()
    raise http_call.CallError(
        http_call.CallFailure.TIMEOUT,
        True,
        f"no response within {timeout:.2f} s, "
        f"received {connection.received_bytes} bytes",
    )


async def _wait_for_response(
    connection: http_call.Connection,
    done: "asyncio.Future[http_call.Response]",
    timeout: float,
    max_seconds: float,
) -> None:
    """Waits until the response is complete, stalls or takes too long."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + max(timeout, max_seconds)
    while True:
        received_before = connection.received_bytes
        await asyncio.wait({done}, timeout=min(timeout, ends_at - loop.time()))
        progress = connection.received_bytes - received_before
        if (
            done.done()
            or progress < MIN_PROGRESS_BYTES
            or loop.time() >= ends_at
        ):
            return


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
        max_seconds: float = 0.0,
    ) -> http_call.Response:
        """Makes one call; see `exchange`.

        Raises:
            http_call.CallError: no complete response was received.
        """
        connection = await self._get_connection(timeout)
        headers = [(b"host", self._address.encode())]
        if body:
            headers.append((b"content-type", b"application/json"))
        request = http_call.format_request(method, target, headers, body)
        response = await exchange(
            connection, method, request, timeout, max_seconds=max_seconds
        )
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
