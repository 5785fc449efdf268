"""HTTP responses to failed requests."""

from typing import Any

from starlette import requests
from starlette import responses

from nutmeglift import errors

REPLAYED_HEADER = "Idempotent-Replayed"


def error_body(error: errors.NutmegError, request: str) -> dict[str, Any]:
    """Returns the JSON content that describes an error to a caller.

    Args:
        error: the error.
        request: the request id.
    """
    return {
        "kind": error.kind.value,
        "ran": error.ran.value,
        "message": error.detail,
        "retryable": error.answer.retryable,
        "request_id": request,
    }


async def make_error_response(
    request: requests.Request, error: Exception
) -> responses.Response:
    """Returns the response to a failed request.

    Errors of other types than errors.NutmegError are raised again.
    """
    if not isinstance(error, errors.NutmegError):
        raise error
    headers = {}
    if error.retry_after is not None:
        headers["Retry-After"] = str(max(1, round(error.retry_after)))
    if error.replayed:
        headers[REPLAYED_HEADER] = "true"
    return responses.JSONResponse(
        {"error": error_body(error, request.headers.get("x-request-id", ""))},
        status_code=error.answer.status,
        headers=headers,
    )
