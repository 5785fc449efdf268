"""Runs the attempts at one request to a plain service."""

import asyncio
import functools

from nutmeglift_gateway import admission
from nutmeglift_gateway import attempt
from nutmeglift_gateway import attempt_failures
from nutmeglift_gateway import context as contexts
from nutmeglift_gateway import directory
from nutmeglift_gateway import loads
from nutmeglift_gateway import retry_policy
from nutmeglift_gateway import runs
from nutmeglift_gateway import sender as senders
from nutmeglift_gateway import server_selection

_LOST_OR_INVALID = frozenset(
    {retry_policy.Failure.LOST, retry_policy.Failure.INVALID}
)


class PlainAttempts:
    """The attempts at one plain request.

    Attributes:
        last_server: server of the attempt that began last.
    """

    def __init__(
        self,
        context: contexts.Context,
        sender: senders.Sender,
        admitted: admission.Admitted,
        progress: retry_policy.Progress,
        failures: attempt_failures.FailureHandler,
    ) -> None:
        """Initializes without any attempt.

        Args:
            context: the router's shared components.
            sender: sends the request.
            admitted: the request.
            progress: attempts made so far for the request.
            failures: handles failed attempts.
        """
        self.last_server: directory.Server | None = None
        self._context = context
        self._sender = sender
        self._admitted = admitted
        self._progress = progress
        self._failures = failures
        self._receiver: attempt.ResponseReceiver | None = None
        self._loop = asyncio.get_running_loop()

    async def next_outcome(self) -> attempt.Outcome | None:
        """Makes an attempt and returns how it has ended.

        Returns:
            None if no server is available.
        """
        board = self._context.board
        server = self._select_server()
        if server is None:
            return None
        self.last_server = server
        reserved = (loads.Reservation(server.address, True, 0.0),)
        board.load_tracker.reserve(reserved)
        try:
            outcome = await self._send(server)
        finally:
            board.load_tracker.release(reserved)
        if outcome.failure in _LOST_OR_INVALID:
            board.penalties.record_loss(self._now(), server.address)
        return outcome

    def collect_outcome(self) -> attempt.Outcome | None:
        """Returns the outcome of the current attempt once it is known."""
        receiver = self._receiver
        if receiver is None or not receiver.done.done():
            return None
        if receiver.done.cancelled():
            return None
        outcome = receiver.done.result()
        self._progress.discount(outcome.failure)
        return outcome

    def _select_server(self) -> directory.Server | None:
        board = self._context.board
        engine = self._admitted.service.engine
        board.hold_offs.expire(self._now())
        usable = board.usable(self._admitted.service.id)
        full = board.load_tracker.full(self._now())
        candidates = self._failures.untried(usable)
        candidates = [
            s for s in candidates if s.address not in full
        ] or candidates
        if engine is not None:
            # Requests that do not stream need a runner that holds all layers.
            candidates = [
                s for s in candidates if s.layers.count == engine.layers
            ]
        candidates = board.hold_offs.by_preference(candidates)[0]
        return server_selection.select_server(
            self._now(),
            candidates,
            board.load_tracker,
            board.home,
            board.penalties,
        )

    async def _send(self, server: directory.Server) -> attempt.Outcome:
        """Sends the request to a server and awaits the end of the response."""
        admitted = self._admitted
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
            on_hold_off=functools.partial(
                self._context.failure_recorder.record_hold_off, server
            ),
        )
        self._receiver = receiver
        run = self._begin_run(server)
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
        outcome = self.collect_outcome()
        assert outcome is not None
        return outcome

    def _begin_run(self, server: directory.Server) -> runs.Run:
        run = attempt.new_run(self._admitted, server, self._now())
        if self._admitted.service.engine is not None:
            self._context.board.runs.begin(run)
        return run

    def _now(self) -> float:
        return self._loop.time()
