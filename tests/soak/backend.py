"""Stand-ins for runners and plain servers that record what they run."""

import asyncio
import dataclasses
import enum
import json

from nutmeglift import kv
from tests.gateway import stand_ins

LAYER_COUNT = 80
EVENT_COUNT = 12
EVENT_INTERVAL_SECONDS = 0.03
LAST_CHUNK = b"0\r\n\r\n"
START_TIME_INCREMENT = 1


class Fault(enum.Enum):
    """How a server fails.

    Requests that are rejected do not run; with all other members they do.
    """

    NONE = "none"
    RESET = "lose"
    """Runs the request and resets the connection without a response."""
    REJECT = "reject"
    """Rejects the request as not run."""
    CORRUPT = "spoil"
    """Runs the request and responds with another request's id.

    A stream is reset halfway instead.
    """
    SILENT = "silent"
    """Runs the request and never responds."""


@dataclasses.dataclass
class Record:
    """What all stand-ins have observed.

    Attributes:
        runs_by_id: names of the servers that ran a request, by the caller's
            request id.
        problems: violated guarantees.
    """

    runs_by_id: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    problems: list[str] = dataclasses.field(default_factory=list)

    def add_run(self, request_id, server):
        self.runs_by_id.setdefault(request_id, []).append(server)


class Server:
    """One backend server: a runner if it has a kind, else a plain server."""

    def __init__(self, record, memory, name, service, kind=""):
        self.record = record
        self.memory = memory
        self.name = name
        self.service = service
        self.kind = kind
        self.fault = Fault.NONE
        self.layers = None
        self.orders = 0
        self.born = 1000
        self._server = stand_ins.ScriptedServer(self._respond)

    @property
    def address(self):
        return self._server.address

    async def start(self):
        await self._server.start()
        await self.write("ready")

    async def crash(self):
        """Resets all connections; the entry ends as after missed heartbeats."""
        self._server.abort()
        await self.memory.txn([], [kv.Delete(f"servers/{self.name}")])

    async def restart(self):
        """Starts a new lifetime at another address, without layers."""
        self.layers, self.orders = None, 0
        self.born += START_TIME_INCREMENT
        self.fault = Fault.NONE
        self._server = stand_ins.ScriptedServer(self._respond)
        await self.start()

    async def write(self, state):
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "slots": 96,
            "state": state,
            "sequence": 1,
            "born": self.born,
            "kind": self.kind,
            "layers": self.layers,
        }
        raw = json.dumps(entry).encode()
        await self.memory.txn([], [kv.Put(f"servers/{self.name}", raw)])

    async def _respond(self, request, writer, number):
        if request.head.startswith("GET /v1/report"):
            self._send(
                writer, 200, {"sequence": self.orders, "layers": self.layers}
            )
        elif request.head.startswith("POST /v1/order"):
            await self._take_order(json.loads(request.body), writer)
        else:
            await self._serve(request, writer)

    async def _take_order(self, order, writer):
        if order["operation"] != "place":
            self._send(writer, 404, {})
            return
        if order["expected"] != self.orders:
            self._send(writer, 409, {})
            return
        self.orders += 1
        self.layers = {"from": order["from"], "target": order["target"]}
        self._send(writer, 202, {})
        await self.write("ready")

    async def _serve(self, request, writer):
        request_id = request.headers["x-attempt-id"]
        expected = request.headers.get("x-expect-instance")
        if expected != self.name:
            self._send(writer, 421, {})
            return
        if "x-api-key" in request.headers:
            self.record.problems.append(f"{request_id}: API key forwarded")
        fault = self.fault
        if fault is Fault.REJECT:
            writer.write(
                b"HTTP/1.1 503 X\r\nx-not-executed: 1\r\n"
                b"content-length: 0\r\n\r\n"
            )
            return
        if self.kind and not self._check_path(request, writer):
            return
        self.record.add_run(request_id, self.name)
        if fault is Fault.RESET:
            stand_ins.reset_connection(writer)
        elif fault is Fault.SILENT:
            await asyncio.sleep(60)
        elif self.kind:
            await self._stream(request, writer, fault)
        else:
            if fault is Fault.CORRUPT:
                request.headers["x-attempt-id"] = "another"
            body = f"answer to {request_id}".encode()
            writer.write(stand_ins.complete_response(request, body))

    def _check_path(self, request, writer):
        next_layer = 0
        for part in request.headers["x-hop-count"].split(","):
            start, end = map(int, part.partition("=")[2].split("-"))
            if start != next_layer:
                self.record.problems.append(
                    f"path has a gap or overlap at {part}"
                )
            next_layer = end
        if next_layer != LAYER_COUNT:
            self.record.problems.append("path does not cover all layers")
        return True

    async def _stream(self, request, writer, fault):
        request_id = request.headers["x-attempt-id"]
        writer.write(stand_ins.stream_head(request))
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, EVENT_COUNT + 1):
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
            if fault is Fault.CORRUPT and number == EVENT_COUNT // 2:
                stand_ins.reset_connection(writer)
                return
            data = f"id: {number}\ndata: {request_id}:{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
        writer.write(LAST_CHUNK)

    @staticmethod
    def _send(writer, status, body):
        raw = json.dumps(body).encode()
        writer.write(
            b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%b"
            % (status, len(raw), raw)
        )
