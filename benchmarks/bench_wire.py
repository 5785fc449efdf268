"""Cost of connections between processes, over real WebSockets."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
import gc
import threading
import time
import timeit
import tracemalloc
from typing import Any

import cbor2
import msgspec

from benchmarks import figures
from nutmeglift import codec
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import settings
from nutmeglift import states
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import link as links
from nutmeglift_wire import session as sessions
from nutmeglift_wire import websocket_link

SHARED_KEY = b"a key of the benchmarks"
CONNECTION_COUNTS = (50, 100, 200)
MEASURED_SECONDS = 3.0
DECODE_COUNT = 20_000
HEARTBEAT_SECONDS = 0.5
LOAD_REPORT = messages.LoadReport(12, 3, 0.04, 900.0, 100_000, 0.5)


def _hello(role: states.ProcessRole, name: str) -> messages.Hello:
    return messages.Hello(
        messages.PROTOCOL_VERSION,
        role,
        ids.VmId(name),
        ids.Incarnation("1"),
        ids.FailureDomain("luzon-1"),
    )


def _heartbeat(sequence: int) -> messages.Heartbeat:
    return messages.Heartbeat(sequence, ids.Generation(7), load=LOAD_REPORT)


class _SessionEnd:
    """One end of many sessions, on the running event loop."""

    def __init__(self) -> None:
        self.received: collections.Counter[str] = collections.Counter()
        self._tasks: list[asyncio.Task[object]] = []
        self._bounds = settings.Bounds(
            heartbeat_seconds=HEARTBEAT_SECONDS, silence_seconds=5.0
        )

    async def dial(self, address: str, count: int) -> None:
        """Opens `count` sessions, spread over one heartbeat interval."""
        dialer = websocket_link.WebsocketDialer()
        for index in range(count):
            link = await dialer.dial(address)
            own = _hello(states.ProcessRole.ROUTER, f"entry-{index}")
            peer = await sessions.shake_hands_as_dialer(link, SHARED_KEY, own)
            self._tasks.append(asyncio.ensure_future(self._run(link, peer)))
            await asyncio.sleep(HEARTBEAT_SECONDS / count)

    async def accept(self, link: links.BaseLink) -> None:
        """Accepts a session and serves it until it ends."""
        own = _hello(states.ProcessRole.AGENT, "runner-1")
        peer = await sessions.shake_hands_as_listener(
            link, SHARED_KEY, lambda hello: own
        )
        await self._run(link, peer)

    async def stop(self) -> None:
        """Closes the dialed sessions."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, link: links.BaseLink, peer: messages.Hello) -> object:
        session = sessions.Session(
            link,
            peer,
            clock=clocks.LoopClock(),
            bounds=self._bounds,
            handler=lambda _, message: self._count(message),
            make_heartbeat=_heartbeat,
        )
        return await session.run()

    def _count(self, message: object) -> None:
        self.received[type(message).__name__] += 1


class _ListenerThread(threading.Thread):
    """Accepting end, in a thread whose processor time is not measured."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.address = ""
        self.ready = threading.Event()
        self._loop = asyncio.new_event_loop()
        self._done = asyncio.Event()

    def run(self) -> None:
        """Accepts sessions until stopped."""
        self._loop.run_until_complete(self._serve())

    def stop(self) -> None:
        """Stops the listener and waits for the thread."""
        self._loop.call_soon_threadsafe(self._done.set)
        self.join()

    async def _serve(self) -> None:
        listener = websocket_link.WebsocketListener(_SessionEnd().accept)
        self.address = await listener.start("127.0.0.1:0")
        self.ready.set()
        await self._done.wait()
        await listener.stop()


async def _processor_seconds(address: str, count: int) -> float:
    end = _SessionEnd()
    await end.dial(address, count)
    started = time.thread_time()
    await asyncio.sleep(MEASURED_SECONDS)
    spent = time.thread_time() - started
    await end.stop()
    if not end.received["Heartbeat"]:
        raise RuntimeError("no heartbeat arrived")
    return spent / MEASURED_SECONDS


async def _memory_bytes(address: str, count: int) -> int:
    gc.collect()
    tracemalloc.start()
    end = _SessionEnd()
    await end.dial(address, count)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    await end.stop()
    return used


def _measure_sizes(
    work: Callable[[str, int], Coroutine[Any, Any, float]],
) -> list[float]:
    measured = []
    for size in CONNECTION_COUNTS:
        listener = _ListenerThread()
        listener.start()
        listener.ready.wait()
        measured.append(asyncio.run(work(listener.address, size)))
        listener.stop()
    return measured


def measure_processor() -> figures.Measurement:
    """Measures the processor time of one end of an idle connection."""
    spent = _measure_sizes(_processor_seconds)
    return figures.Measurement(figures.slope(CONNECTION_COUNTS, spent) * 1e6)


def measure_memory() -> figures.Measurement:
    """Measures the memory of one end of an idle connection.

    Both ends are in this process, so the value is half of their total.
    """
    used = _measure_sizes(_memory_bytes)
    return figures.Measurement(figures.slope(CONNECTION_COUNTS, used) / 2)


def measure_decoding() -> figures.Measurement:
    """Measures the time to decode a heartbeat.

    The baseline converts the decoded CBOR value with `msgspec.convert`, which
    prepares its type checks again on each call.
    """
    frame = codec.encode(_heartbeat(1))
    value = cbor2.loads(frame)
    decode_seconds = timeit.timeit(
        lambda: codec.decode(frame), number=DECODE_COUNT
    )
    convert_seconds = timeit.timeit(
        lambda: msgspec.convert(value, codec.AnyMessage), number=DECODE_COUNT
    )
    return figures.Measurement(
        decode_seconds / DECODE_COUNT * 1e6,
        convert_seconds / DECODE_COUNT * 1e6,
    )


FIGURES = (
    figures.Figure("message_decode_time", "µs", "", measure_decoding),
    figures.Figure(
        "connection_processor_time",
        "µs/s",
        "",
        measure_processor,
    ),
    figures.Figure("connection_memory", "bytes", "", measure_memory),
)
