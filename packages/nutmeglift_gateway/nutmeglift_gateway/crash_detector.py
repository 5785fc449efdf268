"""Detects within a round trip that a runner's process ended.

The connections of a crashed process are closed and new ones are refused. One
idle connection to each runner that holds layers shows this within a round
trip, whereas reports of stalled requests lag. The runner's streams can then
resume elsewhere before the gap exceeds its objective. A runner that closes
an idle connection but accepts the next one is not considered crashed.
"""

import asyncio

from nutmeglift_gateway import board as boards
from nutmeglift_gateway import directory
from nutmeglift_gateway import failure_recorder as recorders
from nutmeglift_gateway import http_call
from nutmeglift_gateway import suspect_servers

REFRESH_INTERVAL_SECONDS = 0.25
"""Interval between reads of the directory for new runners."""
MIN_RECONNECT_INTERVAL_SECONDS = 1.0
"""Limits reconnects to a runner that closes idle connections sooner."""


class CrashDetector:
    """Keeps an idle connection to each runner that holds layers."""

    def __init__(
        self, board: boards.Board, failure_recorder: recorders.FailureRecorder
    ) -> None:
        self._board = board
        self._failure_recorder = failure_recorder
        self._task_by_lifetime: dict[tuple[str, int], asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Monitors runners until cancelled."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                server_by_lifetime = {
                    server.lifetime: server
                    for server in self._board.directory.server_by_id.values()
                    if server.layers.count
                }
                for lifetime in list(self._task_by_lifetime):
                    if lifetime not in server_by_lifetime:
                        self._task_by_lifetime.pop(lifetime).cancel()
                for lifetime, server in server_by_lifetime.items():
                    task = self._task_by_lifetime.get(lifetime)
                    if task is None or task.done():
                        self._task_by_lifetime[lifetime] = loop.create_task(
                            self._monitor(server)
                        )
                await asyncio.sleep(REFRESH_INTERVAL_SECONDS)
        finally:
            for task in self._task_by_lifetime.values():
                task.cancel()
            self._task_by_lifetime.clear()

    async def _monitor(self, server: directory.Server) -> None:
        loop = asyncio.get_running_loop()
        while True:
            opened_at = loop.time()
            try:
                connection = await http_call.connect(server.address)
            except http_call.CallError as error:
                self._record_failure(server, error)
            else:
                lost = asyncio.Event()
                connection.on_lost = lost.set
                try:
                    await lost.wait()
                finally:
                    connection.on_lost = None
                    connection.abort()
                if loop.time() - opened_at >= MIN_RECONNECT_INTERVAL_SECONDS:
                    continue
            await asyncio.sleep(MIN_RECONNECT_INTERVAL_SECONDS)

    def _record_failure(
        self, server: directory.Server, error: http_call.CallError
    ) -> None:
        refused = error.failure is http_call.CallFailure.REFUSED
        reason = (
            suspect_servers.Reason.CRASHED
            if refused
            else suspect_servers.Reason.NOT_CONNECTED
        )
        self._failure_recorder.record(server, reason, str(error))
