"""Calls a plain service over HTTP, each call at most once."""

import aiosonic

from nutmeglift import backend
from nutmeglift import errors
from nutmeglift_wire import http_client

STATUSES_WITHOUT_BODY = frozenset({204, 304})
LENGTH_HEADERS = frozenset({"content-length", "transfer-encoding"})


class HttpPlainBackend(backend.BasePlainBackend):
    """Opens a connection for each call, so that none is ever sent again.

    The HTTP client repeats GET, PUT and DELETE by itself when a kept
    connection drops; a fresh connection is never kept, so it never does.
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
                timeouts=http_client.within(timeout),
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
        if not _tells_length(request.method, response):
            raise errors.OutcomeUnknownError(
                "plain service: the answer's headers were cut short"
            )
        content_type = response.headers.get("content-type", "text/plain")
        return backend.PlainResponse(
            response.status_code, (("content-type", content_type),), bytes(body)
        )


def _tells_length(method: str, response: aiosonic.HttpResponse) -> bool:
    """Returns whether the headers tell where the body ends.

    The client takes headers that a dropped connection cut short for complete
    ones, and the body for empty.
    """
    if method == "HEAD" or response.status_code in STATUSES_WITHOUT_BODY:
        return True
    names = {name.lower() for name in response.headers}
    return not names.isdisjoint(LENGTH_HEADERS)
