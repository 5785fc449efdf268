"""The second attempt at one request: its time, its limit and its metrics."""

import asyncio
from collections.abc import Callable
import dataclasses

from nutmeglift_gateway import admission
from nutmeglift_gateway import context as contexts
from nutmeglift_gateway import directory
from nutmeglift_gateway import reply as replies
from nutmeglift_gateway import retry_budget
from nutmeglift_gateway import retry_policy
from nutmeglift_gateway import runs
from nutmeglift_gateway.load import hedging


@dataclasses.dataclass(frozen=True, slots=True)
class _SentAttempt:
    """One of the two attempts."""

    group: hedging.Group
    expected_seconds: float
    sent_at: float


class SecondAttempt:
    """Decides on the second attempt at one request, and follows it.

    Only the first attempt gets one: a request whose attempt has failed may be
    what ends servers.
    """

    def __init__(
        self,
        context: contexts.Context,
        admitted: admission.Admitted,
        reply: replies.Reply,
    ) -> None:
        """Initializes without any attempt.

        Args:
            context: the router's shared components.
            admitted: the request.
            reply: the response to the caller.
        """
        self._context = context
        self._admitted = admitted
        self._reply = reply
        self._progress = reply.progress
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._sent_by_lifetime: dict[runs.Lifetime, _SentAttempt] = {}
        self._second: runs.Lifetime | None = None

    @property
    def is_on(self) -> bool:
        """Whether the operators ask for second attempts."""
        return self._ratio > 0

    @property
    def _ratio(self) -> float:
        return self._context.board.bounds.second_attempt_ratio

    def record_sent(
        self,
        server: directory.Server,
        expected_seconds: float,
        on_due: Callable[[], None],
    ) -> None:
        """Notes that an attempt was sent; times the first one.

        Args:
            server: the server that it was sent to.
            expected_seconds: time that it can expect on its path.
            on_due: called when the first attempt is slow; has to find another
                server. Only the timer keeps it: a callback of the object that
                holds this one would keep the request until the garbage
                collector runs.
        """
        if not self.is_on:
            return
        now = self._loop.time()
        group = self._group(server)
        self._sent_by_lifetime[server.lifetime] = _SentAttempt(
            group, expected_seconds, now
        )
        route = self._admitted.route
        if self._progress.sent != 1 or not route.repeatable:
            return
        objective_at = now - self._reply.elapsed() + route.objective
        for action in self._context.second_attempts.handle(
            now,
            hedging.Sent(group, expected_seconds, self._ratio, objective_at),
        ):
            if isinstance(action, hedging.WakeAt):
                self._timer = self._loop.call_at(action.at, on_due)

    def may_seek(self) -> bool:
        """Returns whether to look for another server."""
        admitted = self._admitted
        board = self._context.board
        now = self._loop.time()
        return self._is_allowed(
            hedging.Due(
                admitted.service.id,
                admitted.rank,
                draining=board.draining,
                has_attempts_left=retry_policy.has_attempts_left(
                    admitted.route, self._progress
                ),
                suspected=board.guard.is_suspected(admitted.segments)
                or board.guard.find(admitted.segments) is not None,
                within_limit=board.budget(admitted.service.id).can_spend(
                    now,
                    board.budgets.record_routers(now, board.routers),
                    retry_budget.Purpose.SECOND_ATTEMPT,
                ),
            )
        )

    def may_start(
        self,
        first: directory.Server,
        server: directory.Server | None,
        *,
        expected_seconds: float = 1.0,
        has_room: bool = True,
    ) -> bool:
        """Returns whether to send the second attempt, which is then charged.

        Args:
            first: the server of the first attempt.
            server: the other server; None if there is none.
            expected_seconds: time that the request can expect there.
            has_room: whether that server has room to spare.
        """
        admitted = self._admitted
        board = self._context.board
        now = self._loop.time()
        if not self._is_allowed(
            hedging.Found(
                None if server is None else self._group(server),
                expected_seconds,
                has_room,
                now - self._sent_by_lifetime[first.lifetime].sent_at,
                admitted.deadline,
            )
        ):
            return False
        assert server is not None
        if not board.budget(admitted.service.id).try_spend(
            now,
            board.budgets.record_routers(now, board.routers),
            retry_budget.Purpose.SECOND_ATTEMPT,
        ):
            self._deny(hedging.Denial.LIMIT)
            return False
        self._second = server.lifetime
        self._context.metrics.second_attempts.labels("started").inc()
        self._context.log.write(
            "second attempt started",
            request=admitted.request_id.decode("latin-1"),
            service=admitted.service.id,
            first=first.id,
            server=server.id,
        )
        return True

    def record_answer(self, server: directory.Server) -> None:
        """Notes the attempt that has answered; only the first call counts."""
        answered = self._sent_by_lifetime.get(server.lifetime)
        if answered is None:
            return
        now = self._loop.time()
        for sent in self._sent_by_lifetime.values():
            # The other attempt would have taken longer than it has so far.
            if sent is answered or sent.sent_at < answered.sent_at:
                self._context.second_attempts.handle(
                    now,
                    hedging.Answered(
                        sent.group, sent.expected_seconds, now - sent.sent_at
                    ),
                )
        self._finish(won=server.lifetime == self._second)

    def end(self) -> None:
        """Ends the request's attempts."""
        self._finish(won=False)

    def _finish(self, *, won: bool) -> None:
        self._sent_by_lifetime.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._second is not None:
            self._second = None
            self._context.metrics.second_attempts.labels(
                "won" if won else "wasted"
            ).inc()

    def _is_allowed(self, event: hedging.Due | hedging.Found) -> bool:
        now = self._loop.time()
        for action in self._context.second_attempts.handle(now, event):
            if isinstance(action, hedging.Deny):
                self._deny(action.reason)
                return False
        return True

    def _deny(self, reason: hedging.Denial) -> None:
        self._context.metrics.second_attempts_denied.labels(reason.value).inc()

    def _group(self, server: directory.Server) -> hedging.Group:
        return hedging.Group(
            self._admitted.service.id,
            server.domain,
            self._admitted.route.streaming,
        )
