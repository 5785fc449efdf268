"""Small servers that answer as a script says, and a gateway before them."""

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
from nutmeglift_gateway import stream_monitor
from nutmeglift_platform import names
from tests.gateway import rig

WAIT_SECONDS = 5.0
"""Longest wait of a test for what has to happen."""


@dataclasses.dataclass
class SeenRequest:
    """A request as a server got it."""

    head: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader):
    """Reads one request, or returns None at the end of the connection."""
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
    return SeenRequest(first, headers, body)


class ScriptedServer:
    """Runs a script for each request that it gets.

    Attributes:
        seen: the requests, in order.
        lost: set when a caller closed its connection.
        opened: connections that were opened.
        address: IP number and port.
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
        """Stops and resets all connections, as a crash does."""
        self._server.close()
        self.reset_connections()

    def reset_connections(self):
        """Resets all connections, and takes new ones."""
        for writer in list(self._writers):
            reset_connection(writer)

    async def wait_for_request(self):
        """Waits until a request has come."""
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
                work = asyncio.ensure_future(
                    self.script(request, writer, len(self.requests))
                )
                gone = asyncio.ensure_future(reader.read(1))
                await asyncio.wait(
                    [work, gone], return_when=asyncio.FIRST_COMPLETED
                )
                if not work.done():
                    self.client_eof.set()
                    work.cancel()
                gone.cancel()
                break
        except asyncio.CancelledError:
            # The test is over; nobody waits for this connection.
            return
        finally:
            self._writers.discard(writer)
            if not writer.is_closing():
                writer.close()


def complete_response(request, body=b"done", status=200, **headers):
    """Returns the bytes of a sound answer to a request."""
    lines = [
        f"HTTP/1.1 {status} X",
        f"x-attempt-id: {request.headers.get('x-attempt-id', '')}",
        "x-response-seal: seal",
        f"content-length: {len(body)}",
    ]
    lines += [f"{n.replace('_', '-')}: {v}" for n, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def stream_head(request):
    """Returns the head of an event stream in chunks."""
    return (
        "HTTP/1.1 200 OK\r\n"
        f"x-attempt-id: {request.headers['x-attempt-id']}\r\n"
        "x-response-seal: seal\r\ncontent-type: text/event-stream\r\n"
        "transfer-encoding: chunked\r\n\r\n"
    ).encode()


def event_chunk(first, last):
    """Returns events as one chunk."""
    data = b"".join(b"id: %d\ndata: t\n\n" % i for i in range(first, last + 1))
    return responses.chunk(data)


def event_ids(body):
    """Returns the ids of the events in a body."""
    return [
        int(line[4:])
        for line in body.decode().splitlines()
        if line.startswith("id: ")
    ]


def rejecting(fault=""):
    """Returns a script of a server that rejects everything."""

    async def script(request, writer, number):
        extra = f"at-server: {fault}\r\n" if fault else ""
        writer.write(
            b"HTTP/1.1 503 X\r\nx-not-executed: 1\r\n"
            + extra.encode()
            + b"content-length: 0\r\n\r\n"
        )

    return script


async def healthy(request, writer, number):
    """Answers as a sound server does."""
    writer.write(complete_response(request))


async def silent(request, writer, number):
    """Never answers."""
    await asyncio.sleep(60)


async def reset(request, writer, number):
    """Resets the connection without an answer."""
    reset_connection(writer)


def reset_connection(writer):
    """Resets a connection."""
    if writer.is_closing():
        return
    found = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class GatewayRig:
    """Callers' listener and exchanges of a router, without a store."""

    def __init__(self):
        self.board = rig.make_board()
        self.board.freshness.confirm(freshness.boot_clock())
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
        work = exchange.Exchange(self.context, connection, request)
        task = asyncio.get_running_loop().create_task(work.run())
        connection.on_close = task.cancel
        self._tasks.append(task)

    async def add_server(self, script, name, service=rig.CORE, **changes):
        """Starts a server and lists it."""
        server = await ScriptedServer(script).start()
        self._servers.append(server)
        self.register(name, server.address, service, **changes)
        return server

    async def add_runner(self, script, name, start, end, **changes):
        """Starts a runner with layers and lists it."""
        return await self.add_server(
            script,
            name,
            rig.MODEL,
            kind=changes.pop("kind", "whole"),
            layers=directory.LayerRange(start, end),
            **changes,
        )

    def register(self, name, address, service=rig.CORE, **changes):
        """Lists a server at an address."""
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
        """Sends a caller's request and returns the whole answer."""
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
