"""Serves an ASGI application on a socket in the running event loop."""

import asyncio
from collections.abc import Iterator
from collections.abc import MutableMapping
import contextlib
import socket
from typing import Any

import uvicorn
from uvicorn.protocols.http import h11_impl

MAX_PENDING_CONNECTIONS = 2048
_WRITER_KEY = "nutmeglift.body_writer"
GRACEFUL_SHUTDOWN_SECONDS = 1


class BodyWriter:
    """Writes parts of a started response body directly to the transport.

    This bypasses the middleware. The parts are sent as HTTP/1.1 chunks; the
    body is started and ended through the server's own send.
    """

    def __init__(self, cycle: h11_impl.RequestResponseCycle) -> None:
        self._cycle = cycle

    async def write(self, part: bytes) -> None:
        """Writes a part once the transport has buffer space.

        Drops the part if the client has disconnected.
        """
        cycle = self._cycle
        if cycle.flow.write_paused and not cycle.disconnected:
            await cycle.flow.drain()
        if not cycle.disconnected:
            cycle.transport.write(b"%x\r\n%b\r\n" % (len(part), part))

    def try_write(self, part: bytes) -> bool:
        """Writes a part unless the transport's buffer is full.

        Returns:
            False if the buffer is full; the part was not written. True also if
            the client has disconnected; the part is dropped.
        """
        cycle = self._cycle
        if cycle.disconnected:
            return True
        if cycle.flow.write_paused:
            return False
        cycle.transport.write(b"%x\r\n%b\r\n" % (len(part), part))
        return True


def body_writer(scope: MutableMapping[str, Any]) -> BodyWriter | None:
    """Returns the body writer of a request, or None if it has none."""
    return scope.get(_WRITER_KEY)


class _WriterMiddleware:
    """Outermost ASGI middleware that adds a BodyWriter to the scope."""

    def __init__(self, app: Any) -> None:
        self._app = app

    async def __call__(
        self, scope: MutableMapping[str, Any], receive: Any, send: Any
    ) -> None:
        """Serves one request."""
        cycle = getattr(send, "__self__", None)
        chunked = scope.get("http_version") == "1.1"
        if chunked and isinstance(cycle, h11_impl.RequestResponseCycle):
            scope[_WRITER_KEY] = BodyWriter(cycle)
        await self._app(scope, receive, send)


class _Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

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
        """Listens on "ip:port"; port 0 selects a free port.

        Returns:
            The address it listens on.
        """
        host, _, port = address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host.strip("[]"), int(port)))
        config = uvicorn.Config(
            _WriterMiddleware(self._app),
            log_config=None,
            access_log=False,
            lifespan="off",
            backlog=MAX_PENDING_CONNECTIONS,
            timeout_graceful_shutdown=GRACEFUL_SHUTDOWN_SECONDS,
            http="h11",
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
        """Stops; open requests are aborted after a second."""
        if self._server is None or self._task is None:
            return
        self._server.should_exit = True
        await self._task
