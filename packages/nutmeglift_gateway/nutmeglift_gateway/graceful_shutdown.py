"""Carries out the graceful shutdown of a router after SIGTERM."""

import asyncio
from collections.abc import Callable
from collections.abc import Set

from nutmeglift_gateway import board as boards
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import drain
from nutmeglift_gateway import http_listener


class GracefulShutdown:
    """Lets the requests of a router end before its process does."""

    def __init__(
        self,
        board: boards.Board,
        callers: Set[http_listener.CallerConnection],
        exchanges: Set["asyncio.Task[None]"],
        log: decision_log.DecisionLog,
        shutdown_seconds: float,
        signal_age_seconds: float = 0.0,
    ) -> None:
        """Begins a shutdown.

        Args:
            board: the router's shared state.
            callers: the callers' open connections.
            exchanges: the tasks that process requests.
            log: log of decisions.
            shutdown_seconds: time from SIGTERM until the process is killed.
            signal_age_seconds: time since SIGTERM.
        """
        self._board = board
        self._callers = callers
        self._exchanges = exchanges
        self._log = log
        self._shutdown_seconds = shutdown_seconds
        self._loop = asyncio.get_running_loop()
        self._began_at = self._loop.time() - signal_age_seconds
        board.draining = True
        board.exit_at = (
            self._began_at + shutdown_seconds - drain.EXIT_MARGIN_SECONDS
        )
        board.refusing = self._judge() is not drain.Step.ACCEPT
        log.write(
            "draining",
            in_flight=len(exchanges),
            signal_age=round(signal_age_seconds, 3),
        )

    async def run(self, stop_listening: Callable[[], None]) -> None:
        """Returns once all callers have their responses, or time is up.

        Args:
            stop_listening: closes the port for callers.
        """
        # Callers that connected while the program was loaded are accepted
        # first, so that they get a refusal even if it is too late to serve.
        await asyncio.sleep(drain.TICK_SECONDS)
        while True:
            if drain.closes_idle_connections(self._elapsed()):
                for connection in list(self._callers):
                    connection.close_if_reused()
            step = self._judge()
            if step is drain.Step.EXIT:
                break
            self._board.refusing = step is not drain.Step.ACCEPT
            await asyncio.sleep(drain.TICK_SECONDS)
        self._board.refusing = True
        in_flight = len(self._exchanges)
        # The port is closed last. A refused request is retried at another
        # router, while a closed port leads to none if the failure domain has no
        # other router.
        stop_listening()
        await self._end_connections()
        self._log.write(
            "stopped", in_flight=in_flight, unsent=len(self._callers)
        )

    def _elapsed(self) -> float:
        """Returns the seconds since SIGTERM."""
        return self._loop.time() - self._began_at

    def _judge(self) -> drain.Step:
        return drain.judge(
            elapsed=self._elapsed(),
            in_flight=len(self._exchanges),
            unsettled=sum(not each.is_settled for each in self._callers),
            shutdown_seconds=self._shutdown_seconds,
        )

    async def _end_connections(self) -> None:
        """Ends what is still in flight and waits until it has been sent."""
        for task in list(self._exchanges):
            task.cancel()
        flush_until = self._loop.time() + drain.FLUSH_SECONDS
        while self._callers and self._loop.time() < flush_until:
            # Requests of the connections that were accepted last can arrive
            # first; they are refused.
            await asyncio.sleep(drain.TICK_SECONDS)
            for connection in list(self._callers):
                connection.close_if_idle()
