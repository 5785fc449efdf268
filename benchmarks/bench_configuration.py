"""Time until an apply is in force, and calls to the key-value service."""

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

LINK_SECONDS = 0.0005
SERVICE_SECONDS = 0.003
AGENTS = 3
STEP_SECONDS = 0.01
LONGEST_SECONDS = 30.0
APPLY_INTERVAL_SECONDS = 86400 / 7900
CALLS_APPLIES = 3
TARGET_ROUTERS = 510
TARGET_ACCOUNTS = 45_000
CHANGED_ACCOUNTS = 10
# Heartbeats make no calls; rare ones keep a fleet of 510 affordable.
RARE_HEARTBEATS = settings.Bounds(heartbeat_seconds=5.0, silence_seconds=15.0)


class _CountingKv(kv.MemoryKv):
    """Counts the bytes written."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes_written = 0

    async def txn(
        self,
        compares: list[kv.Compare],
        writes: list[kv.Write],
        otherwise: list[kv.Get] | None = None,
    ) -> kv.TxnResult:
        """Executes a transaction."""
        for write in writes:
            if isinstance(write, kv.Put):
                self.bytes_written += len(write.key) + len(write.value)
        return await super().txn(compares, writes, otherwise)


async def _start(
    routers: int, agents: int, bounds: settings.Bounds | None = None
) -> utils.Cluster:
    cluster = utils.Cluster(bounds=bounds)
    cluster.store.delay = SERVICE_SECONDS
    await cluster.apply(cluster.declared)
    for index in range(agents):
        cluster.add_runner(f"runner-{index + 1}", index)
    addresses: list[str] = []
    for index in range(routers):
        process = cluster.add_router(f"entry-{index + 1}", index)
        for other in addresses:
            cluster.network.degrade(process.address, other, LINK_SECONDS)
        addresses.append(process.address)
    await asyncio.sleep(6.0)
    return cluster


def _behind(cluster: utils.Cluster, generation: int) -> int:
    routers = [
        process.router.configuration.generation
        for process in cluster.router_by_vm.values()
    ]
    agents = [
        process.agent._configuration.generation
        for process in cluster.agent_by_vm.values()
    ]
    return sum(found < generation for found in routers + agents)


async def _measure_in_force(routers: int, outage: bool) -> float:
    cluster = await _start(routers, AGENTS)
    first, *others = cluster.router_by_vm.values()
    if outage:
        # Only one router's connections to the service still work.
        for process in others:
            store = process.router.configuration._store
            assert isinstance(store, utils.PausableKv)
            store.disconnected = True
    await cluster.apply(test_configuration.make_accounts(100))
    loop = asyncio.get_running_loop()
    accepted_at = loop.time()
    while _behind(cluster, 2):
        heard = first.router.configuration.generation == 2
        if outage and heard:
            cluster.store.set_down(True)
        if loop.time() - accepted_at > LONGEST_SECONDS:
            raise RuntimeError("the apply did not come into force")
        await asyncio.sleep(STEP_SECONDS)
    taken = loop.time() - accepted_at
    await cluster.stop()
    return taken


async def _measure_calls(routers: int) -> float:
    cluster = await _start(routers, 0, RARE_HEARTBEATS)
    calls = cluster.store.calls
    for number in range(CALLS_APPLIES):
        await cluster.apply(test_configuration.make_accounts(100 + number))
        await asyncio.sleep(APPLY_INTERVAL_SECONDS)
    made = cluster.store.calls - calls
    await cluster.stop()
    return made / (CALLS_APPLIES * APPLY_INTERVAL_SECONDS)


async def _measure_bytes() -> tuple[int, int]:
    store = _CountingKv()
    written = []
    for number, declared in enumerate(
        (
            test_configuration.make_accounts(TARGET_ACCOUNTS),
            test_configuration.make_accounts(TARGET_ACCOUNTS, CHANGED_ACCOUNTS),
        )
    ):
        written.append(await _apply_counted(store, declared, f"{number}"))
    return written[0], written[1]


async def _apply_counted(
    store: _CountingKv, declared: declaration.Declaration, name: str
) -> int:
    before = store.bytes_written
    applier = configuration_apply.Applier(store, asyncio.sleep)
    await applier.apply(
        declared,
        configuration_apply.ApplyRequest(ids.ApplyId(name), "ana", 1000.0),
    )
    return store.bytes_written - before


def measure_in_force(routers: int, outage: bool) -> figures.Measured:
    """Returns seconds from accept to in force on all processes."""
    work = _measure_in_force(routers, outage)
    return figures.Measured(round(virtual_time.run(work), 3))


def measure_calls(routers: int) -> figures.Measured:
    """Returns calls a second, with the target's 7,900 applies a day."""
    return figures.Measured(round(virtual_time.run(_measure_calls(routers)), 1))


def measure_bytes() -> figures.Measured:
    """Returns bytes written for ten changes; baseline: the whole set."""
    whole, changed = virtual_time.run(_measure_bytes())
    return figures.Measured(changed, whole)


FIGURES = (
    *(
        figures.Figure(
            f"config_in_force_{routers}{'_outage' if outage else ''}",
            "s",
            "<= 5" if outage else "<= 3",
            functools.partial(measure_in_force, routers, outage),
        )
        for outage in (False, True)
        for routers in (3, 30, 300)
    ),
    *(
        figures.Figure(
            f"kv_calls_per_second_{routers}",
            "calls/s",
            "<= 200" if routers == TARGET_ROUTERS else "",
            functools.partial(measure_calls, routers),
        )
        for routers in (3, 30, 300, TARGET_ROUTERS)
    ),
    figures.Figure("apply_bytes_ten_of_45000", "bytes", "", measure_bytes),
)
