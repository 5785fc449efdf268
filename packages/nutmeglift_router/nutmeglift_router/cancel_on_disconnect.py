"""Cancels a request's work when its caller disconnects."""

import asyncio
import contextlib
import types

from starlette import types as asgi

_DISCONNECT = "http.disconnect"


class CancelOnDisconnect(contextlib.AbstractAsyncContextManager[None]):
    """Context manager that cancels its block when the caller disconnects.

    The request's body must have been read before entering. The cancellation
    does not propagate beyond the block.
    """

    def __init__(self, receive: asgi.Receive) -> None:
        self._receive = receive
        self._disconnected = False
        self._guarded_task: asyncio.Task[object] | None = None
        self._watch_task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> None:
        self._guarded_task = asyncio.current_task()
        self._watch_task = asyncio.ensure_future(self._watch())

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> bool:
        if self._watch_task is not None:
            self._watch_task.cancel()
        if not self._disconnected or self._guarded_task is None:
            return False
        self._guarded_task.uncancel()
        return isinstance(error, asyncio.CancelledError)

    async def _watch(self) -> None:
        while True:
            message = await self._receive()
            if message["type"] == _DISCONNECT:
                break
        self._disconnected = True
        if self._guarded_task is not None:
            self._guarded_task.cancel()
