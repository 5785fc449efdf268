"""Time until an applied configuration is in force, and store calls."""

import asyncio
import functools

from benchmarks import figures
from nutmeglift import configuration_apply
from nutmeglift import declaration
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import settings
from tests import test_configuration
from tests import utils
from tests import virtual_time

LINK_DELAY_SECONDS = 0.0005
STORE_DELAY_SECONDS = 0.003
AGENT_COUNT = 3
POLL_INTERVAL_SECONDS = 0.01
TIMEOUT_SECONDS = 30.0
APPLY_INTERVAL_SECONDS = 86400 / 7900
MEASURED_APPLY_COUNT = 3
TARGET_ROUTER_COUNT = 510
TARGET_ACCOUNT_COUNT = 45_000
CHANGED_ACCOUNT_COUNT = 10
# Heartbeats make no store calls; long intervals keep the simulation of 510
# routers fast.
RARE_HEARTBEAT_BOUNDS = settings.Bounds(
    heartbeat_seconds=5.0, silence_seconds=15.0
)


class _CountingKv(kv.MemoryKv):
    """Counts the bytes of the keys and values written."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes_written = 0

    async def txn(
        self,
        compares: list[kv.Compare],
        writes: list[kv.Write],
        otherwise: list[kv.Get] | None = None,
    ) -> kv.TxnResult:
        """Counts the bytes of the writes and executes the transaction."""
        for write in writes:
            if isinstance(write, kv.Put):
                self.bytes_written += len(write.key) + len(write.value)
        return await super().txn(compares, writes, otherwise)


async def _start(
    routers: int, agents: int, bounds: settings.Bounds | None = None
) -> utils.Cluster:
    cluster = utils.Cluster(bounds=bounds)
    cluster.store.delay = STORE_DELAY_SECONDS
    await cluster.apply(cluster.declared)
    for index in range(agents):
        cluster.add_runner(f"runner-{index + 1}", index)
    addresses: list[str] = []
    for index in range(routers):
        process = cluster.add_router(f"entry-{index + 1}", index)
        for other in addresses:
            cluster.network.degrade(process.address, other, LINK_DELAY_SECONDS)
        addresses.append(process.address)
    await asyncio.sleep(6.0)
    return cluster


def _count_outdated(cluster: utils.Cluster, generation: int) -> int:
    routers = [
        process.router.configuration.generation
        for process in cluster.router_by_vm.values()
    ]
    agents = [
        process.agent._configuration.generation
        for process in cluster.agent_by_vm.values()
    ]
    return sum(current < generation for current in routers + agents)


async def _measure_activation_seconds(routers: int, outage: bool) -> float:
    cluster = await _start(routers, AGENT_COUNT)
    first, *others = cluster.router_by_vm.values()
    if outage:
        # Only one router can still reach the key-value service.
        for process in others:
            store = process.router.configuration._store
            assert isinstance(store, utils.PausableKv)
            store.disconnected = True
    await cluster.apply(test_configuration.make_accounts(100))
    loop = asyncio.get_running_loop()
    accepted_at = loop.time()
    while _count_outdated(cluster, 2):
        first_is_current = first.router.configuration.generation == 2
        if outage and first_is_current:
            cluster.store.set_down(True)
        if loop.time() - accepted_at > TIMEOUT_SECONDS:
            raise RuntimeError(
                "configuration not in force on all processes within"
                f" {TIMEOUT_SECONDS:g} s"
            )
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    elapsed = loop.time() - accepted_at
    await cluster.stop()
    return elapsed


async def _measure_calls_per_second(routers: int) -> float:
    cluster = await _start(routers, 0, RARE_HEARTBEAT_BOUNDS)
    calls_before = cluster.store.calls
    for number in range(MEASURED_APPLY_COUNT):
        await cluster.apply(test_configuration.make_accounts(100 + number))
        await asyncio.sleep(APPLY_INTERVAL_SECONDS)
    call_count = cluster.store.calls - calls_before
    await cluster.stop()
    return call_count / (MEASURED_APPLY_COUNT * APPLY_INTERVAL_SECONDS)


async def _measure_bytes() -> tuple[int, int]:
    store = _CountingKv()
    written = []
    for number, declared in enumerate(
        (
            test_configuration.make_accounts(TARGET_ACCOUNT_COUNT),
            test_configuration.make_accounts(
                TARGET_ACCOUNT_COUNT, CHANGED_ACCOUNT_COUNT
            ),
        )
    ):
        written.append(
            await _apply_and_count_bytes(store, declared, f"{number}")
        )
    return written[0], written[1]


async def _apply_and_count_bytes(
    store: _CountingKv, declared: declaration.Declaration, name: str
) -> int:
    before = store.bytes_written
    applier = configuration_apply.Applier(store, asyncio.sleep)
    await applier.apply(
        declared,
        configuration_apply.ApplyRequest(ids.ApplyId(name), "ana", 1000.0),
    )
    return store.bytes_written - before


def measure_activation(routers: int, outage: bool) -> figures.Measurement:
    """Measures the time from acceptance until in force on all processes."""
    measuring = _measure_activation_seconds(routers, outage)
    return figures.Measurement(round(virtual_time.run(measuring), 3))


def measure_calls(routers: int) -> figures.Measurement:
    """Measures store calls per second at the target of 7,900 applies a day."""
    return figures.Measurement(
        round(virtual_time.run(_measure_calls_per_second(routers)), 1)
    )


def measure_bytes() -> figures.Measurement:
    """Measures the bytes written for ten changed accounts.

    The baseline is the first write of the complete configuration.
    """
    whole, changed = virtual_time.run(_measure_bytes())
    return figures.Measurement(changed, whole)


FIGURES = (
    *(
        figures.Figure(
            f"config_in_force_{routers}{'_outage' if outage else ''}",
            "s",
            "<= 5" if outage else "<= 3",
            functools.partial(measure_activation, routers, outage),
        )
        for outage in (False, True)
        for routers in (3, 30, 300)
    ),
    *(
        figures.Figure(
            f"kv_calls_per_second_{routers}",
            "calls/s",
            "<= 200" if routers == TARGET_ROUTER_COUNT else "",
            functools.partial(measure_calls, routers),
        )
        for routers in (3, 30, 300, TARGET_ROUTER_COUNT)
    ),
    figures.Figure("apply_bytes_ten_of_45000", "bytes", "", measure_bytes),
)
