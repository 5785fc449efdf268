"""Decides whether a stream is resumed by a successor of its attempt."""

import random

from nutmeglift_gateway import board as boards
from nutmeglift_gateway import crash_checks
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import metrics as metric_sets
from nutmeglift_gateway import path_explanation
from nutmeglift_gateway import paths
from nutmeglift_gateway import retry_budget
from nutmeglift_gateway import retry_policy
from nutmeglift_gateway import running_stream
from nutmeglift_gateway import successor_paths

SUCCESSOR_RETRY_SECONDS = 0.12
"""Delay before another search for a successor's path: it takes CPU time, and
its inputs change only a few times a second."""


class StreamResumer:
    """Secures a path for the successors of attempts that have stopped."""

    def __init__(
        self,
        board: boards.Board,
        log: decision_log.DecisionLog,
        metrics: metric_sets.Metrics,
        rng: random.Random,
    ) -> None:
        self._board = board
        self._rng = rng
        self._log = log
        self._metrics = metrics

    def start_successor(
        self,
        stream: running_stream.Stream,
        now: float,
        detail: str,
        *,
        may_cross: bool = True,
    ) -> bool:
        """Starts a successor of an attempt whose first runner may be lost.

        A silent runner may be sound. Therefore the attempt goes on until its
        successor delivers an event, and a successor is started only once its
        path is reserved and its retry is charged.

        Args:
            stream: the attempt.
            now: event loop time in seconds.
            detail: why a successor is started, for the log.
            may_cross: whether the successor's path may cross between failure
                domains. To process the tokens so far on a crossing path, their
                activations are sent over the link between the domains.

        Returns:
            Whether a successor is started.
        """
        if stream.paired or now < stream.resume_not_before:
            return False
        if not self.has_stopped(stream, now):
            return False
        stream.resume_not_before = now + SUCCESSOR_RETRY_SECONDS
        path = self._find_resume_path(
            stream, now, {stream.path.first.id}, may_cross=may_cross
        )
        if path is None or not self._try_spend_retry(stream, now):
            return False
        self.begin_successor(stream, now, path, detail)
        return True

    def begin_successor(
        self,
        stream: running_stream.Stream,
        now: float,
        path: paths.Path,
        detail: str,
    ) -> None:
        """Reserves a path for a successor whose retry is charged.

        Args:
            stream: the attempt.
            now: event loop time in seconds.
            path: the successor's path.
            detail: why a successor is started, for the log.
        """
        # Without the reservation, streams that lose the same runner would all
        # choose the same free capacity.
        stream.reserve_resume_path(self._board, path)
        engine = stream.admitted.service.engine
        assert engine is not None
        self._board.link_budget.record_transfer(
            now, engine, path, stream.admitted.prompt_tokens
        )
        stream.paired = True
        self._metrics.repairs.labels("resume", "started").inc()
        self._log.write(
            "successor started",
            request=stream.request_id,
            detail=detail,
            silent=round(now - stream.receiver.last_byte_at, 3),
            first=stream.path.first.id,
            path=path_explanation.format_path(path),
        )
        stream.on_successor(path)

    def find_other_path(
        self, stream: running_stream.Stream, now: float
    ) -> paths.Path | None:
        """Returns a path that shares no runner with a stream's, or None.

        What slows the stream may be any runner of its path.
        """
        on_path = {part.server.id for part in stream.path.parts}
        return self._find_resume_path(stream, now, on_path, may_cross=False)

    def has_stopped(self, stream: running_stream.Stream, now: float) -> bool:
        """Returns whether a stream is silent or has lost a runner.

        An event since the loss shows that the stream goes on. So does one that
        came after a runner's entry was removed: a runner may serve on without
        an entry.
        """
        silence = stream.silence(now)
        if silence.silent >= silence.limit:
            return True
        last_event_at = stream.receiver.last_byte_at
        down_since = self._board.suspect_servers.down_since
        return any(
            (since := down_since(part.server.address)) is not None
            and since > last_event_at
            for part in stream.path.parts
        )

    def _find_resume_path(
        self,
        stream: running_stream.Stream,
        now: float,
        left_ids: set[str],
        *,
        may_cross: bool,
    ) -> paths.Path | None:
        """Returns a path without the runners to leave, or None."""
        board = self._board
        engine = stream.admitted.service.engine
        if engine is None or not self._may_retry(stream):
            return None
        excluded = stream.excluded_ids | left_ids
        path = successor_paths.find_path(
            board.path_finder(engine, now),
            [
                server
                for server in board.usable(stream.admitted.service.id)
                if server.id not in excluded
            ],
            paths.PathRequirements(
                board.home, stream.tokens, may_cross=may_cross
            ),
            self._rng,
        )
        if path is None or not board.link_budget.has_room(
            now, path, board.routers
        ):
            return None
        return path

    def _may_retry(self, stream: running_stream.Stream) -> bool:
        """Returns whether a stream's request may be sent once more."""
        route = stream.admitted.route
        progress = stream.progress
        board = self._board
        server_lost = crash_checks.has_terminated(board, stream.path.first)
        return route.repeatable and retry_policy.has_attempts_left(
            route, progress, server_lost=server_lost
        )

    def _try_spend_retry(
        self, stream: running_stream.Stream, now: float
    ) -> bool:
        board = self._board
        return board.budget(stream.admitted.service.id).try_spend(
            now,
            board.budgets.record_routers(now, board.routers),
            retry_budget.purpose(started=stream.progress.started),
        )
