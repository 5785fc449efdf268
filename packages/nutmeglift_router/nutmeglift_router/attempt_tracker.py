"""Tracks attempts at agents until their outcome is determined."""

import abc
import asyncio
import contextlib

import msgspec

from nutmeglift import attempt_resolution
from nutmeglift import attempts
from nutmeglift import codec
from nutmeglift import ids
from nutmeglift import ledger
from nutmeglift import plain_messages
from nutmeglift import states
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

RESPONSE_MARGIN_SECONDS = 2.0


class BaseAgentConnections(abc.ABC):
    """Connections to agents."""

    @abc.abstractmethod
    def incarnation(self, vm: ids.VmId) -> ids.Incarnation | None:
        """Returns the connected agent's incarnation; None if not connected."""

    @abc.abstractmethod
    def post(self, vm: ids.VmId, message: codec.AnyMessage) -> bool:
        """Sends a message; returns False if it was definitely not sent."""

    @abc.abstractmethod
    def acquire(self, vm: ids.VmId, address: str) -> None:
        """Connects to an agent, even if it is not in the VM list.

        The connection is kept until release was called as often as acquire.
        """

    @abc.abstractmethod
    def release(self, vm: ids.VmId) -> None:
        """Undoes one acquire."""


class _TrackedAttempt:
    def __init__(self, vm: ids.VmId) -> None:
        self.vm = vm
        self.changed = asyncio.Event()
        self.outcome: plain_messages.PlainOutcome | None = None
        self.watch: attempt_resolution.AttemptWatch | None = None


class AttemptTracker:
    """Dispatches calls and determines their outcome."""

    def __init__(
        self,
        *,
        agents: BaseAgentConnections,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
    ) -> None:
        self._agents = agents
        self._clock = clock
        self._metrics = metrics
        self._tracked_by_attempt: dict[
            attempts.AttemptKey, set[_TrackedAttempt]
        ] = {}

    def record_outcome(self, outcome: plain_messages.PlainOutcome) -> None:
        """Records an outcome reported by an agent."""
        outcome = plain_messages.check_outcome(outcome)
        for tracked in self._find(outcome.request, outcome.attempt):
            tracked.outcome = outcome
            if tracked.watch is not None:
                tracked.watch.record_outcome(outcome)
            tracked.changed.set()

    def record_status(self, status: plain_messages.AttemptStatus) -> None:
        """Records an agent's response to an attempt query."""
        if status.outcome is not None:
            outcome = plain_messages.check_outcome(status.outcome)
            status = msgspec.structs.replace(status, outcome=outcome)
        for tracked in self._find(status.request, status.attempt):
            if tracked.watch is not None:
                tracked.watch.record_status(status)
            tracked.changed.set()

    def agent_up(self, vm: ids.VmId) -> None:
        """Records a new connection to an agent."""
        for tracked in self._find_by_vm(vm):
            if tracked.watch is not None:
                tracked.watch.link_up(self._clock.now())
            tracked.changed.set()

    def agent_down(self, vm: ids.VmId) -> None:
        """Records that the connection to an agent ended."""
        for tracked in self._find_by_vm(vm):
            if tracked.watch is not None:
                tracked.watch.link_down(self._clock.now())
            tracked.changed.set()

    async def dispatch(
        self, claim: ledger.Claim, call: plain_messages.PlainCall
    ) -> attempt_resolution.Resolution:
        """Dispatches a claimed attempt and waits for its resolution."""
        now = self._clock.now()
        response_due_at = now + call.timeout_seconds + RESPONSE_MARGIN_SECONDS
        tracked = _TrackedAttempt(claim.vm)
        tracked.watch = attempt_resolution.AttemptWatch(
            claim,
            connected=True,
            now=now,
            query_at=response_due_at,
            deadline=response_due_at + attempt_resolution.REOPEN_SECONDS,
        )
        with self._tracking(tracked, claim):
            if self._agents.incarnation(claim.vm) != claim.incarnation:
                return attempt_resolution.NotRun("the agent is not connected")
            if not self._agents.post(claim.vm, call):
                return attempt_resolution.NotRun("the agent is not connected")
            return await self._await_resolution(tracked, tracked.watch)

    async def settle(
        self,
        claim: ledger.Claim,
        timeout_seconds: float,
        running: asyncio.Event,
    ) -> attempt_resolution.Resolution:
        """Queries the outcome of an attempt that an earlier call started.

        An agent that has not seen the attempt fences it, so that it will not
        run later.

        Args:
            claim: the claim that identifies the attempt.
            timeout_seconds: maximum run time of the attempt.
            running: set when the agent reports the attempt as running.
        """
        now = self._clock.now()
        timeout = timeout_seconds + RESPONSE_MARGIN_SECONDS
        tracked = _TrackedAttempt(claim.vm)
        tracked.watch = attempt_resolution.AttemptWatch(
            claim,
            connected=self._agents.incarnation(claim.vm) is not None,
            now=now,
            query_at=now,
            deadline=now + timeout + attempt_resolution.REOPEN_SECONDS,
        )
        with self._tracking(tracked, claim):
            return await self._await_resolution(tracked, tracked.watch, running)

    async def dispatch_idempotent(
        self, vm: ids.VmId, call: plain_messages.PlainCall
    ) -> attempt_resolution.Resolution:
        """Dispatches an idempotent call and waits for its outcome.

        Neither queries the agent nor retries: a lost outcome is unknown.
        """
        tracked = _TrackedAttempt(vm)
        key = (call.request, call.attempt)
        self._tracked_by_attempt[key] = {tracked}
        try:
            if not self._agents.post(vm, call):
                return attempt_resolution.NotRun("the agent is not connected")
            timeout = call.timeout_seconds + RESPONSE_MARGIN_SECONDS
            async with asyncio.timeout(timeout):
                await tracked.changed.wait()
        except TimeoutError:
            return attempt_resolution.Unknown("no response in time")
        finally:
            del self._tracked_by_attempt[key]
        if tracked.outcome is None:
            return attempt_resolution.Unknown(
                "the connection to the agent was lost"
            )
        if tracked.outcome.ran is states.Ran.NOT_RUN:
            return attempt_resolution.NotRun(tracked.outcome.detail)
        return attempt_resolution.Finished(tracked.outcome)

    @contextlib.contextmanager
    def _tracking(self, tracked: _TrackedAttempt, claim: ledger.Claim):  # type: ignore[no-untyped-def]
        key = (claim.request, claim.attempt)
        self._tracked_by_attempt.setdefault(key, set()).add(tracked)
        self._agents.acquire(claim.vm, claim.address)
        try:
            yield
        finally:
            self._agents.release(claim.vm)
            others = self._tracked_by_attempt[key]
            others.discard(tracked)
            if not others:
                del self._tracked_by_attempt[key]

    async def _await_resolution(
        self,
        tracked: _TrackedAttempt,
        watch: attempt_resolution.AttemptWatch,
        running: asyncio.Event | None = None,
    ) -> attempt_resolution.Resolution:
        while True:
            if watch.running and running is not None:
                running.set()
            step = watch.next_step(self._clock.now())
            match step:
                case attempt_resolution.QueryAgent(query):
                    self._metrics.count("ledger.query")
                    self._agents.post(tracked.vm, query)
                case attempt_resolution.Wait(until):
                    await self._wait(tracked, until)
                case _:
                    return step

    async def _wait(self, tracked: _TrackedAttempt, until: float) -> None:
        wait = max(0.0, until - self._clock.now())
        try:
            async with asyncio.timeout(wait):
                await tracked.changed.wait()
        except TimeoutError:
            return
        tracked.changed.clear()

    def _find(
        self, request: ids.RequestId, attempt: ids.Attempt
    ) -> list[_TrackedAttempt]:
        return list(self._tracked_by_attempt.get((request, attempt), ()))

    def _find_by_vm(self, vm: ids.VmId) -> list[_TrackedAttempt]:
        return [
            tracked
            for group in self._tracked_by_attempt.values()
            for tracked in group
            if tracked.vm == vm
        ]
