"""Stand-ins for the scripts of the second review: store, server, router.

They use the standard library only and serve loopback addresses only. Each
follows `PROTOCOL.md`: the store keeps items, leases and a history, a server
runs what names its instance, and a router is the project's own process,
started with the command and the template of `deploy/`.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HISTORY_LENGTH = 5000
MAX_RECORD_LINES = 20000
MAX_LINE_LENGTH = 1000
MAX_BODY_BYTES = 1024 * 1024
"""Largest body that a stand-in reads; a longer one ends the channel."""
MAX_ITEM_COUNT = 1000
MAX_LEASE_COUNT = 1000
MAX_RUN_COUNT = 5000
MAX_ORDER_COUNT = 1000
START_SECONDS = 30.0
HEARTBEAT_SECONDS = 1.2


def peak_mb(pid):
    """Returns the largest resident memory of a process; 0 once it has ended."""
    try:
        text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) * 1024 / 1e6
    return 0.0


def free_port():
    """Returns a free port of the loopback interface."""
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return found.getsockname()[1]


def address():
    """Returns a free loopback address and port."""
    return f"127.0.0.1:{free_port()}"


class Record:
    """Lines of what was sent, answered and run, with seconds since start."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / "record.txt"
        self._lines = []
        self._started_at = time.monotonic()

    def write(self, text):
        if len(self._lines) < MAX_RECORD_LINES:
            seconds = time.monotonic() - self._started_at
            self._lines.append(f"{seconds:8.3f} {text}"[:MAX_LINE_LENGTH])

    def save(self):
        self._path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")


class TooMuchError(Exception):
    """A stand-in was to keep more than it may."""


def append(items, item, limit):
    """Appends to a list that may not grow beyond a limit."""
    if len(items) >= limit:
        raise TooMuchError(f"more than {limit} entries")
    items.append(item)


def check_size(size):
    """Raises ConnectionError for a body that is too large to read."""
    if size > MAX_BODY_BYTES:
        raise ConnectionError(f"a body of {size} bytes")


class Request:
    """A request as it was received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Returns the first line and the headers of a message; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").strip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Returns a body by its length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            if not size:
                while await reader.readuntil(b"\r\n") != b"\r\n":
                    pass
                return body
            check_size(len(body) + size)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    size = int(headers.get("content-length", 0))
    check_size(size)
    return await reader.readexactly(size)


async def read_request(reader):
    """Returns the next request on a channel, or None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ")
    try:
        body = await read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def reset(writer):
    """Resets a channel."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Store:
    """The platform's store: items, leases, transactions, a watch."""

    def __init__(self, record):
        self.address = ""
        self.fault = None
        self._record = record
        self._items = {}
        self._history = collections.deque(maxlen=HISTORY_LENGTH)
        self._revision = 100
        self._leases = {}
        self._next_lease = 7000
        self._changed = asyncio.Event()
        self._server = None
        self._tasks = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self._tasks.append(asyncio.create_task(self._expire()))

    def stop(self):
        for task in self._tasks:
            task.cancel()
        self._server.close()

    def put(self, key, fields):
        """Writes an item as an operator or a server does."""
        raw = json.dumps(fields).encode()
        self._commit([(key, raw, 0)], [])
        self._record.write(f"store: {key} at revision {self._revision}")

    def remove(self, key):
        """Removes an item as the platform does."""
        self._commit([], [key])
        self._record.write(f"store: {key} removed")

    def value(self, key):
        """Returns an item's value, or None."""
        item = self._items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def revision_of(self, key):
        """Returns the revision of an item; 0 if there is none."""
        item = self._items.get(key)
        return 0 if item is None else item["revision"]

    def keys(self, prefix):
        """Returns the keys with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def _commit(self, puts, removes):
        self._revision += 1
        for key, raw, lease in puts:
            known = self._items.get(key)
            item = {
                "key": key,
                "value": base64.b64encode(raw).decode(),
                "revision": self._revision,
                "created_rev": known["created_rev"]
                if known
                else self._revision,
                "lease": lease,
            }
            if known is None and len(self._items) >= MAX_ITEM_COUNT:
                raise TooMuchError(f"more than {MAX_ITEM_COUNT} items")
            self._items[key] = item
            self._history.append(item)
        for key in removes:
            if self._items.pop(key, None) is not None:
                self._history.append(
                    {"key": key, "revision": self._revision, "removed": True}
                )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_, ends_at) in list(self._leases.items()):
                if ends_at <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        gone = [k for k, item in self._items.items() if item["lease"] == lease]
        if gone:
            self._record.write(f"store: lease {lease} ended, {gone} removed")
            self._commit([], gone)

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                if self.fault is not None and await self.fault(request, writer):
                    continue
                status, body = await self._answer(request)
                raw = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
                    b"content-length: %d\r\n\r\n%b" % (status, len(raw), raw)
                )
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        url = parse.urlsplit(request.target)
        query = dict(parse.parse_qsl(url.query, keep_blank_values=True))
        body = json.loads(request.body) if request.body else {}
        match url.path.strip("/").split("/")[1:]:
            case ["kv-key"]:
                item = self._items.get(query["key"])
                if item is None:
                    return 404, {}
                return 200, item | {"store_revision": self._revision}
            case ["kv-range"]:
                return 200, self._list(query)
            case ["kv-watch"]:
                return 200, await self._watch(query)
            case ["kv-txn"]:
                return self._transact(body)
            case ["kv-lease"]:
                if len(self._leases) >= MAX_LEASE_COUNT:
                    return 429, {}
                self._next_lease += 1
                seconds = max(1.0, body["ttl_ms"] / 1000)
                ends_at = time.monotonic() + seconds
                self._leases[self._next_lease] = (seconds, ends_at)
                return 200, {
                    "lease": self._next_lease,
                    "ttl_ms": int(seconds * 1000),
                }
            case ["kv-keep", raw]:
                found = self._leases.get(int(raw))
                if found is None:
                    return 404, {}
                seconds, _ = found
                self._leases[int(raw)] = (seconds, time.monotonic() + seconds)
                return 200, {"ttl_ms": int(seconds * 1000)}
            case ["kv-lease-end", raw]:
                self._end_lease(int(raw))
                return 200, {}
        return 400, {}

    def _list(self, query):
        keys = [
            key
            for key in self.keys(query.get("prefix", ""))
            if key > query.get("after", "")
        ]
        return {
            "items": [self._items[key] for key in keys[:500]],
            "more_pages": len(keys) > 500,
            "store_revision": self._revision,
        }

    async def _watch(self, query):
        after = int(query["after"])
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                item
                for item in self._history
                if item["revision"] > after
                and item["key"].startswith(query.get("prefix", ""))
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return {"events": events, "store_revision": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _transact(self, body):
        for row in body["expected"]:
            if self.revision_of(row["key"]) != row["revision"]:
                items = [
                    self._items.get(r["key"], {"key": r["key"], "revision": 0})
                    for r in body["expected"]
                ]
                return 412, {"items": items}
        leases = {row.get("lease", 0) for row in body["puts"]} - {0}
        if not leases <= self._leases.keys():
            return 404, {}
        puts = [
            (r["key"], base64.b64decode(r["value"]), r.get("lease", 0))
            for r in body["puts"]
        ]
        if puts or body["remove"]:
            self._commit(puts, body["remove"])
        return 200, {"revision": self._revision}


class Server:
    """A plain server; it runs each request that names its instance.

    Attributes:
        script: None, or a coroutine function that answers in place of the
            usual answer; it is called with the request, the writer and the
            server.
    """

    def __init__(self, record, store, name, service, zone="a", slots=6):
        self.name = name
        self.service = service
        self.address = ""
        self.script = None
        self.work_seconds = 0.02
        self.born = 1_771_442_496_052
        self.runs = []
        self._zone = zone
        self._slots = slots
        self._record = record
        self._store = store
        self._server = None
        self._writers = set()
        self._sequence = 0

    async def start(self, at=None):
        host, _, port = (at or "127.0.0.1:0").rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.write_entry()

    def write_entry(self, state="ready"):
        """Writes the server's entry into the store."""
        self._sequence += 1
        self._store.put(f"servers/{self.name}", self.entry(state))

    def entry(self, state):
        """Returns the fields of the server's entry."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": self._slots,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self.born,
        }

    async def answer_control(self, request, writer):
        """Answers a control call; returns whether it was one."""
        return False

    @staticmethod
    def send_json(writer, status, body):
        """Answers with a JSON body."""
        raw = json.dumps(body).encode()
        writer.write(
            b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (status, len(raw), raw)
        )

    async def beat(self):
        """Writes the entry again at each heartbeat, until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.write_entry()

    def crash(self):
        """Ends without a word: its channels are reset, its port is closed."""
        self._record.write(f"{self.name}: crashes")
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self._answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            if not writer.transport.is_closing():
                writer.close()

    async def _answer(self, request, writer):
        request_id = request.headers.get("x-attempt-id", "")
        if request.headers.get("x-expect-instance", self.name) != self.name:
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\n"
                f"X-Instance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return
        if await self.answer_control(request, writer):
            return
        if not request_id:
            writer.write(
                f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.name}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return
        if self.script is not None and await self.script(request, writer, self):
            return
        await self.run(request, writer)

    async def run(self, request, writer):
        """Runs a request and answers it whole."""
        request_id = request.headers["x-attempt-id"]
        append(self.runs, request_id, MAX_RUN_COUNT)
        self._record.write(
            f"{self.name}: runs {request_id} {request.method} {request.target}"
        )
        await asyncio.sleep(self.work_seconds)
        body = f"answer to {request_id}\n".encode()
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n"
            f"X-Response-Seal: seal-{request_id}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        writer.write(head if request.method == "HEAD" else head + body)

    async def shed(self, request, writer):
        """Answers that it is full; the request does not run."""
        self._record.write(
            f"{self.name}: sheds {request.headers['x-attempt-id']}"
        )
        writer.write(
            b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )


class Runner(Server):
    """A model runner that holds layers as it is ordered, and streams events.

    Attributes:
        layers: the layers that it holds, from the first to before the last.
        event_count: number of events of each stream.
        event_seconds: time between two events.
        orders: the orders that it has accepted.
    """

    def __init__(self, record, store, name, service, kind="big", **changes):
        super().__init__(record, store, name, service, slots=96, **changes)
        self.kind = kind
        self.layers = (0, 0)
        self.event_count = 20
        self.event_seconds = 0.05
        self.orders = []
        self._fence = 0

    def entry(self, state):
        return super().entry(state) | {
            "kind": self.kind,
            "stage": "prefill_decode",
            "models": [{"name": "model-1", "version": 1, "adapters": []}],
            "layers": {
                "from": self.layers[0],
                "target": self.layers[1],
                "version": 1,
            },
        }

    async def answer_control(self, request, writer):
        if request.target == "/v1/report":
            self.send_json(
                writer,
                200,
                {
                    "stage": "prefill_decode",
                    "busy": False,
                    "sequence": len(self.orders),
                    "born": self.born,
                    "pace": 1.0,
                    "num_waiting": 0,
                    "num_running": 0,
                    "kv_used": 0,
                    "kv_total": 100000,
                    "handles": 0,
                    "layers": {
                        "from": self.layers[0],
                        "target": self.layers[1],
                        "version": 1,
                    },
                    "stalled": [],
                },
            )
            return True
        if request.target == "/v1/order":
            self._take_order(json.loads(request.body), writer)
            return True
        return False

    def _take_order(self, order, writer):
        self._record.write(f"{self.name}: order {order}")
        fence = order.get("fencing_token", self._fence)
        if fence < self._fence:
            self.send_json(writer, 412, {})
        elif order["operation"] != "place":
            self.send_json(writer, 404, {})
        elif order.get("expected", len(self.orders)) != len(self.orders):
            self.send_json(writer, 409, {})
        else:
            self._fence = fence
            append(self.orders, order, MAX_ORDER_COUNT)
            self.layers = (order["from"], order["target"])
            self.send_json(writer, 202, {})
            self.write_entry()

    async def run(self, request, writer):
        """Runs a request and streams its events."""
        request_id = request.headers["x-attempt-id"]
        first = int(request.headers.get("last-event-id", 0)) + 1
        append(self.runs, request_id, MAX_RUN_COUNT)
        self._record.write(
            f"{self.name}: runs {request_id} from event {first},"
            f" path {request.headers.get('x-hop-count')}"
        )
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n"
            f"X-Response-Seal: seal-{request_id}\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        try:
            for number in range(first, self.event_count + 1):
                await asyncio.sleep(self.event_seconds)
                event = (
                    f"id: {number}\ndata: {request_id}/{number}\n\n".encode()
                )
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        except ConnectionError:
            self._record.write(f"{self.name}: {request_id} was broken off")
            raise
        self._record.write(f"{self.name}: {request_id} is complete")


def render(template, fields):
    """Fills in a template as `DEPLOY.md` says: values, and values as JSON."""

    def fill(match):
        path, _, form = match.group(1).partition("|")
        found = fields
        for part in path.split("."):
            found = found[int(part) if isinstance(found, list) else part]
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", fill, template)


class Router:
    """A router process, as `deploy/system.toml` runs it."""

    def __init__(self, record, store, name, folder, zone="a", **bounds):
        self.name = name
        self.front = address()
        self.ready = address()
        self.process = None
        self._record = record
        self._log = open(pathlib.Path(folder) / f"{name}.log", "ab")  # noqa: SIM115
        self._settings = pathlib.Path(folder) / f"{name}.yaml"
        self.peak_mb = 0.0
        self.fields = {
            "node_name": name,
            "ip": "127.0.0.1",
            "zone": zone,
            "zones": {"a": "region", "b": "region", "c": "region"},
            "listen": {"front": self.front, "ready": self.ready},
            "internal_ports": [free_port(), free_port()],
            "bootstrap": True,
            "limits": {"memory_mb": 300},
            "platform": {"address": store.address},
            "bounds": {
                "revoke_ms": 5000,
                "drain_timeout_ms": 2000,
                "grace_s": 8,
                "stall_ms": 2000,
                "contact_ms": 3000,
                "retry_budget_ratio": 0.2,
                "retry_slack": 202,
                "retry_window_s": 10,
            }
            | bounds,
        }

    def write_settings(self):
        """Writes the settings file from the project's template."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        template = (ROOT / role["router"]["template"]).read_text()
        self._settings.write_text(render(template, self.fields))
        return shlex.split(role["router"]["run"])

    async def start(self, *, wait=True):
        command = self.write_settings()
        self.fields["bootstrap"] = False
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "NUTMEGLIFT_SETTINGS": str(self._settings),
        }
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )
        self._record.write(f"{self.name}: started")
        if wait:
            await self.wait_ready()

    async def wait_ready(self, seconds=START_SECONDS):
        """Waits until the platform's check is answered with 200."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            if await self.is_ready():
                self._record.write(f"{self.name}: ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} was not ready within {seconds} s")

    async def wait_open(self, seconds=START_SECONDS):
        """Waits until the process listens for callers, as it starts."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            try:
                _, writer = await connect(self.front)
            except OSError:
                await asyncio.sleep(0.005)
                continue
            writer.close()
            self._record.write(f"{self.name}: listens")
            return
        raise CannotRunError(f"{self.name} did not listen within {seconds} s")

    async def is_ready(self):
        """Returns whether the platform's check is answered with 200."""
        try:
            reader, writer = await connect(self.ready)
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: r\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return line.split()[1:2] == [b"200"]

    def sample(self):
        """Notes the peak of the process's memory so far."""
        if self.process is not None and self.process.returncode is None:
            self.peak_mb = max(self.peak_mb, peak_mb(self.process.pid))

    def signal(self, number):
        self.sample()
        self._record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self):
        """Ends the process if it runs."""
        self.sample()
        self._record.write(f"{self.name}: at most {self.peak_mb:.0f} MB")
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self._log.flush()


class Ingress:
    """The platform's ingress for the routers of one zone.

    It asks each router once per second whether it is ready. After two misses a
    router is out of rotation until it answers with 200 again. While fewer than
    half of the routers are in rotation, all of them get new channels.
    """

    def __init__(self, record, routers):
        self._record = record
        self._routers = routers
        self._misses = {router.name: 0 for router in routers}
        self._tasks = []

    def start(self):
        for router in self._routers:
            self._tasks.append(asyncio.create_task(self._check(router)))

    def stop(self):
        for task in self._tasks:
            task.cancel()

    async def _check(self, router):
        while True:
            is_ready = await router.is_ready()
            before = self.in_rotation()
            misses = self._misses[router.name]
            self._misses[router.name] = 0 if is_ready else misses + 1
            if before != self.in_rotation():
                self._record.write(f"ingress: in rotation {self.in_rotation()}")
            await asyncio.sleep(1.0)

    def in_rotation(self):
        """Returns the names of the routers in rotation."""
        return [name for name, misses in self._misses.items() if misses < 2]

    def used(self):
        """Returns the routers that get new channels."""
        found = self.in_rotation()
        if 2 * len(found) < len(self._routers):
            return list(self._routers)
        return [router for router in self._routers if router.name in found]


class CannotRunError(Exception):
    """The case could not be played."""


async def connect(to):
    """Opens a channel to a loopback address."""
    host, _, port = to.rpartition(":")
    return await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)


def route(name, service, kind="safe", **changes):
    """Returns a route of the configuration; its prefix is its name."""
    return {
        "name": f"r-{name}",
        "host": "desk.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 1000,
        "target_latency_ms": 200,
        "priority": 2,
        "service": service,
        "max_attempts": 2 if kind == "safe" else 1,
        "allow_anonymous": False,
        "sticky": False,
        "resumable": False,
        "gap_aim_ms": 250,
    } | changes


def configuration(version, routes, services, tenants=None):
    """Returns a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants
        or [{"name": "bank-1", "api_keys": ["key-1", "key-2"], "priority": 1}],
    }


PLAIN_SERVICE = {
    "name": "core",
    "health_path": "/health",
    "max_conns": 110,
    "protocol": "h1",
    "tls": False,
}


ENGINE_SERVICE = PLAIN_SERVICE | {
    "name": "model",
    "engine": {
        "slots": 96,
        "kv_capacity": 50000,
        "kv_token_bytes": 1180000,
        "link_mbps": 400000.0,
        "stride": 4,
        "models": [
            {"name": "model-1", "pace": 1.0, "load_s": 1.0, "warm_s": 1.0}
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
        "layers": 8,
        "layer_mb": 1750.0,
        "act_bytes": 59000,
        "pipe_mbps": 13000.0,
        "kinds": [{"name": "big", "mb": 72000.0, "pace": 2.4, "read_x": 3.2}],
    },
}
"""A model that fits into one runner."""


def stream_route(name, service="model", **changes):
    """Returns a route for streams that may be resumed."""
    return (
        route(name, service, "streaming")
        | {
            "timeout_ms": 20000,
            "target_latency_ms": 500,
            "priority": 1,
            "max_attempts": 2,
            "sticky": True,
            "resumable": True,
        }
        | changes
    )


def stream_request(request_id, target="/draft/1", **headers):
    """Returns the bytes of a request for a stream."""
    lines = {
        "Host": "desk.example",
        "X-Attempt-Id": request_id,
        "X-Model": "model-1",
        "X-Token-Usage": "760,180",
        "X-Prompt-Prefix": f"5c1e07a2:40,{request_id.encode().hex()}:720",
        "X-Deadline-Ms": "20000",
        "X-Api-Key": "key-1",
        "Content-Length": "2",
    } | headers
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"POST {target} HTTP/1.1\r\n{head}\r\n{{}}".encode()


async def read_stream(reader):
    """Reads an answer in chunks.

    Returns:
        Its status, its body and whether it is complete; status 0 for none.
    """
    found = await read_head(reader)
    if found is None:
        return 0, b"", False
    first, headers = found
    status, body = int(first.split(" ")[1]), b""
    try:
        if "chunked" not in headers.get("transfer-encoding", ""):
            size = int(headers.get("content-length", 0))
            check_size(size)
            return status, await reader.readexactly(size), True
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            check_size(len(body) + size)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return status, body, True
    except (asyncio.IncompleteReadError, ConnectionError):
        return status, body, False


def play(folder, case):
    """Plays a case and exits: 0 the rule held, 1 it was broken, 2 not played.

    Args:
        folder: folder of the case; receives `record.txt`.
        case: coroutine function that is called with the record, a temporary
            folder, a list that receives what to end, and whether to play the
            disruption; returns the list of what broke the rule.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)

    async def run():
        ends = []
        with tempfile.TemporaryDirectory() as temporary:
            try:
                async with asyncio.timeout(110):
                    return await case(record, temporary, ends, trouble)
            finally:
                for each in reversed(ends):
                    found = each()
                    if asyncio.iscoroutine(found):
                        await found

    try:
        broken = asyncio.run(run())
    except Exception as error:
        # Whatever goes wrong here says nothing of the rule.
        record.write(f"could not be played: {error!r}")
        record.save()
        print(f"could not be played: {error!r}")
        sys.exit(2)
    record.write(f"the script: at most {peak_mb(os.getpid()):.0f} MB")
    for each in broken:
        record.write(f"broken: {each}")
        print(f"broken: {each}")
    record.write("the rule was broken" if broken else "the rule held")
    record.save()
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
