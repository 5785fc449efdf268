"""Injects a seeded series of faults and checks the router's guarantees."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import random
import tempfile
import time

from tests.gateway import store_stand_in
from tests.soak import abandoned
from tests.soak import backend
from tests.soak import callers
from tests.soak import configs
from tests.soak import faults
from tests.soak import in_force_check
from tests.soak import late_runs
from tests.soak import network
from tests.soak import probes
from tests.soak import renewals
from tests.soak import routers
from tests.soak import store_faults
from tests.soak import store_writer
from tests.soak import unanswered

REVOCATION_SECONDS = 2.0
RECOVERY_SECONDS = 30.0
MIN_SERVED_RATIO = 0.25
LAG_INTERVAL_SECONDS = 0.05
MIN_LAG_SECONDS = 0.1


@dataclasses.dataclass(frozen=True)
class Size:
    """Numbers of processes, stand-ins and callers.

    Attributes:
        routers: number of router processes.
        servers: number of servers; half of them are runners.
        callers: number of callers.
    """

    routers: int = 3
    servers: int = 24
    callers: int = 14


@dataclasses.dataclass
class Result:
    """The result of a run.

    Attributes:
        problems: violated guarantees.
        sent: number of requests sent.
        served: number of requests with a 200 response.
        unanswered: number of requests that ended for an allowed reason
            without a response, by reason.
        faults: names of the injected faults, in order.
        late_seconds: how long the soak's own process ran late in total. If it
            did for much of the run, the numbers of servers, callers or routers
            are too large for the machine.
        wait_seconds: how long the routers waited for a processor in total.
        departures: number of servers that left, times routers.
        leaving_delays: seconds from a server's leaving to the last request that
            a router sent it, where there was one and the bound held.
        findings: what the judge of configurations in force found.
    """

    problems: list[str]
    sent: int
    served: int
    unanswered: dict[str, int]
    faults: list[str]
    late_seconds: float
    wait_seconds: float
    departures: int
    leaving_delays: list[float]
    findings: in_force_check.Findings


class System:
    """The processes and stand-ins of a run.

    Attributes:
        record: what the servers observe.
        store: the store.
        servers: the servers.
        proxies: one for each router, between it and the store.
        routers: the router processes.
        callers: the callers.
        config_writer: writes the configuration.
        writer: writes for the operator and the servers.
        copies: copies of the store.
        drill_lock: held while the store is away in a drill.
        probes: requests on what changes.
    """

    def __init__(self, rng, size):
        self.record = backend.Record()
        self.store = store_stand_in.StoreStandIn()
        self.store.era = 1
        self.writer = store_writer.StoreWriter(self.store)
        self.copies = store_faults.Copies(self.store.memory)
        self.drill_lock = asyncio.Lock()
        self.servers = []
        self.proxies = []
        self.routers = []
        self.callers = callers.Callers(self.routers, rng, self.record.problems)
        self.config_writer = configs.ConfigWriter(
            self.writer, rng, self.callers
        )
        self.probes = probes.Probes(
            self.routers, rng, self.callers, self.config_writer.extra
        )
        self._rng = rng
        self._size = size

    async def start(self, folder):
        await self.store.start()
        for number in range(self._size.servers):
            await self._start_server(number)
        for number in range(self._size.routers):
            await self._add_router(folder, number)
        await self.config_writer.write()
        await asyncio.gather(*(router.start() for router in self.routers))

    async def stop(self):
        await asyncio.gather(*(router.stop() for router in self.routers))
        for proxy in self.proxies:
            proxy.close()

    async def _start_server(self, number):
        services = configs.PLAIN_SERVICES
        kind = ""
        if number % 2:
            services, kind = configs.MODELS, "big"
        service = services[number // 2 % 2]
        server = backend.Server(
            self.record,
            self.writer,
            f"{service}-{number}",
            service,
            kind,
        )
        self.servers.append(server)
        await server.start()

    async def _add_router(self, folder, number):
        proxy = network.Proxy(self.store.server.address)
        await proxy.start()
        self.proxies.append(proxy)
        self.routers.append(
            routers.RouterProcess(
                folder,
                f"router-{number}",
                proxy.address,
                self._rng,
                self.record.problems,
            )
        )


class SoakRun:
    """One soak run; its files are in a folder."""

    def __init__(self, seed, size, folder, fault_names=()):
        self._seed = seed
        self._rng = random.Random(seed)
        self._size = size
        self._folder = pathlib.Path(folder)
        self._fault_names = fault_names
        self._system = System(random.Random(f"{seed}-system"), size)
        self._events = []
        self._lags = []
        self._leaving_delays = {}
        self._findings = in_force_check.Findings()

    async def run(self, seconds):
        """Injects faults for that many seconds; then checks all guarantees."""
        system = self._system
        await system.start(self._folder)
        tasks = [
            asyncio.ensure_future(system.callers.run(number))
            for number in range(self._size.callers)
        ]
        tasks.append(asyncio.ensure_future(system.probes.run()))
        background = [
            asyncio.ensure_future(self._record_lags()),
            asyncio.ensure_future(system.copies.run()),
            asyncio.ensure_future(renewals.run(system.servers)),
        ]
        try:
            await self._wait_until_served()
            await self._inject(seconds)
            await self._wait_until_served()
            system.callers.stop()
            system.probes.stop()
            await asyncio.gather(*tasks)
        finally:
            await system.stop()
        for task in background:
            task.cancel()
        counts = self._check()
        sent = list(system.callers.sent_by_id.values())
        self._write_events()
        return Result(
            system.record.problems,
            len(sent),
            sum(1 for each in sent if each.status == callers.OK),
            counts,
            [name for _, name in self._events],
            sum(seconds for _, seconds in self._lags),
            sum(
                seconds
                for router in system.routers
                for _, seconds in router.waits
            ),
            len(system.record.departures) * len(system.routers),
            list(self._leaving_delays.values()),
            self._findings,
        )

    async def _inject(self, seconds):
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        running = set()
        while loop.time() < end:
            fault_rng = random.Random(f"{self._seed}-{len(self._events)}")
            injector = faults.Injector(fault_rng, self._system)
            name, fault = injector.draw(self._fault_names)
            self._events.append((loop.time(), name))
            running.add(asyncio.ensure_future(fault))
            if self._rng.random() < 0.4:
                await asyncio.wait(running)
            running = {task for task in running if not self._has_ended(task)}
            await asyncio.sleep(self._rng.uniform(0.1, 0.6))
        if running:
            await asyncio.wait(running)
        for task in running:
            self._has_ended(task)

    def _has_ended(self, fault):
        """Returns whether a fault's task has ended; reports its failure."""
        if fault.done() and (error := fault.exception()) is not None:
            self._system.record.problems.append(f"fault failed: {error!r}")
        return fault.done()

    async def _record_lags(self):
        """Records when this process had no processor, or was too busy."""
        loop = asyncio.get_running_loop()
        while True:
            start = loop.time()
            await asyncio.sleep(LAG_INTERVAL_SECONDS)
            lag = loop.time() - start - LAG_INTERVAL_SECONDS
            if lag > MIN_LAG_SECONDS:
                self._lags.append((loop.time(), lag))

    async def _wait_until_served(self):
        """Waits until a new request of each kind has been served."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        while loop.time() < start + RECOVERY_SECONDS:
            served = {
                sent.kind
                for sent in self._system.callers.sent_by_id.values()
                if sent.sent_at > start and sent.status == callers.OK
            }
            if served >= set(configs.KINDS):
                return
            await asyncio.sleep(0.1)
        self._system.record.problems.append(
            "not every kind of request was served again within 30 s"
        )

    def _check(self):
        """Records all problems; returns the unanswered requests by reason."""
        system = self._system
        problems = system.record.problems
        check = unanswered.UnansweredCheck(
            system.record, system.config_writer, system.routers, self._lags
        )
        late = late_runs.LateRunCheck(
            system.record.departures, system.routers, self._lags
        )
        for sent in system.callers.sent_by_id.values():
            check.check(sent)
            runs = system.record.runs_by_id.get(sent.id, [])
            problems.extend(late.find(sent, runs))
            late.record_delays(sent, runs, self._leaving_delays)
            self._check_runs(sent)
            if not check.is_disrupted(sent):
                self._check_streams(sent, check.due_at(sent))
        for segment, found in system.record.poison_by_segment.items():
            problems.extend(
                late.find_poison(segment, found, system.callers.sent_by_id)
            )
        problems.extend(check.problems)
        self._findings = in_force_check.check(system, late, self._lags)
        problems.extend(self._findings.problems)
        for router in system.routers:
            log = router.log()
            for mark in ("internal error", "controller failed", "Traceback"):
                at = log.find(mark)
                if at >= 0:
                    problems.append(f"{router.vm}: {log[at : at + 1500]}")
        return {
            reason.value: count
            for reason, count in check.count_by_reason.items()
        }

    def _check_streams(self, sent, due_at):
        runs = self._system.record.runs_by_id.get(sent.id, [])
        for run in abandoned.find(sent, runs, due_at):
            self._system.record.problems.append(
                f"sound run abandoned: {sent.id} at {sent.vm}, sent"
                f" {sent.sent_at:.2f}, at {run.server}"
                f" {run.started_at:.2f}-{run.ended_at:.2f}"
            )

    def _check_runs(self, sent):
        problems = self._system.record.problems
        runs = self._system.record.runs_by_id.get(sent.id, [])
        names = [run.server for run in runs]
        if sent.kind == "unsafe" and len(runs) > 1:
            problems.append(f"{sent.id} ran at {names}")
        if sent.status in callers.NOT_RUN_STATUSES and runs:
            problems.append(f"{sent.id}: {sent.status}, but ran at {names}")
        revoked_at = self._system.callers.revoked_at_by_key.get(sent.key)
        if (
            runs
            and revoked_at is not None
            and sent.sent_at > revoked_at + REVOCATION_SECONDS
        ):
            problems.append(f"{sent.id} ran with a revoked key")

    def _write_events(self):
        """Writes problems and times of events, for reading with the logs."""
        path = self._folder / "problems.txt"
        lines = [f"{each}\n" for each in self._system.record.problems]
        path.write_text("".join(lines), encoding="utf-8")
        lines = self._events + self._system.record.events
        lines += [(at, f"soak late by {lag:.2f} s") for at, lag in self._lags]
        for router in self._system.routers:
            lines += [(at, f"{n.name} {router.vm}") for at, n in router.signals]
            lines += [
                (at, f"{router.vm} waited {seconds:.2f} s for a processor")
                for at, seconds in router.waits
            ]
        lines += [
            (each.at, f"configuration {each.number} {each.timeout_by_kind}")
            for each in self._system.config_writer.written
        ]
        # Log lines have the time of the wall clock.
        offset = time.time() - asyncio.get_running_loop().time()
        path = self._folder / "events.jsonl"
        with path.open("w", encoding="utf-8") as file:
            for at, name in sorted(lines):
                line = [round(at, 3), round(at + offset, 3), name]
                print(json.dumps(line), file=file)


async def run_seed(seed, seconds, size=Size(), keep="", fault_names=()):
    """Runs the soak with a seed in a temporary folder, or in one to keep.

    Args:
        seed: seed of the random numbers.
        seconds: duration of the faults.
        size: numbers of processes, stand-ins and callers.
        keep: folder for logs and times of events; empty to keep none.
        fault_names: names of the faults to choose from; empty for all.
    """
    with contextlib.ExitStack() as stack:
        if keep:
            folder = pathlib.Path(keep) / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
        else:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
        return await SoakRun(seed, size, folder, fault_names).run(seconds)
