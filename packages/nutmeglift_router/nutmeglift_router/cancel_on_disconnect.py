"""Ends the work for a caller whose connection closes."""

import asyncio
import contextlib
import types

from starlette import types as asgi

_DISCONNECT = "http.disconnect"


class CancelOnDisconnect(contextlib.AbstractAsyncContextManager[None]):
    """Cancels the block that it guards when the caller disconnects.

    The request's body must have been read before. The cancellation ends
    with the block.
    """

    def __init__(self, receive: asgi.Receive) -> None:
        self._receive = receive
        self._gone = False
        self._guarded: asyncio.Task[object] | None = None
        self._watching: asyncio.Task[None] | None = None

    async def __aenter__(self) -> None:
        self._guarded = asyncio.current_task()
        self._watching = asyncio.ensure_future(self._watch())

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> bool:
        if self._watching is not None:
            self._watching.cancel()
        if not self._gone or self._guarded is None:
            return False
        self._guarded.uncancel()
        return isinstance(error, asyncio.CancelledError)

    async def _watch(self) -> None:
        while True:
            message = await self._receive()
            if message["type"] == _DISCONNECT:
                break
        self._gone = True
        if self._guarded is not None:
            self._guarded.cancel()
