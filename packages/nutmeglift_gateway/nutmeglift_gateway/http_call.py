"""Sends one HTTP request on a connection and passes on the answer."""

import abc
import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
import socket
from typing import cast

import httptools

CONNECT_TIMEOUT_SECONDS = 0.25
"""Far over a round trip between failure domains: a lost opening packet is
sent again only after a second, by when another server has answered."""
TCP_USER_TIMEOUT_MILLISECONDS = 2000
"""Unacknowledged bytes end a connection after it; the engines' own bound on
work that depends on a lost runner."""
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
"""Bounds the memory that one answer can take."""

Headers = list[tuple[bytes, bytes]]
"""Names in lower case, with values, in the order received."""


class CallFailure(enum.Enum):
    """Why a call ended without a whole answer."""

    NOT_CONNECTED = "not_connected"
    REFUSED = "refused"
    """Nobody listens at the address."""
    RESET = "reset"
    CLOSED = "closed"
    MALFORMED = "malformed"
    TIMEOUT = "timeout"


class CallError(Exception):
    """A call got no whole answer.

    Attributes:
        failure: why.
        sent: whether a byte of the request was written.
    """

    def __init__(self, failure: CallFailure, sent: bool, detail: str) -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure
        self.sent = sent


@dataclasses.dataclass(slots=True)
class Head:
    """Status and headers of an answer."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Returns a header's first value, by its name in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class BaseReceiver(abc.ABC):
    """Takes an answer as it arrives; the last call is one of the last two."""

    @abc.abstractmethod
    def on_head(self, head: Head) -> None:
        """Takes status and headers."""

    @abc.abstractmethod
    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""

    @abc.abstractmethod
    def on_complete(self) -> None:
        """The answer is whole."""

    @abc.abstractmethod
    def on_failure(self, error: CallError) -> None:
        """The answer ended early."""


class Connection(asyncio.Protocol):
    """A connection to a server; carries one request at a time.

    Attributes:
        reusable: whether another request may be sent.
        on_lost: called when the connection is gone; for idle ones.
    """

    def __init__(self) -> None:
        self.reusable = False
        self.on_lost: Callable[[], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._receiver: BaseReceiver | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: Headers = []
        self._head: Head | None = None
        self._until_close = False
        self._without_body = False
        self._received = 0

    def send(
        self, request: bytes, receiver: BaseReceiver, *, head_only: bool
    ) -> None:
        """Writes a request.

        Args:
            request: the whole request.
            receiver: takes the answer.
            head_only: the method is one whose answers have no body.
        """
        assert self._transport is not None
        self.reusable = False
        self._receiver = receiver
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._head = None
        self._until_close = False
        self._without_body = head_only
        self._received = 0
        self._transport.write(request)

    def abort(self) -> None:
        """Drops the connection; the receiver hears nothing more."""
        self._receiver = None
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Closes the connection in an orderly way."""
        self._receiver = None
        self.reusable = False
        if self._transport is not None:
            self._transport.close()

    def pause(self) -> None:
        """Stops reading until resume."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume(self) -> None:
        """Reads again."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    # Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport."""
        # Not all event loops derive their transports from asyncio's class.
        self._transport = cast(asyncio.Transport, transport)
        self.reusable = True
        found = transport.get_extra_info("socket")
        if found is not None:
            found.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                TCP_USER_TIMEOUT_MILLISECONDS,
            )

    def data_received(self, data: bytes) -> None:
        """Feeds the parser."""
        if self._receiver is None or self._parser is None:
            # Bytes beyond an answer belong to no request.
            self.close()
            return
        self._received += len(data)
        if self._received > MAX_RESPONSE_BYTES:
            self._fail(CallFailure.MALFORMED, "the answer is too large")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(CallFailure.MALFORMED, "unexpected upgrade")
        except httptools.HttpParserError as error:
            self._fail(CallFailure.MALFORMED, str(error))

    def eof_received(self) -> bool:
        """The server closed in an orderly way."""
        self.reusable = False
        if self._receiver is not None:
            if self._head is not None and self._until_close:
                self._complete()
            else:
                self._fail(CallFailure.CLOSED, "closed before the end")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        self.reusable = False
        if self.on_lost is not None:
            self.on_lost()
        if self._receiver is not None:
            self._fail(CallFailure.RESET, repr(exc))

    # Parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Takes the end of the head."""
        assert self._parser is not None
        status = self._parser.get_status_code()
        if status < 200:  # noqa: PLR2004 - interim answers are skipped.
            self._headers = []
            return
        head = Head(status, self._headers)
        # What follows the answer on the connection belongs to no request.
        self._headers = []
        self._head = head
        framed = any(
            key in (b"content-length", b"transfer-encoding")
            for key, _ in head.headers
        )
        bare = status in (204, 304) or self._without_body
        self._until_close = not framed and not bare
        if self._receiver is not None:
            self._receiver.on_head(head)
        if bare and self._receiver is not None:
            self._complete()

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""
        if self._receiver is not None and self._head is not None:
            self._receiver.on_body(data)

    def on_message_complete(self) -> None:
        """Takes the end of an answer."""
        if self._head is None or self._receiver is None:
            return
        keep = self._parser is not None and self._parser.should_keep_alive()
        self._complete()
        self.reusable = keep and not self._until_close

    def _complete(self) -> None:
        receiver, self._receiver = self._receiver, None
        self._parser = None
        if receiver is not None:
            receiver.on_complete()

    def _fail(self, failure: CallFailure, detail: str) -> None:
        receiver, self._receiver = self._receiver, None
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()
        if receiver is not None:
            receiver.on_failure(CallError(failure, True, detail))


async def connect(
    address: str, timeout: float = CONNECT_TIMEOUT_SECONDS
) -> Connection:
    """Opens a connection.

    Args:
        address: IP number and port.
        timeout: seconds.

    Raises:
        CallError: it was not opened; nothing was written.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            _, connection = await loop.create_connection(
                Connection, host, int(port)
            )
    except ConnectionRefusedError as error:
        raise CallError(CallFailure.REFUSED, False, address) from error
    except (OSError, TimeoutError, ValueError) as error:
        raise CallError(
            CallFailure.NOT_CONNECTED, False, f"{address}: {error!r}"
        ) from error
    return connection


@dataclasses.dataclass(frozen=True)
class Response:
    """A whole answer."""

    head: Head
    body: bytes

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.head.status


def format_request(
    method: str,
    target: str,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
) -> bytes:
    """Returns the bytes of a request; a body gets its length."""
    lines = [f"{method} {target} HTTP/1.1".encode("latin-1")]
    lines += [name + b": " + value for name, value in headers]
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
