"""Monitors running streams; moves or resumes those on failed runners."""

import asyncio
import random

from nutmeglift_gateway import background_tasks
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import crash_checks
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import failure_recorder as recorders
from nutmeglift_gateway import metrics as metric_sets
from nutmeglift_gateway import pace_reader
from nutmeglift_gateway import path_repair
from nutmeglift_gateway import paths
from nutmeglift_gateway import ports
from nutmeglift_gateway import reachability
from nutmeglift_gateway import running_stream
from nutmeglift_gateway import silence_detection
from nutmeglift_gateway import stalls
from nutmeglift_gateway import stream_resumer
from nutmeglift_gateway import suspect_servers

CHECK_INTERVAL_SECONDS = 0.04
"""A sixth of the shortest gap objective between events."""
DRAIN_TIME_BEFORE_MOVE_RATIO = 0.6
"""Part of a draining runner's drain time after which streams that still run on
it are moved; most streams have ended by then."""
MAX_MOVE_COUNT = 5
"""Move orders for one stream: each order has a cost, and by then the runners
that reported a conflict have been excluded."""
MOVE_RETRY_SECONDS = 0.12
"""Delay before another attempt to move a stream: a path search takes CPU time,
and its inputs change only a few times a second."""
MIN_REPORT_INTERVAL_SECONDS = 0.12
"""Reports lag by 0.2 s, so more frequent requests return nothing new."""


class StreamMonitor:
    """Monitors all running streams of a router.

    Attributes:
        resumer: secures paths for the successors of attempts.
    """

    def __init__(
        self,
        board: boards.Board,
        runners: ports.BaseRunners,
        log: decision_log.DecisionLog,
        metrics: metric_sets.Metrics,
        failure_recorder: recorders.FailureRecorder,
        rng: random.Random,
    ) -> None:
        self._board = board
        self._runners = runners
        self._log = log
        self._metrics = metrics
        self._failure_recorder = failure_recorder
        self._reachability = reachability.ReachabilityChecker(
            failure_recorder, log
        )
        self._pace_reader = pace_reader.PaceReader(
            board, runners, failure_recorder, log
        )
        self.resumer = stream_resumer.StreamResumer(board, log, metrics, rng)
        self._background_tasks = background_tasks.BackgroundTasks(log)
        runners.on_hold_off = failure_recorder.record_hold_off_at
        self._streams: set[running_stream.Stream] = set()
        self._requested_at_by_address: dict[str, float] = {}

    def add(self, stream: running_stream.Stream) -> None:
        """Starts to monitor a stream."""
        self._streams.add(stream)

    def remove(self, stream: running_stream.Stream) -> None:
        """Stops monitoring a stream and releases its reserved resume path."""
        self._streams.discard(stream)
        stream.release_resume_path(self._board)

    async def run(self) -> None:
        """Monitors streams until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self._check_streams(asyncio.get_running_loop().time())

    def _check_streams(self, now: float) -> None:
        streams = [each for each in self._streams if not each.paused]
        silent_addresses = silence_detection.suspected_addresses(
            each.silence(now) for each in streams
        )
        self._reachability.check(
            now,
            {
                address
                for address in silent_addresses
                - self._board.suspect_servers.terminated_addresses()
                if not self._board.holds_off_at(address)
            },
        )
        self._pace_reader.read(now, streams)
        down_addresses = self._board.suspect_servers.down_addresses()
        leaving_addresses = down_addresses | self._leaving_addresses(now)
        report_addresses: set[str] = set()
        for stream in streams:
            if stream.is_busy:
                continue
            if leaving_addresses and self._leave_failed_runners(
                stream, down_addresses, leaving_addresses, now
            ):
                continue
            action = stalls.judge(stream.state(now))
            if action is not stalls.Action.WAIT and crash_checks.is_replaced(
                self._board, stream.path.first
            ):
                stream.receiver.abandon("its first runner was replaced")
                continue
            match action:
                case stalls.Action.WAIT:
                    pass
                case stalls.Action.REQUEST_REPORT:
                    first = stream.path.first
                    if self._board.suspect_servers.gives_no_report(
                        first.address, first.lifetime
                    ):
                        self.resumer.start_successor(
                            stream, now, "its first runner gives no report"
                        )
                    elif not self._try_move(stream):
                        report_addresses.add(stream.path.first.address)
                case stalls.Action.RESUME:
                    self.resumer.start_successor(
                        stream, now, "no event within the silence timeout"
                    )
        for address in report_addresses:
            self._request_report(address, now)

    def _leaving_addresses(self, now: float) -> set[str]:
        """Returns the addresses of runners that streams have to leave."""
        directory_ = self._board.directory
        addresses = self._board.runners_unloading()
        limit = self._board.bounds.drain_seconds * DRAIN_TIME_BEFORE_MOVE_RATIO
        for server_id, since in directory_.draining_since_by_id.items():
            if now - since >= limit:
                addresses.add(directory_.server_by_id[server_id].address)
        return addresses

    def _leave_failed_runners(
        self,
        stream: running_stream.Stream,
        down_addresses: set[str],
        leaving_addresses: set[str],
        now: float,
    ) -> bool:
        """Moves or resumes a stream whose path has a failed or leaving runner.

        Returns:
            Whether the stream has ended or is being moved.
        """
        if stream.path.first.address in down_addresses:
            silence = stream.silence(now)
            if silence.silent >= silence.limit:
                self.resumer.start_successor(
                    stream, now, "its first runner is lost"
                )
            return stream.is_busy
        if now < stream.move_not_before or not any(
            part.server.address in leaving_addresses
            for part in stream.path.parts[1:]
        ):
            return False
        stream.move_not_before = now + MOVE_RETRY_SECONDS
        self._try_move(stream)
        return stream.is_busy

    def _request_report(self, address: str, now: float) -> None:
        requested_at = self._requested_at_by_address.get(address, float("-inf"))
        if now - requested_at < MIN_REPORT_INTERVAL_SECONDS:
            return
        if self._board.holds_off_at(address):
            return
        self._requested_at_by_address[address] = now
        self._background_tasks.start(self._read_report(address))

    async def _read_report(self, address: str) -> None:
        try:
            report = await self._runners.report(address)
        except ports.RunnerUnavailableError as error:
            self._failure_recorder.record_by_address(
                address, suspect_servers.Reason.NO_REPORT, str(error)
            )
            now = asyncio.get_running_loop().time()
            for stream in self._stalled_streams_at(address):
                self.resumer.start_successor(
                    stream, now, "its first runner is lost"
                )
            return
        now = asyncio.get_running_loop().time()
        self._board.record_pace(now, address, report.pace)
        for stalled in report.stalled:
            self._failure_recorder.record_by_address(
                stalled.address,
                suspect_servers.Reason.STALLED,
                stalled.request_id,
            )
        if report.stalled:
            for stream in self._stalled_streams_at(address):
                self._try_move(stream)

    def _stalled_streams_at(self, address: str) -> list[running_stream.Stream]:
        now = asyncio.get_running_loop().time()
        return [
            stream
            for stream in self._streams
            if stream.path.first.address == address
            and not stream.is_busy
            and not stream.paused
            and stalls.judge(stream.state(now)) is not stalls.Action.WAIT
        ]

    def _try_move(self, stream: running_stream.Stream) -> bool:
        """Starts to move a stream off runners that can no longer serve it.

        Returns:
            Whether the stream is being moved, is resumed elsewhere, or waits
            for bandwidth between failure domains.
        """
        engine = stream.admitted.service.engine
        if engine is None or stream.moving or stream.moves >= MAX_MOVE_COUNT:
            return False
        usable = self._board.usable(stream.admitted.service.id)
        runners = path_repair.UsableRunners(usable)
        if stream.path.first.id not in runners.by_id:
            return False
        unusable_parts = [
            p for p in stream.path.parts[1:] if not runners.holds(p)
        ]
        if not unusable_parts:
            return False
        now = asyncio.get_running_loop().time()
        has_lost_runner = self.resumer.has_stopped(stream, now) and any(
            crash_checks.has_ended(self._board, part.server)
            for part in stream.path.parts
        )
        finder = self._board.path_finder(engine, now)
        requirements = paths.PathRequirements(self._board.home, stream.tokens)
        path = path_repair.repair(
            finder,
            stream.path,
            [s for s in usable if s.id not in stream.refused_runner_ids],
            requirements,
        )
        crossing = path is None or path.crossings > stream.path.crossings
        if crossing and not has_lost_runner:
            # Streams keep running on a draining runner, and on layers that a
            # runner is about to unload; a restart would discard their progress.
            return False
        if crossing and stream.paired:
            # Its successor processes the same tokens already.
            return True
        if crossing and self.resumer.start_successor(
            stream, now, "resuming on another pipeline", may_cross=False
        ):
            return True
        if path is None:
            return False
        if crossing:
            board = self._board
            if not board.link_budget.has_room(now, path, board.routers):
                return True
            board.link_budget.record_transfer(now, engine, path, stream.tokens)
        stream.moving = True
        self._background_tasks.start(self._move(stream, path))
        return True

    async def _move(
        self, stream: running_stream.Stream, path: paths.Path
    ) -> None:
        try:
            result = await self._runners.redirect(stream.request_id, path)
        finally:
            stream.moving = False
        outcome = result.outcome
        stream.moves += 1
        self._metrics.repairs.labels("redirect", outcome.value).inc()
        self._log.write(
            "stream redirected",
            request=stream.request_id,
            outcome=outcome.value,
            fault=result.fault,
            parts=len(path.parts),
            step_ms=round(path.step_seconds * 1000, 2),
        )
        if outcome is ports.OrderOutcome.CONFLICT:
            self._record_conflict(stream, path, result.fault)
        accepted = (ports.OrderOutcome.BEGUN, ports.OrderOutcome.DONE)
        if outcome in accepted and stream in self._streams:
            stream.path = path
            stream.moved_at = asyncio.get_running_loop().time()
            stream.reserve(self._board)

    def _record_conflict(
        self, stream: running_stream.Stream, path: paths.Path, fault: str
    ) -> None:
        """Excludes the runner that caused a move to fail."""
        kept = {part.server.address for part in stream.path.parts}
        if fault in kept:
            # A runner that the stream was to stay on no longer has its layers.
            self._failure_recorder.record_by_address(
                fault, suspect_servers.Reason.LAYERS_CHANGED, stream.request_id
            )
            return
        stream.refused_runner_ids |= {
            part.server.id
            for part in path.parts
            if part.server.address == fault
            or (not fault and part.server.address not in kept)
        }
