"""Executes calls to the plain service of this agent."""

from collections.abc import Callable
import logging

from nutmeglift import attempts
from nutmeglift import backend
from nutmeglift import codec
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import plain_messages
from nutmeglift import states
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

MAX_RESPONSE_BODY_BYTES = 2 * 1024 * 1024
"""Well below the frame limit: an oversized frame closes the connection."""
OUTCOME_QUERY_GRACE_SECONDS = 4.0
"""Time for a router to detect a silent connection and repeat its query."""

_logger = logging.getLogger(__name__)

PostToRouter = Callable[[ids.VmId, codec.AnyMessage], None]


class PlainCallExecutor:
    """Executes each attempt of a non-idempotent call at most once."""

    def __init__(
        self,
        table: attempts.AttemptTable,
        service: backend.BasePlainBackend,
        *,
        post: PostToRouter,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
    ) -> None:
        self._table = table
        self._service = service
        self._post = post
        self._clock = clock
        self._metrics = metrics
        self._last_finished_at = float("-inf")
        self._waiting_routers_by_attempt: dict[
            attempts.AttemptKey, set[ids.VmId]
        ] = {}

    @property
    def may_be_queried(self) -> bool:
        """Whether a router may still query an outcome that it missed."""
        return (
            self._clock.now()
            < self._last_finished_at + OUTCOME_QUERY_GRACE_SECONDS
        )

    async def call(
        self,
        router: ids.VmId,
        call: plain_messages.PlainCall,
        *,
        accepts_work: bool = True,
    ) -> None:
        """Executes a call, or immediately reports why it is not executed."""
        if call.idempotent:
            await self._run_idempotent(router, call, accepts_work)
            return
        admission = self._table.begin(call)
        self._metrics.count(f"plain_call.{admission.value}")
        match admission:
            case attempts.StartDecision.RUN:
                await self._run_once(router, call, accepts_work)
            case attempts.StartDecision.RUNNING:
                self._add_waiting_router(router, (call.request, call.attempt))
            case attempts.StartDecision.SETTLED:
                self._report_settled(router, call)
            case attempts.StartDecision.OTHER_INCARNATION:
                self._post(
                    router,
                    _make_refusal(
                        call,
                        "dispatched to an earlier incarnation of the agent",
                    ),
                )
            case attempts.StartDecision.EVICTED:
                self._post(router, _make_evicted_outcome(call))

    def query(
        self, router: ids.VmId, query: plain_messages.AttemptQuery
    ) -> plain_messages.AttemptStatus:
        """Returns an attempt's state; if it is running, its outcome follows."""
        status = self._table.query(query)
        if status.state is states.AttemptState.RUNNING:
            self._add_waiting_router(router, (query.request, query.attempt))
        state = "unknown" if status.state is None else status.state.value
        self._metrics.count(f"attempt_query.{state}")
        return status

    async def _run_idempotent(
        self,
        router: ids.VmId,
        call: plain_messages.PlainCall,
        accepts_work: bool,
    ) -> None:
        if not accepts_work:
            self._post(router, _make_refusal(call, "the agent is draining"))
            return
        self._post(router, await self._execute(call))

    async def _run_once(
        self,
        router: ids.VmId,
        call: plain_messages.PlainCall,
        accepts_work: bool,
    ) -> None:
        key = (call.request, call.attempt)
        self._add_waiting_router(router, key)
        if accepts_work:
            outcome = await self._execute(call)
        else:
            outcome = _make_refusal(call, "the agent is draining")
        self._table.finish(outcome)
        self._last_finished_at = self._clock.now()
        for name in sorted(self._waiting_routers_by_attempt.pop(key)):
            self._post(name, outcome)

    def _add_waiting_router(
        self, router: ids.VmId, key: attempts.AttemptKey
    ) -> None:
        self._waiting_routers_by_attempt.setdefault(key, set()).add(router)

    def _report_settled(
        self, router: ids.VmId, call: plain_messages.PlainCall
    ) -> None:
        status = self._table.query(
            plain_messages.AttemptQuery(
                call.request, call.attempt, call.incarnation
            )
        )
        self._post(
            router,
            status.outcome or _make_refusal(call, "the attempt is fenced"),
        )

    async def _execute(
        self, call: plain_messages.PlainCall
    ) -> plain_messages.PlainOutcome:
        request = backend.PlainRequest(
            call.method, call.path, call.headers, call.body
        )
        try:
            response = await self._service.call(request, call.timeout_seconds)
        except errors.NutmegError as error:
            return _make_failed_outcome(
                call, error.ran, error.kind, error.detail
            )
        except Exception:
            # Without an outcome the routers would wait indefinitely.
            _logger.exception("plain call failed")
            return _make_failed_outcome(
                call,
                states.Ran.UNKNOWN,
                errors.ErrorKind.OUTCOME_UNKNOWN,
                "the agent failed during the call",
            )
        if len(response.body) > MAX_RESPONSE_BODY_BYTES:
            return _make_failed_outcome(
                call,
                states.Ran.RAN,
                errors.ErrorKind.OUTCOME_UNKNOWN,
                "the call ran; its response body exceeds"
                f" {MAX_RESPONSE_BODY_BYTES} bytes",
            )
        return plain_messages.check_outcome(
            plain_messages.PlainOutcome(
                call.request,
                call.attempt,
                states.Ran.RAN,
                response.status,
                response.headers,
                response.body,
            )
        )


def _make_refusal(
    call: plain_messages.PlainCall, detail: str
) -> plain_messages.PlainOutcome:
    return _make_failed_outcome(
        call, states.Ran.NOT_RUN, errors.ErrorKind.NO_BACKEND, detail
    )


def _make_evicted_outcome(
    call: plain_messages.PlainCall,
) -> plain_messages.PlainOutcome:
    return _make_failed_outcome(
        call,
        states.Ran.UNKNOWN,
        errors.ErrorKind.OUTCOME_UNKNOWN,
        "the agent no longer has a record of whether the call ran",
    )


def _make_failed_outcome(
    call: plain_messages.PlainCall,
    ran: states.Ran,
    kind: errors.ErrorKind,
    detail: str,
) -> plain_messages.PlainOutcome:
    return plain_messages.PlainOutcome(
        call.request, call.attempt, ran, kind=kind, detail=detail
    )
