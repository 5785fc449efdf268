"""The response to a caller: writes, counts and logs it."""

import asyncio

from nutmeglift import errors
from nutmeglift_gateway import admission
from nutmeglift_gateway import attempt
from nutmeglift_gateway import caller_request
from nutmeglift_gateway import context as contexts
from nutmeglift_gateway import drain
from nutmeglift_gateway import freshness
from nutmeglift_gateway import http_call
from nutmeglift_gateway import http_listener
from nutmeglift_gateway import metrics
from nutmeglift_gateway import responses
from nutmeglift_gateway import retry_delay
from nutmeglift_gateway import retry_policy
from nutmeglift_gateway.load import events


class Reply:
    """The response to one request.

    Attributes:
        progress: attempts made so far for the request.
        paths: the paths that it used, for the log.
    """

    def __init__(
        self,
        context: contexts.Context,
        connection: http_listener.CallerConnection,
        request: caller_request.Request,
    ) -> None:
        self.progress = retry_policy.Progress()
        self.paths: list[str] = []
        self._context = context
        self._connection = connection
        self._request = request
        self._loop = asyncio.get_running_loop()
        self._keep_alive = request.keep_alive
        self._generation_at_start = _generation(context)
        self._first_event_after = 0.0
        self._last_event_at = 0.0
        self._longest_gap = 0.0

    def record_caller_left(self, admitted: admission.Admitted) -> None:
        """Logs and counts a caller that disconnected early."""
        self._context.log.write(
            "caller left",
            request=admitted.request_id.decode("latin-1"),
            sent=self.progress.sent,
            seconds=round(self.elapsed(), 3),
        )
        self._count(admitted, "caller_left")

    def on_events(self, head: http_call.Head, data: bytes) -> None:
        """Forwards complete events to the caller."""
        chunked = self._request.accepts_chunked
        now = self._loop.time()
        if self.progress.started:
            self._longest_gap = max(
                self._longest_gap, now - self._last_event_at
            )
        self._last_event_at = now
        if not self.progress.started:
            self.progress.started = True
            # A stream that is not chunked ends with its connection.
            self._keep_alive = chunked and self._keeps_open()
            self._connection.write(
                responses.forwarded_head(
                    head,
                    length=None,
                    chunked=chunked,
                    keep_alive=self._keep_alive,
                )
                + (responses.chunk(data) if chunked else data)
            )
            self._first_event_after = self.elapsed()
            self._context.metrics.first_event.observe(self.elapsed())
            return
        self._connection.write(responses.chunk(data) if chunked else data)

    def deliver(
        self, admitted: admission.Admitted, outcome: attempt.Outcome
    ) -> None:
        """Ends the request with a server's response."""
        if self.progress.started and outcome.failure is not None:
            # An error response can't follow events.
            self.end(
                admitted,
                retry_policy.Fail(errors.ErrorKind.OUTCOME_UNKNOWN),
                outcome.detail,
            )
            return
        if self.progress.started:
            keep_alive = self._keep_alive
            if self._request.accepts_chunked:
                self._connection.write(responses.LAST_CHUNK)
        else:
            response = outcome.response
            assert response is not None
            if response.status in responses.NOT_RUN_STATUSES:
                # The request may have run, so a response that states that it
                # did not run is not forwarded.
                self.end(
                    admitted,
                    retry_policy.Fail(errors.ErrorKind.OUTCOME_UNKNOWN),
                    outcome.detail,
                )
                return
            keep_alive = self._keeps_open()
            head = responses.forwarded_head(
                response.head,
                length=len(response.body),
                chunked=False,
                keep_alive=keep_alive,
                without_body=self._request.is_head,
            )
            if len(response.body) < http_call.MIN_SHARED_BODY_BYTES:
                self._connection.write(head + response.body)
            else:
                # Without a copy.
                self._connection.write(head)
                self._connection.write(response.body)
            self._context.metrics.answer.observe(self.elapsed())
        self._count(admitted, self._classify_latency(admitted, outcome))
        self._connection.finish(keep_alive=keep_alive)

    def _classify_latency(
        self, admitted: admission.Admitted, outcome: attempt.Outcome
    ) -> str:
        """Returns how a delivered response is counted; logs a late one."""
        if outcome.failure is not None:
            return "failed"
        gap = self._longest_gap
        route = admitted.route
        first = self._first_event_after or self.elapsed()
        in_objective = first <= route.objective and gap <= route.gap_objective
        self._context.metrics.responses.labels(
            admitted.service.id,
            str(admitted.rank),
            "met" if in_objective else "missed",
        ).inc()
        if in_objective:
            return "served"
        self._context.log.write(
            "answer late",
            request=admitted.request_id.decode("latin-1"),
            route=route.id,
            first=round(first, 3),
            objective=route.objective,
            longest_gap=round(gap, 3),
            gap_objective=route.gap_objective,
            seconds=round(self.elapsed(), 3),
            sent=self.progress.sent,
            paths=self.paths,
        )
        return "late"

    def end(
        self,
        admitted: admission.Admitted,
        decision: retry_policy.Refuse | retry_policy.Fail,
        detail: str = "",
    ) -> None:
        """Ends the request with an error response, or aborts its stream."""
        if self.progress.started:
            self._context.log.write(
                "stream cut",
                request=admitted.request_id.decode("latin-1"),
                kind=decision.kind.value,
                detail=detail,
                silent=round(self._loop.time() - self._last_event_at, 3),
                generation=_generation(self._context),
                generation_at_start=self._generation_at_start,
                draining=self._context.board.draining,
                paths=self.paths,
                sent=self.progress.sent,
                seconds=round(self.elapsed(), 3),
            )
            self._count(admitted, "cut")
            self._context.metrics.unanswered.labels(
                metrics.UnansweredCause.STREAM_CUT.value
            ).inc()
            self._connection.abort()
            return
        retry_after = None
        if isinstance(decision, retry_policy.Refuse):
            retry_after = self._retry_after(admitted, decision.kind)
        self._count(admitted, decision.kind.value)
        self.refuse(decision.kind, retry_after, detail or "no server available")

    def _retry_after(
        self, admitted: admission.Admitted, kind: errors.ErrorKind
    ) -> float:
        context = self._context
        now = self._loop.time()
        if kind is errors.ErrorKind.NO_BACKEND:
            return retry_delay.retry_after_no_server(
                context.board, admitted.service.id, now, context.rng
            )
        return retry_delay.retry_after(context.board, kind, now)

    def refuse_waiting(
        self, admitted: admission.Admitted, refusal: events.Refuse
    ) -> None:
        """Refuses a request that was not sent for lack of room."""
        self._count(admitted, refusal.kind.value)
        self.refuse(refusal.kind, refusal.retry_after, refusal.detail)

    def refuse(
        self,
        kind: errors.ErrorKind,
        retry_after: float | None,
        detail: str,
    ) -> None:
        """Sends an error response and logs it."""
        context = self._context
        names = context.names
        request_id = (self._request.get(names.request_id) or b"").decode(
            "latin-1"
        )
        context.metrics.refusals.labels(kind.value).inc()
        context.log.write(
            "refused",
            request=request_id,
            kind=kind.value,
            detail=detail,
            retry_after=retry_after,
            generation=_generation(context),
            generation_at_start=self._generation_at_start,
            confirmation_age=round(
                min(context.board.freshness.age(freshness.boot_clock()), 1e6),
                3,
            ),
            confirmed_by=_confirmed_by(context),
            directory_version=context.board.directory.version,
            sent=self.progress.sent,
            paths=self.paths,
            seconds=round(self.elapsed(), 3),
        )
        keep_alive = self._keeps_open()
        self._connection.write(
            responses.error_response(
                kind,
                request_id=request_id,
                retry_after=retry_after,
                retry_name=names.retry_after,
                id_name=names.request_id,
                keep_alive=keep_alive,
                without_body=self._request.is_head,
            )
        )
        self._connection.finish(keep_alive=keep_alive)

    def _keeps_open(self) -> bool:
        return drain.keeps_open(
            requested=self._request.keep_alive,
            draining=self._context.board.draining,
            has_queued=self._connection.has_queued,
        )

    def _count(self, admitted: admission.Admitted, outcome: str) -> None:
        self._context.metrics.requests.labels(admitted.route.id, outcome).inc()

    def elapsed(self) -> float:
        """Returns the seconds since the request was received."""
        return self._loop.time() - self._request.received_at


def _generation(context: contexts.Context) -> int | None:
    """Returns the generation of the configuration in force, if there is one."""
    catalog = context.board.catalog
    return catalog.generation if catalog else None


def _confirmed_by(context: contexts.Context) -> str | None:
    """Returns what confirmed the configuration last, if anything did."""
    source = context.board.freshness.confirmed_by
    return source.value if source else None
