"""Sends an HTTP request on a connection and delivers the response."""

import abc
import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
import socket
from typing import cast

from nutmeglift_gateway import body_buffer
from nutmeglift_gateway import read_turns
from nutmeglift_gateway import response_parser

CONNECT_TIMEOUT_SECONDS = 0.25
"""Much longer than a round trip between failure domains. A lost SYN is sent
again only after 1 s; by then another server has responded."""
TCP_USER_TIMEOUT_MILLISECONDS = 2000
"""Closes a connection whose data is unacknowledged for this long, as the
engines do for work that depends on a lost runner."""
MAX_READ_BYTES = 64 * 1024
"""Bytes read from one connection after which the others have their turn:
uvloop reads up to 32 times in a row, 256 KiB each."""
MIN_SHARED_BODY_BYTES = 64 * 1024
"""Bodies below this size are joined with the head, which saves a write."""

Headers = response_parser.Headers
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

    @property
    def is_framed(self) -> bool:
        """Whether the end of the body doesn't depend on the connection's."""
        return any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in self.headers
        )


class BaseReceiver(abc.ABC):
    """Receives a response; its last call is on_complete or on_failure."""

    @abc.abstractmethod
    def on_head(self, head: Head) -> bool:
        """Handles status and headers; returns whether to buffer the body."""

    @abc.abstractmethod
    def on_body(self, data: bytes) -> None:
        """Handles a part of a body that is not buffered."""

    @abc.abstractmethod
    def on_complete(self, body: bytes) -> None:
        """Handles the end of the response, with a body that was buffered."""

    @abc.abstractmethod
    def on_failure(self, error: CallError) -> None:
        """Handles a failure before the end of the response."""


class Connection(asyncio.Protocol, response_parser.BaseHandler):
    """A connection to a server; carries one request at a time.

    Attributes:
        reusable: whether another request may be sent.
        received_bytes: number of bytes received.
        on_lost: called when the connection is closed; used while idle.
    """

    def __init__(self) -> None:
        self.reusable = False
        self.received_bytes = 0
        self.on_lost: Callable[[], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._receiver: BaseReceiver | None = None
        self._parser: response_parser.ResponseParser | None = None
        self._max_body_bytes = body_buffer.MAX_TOTAL_BYTES
        self._body: body_buffer.BodyBuffer | None = None
        self._paused = False
        self._yielding = False

    def send(
        self,
        request: bytes,
        receiver: BaseReceiver,
        *,
        head_only: bool,
        max_body_bytes: int = body_buffer.MAX_TOTAL_BYTES,
        body: bytes = b"",
    ) -> None:
        """Writes a request, or fails immediately if the connection is closed.

        Args:
            request: the complete request, or its head if `body` is given.
            receiver: receives the response.
            head_only: whether responses to the method have no body.
            max_body_bytes: limit on a body that is buffered.
            body: the body of the request; a large one is not copied.
        """
        assert self._transport is not None
        self.reusable = False
        self._receiver = receiver
        self._parser = response_parser.ResponseParser(self, head_only=head_only)
        self._max_body_bytes = max_body_bytes
        if self._transport.is_closing():
            self._fail(
                CallFailure.CLOSED, "closed before the request", sent=False
            )
            return
        if len(body) < MIN_SHARED_BODY_BYTES:
            self._transport.write(request + body)
            return
        self._transport.write(request)
        self._transport.write(body)

    def abort(self) -> None:
        """Aborts the connection; the receiver is not called any more."""
        self._take_receiver()
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Closes the connection gracefully."""
        self._take_receiver()
        self.reusable = False
        if self._transport is not None:
            self._transport.close()

    def pause(self) -> None:
        """Stops reading until resume is called."""
        self._paused = True
        self._update_reading()

    def resume(self) -> None:
        """Resumes reading."""
        self._paused = False
        self._update_reading()

    def _yield(self) -> None:
        """Stops reading until others that read as much have had their turn."""
        if self._transport is None or self._transport.is_closing():
            return
        self._yielding = True
        self._update_reading()
        read_turns.SHARED_TURNS.add(self._end_yield)

    def _end_yield(self) -> None:
        self._yielding = False
        self._update_reading()

    def _update_reading(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if self._paused or self._yielding:
            self._transport.pause_reading()
        else:
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
        self.received_bytes += len(data)
        if self._receiver is None or self._parser is None:
            # Bytes after the end of a response belong to no request.
            self.close()
            return
        parser = self._parser
        try:
            parser.feed(data)
        except response_parser.MalformedResponseError as error:
            self._fail(CallFailure.MALFORMED, str(error))
        if parser.has_extra_bytes:
            self.close()
        elif len(data) >= MAX_READ_BYTES:
            self._yield()

    def eof_received(self) -> bool:
        """Handles a graceful close by the server."""
        self.reusable = False
        if self._receiver is not None:
            assert self._parser is not None
            try:
                self._parser.feed_eof()
            except response_parser.MalformedResponseError:
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

    def on_response_head(
        self, status: int, headers: Headers, *, has_body: bool
    ) -> None:
        """Handles status and headers."""
        if self._receiver is None:
            return
        head = Head(status, headers)
        if not self._receiver.on_head(head) or not has_body:
            return
        length = head.get(b"content-length")
        self._body = body_buffer.SHARED_BUDGET.open(
            declared=None if length is None else int(length),
            limit=self._max_body_bytes,
            on_too_large=self._on_too_large,
        )
        self._body.check_declared()

    def on_response_body(self, data: bytes) -> None:
        """Handles a part of the body."""
        if self._body is not None:
            self._body.add(data)
        elif self._receiver is not None:
            self._receiver.on_body(data)

    def on_response_end(self, *, reusable: bool) -> None:
        """Handles the end of a response."""
        self._parser = None
        self.reusable = reusable and self._receiver is not None
        body = self._body.take() if self._body is not None else b""
        receiver = self._take_receiver()
        if receiver is not None:
            receiver.on_complete(body)

    def _on_too_large(self, detail: str) -> None:
        self._fail(CallFailure.MALFORMED, detail)

    def _fail(
        self, failure: CallFailure, detail: str, *, sent: bool = True
    ) -> None:
        receiver = self._take_receiver()
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()
        if receiver is not None:
            receiver.on_failure(CallError(failure, sent, detail))

    def _take_receiver(self) -> BaseReceiver | None:
        """Ends the call; returns its receiver, which is called at most once."""
        receiver, self._receiver = self._receiver, None
        if self._body is not None:
            self._body.release()
            self._body = None
        return receiver


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
    return format_head(method, target, headers, len(body)) + body


def format_head(
    method: str,
    target: str,
    headers: Iterable[tuple[bytes, bytes]],
    body_bytes: int,
) -> bytes:
    """Returns the bytes of a request before a body of a length."""
    lines = [f"{method} {target} HTTP/1.1".encode("latin-1")]
    lines += [name + b": " + value for name, value in headers]
    if body_bytes or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(b"content-length: %d" % body_bytes)
    return b"\r\n".join(lines) + b"\r\n\r\n"
