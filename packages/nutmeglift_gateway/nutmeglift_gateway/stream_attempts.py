"""Runs the attempts at one stream.

While the runner of an attempt is silent, a successor may run beside it. The
first of the two that delivers an event goes on, and the other one is ended, so
that a runner that goes on after a pause loses no stream.
"""

import asyncio
import functools

from nutmeglift_gateway import admission
from nutmeglift_gateway import attempt
from nutmeglift_gateway import attempt_failures
from nutmeglift_gateway import context as contexts
from nutmeglift_gateway import crash_checks
from nutmeglift_gateway import directory
from nutmeglift_gateway import http_call
from nutmeglift_gateway import path_explanation
from nutmeglift_gateway import paths
from nutmeglift_gateway import reply as replies
from nutmeglift_gateway import retry_policy
from nutmeglift_gateway import running_attempt
from nutmeglift_gateway import running_stream
from nutmeglift_gateway import runs
from nutmeglift_gateway import second_attempts
from nutmeglift_gateway import second_streams
from nutmeglift_gateway import sender as senders
from nutmeglift_gateway import sse
from nutmeglift_gateway import successor_paths
from nutmeglift_gateway.load import path_choice


class StreamAttempts:
    """The attempts at one stream, of which at most two run at a time.

    Attributes:
        no_path_detail: why no path was available.
        last_server: first runner of the attempt that ended last.
        first_path: path of the first attempt, if it has just been found.
    """

    def __init__(
        self,
        context: contexts.Context,
        sender: senders.Sender,
        admitted: admission.Admitted,
        reply: replies.Reply,
        failures: attempt_failures.FailureHandler,
        last_event_id: int | None,
    ) -> None:
        """Initializes without any attempt.

        Args:
            context: the router's shared components.
            sender: sends the request.
            admitted: the request.
            reply: the response to the caller.
            failures: handles failed attempts.
            last_event_id: last event that the caller has; None if it has none.
        """
        self.no_path_detail = ""
        self.last_server: directory.Server | None = None
        self.first_path: paths.Path | None = None
        self._context = context
        self._sender = sender
        self._admitted = admitted
        self._reply = reply
        self._failures = failures
        self._last_event_id = last_event_id
        self._running: list[running_attempt.Running] = []
        self._changed = asyncio.Event()
        self._successor_path: paths.Path | None = None
        self._paused = False
        self._loop = asyncio.get_running_loop()
        self._second = second_attempts.SecondAttempt(context, admitted, reply)

    async def next_outcome(self) -> attempt.Outcome | None:
        """Starts an attempt and returns how the last one running has ended.

        Returns:
            None if no path is available.
        """
        self._successor_path = None
        if self._is_quarantined():
            return self._quarantined("requests like it end servers")
        path, self.first_path = self.first_path or self._find_path(), None
        if path is None:
            return None
        outcome = await self._start(path)
        while outcome is None:
            await self._changed.wait()
            self._changed.clear()
            outcome = self.collect_outcome()
            if outcome is None and self._is_quarantined():
                return self._quarantined("requests like it end servers")
            if outcome is None:
                await self._start_successor()
        return outcome

    def _is_quarantined(self) -> bool:
        """Returns whether it must not begin at any server."""
        if self._reply.progress.survived:
            return False
        admitted = self._admitted
        request_id = admitted.request_id.decode("latin-1")
        guard = self._context.board.guard
        return guard.find_for(admitted.segments, request_id) is not None

    def _quarantined(self, detail: str) -> attempt.Outcome:
        self.close()
        return attempt.Outcome(retry_policy.Failure.QUARANTINED, detail=detail)

    def collect_outcome(self) -> attempt.Outcome | None:
        """Ends the attempts that are done; returns the outcome of the last."""
        for running in list(self._running):
            if not running.receiver.done.done():
                continue
            outcome = running_attempt.checked_outcome(
                running.receiver, self._reply.progress
            )
            self._end(running)
            self.last_server = running.server
            if outcome.failure is None:
                self._second.record_answer(running.server)
                return outcome
            if not self._running:
                return outcome
            self._failures.record(
                self._admitted, outcome, running.server, self._reply
            )
        return None

    def check_quarantine(self) -> None:
        """Has the attempts checked against changed quarantines."""
        self._changed.set()

    def close(self) -> None:
        """Ends all attempts."""
        for running in list(self._running):
            self._end(running)
        self._second.end()

    def set_writable(self, writable: bool) -> None:
        """Pauses reading from the runners while the caller reads too slowly."""
        self._paused = not writable
        for running in self._running:
            self._apply_backpressure(running)

    def _find_path(self) -> paths.Path | None:
        board = self._context.board
        engine = self._admitted.service.engine
        assert engine is not None
        now = self._loop.time()
        needs = self._admitted.needs
        requirements = path_choice.make_requirements(board, needs)
        board.hold_offs.expire(now)
        usable = board.usable(self._admitted.service.id)
        finder = board.path_finder(engine, now)
        untried = self._failures.untried(usable)
        for servers in board.hold_offs.by_preference(untried):
            if self._reply.progress.sent:
                path = successor_paths.find_path(
                    finder, servers, requirements, self._context.rng
                )
            else:
                path = path_choice.find_path(
                    board, finder, servers, requirements, now
                )
            if path is not None:
                break
        if path is None and self._reply.progress.started:
            path = finder.find(usable, requirements)
        if path is None:
            self.no_path_detail = path_explanation.explain(
                engine, board.load_tracker, finder, usable, requirements
            )
            return None
        if not board.link_budget.has_room(now, path, board.routers):
            detail = path_explanation.explain_by_domain(
                engine, board.load_tracker, finder, usable, requirements
            )
            self.no_path_detail = f"the pipes are full; {detail}"
            return None
        return path

    async def _start_successor(self) -> None:
        """Starts a successor of a silent attempt if one was requested."""
        path, self._successor_path = self._successor_path, None
        if path is None or len(self._running) != 1:
            return
        (first,) = self._running
        first.stream.release_resume_path(self._context.board)
        silent_since = first.receiver.last_byte_at
        outcome = await self._start(path, beside=first)
        if outcome is not None and not first.has_gone_on(silent_since):
            self._failures.record(
                self._admitted, outcome, path.first, self._reply
            )
        self._update_pairing()

    async def _start(
        self, path: paths.Path, beside: running_attempt.Running | None = None
    ) -> attempt.Outcome | None:
        """Starts an attempt.

        Args:
            path: the path that it uses.
            beside: a silent attempt that it succeeds, unless that one has gone
                on in the meantime.

        Returns:
            The outcome if the request was not sent.
        """
        context = self._context
        admitted = self._admitted
        engine = admitted.service.engine
        assert engine is not None
        now = self._loop.time()
        self._reply.paths.append(path_explanation.format_path(path))
        self.last_server = path.first
        if beside is None:
            # That of a successor was recorded with its path's reservation.
            context.board.link_budget.record_transfer(
                now, engine, path, admitted.prompt_tokens
            )
        running = self._new_attempt(path, now)
        running.stream.reserve(context.board)
        running.stream.begin_prompt(context.board)
        upstream: http_call.Connection | attempt.Outcome | None = None
        silent_since = beside.receiver.last_byte_at if beside else 0.0
        try:
            upstream = await self._sender.connect(path.first)
        finally:
            if not isinstance(upstream, http_call.Connection):
                self._end(running)
        if isinstance(upstream, attempt.Outcome):
            return upstream
        detail = ""
        if self._is_quarantined():
            detail = "quarantined"
        elif beside and beside.has_gone_on(silent_since):
            detail = "the stream has gone on"
        elif self._holds_off(path):
            detail = "a runner holds off"
        if detail:
            upstream.abort()
            self._end(running)
            return attempt.Outcome(retry_policy.Failure.NOT_SENT, detail=detail)
        running.upstream = upstream
        running.run.sent_at = self._loop.time()
        context.board.runs.begin(running.run)
        self._running.append(running)
        self._update_pairing()
        context.monitor.add(running.stream)
        running.receiver.done.add_done_callback(self._on_change)
        self._sender.send(
            upstream,
            admitted,
            path.first,
            running.receiver,
            remaining=admitted.deadline - self._loop.time(),
            path=path,
            last_event_id=self._last_event_id,
        )
        if self._second.is_on:
            self._second.record_sent(
                path.first,
                second_streams.expected_seconds(admitted, path),
                self._on_second_due,
            )
        self._apply_backpressure(running)
        return None

    def _holds_off(self, path: paths.Path) -> bool:
        """Returns whether a runner wants nothing, since the path was found."""
        holds_off = self._context.board.hold_offs.holds_off
        return any(holds_off(part.server.lifetime) for part in path.parts)

    def _new_attempt(
        self, path: paths.Path, now: float
    ) -> running_attempt.Running:
        events = sse.EventSplitter(self._last_event_id)
        receiver = attempt.ResponseReceiver(
            self._context.names,
            self._admitted.request_id,
            events=events,
            on_events=lambda head, data: self._on_events(running, head, data),
            on_announcement=functools.partial(
                self._context.failure_recorder.record_announcement, path.first
            ),
        )
        stream = running_stream.Stream(
            self._admitted,
            path,
            receiver,
            now,
            self._admitted.held_tokens,
            self._reply.progress,
            excluded_ids=self._failures.tried,
            on_successor=self._on_successor,
        )
        run = attempt.new_run(
            self._admitted,
            path.first,
            now,
            survived=self._reply.progress.survived,
        )
        running = running_attempt.Running(stream, events, run)
        return running

    def _end(self, running: running_attempt.Running) -> None:
        """Ends an attempt and releases what it holds."""
        if running in self._running:
            self._running.remove(running)
            self._update_pairing()
        if running.upstream is not None:
            running.upstream.abort()
        running.events.restart()
        running.receiver.release()
        if running.receiver.done.done():
            self._reply.progress.discount(
                running.receiver.done.result().failure
            )
        self._context.monitor.remove(running.stream)
        running.stream.release(self._context.board)
        if self._context.board.runs.end(
            self._loop.time(), running.run, attempt.run_end(running.receiver)
        ):
            self._record_survival(running.run)

    def _record_survival(self, run: runs.Run) -> None:
        self._reply.progress.survived = True
        self._context.board.guard.record_survival(self._loop.time(), run)

    def _update_pairing(self) -> None:
        for running in self._running:
            running.stream.paired = len(self._running) > 1

    def _on_events(
        self,
        running: running_attempt.Running,
        head: http_call.Head,
        data: bytes,
    ) -> None:
        board = self._context.board
        self._second.record_answer(running.server)
        for other in [each for each in self._running if each is not running]:
            self._context.log.write(
                "attempt superseded",
                request=running.stream.request_id,
                server=other.server.id,
                by=running.server.id,
            )
            unfinished = not other.receiver.done.done()
            self._end(other)
            if unfinished and crash_checks.has_terminated(board, other.server):
                self._reply.progress.terminated_runs += 1
        count = data.count(sse.DELIMITER)
        if board.runs.record_events(self._loop.time(), running.run, count):
            self._record_survival(running.run)
        running.stream.end_prompt(board)
        self._last_event_id = running.events.last_id
        self._reply.on_events(head, data)

    def _on_successor(self, path: paths.Path) -> None:
        self._successor_path = path
        self._changed.set()

    def _on_second_due(self) -> None:
        if len(self._running) == 1:
            second_streams.start(
                self._context, self._second, self._running[0].stream
            )

    def _on_change(self, done: "asyncio.Future[attempt.Outcome]") -> None:
        self._changed.set()

    def _apply_backpressure(self, running: running_attempt.Running) -> None:
        if running.upstream is None:
            return
        running.stream.set_paused(self._paused, self._loop.time())
        if self._paused:
            running.upstream.pause()
        else:
            running.upstream.resume()
