"""Scripted HTTP servers, and a gateway in front of them."""

import asyncio
import dataclasses
import socket
import struct

from nutmeglift_gateway import context as contexts
from nutmeglift_gateway import control_client
from nutmeglift_gateway import directory
from nutmeglift_gateway import exchange
from nutmeglift_gateway import failure_recorder
from nutmeglift_gateway import freshness
from nutmeglift_gateway import http_call
from nutmeglift_gateway import http_listener
from nutmeglift_gateway import metrics
from nutmeglift_gateway import responses
from nutmeglift_gateway import settings
from nutmeglift_gateway import stream_monitor
from nutmeglift_gateway.load import waiting_room
from nutmeglift_platform import names
from tests.gateway import rig
from tests.gateway import virtual_time_case

WAIT_SECONDS = 5.0
"""Longest time that a test waits for an expected event."""


@dataclasses.dataclass
class ReceivedRequest:
    """A request as a server received it."""

    head: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader):
    """Reads one request; returns None if the connection has ended."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return ReceivedRequest(first, headers, body)


class ScriptedServer:
    """HTTP server on the loopback interface that runs a script per request.

    A connection serves one request, or any number with `keep_alive`.

    Attributes:
        script: coroutine function that is called with the request, the
            connection's writer and the number of requests so far.
        requests: the requests received, in order.
        client_eof: set when a client closed its connection before the script
            had ended.
        accepted_count: number of connections accepted.
        address: IP address and port.
    """

    def __init__(self, script, *, keep_alive=False):
        self.script = script
        self._keep_alive = keep_alive
        self.requests = []
        self.client_eof = asyncio.Event()
        self._request_received = asyncio.Event()
        self._writers = set()
        self.address = ""
        self.accepted_count = 0
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._run, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    def close(self):
        self._server.close()

    @property
    def open_connection_count(self):
        """Number of open connections."""
        return len(self._writers)

    def abort(self):
        """Stops listening and resets all connections, as a crash does."""
        self._server.close()
        self.reset_connections()

    def reset_connections(self):
        """Resets all connections; new ones are still accepted."""
        for writer in list(self._writers):
            reset_connection(writer)

    async def wait_for_request(self):
        """Waits until a request has been received."""
        await asyncio.wait_for(self._request_received.wait(), WAIT_SECONDS)

    async def _run(self, reader, writer):
        self._writers.add(writer)
        self.accepted_count += 1
        try:
            while (request := await read_request(reader)) is not None:
                self.requests.append(request)
                self._request_received.set()
                if self._keep_alive:
                    await self.script(request, writer, len(self.requests))
                    continue
                script_task = asyncio.ensure_future(
                    self.script(request, writer, len(self.requests))
                )
                eof_task = asyncio.ensure_future(reader.read(1))
                await asyncio.wait(
                    [script_task, eof_task], return_when=asyncio.FIRST_COMPLETED
                )
                if not script_task.done():
                    self.client_eof.set()
                    script_task.cancel()
                eof_task.cancel()
                break
        except asyncio.CancelledError:
            # The test has ended; nothing waits for this connection.
            return
        finally:
            self._writers.discard(writer)
            if not writer.is_closing():
                writer.close()


def complete_response(request, body=b"done", status=200, **headers):
    """Returns the bytes of a complete, valid response to a request."""
    lines = [
        f"HTTP/1.1 {status} X",
        f"x-attempt-id: {request.headers.get('x-attempt-id', '')}",
        "x-response-seal: seal",
        f"content-length: {len(body)}",
    ]
    lines += [f"{n.replace('_', '-')}: {v}" for n, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def stream_head(request):
    """Returns the response head of a chunked event stream."""
    return (
        "HTTP/1.1 200 OK\r\n"
        f"x-attempt-id: {request.headers['x-attempt-id']}\r\n"
        "x-response-seal: seal\r\ncontent-type: text/event-stream\r\n"
        "transfer-encoding: chunked\r\n\r\n"
    ).encode()


def sse_chunk(first, last):
    """Returns the events with ids `first` to `last` as one HTTP chunk."""
    data = b"".join(b"id: %d\ndata: t\n\n" % i for i in range(first, last + 1))
    return responses.chunk(data)


async def missing_event(request, writer, number):
    """Sends a stream without event 4, in one chunk."""
    events = [b"id: %d\ndata: t\n\n" % i for i in (1, 2, 3, 5)]
    writer.write(stream_head(request) + responses.chunk(b"".join(events)))


def event_ids(body):
    """Returns the ids of the events in a body."""
    return [
        int(line[4:])
        for line in body.decode().splitlines()
        if line.startswith("id: ")
    ]


def rejecting(faulty_address=""):
    """Returns a script that rejects every request as not run.

    Args:
        faulty_address: the server that the rejection blames, if any.
    """

    async def script(request, writer, number):
        extra = f"at-server: {faulty_address}\r\n" if faulty_address else ""
        writer.write(
            b"HTTP/1.1 503 X\r\nx-not-executed: 1\r\n"
            + extra.encode()
            + b"content-length: 0\r\n\r\n"
        )

    return script


async def healthy(request, writer, number):
    """Responds as a healthy server does."""
    writer.write(complete_response(request))


async def silent(request, writer, number):
    """Never responds."""
    await asyncio.sleep(60)


async def reset(request, writer, number):
    """Resets the connection without a response."""
    reset_connection(writer)


def reset_connection(writer):
    """Resets a connection: the peer receives RST instead of FIN."""
    if writer.is_closing():
        return
    connection = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class GatewayRig:
    """A router's listener for callers and its exchanges, without a store."""

    def __init__(self):
        self.board = rig.make_board()
        rig.confirm(self.board, freshness.boot_clock())
        self.log = rig.MemoryLog()
        self.runners = rig.MemoryRunners()
        self.metrics = metrics.Metrics()
        self.failure_recorder = failure_recorder.FailureRecorder(
            self.board, self.log, self.metrics
        )
        self.monitor = stream_monitor.StreamMonitor(
            self.board,
            self.runners,
            self.log,
            self.metrics,
            self.failure_recorder,
            rig.make_rng(),
        )
        self.context = contexts.Context(
            self.board,
            names.HEADERS,
            self.runners,
            self.monitor,
            self.failure_recorder,
            self.log,
            self.metrics,
            rig.make_rng(),
            waiting_room.WaitingRoom(
                self.board,
                settings.Room(),
                self.metrics,
                self.log,
                rig.make_rng(),
            ),
        )
        self.connections = set()
        self.address = ""
        self._tasks = []
        self._servers = []
        self._revision = 10

    async def start(self):
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: http_listener.CallerConnection(
                self._on_request,
                self.board.limits,
                responses.error_response,
                self.connections,
            ),
            "127.0.0.1",
            0,
        )
        self._servers.append(server)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self._tasks.append(loop.create_task(self.monitor.run()))

    def _on_request(self, connection, request):
        handler = exchange.Exchange(self.context, connection, request)
        task = asyncio.get_running_loop().create_task(handler.run())
        connection.on_close = task.cancel
        self._tasks.append(task)

    async def add_server(self, script, name, service=rig.CORE, **changes):
        """Starts a server and registers it in the directory."""
        server = await ScriptedServer(script).start()
        self._servers.append(server)
        self.register(name, server.address, service, **changes)
        return server

    async def add_runner(self, script, name, start, end, **changes):
        """Starts a runner that holds layers and registers it."""
        return await self.add_server(
            script,
            name,
            rig.MODEL,
            kind=changes.pop("kind", "whole"),
            layers=directory.LayerRange(start, end),
            **changes,
        )

    def register(self, name, address, service=rig.CORE, **changes):
        """Registers a server at an address in the directory."""
        self._revision += 1
        values = {
            "address": address,
            "service": service,
            "kind": "",
            "slots": 6,
            "revision": self._revision,
        }
        server = rig.make_server(name, **(values | changes))
        self.board.directory.put(0.0, server)
        return server

    async def call(self, path, method="POST", timeout=WAIT_SECONDS, **headers):
        """Sends a caller's request and returns the complete response."""
        connection = await http_call.connect(self.address)
        raw = self.format_request(path, method, **headers)
        try:
            return await control_client.exchange(
                connection, method, raw, timeout
            )
        finally:
            connection.close()

    @staticmethod
    def format_request(path, method="POST", body=b"x", **headers):
        """Returns the bytes of a caller's request."""
        request = rig.make_request(path, method, body, **headers)
        return http_call.format_request(method, path, request.headers, body)

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in self._servers:
            server.close()
        for connection in list(self.connections):
            connection.abort()


class GatewayTestCase(virtual_time_case.VirtualTimeTestCase):
    """Test case with a router's listener for callers and its exchanges."""

    async def asyncSetUp(self):
        self.rig = GatewayRig()
        await self.rig.start()
        self.addAsyncCleanup(self.rig.stop)
