"""Responses whose bytes never end, as a faulty server sends them."""

import asyncio
import contextlib
import re

PIECE_BYTES = 64 * 1024
TRICKLE_SECONDS = 0.05
"""Interval of the single bytes that keep a response going."""
_REQUEST_ID = re.compile(rb"x-attempt-id: (\S+)\r\n", re.IGNORECASE)
_OK = b"HTTP/1.1 200 OK\r\nx-attempt-id: attempt-1\r\nx-response-seal: seal\r\n"
_CHUNKED = _OK + b"transfer-encoding: chunked\r\n\r\n"
_STREAM = _OK + b"content-type: text/event-stream\r\n\r\n"
_CHUNKED_STREAM = (
    _OK + b"content-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)

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
    "trailer line": (_CHUNKED + b"0\r\na: ", b"b"),
}
"""The same for endless framing after a complete head."""
BODY_CASES = {
    "until close": (_OK + b"\r\n", b"x"),
    "length": (_OK + b"content-length: 99999999999\r\n\r\n", b"x"),
    "chunks": (_CHUNKED, b"10000\r\n" + b"x" * 65536 + b"\r\n"),
    "small chunks": (_CHUNKED, b"2\r\nxx\r\n"),
}
"""The same for endless bodies that are buffered."""
STREAM_CASES = {
    "event": (_STREAM, b"x"),
    "event of many lines": (_STREAM, b"data: x\n"),
    "event in chunks": (_CHUNKED_STREAM, b"100\r\n" + b"x" * 256 + b"\r\n"),
}
"""The same for an endless event of a stream."""
DECLARED_CASES = {
    "declared": (_OK + b"content-length: 50000000\r\n\r\n", b"x"),
}
"""The same for a body that may be buffered, were it the only one."""
ALL_CASES = (
    HEAD_CASES | FRAMING_CASES | BODY_CASES | STREAM_CASES | DECLARED_CASES
)
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
        open_count: number of open connections.
    """

    def __init__(self, first, repeated, *, await_request=True, held_bytes=None):
        """Creates a server.

        Args:
            first: first bytes of a response; the id in it is replaced.
            repeated: the bytes that follow without end.
            await_request: whether it reads a request before it sends.
            held_bytes: bytes after which single bytes follow slowly; None
                for full speed.
        """
        self._first = first
        self._held_bytes = held_bytes
        self.open_count = 0
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
        self.open_count += 1
        first = self._first
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            if self._await_request:
                head = await reader.readuntil(b"\r\n\r\n")
                if await self.respond(head, writer):
                    self.open_count -= 1
                    writer.close()
                    return
                found = _REQUEST_ID.search(head)
                if found:
                    first = first.replace(b"attempt-1", found.group(1))
            await send_endless(writer, first, self._piece, self._held_bytes)
        self.open_count -= 1
        self.ended.set()
        writer.transport.abort()

    async def respond(self, head, writer):
        """Returns whether it has responded properly to a request."""
        return False


async def send_endless(writer, first, piece, held_bytes=None):
    """Writes `first`, then `piece` until the connection is closed.

    Args:
        writer: the connection's writer.
        first: first bytes.
        piece: bytes that follow again and again.
        held_bytes: bytes after which single bytes follow slowly.
    """
    data = first
    sent_bytes = 0
    while not writer.is_closing():
        writer.write(data)
        await writer.drain()
        sent_bytes += len(data)
        data = piece
        if held_bytes is None:
            await asyncio.sleep(0)
        elif sent_bytes >= held_bytes:
            data = piece[:1]
            await asyncio.sleep(TRICKLE_SECONDS)
        else:
            data = piece[: held_bytes - sent_bytes]
