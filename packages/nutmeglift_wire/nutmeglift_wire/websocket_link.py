"""Connections between nutmeglift processes over websockets."""

import asyncio
from typing import cast

import websockets
from websockets.asyncio import client
from websockets.asyncio import connection
from websockets.asyncio import server

from nutmeglift import codec
from nutmeglift import errors
from nutmeglift_wire import link

OPEN_TIMEOUT_SECONDS = 2.0
CLOSE_TIMEOUT_SECONDS = 0.5
WRITE_LIMIT_BYTES = 1024 * 1024


class WebsocketLink(link.BaseLink):
    """A websocket that carries one CBOR message per frame."""

    def __init__(self, websocket: connection.Connection) -> None:
        self._websocket = websocket

    async def send(self, message: codec.AnyMessage) -> None:
        """Sends a message."""
        try:
            await self._websocket.send(codec.encode(message))
        except (websockets.ConnectionClosed, OSError) as error:
            raise errors.LinkClosedError(str(error)) from error

    async def receive(self) -> codec.AnyMessage:
        """Waits for the next message."""
        try:
            frame = await self._websocket.recv()
        except (websockets.ConnectionClosed, OSError) as error:
            raise errors.LinkClosedError(str(error)) from error
        if isinstance(frame, str):
            raise errors.MalformedMessageError(
                "expected a binary frame, got a text frame"
            )
        return codec.decode(frame)

    async def close(self) -> None:
        """Closes the websocket."""
        await self._websocket.close()

    def abort(self) -> None:
        """Closes the connection without a closing handshake."""
        self._websocket.transport.abort()


class WebsocketDialer(link.BaseDialer):
    """Opens websockets."""

    async def dial(self, address: str) -> link.BaseLink:
        """Opens a connection to "ip:port"."""
        try:
            websocket = await client.connect(
                f"ws://{address}/",
                compression=None,
                max_size=codec.MAX_FRAME_BYTES,
                open_timeout=OPEN_TIMEOUT_SECONDS,
                close_timeout=CLOSE_TIMEOUT_SECONDS,
                ping_interval=None,
                write_limit=WRITE_LIMIT_BYTES,
                proxy=None,
            )
        except (OSError, websockets.WebSocketException, TimeoutError) as error:
            raise errors.LinkClosedError(f"{address}: {error}") from error
        return WebsocketLink(websocket)


class WebsocketListener:
    """Accepts websockets."""

    def __init__(self, acceptor: link.Acceptor) -> None:
        self._acceptor = acceptor
        self._server: server.Server | None = None

    async def start(self, address: str) -> str:
        """Starts listening.

        Args:
            address: "ip:port"; port 0 selects a free port.

        Returns:
            The address it listens on.
        """
        host, _, port = address.rpartition(":")
        self._server = await server.serve(
            self._accept,
            host,
            int(port),
            compression=None,
            max_size=codec.MAX_FRAME_BYTES,
            ping_interval=None,
            close_timeout=CLOSE_TIMEOUT_SECONDS,
            write_limit=WRITE_LIMIT_BYTES,
        )
        name = next(iter(self._server.sockets)).getsockname()
        return f"{host}:{name[1]}"

    async def stop(self) -> None:
        """Stops listening and closes all open connections."""
        if self._server is None:
            return
        self._server.close()
        await self._server.wait_closed()

    async def _accept(self, websocket: server.ServerConnection) -> None:
        accepted = WebsocketLink(cast(connection.Connection, websocket))
        try:
            await self._acceptor(accepted)
        except asyncio.CancelledError:
            await accepted.close()
            raise
