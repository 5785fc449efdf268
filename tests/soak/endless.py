"""Responses that go on until the peer closes the connection."""

import asyncio
import enum

PART_BYTES = 65536
PART_INTERVAL_SECONDS = 0.002


class Endless(enum.Enum):
    """Where a response goes on without end."""

    HEADERS = "headers"
    HEADER_VALUE = "header_value"
    INTERIM_RESPONSES = "interim_responses"
    BODY = "body"
    """A body without a length."""
    CHUNKS = "chunks"
    EVENT = "event"
    """One event of an event stream."""


def _parts(kind, extra_headers):
    """Returns the first bytes and those that follow again and again."""
    head = b"HTTP/1.1 200 OK\r\n" + extra_headers
    chunk = b"%x\r\n%b\r\n" % (PART_BYTES, b"x" * PART_BYTES)
    chunked = head + b"transfer-encoding: chunked\r\n"
    match kind:
        case Endless.HEADERS:
            return head, b"x-filler: 0123456789\r\n" * (PART_BYTES // 22)
        case Endless.HEADER_VALUE:
            return head + b"x-filler: ", b"x" * PART_BYTES
        case Endless.INTERIM_RESPONSES:
            interim = b"HTTP/1.1 100 Continue\r\n\r\n"
            return interim, interim * (PART_BYTES // len(interim))
        case Endless.BODY:
            return head + b"\r\n", b"x" * PART_BYTES
        case Endless.CHUNKS:
            return chunked + b"\r\n", chunk
        case Endless.EVENT:
            start = b"content-type: text/event-stream\r\n\r\n6\r\ndata: \r\n"
            return chunked + start, chunk


async def write(kind, writer, extra_headers=b"", *, begun=False):
    """Writes a response without end until the peer closes the connection.

    Args:
        kind: where the response goes on without end.
        writer: the connection's writer.
        extra_headers: formatted headers.
        begun: whether the head and complete chunks were written before.
    """
    first, part = _parts(kind, extra_headers)
    try:
        if not begun:
            writer.write(first)
        while not writer.is_closing():
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(PART_INTERVAL_SECONDS)
    except ConnectionError:
        # The peer has closed the connection.
        return
