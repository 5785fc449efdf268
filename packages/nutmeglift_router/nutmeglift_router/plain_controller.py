"""Runs calls to plain services; retries the idempotent ones."""

import asyncio
from collections.abc import Callable
import dataclasses
import itertools
import secrets

from nutmeglift import attempt_resolution
from nutmeglift import attempts
from nutmeglift import cancellation
from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import ledger
from nutmeglift import plain_messages
from nutmeglift import retry
from nutmeglift import routing
from nutmeglift_router import at_most_once_call
from nutmeglift_router import attempt_tracker
from nutmeglift_router import ledger_controller
from nutmeglift_router import plain_call_request
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

REQUEST_EPOCH_BYTES = 8
FIRST_ATTEMPT = ids.Attempt(1)
MAX_IDEMPOTENT_ATTEMPT_COUNT = 2
MAX_SERVER_CHOICE_COUNT = 16

ChooseServer = Callable[[ids.ServiceId], routing.AvailableRunner | None]


@dataclasses.dataclass(frozen=True)
class PlainResult:
    """The result of a call, as returned to its caller.

    Attributes:
        outcome: the call's outcome.
        replayed: whether it is the recorded outcome of an earlier call.
    """

    outcome: plain_messages.PlainOutcome
    replayed: bool = False


def find_call(
    service: declaration.Service, method: str, path: str
) -> declaration.Call | None:
    """Returns the declared call that matches a method and a path.

    A declared path that ends with "*" matches by prefix.
    """
    for call in service.calls:
        if call.method != method:
            continue
        if call.path == path:
            return call
        if call.path.endswith("*") and path.startswith(call.path[:-1]):
            return call
    return None


class PlainController:
    """Runs calls to plain services.

    Attributes:
        ledger: writes the claims of non-idempotent calls.
    """

    def __init__(
        self,
        *,
        store: kv.BaseKv,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
        choose: ChooseServer,
        agents: attempt_tracker.BaseAgentConnections,
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
        self._epoch = secrets.token_hex(REQUEST_EPOCH_BYTES)
        self._request_numbers = itertools.count(1)
        self._attempt_tracker = attempt_tracker.AttemptTracker(
            agents=agents, clock=clock, metrics=metrics
        )
        self._call_by_claim: dict[
            ids.Digest, at_most_once_call.PendingCall
        ] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._clock = clock
        self._idempotent_in_flight = 0
        self._retries = retry.RetryBudget(0.0)

    @property
    def in_flight(self) -> int:
        """Number of running calls and of claims that wait to be written."""
        return (
            len(self._tasks)
            + self._idempotent_in_flight
            + self.ledger.pending_writes
        )

    async def call(
        self, request: plain_call_request.PlainCallRequest
    ) -> plain_messages.PlainOutcome:
        """Runs a call and returns its outcome only.

        Raises:
            errors.NutmegError: as run.
        """
        return (await self.run(request)).outcome

    async def run(
        self, request: plain_call_request.PlainCallRequest
    ) -> PlainResult:
        """Runs a call.

        Raises:
            errors.NutmegError: there is no outcome; the error states whether
                the call ran.
        """
        if request.call.idempotent:
            return await self._run_idempotent(request)
        return await self._run_once(request)

    def record_outcome(self, outcome: plain_messages.PlainOutcome) -> None:
        """Records an outcome reported by an agent."""
        self._attempt_tracker.record_outcome(outcome)

    def record_status(self, status: plain_messages.AttemptStatus) -> None:
        """Records an agent's response to an attempt query."""
        self._attempt_tracker.record_status(status)

    def agent_up(self, vm: ids.VmId) -> None:
        """Records a new connection to an agent."""
        self._attempt_tracker.agent_up(vm)

    def agent_down(self, vm: ids.VmId) -> None:
        """Records that the connection to an agent ended."""
        self._attempt_tracker.agent_down(vm)

    async def stop(self) -> None:
        """Cancels all calls at once and stops the ledger."""
        await cancellation.cancel_and_wait(self._tasks)
        await self.ledger.stop()

    def _make_request_id(self) -> ids.RequestId:
        return attempts.make_request_id(
            self._epoch, next(self._request_numbers)
        )

    def choose_server(
        self,
        request: plain_call_request.PlainCallRequest,
        failed_vms: set[ids.VmId],
    ) -> routing.AvailableRunner | None:
        """Returns a backend server, preferably one not in failed_vms.

        Servers are drawn at random, MAX_SERVER_CHOICE_COUNT times at most.
        """
        server = None
        for _ in range(MAX_SERVER_CHOICE_COUNT):
            server = self._choose(request.service.id)
            if server is None or server.vm not in failed_vms:
                return server
        return server

    async def _run_once(
        self, request: plain_call_request.PlainCallRequest
    ) -> PlainResult:
        if request.key is None:
            raise errors.RefusedError(
                "a non-idempotent call requires an Idempotency-Key header",
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
        concurrent = self._call_by_claim.get(digest)
        if concurrent is not None:
            raise _concurrent_call_error(concurrent, body_digest)
        call = at_most_once_call.PendingCall(
            request, self._make_request_id(), digest, body_digest
        )
        self._start(call)
        outcome = await asyncio.shield(call.answer)
        return PlainResult(outcome, call.replayed)

    def _start(self, call: at_most_once_call.PendingCall) -> None:
        run = at_most_once_call.CallExecution(
            call,
            ledger=self.ledger,
            tracker=self._attempt_tracker,
            clock=self._clock,
            metrics=self._metrics,
            choose=self.choose_server,
        )
        self._call_by_claim[call.digest] = call
        task = asyncio.ensure_future(run.run())
        self._tasks.add(task)

        def end(ended: asyncio.Task[None]) -> None:
            self._tasks.discard(ended)
            del self._call_by_claim[call.digest]

        task.add_done_callback(end)

    async def _run_idempotent(
        self, request: plain_call_request.PlainCallRequest
    ) -> PlainResult:
        self._idempotent_in_flight += 1
        try:
            return await self._try_servers(request)
        finally:
            self._idempotent_in_flight -= 1

    async def _try_servers(
        self, request: plain_call_request.PlainCallRequest
    ) -> PlainResult:
        failed_vms: set[ids.VmId] = set()
        error = _no_backend_error(request)
        self._retries.record_request(self._clock.now())
        for _ in range(MAX_IDEMPOTENT_ATTEMPT_COUNT):
            if failed_vms and not self._retries.try_spend(self._clock.now()):
                self._metrics.count("plain.no_retry_left")
                break
            server = self.choose_server(request, failed_vms)
            if server is None:
                break
            resolution = await self._dispatch_idempotent(request, server)
            match resolution:
                case attempt_resolution.Finished(outcome) if (
                    outcome.kind is None
                ):
                    return PlainResult(outcome)
                case attempt_resolution.Finished(outcome):
                    error = at_most_once_call.outcome_error(outcome)
                case attempt_resolution.NotRun(detail):
                    error = errors.RefusedError(
                        detail, kind=errors.ErrorKind.NO_BACKEND
                    )
                case attempt_resolution.Unknown(detail):
                    error = errors.OutcomeUnknownError(detail)
                case attempt_resolution.StillRunning():
                    error = errors.OutcomeUnknownError("no response in time")
            failed_vms.add(server.vm)
            self._metrics.count("plain.idempotent_failed")
        raise error

    async def _dispatch_idempotent(
        self,
        request: plain_call_request.PlainCallRequest,
        server: routing.AvailableRunner,
    ) -> attempt_resolution.Resolution:
        call = at_most_once_call.make_call(
            request, self._make_request_id(), FIRST_ATTEMPT, server.incarnation
        )
        return await self._attempt_tracker.dispatch_idempotent(server.vm, call)


def _no_backend_error(
    request: plain_call_request.PlainCallRequest,
) -> errors.NutmegError:
    return at_most_once_call.no_backend_error(request.service.id)


def _concurrent_call_error(
    concurrent: at_most_once_call.PendingCall, digest: ids.Digest
) -> errors.NutmegError:
    if concurrent.body_digest != digest:
        return errors.RefusedError(
            "the idempotency key was used for another call",
            kind=errors.ErrorKind.IDEMPOTENCY_KEY_REUSED,
        )
    return at_most_once_call.refusal_error(ledger.in_progress_refusal())
