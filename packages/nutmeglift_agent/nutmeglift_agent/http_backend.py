"""HTTP client of a plain service that sends each call at most once."""

import aiosonic

from nutmeglift import backend
from nutmeglift import errors
from nutmeglift_wire import http_client

STATUSES_WITHOUT_BODY = frozenset({204, 304})
BODY_LENGTH_HEADERS = frozenset({"content-length", "transfer-encoding"})


class HttpPlainBackend(backend.BasePlainBackend):
    """Opens a new connection for each call, so that no call is sent twice.

    The HTTP client retries GET, PUT and DELETE by itself when a reused
    connection drops. A new connection for each call rules that out.
    """

    def __init__(self, address: str) -> None:
        self._address = address

    async def call(
        self, request: backend.PlainRequest, timeout: float
    ) -> backend.PlainResponse:
        """Sends a call at most once."""
        client = http_client.make(1)
        headers = dict(request.headers) | {"connection": "close"}
        try:
            response = await client.request(
                f"http://{self._address}{request.path}",
                method=request.method,
                data=request.body or None,
                headers=headers,
                timeouts=http_client.make_timeouts(timeout),
            )
            body = await response.content()
        except http_client.NOT_SENT_ERRORS as error:
            raise errors.RefusedError(
                f"plain service: {error!r}", kind=errors.ErrorKind.NO_BACKEND
            ) from error
        except http_client.ERRORS as error:
            raise errors.OutcomeUnknownError(
                f"plain service: {error!r}"
            ) from error
        finally:
            await client.aclose()
        if not _declares_body_length(request.method, response):
            raise errors.OutcomeUnknownError(
                "plain service: the response headers were truncated"
            )
        content_type = response.headers.get("content-type", "text/plain")
        return backend.PlainResponse(
            response.status_code, (("content-type", content_type),), bytes(body)
        )


def _declares_body_length(method: str, response: aiosonic.HttpResponse) -> bool:
    """Returns whether the headers determine where the body ends.

    When a connection drops within the headers, the client treats the truncated
    headers as complete and the body as empty.
    """
    if method == "HEAD" or response.status_code in STATUSES_WITHOUT_BODY:
        return True
    names = {name.lower() for name in response.headers}
    return not names.isdisjoint(BODY_LENGTH_HEADERS)
