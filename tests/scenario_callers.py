"""The callers of a scenario and the invariants checked for them."""

import asyncio
from collections.abc import Iterator
import dataclasses
import fnmatch

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import plain_messages
from nutmeglift import states
from nutmeglift_router import chat
from nutmeglift_router import router as routers
from tests import scenario_steps as steps
from tests import utils

POLL_INTERVAL_SECONDS = 0.002


@dataclasses.dataclass
class Caller:
    """One caller's request or release.

    Attributes:
        name: its name in the scenario.
        router: VM of the router that serves it.
        step: the scenario step that started it.
        started_at: clock time of the start.
        task: task that waits for the outcome.
        ended_at: clock time of the end, or None.
        stream: the answer, once the request has been dispatched.
        texts: texts received so far.
        error: the error that it ended with, or None.
        outcome: the outcome of a release, or None.
        cut: whether its router was killed or the caller disconnected.
    """

    name: str
    router: ids.VmId
    step: steps.Call | steps.Release
    started_at: float
    task: asyncio.Task[None] | None = None
    ended_at: float | None = None
    stream: chat.Stream | None = None
    texts: list[str] = dataclasses.field(default_factory=list)
    error: errors.NutmegError | None = None
    outcome: plain_messages.PlainOutcome | None = None
    cut: bool = False

    @property
    def ran(self) -> states.Ran | None:
        """Whether the request ran, as reported to the caller."""
        if self.error is not None:
            return self.error.ran
        return self.outcome.ran if self.outcome is not None else None

    @property
    def result(self) -> str:
        """The outcome, in the terms of an Expect step."""
        if self.cut:
            return "cut"
        if self.ended_at is None:
            return "running"
        if self.error is not None:
            return "error"
        return "answer" if isinstance(self.step, steps.Call) else "done"

    def has_reached(self, tokens: int | None) -> bool:
        """Returns whether it has ended, or received that many tokens."""
        if self.cut:
            return True
        if self.ended_at is not None or tokens is None:
            return self.ended_at is not None
        if self.stream is None:
            return False
        return len(self.stream.gate.tokens) >= tokens


class Callers:
    """All callers of a scenario.

    Attributes:
        by_name: the callers by name.
    """

    def __init__(self, cluster: utils.Cluster) -> None:
        self.by_name: dict[str, Caller] = {}
        self._cluster = cluster

    def find(self, pattern: str) -> list[Caller]:
        """Returns the callers whose names match a pattern."""
        found = [
            caller
            for name, caller in self.by_name.items()
            if fnmatch.fnmatchcase(name, pattern)
        ]
        if not found:
            raise steps.ScenarioError(f"no call is named {pattern!r}")
        return found

    async def start_chats(self, step: steps.Call) -> None:
        """Starts the chat requests of a step."""
        for name in _caller_names(step.name, step.count):
            caller = self._add(name, step)
            caller.task = asyncio.ensure_future(self._run_chat(caller, step))
            await asyncio.sleep(step.every)

    def start_releases(self, step: steps.Release) -> None:
        """Starts the non-idempotent calls of a step."""
        for name in _caller_names(step.name, step.count):
            caller = self._add(name, step)
            caller.task = asyncio.ensure_future(self._run_release(caller, step))

    def abandon(self, callers: list[Caller]) -> None:
        """Disconnects callers before they receive their outcome."""
        for caller in callers:
            if caller.ended_at is None and caller.task is not None:
                caller.cut = True
                caller.task.cancel()

    def abandon_router(self, router: ids.VmId) -> None:
        """Disconnects the callers of a router that is killed."""
        self.abandon([c for c in self.by_name.values() if c.router == router])

    async def finish(self, seconds: float) -> None:
        """Waits until every caller has its outcome, or for some seconds."""
        running = [c.task for c in self.by_name.values() if c.task]
        if running:
            await asyncio.wait(running, timeout=seconds)

    def find_violations(self) -> list[str]:
        """Returns all violations of the invariants."""
        problems = self._cluster.find_layer_order_violations()[:3]
        for caller in self.by_name.values():
            match caller.step:
                case steps.Call():
                    problems += self._check_chat(caller, caller.step)
                case steps.Release():
                    problems += self._check_release(caller, caller.step)
        return problems

    def executions(self, key: str | None, body: str | None = None) -> int:
        """Returns the number of executed releases, of one key or of all."""
        if key is None:
            return self._cluster.executions()
        return sum(
            execution.body.startswith(f"{key} ".encode())
            if body is None
            else execution.body == _release_body(key, body)
            for service in self._cluster.services
            for execution in service.executions
        )

    async def _run_chat(self, caller: Caller, step: steps.Call) -> None:
        router = self._cluster.router_by_vm[caller.router].router
        try:
            router.check_accepts_work()
            caller.stream = await self._start_chat(router, step)
            await asyncio.sleep(step.read_after)
            async for part in router.chat.parts(caller.stream):
                caller.texts += part.texts
        except errors.NutmegError as error:
            caller.error = error
        caller.ended_at = self._now()

    async def _start_chat(
        self, router: routers.Router, step: steps.Call
    ) -> chat.Stream:
        prompt = utils.chat_prompt(step.prompt)
        account, route = step.account, step.route
        ticket = None
        if step.admit:
            ticket = await self._cluster.admit(
                step.max_tokens,
                prompt=prompt,
                router=router,
                account=account,
                route=route,
            )
        try:
            stream = self._cluster.start_chat(
                step.max_tokens,
                prompt=prompt,
                router=router,
                account=account,
                route=route,
            )
        except errors.NutmegError:
            if ticket is not None:
                router.admission.release(ticket, 0)
            raise
        if ticket is not None:
            stream.on_end = lambda: router.admission.release(
                ticket, len(stream.gate.tokens)
            )
        return stream

    async def _run_release(self, caller: Caller, step: steps.Release) -> None:
        router = self._cluster.router_by_vm[caller.router].router
        try:
            router.check_accepts_work()
            caller.outcome = await self._cluster.release(
                step.key,
                body=_release_body(step.key, step.body),
                router=router,
            )
        except errors.NutmegError as error:
            caller.error = error
        caller.ended_at = self._now()

    def _add(self, name: str, step: steps.Call | steps.Release) -> Caller:
        if name in self.by_name:
            raise steps.ScenarioError(f"the name {name!r} is already in use")
        vms = list(self._cluster.router_by_vm)
        next_vm = vms[len(self.by_name) % len(vms)]
        router = ids.VmId(step.router or next_vm)
        if router not in self._cluster.router_by_vm:
            raise steps.ScenarioError(f"no router is named {router!r}")
        caller = Caller(name, router, step, self._now())
        self.by_name[name] = caller
        return caller

    def _check_chat(self, caller: Caller, step: steps.Call) -> Iterator[str]:
        wanted = self._cluster.reference_text(
            utils.chat_prompt(step.prompt), step.max_tokens, step.route
        )
        text = "".join(caller.texts)
        if not wanted.startswith(text):
            yield f"{caller.name}: tokens were lost, duplicated or changed"
        if caller.cut:
            return
        if caller.ended_at is None:
            yield f"{caller.name}: did not end"
        elif caller.error is None and text != wanted:
            yield f"{caller.name}: the answer is incomplete"
        if caller.ran is states.Ran.NOT_RUN and self._count_layer_runs(caller):
            yield f"{caller.name}: reported not_run, but layers ran"

    def _check_release(
        self, caller: Caller, step: steps.Release
    ) -> Iterator[str]:
        executions = self.executions(step.key, step.body)
        if executions > 1:
            yield f"{caller.name}: executed {executions} times"
        if caller.cut:
            return
        if caller.ended_at is None:
            yield f"{caller.name}: did not end"
        if executions > self._count_possible_executions(step):
            yield f"{caller.name}: reported not_run, but executed"
        if caller.ran is states.Ran.RAN and not executions:
            yield f"{caller.name}: reported ran, but not executed"

    def _count_possible_executions(self, step: steps.Release) -> int:
        # A call may run after another with its key was correctly reported
        # as not_run.
        return sum(
            isinstance(caller.step, steps.Release)
            and (caller.step.key, caller.step.body) == (step.key, step.body)
            and caller.ran is not states.Ran.NOT_RUN
            for caller in self.by_name.values()
        )

    def _count_layer_runs(self, caller: Caller) -> int:
        if caller.stream is None:
            return 0
        prefix = f"{caller.stream.request}."
        return sum(
            run.sequence.startswith(prefix)
            for engine in self._cluster.engines
            for run in engine.runs
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _caller_names(name: str, count: int) -> list[str]:
    if count == 1:
        return [name]
    return [f"{name}-{number + 1}" for number in range(count)]


def _release_body(key: str, body: str) -> bytes:
    return f"{key} {body}".encode()
