"""Formats error responses; validates and forwards the responses of servers."""

import enum

import msgspec

from nutmeglift import errors
from nutmeglift import states
from nutmeglift_gateway import http_call
from nutmeglift_gateway import ports

_REASON_BY_STATUS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that apply to a single connection only (RFC 9110, section 7.6.1)."""
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""Interim response to `Expect: 100-continue` (RFC 9110, section 15.2.1)."""
END_OF_HEAD = b"\r\n\r\n"
MISDIRECTED_STATUS = 421
"""The request did not run: the address belongs to another server now, or the
server holds other layers."""
UNAVAILABLE_STATUS = 503
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that state that the request did not run and will not run."""


class _Body(msgspec.Struct):
    kind: str
    ran: str
    request_id: str


class Verdict(enum.Enum):
    """Classification of a server's response."""

    VALID = "good"
    NOT_RUN = "not_run"
    SERVER_ERROR = "server_error"
    INVALID = "spoiled"


def error_response(
    kind: errors.ErrorKind,
    *,
    request_id: str = "",
    retry_after: float | None = None,
    retry_name: bytes = b"retry-after",
    id_name: bytes | None = None,
    keep_alive: bool = False,
    without_body: bool = False,
) -> bytes:
    """Returns the bytes of the router's response to an error.

    Args:
        kind: the error kind.
        request_id: the caller's request id, if known.
        retry_after: seconds after which to retry; sent only if the request did
            not run.
        retry_name: name of the header for retry_after.
        id_name: name of the header that echoes the id.
        keep_alive: whether the connection stays open.
        without_body: whether to leave the body out, as in any response to a
            HEAD request; its length is stated all the same.
    """
    response = errors.ANSWER_BY_KIND[kind]
    body = msgspec.json.encode(
        _Body(kind.value, response.ran.value, request_id)
    )
    reason = _REASON_BY_STATUS.get(response.status, b"Error")
    lines = [
        b"HTTP/1.1 %d %s" % (response.status, reason),
        b"content-type: application/json",
        b"content-length: %d" % len(body),
    ]
    if retry_after is not None and response.ran is states.Ran.NOT_RUN:
        lines.append(retry_name + b": %.3f" % retry_after)
    if id_name is not None and request_id:
        lines.append(id_name + b": " + request_id.encode("latin-1"))
    if not keep_alive:
        lines.append(b"connection: close")
    raw = b"\r\n".join(lines) + END_OF_HEAD + body
    return drop_body(raw) if without_body else raw


def drop_body(response: bytes) -> bytes:
    """Returns the head of a response."""
    head, _, _ = response.partition(END_OF_HEAD)
    return head + END_OF_HEAD


def judge(
    names: ports.HeaderNames, head: http_call.Head, request_id: bytes
) -> Verdict:
    """Classifies a server's response by its head.

    Args:
        names: names of the headers.
        head: status and headers.
        request_id: the id that the request carried.
    """
    echoed = head.get(names.request_id)
    if echoed is not None and echoed != request_id:
        # Also if it states that it did not run: another request didn't.
        return Verdict.INVALID
    if head.get(names.not_run) is not None:
        return Verdict.NOT_RUN
    if head.status == MISDIRECTED_STATUS:
        return Verdict.NOT_RUN
    if echoed is None:
        # Servers echo the id. Without it the response may belong to another
        # request.
        return Verdict.INVALID
    if head.get(b"content-encoding") is not None:
        return Verdict.INVALID
    if 200 <= head.status < 300:  # noqa: PLR2004 - success.
        if head.get(names.receipt) is None:
            return Verdict.INVALID
        return Verdict.VALID
    if head.status >= 500 or head.status in NOT_RUN_STATUSES:  # noqa: PLR2004
        return Verdict.SERVER_ERROR
    return Verdict.VALID


def forwarded_head(
    head: http_call.Head,
    *,
    length: int | None,
    chunked: bool,
    keep_alive: bool,
    without_body: bool = False,
) -> bytes:
    """Returns the bytes of a server's response head, for the caller.

    Args:
        head: status and headers that the server sent.
        length: length of the body in bytes, if known.
        chunked: whether the body is sent in chunks.
        keep_alive: whether the connection stays open.
        without_body: whether the response has no body, regardless of its
            Content-Length.
    """
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, value in head.headers:
        if name == b"connection":
            dropped.update(p.strip().lower() for p in value.split(b","))
    if not without_body:
        dropped.add(b"content-length")
    reason = _REASON_BY_STATUS.get(head.status, b"Status")
    lines = [b"HTTP/1.1 %d %s" % (head.status, reason)]
    lines += [
        name + b": " + value
        for name, value in head.headers
        if name not in dropped
    ]
    if chunked:
        lines.append(b"transfer-encoding: chunked")
    elif length is not None and not without_body:
        lines.append(b"content-length: %d" % length)
    if not keep_alive:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Returns data encoded as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
