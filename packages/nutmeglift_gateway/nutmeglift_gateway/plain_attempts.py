"""Runs the attempts at one request to a plain service.

A second attempt may run beside a slow first one. The first of the two that
succeeds is the response, and the other one is ended.
"""

import asyncio
import dataclasses
import functools

from nutmeglift_gateway import admission
from nutmeglift_gateway import attempt
from nutmeglift_gateway import attempt_failures
from nutmeglift_gateway import context as contexts
from nutmeglift_gateway import directory
from nutmeglift_gateway import http_call
from nutmeglift_gateway import loads
from nutmeglift_gateway import reply as replies
from nutmeglift_gateway import retry_policy
from nutmeglift_gateway import runs
from nutmeglift_gateway import second_attempts
from nutmeglift_gateway import sender as senders
from nutmeglift_gateway import server_selection

MAX_PENALTY_REQUESTS = 1.0
"""A server with a greater penalty has lost responses recently, and gets no
second attempts."""

_LOST_OR_INVALID = frozenset(
    {retry_policy.Failure.LOST, retry_policy.Failure.INVALID}
)


@dataclasses.dataclass(eq=False)
class _Running:
    """An attempt that was sent and has not ended."""

    server: directory.Server
    receiver: attempt.ResponseReceiver
    run: runs.Run
    upstream: http_call.Connection
    reserved: tuple[loads.Reservation, ...]


class PlainAttempts:
    """The attempts at one plain request, of which at most two run at a time.

    Attributes:
        last_server: server of the attempt that began, or failed, last.
    """

    def __init__(
        self,
        context: contexts.Context,
        sender: senders.Sender,
        admitted: admission.Admitted,
        reply: replies.Reply,
        failures: attempt_failures.FailureHandler,
    ) -> None:
        """Initializes without any attempt.

        Args:
            context: the router's shared components.
            sender: sends the request.
            admitted: the request.
            reply: the response to the caller.
            failures: handles failed attempts.
        """
        self.last_server: directory.Server | None = None
        self._context = context
        self._sender = sender
        self._admitted = admitted
        self._reply = reply
        self._failures = failures
        self._running: list[_Running] = []
        self._changed = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._second = second_attempts.SecondAttempt(context, admitted, reply)
        self._starting: asyncio.Task[None] | None = None

    async def next_outcome(self) -> attempt.Outcome | None:
        """Makes an attempt and returns how the last one running has ended.

        Returns:
            None if no server is available.
        """
        server = self._select_server()
        if server is None:
            return None
        self.last_server = server
        outcome = await self._start(server)
        while outcome is None:
            await self._changed.wait()
            self._changed.clear()
            if self._starting is not None and self._starting.done():
                self._starting.result()
                self._starting = None
            outcome = self.collect_outcome()
        return outcome

    def collect_outcome(self) -> attempt.Outcome | None:
        """Ends the attempts that are done; returns the outcome of the last."""
        for running in list(self._running):
            if not running.receiver.done.done():
                continue
            outcome = running.receiver.done.result()
            self._end(running)
            self.last_server = running.server
            if outcome.failure is None:
                self._second.record_answer(running.server)
                return outcome
            if outcome.failure in _LOST_OR_INVALID:
                self._context.board.penalties.record_loss(
                    self._now(), running.server.address
                )
            if not self._running:
                return outcome
            self._failures.record(
                self._admitted, outcome, running.server, self._reply
            )
        return None

    def close(self) -> None:
        """Ends all attempts."""
        if self._starting is not None:
            self._starting.cancel()
            self._starting = None
        for running in list(self._running):
            self._end(running)
        self._second.end()

    def _candidates(self) -> list[directory.Server]:
        """Returns the servers that the request was not sent to, if any."""
        board = self._context.board
        engine = self._admitted.service.engine
        board.hold_offs.expire(self._now())
        usable = board.usable(self._admitted.service.id)
        candidates = self._failures.untried(usable)
        if engine is not None:
            # Requests that do not stream need a runner that holds all layers.
            candidates = [
                s for s in candidates if s.layers.count == engine.layers
            ]
        return candidates

    def _select_server(self) -> directory.Server | None:
        candidates = self._candidates()
        full = self._context.board.load_tracker.full(self._now())
        candidates = [
            s for s in candidates if s.address not in full
        ] or candidates
        return self._least_loaded(candidates)

    def _least_loaded(
        self, candidates: list[directory.Server]
    ) -> directory.Server | None:
        board = self._context.board
        return server_selection.select_server(
            self._now(),
            board.hold_offs.by_preference(candidates)[0],
            board.load_tracker,
            board.home,
            board.penalties,
        )

    def _on_second_due(self) -> None:
        """Starts a second attempt beside a slow one, if allowed."""
        if len(self._running) != 1 or not self._second.may_seek():
            return
        board = self._context.board
        now = self._now()
        first = self._running[0].server
        full = board.load_tracker.full(now)
        server = self._least_loaded(
            [
                s
                for s in self._candidates()
                if s.address != first.address
                and s.address not in full
                and board.penalties.value(now, s.address) < MAX_PENALTY_REQUESTS
            ]
        )
        has_room = server is not None and (
            board.load_tracker.at(server.address).requests < server.slots
        )
        if not self._second.may_start(first, server, has_room=has_room):
            return
        assert server is not None
        self._starting = self._loop.create_task(self._start_second(server))
        self._starting.add_done_callback(lambda task: self._changed.set())

    async def _start_second(self, server: directory.Server) -> None:
        outcome = await self._start(server)
        if outcome is not None:
            self._failures.record(self._admitted, outcome, server, self._reply)

    async def _start(self, server: directory.Server) -> attempt.Outcome | None:
        """Sends the request to a server.

        Returns:
            The outcome if the request was not sent.
        """
        context = self._context
        reserved = (loads.Reservation(server.address, True, 0.0),)
        context.board.load_tracker.reserve(reserved)
        upstream: http_call.Connection | attempt.Outcome | None = None
        try:
            upstream = await self._connect(server)
        finally:
            if not isinstance(upstream, http_call.Connection):
                context.board.load_tracker.release(reserved)
        if isinstance(upstream, attempt.Outcome):
            return upstream
        receiver = attempt.ResponseReceiver(
            context.names,
            self._admitted.request_id,
            events=None,
            on_events=None,
            on_announcement=functools.partial(
                context.failure_recorder.record_announcement, server
            ),
        )
        receiver.done.add_done_callback(lambda done: self._changed.set())
        run = self._begin_run(server)
        self._running.append(
            _Running(server, receiver, run, upstream, reserved)
        )
        self._sender.send(
            upstream,
            self._admitted,
            server,
            receiver,
            remaining=self._admitted.deadline - self._now(),
        )
        self._second.record_sent(server, 1.0, self._on_second_due)
        return None

    async def _connect(
        self, server: directory.Server
    ) -> http_call.Connection | attempt.Outcome:
        upstream = await self._sender.connect(server)
        if isinstance(upstream, attempt.Outcome):
            return upstream
        if self._context.board.guard.find_for(
            self._admitted.segments,
            self._admitted.request_id.decode("latin-1"),
        ):
            upstream.abort()
            return attempt.Outcome(
                retry_policy.Failure.NOT_SENT, detail="quarantined"
            )
        return upstream

    def _begin_run(self, server: directory.Server) -> runs.Run:
        run = attempt.new_run(self._admitted, server, self._now())
        if self._admitted.service.engine is not None:
            self._context.board.runs.begin(run)
        return run

    def _end(self, running: _Running) -> None:
        """Ends an attempt and releases what it holds."""
        self._running.remove(running)
        running.upstream.abort()
        if running.receiver.done.done():
            self._reply.progress.discount(
                running.receiver.done.result().failure
            )
        self._context.board.runs.end(
            self._now(), running.run, attempt.run_end(running.receiver)
        )
        self._context.board.load_tracker.release(running.reserved)

    def _now(self) -> float:
        return self._loop.time()
