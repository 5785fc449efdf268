"""Records failures of backend servers: on the board, in the log, in metrics."""

import asyncio

from nutmeglift import errors
from nutmeglift_gateway import announcements
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import directory
from nutmeglift_gateway import hold_offs
from nutmeglift_gateway import metrics as metric_sets
from nutmeglift_gateway import runs
from nutmeglift_gateway import suspect_servers

MAX_LOGGED_SUSPECT_COUNT = 8
"""Suspect requests that are named in the log line of a crash."""
MAX_LOGGED_VALUE_LENGTH = 32


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
        if (
            reason is suspect_servers.Reason.NO_REPORT
            and self._board.hold_offs.holds_off(server.lifetime)
        ):
            # It has turned the request for a report away.
            return
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
            self.record_ended(now, server.lifetime)

    def record_ended(self, now: float, lifetime: runs.Lifetime) -> None:
        """Records the requests that a server's end has ended.

        Args:
            now: loop time in seconds.
            lifetime: the lifetime of the server.
        """
        server = self._board.directory.server_by_id.get(lifetime[0])
        crash = self._board.runs.take_ended(now, lifetime)
        if crash is None:
            # A peer may have reported the suspects before.
            self._board.guard.judge(now)
            return
        self._metrics.crashed_runs.labels("suspect").inc(len(crash.suspects))
        self._metrics.crashed_runs.labels("other").inc(crash.other_count)
        self._log.write(
            "server ended runs",
            server=lifetime[0],
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
        self._board.guard.record_crash(
            now, crash, server.version if server is not None else ""
        )

    def record_announcement(
        self, server: directory.Server, found: announcements.Announcement
    ) -> None:
        """Records what a server has said of itself in a response."""
        if found.hold_off is not None:
            self.record_hold_off(server, found.hold_off, found.fault)
        now = asyncio.get_running_loop().time()
        if found.leaving and self._board.directory.record_leaving(now, server):
            self._log.write(
                "server leaving", server=server.id, address=server.address
            )

    def record_hold_off(
        self, first: directory.Server, raw: bytes, fault: bytes
    ) -> None:
        """Records that a server wants nothing from this router for a time.

        Args:
            first: the server that responded.
            raw: the time that it named.
            fault: address of the server that it blames; empty for none. The
                time holds for that one too if it is a runner of the same
                service; a plain server depends on no other.
        """
        self._record_hold_off(first, first, raw)
        server = self._board.server_at(fault.decode("latin-1"))
        if server is None or server.service != first.service or not first.kind:
            return
        if server.lifetime != first.lifetime:
            self._record_hold_off(server, first, raw)

    def _record_hold_off(
        self, server: directory.Server, first: directory.Server, raw: bytes
    ) -> None:
        now = asyncio.get_running_loop().time()
        state = self._board.hold_offs
        try:
            seconds = hold_offs.parse_seconds(raw)
        except errors.MalformedMessageError as error:
            self._metrics.hold_offs.labels("malformed").inc()
            if state.record_malformed(server.lifetime):
                self._log.write(
                    "hold-off malformed",
                    server=server.id,
                    address=server.address,
                    value=raw[:MAX_LOGGED_VALUE_LENGTH].decode("latin-1"),
                    detail=str(error),
                )
            return
        if not state.record(now, server.lifetime, seconds):
            return
        self._metrics.hold_offs.labels("begun").inc()
        self._log.write(
            "server holds off",
            server=server.id,
            address=server.address,
            seconds=seconds,
            asked_by=first.id,
        )

    def record_hold_off_at(self, address: str, raw: bytes) -> None:
        """Records that the server at an address turned a control call away."""
        server = self._board.server_at(address)
        if server is not None:
            self.record_hold_off(server, raw, b"")

    def record_by_address(
        self, address: str, reason: suspect_servers.Reason, detail: str
    ) -> None:
        """Records a failure of the server at an address, if one is listed."""
        server = self._board.server_at(address)
        if server is not None:
            self.record(server, reason, detail)
