"""Follows attempts at agents until their outcome is known."""

import abc
import asyncio
import contextlib

from nutmeglift import attempts
from nutmeglift import codec
from nutmeglift import ids
from nutmeglift import ledger
from nutmeglift import plain_messages
from nutmeglift import settling
from nutmeglift import states
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

ANSWER_MARGIN_SECONDS = 2.0


class BaseAgents(abc.ABC):
    """Connections to agents."""

    @abc.abstractmethod
    def incarnation(self, vm: ids.VmId) -> ids.Incarnation | None:
        """Returns who is at the other end; None while it is down."""

    @abc.abstractmethod
    def post(self, vm: ids.VmId, message: codec.AnyMessage) -> bool:
        """Sends a message; returns False when it is surely not sent."""

    @abc.abstractmethod
    def keep(self, vm: ids.VmId, address: str) -> None:
        """Connects to an agent, listed or not, until released as often."""

    @abc.abstractmethod
    def release(self, vm: ids.VmId) -> None:
        """Ends one keep."""


class _Watched:
    def __init__(self, vm: ids.VmId) -> None:
        self.vm = vm
        self.changed = asyncio.Event()
        self.outcome: plain_messages.PlainOutcome | None = None
        self.watch: settling.AttemptWatch | None = None


class AttemptWatches:
    """Dispatches calls and settles what became of them."""

    def __init__(
        self,
        *,
        agents: BaseAgents,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
    ) -> None:
        self._agents = agents
        self._clock = clock
        self._metrics = metrics
        self._watched_by_attempt: dict[attempts.AttemptKey, set[_Watched]] = {}

    def take_outcome(self, outcome: plain_messages.PlainOutcome) -> None:
        """Takes an outcome from an agent."""
        for watched in self._find(outcome.request, outcome.attempt):
            watched.outcome = outcome
            if watched.watch is not None:
                watched.watch.take_outcome(outcome)
            watched.changed.set()

    def take_status(self, status: plain_messages.AttemptStatus) -> None:
        """Takes an agent's answer to a query."""
        for watched in self._find(status.request, status.attempt):
            if watched.watch is not None:
                watched.watch.take_status(status)
            watched.changed.set()

    def agent_up(self, vm: ids.VmId) -> None:
        """Notes a new connection to an agent."""
        for watched in self._find_by_vm(vm):
            if watched.watch is not None:
                watched.watch.link_up(self._clock.now())
            watched.changed.set()

    def agent_down(self, vm: ids.VmId) -> None:
        """Notes that the connection to an agent ended."""
        for watched in self._find_by_vm(vm):
            if watched.watch is not None:
                watched.watch.link_down(self._clock.now())
            watched.changed.set()

    async def dispatch(
        self, claim: ledger.Claim, call: plain_messages.PlainCall
    ) -> settling.Resolution:
        """Dispatches a claimed attempt and follows it to its verdict."""
        now = self._clock.now()
        due = now + call.timeout_seconds + ANSWER_MARGIN_SECONDS
        watched = _Watched(claim.vm)
        watched.watch = settling.AttemptWatch(
            claim,
            connected=True,
            now=now,
            query_at=due,
            deadline=due + settling.REOPEN_SECONDS,
        )
        with self._following(watched, claim):
            if self._agents.incarnation(claim.vm) != claim.incarnation:
                return settling.NotRun("the agent is not connected")
            if not self._agents.post(claim.vm, call):
                return settling.NotRun("the agent is not connected")
            return await self._follow(watched, watched.watch)

    async def settle(
        self,
        claim: ledger.Claim,
        timeout_seconds: float,
        running: asyncio.Event,
    ) -> settling.Resolution:
        """Asks what became of an attempt, which fences it if unseen.

        Args:
            claim: the claim that names it.
            timeout_seconds: longest time that it runs.
            running: set when the agent says that it runs.
        """
        now = self._clock.now()
        patience = timeout_seconds + ANSWER_MARGIN_SECONDS
        watched = _Watched(claim.vm)
        watched.watch = settling.AttemptWatch(
            claim,
            connected=self._agents.incarnation(claim.vm) is not None,
            now=now,
            query_at=now,
            deadline=now + patience + settling.REOPEN_SECONDS,
        )
        with self._following(watched, claim):
            return await self._follow(watched, watched.watch, running)

    async def dispatch_idempotent(
        self, vm: ids.VmId, call: plain_messages.PlainCall
    ) -> settling.Resolution:
        """Dispatches a call that may be repeated, and waits once for it."""
        watched = _Watched(vm)
        key = (call.request, call.attempt)
        self._watched_by_attempt[key] = {watched}
        try:
            if not self._agents.post(vm, call):
                return settling.NotRun("the agent is not connected")
            timeout = call.timeout_seconds + ANSWER_MARGIN_SECONDS
            async with asyncio.timeout(timeout):
                await watched.changed.wait()
        except TimeoutError:
            return settling.Unknown("no answer in time")
        finally:
            del self._watched_by_attempt[key]
        if watched.outcome is None:
            return settling.Unknown("the connection to the agent ended")
        if watched.outcome.ran is states.Ran.NOT_RUN:
            return settling.NotRun(watched.outcome.detail)
        return settling.Finished(watched.outcome)

    @contextlib.contextmanager
    def _following(self, watched: _Watched, claim: ledger.Claim):  # type: ignore[no-untyped-def]
        key = (claim.request, claim.attempt)
        self._watched_by_attempt.setdefault(key, set()).add(watched)
        self._agents.keep(claim.vm, claim.address)
        try:
            yield
        finally:
            self._agents.release(claim.vm)
            beside = self._watched_by_attempt[key]
            beside.discard(watched)
            if not beside:
                del self._watched_by_attempt[key]

    async def _follow(
        self,
        watched: _Watched,
        watch: settling.AttemptWatch,
        running: asyncio.Event | None = None,
    ) -> settling.Resolution:
        while True:
            if watch.running and running is not None:
                running.set()
            step = watch.next_step(self._clock.now())
            match step:
                case settling.QueryAgent(query):
                    self._metrics.count("ledger.query")
                    self._agents.post(watched.vm, query)
                case settling.Wait(until):
                    await self._wait(watched, until)
                case _:
                    return step

    async def _wait(self, watched: _Watched, until: float) -> None:
        wait = max(0.0, until - self._clock.now())
        try:
            async with asyncio.timeout(wait):
                await watched.changed.wait()
        except TimeoutError:
            return
        watched.changed.clear()

    def _find(
        self, request: ids.RequestId, attempt: ids.Attempt
    ) -> list[_Watched]:
        return list(self._watched_by_attempt.get((request, attempt), ()))

    def _find_by_vm(self, vm: ids.VmId) -> list[_Watched]:
        return [
            watched
            for group in self._watched_by_attempt.values()
            for watched in group
            if watched.vm == vm
        ]
