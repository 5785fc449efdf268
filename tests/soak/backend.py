"""Stand-ins for runners and plain servers that record what they run."""

import asyncio
import dataclasses
import enum
import json

from nutmeglift import kv
from tests.gateway import stand_ins
from tests.soak import endless
from tests.soak import payloads
from tests.soak import poison

LAYER_COUNT = 80
EXIT_CHECK_INTERVAL_SECONDS = 0.02
EVENT_INTERVAL_SECONDS = 0.03
LAST_CHUNK = b"0\r\n\r\n"
POISON_RESTART_SECONDS = 1.5
INVALID_STATUSES = (b" 000 ", b" 099 ", b" 600 ")


class EntryState(enum.Enum):
    """What the store says of a server."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"
    """The store has no entry; the server may serve on."""


class Fault(enum.Enum):
    """How a server fails.

    Requests that are rejected do not run; with all other members they do.
    """

    NONE = "none"
    RESET = "reset"
    """Runs the request and resets the connection without a response."""
    REJECT = "reject"
    """Rejects the request as not run."""
    CORRUPT = "corrupt"
    """Runs the request and responds with another request's id.

    A stream is reset halfway instead.
    """
    INVALID = "invalid"
    """Runs the request and responds with a status that HTTP doesn't have."""
    SILENT = "silent"
    """Runs the request and never responds."""
    ENDLESS = "endless"
    """Runs the request and responds without end, in Server.endless."""


@dataclasses.dataclass
class Run:
    """One run of a request.

    Attributes:
        server: name of the server.
        fault: the server's fault at the start of the run.
        started_at: time of its start, in seconds of the event loop's clock.
        ended_at: time of its end; infinite while it goes on.
        began_at: time of its first event; infinite before.
        has_broken_off: whether the server broke off.
        is_complete: whether the server has sent the whole response.
    """

    server: str
    fault: Fault
    started_at: float
    ended_at: float = float("inf")
    has_broken_off: bool = False
    is_complete: bool = False
    began_at: float = float("inf")


@dataclasses.dataclass
class Departure:
    """How a lifetime of a server ended.

    Attributes:
        server: name of the server.
        left_at: when the store accepted its first change of the entry.
        ended_at: when it stopped; infinite until then.
    """

    server: str
    left_at: float
    ended_at: float = float("inf")


@dataclasses.dataclass
class Record:
    """What all stand-ins have observed.

    Attributes:
        runs_by_id: the runs of a request, by the caller's request id.
        problems: violated guarantees.
        events: times and names of the changes of the servers' lifetimes.
        departures: the servers that left.
        poison_by_segment: segments that end the runners that answer them.
    """

    runs_by_id: dict[str, list[Run]] = dataclasses.field(default_factory=dict)
    problems: list[str] = dataclasses.field(default_factory=list)
    events: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    departures: list[Departure] = dataclasses.field(default_factory=list)
    poison_by_segment: dict[str, poison.Poison] = dataclasses.field(
        default_factory=dict
    )


class Server:
    """One backend server: a runner if it has a kind, else a plain server."""

    def __init__(self, record, memory, name, service, kind=""):
        self.record = record
        self.memory = memory
        self.name = name
        self.service = service
        self.kind = kind
        self.fault = Fault.NONE
        self.endless = endless.Endless.HEADERS
        self.control_endless = None
        self.layers = None
        self.order_count = 0
        self.start_time = 1000
        self.lifetime_lock = asyncio.Lock()
        self._entry_state = EntryState.REMOVED
        self._awake = asyncio.Event()
        self._awake.set()
        self._active = []
        self._restarting = None
        self._server = stand_ins.ScriptedServer(self._respond)

    @property
    def address(self):
        return self._server.address

    async def start(self):
        await self._server.start()
        await self.change_entry(EntryState.READY)

    async def crash(self):
        """Resets all connections; the entry ends as after missed heartbeats."""
        self._break_off("crashed")
        await self.change_entry(EntryState.REMOVED)

    async def exit(self, seconds):
        """Stops listening, and exits when its requests have ended.

        Args:
            seconds: time after which running requests are broken off.
        """
        self._server.close()
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while (  # noqa: ASYNC110
            self._server.open_connection_count and loop.time() < end
        ):
            await asyncio.sleep(EXIT_CHECK_INTERVAL_SECONDS)
        self._break_off("exited")

    def _break_off(self, event_name):
        for run in self._active:
            run.has_broken_off = True
        self._server.abort()
        self._record(f"{event_name}, {len(self._active)} broken off")

    async def restart(self):
        """Starts a new lifetime at another address, without layers."""
        self.layers, self.order_count = None, 0
        self.start_time += 1
        self.fault = Fault.NONE
        self._server = stand_ins.ScriptedServer(self._respond)
        await self.start()

    async def pause(self, seconds):
        """Sends nothing for that long, then goes on with nothing lost."""
        self._awake.clear()
        await asyncio.sleep(seconds)
        self._awake.set()

    async def change_entry(self, state):
        """Changes the state in the server's entry, or removes the entry."""
        self._entry_state = state
        self._record(f"entry {state.value}")
        if state is EntryState.REMOVED:
            await self.memory.txn([], [kv.Delete(f"servers/{self.name}")])
        else:
            await self._write_entry()

    async def renew(self):
        """Writes the entry again, unless it was removed."""
        if self._entry_state is not EntryState.REMOVED:
            await self._write_entry()

    def _record(self, event_name):
        now = asyncio.get_running_loop().time()
        name = f"{self.name} at {self.address}: {event_name}"
        self.record.events.append((now, name))

    async def _write_entry(self):
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 96,
            "state": self._entry_state.value,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.start_time,
        }
        if self.kind:
            entry |= {
                "stage": "prefill_decode",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "kind": self.kind,
                "layers": self.layers and self.layers | {"version": 1},
            }
        raw = json.dumps(entry).encode()
        await self.memory.txn([], [kv.Put(f"servers/{self.name}", raw)])

    async def _respond(self, request, writer, number):
        await self._awake.wait()
        is_report = request.head.startswith("GET /v1/report")
        if not is_report and not request.head.startswith("POST /v1/order"):
            await self._serve(request, writer)
        elif self.control_endless is not None:
            await endless.write(self.control_endless, writer)
        elif is_report:
            self._send(
                writer,
                200,
                {
                    "sequence": self.order_count,
                    "layers": self.layers,
                    "born": self.start_time,
                },
            )
        else:
            await self._take_order(json.loads(request.body), writer)

    async def _take_order(self, order, writer):
        if order["operation"] != "place":
            self._send(writer, 404, {})
            return
        if order["expected"] != self.order_count:
            self._send(writer, 409, {})
            return
        self.order_count += 1
        self.layers = {"from": order["from"], "target": order["target"]}
        self._send(writer, 202, {})
        if self._entry_state is not EntryState.REMOVED:
            await self._write_entry()

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
        if self.kind:
            self._check_path(request)
        loop = asyncio.get_running_loop()
        run = Run(self.name, fault, loop.time())
        self.record.runs_by_id.setdefault(request_id, []).append(run)
        self._active.append(run)
        try:
            await self._run(request, writer, run)
        except ConnectionError:
            # The router has closed the connection.
            return
        finally:
            run.ended_at = loop.time()
            self._active.remove(run)

    async def _run(self, request, writer, run):
        request_id = request.headers["x-attempt-id"]
        segment = poison.find(
            request.headers.get("x-prompt-prefix", ""),
            self.record.poison_by_segment,
        )
        if segment is not None:
            await self._end_by(segment, request_id, run)
            return
        if run.fault is Fault.RESET:
            run.has_broken_off = True
            stand_ins.reset_connection(writer)
        elif run.fault is Fault.INVALID:
            run.has_broken_off = True
            status = INVALID_STATUSES[len(request_id) % len(INVALID_STATUSES)]
            raw = stand_ins.complete_response(request)
            writer.write(raw.replace(b" 200 ", status, 1))
        elif run.fault is Fault.SILENT:
            await asyncio.sleep(60)
        elif run.fault is Fault.ENDLESS and not self._begins_with_events():
            extra = f"x-attempt-id: {request_id}\r\nx-response-seal: seal\r\n"
            await endless.write(self.endless, writer, extra.encode())
        elif self.kind:
            await self._stream(request, writer, run)
        else:
            if run.fault is Fault.CORRUPT:
                run.has_broken_off = True
                request.headers["x-attempt-id"] = "another"
            body = payloads.plain_body(request_id)
            writer.write(stand_ins.complete_response(request, body))

    async def _end_by(self, segment, request_id, run):
        """Ends this server as it begins to answer, and restarts it later."""
        found = self.record.poison_by_segment[segment]
        loop = asyncio.get_running_loop()
        found.arrivals.append((loop.time(), request_id))
        await asyncio.sleep(EVENT_INTERVAL_SECONDS)
        run.has_broken_off = True
        if self.lifetime_lock.locked():
            # It is leaving, or has crashed in the meantime.
            return
        found.crashes.append(loop.time())
        self._restarting = asyncio.ensure_future(self._crash_and_restart())

    async def _crash_and_restart(self):
        async with self.lifetime_lock:
            await self.crash()
            await asyncio.sleep(POISON_RESTART_SECONDS)
            await self.restart()

    def _begins_with_events(self):
        """Returns whether a response without end begins with events."""
        return self.kind and self.endless is endless.Endless.CHUNKS

    def _check_path(self, request):
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

    async def _stream(self, request, writer, run):
        request_id = request.headers["x-attempt-id"]
        loop = asyncio.get_running_loop()
        target = request.head.split(" ")[1]
        size, count = payloads.event_size(target), payloads.event_count(target)
        writer.write(stand_ins.stream_head(request))
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, count + 1):
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
            await self._awake.wait()
            is_half = number == count // 2
            if run.fault is Fault.CORRUPT and is_half:
                run.has_broken_off = True
                stand_ins.reset_connection(writer)
                return
            if run.fault is Fault.ENDLESS and is_half:
                await endless.write(self.endless, writer, begun=True)
                return
            data = payloads.event(request_id, number, size)
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            run.began_at = min(run.began_at, loop.time())
            await writer.drain()
        writer.write(LAST_CHUNK)
        run.is_complete = True

    @staticmethod
    def _send(writer, status, body):
        raw = json.dumps(body).encode()
        writer.write(
            b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%b"
            % (status, len(raw), raw)
        )
