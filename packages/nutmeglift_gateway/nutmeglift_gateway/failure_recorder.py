"""Records failures of backend servers: on the board, in the log, in metrics."""

import asyncio

from nutmeglift_gateway import board as boards
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import directory
from nutmeglift_gateway import metrics as metric_sets
from nutmeglift_gateway import suspect_servers

MAX_LOGGED_SUSPECT_COUNT = 8
"""Suspect requests that are named in the log line of a crash."""


class FailureRecorder:
    """Marks servers as suspect; all failures are recorded through it."""

    def __init__(
        self,
        board: boards.Board,
        log: decision_log.DecisionLog,
        metrics: metric_sets.Metrics,
    ) -> None:
        self._board = board
        self._log = log
        self._metrics = metrics

    def record(
        self,
        server: directory.Server,
        reason: suspect_servers.Reason,
        detail: str,
    ) -> None:
        """Excludes a server from use until it has recovered.

        Args:
            server: the server.
            reason: why it is suspect.
            detail: evidence of the failure, for the log.
        """
        now = asyncio.get_running_loop().time()
        if not self._board.suspect(now, server, reason):
            return
        self._metrics.suspects.labels(reason.value).inc()
        self._log.write(
            "server suspect",
            server=server.id,
            address=server.address,
            reason=reason.value,
            detail=detail,
        )
        if reason is suspect_servers.Reason.CRASHED:
            self._record_crash(now, server)

    def _record_crash(self, now: float, server: directory.Server) -> None:
        """Logs which requests a crash ended, and which may have caused it."""
        crash = self._board.runs.take_ended(now, server.lifetime)
        if crash is None:
            return
        self._metrics.crashed_runs.labels("suspect").inc(len(crash.suspects))
        self._metrics.crashed_runs.labels("other").inc(crash.other_count)
        self._log.write(
            "server ended runs",
            server=server.id,
            address=server.address,
            service=server.service,
            suspects=[
                {
                    "request": run.request_id,
                    "segments": run.segments,
                    "waited": round(crash.at - run.sent_at, 3),
                }
                for run in crash.suspects[:MAX_LOGGED_SUSPECT_COUNT]
            ],
            suspect_count=len(crash.suspects),
            others=crash.other_count,
        )

    def record_by_address(
        self, address: str, reason: suspect_servers.Reason, detail: str
    ) -> None:
        """Records a failure of the server at an address, if one is listed."""
        server = self._board.server_at(address)
        if server is not None:
            self.record(server, reason, detail)
