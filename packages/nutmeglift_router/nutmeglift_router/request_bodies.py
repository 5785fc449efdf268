"""Reads request bodies of limited size."""

from starlette import requests

from nutmeglift import errors


async def read(request: requests.Request, bound: int) -> bytes:
    """Reads a request's body.

    Args:
        request: the request.
        bound: maximum size in bytes.

    Raises:
        errors.RefusedError: the body is larger.
    """
    parts = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > bound:
            raise errors.RefusedError(
                f"the body exceeds {bound} bytes",
                kind=errors.ErrorKind.BODY_TOO_LARGE,
            )
        parts.append(part)
    return b"".join(parts)
