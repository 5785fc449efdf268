"""Stand-ins for the platform's store, its runners and its clients.

They do what PROTOCOL.md of the kit says, on loopback addresses and the real
clock. Only the standard library is used. The routers are the project's own
processes, started as deploy/system.toml says.
"""

import asyncio
import base64
import collections
import dataclasses
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HEARTBEAT_SECONDS = 1.2
MISSED_HEARTBEATS = 3
STALL_SECONDS = 2.0
RECOVERY_SECONDS = 12.0
LAYERS = 80
LAYER_MB = 1750.0
LOAD_SECONDS = 14.0
KINDS = {"a100": 72000.0, "v100": 14400.0, "l4": 21600.0}
MODEL = "m0"
MODEL_SERVICE = "models"
PLAIN_SERVICE = "register"
ROUTE_HOST = "desk.example"
STREAM_PREFIX = "/draft/"
SAFE_PREFIX = "/lookup/"
UNSAFE_PREFIX = "/release/"
KEY = "n2ctnfzs989anu6wsjnb"
EVENT_COUNT = 10
EVENT_SECONDS = 0.03


def trouble() -> bool:
    """Returns whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = open(  # noqa: SIM115 - open for the whole run.
            pathlib.Path(folder) / "record.txt", "w", encoding="utf-8"
        )
        self._began = time.monotonic()

    def write(self, text):
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def now(self):
        return time.monotonic() - self._began


@dataclasses.dataclass
class Request:
    method: str
    target: str
    headers: dict
    body: bytes


async def read_message(reader):
    """Returns the first line, headers and body of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close):
    """Returns a body and whether it is complete."""
    body = b""
    try:
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"])), True
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"x", 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return body, True
                body += data[:-2]
        if until_close:
            return await reader.read(), True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False
    return b"", True


class HttpServer:
    """Serves one request after the other on each connection."""

    def __init__(self, handler, port=0):
        self._handler = handler
        self.port = port
        self._server = None
        self._writers = set()
        self._tasks = set()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self.port = self.port or free_ports(1)[0]
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=2**22
        )

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                found = await read_message(reader)
                if found is None:
                    return
                line, headers = found
                body, complete = await read_body(reader, headers, False)
                if not complete:
                    return
                method, target, _ = line.split(" ", 2)
                if not await self._handler(
                    Request(method, target, headers, body), writer
                ):
                    return
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    def stop(self):
        """Ends as a killed process does: all connections are reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    b"\x01\x00\x00\x00\x00\x00\x00\x00",
                )
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()


def free_ports(count):
    """Returns ports that nothing listens on.

    They are below those that the kernel gives to outgoing connections, which
    could take them before they are used, or while a server is down.
    """
    socks = []
    while len(socks) < count:
        sock = socket.socket()
        try:
            sock.bind((HOST, random.randint(10000, 32000)))
        except OSError:
            sock.close()
            continue
        socks.append(sock)
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def respond(writer, status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


@dataclasses.dataclass
class Item:
    key: str
    value: bytes
    revision: int
    created: int
    lease: int

    def encode(self):
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created_rev": self.created,
            "lease": self.lease,
        }


class Store:
    """The platform's store.

    Attributes:
        lose: returns whether a write, which is done, gets no answer.
        counts: calls by name.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.items = {}
        self.history = []
        self.leases = {}
        self.lease_ttl = {}
        self.lose = lambda name, body: False
        self.on_change = lambda key, item: None
        self.counts = collections.Counter()
        self._next_lease = 7000
        self._changed = asyncio.Event()
        self.server = HttpServer(self._handle)
        self._task = None

    async def start(self):
        await self.server.start()
        self._task = asyncio.create_task(self._expire())

    async def open_path(self):
        """Returns a path to the store that can be cut for one router."""
        path = StorePath(self)
        await path.server.start()
        return path

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, ends_at in list(self.leases.items()):
                if now >= ends_at:
                    self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        keys = [k for k, item in self.items.items() if item.lease == lease]
        if keys:
            self.write([], keys)

    def write(self, puts, removed=()):
        """Applies puts (key, value, lease) and removals at one revision."""
        self.revision += 1
        for key, value, lease in puts:
            known = self.items.get(key)
            created = known.created if known else self.revision
            item = Item(key, value, self.revision, created, lease)
            self.items[key] = item
            self.history.append((self.revision, key, item))
            self.on_change(key, item)
        for key in removed:
            if self.items.pop(key, None) is not None:
                self.history.append((self.revision, key, None))
                self.on_change(key, None)
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def put_json(self, key, fields):
        return self.write([(key, json.dumps(fields).encode(), 0)])

    async def _handle(self, request, writer):
        url = parse.urlsplit(request.target)
        query = dict(parse.parse_qsl(url.query, keep_blank_values=True))
        body = json.loads(request.body) if request.body else {}
        name = url.path.split("/")[2]
        self.counts[name] += 1
        await asyncio.sleep(0.004)
        status, answer = await self._call(name, url.path, query, body)
        lost = request.method != "GET" and self.lose(name, body)
        if request.method != "GET" and name != "kv-keep":
            self.record.write(
                f"store {name} {json.dumps(body)[:160]} -> {status}"
                f" {json.dumps(answer)[:60]}{' ANSWER LOST' if lost else ''}"
            )
        if lost:
            # The channel returns nothing further.
            await asyncio.sleep(3600)
        raw = json.dumps(answer).encode()
        respond(writer, status, raw, [("Content-Type", "application/json")])
        return True

    async def _call(self, name, path, query, body):
        if name == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, item.encode() | {"store_revision": self.revision}
        if name == "kv-range":
            found = sorted(
                key
                for key in self.items
                if key.startswith(query["prefix"])
                and key > query.get("after", "")
            )
            return 200, {
                "items": [self.items[key].encode() for key in found[:500]],
                "more_pages": len(found) > 500,
                "store_revision": self.revision,
            }
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._txn(body)
        if name == "kv-lease":
            self._next_lease += 1
            lease = self._next_lease
            self.lease_ttl[lease] = max(1000, body["ttl_ms"]) / 1000
            self.leases[lease] = time.monotonic() + self.lease_ttl[lease]
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rsplit("/", 1)[1])
        if name == "kv-keep":
            if lease not in self.leases:
                return 404, {}
            self.leases[lease] = time.monotonic() + self.lease_ttl[lease]
            return 200, {"ttl_ms": int(self.lease_ttl[lease] * 1000)}
        self.end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        after = int(query["after"])
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changed = self._changed
            events = [
                item.encode()
                if item is not None
                else {"key": key, "revision": revision, "removed": True}
                for revision, key, item in self.history
                if revision > after and key.startswith(query["prefix"])
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass

    def _txn(self, body):
        for row in body["expected"]:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                items = [self.items.get(r["key"]) for r in body["expected"]]
                return 412, {"items": [i.encode() for i in items if i]}
        puts = [
            (p["key"], base64.b64decode(p["value"]), p.get("lease", 0))
            for p in body["puts"]
        ]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        if not puts and not body["remove"]:
            return 200, {"revision": self.revision}
        return 200, {"revision": self.write(puts, body["remove"])}


class StorePath:
    """One router's path to the store.

    Attributes:
        cut: whether the path is cut silently: calls don't reach the store, and
            no answer comes back on any channel that was open meanwhile.
    """

    def __init__(self, store):
        self.store = store
        self.cut = False
        self.cuts = 0
        self.server = HttpServer(self._handle)

    def set_cut(self, cut):
        self.cut = cut
        self.cuts += cut

    async def _handle(self, request, writer):
        before = self.cuts
        if self.cut:
            await asyncio.sleep(3600)
        held = _HeldWriter(writer)
        keep = await self.store._handle(request, held)
        if self.cuts != before:
            await asyncio.sleep(3600)
        writer.write(bytes(held.data))
        return keep


class _HeldWriter:
    def __init__(self, writer):
        self.data = bytearray()

    def write(self, data):
        self.data += data


class Server:
    """One backend server with its entry in the store."""

    counter = 0

    def __init__(self, fleet, service, kind=""):
        self.fleet = fleet
        self.service = service
        self.kind = kind
        self.zone = "a"
        self.http = HttpServer(self._handle)
        self.alive = False
        self.state = "ready"
        self.id = ""
        self.born = 0
        self.layers = (0, 0)
        self.loading = None
        self.sequence = 0
        self.fence = 0
        self._beats = 0
        self._task = None
        self._last_beat = 0.0

    @property
    def address(self):
        return self.http.address

    @property
    def key(self):
        return f"servers/{self.id}"

    async def start(self):
        """Starts a new lifetime, which holds nothing."""
        Server.counter += 1
        self.id = f"i-{Server.counter:04d}{os.urandom(3).hex()}"
        self.born = int(time.time() * 1000)
        self.layers, self.loading = (0, 0), None
        self.sequence = self.fence = self._beats = 0
        self.alive = True
        await self.http.start()
        self._task = asyncio.create_task(self._beat_on())
        self.fleet.record.write(
            f"server {self.id} {self.service} {self.kind} starts at"
            f" {self.address}"
        )

    def crash(self, why):
        """Ends; its entry ends after three missed heartbeats."""
        self.fleet.record.write(f"server {self.id} ENDS: {why}")
        self.alive = False
        self.http.stop()
        self._task.cancel()
        key = self.key
        asyncio.get_running_loop().call_later(
            MISSED_HEARTBEATS * HEARTBEAT_SECONDS,
            lambda: self.fleet.store.write([], [key])
            if key in self.fleet.store.items
            else None,
        )

    def described(self):
        found = {"born": self.born}
        if self.kind:
            found |= {
                "kind": self.kind,
                "stage": "prefill_decode",
                "models": [{"name": MODEL, "version": 1, "adapters": []}],
                "layers": {
                    "from": self.layers[0],
                    "target": self.layers[1],
                    "version": 1,
                },
            }
        return found

    def beat(self):
        if self.state == "gone":
            return
        self._beats += 1
        self.fleet.store.put_json(
            self.key,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 96 if self.kind else 6,
                "state": self.state,
                "cold_remaining_ms": 0,
                "sequence": self._beats,
            }
            | self.described(),
        )

    async def _beat_on(self):
        while True:
            self.beat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _handle(self, request, writer):
        path = request.target.partition("?")[0]
        if path == "/health":
            respond(writer, 200, b"", [("X-Instance-Id", self.id)])
            return True
        if self.kind and path == "/v1/report":
            respond(writer, 200, json.dumps(self._report()).encode())
            return True
        if self.kind and path == "/v1/order":
            status, answer = self._order(json.loads(request.body))
            respond(writer, status, json.dumps(answer).encode())
            return True
        return await self._request(request, writer)

    def _report(self):
        return self.described() | {
            "busy": self.loading is not None,
            "sequence": self.sequence,
            "num_waiting": 0,
            "num_running": 0,
            "kv_used": 0,
            "kv_total": 1000000,
            "handles": 0,
            "pace": 1.0,
            "stalled": [],
        }

    def _order(self, body):
        if body.get("operation") == "repath":
            return 404, {}
        if body.get("operation") != "place":
            return 400, {}
        target = (body["from"], body["target"])
        fence = body.get("fencing_token", 0)
        text = (
            f"order to {self.id} ({self.kind}, {KINDS[self.kind]:.0f} mb) at"
            f" {self.address}: hold {target[0]}-{target[1]}"
            f" fence {fence} expected {body.get('expected')}"
        )
        if fence < self.fence:
            self.fleet.record.write(text + " -> 412")
            return 412, {}
        self.fence = fence
        if body.get("expected", self.sequence) != self.sequence:
            self.fleet.record.write(text + " -> 409, sequence differs")
            return 409, {}
        if self.loading is not None:
            self.fleet.record.write(text + " -> 409, busy")
            return 409, {}
        if target == self.layers:
            self.fleet.record.write(text + " -> 200")
            return 200, {}
        self.sequence += 1
        self.fleet.record.write(text + " -> 202")
        held = (target[1] - target[0]) * LAYER_MB
        if held > KINDS[self.kind]:
            self.fleet.over_limit.append(
                f"{self.id} ({self.kind}) was ordered to hold {held:.0f} mb,"
                f" its memory is {KINDS[self.kind]:.0f} mb"
            )
            asyncio.get_running_loop().call_soon(
                self.crash, "ordered to hold more than its memory"
            )
            return 202, {}
        kept = (
            max(self.layers[0], target[0]),
            min(self.layers[1], target[1]),
        )
        kept = kept if kept[0] < kept[1] else (0, 0)
        new = target[1] - target[0] - (kept[1] - kept[0])
        seconds = LOAD_SECONDS * new / LAYERS
        if not self.fleet.requested:
            seconds /= 10
        self.layers, self.loading = kept, target
        self.beat()
        born = self.born
        asyncio.get_running_loop().call_later(seconds, self._loaded, born)
        return 202, {}

    def _loaded(self, born):
        if self.alive and self.born == born and self.loading is not None:
            self.layers, self.loading = self.loading, None
            self.beat()

    async def _request(self, request, writer):
        self.fleet.requested = True
        headers = request.headers
        id_ = headers.get("x-attempt-id", "")
        echo = [("X-Attempt-Id", id_)]
        refused = [*echo, ("X-Not-Executed", "1")]
        if not id_:
            respond(writer, 400, b"", refused)
            return True
        if headers.get("x-expect-instance", self.id) != self.id:
            respond(writer, 421, b"", [*echo, ("X-Instance-Id", self.id)])
            return True
        if not self.kind:
            return await self._run_plain(request, writer, echo)
        path = self.fleet.parse_path(
            headers.get("x-hop-count", f"{self.address}=0-{LAYERS}")
        )
        addresses = [part[0] for part in path]
        if (
            len(set(addresses)) != len(addresses)
            or len(path) > 32
            or addresses[0] != self.address
        ):
            respond(writer, 400, b"", echo)
            return True
        for address, start, end in path:
            part = self.fleet.server_at(address)
            fault = [("At-Server", address)]
            if part is None:
                await asyncio.sleep(STALL_SECONDS)
                respond(writer, 503, b"", refused + fault)
                return True
            if not (part.layers[0] <= start and end <= part.layers[1]):
                respond(writer, 421, b"", refused + fault)
                return True
        return await self._run_stream(request, writer, echo, path)

    async def _run_plain(self, request, writer, echo):
        self.fleet.ran(self, request)
        await asyncio.sleep(self.fleet.work_seconds)
        body = f"answer of {self.id} to {echo[0][1]}".encode()
        respond(writer, 200, body, [*echo, ("X-Response-Seal", "s.1")])
        return True

    async def _run_stream(self, request, writer, echo, path):
        self.fleet.ran(self, request)
        covered = [layer for _, s, e in path for layer in range(s, e)]
        if covered != list(range(LAYERS)):
            self.fleet.bad_paths.append(request.headers.get("x-hop-count"))
        head = ["HTTP/1.1 200 OK", f"X-Attempt-Id: {echo[0][1]}"]
        head += ["X-Response-Seal: s.1", "Content-Type: text/event-stream"]
        head += ["Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(head).encode())
        step = self.fleet.id_step
        first = int(request.headers.get("last-event-id", "0")) // step + 1
        lives = [(self.fleet.server_at(p[0]), p) for p in path]
        born = [server.born for server, _ in lives]
        for number in range(first, self.fleet.event_count + 1):
            await asyncio.sleep(EVENT_SECONDS)
            if any(
                not server.alive or server.born != at
                for (server, _), at in zip(lives, born, strict=True)
            ):
                await asyncio.sleep(STALL_SECONDS)
                return False
            event = f"id: {number * step}\ndata: {echo[0][1]}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True


class Fleet:
    """All backend servers of a deployment, and what they saw."""

    def __init__(self, record, store):
        self.record = record
        self.store = store
        self.servers = []
        self.requested = False
        self.over_limit = []
        self.bad_paths = []
        self.runs = collections.defaultdict(list)
        self.work_seconds = 0.03
        self.event_count = EVENT_COUNT
        self.id_step = 1

    def add(self, service, kind=""):
        server = Server(self, service, kind)
        self.servers.append(server)
        return server

    def server_at(self, address):
        for server in self.servers:
            if server.alive and server.address == address:
                return server
        return None

    @staticmethod
    def parse_path(text):
        parts = []
        for part in text.split(","):
            address, _, layers = part.strip().partition("=")
            start, _, end = layers.partition("-")
            parts.append((address, int(start), int(end)))
        return parts

    def ran(self, server, request):
        id_ = request.headers.get("x-attempt-id", "")
        self.runs[id_].append((time.monotonic(), server.id))
        path = request.headers.get("x-hop-count", "")
        self.record.write(f"run {id_} at {server.id} {path}")

    def stop(self):
        for server in self.servers:
            if server.alive:
                server.alive = False
                server.http.stop()
                server._task.cancel()


def configuration(version, **changes):
    """Returns a configuration with a route of each kind."""

    def route(name, prefix, kind, service, timeout, **more):
        return {
            "name": name,
            "host": ROUTE_HOST,
            "prefix": prefix,
            "kind": kind,
            "timeout_ms": timeout,
            "target_latency_ms": 500,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
            "allow_anonymous": False,
        } | more

    engine = {
        "slots": 96,
        "kv_capacity": 50000,
        "kv_token_bytes": 1180000,
        "link_mbps": 400000.0,
        "stride": 4,
        "models": [
            {"name": MODEL, "pace": 1.0, "load_s": LOAD_SECONDS, "warm_s": 1.0}
        ],
        "step_ms": 1.02,
        "per_seq_ms": 0.00918,
        "context_per_k": 0.0123,
        "read_per_s": 164000.0,
        "pairs_per_m": 0.199,
        "chunk": 512,
        "report_lag_ms": 200.0,
        "loads_per_s": 0.0,
        "loads_at_once": 6,
        "delays": [],
        "usual": {"prompt": 775, "answer": 216},
        "layers": LAYERS,
        "layer_mb": LAYER_MB,
        "act_bytes": 59000,
        "pipe_mbps": 13000.0,
        "kinds": [
            {"name": "a100", "mb": KINDS["a100"], "pace": 2.4, "read_x": 3.2},
            {"name": "v100", "mb": KINDS["v100"], "pace": 5.3, "read_x": 7.9},
            {"name": "l4", "mb": KINDS["l4"], "pace": 16.0, "read_x": 8.2},
        ],
    }
    return {
        "version": version,
        "routes": [
            route(
                "r-stream", STREAM_PREFIX, "streaming", MODEL_SERVICE, 20000,
                sticky=True, resumable=True, gap_aim_ms=250,
            ),
            route("r-safe", SAFE_PREFIX, "safe", PLAIN_SERVICE, 4000),
            route("r-unsafe", UNSAFE_PREFIX, "unsafe", PLAIN_SERVICE, 4000),
        ],
        "services": [
            {"name": MODEL_SERVICE, "health_path": "/health",
             "max_conns": 1138, "engine": engine},
            {"name": PLAIN_SERVICE, "health_path": "/health",
             "max_conns": 110},
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "bank-1", "api_keys": [KEY]}],
    } | changes  # fmt: skip


class Router:
    """One router process, started as deploy/system.toml says."""

    def __init__(self, folder, record, name, store_address, zone="a"):
        self.name = name
        self.record = record
        ports = [f"{HOST}:{port}" for port in free_ports(4)]
        self.address, self.ready_address = ports[0], ports[1]
        self._path = pathlib.Path(folder) / f"{name}.yaml"
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self.process = None
        self.first_start = True
        self._settings = (
            f'vm: "{name}"\nfailure_domain: "{zone}"\n'
            f'region_by_domain: {{"{zone}":"r"}}\nfirst_start: %s\n'
            f'listen:\n  callers: "{ports[0]}"\n  readiness: "{ports[1]}"\n'
            f'  peers: "{ports[2]}"\n  metrics: "{ports[3]}"\n'
            f'store:\n  address: "{store_address}"\n'
            "bounds:\n  revocation_seconds: 5000e-3\n"
            "  drain_seconds: 2000e-3\n  shutdown_seconds: 8\n"
            "  stall_seconds: 2000e-3\n  contact_seconds: 3000e-3\n"
            "  retry_ratio: 0.2\n  retry_slack: 202\n"
            "  retry_window_seconds: 10\n"
        )

    def start(self):
        self._path.write_text(
            self._settings % ("true" if self.first_start else "false"),
            encoding="utf-8",
        )
        self.first_start = False
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["NUTMEGLIFT_SETTINGS"] = str(self._path)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "nutmeglift_platform", "serve"],
                cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log,
            )  # fmt: skip
        self.record.write(f"router {self.name} started at {self.address}")

    def change_settings(self, name, value):
        """Replaces the settings file by one with another bound."""
        changed = re.sub(rf"{name}: \S+", f"{name}: {value}", self._settings)
        self._settings = changed
        new = self._path.with_suffix(".new")
        new.write_text(changed % "false", encoding="utf-8")
        new.replace(self._path)

    def send(self, number):
        self.record.write(f"router {self.name} gets {number.name}")
        self.process.send_signal(number)
        if number is signal.SIGKILL:
            self.process.wait()

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        answer = await send(
            self.ready_address, "GET", "/v1/readiness", {"Host": "x"}, 1.0
        )
        return answer.status == 200

    async def wait_ready(self, seconds=15.0):
        async with asyncio.timeout(seconds):
            while not await self.is_ready():  # noqa: ASYNC110
                await asyncio.sleep(0.1)

    def log(self):
        return self.log_path.read_text(encoding="utf-8", errors="replace")


@dataclasses.dataclass
class Answer:
    """How a client's attempt ended; status 0 without a response."""

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""
    seconds: float = 0.0

    @property
    def served(self):
        return (
            200 <= self.status < 300
            and self.complete
            and "x-response-seal" in self.headers
        )

    @property
    def text(self):
        return f"{self.status or self.error}{'' if self.complete else ' cut'}"


async def send(address, method, target, headers, seconds, body=b""):
    """Sends one request on a new connection; returns the answer."""
    answer = Answer()
    began = time.monotonic()
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    host, int(port), limit=2**22
                )
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            writer.write(body)
            await writer.drain()
            found = await read_message(reader)
            if found is None:
                answer.error = "closed"
                return answer
            line, answer.headers = found
            answer.status = int(line.split(" ")[1])
            answer.body, answer.complete = await read_body(
                reader, answer.headers, True
            )
    except (OSError, TimeoutError) as error:
        answer.error = repr(error)
    finally:
        answer.seconds = time.monotonic() - began
        if writer is not None:
            writer.transport.abort()
    return answer


class Client:
    """Sends requests to the routers in turn; retries as PROTOCOL.md says."""

    def __init__(self, record, routers):
        self.record = record
        self.routers = routers
        self._count = 0

    def new_id(self):
        self._count += 1
        return f"{self._count:04x}{os.urandom(6).hex()}"

    async def attempt(self, router, kind, id_, seconds, **more):
        prefix, method = {
            "stream": (STREAM_PREFIX, "POST"),
            "safe": (SAFE_PREFIX, "GET"),
            "unsafe": (UNSAFE_PREFIX, "POST"),
        }[kind]
        headers = {
            "Host": ROUTE_HOST,
            "X-Attempt-Id": id_,
            "X-Deadline-Ms": str(int(seconds * 1000)),
            "X-Api-Key": KEY,
        }
        if kind == "stream":
            headers |= {
                "X-Model": MODEL,
                "X-Token-Usage": "800,40",
                "X-Prompt-Prefix": f"5c1e07a2:40,{id_}:760",
            }
        headers |= more.get("headers", {})
        self.record.write(f"send {id_} {kind} to {router.name}")
        answer = await send(
            router.address, method, f"{prefix}2f", headers, seconds,
            more.get("body", b""),
        )  # fmt: skip
        self.record.write(
            f"answer {id_} {answer.text} {answer.seconds * 1000:.0f} ms"
        )
        return answer

    async def request(self, kind, seconds=4.0, retries=1):
        """Sends one request; a refused one is sent once more elsewhere."""
        ends_at = time.monotonic() + seconds
        answer = Answer()
        for number in range(retries + 1):
            router = self.routers[(self._count + number) % len(self.routers)]
            left = ends_at - time.monotonic()
            if left < 0.1:
                break
            answer = await self.attempt(router, kind, self.new_id(), left)
            if answer.served or answer.status in (400, 401, 404, 413, 431):
                break
            if kind == "unsafe" and answer.status not in (408, 421, 429, 503):
                break
            wait = float(answer.headers.get("retry-after", 0.05))
            left = ends_at - time.monotonic()
            await asyncio.sleep(max(0.0, min(wait, left / 3)))
        return answer

    async def load(self, kind, per_second, seconds, answers):
        """Sends requests at a steady rate; appends (sent at, answer)."""
        began = time.monotonic()
        tasks = []

        async def one():
            sent_at = time.monotonic()
            answers.append((sent_at, await self.request(kind)))

        count = int(per_second * seconds)
        for number in range(count):
            delay = began + number / per_second - time.monotonic()
            await asyncio.sleep(max(0.0, delay))
            tasks.append(asyncio.create_task(one()))
        await asyncio.gather(*tasks)


class Deployment:
    """A store, backend servers, routers and a client."""

    def __init__(self, folder, kinds, routers=2, plain=2, resumable=True):
        self._resumable = resumable
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="nutmeglift-review-")
        self.store = Store(self.record)
        self.fleet = Fleet(self.record, self.store)
        self.runners = [self.fleet.add(MODEL_SERVICE, kind) for kind in kinds]
        self.plain = [self.fleet.add(PLAIN_SERVICE) for _ in range(plain)]
        self._router_count = routers
        self.routers = []
        self.paths = []
        self.client = None

    def planner(self):
        """Returns the number of the router that the store names as planner."""
        item = self.store.items.get("nutmeglift/planner")
        names = [router.name for router in self.routers]
        return names.index(item.value.decode()) if item else None

    async def start(self):
        await self.store.start()
        first = configuration(7)
        first["routes"][0]["resumable"] = self._resumable
        self.store.put_json("op/config", first)
        for server in self.fleet.servers:
            await server.start()
        self.paths = [
            await self.store.open_path() for _ in range(self._router_count)
        ]
        self.routers = [
            Router(self.folder, self.record, f"front-{n}", path.server.address)
            for n, path in enumerate(self.paths)
        ]
        for router in self.routers:
            router.start()
        for router in self.routers:
            await router.wait_ready()
        self.client = Client(self.record, self.routers)

    async def wait_served(self, kind, seconds):
        """Waits until a request is served; returns whether one was."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            if (await self.client.request(kind)).served:
                return True
            await asyncio.sleep(0.3)
        return False

    def stop(self):
        for router in self.routers:
            router.stop()
        self.fleet.stop()
        for path in self.paths:
            path.server.stop()
        self.store.server.stop()
        for router in self.routers:
            if os.environ.get("KEEP_LOGS"):
                shutil.copy(router.log_path, os.environ["KEEP_LOGS"])
        shutil.rmtree(self.folder, ignore_errors=True)


def run(play):
    """Runs a case; exits with 1 if its rule was broken, 2 if it can't run.

    Args:
        play: coroutine function that returns a text that says what broke the
            rule, or an empty string if it held.
    """
    try:
        problem = asyncio.run(play())
    except Exception as error:  # noqa: BLE001 - any error means: can't run.
        print(f"the case couldn't run: {error!r}")
        raise SystemExit(2) from error
    if problem:
        print(f"RULE BROKEN: {problem}")
        raise SystemExit(1)
    print("the rule held")
    raise SystemExit(0)
