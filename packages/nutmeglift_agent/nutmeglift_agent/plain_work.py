"""Calls to the plain service beside this agent."""

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

MAX_ANSWER_BYTES = 2 * 1024 * 1024
"""Well under a frame, which would close the router's connection."""
LINGER_SECONDS = 4.0
"""Time for a router to notice that its connection is silent and ask anew."""

_logger = logging.getLogger(__name__)

PostToRouter = Callable[[ids.VmId, codec.AnyMessage], None]


class PlainWork:
    """Runs each attempt of a non-idempotent call at most once."""

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
        self._finished_at = float("-inf")
        self._routers_by_attempt: dict[attempts.AttemptKey, set[ids.VmId]] = {}

    @property
    def may_be_asked(self) -> bool:
        """Whether a router may still ask for an outcome that it missed."""
        return self._clock.now() < self._finished_at + LINGER_SECONDS

    async def call(
        self,
        router: ids.VmId,
        call: plain_messages.PlainCall,
        *,
        accepts_work: bool = True,
    ) -> None:
        """Runs a call, or answers at once why not."""
        if call.idempotent:
            await self._run_idempotent(router, call, accepts_work)
            return
        admission = self._table.begin(call)
        self._metrics.count(f"plain_call.{admission.value}")
        match admission:
            case attempts.StartDecision.RUN:
                await self._run_once(router, call, accepts_work)
            case attempts.StartDecision.RUNNING:
                self._note_router(router, (call.request, call.attempt))
            case attempts.StartDecision.SETTLED:
                self._answer_copy(router, call)
            case attempts.StartDecision.OTHER_INCARNATION:
                self._post(router, _refuse(call, "bound to a former start"))
            case attempts.StartDecision.EVICTED:
                self._post(router, _forgotten(call))

    def query(
        self, router: ids.VmId, query: plain_messages.AttemptQuery
    ) -> plain_messages.AttemptStatus:
        """Tells an attempt's state, and later its outcome if it runs."""
        status = self._table.query(query)
        if status.state is states.AttemptState.RUNNING:
            self._note_router(router, (query.request, query.attempt))
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
            self._post(router, _refuse(call, "the agent is leaving"))
            return
        self._post(router, await self._execute(call))

    async def _run_once(
        self,
        router: ids.VmId,
        call: plain_messages.PlainCall,
        accepts_work: bool,
    ) -> None:
        key = (call.request, call.attempt)
        self._note_router(router, key)
        if accepts_work:
            outcome = await self._execute(call)
        else:
            outcome = _refuse(call, "the agent is leaving")
        self._table.finish(outcome)
        self._finished_at = self._clock.now()
        for name in sorted(self._routers_by_attempt.pop(key)):
            self._post(name, outcome)

    def _note_router(self, router: ids.VmId, key: attempts.AttemptKey) -> None:
        self._routers_by_attempt.setdefault(key, set()).add(router)

    def _answer_copy(
        self, router: ids.VmId, call: plain_messages.PlainCall
    ) -> None:
        status = self._table.query(
            plain_messages.AttemptQuery(
                call.request, call.attempt, call.incarnation
            )
        )
        self._post(router, status.outcome or _refuse(call, "fenced"))

    async def _execute(
        self, call: plain_messages.PlainCall
    ) -> plain_messages.PlainOutcome:
        request = backend.PlainRequest(
            call.method, call.path, call.headers, call.body
        )
        try:
            answer = await self._service.call(request, call.timeout_seconds)
        except errors.NutmegError as error:
            return _fail(call, error.ran, error.kind, error.detail)
        except Exception:
            # Whatever went wrong, the routers must not wait for ever.
            _logger.exception("plain call failed")
            return _fail(
                call,
                states.Ran.UNKNOWN,
                errors.ErrorKind.OUTCOME_UNKNOWN,
                "the agent failed in the middle of the call",
            )
        if len(answer.body) > MAX_ANSWER_BYTES:
            return _fail(
                call,
                states.Ran.RAN,
                errors.ErrorKind.OUTCOME_UNKNOWN,
                f"the call ran; its answer exceeds {MAX_ANSWER_BYTES} bytes",
            )
        return plain_messages.PlainOutcome(
            call.request,
            call.attempt,
            states.Ran.RAN,
            answer.status,
            answer.headers,
            answer.body,
        )


def _refuse(
    call: plain_messages.PlainCall, detail: str
) -> plain_messages.PlainOutcome:
    return _fail(call, states.Ran.NOT_RUN, errors.ErrorKind.NO_BACKEND, detail)


def _forgotten(
    call: plain_messages.PlainCall,
) -> plain_messages.PlainOutcome:
    return _fail(
        call,
        states.Ran.UNKNOWN,
        errors.ErrorKind.OUTCOME_UNKNOWN,
        "the agent no longer remembers whether it ran",
    )


def _fail(
    call: plain_messages.PlainCall,
    ran: states.Ran,
    kind: errors.ErrorKind,
    detail: str,
) -> plain_messages.PlainOutcome:
    return plain_messages.PlainOutcome(
        call.request, call.attempt, ran, kind=kind, detail=detail
    )
