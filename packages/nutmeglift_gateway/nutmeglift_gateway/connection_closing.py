"""Closes a caller's connection so that the last response arrives."""

import asyncio
import socket
import struct

LINGER_SECONDS = 2.0
"""Time for a caller to receive the last response and close. Within it, bytes
that it still sends are discarded: a close with unread bytes resets the
connection, and the reset may overtake the response (RFC 9112, section 9.6)."""
LINGER_BYTES = 8 * 1024 * 1024
"""Bytes that are discarded at most; about the largest body that a caller may
still be sending when it is rejected."""
RESET_LINGER = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close discards unsent bytes and resets."""


class Closing:
    """The close of a connection after the last response."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._discarded_bytes = 0

    def begin(self, *, paused: bool) -> bool:
        """Signals the end of the data to the caller, which closes in turn.

        Args:
            paused: whether the connection isn't being read.

        Returns:
            Whether to wait for the caller to close.
        """
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has reset the connection.
            self._transport.abort()
            return False
        if paused:
            self._transport.resume_reading()
        return True

    def discard(self, data: bytes) -> None:
        """Discards what the caller still sends, up to a limit."""
        self._discarded_bytes += len(data)
        if self._discarded_bytes > LINGER_BYTES:
            self._transport.close()

    def end(self) -> bool:
        """Closes the connection once the response has left the router.

        Returns:
            Whether it has been closed.
        """
        if self._transport.get_write_buffer_size():
            return False
        self._transport.close()
        return True


def reset_on_close(transport: asyncio.Transport) -> None:
    """Makes the close a reset: a graceful one may end a response."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
