"""Responses whose bytes never end, as a faulty server sends them."""

import asyncio
import contextlib

PIECE_BYTES = 64 * 1024
_OK = b"HTTP/1.1 200 OK\r\nx-attempt-id: attempt-1\r\nx-response-seal: seal\r\n"
_CHUNKED = _OK + b"transfer-encoding: chunked\r\n\r\n"
_STREAM = _OK + b"content-type: text/event-stream\r\n\r\n"

HEAD_CASES = {
    "headers": (_OK, b"a: b\r\n"),
    "header line": (_OK + b"a: ", b"b"),
    "header name": (_OK, b"a"),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "reason phrase": (b"HTTP/1.1 200 ", b"a"),
    "empty lines": (b"", b"\r\n"),
}
"""First bytes, and the bytes that are repeated, of endless heads."""
FRAMING_CASES = {
    "chunk extension": (_CHUNKED + b"1;", b"a"),
    "chunk size": (_CHUNKED, b"0"),
    "trailers": (_CHUNKED + b"0\r\n", b"a: b\r\n"),
}
"""The same for endless framing after a complete head."""
BODY_CASES = {
    "until close": (_OK + b"\r\n", b"x"),
    "length": (_OK + b"content-length: 99999999999\r\n\r\n", b"x"),
    "chunks": (_CHUNKED, b"10000\r\n" + b"x" * 65536 + b"\r\n"),
    "small chunks": (_CHUNKED, b"2\r\nxx\r\n"),
}
"""The same for endless bodies that are buffered."""
STREAM_CASES = {"event": (_STREAM, b"x")}
"""The same for an endless event of a stream."""
NO_REQUEST_CASES = {
    "garbage": (b"", b"x"),
    "after a response": (_OK + b"content-length: 1\r\n\r\nx", b"x"),
}
"""The same for bytes that belong to no request."""


class EndlessServer:
    """Sends bytes on each connection until the client closes it.

    Attributes:
        connection_count: number of connections accepted.
        ended: set when a client has closed its connection.
        address: IP address and port.
    """

    def __init__(self, first, repeated, *, await_request=True):
        self._first = first
        self._piece = repeated * max(1, PIECE_BYTES // len(repeated))
        self._await_request = await_request
        self.connection_count = 0
        self.ended = asyncio.Event()
        self.address = ""
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._run, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    def close(self):
        self._server.close()

    async def _run(self, reader, writer):
        self.connection_count += 1
        with contextlib.suppress(ConnectionError):
            if self._await_request:
                await reader.readuntil(b"\r\n\r\n")
            await send_endless(writer, self._first, self._piece)
        self.ended.set()
        writer.transport.abort()


async def send_endless(writer, first, piece):
    """Writes `first`, then `piece` until the connection is closed."""
    data = first
    while not writer.is_closing():
        writer.write(data)
        await writer.drain()
        data = piece
        await asyncio.sleep(0)
