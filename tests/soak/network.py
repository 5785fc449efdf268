"""A loopback TCP proxy with injected network faults."""

import asyncio
import enum

CHUNK_BYTES = 65536


class Mode(enum.Enum):
    """What the proxy does with connections."""

    PASS = "pass"
    DELAY = "delay"
    """Every chunk is delayed."""
    SILENT = "silent"
    """No data is forwarded, and connections stay open."""
    ONE_WAY = "one_way"
    """Requests are forwarded, responses are not."""
    RESET = "reset"
    """New and open connections are reset."""


class Proxy:
    """Forwards connections from a router to a server."""

    def __init__(self, target):
        self._target = target
        self._mode = Mode.PASS
        self._writers = set()
        self._server = None
        self.address = ""

    async def start(self):
        self._server = await asyncio.start_server(self._run, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def set_mode(self, mode):
        self._mode = mode
        if mode is Mode.RESET:
            for writer in list(self._writers):
                writer.transport.abort()

    def close(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _run(self, reader, writer):
        if self._mode is Mode.RESET:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            host, _, port = self._target.rpartition(":")
            server_reader, server_writer = await asyncio.open_connection(
                host, port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(server_writer)
        try:
            await asyncio.gather(
                self._forward(reader, server_writer, is_response=False),
                self._forward(server_reader, writer, is_response=True),
            )
        except (ConnectionError, asyncio.CancelledError):
            # One end has closed; both connections are aborted below.
            pass
        finally:
            for connection_writer in (writer, server_writer):
                self._writers.discard(connection_writer)
                connection_writer.transport.abort()

    async def _forward(self, reader, writer, *, is_response):
        while data := await reader.read(CHUNK_BYTES):
            while self._mode is Mode.SILENT or (  # noqa: ASYNC110
                is_response and self._mode is Mode.ONE_WAY
            ):
                await asyncio.sleep(0.05)
            if self._mode is Mode.DELAY:
                await asyncio.sleep(0.2)
            writer.write(data)
            await writer.drain()
        writer.close()
