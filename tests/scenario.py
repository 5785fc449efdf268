"""Runs scenario files on a Cluster in virtual time."""

import asyncio
import contextlib
import pathlib

from nutmeglift import declaration
from nutmeglift import ids
from nutmeglift import settings
from nutmeglift_wire import clock as clocks
from tests import scenario_callers
from tests import scenario_steps as steps
from tests import utils
from tests import virtual_time

FINISH_TIMEOUT_SECONDS = 120.0
EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


class Runner:
    """Executes the steps of one scenario.

    Attributes:
        cluster: the deployment under test.
        callers: all callers of the scenario.
    """

    def __init__(self, scenario: steps.Scenario) -> None:
        deployment = scenario.deployment
        self.cluster = utils.Cluster(
            _make_declaration(deployment, deployment.accounts),
            settings.Bounds.model_validate(deployment.bounds),
            deployment.seed,
        )
        self.callers = scenario_callers.Callers(self.cluster)
        self._scenario = scenario
        self._leave_by_vm: dict[str, asyncio.Task[None]] = {}
        self._left_at_by_vm: dict[str, float] = {}
        self._address_by_vm: dict[str, str] = {}

    async def run(self) -> None:
        """Executes all steps, then checks the invariants.

        Raises:
            steps.ScenarioError: a step failed or an invariant is violated.
        """
        await self.start()
        try:
            await self._run_steps()
            await self.callers.finish(FINISH_TIMEOUT_SECONDS)
            problems = self.callers.find_violations()
        finally:
            await self.cluster.stop()
        if problems:
            text = "; ".join(problems)
            raise steps.ScenarioError(f"{self._scenario.name}: {text}")

    async def _run_steps(self) -> None:
        for number, step in enumerate(self._scenario.steps, start=1):
            try:
                await self.execute(step)
            except steps.ScenarioError as error:
                kind = type(step).__name__.lower()
                name = self._scenario.name
                raise steps.ScenarioError(
                    f"{name}: step {number} ({kind}): {error}"
                ) from error

    def find_leaks(self) -> list[str]:
        """Returns the processes that still have work in flight.

        Call it when no caller waits for an answer any more.
        """
        leaks = []
        for vm, process in self.cluster.agent_by_vm.items():
            if process.agent.in_flight:
                leaks.append(f"{vm}: {process.agent.in_flight} in flight")
        for vm, router in self.cluster.router_by_vm.items():
            if router.router.chat.in_flight:
                leaks.append(f"{vm}: {router.router.chat.in_flight} in flight")
        return leaks

    async def start(self) -> None:
        """Starts the scenario's deployment."""
        deployment = self._scenario.deployment
        if deployment.fleet:
            await self.cluster.start_fleet(
                deployment.fleet, routers=deployment.routers
            )
        else:
            await self.cluster.start(
                runners=deployment.runners,
                services=deployment.services,
                routers=deployment.routers,
                rate=deployment.rate,
            )
        self.cluster.vms.lag = deployment.list_lag
        self._record_addresses()

    async def execute(self, step: steps.ScenarioElement) -> None:
        """Executes one step.

        Raises:
            steps.ScenarioError: the step can't be executed, or an
                expectation is not met.
        """
        match step:
            case steps.Call():
                await self.callers.start_chats(step)
            case steps.Release():
                self.callers.start_releases(step)
            case steps.Abandon(call=name):
                self.callers.abandon(self.callers.find(name))
            case steps.Wait():
                await self._wait(step)
            case steps.Expect():
                self._expect(step)
            case steps.Apply(accounts=accounts):
                deployment = self._scenario.deployment
                await self.cluster.apply(
                    _make_declaration(deployment, accounts)
                )
            case steps.ProcessStep():
                await self._inject_process_fault(step)
            case steps.ConnectionStep():
                self._inject_connection_fault(step)
            case _:
                self._inject_platform_fault(step)

    async def _inject_process_fault(self, step: steps.ProcessStep) -> None:
        vm = self.find_vm(step.vm)
        match step:
            case steps.Kill():
                await self._kill(vm)
            case steps.Restart():
                self.cluster.restart_agent(vm)
            case steps.Pause():
                self._find_clock(vm).pause()
            case steps.Resume():
                self._find_clock(vm).resume()
            case steps.Leave():
                self._left_at_by_vm[vm] = _now()
                self._leave_by_vm[vm] = asyncio.ensure_future(self._leave(vm))
            case steps.Slow(factor=factor):
                engine = self._find_agent(vm).engine
                if engine is None:
                    raise steps.ScenarioError(f"{vm} has no engine")
                engine.faults.slowdown = factor
            case steps.DropAnswer(count=count):
                service = self._find_agent(vm).service
                if service is None:
                    raise steps.ScenarioError(f"{vm} is not a plain service")
                service.drop_after_execution += count

    def _inject_connection_fault(self, step: steps.ConnectionStep) -> None:
        network = self.cluster.network
        one, other = (
            self._address_by_vm[self.find_vm(v)] for v in step.between
        )
        match step:
            case steps.Silence():
                network.silence(one, other)
            case steps.Cut():
                network.cut(one, other)
            case steps.Partition():
                network.partition(one, other)
            case steps.Join():
                network.join(one, other)
            case steps.Degrade(delay=delay):
                network.degrade(one, other, delay)

    def _inject_platform_fault(self, step: steps.ScenarioElement) -> None:
        store = self.cluster.store
        match step:
            case steps.LoseAnswer(count=count):
                store.lose_answers += count
            case steps.LoseRequest(count=count):
                store.lose_requests += count
            case steps.KvDown():
                store.set_down(True)
            case steps.KvUp():
                store.set_down(False)
            case steps.KvSlow(seconds=seconds):
                store.delay = seconds
            case steps.Add(runners=count):
                self._add_runners(count)

    def _add_runners(self, count: int) -> None:
        for _ in range(count):
            index = len(self.cluster.engines)
            rate = self._scenario.deployment.rate
            self.cluster.add_runner(f"runner-{index + 1}", index, rate)
        self._record_addresses()

    async def _kill(self, vm: ids.VmId) -> None:
        if vm not in {*self.cluster.agent_by_vm, *self.cluster.router_by_vm}:
            raise steps.ScenarioError(f"{vm} is not running")
        self.callers.abandon_router(vm)
        await self.cluster.kill(vm)

    async def _leave(self, vm: ids.VmId) -> None:
        if vm in self.cluster.router_by_vm:
            await self.cluster.router_by_vm[vm].router.leave()
        else:
            await self.cluster.agent_by_vm[vm].agent.leave()
        # A later step may have stopped the process in the meantime.
        with contextlib.suppress(steps.ScenarioError):
            await self._kill(vm)

    async def _wait(self, step: steps.Wait) -> None:
        if step.seconds is not None:
            await asyncio.sleep(step.seconds)
        if step.call is None:
            return
        limit = _now() + step.within
        callers = self.callers.find(step.call)
        while not all(c.has_reached(step.tokens) for c in callers):
            if _now() > limit:
                raise steps.ScenarioError(
                    f"{step.call} did not get that far within {step.within} s"
                )
            await asyncio.sleep(scenario_callers.POLL_INTERVAL_SECONDS)

    def _expect(self, step: steps.Expect) -> None:
        if step.call is not None:
            for caller in self.callers.find(step.call):
                _expect_caller(caller, step)
        if step.executions is not None:
            executions = self.callers.executions(step.key)
            _expect_equal("executions", executions, step.executions)
        if step.idle_since is not None:
            for left in self._left_at_by_vm:
                self._expect_idle(ids.VmId(left), step.idle_since)
        if step.vm is not None:
            self._expect_process(self.find_vm(step.vm), step)

    def _expect_process(self, vm: ids.VmId, step: steps.Expect) -> None:
        if step.left is not None:
            leave = self._leave_by_vm.get(vm)
            left = leave is not None and leave.done()
            _expect_equal(f"{vm}: left", left, step.left)
        if step.in_flight is not None:
            in_flight = self._in_flight(vm)
            _expect_equal(f"{vm}: in flight", in_flight, step.in_flight)
        if step.counter is not None:
            total = self.cluster.counters_of(vm)[step.counter]
            _expect_between(f"{vm}: {step.counter}", total, step.min, step.max)

    def _expect_idle(self, vm: ids.VmId, seconds: float) -> None:
        limit = self._left_at_by_vm[vm] + seconds
        late = [
            caller.name
            for caller in self.callers.by_name.values()
            if caller.stream is not None
            and caller.started_at > limit
            and vm in caller.stream.used_vms
        ]
        _expect_equal(f"{vm}: late work", late, [])

    def _in_flight(self, vm: ids.VmId) -> int:
        if vm in self.cluster.router_by_vm:
            router = self.cluster.router_by_vm[vm].router
            return router.chat.in_flight + router.plain.in_flight
        return self._find_agent(vm).agent.in_flight

    def find_vm(self, name: str) -> ids.VmId:
        """Returns a VM by name or by its role in a call.

        CALL/first, CALL/last and CALL/2 name a stage of the call's current
        pipeline, CALL/router the router that serves the call.
        """
        call, slash, place = name.partition("/")
        if not slash:
            if name not in self._address_by_vm:
                raise steps.ScenarioError(f"no VM is named {name!r}")
            return ids.VmId(name)
        caller = self.callers.find(call)[0]
        if place == "router":
            return caller.router
        if caller.stream is None or caller.stream.pipeline is None:
            raise steps.ScenarioError(f"{call} has no pipeline now")
        stages = caller.stream.pipeline.stages
        index = {"first": 0, "last": len(stages) - 1}.get(place)
        if index is None:
            index = int(place) - 1 if place.isdigit() else len(stages)
        if not 0 <= index < len(stages):
            raise steps.ScenarioError(f"{name!r} names no pipeline stage")
        return stages[index].vm

    def _find_agent(self, vm: ids.VmId) -> utils.AgentProcess:
        if vm not in self.cluster.agent_by_vm:
            raise steps.ScenarioError(f"{vm!r} is not a running agent")
        return self.cluster.agent_by_vm[vm]

    def _find_clock(self, vm: ids.VmId) -> clocks.PausableClock:
        if vm in self.cluster.router_by_vm:
            return self.cluster.router_by_vm[vm].clock
        return self._find_agent(vm).clock

    def _record_addresses(self) -> None:
        for vm, agent in self.cluster.agent_by_vm.items():
            self._address_by_vm[vm] = agent.address
        for vm, router in self.cluster.router_by_vm.items():
            self._address_by_vm[vm] = router.address


def run(scenario: steps.Scenario) -> Runner:
    """Runs a scenario in virtual time.

    Raises:
        steps.ScenarioError: a step failed or an invariant is violated.
    """

    async def work() -> Runner:
        runner = Runner(scenario)
        await runner.run()
        return runner

    return virtual_time.run(work())


def _make_declaration(
    deployment: steps.Deployment, accounts: int
) -> declaration.Declaration:
    added = tuple(
        utils.make_account(f"account-{number + 1}")
        for number in range(accounts)
    )
    if deployment.declaration is not None:
        found = declaration.load(EXAMPLES / deployment.declaration)
        all_accounts = found.client_accounts + added
        return found.model_copy(update={"client_accounts": all_accounts})
    base = utils.make_declaration()
    model = base.models[0]
    memory = deployment.runner_layers * model.layer_bytes
    return utils.make_declaration(
        models=(model.model_copy(update={"layers": deployment.layers}),),
        backend_classes=tuple(
            found.model_copy(update={"memory_bytes": memory})
            for found in base.backend_classes
        ),
        client_accounts=added,
    )


def _expect_caller(caller: scenario_callers.Caller, step: steps.Expect) -> None:
    name = caller.name
    if step.outcome is not None:
        _expect_equal(f"{name}: outcome", caller.result, step.outcome)
    if step.kind is not None:
        kind = caller.error.kind.value if caller.error else None
        _expect_equal(f"{name}: kind", kind, step.kind)
    if step.ran is not None:
        ran = caller.ran.value if caller.ran else None
        _expect_equal(f"{name}: ran", ran, step.ran)
    attempt = caller.stream.gate.attempt if caller.stream else 0
    _expect_between(
        f"{name}: attempts", attempt, step.min_attempts, step.attempts
    )
    if step.within is not None:
        seconds = (caller.ended_at or _now()) - caller.started_at
        _expect_between(f"{name}: seconds", seconds, None, step.within)


def _expect_equal(what: str, seen: object, wanted: object) -> None:
    if seen != wanted:
        raise steps.ScenarioError(f"{what} is {seen!r}, not {wanted!r}")


def _expect_between(
    what: str, seen: float, least: float | None, most: float | None
) -> None:
    if least is not None and seen < least:
        raise steps.ScenarioError(f"{what} is {seen}, not at least {least}")
    if most is not None and seen > most:
        raise steps.ScenarioError(f"{what} is {seen}, not at most {most}")


def _now() -> float:
    return asyncio.get_running_loop().time()
