"""Processes one caller's request until its response has ended."""

import asyncio

from nutmeglift_gateway import admission
from nutmeglift_gateway import attempt
from nutmeglift_gateway import attempt_failures
from nutmeglift_gateway import caller_request
from nutmeglift_gateway import context as contexts
from nutmeglift_gateway import directory
from nutmeglift_gateway import freshness
from nutmeglift_gateway import http_call
from nutmeglift_gateway import http_listener
from nutmeglift_gateway import loads
from nutmeglift_gateway import path_explanation
from nutmeglift_gateway import paths
from nutmeglift_gateway import reply
from nutmeglift_gateway import retry_policy
from nutmeglift_gateway import running_stream
from nutmeglift_gateway import server_selection
from nutmeglift_gateway import sse
from nutmeglift_gateway import suspect_servers

_LOST_OR_INVALID = frozenset(
    {retry_policy.Failure.LOST, retry_policy.Failure.INVALID}
)
_RETRY_ELSEWHERE_ONLY = frozenset(
    {retry_policy.Failure.REJECTED, retry_policy.Failure.NOT_SENT}
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
        self._progress = self._reply.progress
        self._failure_handler = attempt_failures.FailureHandler(
            context, self._progress
        )
        self._upstream: http_call.Connection | None = None
        self._events: sse.EventSplitter | None = None
        self._first_server: directory.Server | None = None
        self._last_failed: attempt.Outcome | None = None
        self._no_server_detail = ""

    async def run(self) -> None:
        """Serves the request; cancelled when the caller disconnects."""
        context = self._context
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
        context.board.budget(result.service.id).record_request(self._now())
        try:
            await self._serve(result)
        except asyncio.CancelledError:
            # The router also cancels exchanges, at the end of its drain.
            if self._connection.closed:
                self._reply.record_caller_left(result)
            raise
        finally:
            if self._upstream is not None:
                self._upstream.abort()

    async def _serve(self, admitted: admission.Admitted) -> None:
        streaming = admitted.route.streaming
        if streaming:
            self._events = sse.EventSplitter(self._first_event_id())
        while True:
            try:
                async with asyncio.timeout_at(admitted.deadline):
                    if streaming and admitted.service.engine is not None:
                        outcome = await self._attempt_stream(admitted)
                    else:
                        outcome = await self._attempt_plain(admitted)
            except TimeoutError:
                outcome = attempt.Outcome(
                    retry_policy.Failure.TIMEOUT, detail="the deadline passed"
                )
            if outcome is None:
                self._end_without_server(admitted)
                return
            if outcome.failure is None:
                self._reply.deliver(admitted, outcome)
                return
            self._last_failed = outcome
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

    def _end_without_server(self, admitted: admission.Admitted) -> None:
        last = self._last_failed
        if last and last.failure is retry_policy.Failure.SERVER_ERROR:
            self._reply.deliver(admitted, last)
            return
        self._reply.end(
            admitted,
            retry_policy.decide_without_server(self._progress),
            "; ".join(
                filter(
                    None, [last.detail if last else "", self._no_server_detail]
                )
            ),
        )

    def _untried(
        self, usable: list[directory.Server]
    ) -> list[directory.Server]:
        """Returns the servers to choose from, without those already tried.

        If all servers were tried, they are returned again, except after a
        rejection or a failed connection: only servers whose response was lost
        are worth another attempt.
        """
        untried = [s for s in usable if s.id not in self._failure_handler.tried]
        if untried or self._last_failed is None:
            return untried
        if self._last_failed.failure in _RETRY_ELSEWHERE_ONLY:
            return []
        return usable

    # Attempts.

    async def _attempt_plain(
        self, admitted: admission.Admitted
    ) -> attempt.Outcome | None:
        board = self._context.board
        usable = board.usable(admitted.service.id)
        full = board.load_tracker.full(self._now())
        candidates = self._untried(usable)
        candidates = [
            s for s in candidates if s.address not in full
        ] or candidates
        if admitted.service.engine is not None:
            # Requests that do not stream need a runner that holds all layers.
            layers = admitted.service.engine.layers
            candidates = [s for s in candidates if s.layers.count == layers]
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
        receiver = self._new_receiver(admitted, None)
        outcome = await self._send(admitted, server, reserved, receiver, None)
        if outcome.failure in _LOST_OR_INVALID:
            board.penalties.record_loss(self._now(), server.address)
        return outcome

    async def _attempt_stream(
        self, admitted: admission.Admitted
    ) -> attempt.Outcome | None:
        context = self._context
        engine = admitted.service.engine
        assert engine is not None
        board = context.board
        now = self._now()
        requirements = paths.PathRequirements(board.home, admitted.held_tokens)
        usable = board.usable(admitted.service.id)
        finder = board.path_finder(engine, now)
        path = finder.find(self._untried(usable), requirements)
        if path is None and self._progress.started:
            path = finder.find(usable, requirements)
        if path is None:
            self._no_server_detail = path_explanation.explain(
                engine, board.load_tracker, finder, usable, requirements
            )
            return None
        if not board.link_budget.has_room(now, path, board.routers):
            detail = path_explanation.explain_by_domain(
                engine, board.load_tracker, finder, usable, requirements
            )
            self._no_server_detail = f"the pipes are full; {detail}"
            return None
        self._reply.paths.append(format_path(path))
        self._first_server = path.first
        receiver = self._new_receiver(admitted, self._events)
        board.link_budget.record_transfer(
            now, engine, path, admitted.prompt_tokens
        )
        stream = running_stream.Stream(
            admitted, path, receiver, now, admitted.held_tokens, self._progress
        )
        context.monitor.add(stream)
        try:
            return await self._send(
                admitted, path.first, stream.reserve(context.board), receiver,
                path,
            )  # fmt: skip
        finally:
            context.monitor.remove(stream)
            stream.release(context.board)

    def _new_receiver(
        self,
        admitted: admission.Admitted,
        events: sse.EventSplitter | None,
    ) -> attempt.ResponseReceiver:
        if events is not None:
            events.restart()
        return attempt.ResponseReceiver(
            self._context.names,
            admitted.request_id,
            events=events,
            on_events=self._reply.on_events,
        )

    async def _send(
        self,
        admitted: admission.Admitted,
        server: directory.Server,
        reserved: tuple[loads.Reservation, ...],
        receiver: attempt.ResponseReceiver,
        path: paths.Path | None,
    ) -> attempt.Outcome:
        """Sends the request to a server and awaits the end of the response."""
        board = self._context.board
        if path is None:
            board.load_tracker.reserve(reserved)
        try:
            try:
                upstream = await http_call.connect(server.address)
            except http_call.CallError as error:
                self._context.failure_recorder.record(
                    server, suspect_servers.Reason.NOT_CONNECTED, str(error)
                )
                return attempt.Outcome(
                    retry_policy.Failure.NOT_SENT, detail=str(error)
                )
            if not board.directory.is_current(server):
                upstream.abort()
                return attempt.Outcome(
                    retry_policy.Failure.NOT_SENT,
                    detail="the server is no longer listed",
                )
            self._upstream = upstream
            self._connection.on_writable = self._on_writable
            self._progress.sent += 1
            self._progress.runs += 1
            upstream.send(
                self._format(admitted, server, path),
                receiver,
                head_only=self._request.method == "HEAD",
            )
            outcome = await receiver.done
            if outcome.failure is retry_policy.Failure.REJECTED:
                self._progress.runs -= 1
            return outcome
        finally:
            if path is None:
                board.load_tracker.release(reserved)
            if self._upstream is not None:
                self._upstream.abort()
                self._upstream = None

    def _format(
        self,
        admitted: admission.Admitted,
        server: directory.Server,
        path: paths.Path | None,
    ) -> bytes:
        names = self._context.names
        last_event_id = self._request.get(names.last_event_id)
        if self._events is not None and self._events.last_id is not None:
            last_event_id = b"%d" % self._events.last_id
        headers = attempt.forwarded_headers(names, self._request)
        headers += attempt.router_headers(
            names,
            admitted,
            instance=server.id,
            remaining=admitted.deadline - self._now(),
            path=self._context.runners.path_value(path) if path else None,
            last_event_id=last_event_id,
        )
        return http_call.format_request(
            self._request.method,
            self._request.target,
            headers,
            self._request.body,
        )

    def _on_writable(self, writable: bool) -> None:
        if self._upstream is None:
            return
        if writable:
            self._upstream.resume()
        else:
            self._upstream.pause()

    def _first_event_id(self) -> int | None:
        raw = self._request.get(self._context.names.last_event_id)
        return int(raw) if raw is not None and raw.isdigit() else None

    def _now(self) -> float:
        return self._loop.time()


def format_path(path: paths.Path) -> str:
    """Formats a path for the log."""
    return " ".join(
        f"{part.server.address}={part.start}-{part.end}" for part in path.parts
    )
