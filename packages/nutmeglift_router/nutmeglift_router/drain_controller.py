"""Drains a router: refuses new work and waits for requests in flight."""

from collections.abc import Callable

from starlette import types

from nutmeglift import blackboard
from nutmeglift import drain
from nutmeglift_router import blackboard_entries
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

POLL_INTERVAL_SECONDS = 0.05


class DrainController:
    """Runs the router's drain and publishes its state on the blackboard."""

    def __init__(
        self,
        drain_state: drain.Drain,
        *,
        board: blackboard.Blackboard,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
        limit_seconds: float,
        count_other_work: Callable[[], int],
    ) -> None:
        self._drain = drain_state
        self._board = board
        self._clock = clock
        self._metrics = metrics
        self._limit_seconds = limit_seconds
        self._count_other_work = count_other_work

    async def run(self) -> None:
        """Refuses new work and waits for the work in flight, up to the limit.

        Counts the work that is still unfinished at the drain limit as
        "drain.cut".
        """
        self._drain.begin(self._clock.now())
        self._publish()
        while not self._drain.settle(
            self._clock.now(), self._limit_seconds, self._count_other_work()
        ):
            await self._clock.sleep(POLL_INTERVAL_SECONDS)
        unfinished = self._drain.in_flight + self._count_other_work()
        if unfinished:
            self._metrics.count("drain.cut", unfinished)
        self._publish()

    def _publish(self) -> None:
        self._board.write(
            blackboard_entries.DRAIN,
            self._drain.state,
            blackboard.Controller.DRAIN,
        )


class DrainMiddleware:
    """ASGI middleware; counts a request as in flight until its last byte."""

    def __init__(self, app: types.ASGIApp, drain_state: drain.Drain) -> None:
        self._app = app
        self._drain = drain_state

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serves one request and counts it for its whole duration."""
        self._drain.enter()
        try:
            await self._app(scope, receive, send)
        finally:
            self._drain.leave()
