"""Runs an ASGI application on a socket, inside the running event loop."""

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
    """Writes parts of a body that has begun, past the middleware.

    The parts go out as HTTP/1.1 chunks; the server's own send begins and
    ends the body.
    """

    def __init__(self, cycle: h11_impl.RequestResponseCycle) -> None:
        self._cycle = cycle

    async def write(self, part: bytes) -> None:
        """Writes a part, once the caller has room; none to a gone caller."""
        cycle = self._cycle
        if cycle.flow.write_paused and not cycle.disconnected:
            await cycle.flow.drain()
        if not cycle.disconnected:
            cycle.transport.write(b"%x\r\n%b\r\n" % (len(part), part))

    def try_write(self, part: bytes) -> bool:
        """Writes a part unless the caller has no room for it now.

        Returns:
            False when it was not written.
        """
        cycle = self._cycle
        if cycle.disconnected:
            return True
        if cycle.flow.write_paused:
            return False
        cycle.transport.write(b"%x\r\n%b\r\n" % (len(part), part))
        return True


def body_writer(scope: MutableMapping[str, Any]) -> BodyWriter | None:
    """Returns the writer of a request's answer, or None for want of one."""
    return scope.get(_WRITER_KEY)


class _WriterMiddleware:
    """ASGI middleware, outermost, that offers a BodyWriter."""

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
        """Ends open requests after a second and stops."""
        if self._server is None or self._task is None:
            return
        self._server.should_exit = True
        await self._task
