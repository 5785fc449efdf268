"""Stand-ins for the third review: the platform's store, clients, and processes.

The store and the clients live in the process of a case. Servers (server_3.py)
and routers (the project's own program, with the command of the deploy file) are
processes of their own, so that a case can kill them. Only the standard library
is used.
"""

import asyncio
import base64
import bisect
import contextlib
import itertools
import json
import os
import pathlib
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
MAX_EVENTS = 4000
"""Changes of the store that are kept for watches."""
MAX_LINES = 20000
"""Lines in a record."""
MAX_BODY_BYTES = 1024 * 1024
"""A body beyond this size can't be played."""
MAX_ITEMS = 256
MAX_LEASES = 64
MAX_REQUESTS = 64
"""Requests whose runs are kept."""
HOST = "doc.example"
KEY = "k-review-3"
CONFIG_LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
ENGINE = {
    "layers": 80,
    "layer_mb": 100.0,
    "kinds": [{"name": "card", "mb": 72000.0, "pace": 1.0, "read_x": 1.0}],
    "slots": 96,
    "kv_capacity": 50000,
    "kv_token_bytes": 59000.0,
    "act_bytes": 29500.0,
    "pipe_mbps": 13000.0,
    "step_ms": 1.0,
    "per_seq_ms": 0.005,
    "context_per_k": 0.006,
    "read_per_s": 164000.0,
    "chunk": 512,
    "pairs_per_m": 0.2,
    "report_lag_ms": 200.0,
    "loads_at_once": 4,
    "models": [{"name": "m", "load_s": 1.0}],
    "delays": [],
    "usual": {"prompt": 800.0, "answer": 160.0},
}


def now():
    return time.monotonic()


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Record:
    """What was sent, answered and run, with the time in seconds."""

    def __init__(self, path):
        self._began_at = now()
        self._file = open(path, "w", encoding="utf-8")
        self._left = MAX_LINES

    def write(self, *words):
        self._left -= 1
        if self._left >= 0:
            print(
                f"{now() - self._began_at:8.3f}",
                *words,
                file=self._file,
                flush=True,
            )


async def read_head(reader):
    """Returns the first line and the headers; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *rows = raw.decode("latin-1").split("\r\n")
    headers = {}
    for row in rows:
        if row:
            name, _, value = row.partition(":")
            headers[name.strip().lower()] = value.strip()
    return line, headers


async def read_body(reader, headers):
    size = int(headers.get("content-length", 0))
    if size > MAX_BODY_BYTES:
        raise ConnectionError(f"a body of {size} bytes")
    return await reader.readexactly(size)


class Store:
    """The platform's metadata store over HTTP; it loses nothing."""

    def __init__(self):
        self.port = 0
        self._items = {}
        self._revision = 100
        self._events = []
        self._dropped_to = 100
        self._leases = {}
        self._lease_ids = itertools.count(7001)
        self._changed = asyncio.Event()
        self._expiry = None
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=2**22
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._expiry = asyncio.create_task(self._expire())

    def put(self, key, found):
        self._apply([(key, json.dumps(found).encode(), 0)], [])

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, (_, ends_at, _) in list(self._leases.items()):
                if now() >= ends_at:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        _, _, keys = self._leases.pop(lease, (0, 0, ()))
        gone = [
            key
            for key in keys
            if key in self._items and self._items[key]["lease"] == lease
        ]
        if gone:
            self._apply([], gone)

    def _apply(self, puts, removed):
        self._revision += 1
        for key, value, lease in puts:
            known = self._items.get(key)
            self._items[key] = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self._revision,
                "created_rev": known["created_rev"] if known else self._revision,
                "lease": lease,
            }
            if lease:
                self._leases[lease][2].add(key)
            self._events.append((self._revision, self._items[key]))
        for key in removed:
            if self._items.pop(key, None):
                event = {"key": key, "revision": self._revision, "removed": True}
                self._events.append((self._revision, event))
        while len(self._events) > MAX_EVENTS:
            self._dropped_to = self._events.pop(0)[0]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                method, target, _ = line.split(" ")
                body = await read_body(reader, headers)
                url = urllib.parse.urlsplit(target)
                query = dict(
                    urllib.parse.parse_qsl(url.query, keep_blank_values=True)
                )
                status, found = await self._dispatch(
                    url.path, query, json.loads(body) if body else {}
                )
                raw = json.dumps(found).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
                    b"content-length: %d\r\n\r\n%b" % (status, len(raw), raw)
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            return
        finally:
            writer.transport.abort()

    async def _dispatch(self, path, query, data):
        if path.startswith("/servers/"):
            # A server writes its entry; the routers don't use this call.
            self.put(path[1:], data)
            return 200, {}
        match path.split("/")[2:]:
            case ["kv-key"]:
                item = self._items.get(query["key"])
                known = {"store_revision": self._revision}
                return (404, known) if item is None else (200, item | known)
            case ["kv-range"]:
                keys = sorted(
                    key
                    for key in self._items
                    if key.startswith(query["prefix"])
                    and key > query.get("after", "")
                )
                return 200, {
                    "items": [self._items[key] for key in keys[:500]],
                    "more_pages": len(keys) > 500,
                    "store_revision": self._revision,
                }
            case ["kv-watch"]:
                return await self._watch(query)
            case ["kv-txn"]:
                return self._transact(data)
            case ["kv-lease"] if len(self._leases) >= MAX_LEASES:
                return 429, {}
            case ["kv-lease"]:
                lease, seconds = next(self._lease_ids), data["ttl_ms"] / 1000
                self._leases[lease] = (seconds, now() + seconds, set())
                return 200, {"lease": lease, "ttl_ms": data["ttl_ms"]}
            case ["kv-keep", lease] if int(lease) in self._leases:
                seconds, _, keys = self._leases[int(lease)]
                self._leases[int(lease)] = (seconds, now() + seconds, keys)
                return 200, {"lease": int(lease), "ttl_ms": seconds * 1000}
            case ["kv-lease-end", lease]:
                self._end_lease(int(lease))
                return 200, {}
        return 404, {}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        ends_at = now() + int(query["wait_ms"]) / 1000
        while True:
            if after < self._dropped_to:
                return 410, {}
            first = bisect.bisect_right(self._events, after, key=lambda e: e[0])
            found = [
                event
                for _, event in self._events[first:]
                if event["key"].startswith(prefix)
            ]
            if found or now() >= ends_at:
                return 200, {"events": found, "store_revision": self._revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.001, ends_at - now())):
                    await self._changed.wait()

    def _transact(self, data):
        expected, puts = data.get("expected", []), data.get("puts", [])
        for row in expected:
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [row["key"] for row in expected]
                return 412, {
                    "items": [self._items[k] for k in keys if k in self._items]
                }
        if any(p.get("lease") and p["lease"] not in self._leases for p in puts):
            return 404, {}
        new = {p["key"] for p in puts} - self._items.keys()
        if len(self._items) + len(new) > MAX_ITEMS:
            return 429, {}
        if puts or data.get("remove"):
            self._apply(
                [
                    (p["key"], base64.b64decode(p["value"]), p.get("lease", 0))
                    for p in puts
                ],
                data.get("remove", []),
            )
        return 200, {"revision": self._revision}


class Deployment:
    """The store, one router and some servers; ends all that it started.

    Attributes:
        record: what was sent, answered and run.
        callers: the router's port for clients.
        server_by_run: name of the server that runs a request, by its id.
        count_by_run: events or lines that it has sent, by the request's id.
    """

    def __init__(self, record):
        self.record = record
        self.callers = free_port()
        self.server_by_run = {}
        self.count_by_run = {}
        self._ready = free_port()
        self._store = Store()
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        self._router = None
        self._processes = {}
        self._readers = []

    async def start(self, config, names, kind, unframed_id):
        """Starts all processes; returns whether the router became ready."""
        await self._store.start()
        self._store.put("op/config", config)
        for name in names:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "review" / "server_3.py"),
                name,
                kind,
                str(self._store.port),
                unframed_id,
                stdout=subprocess.PIPE,
            )
            self._processes[name] = process
            self._readers.append(
                asyncio.create_task(self._read_output(name, process))
            )
        self._start_router()
        for _ in range(200):
            await asyncio.sleep(0.1)
            with contextlib.suppress(OSError, TimeoutError):
                answer = await call(
                    self._ready, "GET", "/v1/readiness", {}, seconds=1
                )
                if answer is not None and answer.status == 200:
                    return True
        return False

    def _start_router(self):
        settings = self._folder / "router.yaml"
        settings.write_text(
            f"""\
vm: front-a-1
failure_domain: a
region_by_domain: {{a: r}}
first_start: true
memory_mb: 300
listen:
  callers: "127.0.0.1:{self.callers}"
  readiness: "127.0.0.1:{self._ready}"
  peers: "127.0.0.1:{free_port()}"
  metrics: "127.0.0.1:{free_port()}"
store:
  address: "127.0.0.1:{self._store.port}"
bounds:
  revocation_seconds: 5000e-3
  drain_seconds: 2000e-3
  shutdown_seconds: 8
  stall_seconds: 2000e-3
  contact_seconds: 3000e-3
  retry_ratio: 0.2
  retry_slack: 202
  retry_window_seconds: 10
"""
        )
        kept = ("PATH", "HOME", "LANG")
        with open(self._folder / "router.log", "wb") as log:
            self._router = subprocess.Popen(
                ["python3", "-m", "nutmeglift_platform", "serve"],
                cwd=ROOT,
                env={k: os.environ[k] for k in kept if k in os.environ}
                | {
                    "NUTMEGLIFT_SETTINGS": str(settings),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def _read_output(self, name, process):
        """Reads what a server runs, and how far it has come."""
        while line := (await process.stdout.readline()).decode().split():
            match line:
                case ["run", request_id] if (
                    len(self.server_by_run) < MAX_REQUESTS
                ):
                    self.server_by_run[request_id] = name
                    self.record.write("run", request_id, "at", name)
                case ["sent", request_id, count] if (
                    request_id in self.server_by_run
                ):
                    self.count_by_run[request_id] = int(count)

    def kill(self, name):
        """Kills a server's process, as when it crashes."""
        self.record.write("crash", name)
        self._processes[name].kill()

    def router_says(self, text):
        """Records the lines of the router's log that contain a text."""
        log = (self._folder / "router.log").read_text(errors="replace")
        for line in log.splitlines():
            if text in line:
                self.record.write("router's log", line)

    async def stop(self):
        if self._router is not None:
            self._router.kill()
            self._router.wait()
        for process in self._processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for reader in self._readers:
            reader.cancel()
        shutil.rmtree(self._folder, ignore_errors=True)


class Answer:
    """What a client got.

    Attributes:
        status: HTTP status.
        headers: headers with names in lower case.
        body: what has arrived of the body.
        complete: whether its end was marked as HTTP/1.1 says.
    """

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


async def call(port, method, target, headers, body=b"", seconds=30.0):
    """Sends a request on a new channel; None if it ends without an answer."""
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return await _read_answer(reader)
        finally:
            writer.transport.abort()


async def _read_answer(reader):
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    status = int(line.split(" ")[1])
    body = b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                if len(body) + size > MAX_BODY_BYTES:
                    raise ValueError("the answer is too large")
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        elif "content-length" in headers:
            body = await read_body(reader, headers)
        else:
            while data := await reader.read(65536):
                body += data
                if len(body) > MAX_BODY_BYTES:
                    raise ValueError("the answer is too large")
    except asyncio.IncompleteReadError as error:
        return Answer(status, headers, body + error.partial, False)
    except (ConnectionError, ValueError):
        return Answer(status, headers, body, False)
    return Answer(status, headers, body, True)


def configuration(route, service):
    """Returns a configuration with one route, one service and one key."""
    return {
        "version": 3,
        "routes": [route | {"host": HOST, "service": service["name"]}],
        "services": [service],
        "tenants": [{"name": "bank", "api_keys": [KEY]}],
        "limits": CONFIG_LIMITS,
    }
