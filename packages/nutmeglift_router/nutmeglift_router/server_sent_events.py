"""Writes responses as server-sent events.

Both the number of writes and the encoding work per token are kept low.
"""

from collections.abc import AsyncIterator

import msgspec
from starlette import types

from nutmeglift import errors
from nutmeglift_router import chat
from nutmeglift_router import error_responses
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import http_server

MIN_WRITE_INTERVAL_SECONDS = 0.04
"""Tokens that arrive sooner after a write are combined into the next one.
Applies only where writes go through the server's own send."""

_HEADERS = [
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-store"),
]
_encode_json = msgspec.json.encode
_DONE = b"data: [DONE]\n\n"


class ServerSentEventWriter:
    """Writes one response to its caller."""

    def __init__(
        self,
        stream: chat.Stream,
        model: str,
        clock: clocks.BaseClock,
        scope: types.Scope,
        send: types.Send,
    ) -> None:
        """Creates a writer.

        Args:
            stream: the response's stream.
            model: the route as given by the caller.
            clock: the clock.
            scope: the request's ASGI scope.
            send: the request's ASGI send function.
        """
        self._stream = stream
        self._clock = clock
        self._send = send
        self._writer = http_server.body_writer(scope)
        self._write_pending = False
        name = msgspec.json.encode(stream.request)
        self._chunk_prefix = (
            b'data: {"id":%s,"object":"chat.completion.chunk","model":%s,'
            b'"choices":[{"index":0,"delta":{"content":'
        ) % (name, msgspec.json.encode(model))

    async def write(self, parts: AsyncIterator[chat.ChatPart]) -> None:
        """Writes the whole response.

        An error after the first part is written as an error event.

        Raises:
            errors.NutmegError: the response failed before its first part;
                nothing was written.
        """
        first = await anext(parts)
        await self._send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": _HEADERS,
            }
        )
        try:
            await self._write_parts(first)
            await self._end(_DONE)
        except errors.NutmegError as error:
            body = error_responses.error_body(error, self._stream.request)
            text = msgspec.json.encode({"error": body})
            await self._end(b"event: error\ndata: %s\n\n" % text)

    async def _write_parts(self, first: chat.ChatPart) -> None:
        # The remaining parts are read from the stream directly, which avoids
        # resuming a generator for each token; closing the generator ends the
        # stream. While the connection accepts writes, the frame handler writes
        # parts itself through the sink, which avoids switching to this task.
        await self._write(self._encode(first))
        stream = self._stream
        if self._writer is not None:
            stream.sink = self._write_now
        now = self._clock.now
        written_at = now()
        part = first
        while part.finish is None:
            part = await stream.next()
            self._write_pending = True
            body = self._encode(part)
            write_delay = written_at + MIN_WRITE_INTERVAL_SECONDS - now()
            if write_delay > 0 and part.finish is None and self._writer is None:
                await self._clock.sleep(write_delay)
            while stream.unread_tokens and part.finish is None:
                part = await stream.next()
                body += self._encode(part)
            await self._write(body)
            self._write_pending = False
            written_at = now()

    def _write_now(self, part: chat.ChatPart) -> bool:
        if self._write_pending or self._writer is None:
            return False
        return self._writer.try_write(self._encode(part))

    async def _write(self, body: bytes) -> None:
        if self._writer is not None:
            await self._writer.write(body)
            return
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": True}
        )

    async def _end(self, body: bytes) -> None:
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": False}
        )

    def _encode(self, part: chat.ChatPart) -> bytes:
        body = b""
        for text in part.texts:
            body += b'%b%b},"finish_reason":null}]}\n\n' % (
                self._chunk_prefix,
                _encode_json(text),
            )
        if part.finish is None:
            return body
        reason = part.finish.value.encode()
        return b'%b%b""},"finish_reason":"%b"}]}\n\n' % (
            body,
            self._chunk_prefix,
            reason,
        )
