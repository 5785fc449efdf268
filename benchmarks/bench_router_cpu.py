"""Processor time of the router's thread per token and per request."""

import asyncio
from collections.abc import Callable
import random
import time
from typing import Any

import pydantic

from benchmarks import baseline_endpoint
from benchmarks import figures
from benchmarks import router_load
from nutmeglift import auth
from nutmeglift import configuration_apply
from nutmeglift import declaration
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import plan
from nutmeglift import settings
from nutmeglift_router import http_app
from nutmeglift_router import router as routers
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import http_server
from nutmeglift_wire import metrics
from nutmeglift_wire import vm_list
from nutmeglift_wire import websocket_link

STREAM_COUNT = 64
TOKENS_PER_STREAM = 150
CALLER_COUNT = 16
REQUESTS_PER_CALLER = 40
MODEL = ids.ModelId("m")
VERSION = ids.VersionId("v")
TIMEOUT_SECONDS = 60.0

MakeApp = Callable[[routers.Router], Any]


def _make_declaration() -> declaration.Declaration:
    return declaration.Declaration(
        models=(
            declaration.Model(
                id=MODEL,
                layers=1,
                versions=(declaration.Version(id=VERSION),),
            ),
        ),
        routes=(
            declaration.Route(
                id=ids.RouteId(router_load.ROUTE), model=MODEL, version=VERSION
            ),
        ),
        client_accounts=(
            declaration.ClientAccount(
                id=ids.AccountId("bank-a"),
                token_sha256=(auth.hash_token(router_load.TOKEN),),
                requests_per_second=1e6,
                tokens_per_second=1e9,
            ),
        ),
        backend_classes=(
            declaration.BackendClass(
                id="runner", layer_positions_per_second=1e6, memory_bytes=1000
            ),
        ),
    )


def _make_router(
    store: kv.MemoryKv, vms: vm_list.MemoryVmList
) -> routers.Router:
    return routers.Router(
        settings.RouterSettings(
            vm=ids.VmId("entry-1"),
            listen="127.0.0.1:1",
            http="127.0.0.1:2",
            failure_domain=ids.FailureDomain("luzon-1"),
            platform=settings.Platform(
                key_value="127.0.0.1:3", vm_list="127.0.0.1:4"
            ),
            shared_key=pydantic.SecretStr(router_load.KEY.decode()),
        ),
        incarnation=ids.Incarnation("1"),
        clock=clocks.LoopClock(),
        rng=random.Random(1),
        store=store,
        vms=vms,
        dialer=websocket_link.WebsocketDialer(),
        metrics=metrics.NoMetrics(),
    )


async def _start_router(agent_address: str) -> routers.Router:
    store = kv.MemoryKv()
    applier = configuration_apply.Applier(store, asyncio.sleep)
    await applier.apply(
        _make_declaration(),
        configuration_apply.ApplyRequest(ids.ApplyId("1"), "bench", 0.0),
    )
    vms = vm_list.MemoryVmList()
    domain = ids.FailureDomain("luzon-1")
    vms.put(plan.VmEntry(router_load.AGENT_VM, agent_address, domain, "runner"))
    router = _make_router(store, vms)
    router.start()
    return router


async def _measure(shape: router_load.LoadShape, make_app: MakeApp) -> float:
    """Returns this thread's processor seconds per token under the load."""
    loop = asyncio.get_running_loop()
    names = ("started", "sent", "ended")
    event_by_name = {name: asyncio.Event() for name in names}

    def note_event(name: str) -> None:
        loop.call_soon_threadsafe(event_by_name[name].set)

    load = router_load.LoadThread(shape, note_event)
    load.start()
    load.listening.wait()
    router = await _start_router(load.agent_address)
    server = http_server.HttpServer(make_app(router))
    load.router_address = await server.start("127.0.0.1:0")
    await asyncio.sleep(3.0)
    before = time.thread_time()
    load.start_callers.set()
    if shape.stream:
        await event_by_name["started"].wait()
        before = time.thread_time()
        await asyncio.wait_for(event_by_name["sent"].wait(), TIMEOUT_SECONDS)
        seconds = time.thread_time() - before
    await asyncio.wait_for(event_by_name["ended"].wait(), TIMEOUT_SECONDS)
    if not shape.stream:
        seconds = time.thread_time() - before
    expected = shape.callers * shape.requests * shape.tokens
    if load.tokens != expected:
        raise RuntimeError(f"received {load.tokens} of {expected} tokens")
    await router.stop()
    await server.stop()
    return seconds / expected


def _make_router_app(router: routers.Router) -> Any:
    return http_app.HttpApp(router).app


def _make_baseline_app(router: routers.Router) -> Any:
    return baseline_endpoint.make_app(router)


def _microseconds_per_token(make_app: MakeApp) -> float:
    shape = router_load.LoadShape(STREAM_COUNT, 1, TOKENS_PER_STREAM, True)
    return asyncio.run(_measure(shape, make_app)) * 1e6


def _microseconds_per_request(make_app: MakeApp) -> float:
    shape = router_load.LoadShape(CALLER_COUNT, REQUESTS_PER_CALLER, 1, False)
    return asyncio.run(_measure(shape, make_app)) * 1e6


def measure_per_token() -> figures.Measurement:
    """Measures the time per relayed token of 64 streams.

    Each stream gets one token per step.
    """
    return figures.Measurement(
        round(_microseconds_per_token(_make_router_app), 2),
        round(_microseconds_per_token(_make_baseline_app), 2),
    )


def measure_per_request() -> figures.Measurement:
    """Measures the time per request of one token on persistent connections."""
    return figures.Measurement(
        round(_microseconds_per_request(_make_router_app), 1),
        round(_microseconds_per_request(_make_baseline_app), 1),
    )


FIGURES = [
    figures.Figure("router_cpu_per_token", "µs", "<= 15", measure_per_token),
    figures.Figure(
        "router_cpu_per_request", "µs", "<= 1000", measure_per_request
    ),
]
