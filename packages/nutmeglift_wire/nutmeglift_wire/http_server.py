"""Runs an ASGI application on a socket, inside the running event loop."""

import asyncio
from collections.abc import Iterator
import contextlib
import socket
from typing import Any

import uvicorn

BACKLOG = 2048
SHUTDOWN_SECONDS = 1


class _Server(uvicorn.Server):
    """A server that leaves signals to the process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """Serves an ASGI application."""

    def __init__(self, app: Any) -> None:
        self._app = app
        self._server: _Server | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self, address: str) -> str:
        """Listens on "ip:port"; port 0 takes a free one.

        Returns:
            The address listened on.
        """
        host, _, port = address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host.strip("[]"), int(port)))
        config = uvicorn.Config(
            self._app,
            log_config=None,
            access_log=False,
            lifespan="off",
            backlog=BACKLOG,
            timeout_graceful_shutdown=SHUTDOWN_SECONDS,
            ws="none",
        )
        self._server = _Server(config)
        self._task = asyncio.ensure_future(
            self._server.serve(sockets=[listener])
        )
        while not self._server.started:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        return f"{host}:{listener.getsockname()[1]}"

    async def stop(self) -> None:
        """Ends open requests after a second and stops."""
        if self._server is None or self._task is None:
            return
        self._server.should_exit = True
        await self._task
