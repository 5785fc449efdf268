"""Bytes, processor time and memory of the control plane in one router.

Values at the target size are extrapolated from the slope over smaller sizes.
"""

import asyncio
import dataclasses
import functools
import gc
import random
import threading
import time
import tracemalloc

from benchmarks import figures
from nutmeglift import auth
from nutmeglift import codec
from nutmeglift import configuration
from nutmeglift import configuration_chunks as chunks
from nutmeglift import configuration_sync
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import membership
from nutmeglift import messages
from nutmeglift import plan
from nutmeglift import settings
from nutmeglift import states
from nutmeglift_router import router as routers
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import link as links
from nutmeglift_wire import metrics
from nutmeglift_wire import session as sessions
from nutmeglift_wire import vm_list
from nutmeglift_wire import websocket_link
from tests import test_configuration
from tests import utils

LINK_COUNTS = (8, 24, 56)
MEASURED_SECONDS = 2.5
SETTLE_SECONDS = 1.5
LOAD_REPORT = messages.LoadReport(12, 3, 0.04, 900.0, 100_000, 0.5)
WEBSOCKET_AND_TCP_HEADER_BYTES = 6 + 40
TARGET_ROUTER_LINKS = 8
TARGET_AGENT_LINKS = 48
TARGET_LINKS = TARGET_ROUTER_LINKS + TARGET_AGENT_LINKS
TARGET_ACCOUNTS = 45_000
TARGET_MEMBERS = 12_000
MEMORY_ENTRY_COUNTS = (1000, 2000, 4000)
DOMAIN = ids.FailureDomain("domain-1")
BACKEND_CLASS = "runner"
BYTES_PER_MEGABYTE = 1_000_000


@dataclasses.dataclass(frozen=True)
class _RouterCost:
    """Cost of one router.

    Attributes:
        cpu_share: processor seconds per second.
        bytes_per_second: bytes sent and received per second.
    """

    cpu_share: float
    bytes_per_second: float


class _CountingLink(links.BaseLink):
    """Counts the bytes sent and received over a link."""

    def __init__(self, inner: links.BaseLink, peers: "_AgentPeers") -> None:
        self._inner = inner
        self._peers = peers

    async def send(self, message: codec.AnyMessage) -> None:
        """Counts and sends a message."""
        self._peers.count(message)
        await self._inner.send(message)

    async def receive(self) -> codec.AnyMessage:
        """Receives and counts a message."""
        message = await self._inner.receive()
        self._peers.count(message)
        return message

    async def close(self) -> None:
        """Closes the connection."""
        await self._inner.close()

    def abort(self) -> None:
        """Closes the connection without a handshake."""
        self._inner.abort()


class _AgentPeers:
    """Agents' ends of the router's connections, in a separate thread."""

    def __init__(self, count: int) -> None:
        self.bytes = 0
        self.addresses: list[str] = []
        self._count = count
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._listeners: list[websocket_link.WebsocketListener] = []

    def start(self) -> None:
        """Starts the thread and its listeners."""
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._start(), self._loop).result()

    def stop(self) -> None:
        """Stops the listeners and the thread."""
        asyncio.run_coroutine_threadsafe(self._stop(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def count(self, message: codec.AnyMessage) -> None:
        """Adds the size of a message with its WebSocket and TCP headers."""
        size = len(codec.encode(message)) + WEBSOCKET_AND_TCP_HEADER_BYTES
        self.bytes += size

    async def _start(self) -> None:
        for index in range(self._count):
            listener = websocket_link.WebsocketListener(
                functools.partial(self._serve, index)
            )
            self._listeners.append(listener)
            self.addresses.append(await listener.start("127.0.0.1:0"))

    async def _stop(self) -> None:
        for listener in self._listeners:
            await listener.stop()

    async def _serve(self, index: int, link: links.BaseLink) -> None:
        counting = _CountingLink(link, self)
        own = messages.Hello(
            messages.PROTOCOL_VERSION,
            states.ProcessRole.AGENT,
            ids.VmId(f"runner-{index}"),
            ids.Incarnation("1"),
            DOMAIN,
        )
        key = utils.SHARED_KEY.get_secret_value().encode()
        peer = await sessions.shake_hands_as_listener(
            counting, key, lambda _: own
        )
        await sessions.Session(
            counting,
            peer,
            clock=clocks.LoopClock(),
            bounds=settings.Bounds(),
            handler=lambda session, message: None,
            make_heartbeat=lambda sequence: messages.Heartbeat(
                sequence, ids.Generation(1), load=LOAD_REPORT
            ),
        ).run()


async def _run_router(peers: _AgentPeers) -> _RouterCost:
    vms = vm_list.MemoryVmList()
    for index, address in enumerate(peers.addresses):
        vm = ids.VmId(f"runner-{index}")
        vms.put(plan.VmEntry(vm, address, DOMAIN, BACKEND_CLASS))
    store = kv.MemoryKv()
    await test_configuration.apply(store, utils.make_declaration())
    router = routers.Router(
        settings.RouterSettings(
            vm=ids.VmId("entry-1"),
            listen="127.0.0.1:1",
            http="127.0.0.1:1",
            failure_domain=DOMAIN,
            platform=utils.PLATFORM,
            shared_key=utils.SHARED_KEY,
        ),
        incarnation=ids.Incarnation("1"),
        clock=clocks.LoopClock(),
        rng=random.Random(1),
        store=store,
        vms=vms,
        dialer=websocket_link.WebsocketDialer(),
        metrics=metrics.NoMetrics(),
    )
    router.start()
    await asyncio.sleep(SETTLE_SECONDS)
    if router.membership.usable_count != len(peers.addresses):
        raise RuntimeError(
            f"{router.membership.usable_count} of {len(peers.addresses)} agents"
            " connected"
        )
    bytes_before, started = peers.bytes, time.thread_time()
    await asyncio.sleep(MEASURED_SECONDS)
    cpu_share = (time.thread_time() - started) / MEASURED_SECONDS
    byte_rate = (peers.bytes - bytes_before) / MEASURED_SECONDS
    await router.stop()
    return _RouterCost(cpu_share, byte_rate)


def _measure_router(count: int) -> _RouterCost:
    peers = _AgentPeers(count)
    peers.start()
    try:
        return asyncio.run(_run_router(peers))
    finally:
        peers.stop()


def _extrapolate_to_target(values: list[float]) -> float:
    cost_per_link = figures.slope(LINK_COUNTS, values)
    return values[0] + cost_per_link * (TARGET_LINKS - LINK_COUNTS[0])


def measure_bytes() -> figures.Measurement:
    """Measures bytes per second in both directions at the target's links."""
    byte_rates = [
        _measure_router(size).bytes_per_second for size in LINK_COUNTS
    ]
    return figures.Measurement(round(_extrapolate_to_target(byte_rates)))


def measure_processor() -> figures.Measurement:
    """Measures the share of one core at the target's number of links."""
    cpu_shares = [_measure_router(size).cpu_share for size in LINK_COUNTS]
    return figures.Measurement(round(_extrapolate_to_target(cpu_shares), 4))


def _build_configuration_state(count: int) -> object:
    split = chunks.ChunkedDeclaration(test_configuration.make_accounts(count))
    chunk_by_digest = {
        d: bytes(bytearray(c)) for d, c in split.chunk_by_digest.items()
    }
    head = configuration.next_head(
        split.index,
        configuration.NO_HEAD,
        apply_id=ids.ApplyId("a"),
        author="ana",
        time=1.0,
    )
    del split
    sync = configuration_sync.ConfigurationSync()
    sync.receive_head(head, 0.0)
    while sync.pending is not None:
        for action in sync.receive_chunks(chunk_by_digest, 0.0):
            if isinstance(action, configuration_sync.Activated):
                return sync, auth.Authenticator(action.declared)
    raise RuntimeError("configuration not in force after all chunks")


def _build_membership(count: int) -> object:
    members = membership.Membership()
    members.record_list(
        [
            plan.VmEntry(
                ids.VmId(f"runner-{n}"),
                f"10.0.{n // 250}.{n}:7",
                DOMAIN,
                BACKEND_CLASS,
            )
            for n in range(count)
        ],
        0.0,
    )
    return members


def _measure_memory_bytes(build: object, count: int) -> float:
    assert callable(build)
    gc.collect()
    tracemalloc.start()
    state = build(count)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del state
    return float(used)


def measure_memory() -> figures.Measurement:
    """Measures the memory of configuration and membership at the target."""
    total = 0.0
    for build, target in (
        (_build_configuration_state, TARGET_ACCOUNTS),
        (_build_membership, TARGET_MEMBERS),
    ):
        used = [
            _measure_memory_bytes(build, count) for count in MEMORY_ENTRY_COUNTS
        ]
        total += figures.slope(MEMORY_ENTRY_COUNTS, used) * target
    return figures.Measurement(round(total / BYTES_PER_MEGABYTE, 1))


FIGURES = (
    figures.Figure("control_bytes_per_second", "B/s", "<= 7000", measure_bytes),
    figures.Figure("control_cpu_share", "ratio", "<= 0.02", measure_processor),
    figures.Figure("control_memory", "MB", "<= 32", measure_memory),
)
