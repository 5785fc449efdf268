"""Test rig: real router and agent code for plain calls, with faults."""

import asyncio
import dataclasses
import random

from nutmeglift import attempts
from nutmeglift import backend
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import plain_messages
from nutmeglift import routing
from nutmeglift import states
from nutmeglift_agent import plain_call_executor
from nutmeglift_router import attempt_tracker
from nutmeglift_router import plain_call_request
from nutmeglift_router import plain_controller
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics
from tests import utils

KEYS = ("key-a", "key-b", "key-c", "key-d", "key-e")
ROUTER_COUNT = 2
AGENT_COUNT = 2
CALL_HEADER = "x-call"


class FaultyKv(kv.MemoryKv):
    """Loses requests and answers, and applies some writes late.

    Attributes:
        fault_ratio: share of transactions that fail in some way.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.fault_ratio = 0.0
        self.delay = 0.003
        self._rng = rng
        self._late_writes: set[asyncio.Task[None]] = set()

    async def txn(self, compares, writes, otherwise=None):
        if self._rng.random() >= self.fault_ratio:
            return await super().txn(compares, writes, otherwise)
        match self._rng.randrange(4):
            case 0:
                self.lose_requests = 1
                return await super().txn(compares, writes, otherwise)
            case 1:
                self.lose_answers = 1
                return await super().txn(compares, writes, otherwise)
            case 2:
                raise errors.KvUnavailableError("connection refused")
        late = self._apply_late(compares, writes)
        self._late_writes.add(asyncio.ensure_future(late))
        await asyncio.sleep(self._rng.uniform(0.0, 3.0))
        raise errors.KvAnswerLostError("no answer")

    async def _apply_late(self, compares, writes) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, 8.0))
        self._execute(compares, writes, [])


class Backend(backend.BasePlainBackend):
    """Plain service that records executions by key and call.

    It delays, refuses or drops some calls.
    """

    def __init__(self, rig: "Rig") -> None:
        self._rig = rig

    async def call(self, request, timeout):
        rig = self._rig
        await asyncio.sleep(rig.rng.choice((0.0, 0.01, 1.0, 4.0)))
        draw = rig.rng.random()
        if draw < rig.backend_fault_ratio / 2:
            raise errors.RefusedError("refused", kind=rig.NO_BACKEND)
        number = len(rig.executions) + 1
        headers = dict(request.headers)
        key = request.body.decode()
        rig.executions.append(Execution(key, int(headers[CALL_HEADER])))
        await asyncio.sleep(rig.rng.choice((0.0, 0.01, 1.0)))
        if draw < rig.backend_fault_ratio:
            rig.dropped.add(key)
            raise errors.OutcomeUnknownError("connection dropped")
        return backend.PlainResponse(200, (), f"execution {number}".encode())


@dataclasses.dataclass(frozen=True)
class Execution:
    """One execution of a call at a backend server."""

    key: str
    call: int


@dataclasses.dataclass
class Call:
    """A call and the answer that its caller received."""

    number: int
    key: str
    ran: states.Ran | None = None
    kind: errors.ErrorKind | None = None
    body: bytes = b""


class Agent:
    """One incarnation of an agent."""

    def __init__(self, rig: "Rig", vm: ids.VmId, start: int) -> None:
        self.incarnation = ids.Incarnation(f"{vm}-{start}")
        self.alive = True
        self._rig = rig
        self._vm = vm
        self.work = plain_call_executor.PlainCallExecutor(
            rig.make_table(self.incarnation),
            Backend(rig),
            post=self._post,
            clock=clocks.PausableClock(),
            metrics=rig.metrics,
        )

    def _post(self, router, message) -> None:
        if self.alive:
            self._rig.send_back(self._vm, router, message)


class AgentConnections(attempt_tracker.BaseAgentConnections):
    """The connections of one router to the agents."""

    def __init__(self, rig: "Rig", router: ids.VmId) -> None:
        self._rig = rig
        self._router = router
        self.agent_by_vm: dict[ids.VmId, Agent | None] = {}

    def incarnation(self, vm):
        agent = self.agent_by_vm.get(vm)
        return agent.incarnation if agent is not None else None

    def post(self, vm, message):
        agent = self.agent_by_vm.get(vm)
        if agent is None:
            return False
        self._rig.send(self._router, vm, agent, message)
        return True

    def acquire(self, vm, address):
        """Does nothing: the rig reopens every connection."""

    def release(self, vm):
        """Does nothing: the rig reopens every connection."""


class Router:
    """One incarnation of a router."""

    def __init__(self, rig: "Rig", vm: ids.VmId) -> None:
        self.agents = AgentConnections(rig, vm)
        self.plain = plain_controller.PlainController(
            store=rig.store,
            clock=clocks.PausableClock(),
            metrics=rig.metrics,
            choose=self._choose,
            agents=self.agents,
        )
        self._rig = rig

    def _choose(self, service):
        linked = [
            (vm, agent)
            for vm, agent in self.agents.agent_by_vm.items()
            if agent is not None
        ]
        if not linked:
            return None
        vm, agent = self._rig.rng.choice(linked)
        return routing.AvailableRunner(
            vm, vm, agent.incarnation, ids.FailureDomain("luzon-1")
        )


class Rig:
    """Two routers and two agents, with faults injected between them.

    Attributes:
        rng: source of all randomness.
        executions: executions at the backend servers, in order.
        dropped: keys whose backend connection dropped.
        restarted: whether an agent has been restarted.
        calls: every call made.
        backend_fault_ratio: share of backend calls refused or dropped.
        frame_fault_ratio: share of frames lost or duplicated.
    """

    NO_BACKEND = errors.ErrorKind.NO_BACKEND

    def __init__(self, seed: int, make_table=attempts.AttemptTable) -> None:
        self.rng = random.Random(seed)
        self.metrics = metrics.MemoryMetrics()
        self.make_table = make_table
        self.store = FaultyKv(random.Random(seed + 1))
        self.executions: list[Execution] = []
        self.dropped: set[str] = set()
        self.restarted = False
        self.calls: list[Call] = []
        self.backend_fault_ratio = 0.0
        self.frame_fault_ratio = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._start_count = 0
        self.agent_by_vm: dict[ids.VmId, Agent] = {}
        self.router_by_vm: dict[ids.VmId, Router] = {}

    def start(self) -> None:
        """Starts all processes."""
        for index in range(AGENT_COUNT):
            vm = ids.VmId(f"core-{index}")
            self.agent_by_vm[vm] = self._make_agent(vm)
        for index in range(ROUTER_COUNT):
            self._start_router(ids.VmId(f"entry-{index}"))

    def call(self, router: int, key: str) -> Call:
        """Starts a call through a router and returns without waiting."""
        call = Call(len(self.calls), key)
        self.calls.append(call)
        found = self.router_by_vm[ids.VmId(f"entry-{router}")]
        self._spawn(self._call(found, call))
        return call

    def restart_agent(self, index: int) -> None:
        """Stops an agent abruptly and restarts it with all state lost."""
        self.restarted = True
        vm = ids.VmId(f"core-{index}")
        self.agent_by_vm[vm].alive = False
        self.agent_by_vm[vm] = self._make_agent(vm)
        for router in self.router_by_vm:
            self.disconnect(router, vm)

    async def restart_router(self, index: int) -> None:
        """Stops a router abruptly and restarts it."""
        vm = ids.VmId(f"entry-{index}")
        await self.router_by_vm[vm].plain.stop()
        self._start_router(vm)

    def disconnect(self, router: ids.VmId, vm: ids.VmId) -> None:
        """Closes a connection; a new one opens after a short delay."""
        found = self.router_by_vm[router]
        if found.agents.agent_by_vm.get(vm) is None:
            return
        found.agents.agent_by_vm[vm] = None
        found.plain.agent_down(vm)
        self._spawn(self._reconnect(found, vm))

    def send(self, router, vm, agent, message) -> None:
        """Sends a frame from a router to an agent."""
        if self.rng.random() < self.frame_fault_ratio:
            if self.rng.random() < 0.5:
                self._spawn(self._drop_frame(router, vm))
                return
            self._spawn(self._deliver(router, agent, message))
        self._spawn(self._deliver(router, agent, message))

    def send_back(self, vm, router, message) -> None:
        """Sends a frame from an agent to a router, if they are connected."""
        found = self.router_by_vm[router]
        if found.agents.agent_by_vm.get(vm) is not self.agent_by_vm[vm]:
            return
        if self.rng.random() < self.frame_fault_ratio:
            self._spawn(self._drop_frame(router, vm))
            return
        self._spawn(self._deliver_back(found, message))

    async def clear_faults(self) -> None:
        """Clears all faults and waits 60 s for work in progress to end."""
        self.store.set_down(False)
        self.store.fault_ratio = self.frame_fault_ratio = (
            self.backend_fault_ratio
        ) = 0.0
        await asyncio.sleep(60.0)

    async def stop(self) -> None:
        """Stops all routers and tasks."""
        for router in self.router_by_vm.values():
            await router.plain.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def find_violations(self) -> list[str]:
        """Returns every violation of the guarantees for plain calls."""
        found = []
        for key in KEYS:
            count = sum(e.key == key for e in self.executions)
            if count > 1:
                found.append(f"{key} ran {count} times")
            bodies = {
                c.body
                for c in self.calls
                if c.key == key and c.ran is states.Ran.RAN and not c.kind
            }
            if len(bodies) > 1:
                found.append(f"{key} was answered {sorted(bodies)}")
            if bodies and not count:
                found.append(f"{key} was answered but never ran")
        ran = {e.call for e in self.executions}
        for call in self.calls:
            if call.ran is states.Ran.NOT_RUN and call.number in ran:
                found.append(f"call {call.number} reported not run, but ran")
        return found

    def _make_agent(self, vm: ids.VmId) -> Agent:
        self._start_count += 1
        return Agent(self, vm, self._start_count)

    def _start_router(self, vm: ids.VmId) -> None:
        router = Router(self, vm)
        self.router_by_vm[vm] = router
        for agent, running in self.agent_by_vm.items():
            router.agents.agent_by_vm[agent] = running

    async def _call(self, router: Router, call: Call) -> None:
        service = utils.make_declaration().services[0]
        request = plain_call_request.PlainCallRequest(
            utils.make_account("bank-a"),
            service,
            service.calls[0],
            "POST",
            "/releases",
            ((CALL_HEADER, str(call.number)),),
            call.key.encode(),
            ids.IdempotencyKey(call.key),
        )
        try:
            outcome = await router.plain.call(request)
        except errors.NutmegError as error:
            call.kind, call.ran = error.kind, error.ran
            return
        call.ran, call.body = outcome.ran, outcome.body

    async def _reconnect(self, router: Router, vm: ids.VmId) -> None:
        await asyncio.sleep(self.rng.uniform(0.01, 2.0))
        router.agents.agent_by_vm[vm] = self.agent_by_vm[vm]
        router.plain.agent_up(vm)

    async def _drop_frame(self, router: ids.VmId, vm: ids.VmId) -> None:
        # A frame is lost only together with its connection.
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        self.disconnect(router, vm)

    async def _deliver(self, router, agent, message) -> None:
        late = self.rng.random() < self.frame_fault_ratio
        await asyncio.sleep(self.rng.uniform(0.0, 15.0) if late else 0.001)
        if not agent.alive:
            return
        match message:
            case plain_messages.PlainCall():
                await agent.work.call(router, message)
            case plain_messages.AttemptQuery():
                status = agent.work.query(router, message)
                agent._post(router, status)

    async def _deliver_back(self, router: Router, message) -> None:
        await asyncio.sleep(self.rng.choice((0.0, 0.001, 0.5)))
        match message:
            case plain_messages.PlainOutcome():
                router.plain.record_outcome(message)
            case plain_messages.AttemptStatus():
                router.plain.record_status(message)

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
