"""HTTP clients with bounded connection pools and timeouts."""

import aiosonic
from aiosonic import connectors
from aiosonic import exceptions
from aiosonic import pools
from aiosonic import timeout as timeouts

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


def make(pool_size: int) -> aiosonic.HTTPClient:
    """Returns a client that pools up to pool_size connections per server."""
    config = pools.PoolConfig(size=pool_size)
    connector = connectors.TCPConnector(pool_configs={":default": config})
    return aiosonic.HTTPClient(connector)


def make_timeouts(seconds: float | None) -> timeouts.Timeouts:
    """Returns timeouts that limit a whole call; None means no limit."""
    return timeouts.Timeouts(
        sock_connect=seconds, sock_read=seconds, request_timeout=seconds
    )
