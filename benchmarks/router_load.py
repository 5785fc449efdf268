"""Load on a router from another thread: an agent stub and callers."""

import asyncio
from collections.abc import Callable
import dataclasses
import json
import threading

from nutmeglift import codec
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import settings
from nutmeglift import states
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import link as links
from nutmeglift_wire import session as sessions
from nutmeglift_wire import websocket_link

AGENT_VM = ids.VmId("runner-1")
TOKEN = "bench"
ROUTE = "letters"
KEY = b"a key of the benchmark"
STEP_SECONDS = 0.02
SETTLE_SECONDS = 0.2
READ_BUFFER_BYTES = 1024 * 1024
TOKEN_TEXT = " shipment"


@dataclasses.dataclass(frozen=True)
class LoadShape:
    """Number and form of the callers' requests.

    Attributes:
        callers: number of concurrent callers, each on its own connection.
        requests: number of requests that each caller makes in sequence.
        tokens: number of tokens in each response.
        stream: whether the responses are server-sent events.
    """

    callers: int
    requests: int
    tokens: int
    stream: bool


class AgentStub:
    """Sends each request one token per step, without an engine."""

    def __init__(self, expected: int) -> None:
        self._expected = expected
        self._started: dict[ids.RequestId, messages.StartAttempt] = {}
        self._sent: dict[ids.RequestId, int] = {}
        self._sequence = 0
        self._session: sessions.Session | None = None
        self.may_send = asyncio.Event()
        self.all_started = asyncio.Event()
        self.all_sent = asyncio.Event()

    async def serve(self, link: links.BaseLink) -> None:
        """Serves the connection from the router until it ends."""
        hello = messages.Hello(
            messages.PROTOCOL_VERSION,
            states.ProcessRole.AGENT,
            AGENT_VM,
            ids.Incarnation("1"),
            ids.FailureDomain("luzon-1"),
        )
        peer = await sessions.shake_hands_as_listener(
            link, KEY, lambda _: hello
        )
        self._session = sessions.Session(
            link,
            peer,
            clock=clocks.LoopClock(),
            bounds=settings.Bounds(),
            handler=self._handle,
            make_heartbeat=lambda sequence: messages.Heartbeat(
                sequence, ids.Generation(0)
            ),
        )
        await self._session.run()

    async def run_steps(self) -> None:
        """Runs steps until cancelled, once `may_send` is set."""
        await self.may_send.wait()
        while True:
            if self._started and self._session is not None:
                self._sequence += 1
                items = tuple(
                    self._next_item(start)
                    for start in list(self._started.values())
                )
                self._session.post(messages.TokenFrame(self._sequence, items))
                if not self._started:
                    self.all_sent.set()
            await asyncio.sleep(STEP_SECONDS)

    def _handle(
        self, session: sessions.Session, message: codec.AnyMessage
    ) -> None:
        if not isinstance(message, messages.StartAttempt):
            return
        self._started[message.request] = message
        self._sent[message.request] = 0
        if len(self._started) >= self._expected:
            self.all_started.set()

    def _next_item(self, start: messages.StartAttempt) -> messages.TokenItem:
        sequence = self._sent[start.request]
        self._sent[start.request] = sequence + 1
        last = sequence + 1 == start.max_tokens
        if last:
            del self._started[start.request]
            del self._sent[start.request]
        return messages.TokenItem(
            start.request,
            start.attempt,
            sequence,
            (7,),
            (TOKEN_TEXT,),
            states.FinishReason.LENGTH if last else None,
        )


class Caller:
    """Makes requests over one connection with minimal processor time.

    A stream is read only after it has ended. Until then its bytes stay in the
    kernel's buffers, so that this thread does not contend with the router's.
    """

    def __init__(
        self, address: str, shape: LoadShape, may_read: asyncio.Event
    ) -> None:
        self._address = address
        self._may_read = may_read
        self._shape = shape
        body = json.dumps(
            {
                "model": ROUTE,
                "messages": [{"role": "user", "content": "check"}],
                "max_tokens": shape.tokens,
                "stream": shape.stream,
            }
        ).encode()
        self._request = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: {address}\r\n"
            f"Authorization: Bearer {TOKEN}\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    async def run(self) -> int:
        """Makes all requests and returns the number of tokens received."""
        host, _, port = self._address.rpartition(":")
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=READ_BUFFER_BYTES
        )
        tokens = 0
        for _ in range(self._shape.requests):
            writer.write(self._request)
            if self._shape.stream:
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                await self._may_read.wait()
                writer.transport.resume_reading()  # type: ignore[attr-defined]
            tokens += await self._read_response(reader)
        writer.close()
        return tokens

    async def _read_response(self, reader: asyncio.StreamReader) -> int:
        head = await reader.readuntil(b"\r\n\r\n")
        if b" 200 " not in head.split(b"\r\n")[0]:
            raise RuntimeError(head.decode())
        if self._shape.stream:
            response = await reader.readuntil(b"0\r\n\r\n")
            return response.count(TOKEN_TEXT.encode())
        length = head.lower().split(b"content-length:")[1].split(b"\r\n")[0]
        response = await reader.readexactly(int(length))
        return response.count(TOKEN_TEXT.encode())


class LoadThread(threading.Thread):
    """Thread that generates the load, with its own event loop.

    Attributes:
        agent_address: address on which the agent stub listens.
        tokens: number of tokens that the callers received.
    """

    def __init__(
        self, shape: LoadShape, on_event: Callable[[str], None]
    ) -> None:
        super().__init__(daemon=True)
        self.agent_address = ""
        self.tokens = 0
        self.listening = threading.Event()
        self.router_address: str | None = None
        self.start_callers = threading.Event()
        self._shape = shape
        self._on_event = on_event

    def run(self) -> None:
        """Runs the load until all callers have finished."""
        asyncio.run(self._run())

    async def _run(self) -> None:
        shape = self._shape
        agent = AgentStub(shape.callers)
        listener = websocket_link.WebsocketListener(agent.serve)
        self.agent_address = await listener.start("127.0.0.1:0")
        self.listening.set()
        steps = asyncio.ensure_future(agent.run_steps())
        await asyncio.to_thread(self.start_callers.wait, 30.0)
        assert self.router_address is not None
        may_read = asyncio.Event()
        callers = [
            asyncio.ensure_future(
                Caller(self.router_address, shape, may_read).run()
            )
            for _ in range(shape.callers)
        ]
        if shape.stream:
            await agent.all_started.wait()
            self._on_event("started")
            await asyncio.sleep(SETTLE_SECONDS)
        agent.may_send.set()
        if shape.stream:
            await agent.all_sent.wait()
            await asyncio.sleep(SETTLE_SECONDS)
            self._on_event("sent")
        may_read.set()
        self.tokens = sum(await asyncio.gather(*callers))
        steps.cancel()
        self._on_event("ended")
