"""Answers the platform's readiness checks and requests for metrics."""

import asyncio

from nutmeglift_gateway import board as boards
from nutmeglift_gateway import caller_request
from nutmeglift_gateway import drain
from nutmeglift_gateway import freshness
from nutmeglift_gateway import http_listener
from nutmeglift_gateway import metrics as metric_sets
from nutmeglift_gateway import store_reader
from nutmeglift_gateway.load import waiting_room


class PlatformChecks:
    """Tells whether a router is ready, and its metrics."""

    def __init__(
        self,
        readiness_path: str,
        board: boards.Board,
        reader: store_reader.StoreReader,
        waiting: waiting_room.WaitingRoom,
        metrics: metric_sets.Metrics,
    ) -> None:
        """Initializes the checks.

        Args:
            readiness_path: path of the readiness check; all others show the
                metrics.
            board: the router's shared state.
            reader: reader of the store.
            waiting: the requests that wait.
            metrics: the metrics.
        """
        self._readiness_path = readiness_path
        self._board = board
        self._reader = reader
        self._waiting = waiting
        self._metrics = metrics

    def respond(
        self,
        connection: http_listener.CallerConnection,
        request: caller_request.Request,
    ) -> None:
        """Writes the response to a check."""
        path = request.target.partition("?")[0]
        if path == self._readiness_path:
            status = b"200 OK" if self.is_ready() else b"503 Not Ready"
            body = b""
        else:
            status, body = b"200 OK", self._metrics_text()
        keep_alive = drain.keeps_open(
            requested=request.keep_alive,
            draining=self._board.draining,
            has_queued=connection.has_queued,
        )
        connection.write(
            b"HTTP/1.1 %b\r\ncontent-type: text/plain\r\n"
            b"content-length: %d\r\n%b\r\n%b"
            % (
                status,
                len(body),
                b"" if keep_alive else b"connection: close\r\n",
                b"" if request.is_head else body,
            )
        )
        connection.finish(keep_alive=keep_alive)

    def is_ready(self) -> bool:
        """Returns whether the router accepts new connections."""
        return (
            not self._board.draining
            and self._board.catalog is not None
            and self._board.freshness.is_fresh(freshness.boot_clock())
        )

    def _metrics_text(self) -> bytes:
        board, metrics = self._board, self._metrics
        if board.catalog is not None:
            metrics.generation.set(board.catalog.generation)
            age = board.freshness.age(freshness.boot_clock())
            metrics.confirmation_age.set(age)
        view = self._reader.view
        metrics.view_age.set(view.view_age.age(freshness.boot_clock()))
        behind = view.catalog.lag.behind_for(freshness.boot_clock())
        metrics.catalog_behind.set(behind)
        metrics.holding_off.set(board.hold_offs.count)
        end = board.directory.lapse_window_end
        left = max(0.0, end - asyncio.get_running_loop().time())
        metrics.lapse_window.set(left)
        self._waiting.update_metrics()
        return metrics.text()
