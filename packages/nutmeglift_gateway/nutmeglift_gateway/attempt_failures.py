"""Handles failed attempts at one request."""

import asyncio

from nutmeglift_gateway import admission
from nutmeglift_gateway import attempt
from nutmeglift_gateway import context as contexts
from nutmeglift_gateway import crash_checks
from nutmeglift_gateway import directory
from nutmeglift_gateway import http_call
from nutmeglift_gateway import reply as replies
from nutmeglift_gateway import responses
from nutmeglift_gateway import retry_budget
from nutmeglift_gateway import retry_policy
from nutmeglift_gateway import suspect_servers

MAX_CONNECT_FAILURE_COUNT = 6
"""Failed connections for one request before it is refused: by then the
directory entries of a group that crashed have had time to expire."""
FULL_RUNNER_RATIO = 0.5
"""Part of a runner's memory that has to be reserved for a rejection to count
as lack of memory: requests may hold twice their average."""

_RETRY_ELSEWHERE_ONLY = frozenset(
    {retry_policy.Failure.REJECTED, retry_policy.Failure.NOT_SENT}
)


class FailureHandler:
    """Records the failed attempts at a request and decides how to proceed.

    Attributes:
        tried: ids of servers to which the request is not sent again, unless no
            other is left.
        last_failed: the attempt that failed last; None before the first.
    """

    def __init__(
        self, context: contexts.Context, progress: retry_policy.Progress
    ) -> None:
        """Initializes a handler for one request.

        Args:
            context: the router's shared components.
            progress: attempts made so far for the request.
        """
        self.tried: set[str] = set()
        self.last_failed: attempt.Outcome | None = None
        self._context = context
        self._progress = progress
        self._connect_failures = 0
        self._servers_lost_before_begin: list[directory.Server] = []

    def untried(self, usable: list[directory.Server]) -> list[directory.Server]:
        """Returns the servers to choose from, without those already tried.

        If all servers were tried, they are returned again, except after a
        rejection or a failed connection: only servers whose response was lost
        are tried again.
        """
        if not self.tried:
            return usable
        untried = [s for s in usable if s.id not in self.tried]
        if untried or self.last_failed is None:
            return untried
        if self.last_failed.failure in _RETRY_ELSEWHERE_ONLY:
            return []
        return usable

    def record(
        self,
        admitted: admission.Admitted,
        outcome: attempt.Outcome,
        server: directory.Server,
        reply: replies.Reply,
    ) -> None:
        """Records an attempt that failed while another one goes on.

        Args:
            admitted: the request.
            outcome: how the attempt ended.
            server: the server that the request was sent to.
            reply: the response to the caller so far.
        """
        self._record(admitted, outcome, server, reply)
        self._record_loss(outcome, server)
        lost = outcome.failure is retry_policy.Failure.LOST
        if lost and crash_checks.has_ended(self._context.board, server):
            self._progress.terminated_runs += 1

    async def decide(
        self,
        admitted: admission.Admitted,
        outcome: attempt.Outcome,
        first_server: directory.Server,
        reply: replies.Reply,
    ) -> retry_policy.Decision:
        """Records a failed attempt and returns how to proceed.

        Args:
            admitted: the request.
            outcome: how the attempt ended.
            first_server: the server that the request was sent to.
            reply: the response to the caller so far.
        """
        failure = outcome.failure
        assert failure is not None
        self._record(admitted, outcome, first_server, reply)
        if await self._server_terminated(admitted, outcome, first_server):
            self._progress.terminated_runs += 1
        self._record_loss(outcome, first_server)
        await self._count_ended_servers(admitted)
        if (
            not self._progress.survived
            and self._context.board.guard.find(admitted.segments) is not None
        ):
            failure = retry_policy.Failure.QUARANTINED
        decision = retry_policy.decide(
            admitted.route,
            self._progress,
            failure,
            admitted.deadline - _now(),
        )
        if failure is retry_policy.Failure.NOT_SENT:
            self._connect_failures += 1
            if self._connect_failures >= MAX_CONNECT_FAILURE_COUNT:
                decision = retry_policy.decide_without_server(self._progress)
        if isinstance(decision, retry_policy.Retry) and decision.charged:
            decision = self._spend_retry(admitted, failure, decision)
        if isinstance(decision, retry_policy.Retry):
            self._context.metrics.attempts.labels("retried").inc()
            self._context.log.write(
                "retried",
                request=admitted.request_id.decode("latin-1"),
                failure=failure.value,
                detail=outcome.detail,
                sent=self._progress.sent,
                started=self._progress.started,
            )
        return decision

    def _record(
        self,
        admitted: admission.Admitted,
        outcome: attempt.Outcome,
        first_server: directory.Server,
        reply: replies.Reply,
    ) -> None:
        assert outcome.failure is not None
        self.last_failed = outcome
        context = self._context
        context.metrics.attempts.labels(outcome.failure.value).inc()
        self._exclude_server(admitted, outcome, first_server)
        context.log.write(
            "attempt failed",
            request=admitted.request_id.decode("latin-1"),
            service=admitted.service.id,
            failure=outcome.failure.value,
            detail=outcome.detail,
            server=first_server.id,
            fault=outcome.fault,
            path=reply.paths[-1:] or None,
            started=self._progress.started,
            segments=admitted.segments or None,
            seconds=round(reply.elapsed(), 3),
        )

    def _exclude_server(
        self,
        admitted: admission.Admitted,
        outcome: attempt.Outcome,
        first_server: directory.Server,
    ) -> None:
        """Excludes the server at fault, for all requests or for this one.

        A runner that is full according to this router's reservations rejects
        requests for lack of memory and has some free again soon. A misdirected
        request was sent to another server, or for other layers, than the entry
        states; the runner itself may be sound, so its report is read. Any other
        runner that rejects requests is about to shut down.
        """
        board = self._context.board
        failure_recorder = self._context.failure_recorder
        server = None
        if outcome.fault == first_server.address:
            server = first_server
        elif outcome.fault:
            server = board.server_at(outcome.fault)
        misdirected = (
            outcome.response is not None
            and outcome.response.status == responses.MISDIRECTED_STATUS
        )
        if misdirected and not first_server.kind:
            if self._reject_lifetime(first_server):
                self.tried.add(first_server.id)
                return
        elif misdirected and not outcome.fault:
            server = first_server
        at_fault = server or first_server
        if not misdirected and board.hold_offs.holds_off(at_fault.lifetime):
            # It has named the time, and is sound.
            self.tried.add(at_fault.id)
            return
        if server is None:
            self.tried.add(first_server.id)
            if outcome.failure is retry_policy.Failure.REJECTED:
                board.load_tracker.record_full(_now(), first_server.address)
            return
        engine = admitted.service.engine
        if misdirected:
            failure_recorder.record(
                server, suspect_servers.Reason.LAYERS_CHANGED, outcome.detail
            )
        elif (
            engine is not None
            and board.reserved_ratio(engine, server) > FULL_RUNNER_RATIO
        ):
            self.tried.add(server.id)
            board.load_tracker.record_full(_now(), server.address)
        else:
            failure_recorder.record(
                server, suspect_servers.Reason.REJECTED, outcome.detail
            )

    def _reject_lifetime(self, server: directory.Server) -> bool:
        """Lists the server that a lifetime not at its address displaced.

        A plain server rejects only requests that name another lifetime.

        Returns:
            Whether the lifetime had displaced a server.
        """
        if not self._context.board.directory.reject_lifetime(_now(), server):
            return False
        self._context.log.write(
            "server rejected", server=server.id, address=server.address
        )
        return True

    async def _server_terminated(
        self,
        admitted: admission.Admitted,
        outcome: attempt.Outcome,
        first_server: directory.Server,
    ) -> bool:
        """Returns whether the server process of a lost attempt has terminated.

        The server is contacted only if another attempt depends on the result.
        """
        exhausted = self._progress.counted_runs >= admitted.route.max_attempts
        if (
            outcome.failure is not retry_policy.Failure.LOST
            or not exhausted
            or not admitted.route.repeatable
        ):
            return False
        return crash_checks.has_ended(
            self._context.board, first_server
        ) or await self._has_ended(first_server)

    def _record_loss(
        self, outcome: attempt.Outcome, server: directory.Server
    ) -> None:
        """Records a server that was lost before it began to answer."""
        lost = outcome.failure is retry_policy.Failure.LOST
        if lost and not self._progress.survived:
            self._servers_lost_before_begin.append(server)

    async def _count_ended_servers(self, admitted: admission.Admitted) -> None:
        """Counts the servers that ended before they began to answer.

        They are contacted only if this request, or a segment of its prompt, is
        suspect already.
        """
        lost = self._servers_lost_before_begin
        board = self._context.board
        if self._progress.survived or not lost:
            return
        if len(
            lost
        ) >= retry_policy.MAX_ENDED_SERVER_COUNT or board.guard.is_suspected(
            admitted.segments
        ):
            ended = [await self._has_ended(server) for server in lost]
            self._progress.ended_servers = sum(ended)

    async def _has_ended(self, server: directory.Server) -> bool:
        """Returns whether a server has ended, by a connection if needed."""
        if crash_checks.has_crashed(
            self._context.board, server.lifetime, server.address
        ):
            return True
        if self._context.board.hold_offs.holds_off(server.lifetime):
            return False
        try:
            connection = await http_call.connect(server.address)
        except http_call.CallError as error:
            if error.failure is http_call.CallFailure.REFUSED:
                self._context.failure_recorder.record(
                    server, suspect_servers.Reason.CRASHED, str(error)
                )
                return True
            return False
        connection.close()
        return False

    def _spend_retry(
        self,
        admitted: admission.Admitted,
        failure: retry_policy.Failure,
        decision: retry_policy.Retry,
    ) -> retry_policy.Decision:
        board = self._context.board
        purpose = retry_budget.purpose(started=self._progress.started)
        budget = board.budget(admitted.service.id)
        now = _now()
        routers = board.budgets.record_routers(now, board.routers)
        if budget.try_spend(now, routers, purpose):
            return decision
        if failure is retry_policy.Failure.SERVER_ERROR:
            return retry_policy.Deliver()
        return retry_policy.decide_without_server(self._progress)


def _now() -> float:
    return asyncio.get_running_loop().time()
