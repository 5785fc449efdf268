"""Callers that keep connections open and check every response."""

import asyncio
import dataclasses
import enum
import itertools

from nutmeglift import http_status
from nutmeglift_gateway import http_call
from tests.soak import connection as connections
from tests.soak import payloads
from tests.soak import poison

DEADLINE_SECONDS = 3.0
MAX_OVERRUN_SECONDS = 0.5
"""A request without an outcome this long after its deadline is a violation."""
OK = 200
SMALL = "small"
POISON_EVERY = 3
"""Every third request has the segment that ends runners."""
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Style(enum.Enum):
    """How a caller uses its connections."""

    PLAIN = "plain"
    IDLING = "idling"
    """Leaves connections idle for up to 1.2 s."""
    PIPELINED = "pipelined"
    """Sends two requests in one write."""
    HALF_CLOSING = "half_closing"
    """Closes its sending side after a request and goes on reading."""
    SLOW = "slow"
    """Requests streams with large events and reads them slowly."""
    STAYING = "staying"
    """Goes on at its router until the process is gone."""


_STYLES = (Style.PLAIN, Style.PLAIN, *list(Style)[1:])
_MAX_PAUSE_BY_STYLE = {Style.IDLING: 1.2, Style.HALF_CLOSING: 0.5}


class Ending(enum.Enum):
    """How a request ended for its caller."""

    RESPONSE = "response"
    CLOSED = "closed"
    NO_RESPONSE = "no_response"
    """The caller stopped waiting."""
    MALFORMED = "malformed"


@dataclasses.dataclass
class Sent:
    """A request and its outcome.

    Attributes:
        id: the caller's request id.
        kind: stream, safe or unsafe.
        key: the API key that was sent.
        vm: the router's VM.
        connection: number of the connection.
        style: the caller's style.
        behind: the request before it in the same write, if any.
        on_idle: whether the connection was idle after another response.
        sent_at: time of sending, in seconds of the event loop's clock.
        ended_at: time of the outcome; 0 without one.
        ending: how it ended; None without an outcome.
        started: whether a part of an incomplete response was received.
        detail: the error that ended it.
        status: HTTP status of the response; 0 without one.
        size: last part of the path.
        segments: the list of the prompt's segments.
    """

    id: str
    kind: str
    key: str
    vm: str
    connection: int
    style: Style
    behind: "Sent | None"
    on_idle: bool
    sent_at: float
    ended_at: float = 0.0
    ending: Ending | None = None
    started: bool = False
    detail: str = ""
    status: int = 0
    size: str = SMALL
    segments: str = ""


class Callers:
    """Sends requests of all kinds to all routers.

    Attributes:
        sent_by_id: all requests sent, by request id.
        keys: valid API keys.
        poison: segment that some of the streams have; empty for none.
        revoked_keys: revoked API keys; the latest one is still sent.
        revoked_at_by_key: when each key was revoked, in seconds of the event
            loop's clock.
    """

    def __init__(self, routers, rng, problems):
        self.sent_by_id = {}
        self.keys = ["key-1", "key-2"]
        self.poison = ""
        self.revoked_keys = []
        self.revoked_at_by_key = {}
        self._routers = routers
        self._rng = rng
        self._problems = problems
        self._numbers = itertools.count(1)
        self._connection_numbers = itertools.count(1)
        self._stopping = False

    def stop(self):
        """Lets all callers end after their current requests."""
        self._stopping = True

    async def run(self, number):
        """Runs one caller, which reuses its connection while it is reusable."""
        style = _STYLES[number % len(_STYLES)]
        pause = _MAX_PAUSE_BY_STYLE.get(style, 0.05)
        connection = router = None
        while not self._stopping:
            if connection is not None and not connection.is_reusable:
                connection.close()
                connection = None
            if connection is None:
                if style is not Style.STAYING or router is None:
                    router = self._choose_router()
                connection = await self._connect(router, style)
                router = router if connection is not None else None
            if connection is not None:
                await self._call(connection, style)
            await asyncio.sleep(self._rng.uniform(0, pause))
        if connection is not None:
            connection.close()

    def _choose_router(self):
        in_rotation = [r for r in self._routers if r.is_in_rotation()]
        return self._rng.choice(in_rotation or self._routers)

    async def _connect(self, router, style):
        connection = connections.Connection(
            next(self._connection_numbers), router.vm, slow=style is Style.SLOW
        )
        try:
            await connection.open(router.address)
        except (OSError, TimeoutError):
            return None
        return connection

    async def _call(self, connection, style):
        """Sends one request or more and awaits all responses."""
        loop = asyncio.get_running_loop()
        batch = [self._new_request(connection, style, None)]
        if style is Style.PIPELINED:
            batch.append(self._new_request(connection, style, batch[0]))
        raw = b"".join(_format(sent) for sent in batch)
        connection.write(raw, half_close=style is Style.HALF_CLOSING)
        end = loop.time() + DEADLINE_SECONDS + MAX_OVERRUN_SECONDS
        for number, sent in enumerate(batch):
            await self._read_response(connection, sent, end)
            if sent.ending is not Ending.RESPONSE:
                connection.close()
                for waiting in batch[number + 1 :]:
                    waiting.ending = sent.ending
                    waiting.ended_at = sent.ended_at
                    waiting.detail = f"after {sent.id}"
                return

    async def _read_response(self, connection, sent, end):
        """Reads the response to a request and records how it ended."""
        response = None
        try:
            async with asyncio.timeout_at(end):
                response = await connection.read_response()
            sent.status = response.status
            sent.ending = Ending.RESPONSE
            if not http_status.is_final(response.status):
                self._problems.append(
                    f"{sent.id}: invalid status {response.status}"
                )
        except connections.IncompleteResponseError as error:
            sent.ending = Ending.CLOSED
            sent.detail = str(error)
        except TimeoutError:
            sent.ending = Ending.NO_RESPONSE
        except (KeyError, ValueError) as error:
            sent.ending = Ending.MALFORMED
            self._problems.append(f"{sent.id}: malformed: {error!r}")
        sent.ended_at = asyncio.get_running_loop().time()
        sent.started = connection.has_begun
        if sent.status == OK:
            self._check(sent, response)

    def _new_request(self, connection, style, behind):
        kind, size = "stream", payloads.LARGE
        if style is not Style.SLOW:
            kind = self._rng.choice(["stream", "safe", "unsafe", "unsafe"])
            size = self._rng.choice([SMALL, payloads.LONG])
        if behind is not None:
            # Two long streams one after the other reach the deadline.
            size = SMALL
        number = next(self._numbers)
        segment = ""
        if kind == "stream" and self.poison:
            segment = self.poison if number % POISON_EVERY == 0 else ""
        sent = Sent(
            id=f"{kind}-{number}",
            kind=kind,
            key=self._rng.choice(self.keys + self.revoked_keys[-1:]),
            vm=connection.vm,
            connection=connection.number,
            style=style,
            behind=behind,
            on_idle=connection.answered_count > 0 and behind is None,
            sent_at=asyncio.get_running_loop().time(),
            size=size,
            segments=poison.make_header(number, segment, first=number % 2 == 0),
        )
        self.sent_by_id[sent.id] = sent
        return sent

    def _check(self, sent, response):
        if "x-response-seal" not in response.headers:
            self._problems.append(
                f"{sent.id}: 200 response without x-response-seal"
            )
        expected = payloads.plain_body(sent.id)
        if sent.kind == "stream":
            target = _target(sent)
            size = payloads.event_size(target)
            expected = b"".join(
                payloads.event(sent.id, n, size)
                for n in range(1, payloads.event_count(target) + 1)
            )
        if response.body != expected:
            self._problems.append(
                f"{sent.id}: wrong body {response.body[:300]!r}"
            )


def _target(sent):
    return f"/{sent.kind}/{sent.size}"


def _format(sent):
    headers = [
        (b"host", b"desk.example"),
        (b"x-attempt-id", sent.id.encode()),
        (b"x-api-key", sent.key.encode()),
        (b"x-deadline-ms", b"%d" % (DEADLINE_SECONDS * 1000)),
        (b"x-token-usage", b"1000,48"),
        (b"x-prompt-prefix", sent.segments.encode()),
    ]
    method = "GET" if sent.kind == "safe" else "POST"
    return http_call.format_request(method, _target(sent), headers, b"")
