"""Processes one caller's request until its response has ended."""

import asyncio

from nutmeglift import errors
from nutmeglift_gateway import admission
from nutmeglift_gateway import attempt
from nutmeglift_gateway import attempt_failures
from nutmeglift_gateway import caller_request
from nutmeglift_gateway import context as contexts
from nutmeglift_gateway import directory
from nutmeglift_gateway import drain
from nutmeglift_gateway import freshness
from nutmeglift_gateway import http_listener
from nutmeglift_gateway import plain_attempts
from nutmeglift_gateway import reply
from nutmeglift_gateway import retry_delay
from nutmeglift_gateway import retry_policy
from nutmeglift_gateway import sender as senders
from nutmeglift_gateway import stream_attempts
from nutmeglift_gateway.load import events


class Exchange:
    """One caller's request, from its last byte to the end of the response."""

    def __init__(
        self,
        context: contexts.Context,
        connection: http_listener.CallerConnection,
        request: caller_request.Request,
    ) -> None:
        self._context = context
        self._connection = connection
        self._request = request
        self._loop = asyncio.get_running_loop()
        self._reply = reply.Reply(context, connection, request)
        self._failure_handler = attempt_failures.FailureHandler(
            context, self._reply.progress
        )
        self._sender = senders.Sender(context, request, self._reply.progress)
        self._streams: stream_attempts.StreamAttempts | None = None
        self._first_server: directory.Server | None = None
        self._no_server_detail = ""
        self._plain: plain_attempts.PlainAttempts | None = None
        self._admitted: admission.Admitted | None = None

    async def run(self) -> None:
        """Serves the request; cancelled when the caller disconnects."""
        context = self._context
        await context.gate.wait(context.board)
        result = self._admit()
        if isinstance(result, admission.Refused):
            self._reply.refuse(result.kind, result.retry_after, result.detail)
            return
        self._admitted = result
        if result.segments_problem:
            context.log.write(
                "prompt segments malformed",
                request=result.request_id.decode("latin-1"),
                detail=result.segments_problem,
            )
        if await self._refuse_quarantined(result):
            return
        context.board.budget(result.service.id).record_request(self._now())
        try:
            await self._serve(result)
        except asyncio.CancelledError:
            # The router also cancels exchanges, at the end of its drain.
            if self._connection.closed:
                self._reply.record_caller_left(result)
            raise

    def _admit(self) -> admission.Admitted | admission.Refused:
        context = self._context
        return admission.admit(
            context.board,
            context.names,
            self._request,
            freshness.boot_clock(),
            context.rng,
        )

    async def _refuse_quarantined(self, admitted: admission.Admitted) -> bool:
        """Refuses a request that would end its server, unless as a trial."""
        guard = self._context.board.guard
        request_id = admitted.request_id.decode("latin-1")
        entry = guard.find_for(admitted.segments, request_id)
        if entry is None:
            return False
        board = self._context.board
        now = self._now()
        servers = board.usable(admitted.service.id)
        due = guard.quarantines.is_trial_due(
            now, entry, {server.version for server in servers}
        )
        guard.quarantines.record_request(now, entry)
        if due and await guard.claim_trial(entry, request_id):
            return False
        self._reply.refuse(
            errors.ErrorKind.QUARANTINED,
            retry_delay.QUARANTINE_RETRY_SECONDS,
            f"quarantined: {','.join(entry.segments)}"
            f" (version {entry.version})",
        )
        return True

    def interrupt(self, kind: errors.ErrorKind, detail: str) -> None:
        """Responds after run() was cancelled or failed.

        Args:
            kind: error kind if the request has not run.
            detail: why it was interrupted, for the log.
        """
        decision = retry_policy.decide_interrupted(self._reply.progress, kind)
        if self._admitted is not None:
            self._reply.end(self._admitted, decision, detail)
            return
        delay = retry_delay.retry_after(
            self._context.board, decision.kind, self._now()
        )
        self._reply.refuse(decision.kind, delay, detail)

    async def _serve(self, admitted: admission.Admitted) -> None:
        if admitted.route.streaming and admitted.service.engine is not None:
            self._streams = stream_attempts.StreamAttempts(
                self._context,
                self._sender,
                admitted,
                self._reply,
                self._failure_handler,
                self._first_event_id(),
            )
            self._connection.on_writable = self._streams.set_writable
            self._context.board.guard.listeners.add(
                self._streams.check_quarantine
            )
        else:
            self._plain = plain_attempts.PlainAttempts(
                self._context,
                self._sender,
                admitted,
                self._reply,
                self._failure_handler,
            )
        try:
            if await self._wait_for_room(admitted):
                await self._run_attempts(admitted)
        finally:
            if self._reply.progress.sent:
                self._context.waiting.record_end(admitted)
            if self._streams is not None:
                self._context.board.guard.listeners.discard(
                    self._streams.check_quarantine
                )

    async def _wait_for_room(self, admitted: admission.Admitted) -> bool:
        """Returns whether to send a request, perhaps after a wait."""
        if self._streams is None or self._first_event_id() is not None:
            return True
        verdict = await self._context.waiting.enter(
            admitted, len(self._request.body)
        )
        if isinstance(verdict, events.Refuse):
            self._reply.refuse_waiting(admitted, verdict)
            return False
        self._streams.first_path = verdict.path
        if not verdict.waited:
            return True
        # Its key may have been revoked, or its prompt quarantined, meanwhile.
        checked = self._admit()
        if isinstance(checked, admission.Refused):
            self._reply.refuse(
                checked.kind, checked.retry_after, checked.detail
            )
            return False
        return not await self._refuse_quarantined(admitted)

    async def _run_attempts(self, admitted: admission.Admitted) -> None:
        while True:
            if not self._may_begin(admitted):
                self._reply.end(
                    admitted,
                    retry_policy.decide_interrupted(
                        self._reply.progress, errors.ErrorKind.DRAINING
                    ),
                    "the router exits before it would end",
                )
                return
            outcome = await self._attempt(admitted)
            if outcome is None:
                self._end_without_server(admitted)
                return
            if outcome.failure is None:
                self._reply.deliver(admitted, outcome)
                return
            assert self._first_server is not None
            decision = await self._failure_handler.decide(
                admitted, outcome, self._first_server, self._reply
            )
            match decision:
                case retry_policy.Retry():
                    continue
                case retry_policy.Deliver():
                    self._reply.deliver(admitted, outcome)
                case _:
                    self._reply.end(admitted, decision, outcome.detail)
            return

    def _may_begin(self, admitted: admission.Admitted) -> bool:
        """Returns whether to send a request before this process exits.

        A request that may have run already can't be refused, and gains by
        another attempt.
        """
        route = admitted.route
        return self._reply.progress.may_have_run or drain.may_begin(
            now=self._now(),
            exit_at=self._context.board.exit_at,
            deadline=admitted.deadline,
            must_complete=not route.repeatable and not route.streaming,
        )

    async def _attempt(
        self, admitted: admission.Admitted
    ) -> attempt.Outcome | None:
        attempts = self._streams or self._plain
        assert attempts is not None
        try:
            async with asyncio.timeout_at(admitted.deadline):
                return await attempts.next_outcome()
        except TimeoutError:
            # The response may have been read in the same turn of the loop.
            return attempts.collect_outcome() or attempt.Outcome(
                retry_policy.Failure.TIMEOUT, detail="the deadline passed"
            )
        finally:
            attempts.close()
            if self._streams is not None:
                self._no_server_detail = self._streams.no_path_detail
            self._first_server = attempts.last_server

    def _end_without_server(self, admitted: admission.Admitted) -> None:
        last = self._failure_handler.last_failed
        if last and last.failure is retry_policy.Failure.SERVER_ERROR:
            self._reply.deliver(admitted, last)
            return
        self._reply.end(
            admitted,
            retry_policy.decide_without_server(self._reply.progress),
            "; ".join(
                filter(
                    None, [last.detail if last else "", self._no_server_detail]
                )
            ),
        )

    def _first_event_id(self) -> int | None:
        raw = self._request.get(self._context.names.last_event_id)
        return int(raw) if raw is not None and raw.isdigit() else None

    def _now(self) -> float:
        return self._loop.time()
