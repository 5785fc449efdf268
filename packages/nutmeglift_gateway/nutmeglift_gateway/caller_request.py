"""Parses callers' HTTP requests."""

import abc
import asyncio
from collections.abc import Callable
import dataclasses

import httptools

from nutmeglift import errors
from nutmeglift_gateway import catalog
from nutmeglift_gateway import http_call
from nutmeglift_gateway import request_memory


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's complete request.

    Attributes:
        method: the method.
        target: path and query as sent.
        headers: headers with names in lower case.
        body: the complete body.
        keep_alive: whether the caller keeps the connection open.
        accepts_chunked: whether the response may be chunked (HTTP/1.1).
        received_at: event loop time in seconds at which its last byte was read.
        holding: the memory that it holds, if that is counted.
    """

    method: str
    target: str
    headers: http_call.Headers
    body: bytes
    keep_alive: bool
    accepts_chunked: bool
    received_at: float
    holding: request_memory.Holding | None = None

    @property
    def is_head(self) -> bool:
        """Whether its method is HEAD, so that the response has no body."""
        return self.method == "HEAD"

    def get(self, name: bytes) -> bytes | None:
        """Returns a header's first value, by its name in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def count(self, name: bytes) -> int:
        """Returns the number of times that a header was sent."""
        return sum(1 for key, _ in self.headers if key == name)


class BaseReceiver(abc.ABC):
    """Receives the requests of one connection."""

    @abc.abstractmethod
    def on_begin(self) -> None:
        """Handles the first byte of a request."""

    @abc.abstractmethod
    def on_head_complete(self) -> None:
        """Handles the end of a request's head."""

    @abc.abstractmethod
    def on_continue_expected(self) -> None:
        """Handles a request whose body is sent after an interim response."""

    @abc.abstractmethod
    def on_large_body(self, holding: request_memory.Holding, size: int) -> None:
        """Handles a body that needs a reservation before it is read.

        Args:
            holding: memory of the request.
            size: largest number of bytes that the request will hold.
        """

    @abc.abstractmethod
    def on_request(self, request: Request) -> None:
        """Handles a complete request."""

    @abc.abstractmethod
    def on_rejected(self, kind: errors.ErrorKind) -> None:
        """Handles a request that cannot be read; it is the last event."""


class RequestParser:
    """Parses the requests of one connection within the callers' limits.

    Attributes:
        started: whether a part of a request has been received.
        head_complete: whether its head is complete.
        is_head: whether its method is known to be HEAD.
    """

    def __init__(
        self,
        receiver: BaseReceiver,
        limits: Callable[[], catalog.ClientLimits],
        memory: request_memory.Budget,
    ) -> None:
        """Initializes a parser.

        Args:
            receiver: receives the requests.
            limits: returns the current limits for requests of callers.
            memory: limits the memory of all requests.
        """
        self._receiver = receiver
        self._limits = limits
        self._memory = memory
        self._holding = request_memory.Holding()
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._rejected = False
        self._announced = False
        self._reset()

    def feed(self, data: bytes) -> None:
        """Parses received bytes; ignores them after a rejection."""
        while data and not self._rejected:
            data = self._feed(data)
        if self.started and not self._rejected:
            self._count_partial()

    def _feed(self, data: bytes) -> bytes:
        """Parses bytes and returns those to parse next."""
        if self.head_complete:
            self._framing_bytes += len(data)
        else:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            (head_end,) = upgrade.args
            return self._drop_upgrade() + data[head_end:]
        except httptools.HttpParserError:
            self.reject(errors.ErrorKind.BAD_REQUEST)
        limits = self._limits()
        received = max(
            self._framing_bytes, 0 if self.head_complete else self._head_bytes
        )
        if received > limits.header_bytes:
            self.reject(errors.ErrorKind.HEADER_TOO_LARGE)
        return b""

    def reject(self, kind: errors.ErrorKind) -> None:
        """Rejects the current request; no further request is parsed."""
        if self._rejected:
            return
        self.close()
        self._receiver.on_rejected(kind)

    def close(self) -> None:
        """Stops parsing and drops the received part of a request."""
        self._rejected = True
        self._body.clear()
        self._headers.clear()
        self._memory.release(self._holding)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Handles the first byte of a request; empty lines don't begin one."""
        self.started = True
        self._receiver.on_begin()

    def on_url(self, url: bytes) -> None:
        """Handles a part of the target; the method came before it."""
        self.is_head = self._parser.get_method() == b"HEAD"
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles a header."""
        self._headers.append((name.lower(), value))
        self._header_field_bytes += len(name) + len(value) + 4
        if self._header_field_bytes > self._limits().header_bytes:
            self.reject(errors.ErrorKind.HEADER_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Handles the end of the headers."""
        if self._parser.should_upgrade():
            # feed() handles it.
            return
        self.head_complete = True
        self._receiver.on_head_complete()
        # Not in HTTP/1.0 (RFC 9110, section 10.1.1).
        if self._rejected or self._parser.get_http_version() != "1.1":
            return
        for name, value in self._headers:
            if name == b"expect" and value.lower() == b"100-continue":
                self._announce_declared()
                self._receiver.on_continue_expected()

    def _announce_declared(self) -> None:
        """Rejects a declared body that is too large; announces a large one."""
        if self._announced:
            return
        for name, value in self._headers:
            if name != b"content-length" or not value.isdigit():
                continue
            self._announced = True
            length = int(value)
            if length > self._limits().body_bytes:
                self.reject(errors.ErrorKind.BODY_TOO_LARGE)
            elif length > request_memory.LARGE_BODY_BYTES:
                self._announce_large(length)
            return

    def _announce_large(self, largest: int) -> None:
        self._announced = True
        self._receiver.on_large_body(
            self._holding, self._head_memory() + largest
        )

    def on_body(self, data: bytes) -> None:
        """Handles a part of the body."""
        if self._rejected:
            return
        self._body.append(data)
        self._body_bytes += len(data)
        # Counts what follows the last part of the body: the framing of chunks
        # may be sent without end.
        self._framing_bytes = 0
        if self._body_bytes > self._limits().body_bytes:
            self.reject(errors.ErrorKind.BODY_TOO_LARGE)
        elif (
            self._body_bytes > request_memory.LARGE_BODY_BYTES
            and not self._announced
        ):
            # In chunks: the rest may be as large as the limit. What exceeds the
            # largest reservation is counted as it arrives.
            room = self._memory.reservation_limit - self._head_memory()
            self._announce_large(min(self._limits().body_bytes, room))

    def on_message_complete(self) -> None:
        """Handles the end of a request."""
        if self._rejected or self._parser.should_upgrade():
            return
        held = self._head_memory() + self._body_bytes
        if not self._memory.complete(self._holding, held):
            self.reject(errors.ErrorKind.OVERLOADED)
            return
        request = Request(
            self._parser.get_method().decode("latin-1"),
            self._url.decode("latin-1"),
            self._headers,
            b"".join(self._body),
            self._parser.should_keep_alive(),
            self._parser.get_http_version() == "1.1",
            self._loop.time(),
            self._holding,
        )
        self._holding = request_memory.Holding()
        self._reset()
        self._receiver.on_request(request)

    def _head_memory(self) -> int:
        return request_memory.head_bytes(
            len(self._url) + self._header_field_bytes, self._headers
        )

    def _count_partial(self) -> None:
        """Counts what has been received of a request."""
        held = self._head_memory() + self._body_bytes
        if not self.head_complete:
            held += self._head_bytes
        else:
            self._announce_declared()
        if self._rejected:
            return
        if not self._memory.resize(self._holding, held):
            self.reject(errors.ErrorKind.OVERLOADED)

    def _drop_upgrade(self) -> bytes:
        """Returns the head of a request to upgrade without the upgrade.

        The parser takes all that follows such a head for another protocol, so
        the request is parsed again.
        """
        method = self._parser.get_method()
        if method == b"CONNECT":
            self.reject(errors.ErrorKind.BAD_REQUEST)
            return b""
        version = self._parser.get_http_version().encode()
        lines = [method + b" " + self._url + b" HTTP/" + version]
        lines += [
            name + b": " + value
            for name, value in self._headers
            if name != b"upgrade"
        ]
        self._reset()
        self._parser = httptools.HttpRequestParser(self)
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _reset(self) -> None:
        self.started = False
        self.head_complete = False
        self.is_head = False
        self._head_bytes = 0
        self._framing_bytes = 0
        self._header_field_bytes = 0
        self._url = b""
        self._headers: http_call.Headers = []
        self._body: list[bytes] = []
        self._body_bytes: int = 0
        self._announced = False
