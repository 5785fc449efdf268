"""Processes one caller's request until its response has ended."""

import asyncio
import functools

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
from nutmeglift_gateway import loads
from nutmeglift_gateway import reply
from nutmeglift_gateway import retry_delay
from nutmeglift_gateway import retry_policy
from nutmeglift_gateway import runs
from nutmeglift_gateway import sender as senders
from nutmeglift_gateway import server_selection
from nutmeglift_gateway import stream_attempts

_LOST_OR_INVALID = frozenset(
    {retry_policy.Failure.LOST, retry_policy.Failure.INVALID}
)


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
        self._receiver: attempt.ResponseReceiver | None = None
        self._admitted: admission.Admitted | None = None

    async def run(self) -> None:
        """Serves the request; cancelled when the caller disconnects."""
        context = self._context
        await context.gate.wait(context.board)
        result = admission.admit(
            context.board,
            context.names,
            self._request,
            freshness.boot_clock(),
            context.rng,
        )
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
        try:
            await self._run_attempts(admitted)
        finally:
            if self._streams is not None:
                self._context.board.guard.listeners.discard(
                    self._streams.check_quarantine
                )

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
        try:
            async with asyncio.timeout_at(admitted.deadline):
                if self._streams is None:
                    return await self._attempt_plain(admitted)
                return await self._streams.next_outcome()
        except TimeoutError:
            return self._outcome_at_deadline()
        finally:
            if self._streams is not None:
                self._streams.close()
                self._first_server = self._streams.last_server
                self._no_server_detail = self._streams.no_path_detail

    def _outcome_at_deadline(self) -> attempt.Outcome:
        """Returns the outcome of an attempt that the deadline has interrupted.

        The response may have been read in the same turn of the event loop.
        """
        if self._streams is not None:
            found = self._streams.collect_outcome()
        else:
            found = self._plain_outcome()
        return found or attempt.Outcome(
            retry_policy.Failure.TIMEOUT, detail="the deadline passed"
        )

    def _plain_outcome(self) -> attempt.Outcome | None:
        """Returns the outcome of the current plain attempt once it is known."""
        receiver = self._receiver
        if receiver is None or not receiver.done.done():
            return None
        if receiver.done.cancelled():
            return None
        outcome = receiver.done.result()
        self._reply.progress.discount(outcome.failure)
        return outcome

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

    async def _attempt_plain(
        self, admitted: admission.Admitted
    ) -> attempt.Outcome | None:
        board = self._context.board
        board.hold_offs.expire(self._now())
        usable = board.usable(admitted.service.id)
        full = board.load_tracker.full(self._now())
        candidates = self._failure_handler.untried(usable)
        candidates = [
            s for s in candidates if s.address not in full
        ] or candidates
        if admitted.service.engine is not None:
            # Requests that do not stream need a runner that holds all layers.
            layers = admitted.service.engine.layers
            candidates = [s for s in candidates if s.layers.count == layers]
        candidates = board.hold_offs.by_preference(candidates)[0]
        server = server_selection.select_server(
            self._now(),
            candidates,
            board.load_tracker,
            board.home,
            board.penalties,
        )
        if server is None:
            return None
        self._first_server = server
        reserved = (loads.Reservation(server.address, True, 0.0),)
        board.load_tracker.reserve(reserved)
        try:
            outcome = await self._send(admitted, server)
        finally:
            board.load_tracker.release(reserved)
        if outcome.failure in _LOST_OR_INVALID:
            board.penalties.record_loss(self._now(), server.address)
        return outcome

    async def _send(
        self, admitted: admission.Admitted, server: directory.Server
    ) -> attempt.Outcome:
        """Sends the request to a server and awaits the end of the response."""
        self._receiver = None
        upstream = await self._sender.connect(server)
        if isinstance(upstream, attempt.Outcome):
            return upstream
        if self._context.board.guard.find_for(
            admitted.segments, admitted.request_id.decode("latin-1")
        ):
            upstream.abort()
            return attempt.Outcome(
                retry_policy.Failure.NOT_SENT, detail="quarantined"
            )
        receiver = attempt.ResponseReceiver(
            self._context.names,
            admitted.request_id,
            events=None,
            on_events=None,
            on_announcement=functools.partial(
                self._context.failure_recorder.record_announcement, server
            ),
        )
        self._receiver = receiver
        run = self._begin_run(admitted, server)
        try:
            self._sender.send(
                upstream,
                admitted,
                server,
                receiver,
                remaining=admitted.deadline - self._now(),
            )
            await receiver.done
        finally:
            upstream.abort()
            self._context.board.runs.end(
                self._now(), run, attempt.run_end(receiver)
            )
        outcome = self._plain_outcome()
        assert outcome is not None
        return outcome

    def _begin_run(
        self, admitted: admission.Admitted, server: directory.Server
    ) -> runs.Run:
        run = attempt.new_run(admitted, server, self._now())
        if admitted.service.engine is not None:
            self._context.board.runs.begin(run)
        return run

    def _first_event_id(self) -> int | None:
        raw = self._request.get(self._context.names.last_event_id)
        return int(raw) if raw is not None and raw.isdigit() else None

    def _now(self) -> float:
        return self._loop.time()
