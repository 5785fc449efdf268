"""Cost of connections between processes, over real websockets."""

import asyncio
import collections
import gc
import time
import timeit
import tracemalloc

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

KEY = b"a key of the benchmarks"
SIZES = (50, 100, 200)
SECONDS = 3.0
DECODINGS = 20_000
HEARTBEAT_SECONDS = 0.5
LOAD = messages.LoadReport(12, 3, 0.04, 900.0, 100_000, 0.5)


def _hello(role: states.ProcessRole, name: str) -> messages.Hello:
    return messages.Hello(
        messages.PROTOCOL_VERSION,
        role,
        ids.VmId(name),
        ids.Incarnation("1"),
        ids.FailureDomain("luzon-1"),
    )


def _heartbeat(sequence: int) -> messages.Heartbeat:
    return messages.Heartbeat(sequence, ids.Generation(7), load=LOAD)


class _Pairs:
    """Sessions over loopback, both ends in this process."""

    def __init__(self) -> None:
        self.received: collections.Counter[str] = collections.Counter()
        self._tasks: list[asyncio.Task[object]] = []
        self._bounds = settings.Bounds(
            heartbeat_seconds=HEARTBEAT_SECONDS, silence_seconds=5.0
        )
        self._listener = websocket_link.WebsocketListener(self._accept)

    async def start(self, count: int) -> None:
        """Opens so many sessions."""
        address = await self._listener.start("127.0.0.1:0")
        dialer = websocket_link.WebsocketDialer()
        for index in range(count):
            link = await dialer.dial(address)
            own = _hello(states.ProcessRole.ROUTER, f"entry-{index}")
            peer = await sessions.shake_hands_as_dialer(link, KEY, own)
            task = asyncio.ensure_future(self._run(link, peer))
            self._tasks.append(task)

    async def stop(self) -> None:
        """Closes all sessions."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._listener.stop()

    async def _accept(self, link: links.BaseLink) -> None:
        own = _hello(states.ProcessRole.AGENT, "runner-1")
        peer = await sessions.shake_hands_as_listener(
            link, KEY, lambda hello: own
        )
        await self._run(link, peer)

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


async def _processor_seconds(count: int) -> float:
    pairs = _Pairs()
    await pairs.start(count)
    await asyncio.sleep(HEARTBEAT_SECONDS)
    started = time.process_time()
    await asyncio.sleep(SECONDS)
    spent = time.process_time() - started
    await pairs.stop()
    if not pairs.received["Heartbeat"]:
        raise RuntimeError("no heartbeat arrived")
    return spent / SECONDS


async def _memory_bytes(count: int) -> int:
    gc.collect()
    tracemalloc.start()
    pairs = _Pairs()
    await pairs.start(count)
    await asyncio.sleep(2 * HEARTBEAT_SECONDS)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    await pairs.stop()
    return used


def measure_processor() -> figures.Measured:
    """Returns the processor time of one end of one idle connection."""
    spent = [asyncio.run(_processor_seconds(size)) for size in SIZES]
    return figures.Measured(figures.slope(SIZES, spent) / 2 * 1e6)


def measure_memory() -> figures.Measured:
    """Returns the memory of one end of one idle connection."""
    used = [float(asyncio.run(_memory_bytes(size))) for size in SIZES]
    return figures.Measured(figures.slope(SIZES, used) / 2)


def measure_decoding() -> figures.Measured:
    """Returns the time to decode a heartbeat; baseline: checks made anew."""
    frame = codec.encode(_heartbeat(1))
    value = cbor2.loads(frame)
    new = timeit.timeit(lambda: codec.decode(frame), number=DECODINGS)
    old = timeit.timeit(
        lambda: msgspec.convert(value, codec.AnyMessage), number=DECODINGS
    )
    return figures.Measured(new / DECODINGS * 1e6, old / DECODINGS * 1e6)


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
