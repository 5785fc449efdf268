"""Shared test builders, among them a whole deployment in memory."""

import asyncio
import collections
from collections.abc import Sequence
import dataclasses
import random

import pydantic

from nutmeglift import auth
from nutmeglift import configuration_apply
from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import plain_messages
from nutmeglift import plan
from nutmeglift import settings
from nutmeglift import tokenizer
from nutmeglift_agent import agent as agents
from nutmeglift_fakes import plain_service
from nutmeglift_fakes import toy_engine
from nutmeglift_router import admission_controller
from nutmeglift_router import chat
from nutmeglift_router import plain_call_request
from nutmeglift_router import router as routers
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import link as links
from nutmeglift_wire import metrics
from nutmeglift_wire import vm_list

TOKEN = "test-token"
LAYERS = 12
MODEL = ids.ModelId("sampaguita-drafts")
VERSION = ids.VersionId("v1")
ROUTE = ids.RouteId("letters")
SERVICE = ids.ServiceId("core-application")
RUNNER_CLASS = "runner"
SERVICE_CLASS = "core"
DOMAINS = tuple(ids.FailureDomain(f"luzon-{n}") for n in (1, 2, 3))
PLATFORM = settings.Platform(key_value="10.0.0.1:1", vm_list="10.0.0.1:2")
SHARED_KEY = pydantic.SecretStr("a key of the tests only")
PROMPT = tuple(b"user: check the amendment\n")


def make_declaration(**changes) -> declaration.Declaration:
    """Returns a small valid declaration with the given sections replaced."""
    sections = {
        "models": (
            declaration.Model(
                id=MODEL,
                layers=LAYERS,
                layer_bytes=1000,
                versions=(declaration.Version(id=VERSION),),
            ),
        ),
        "routes": (declaration.Route(id=ROUTE, model=MODEL, version=VERSION),),
        "client_accounts": (make_account("bank-a"),),
        "operators": (
            declaration.Operator(
                id="ana", token_sha256=(auth.hash_token(TOKEN),)
            ),
        ),
        "services": (
            declaration.Service(
                id=SERVICE,
                calls=(
                    declaration.Call(
                        method="POST", path="/releases", idempotent=False
                    ),
                    declaration.Call(
                        method="GET", path="/releases/*", idempotent=True
                    ),
                ),
            ),
        ),
        "backend_classes": (
            declaration.BackendClass(
                id=RUNNER_CLASS,
                layer_positions_per_second=24000,
                memory_bytes=12000,
            ),
            declaration.BackendClass(id=SERVICE_CLASS, service=SERVICE),
        ),
    }
    return declaration.Declaration(**(sections | changes))


def domains_of(
    declared: declaration.Declaration,
) -> tuple[ids.FailureDomain, ...]:
    """Returns the failure domains of a declaration's links, or DOMAINS."""
    named = {domain for link in declared.links for domain in link.between}
    return tuple(sorted(named)) or DOMAINS


def make_account(name: str, **changes) -> declaration.ClientAccount:
    """Returns a client account whose token is TOKEN."""
    return declaration.ClientAccount(
        id=ids.AccountId(name),
        token_sha256=(auth.hash_token(TOKEN),),
        **changes,
    )


def reference_tokens(
    prompt: Sequence[int], max_tokens: int, layers: int = LAYERS
) -> list[int]:
    """Returns the tokens that the model generates when it is not split."""
    return toy_engine.reference_tokens(
        MODEL,
        VERSION,
        None,
        layers=layers,
        prompt=tuple(prompt),
        max_tokens=max_tokens,
    )


def reference_text(
    prompt: Sequence[int], max_tokens: int, layers: int = LAYERS
) -> str:
    """Returns the text that the model generates when it is not split."""
    tokens = reference_tokens(prompt, max_tokens, layers)
    return "".join(f" {toy_engine.WORDS[token]}" for token in tokens)


def chat_prompt(content: str) -> tuple[int, ...]:
    """Returns the encoded prompt of a single user message."""
    message = tokenizer.ChatMessage("user", content)
    return tokenizer.ByteTokenizer().encode([message])


class PausableKv(kv.BaseKv):
    """Key-value client of one process; it is suspended with the process.

    Attributes:
        disconnected: whether this process alone can't reach the service.
        watch_stalled: whether its watches no longer deliver events.
    """

    def __init__(self, store: kv.MemoryKv, clock: clocks.PausableClock) -> None:
        super().__init__()
        self.disconnected = False
        self.watch_stalled = False
        self._store = store
        self._clock = clock

    async def range(self, get):
        return await self._call(self._store.range(get))

    async def txn(self, compares, writes, otherwise=None):
        return await self._call(self._store.txn(compares, writes, otherwise))

    async def grant(self, ttl):
        return await self._call(self._store.grant(ttl))

    async def keep_alive(self, lease):
        return await self._call(self._store.keep_alive(lease))

    async def revoke(self, lease):
        await self._call(self._store.revoke(lease))

    async def snapshot(self, prefix):
        return await self._call(self._store.snapshot(prefix))

    async def watch(self, key, *, prefix=False, start):
        self.calls += 1
        async for batch in self._store.watch(key, prefix=prefix, start=start):
            await self._clock.wait_until_running()
            if self.disconnected:
                raise errors.KvUnavailableError("this process is disconnected")
            if not self.watch_stalled:
                yield batch

    async def _call(self, work):
        self.calls += 1
        try:
            await self._clock.wait_until_running()
            if self.disconnected:
                raise errors.KvUnavailableError("this process is disconnected")
            return await work
        finally:
            work.close()
            await self._clock.wait_until_running()


@dataclasses.dataclass
class AgentProcess:
    """An agent under test and the fake engine or service that it serves."""

    agent: agents.Agent
    clock: clocks.PausableClock
    address: str
    entry: plan.VmEntry
    metrics: metrics.MemoryMetrics
    engine: toy_engine.ToyEngine | None = None
    service: plain_service.ToyPlainService | None = None


@dataclasses.dataclass
class RouterProcess:
    """A router under test."""

    router: routers.Router
    clock: clocks.PausableClock
    address: str
    metrics: metrics.MemoryMetrics


class Cluster:
    """A whole deployment in memory: real router and agent code, fake sockets.

    Attributes:
        network: connects the processes and injects faults.
        store: the key-value service.
        vms: the VM list.
        agent_by_vm: the running agents.
        router_by_vm: the running routers.
        engines: every engine started so far; they record what they ran.
        services: every plain service started so far.
    """

    def __init__(
        self,
        declared: declaration.Declaration | None = None,
        bounds: settings.Bounds | None = None,
        seed: int = 1,
    ) -> None:
        self.declared = declared or make_declaration()
        self.bounds = bounds or settings.Bounds()
        self.network = links.MemoryNetwork()
        self.store = kv.MemoryKv()
        self.vms = vm_list.MemoryVmList()
        self.agent_by_vm: dict[ids.VmId, AgentProcess] = {}
        self.router_by_vm: dict[ids.VmId, RouterProcess] = {}
        self.engines: list[toy_engine.ToyEngine] = []
        self.services: list[plain_service.ToyPlainService] = []
        self.domains = domains_of(self.declared)
        self._class_by_vm: dict[ids.VmId, str] = {}
        self._start_count = 0
        self._seed = seed

    async def start(
        self,
        *,
        runners: int = 6,
        services: int = 1,
        routers: int = 1,
        rate: float = 24000.0,
    ) -> None:
        """Applies the declaration and starts all processes."""
        await self.apply(self.declared)
        for index in range(runners):
            self.add_runner(f"runner-{index + 1}", index, rate)
        for index in range(services):
            self.add_service(f"core-{index + 1}", index)
        for index in range(routers):
            self.add_router(f"entry-{index + 1}", index)
        await asyncio.sleep(3.0)

    async def start_fleet(self, fleet: dict[str, int], *, routers: int) -> None:
        """Applies the declaration and starts backend servers by class.

        Args:
            fleet: number of backend servers by backend class.
            routers: number of routers.
        """
        await self.apply(self.declared)
        class_by_id = {c.id: c for c in self.declared.backend_classes}
        runners = services = 0
        for name, count in fleet.items():
            found = class_by_id[name]
            for _ in range(count):
                if found.service is not None:
                    services += 1
                    self.add_service(f"core-{services}", services - 1, name)
                    continue
                runners += 1
                rate = found.layer_positions_per_second
                self.add_runner(f"runner-{runners}", runners - 1, rate, name)
        for index in range(routers):
            self.add_router(f"entry-{index + 1}", index)
        await asyncio.sleep(3.0)

    async def apply(self, declared: declaration.Declaration) -> None:
        """Applies a declaration as the accepted configuration."""
        self._start_count += 1
        applier = configuration_apply.Applier(self.store, asyncio.sleep)
        await applier.apply(
            declared,
            configuration_apply.ApplyRequest(
                ids.ApplyId(f"apply-{self._start_count}"),
                author="ana",
                time=asyncio.get_running_loop().time(),
            ),
        )

    def add_runner(
        self,
        name: str,
        index: int = 0,
        rate: float = 24000.0,
        backend_class: str = RUNNER_CLASS,
    ) -> AgentProcess:
        """Starts an agent with a model runner."""
        clock = clocks.PausableClock()
        engine = toy_engine.ToyEngine(
            clock=clock,
            layers=self.declared.models[0].layers,
            layer_positions_per_second=rate,
            rng=random.Random(f"{self._seed}/{name}"),
            step_overhead=0.001,
        )
        self.engines.append(engine)
        return self._start_agent(
            name, index, backend_class, clock, engine, None
        )

    def add_service(
        self, name: str, index: int = 0, backend_class: str = SERVICE_CLASS
    ) -> AgentProcess:
        """Starts an agent with a plain service."""
        clock = clocks.PausableClock()
        service = plain_service.ToyPlainService(clock)
        self.services.append(service)
        return self._start_agent(
            name, index, backend_class, clock, None, service
        )

    def add_router(self, name: str, index: int = 0) -> RouterProcess:
        """Starts a router."""
        self._start_count += 1
        clock = clocks.PausableClock()
        address = f"10.1.{index // 250}.{index % 250 + 1}:7000"
        process_metrics = metrics.MemoryMetrics()
        vm = ids.VmId(name)
        router = routers.Router(
            settings.RouterSettings(
                vm=vm,
                listen=address,
                http=address,
                failure_domain=self.domains[index % len(self.domains)],
                platform=PLATFORM,
                shared_key=SHARED_KEY,
                bounds=self.bounds,
            ),
            incarnation=ids.Incarnation(f"{name}-{self._start_count}"),
            clock=clock,
            rng=random.Random(f"{self._seed}/{name}/{self._start_count}"),
            store=PausableKv(self.store, clock),
            vms=self.vms,
            dialer=self.network.dialer(address, clock),
            metrics=process_metrics,
        )
        router.start()
        self.network.listen(address, router.serve_link, clock)
        self.vms.put(plan.VmEntry(vm, address, router.own.failure_domain, None))
        process = RouterProcess(router, clock, address, process_metrics)
        self.router_by_vm[vm] = process
        return process

    async def kill(self, name: str) -> None:
        """Stops a process abruptly, as if its VM had failed."""
        vm = ids.VmId(name)
        if vm in self.router_by_vm:
            router = self.router_by_vm.pop(vm)
            self.network.kill(router.address)
            await router.router.stop()
            return
        agent = self.agent_by_vm.pop(vm)
        if agent.engine is not None:
            agent.engine.faults.dead = True
        self.network.kill(agent.address)
        await agent.agent.stop()

    def restart_agent(self, name: str) -> AgentProcess:
        """Restarts a killed agent at its address with all state lost."""
        service = name.startswith("core")
        index = int(name.rpartition("-")[2]) - 1
        backend_class = self._class_by_vm[ids.VmId(name)]
        if service:
            return self.add_service(name, index, backend_class)
        classes = self.declared.backend_classes
        found = next(c for c in classes if c.id == backend_class)
        rate = found.layer_positions_per_second
        return self.add_runner(name, index, rate, backend_class)

    async def stop(self) -> None:
        """Stops all processes."""
        for name in [*self.router_by_vm, *self.agent_by_vm]:
            await self.kill(name)

    @property
    def router(self) -> routers.Router:
        """The first router."""
        return next(iter(self.router_by_vm.values())).router

    def start_chat(
        self,
        max_tokens: int = 24,
        *,
        prompt: Sequence[int] = PROMPT,
        router: routers.Router | None = None,
        account: str = "bank-a",
        route: str | None = None,
    ) -> chat.Stream:
        """Starts a chat request."""
        found = router or self.router
        return found.chat.start(
            chat.ChatRequest(
                self.find_account(account),
                self.find_route(route),
                tuple(prompt),
                max_tokens,
            )
        )

    async def admit(
        self,
        max_tokens: int,
        *,
        prompt: Sequence[int],
        router: routers.Router,
        account: str,
        route: str | None,
    ) -> admission_controller.Ticket:
        """Waits until a request is admitted, as the HTTP endpoint does."""
        found = self.find_route(route)
        return await router.admission.admit(
            admission_controller.Demand(
                self.find_account(account),
                found.id,
                len(prompt),
                max_tokens,
                found.deadline_seconds,
            )
        )

    def find_account(self, name: str) -> declaration.ClientAccount:
        """Returns the declared account of that name, or a new one."""
        for account in self.declared.client_accounts:
            if account.id == name:
                return account
        return make_account(name)

    def find_route(self, name: str | None) -> declaration.Route:
        """Returns the declared route of that name, by default the first."""
        for route in self.declared.routes:
            if name in {None, route.id}:
                return route
        raise KeyError(name)

    def reference_text(
        self, prompt: Sequence[int], max_tokens: int, route: str | None
    ) -> str:
        """Returns the text that a route's model generates when not split."""
        found = self.find_route(route)
        tokens = toy_engine.reference_tokens(
            found.model,
            found.version,
            found.adapter,
            layers=self.declared.models[0].layers,
            prompt=tuple(prompt),
            max_tokens=max_tokens,
        )
        return "".join(f" {toy_engine.WORDS[token]}" for token in tokens)

    async def read(
        self, stream: chat.Stream, router: routers.Router | None = None
    ) -> str:
        """Returns the complete text of an answer."""
        found = router or self.router
        texts: list[str] = []
        async for part in found.chat.parts(stream):
            texts += part.texts
        return "".join(texts)

    async def release(
        self,
        key: str | None,
        *,
        body: bytes = b"{}",
        router: routers.Router | None = None,
    ) -> plain_messages.PlainOutcome:
        """Sends one non-idempotent call to the plain service."""
        found = router or self.router
        service = self.declared.services[0]
        call = service.calls[0]
        request = plain_call_request.PlainCallRequest(
            self.declared.client_accounts[0],
            service,
            call,
            call.method,
            call.path,
            (),
            body,
            ids.IdempotencyKey(key) if key is not None else None,
        )
        return await found.plain.call(request)

    def executions(self) -> int:
        """Returns the number of calls that all plain services executed."""
        return sum(len(service.executions) for service in self.services)

    def counters_of(self, vm: ids.VmId) -> collections.Counter[str]:
        """Returns the counters of a running process."""
        if vm in self.router_by_vm:
            return self.router_by_vm[vm].metrics.total_by_name
        return self.agent_by_vm[vm].metrics.total_by_name

    def find_layer_order_violations(self) -> list[str]:
        """Returns each run of a layer that is repeated or out of order.

        Runs are compared per sequence and layer; positions must be
        consecutive from 0.
        """
        faults = []
        for engine in self.engines:
            next_by_layer: dict[tuple[str, int], int] = {}
            for run in engine.runs:
                key = (run.sequence, run.layer)
                wanted = next_by_layer.get(key, 0)
                if run.position != wanted:
                    faults.append(f"{run}, but expected position {wanted}")
                next_by_layer[key] = wanted + 1
        return faults

    def _start_agent(
        self,
        name: str,
        index: int,
        backend_class: str,
        clock: clocks.PausableClock,
        engine: toy_engine.ToyEngine | None,
        service: plain_service.ToyPlainService | None,
    ) -> AgentProcess:
        self._start_count += 1
        vm = ids.VmId(name)
        subnet = 2 if service is None else 3
        address = f"10.{subnet}.{index // 250}.{index % 250 + 1}:7000"
        domain = self.domains[index % len(self.domains)]
        self._class_by_vm[vm] = backend_class
        process_metrics = metrics.MemoryMetrics()
        agent = agents.Agent(
            settings.AgentSettings(
                vm=vm,
                listen=address,
                failure_domain=domain,
                platform=PLATFORM,
                shared_key=SHARED_KEY,
                bounds=self.bounds,
                backend="10.9.0.1:1",
                backend_class=backend_class,
            ),
            incarnation=ids.Incarnation(f"{name}-{self._start_count}"),
            clock=clock,
            dialer=self.network.dialer(address, clock),
            metrics=process_metrics,
            engine=engine,
            service=service,
        )
        agent.start()
        self.network.listen(address, agent.serve_link, clock)
        entry = plan.VmEntry(vm, address, domain, backend_class)
        self.vms.put(entry)
        process = AgentProcess(
            agent, clock, address, entry, process_metrics, engine, service
        )
        self.agent_by_vm[vm] = process
        return process
