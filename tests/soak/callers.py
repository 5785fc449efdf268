"""Callers that keep connections open and check every response."""

import asyncio
import dataclasses
import itertools

from nutmeglift_gateway import control_client
from nutmeglift_gateway import http_call
from tests.soak import backend

DEADLINE_MS = 3000
RESPONSE_TIMEOUT_SECONDS = 6.0
OK = 200
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass
class Sent:
    """A request and its outcome.

    Attributes:
        id: the caller's request id.
        kind: stream, safe or unsafe.
        key: the API key that was sent.
        sent_at: time of sending, in seconds of the event loop's clock.
        status: HTTP status of the response; 0 without one.
    """

    id: str
    kind: str
    key: str
    sent_at: float
    status: int = 0


class Callers:
    """Sends requests of all kinds to all routers.

    Attributes:
        sent_by_id: all requests sent, by request id.
        keys: valid API keys.
        revoked_keys: revoked API keys; the latest one is still sent.
    """

    def __init__(self, routers, rng, problems):
        self.sent_by_id = {}
        self.keys = ["key-1", "key-2"]
        self.revoked_keys = []
        self._routers = routers
        self._rng = rng
        self._problems = problems
        self._numbers = itertools.count(1)

    async def run(self):
        """Runs one caller, which reuses its connection while it is reusable."""
        connection = None
        while True:
            router = self._rng.choice(self._routers)
            try:
                if connection is None or not connection.reusable:
                    connection = await http_call.connect(router.address)
                await self._call(connection)
            except http_call.CallError:
                connection = None
                await asyncio.sleep(0.05)
            await asyncio.sleep(self._rng.uniform(0, 0.05))

    async def _call(self, connection):
        loop = asyncio.get_running_loop()
        kind = self._rng.choice(["stream", "safe", "unsafe", "unsafe"])
        sent = Sent(
            f"{kind}-{next(self._numbers)}",
            kind,
            self._rng.choice(self.keys + self.revoked_keys[-1:]),
            loop.time(),
        )
        self.sent_by_id[sent.id] = sent
        method = "GET" if kind == "safe" else "POST"
        headers = [
            (b"host", b"desk.example"),
            (b"x-attempt-id", sent.id.encode()),
            (b"x-api-key", sent.key.encode()),
            (b"x-deadline-ms", b"%d" % DEADLINE_MS),
            (b"x-token-usage", b"100,48"),
        ]
        raw = http_call.format_request(method, f"/{kind}/1", headers, b"")
        response = await control_client.exchange(
            connection, method, raw, RESPONSE_TIMEOUT_SECONDS
        )
        sent.status = response.status
        if response.status == OK:
            self._check(sent, response)

    def _check(self, sent, response):
        if response.head.get(b"x-response-seal") is None:
            self._problems.append(
                f"{sent.id}: 200 response without x-response-seal"
            )
        expected = f"answer to {sent.id}"
        if sent.kind == "stream":
            expected = "".join(
                f"id: {n}\ndata: {sent.id}:{n}\n\n"
                for n in range(1, backend.EVENT_COUNT + 1)
            )
        if response.body.decode() != expected:
            self._problems.append(f"{sent.id}: wrong body {response.body!r}")
