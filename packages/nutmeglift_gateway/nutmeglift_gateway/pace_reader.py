"""Reads how slow the runners of slow streams are.

A runner that works slowly answers, and so is not left out; its pace, which
only it can tell, makes paths through it cost more. It is read where a stream
goes much slower than its path should, and as long as it is bad.
"""

import asyncio
from collections.abc import Iterable

from nutmeglift_gateway import background_tasks
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import failure_recorder as recorders
from nutmeglift_gateway import ports
from nutmeglift_gateway import running_stream
from nutmeglift_gateway import stall_detection
from nutmeglift_gateway import suspect_servers

SLOW_STREAM_RATIO = 3.0
"""A stream is slow when its events take so many times as long as expected:
prompts that are read between the steps make some of it."""
MIN_SLOW_INTERVAL_SECONDS = 0.06
"""Shorter intervals between events are no matter of concern."""
SLOW_FIRST_EVENT_RATIO = 0.5
"""Part of the objective for the first event after which a stream that has not
begun counts as slow."""
SLOW_PACE_RATIO = 1.5
"""A runner whose pace is worse is read again until it is well."""
REREAD_INTERVAL_SECONDS = 1.0
"""Interval of such reads; routers tell each other what they read."""


def is_slow(stream: running_stream.Stream, now: float) -> bool:
    """Tells whether a stream goes much slower than its path should.

    Args:
        stream: the stream.
        now: seconds of the loop.
    """
    interval = stream.receiver.event_interval
    if interval is None:
        limit = stream.admitted.route.objective * SLOW_FIRST_EVENT_RATIO
        return (
            not stream.receiver.events_seen and stream.idle_seconds(now) > limit
        )
    expected = stream.path.step_seconds * stall_detection.STEPS_PER_EVENT
    return interval > max(
        MIN_SLOW_INTERVAL_SECONDS, SLOW_STREAM_RATIO * expected
    )


class PaceReader:
    """Keeps the paces on the board up to date."""

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
        """Starts to read the paces that are wanted and not known.

        Args:
            now: seconds of the loop.
            streams: those that are running.
        """
        wanted = {
            part.server.address
            for stream in streams
            if is_slow(stream, now)
            for part in stream.path.parts
        }
        known = self._board.pace_by_address
        wanted |= {
            a for a, pace in known.items() if pace.value > SLOW_PACE_RATIO
        }
        for address in wanted:
            if self._is_due(now, address):
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
        self._board.note_pace(now, address, report.pace)
        was_slow = before is not None and before.value > SLOW_PACE_RATIO
        if was_slow != (report.pace > SLOW_PACE_RATIO):
            self._log.write("pace", address=address, pace=report.pace)
