"""Calls to plain services: the idempotent ones, and what all share."""

import asyncio
from collections.abc import Callable
import dataclasses
import itertools
import secrets

from nutmeglift import attempts
from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import ledger
from nutmeglift import plain_messages
from nutmeglift import retry
from nutmeglift import routing
from nutmeglift import settling
from nutmeglift_router import attempt_watches
from nutmeglift_router import ledger_controller
from nutmeglift_router import plain_calls
from nutmeglift_router import plain_once
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

EPOCH_BYTES = 8
FIRST_ATTEMPT = ids.Attempt(1)
MAX_IDEMPOTENT_ATTEMPTS = 2
CHOICES = 16

ChooseServer = Callable[[ids.ServiceId], routing.Candidate | None]


@dataclasses.dataclass(frozen=True)
class PlainAnswer:
    """What a caller is answered.

    Attributes:
        outcome: the call's outcome.
        replayed: whether it is the recorded outcome of an earlier call.
    """

    outcome: plain_messages.PlainOutcome
    replayed: bool = False


def find_call(
    service: declaration.Service, method: str, path: str
) -> declaration.Call | None:
    """Returns the declared call that a method and path are."""
    for call in service.calls:
        if call.method != method:
            continue
        if call.path == path:
            return call
        if call.path.endswith("*") and path.startswith(call.path[:-1]):
            return call
    return None


class PlainController:
    """Runs the calls to plain services."""

    def __init__(
        self,
        *,
        store: kv.BaseKv,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
        choose: ChooseServer,
        agents: attempt_watches.BaseAgents,
        count_routers: Callable[[], int] = lambda: 1,
    ) -> None:
        self.ledger = ledger_controller.LedgerController(
            store=store,
            clock=clock,
            metrics=metrics,
            count_routers=count_routers,
        )
        self._metrics = metrics
        self._choose = choose
        self._epoch = secrets.token_hex(EPOCH_BYTES)
        self._numbers = itertools.count(1)
        self._watches = attempt_watches.AttemptWatches(
            agents=agents, clock=clock, metrics=metrics
        )
        self._work_by_claim: dict[ids.Digest, plain_once.Work] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._clock = clock
        self._idempotent = 0
        self._retries = retry.RetryBudget(0.0)

    @property
    def in_flight(self) -> int:
        """Calls without outcome, and outcomes that wait to be recorded."""
        return len(self._tasks) + self._idempotent + self.ledger.unrecorded

    async def call(
        self, request: plain_calls.PlainCallRequest
    ) -> plain_messages.PlainOutcome:
        """Runs a call; as run, without telling whether it is a replay."""
        return (await self.run(request)).outcome

    async def run(self, request: plain_calls.PlainCallRequest) -> PlainAnswer:
        """Runs a call.

        Raises:
            errors.NutmegError: there is no answer; the error tells whether
                the call ran.
        """
        if request.call.idempotent:
            return await self._run_idempotent(request)
        return await self._run_once(request)

    def take_outcome(self, outcome: plain_messages.PlainOutcome) -> None:
        """Takes an outcome from an agent."""
        self._watches.take_outcome(outcome)

    def take_status(self, status: plain_messages.AttemptStatus) -> None:
        """Takes an agent's answer to a query."""
        self._watches.take_status(status)

    def agent_up(self, vm: ids.VmId) -> None:
        """Notes a new connection to an agent."""
        self._watches.agent_up(vm)

    def agent_down(self, vm: ids.VmId) -> None:
        """Notes that the connection to an agent ended."""
        self._watches.agent_down(vm)

    async def stop(self) -> None:
        """Ends everything at once."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.ledger.stop()

    def _new_request(self) -> ids.RequestId:
        return attempts.make_request_id(self._epoch, next(self._numbers))

    def choose_server(
        self, request: plain_calls.PlainCallRequest, failed: set[ids.VmId]
    ) -> routing.Candidate | None:
        """Returns a backend server, preferably one that has not failed."""
        found = None
        for _ in range(CHOICES):
            found = self._choose(request.service.id)
            if found is None or found.vm not in failed:
                return found
        return found

    async def _run_once(
        self, request: plain_calls.PlainCallRequest
    ) -> PlainAnswer:
        if request.key is None:
            raise errors.RefusedError(
                "a non-idempotent call needs an Idempotency-Key",
                kind=errors.ErrorKind.IDEMPOTENCY_KEY_MISSING,
            )
        ledger.check_key_time(
            ledger.key_timestamp(request.key),
            self._clock.utc(),
            request.service.key_retention_seconds,
        )
        digest = ledger.claim_digest(
            request.account.id, request.service.id, request.key
        )
        body_digest = ledger.body_digest(
            request.method, request.path, request.body
        )
        before = self._work_by_claim.get(digest)
        if before is not None:
            raise _refuse_beside(before, body_digest)
        work = plain_once.Work(
            request, self._new_request(), digest, body_digest
        )
        self._start(work)
        outcome = await asyncio.shield(work.answer)
        return PlainAnswer(outcome, work.replayed)

    def _start(self, work: plain_once.Work) -> None:
        run = plain_once.Run(
            work,
            ledger=self.ledger,
            watches=self._watches,
            clock=self._clock,
            metrics=self._metrics,
            choose=self.choose_server,
        )
        self._work_by_claim[work.digest] = work
        task = asyncio.ensure_future(run.run())
        self._tasks.add(task)

        def end(ended: asyncio.Task[None]) -> None:
            self._tasks.discard(ended)
            del self._work_by_claim[work.digest]

        task.add_done_callback(end)

    async def _run_idempotent(
        self, request: plain_calls.PlainCallRequest
    ) -> PlainAnswer:
        self._idempotent += 1
        try:
            return await self._try_servers(request)
        finally:
            self._idempotent -= 1

    async def _try_servers(
        self, request: plain_calls.PlainCallRequest
    ) -> PlainAnswer:
        failed: set[ids.VmId] = set()
        error = _no_backend(request)
        self._retries.record_request(self._clock.now())
        for _ in range(MAX_IDEMPOTENT_ATTEMPTS):
            if failed and not self._retries.try_spend(self._clock.now()):
                self._metrics.count("plain.no_retry_left")
                break
            server = self.choose_server(request, failed)
            if server is None:
                break
            verdict = await self._dispatch_idempotent(request, server)
            match verdict:
                case settling.Finished(outcome) if outcome.kind is None:
                    return PlainAnswer(outcome)
                case settling.Finished(outcome):
                    error = plain_once.outcome_error(outcome)
                case settling.NotRun(detail):
                    error = errors.RefusedError(
                        detail, kind=errors.ErrorKind.NO_BACKEND
                    )
                case settling.Unknown(detail):
                    error = errors.OutcomeUnknownError(detail)
                case settling.StillRunning():
                    error = errors.OutcomeUnknownError("no answer in time")
            failed.add(server.vm)
            self._metrics.count("plain.idempotent_failed")
        raise error

    async def _dispatch_idempotent(
        self, request: plain_calls.PlainCallRequest, server: routing.Candidate
    ) -> settling.Resolution:
        call = plain_once.make_call(
            request, self._new_request(), FIRST_ATTEMPT, server.incarnation
        )
        return await self._watches.dispatch_idempotent(server.vm, call)


def _no_backend(request: plain_calls.PlainCallRequest) -> errors.NutmegError:
    return plain_once.no_backend(request.service.id)


def _refuse_beside(
    before: plain_once.Work, digest: ids.Digest
) -> errors.NutmegError:
    if before.body_digest != digest:
        return errors.RefusedError(
            "the idempotency key was used for another call",
            kind=errors.ErrorKind.IDEMPOTENCY_KEY_REUSED,
        )
    return plain_once.refusal_error(ledger.in_progress_refusal())
