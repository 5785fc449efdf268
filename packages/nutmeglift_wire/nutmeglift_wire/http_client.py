"""HTTP clients with bounded pools and times."""

import aiosonic
from aiosonic import connectors
from aiosonic import exceptions
from aiosonic import pools
from aiosonic import timeout as timeouts

ERRORS = (OSError, EOFError, ValueError, exceptions.AiosonicError)
"""Everything that a call may raise; the client lets a cut or garbled answer
through as EOFError or ValueError."""

NOT_SENT_ERRORS = (
    exceptions.ConnectTimeout,
    exceptions.ConnectionPoolAcquireTimeout,
    ConnectionRefusedError,
)
"""What a call raises when no byte of the request was sent."""


def make(pool_size: int) -> aiosonic.HTTPClient:
    """Returns a client that keeps up to pool_size connections to a server."""
    config = pools.PoolConfig(size=pool_size)
    connector = connectors.TCPConnector(pool_configs={":default": config})
    return aiosonic.HTTPClient(connector)


def make_timeouts(seconds: float | None) -> timeouts.Timeouts:
    """Returns timeouts that bound a whole call; None for no bound."""
    return timeouts.Timeouts(
        sock_connect=seconds, sock_read=seconds, request_timeout=seconds
    )
