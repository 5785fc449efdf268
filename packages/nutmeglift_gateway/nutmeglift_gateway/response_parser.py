"""Parses one HTTP response with limits on everything but its body."""

import abc

import httptools

from nutmeglift import http_status

MAX_HEAD_BYTES = 64 * 1024
"""Longest response head, with the interim responses before it."""
MAX_HEADER_COUNT = 256
MAX_FRAMING_BYTES = 128 * 1024
"""Heads, chunk sizes, extensions and trailers of a response without body, and
between two parts of a body or after the last one."""
BODY_BYTES_PER_FRAMING_BYTE = 4
"""Body that allows one more byte of framing: limits the number of tiny chunks,
each of which costs as much time as hundreds of bytes."""
MAX_PARSED_BYTES = 16 * 1024
"""Bytes that are parsed before the limits are checked again."""

Headers = list[tuple[bytes, bytes]]
"""Names in lower case with their values, in the order received."""


class MalformedResponseError(Exception):
    """The bytes are not a response, or exceed a limit."""


class BaseHandler(abc.ABC):
    """Handles the parts of a response."""

    @abc.abstractmethod
    def on_response_head(
        self, status: int, headers: Headers, *, has_body: bool
    ) -> None:
        """Handles status and headers."""

    @abc.abstractmethod
    def on_response_body(self, data: bytes) -> None:
        """Handles a part of the body."""

    @abc.abstractmethod
    def on_response_end(self, *, reusable: bool) -> None:
        """Handles the end of the response.

        Args:
            reusable: whether the connection can carry another one.
        """


class ResponseParser:
    """Parses one response and the interim responses before it.

    Attributes:
        ended: whether the response is complete.
        has_extra_bytes: whether more bytes followed it.
    """

    def __init__(self, handler: BaseHandler, *, head_only: bool) -> None:
        """Initializes a parser.

        Args:
            handler: handles the parts of the response.
            head_only: whether responses to the method have no body.
        """
        self.ended = False
        self.has_extra_bytes = False
        self._handler = handler
        self._head_only = head_only
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._head_complete = False
        self._until_close = False
        self._received = 0
        self._body_received = 0
        self._without_body = 0
        self._parts: list[bytes] = []

    def feed(self, data: bytes) -> None:
        """Parses bytes.

        Raises:
            MalformedResponseError: the response is invalid.
        """
        view = memoryview(data)
        for start in range(0, len(data), MAX_PARSED_BYTES):
            if self.ended:
                self.has_extra_bytes = True
                return
            self._feed(view[start : start + MAX_PARSED_BYTES])

    def feed_eof(self) -> None:
        """Handles the end of the connection.

        Raises:
            MalformedResponseError: the response is not complete.
        """
        if not self._until_close:
            raise MalformedResponseError("closed before the end")
        self._end(reusable=False)

    def _feed(self, data: memoryview) -> None:
        self._received += len(data)
        body_before = self._body_received
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise MalformedResponseError("unexpected upgrade") from error
        except httptools.HttpParserError as error:
            if self.ended:
                # Bytes after the end of a response belong to no request.
                self.has_extra_bytes = True
                return
            self._deliver_body()
            raise MalformedResponseError(
                str(error.__context__ or error)
            ) from error
        if not self.ended:
            self._deliver_body()
            self._without_body += len(data)
            if self._body_received > body_before:
                self._without_body = 0
            self._check_limits()

    def _check_limits(self) -> None:
        framing = self._received - self._body_received
        if not self._head_complete and framing > MAX_HEAD_BYTES:
            raise MalformedResponseError(
                f"the head exceeds {MAX_HEAD_BYTES} bytes, received {framing}"
            )
        if self._without_body > MAX_FRAMING_BYTES:
            raise MalformedResponseError(
                f"the framing exceeds {MAX_FRAMING_BYTES} bytes,"
                f" received {self._without_body} after the body so far"
            )
        limit = (
            MAX_FRAMING_BYTES
            + self._body_received // BODY_BYTES_PER_FRAMING_BYTE
        )
        if framing > limit:
            raise MalformedResponseError(
                f"the framing exceeds {limit} bytes, received {framing} and"
                f" {self._body_received} of body"
            )

    def _deliver_body(self) -> None:
        if not self._parts:
            return
        data = b"".join(self._parts)
        self._parts.clear()
        self._handler.on_response_body(data)

    def _end(self, *, reusable: bool) -> None:
        self._deliver_body()
        self.ended = True
        self._handler.on_response_end(reusable=reusable)

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Handles the first byte of a response."""
        self.has_extra_bytes = self.ended

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles a header or a trailer; trailers are not kept."""
        if self._head_complete:
            return
        self._headers.append((name.lower(), value))
        if len(self._headers) > MAX_HEADER_COUNT:
            raise MalformedResponseError(
                f"the head exceeds {MAX_HEADER_COUNT} headers"
            )

    def on_headers_complete(self) -> None:
        """Handles the end of the headers."""
        status = self._parser.get_status_code()
        if self._head_complete:
            return
        if not http_status.is_valid(status):
            raise MalformedResponseError(f"invalid status: {status:03}")
        headers, self._headers = self._headers, []
        if not http_status.is_final(status):
            return
        self._head_complete = True
        has_length = any(
            key in (b"content-length", b"transfer-encoding")
            for key, _ in headers
        )
        has_body = status not in (204, 304) and not self._head_only
        self._until_close = has_body and not has_length
        self._handler.on_response_head(status, headers, has_body=has_body)
        if not has_body:
            self._end(reusable=False)

    def on_body(self, data: bytes) -> None:
        """Handles a part of the body."""
        if not self._head_complete:
            raise MalformedResponseError("an interim response has a body")
        if not self.ended:
            self._body_received += len(data)
            self._parts.append(data)

    def on_message_complete(self) -> None:
        """Handles the end of a response."""
        if self._head_complete and not self.ended:
            self._end(
                reusable=self._parser.should_keep_alive()
                and not self._until_close
            )
