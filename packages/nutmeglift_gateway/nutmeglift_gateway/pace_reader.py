"""Reads the pace of runners on the paths of slow streams.

A slow runner still responds and so is not excluded as failed. Its pace, the
factor by which it is slower than its kind, is known only to the runner itself
and raises the cost of paths through it. The pace is read when a stream is much
slower than expected for its path, and again for as long as it is high.
"""

import asyncio
from collections.abc import Iterable

from nutmeglift_gateway import background_tasks
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import failure_recorder as recorders
from nutmeglift_gateway import ports
from nutmeglift_gateway import running_stream
from nutmeglift_gateway import stalls
from nutmeglift_gateway import suspect_servers

SLOW_STREAM_RATIO = 3.0
"""A stream is slow if its event interval exceeds this multiple of the expected
one: prompts that are processed between token steps account for some of it."""
MIN_SLOW_INTERVAL_SECONDS = 0.06
"""Shorter event intervals never count as slow."""
SLOW_FIRST_EVENT_RATIO = 0.5
"""Part of the objective for the first event after which a stream without events
counts as slow."""
SLOW_PACE_RATIO = 1.5
"""A runner with a higher pace is read again until it drops."""
REREAD_INTERVAL_SECONDS = 1.0
"""Interval between reads of one runner; routers share what they read."""


def is_slow(stream: running_stream.Stream, now: float) -> bool:
    """Returns whether a stream is much slower than expected for its path.

    Args:
        stream: the stream.
        now: event loop time in seconds.
    """
    interval = stream.receiver.event_interval
    if interval is None:
        limit = stream.admitted.route.objective * SLOW_FIRST_EVENT_RATIO
        return (
            not stream.receiver.events_seen and stream.idle_seconds(now) > limit
        )
    expected = stream.path.step_seconds * stalls.STEPS_PER_EVENT
    return interval > max(
        MIN_SLOW_INTERVAL_SECONDS, SLOW_STREAM_RATIO * expected
    )


class PaceReader:
    """Updates the paces of runners on the board."""

    def __init__(
        self,
        board: boards.Board,
        runners: ports.BaseRunners,
        failure_recorder: recorders.FailureRecorder,
        log: decision_log.DecisionLog,
    ) -> None:
        self._board = board
        self._runners = runners
        self._failure_recorder = failure_recorder
        self._log = log
        self._background_tasks = background_tasks.BackgroundTasks(log)
        self._requested_at_by_address: dict[str, float] = {}

    def read(
        self, now: float, streams: Iterable[running_stream.Stream]
    ) -> None:
        """Starts reads of the paces that are needed and out of date.

        Args:
            now: event loop time in seconds.
            streams: the running streams.
        """
        gives_no_report = self._board.suspect_servers.gives_no_report
        addresses = {
            part.server.address
            for stream in streams
            if is_slow(stream, now)
            for part in stream.path.parts
            if not gives_no_report(part.server.address, part.server.lifetime)
        }
        known = self._board.pace_by_address
        addresses |= {
            a for a, pace in known.items() if pace.value > SLOW_PACE_RATIO
        }
        for address in addresses:
            if self._is_due(now, address) and not self._board.holds_off_at(
                address
            ):
                self._requested_at_by_address[address] = now
                self._background_tasks.start(self._read(address))

    def _is_due(self, now: float, address: str) -> bool:
        read = self._board.pace_by_address.get(address)
        read_at = read.read_at if read else float("-inf")
        requested_at = self._requested_at_by_address.get(address, float("-inf"))
        return now - max(read_at, requested_at) >= REREAD_INTERVAL_SECONDS

    async def _read(self, address: str) -> None:
        before = self._board.pace_by_address.get(address)
        try:
            report = await self._runners.report(address)
        except ports.RunnerUnavailableError as error:
            self._board.pace_by_address.pop(address, None)
            self._failure_recorder.record_by_address(
                address, suspect_servers.Reason.NO_REPORT, str(error)
            )
            return
        now = asyncio.get_running_loop().time()
        self._board.record_pace(now, address, report.pace)
        was_slow = before is not None and before.value > SLOW_PACE_RATIO
        if was_slow != (report.pace > SLOW_PACE_RATIO):
            self._log.write("pace", address=address, pace=report.pace)
