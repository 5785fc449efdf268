"""Sends an HTTP request on a connection and delivers the response."""

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
"""Much longer than a round trip between failure domains. A lost SYN is sent
again only after 1 s; by then another server has responded."""
TCP_USER_TIMEOUT_MILLISECONDS = 2000
"""Closes a connection whose data is unacknowledged for this long, as the
engines do for work that depends on a lost runner."""
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
"""Limits the memory that one response can use."""
MAX_HEAD_BYTES = 64 * 1024
"""Longest response head, with the interim responses before it."""
MAX_HEADER_COUNT = 256
MAX_FRAMING_BYTES_PER_BODY_BYTE = 8
"""A chunk of one byte has five bytes of framing."""
_PARSED_BYTES = 16 * 1024
"""Bytes that are parsed before the limits are checked again."""

Headers = list[tuple[bytes, bytes]]
"""Names in lower case with their values, in the order received."""


class CallFailure(enum.Enum):
    """Why a call ended without a complete response."""

    NOT_CONNECTED = "not_connected"
    REFUSED = "refused"
    """No process listens at the address."""
    RESET = "reset"
    CLOSED = "closed"
    MALFORMED = "malformed"
    TIMEOUT = "timeout"


class CallError(Exception):
    """A call ended without a complete response.

    Attributes:
        failure: why the call failed.
        sent: whether any byte of the request was written.
    """

    def __init__(self, failure: CallFailure, sent: bool, detail: str) -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure
        self.sent = sent


@dataclasses.dataclass(slots=True)
class Head:
    """Status and headers of a response."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Returns a header's first value, by its name in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class BaseReceiver(abc.ABC):
    """Receives a response; its last call is on_complete or on_failure."""

    @abc.abstractmethod
    def on_head(self, head: Head) -> None:
        """Handles status and headers."""

    @abc.abstractmethod
    def on_body(self, data: bytes) -> None:
        """Handles a part of the body."""

    @abc.abstractmethod
    def on_complete(self) -> None:
        """Handles the end of the response."""

    @abc.abstractmethod
    def on_failure(self, error: CallError) -> None:
        """Handles a failure before the end of the response."""


class Connection(asyncio.Protocol):
    """A connection to a server; carries one request at a time.

    Attributes:
        reusable: whether another request may be sent.
        on_lost: called when the connection is closed; used while idle.
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
        self._body_received = 0

    def send(
        self, request: bytes, receiver: BaseReceiver, *, head_only: bool
    ) -> None:
        """Writes a request, or fails at once if the connection is closed.

        Args:
            request: the complete request.
            receiver: receives the response.
            head_only: whether responses to the method have no body.
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
        self._body_received = 0
        if self._transport.is_closing():
            self._fail(
                CallFailure.CLOSED, "closed before the request", sent=False
            )
            return
        self._transport.write(request)

    def abort(self) -> None:
        """Aborts the connection; the receiver is not called any more."""
        self._receiver = None
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Closes the connection gracefully."""
        self._receiver = None
        self.reusable = False
        if self._transport is not None:
            self._transport.close()

    def pause(self) -> None:
        """Stops reading until resume is called."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resumes reading."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    # asyncio.Protocol methods.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets the TCP user timeout."""
        # Not all event loops derive their transports from asyncio's class.
        self._transport = cast(asyncio.Transport, transport)
        self.reusable = True
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                TCP_USER_TIMEOUT_MILLISECONDS,
            )

    def data_received(self, data: bytes) -> None:
        """Passes received bytes to the parser."""
        if self._receiver is None or self._parser is None:
            # Bytes after the end of a response belong to no request.
            self.close()
            return
        view = memoryview(data)
        for start in range(0, len(data), _PARSED_BYTES):
            self._parse(view[start : start + _PARSED_BYTES])
            if self._receiver is None:
                return

    def _parse(self, data: memoryview) -> None:
        assert self._parser is not None
        self._received += len(data)
        if self._received > MAX_RESPONSE_BYTES:
            self._fail(CallFailure.MALFORMED, "the response is too large")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(CallFailure.MALFORMED, "unexpected upgrade")
        except httptools.HttpParserError as error:
            self._fail(CallFailure.MALFORMED, str(error))
        else:
            self._check_framing()

    def _check_framing(self) -> None:
        """Fails a response that consists of little else than framing."""
        if self._receiver is None:
            return
        framing = self._received - self._body_received
        if self._head is None and framing > MAX_HEAD_BYTES:
            self._fail(
                CallFailure.MALFORMED,
                f"the head exceeds {MAX_HEAD_BYTES} bytes;"
                f" received {self._received}",
            )
        elif (
            framing
            > 2 * MAX_HEAD_BYTES
            + MAX_FRAMING_BYTES_PER_BODY_BYTE * self._body_received
        ):
            self._fail(
                CallFailure.MALFORMED,
                f"{framing} bytes of framing for"
                f" {self._body_received} bytes of body",
            )

    def eof_received(self) -> bool:
        """Handles a graceful close by the server."""
        self.reusable = False
        if self._receiver is not None:
            if self._head is not None and self._until_close:
                self._complete()
            else:
                self._fail(
                    CallFailure.CLOSED, "closed before the end of the response"
                )
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the loss of the connection."""
        self.reusable = False
        if self.on_lost is not None:
            self.on_lost()
        if self._receiver is not None:
            self._fail(CallFailure.RESET, repr(exc))

    # Callbacks of the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles a header or a trailer."""
        if self._head is not None or self._receiver is None:
            return
        self._headers.append((name.lower(), value))
        if len(self._headers) > MAX_HEADER_COUNT:
            self._fail(
                CallFailure.MALFORMED,
                f"the head has more than {MAX_HEADER_COUNT} headers",
            )

    def on_headers_complete(self) -> None:
        """Handles the end of the headers."""
        assert self._parser is not None
        status = self._parser.get_status_code()
        if status < 200:  # noqa: PLR2004 - interim responses are skipped.
            self._headers = []
            return
        head = Head(status, self._headers)
        # Trailers and later headers belong to no request.
        self._headers = []
        self._head = head
        has_length = any(
            key in (b"content-length", b"transfer-encoding")
            for key, _ in head.headers
        )
        has_no_body = status in (204, 304) or self._without_body
        self._until_close = not has_length and not has_no_body
        if self._receiver is not None:
            self._receiver.on_head(head)
        if has_no_body and self._receiver is not None:
            self._complete()

    def on_body(self, data: bytes) -> None:
        """Handles a part of the body."""
        if self._receiver is not None and self._head is not None:
            self._body_received += len(data)
            self._receiver.on_body(data)

    def on_message_complete(self) -> None:
        """Handles the end of a response."""
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

    def _fail(
        self, failure: CallFailure, detail: str, *, sent: bool = True
    ) -> None:
        receiver, self._receiver = self._receiver, None
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()
        if receiver is not None:
            receiver.on_failure(CallError(failure, sent, detail))


async def connect(
    address: str, timeout: float = CONNECT_TIMEOUT_SECONDS
) -> Connection:
    """Opens a connection.

    Args:
        address: IP address and port.
        timeout: time limit in seconds.

    Raises:
        CallError: the connection could not be opened; nothing was written.
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
    """A complete response."""

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
    """Returns the bytes of a request, with the length of its body."""
    lines = [f"{method} {target} HTTP/1.1".encode("latin-1")]
    lines += [name + b": " + value for name, value in headers]
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
