"""HTTP clients with bounded connection pools and timeouts."""

import asyncio
import re
from typing import NoReturn

import aiosonic
from aiosonic import connection
from aiosonic import connectors
from aiosonic import exceptions
from aiosonic import pools
from aiosonic import timeout as timeouts

from nutmeglift import http_status

MAX_LINE_BYTES = 128 * 1024
"""Limits the lines of an answer before, between and after parts of its body."""
MAX_LINE_COUNT = 256
"""Limits the number of these lines."""
MAX_BODY_BYTES = 64 * 1024 * 1024
"""Limits a body that is read as a whole, and a chunk of one that is not."""
MAX_LOGGED_BYTES = 80
SWITCHING_PROTOCOLS = 101

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([0-9]{3})(?: [^\r\n]*)?\r?\n")

ERRORS = (OSError, EOFError, ValueError, exceptions.AiosonicError)
"""Everything that a call may raise.

The client raises EOFError or ValueError for a truncated or malformed
response."""

NOT_SENT_ERRORS = (
    exceptions.ConnectTimeout,
    exceptions.ConnectionPoolAcquireTimeout,
    ConnectionRefusedError,
)
"""Errors that a call raises only if no byte of the request was sent."""


class _Connection(connection.Connection):  # type: ignore[misc]
    """A connection that fails on an answer without end."""

    limits_total = True
    """Whether a body may not exceed the limit with all its chunks."""

    def __init__(self, pool: pools.BasePool) -> None:
        super().__init__(pool)
        self._line_bytes = 0
        self._line_count = 0
        self._body_bytes = 0

    async def readline(self) -> bytes:
        """Reads a line of a head or of a body's framing."""
        return self._count_line(await super().readline())

    async def readuntil(self, separator: bytes = b"\n") -> bytes:
        """Reads the first line of a head; skips interim responses.

        The client itself accepts any number as a status, and takes an interim
        response for the final one.
        """
        while True:
            try:
                line: bytes = await super().readuntil(separator)
            except asyncio.LimitOverrunError as error:
                self._fail(str(error))
            self._count_line(line)
            found = _STATUS_LINE.fullmatch(line)
            status = int(found[1]) if found else 0
            if http_status.is_final(status):
                return line
            if not http_status.is_valid(status):
                self._fail(f"invalid status: {line[:MAX_LOGGED_BYTES]!r}")
            if status == SWITCHING_PROTOCOLS:
                self._fail("the protocol was switched")
            while (await self.readline()).strip():
                pass

    async def readexactly(self, size: int) -> bytes:
        """Reads a body or a chunk of it."""
        if not self.limits_total:
            self._body_bytes = 0
        self._body_bytes += size
        if self._body_bytes > MAX_BODY_BYTES:
            self._fail(f"the body exceeds {MAX_BODY_BYTES} bytes")
        self._line_bytes = 0
        self._line_count = 0
        part: bytes = await super().readexactly(size)
        return part

    def release(self) -> None:
        """Returns the connection to its pool for the next answer."""
        self._line_bytes = 0
        self._line_count = 0
        self._body_bytes = 0
        super().release()

    def _count_line(self, line: bytes) -> bytes:
        self._line_bytes += len(line)
        self._line_count += 1
        if self._line_bytes > MAX_LINE_BYTES:
            self._fail(f"head or framing exceeds {MAX_LINE_BYTES} bytes")
        if self._line_count > MAX_LINE_COUNT:
            self._fail(f"head or framing exceeds {MAX_LINE_COUNT} lines")
        return line

    def _fail(self, detail: str) -> NoReturn:
        self.keep = False
        self.close()
        raise ValueError(detail)


class _StreamConnection(_Connection):
    """A connection for an answer that is read in parts, and may never end."""

    limits_total = False


def make(pool_size: int, *, streams: bool = False) -> aiosonic.HTTPClient:
    """Returns a client that pools up to pool_size connections per server.

    Args:
        pool_size: most connections to one server.
        streams: whether answers are read in parts, without a limit in all.
    """
    connector = connectors.TCPConnector(
        pool_configs={":default": pools.PoolConfig(size=pool_size)},
        connection_cls=_StreamConnection if streams else _Connection,
    )
    return aiosonic.HTTPClient(connector)


def make_timeouts(seconds: float | None) -> timeouts.Timeouts:
    """Returns timeouts that limit a whole call; None means no limit."""
    return timeouts.Timeouts(
        sock_connect=seconds, sock_read=seconds, request_timeout=seconds
    )
