"""Ends work for callers that have left."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from starlette import requests
from starlette import responses

CLIENT_CLOSED_REQUEST = 499
"""Usual status for the logs; nobody reads this answer."""


async def answer_unless_gone(
    request: requests.Request,
    work: Coroutine[Any, Any, responses.Response],
) -> responses.Response:
    """Runs work whose body was read, and cancels it when the caller leaves."""
    answer = asyncio.ensure_future(work)
    gone = asyncio.ensure_future(_wait_until_gone(request))
    try:
        await asyncio.wait({answer, gone}, return_when=asyncio.FIRST_COMPLETED)
        if answer.done():
            return answer.result()
        return responses.Response(status_code=CLIENT_CLOSED_REQUEST)
    finally:
        answer.cancel()
        gone.cancel()
        await asyncio.gather(answer, gone, return_exceptions=True)


async def _wait_until_gone(request: requests.Request) -> None:
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return
