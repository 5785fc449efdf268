"""Detects within a round trip that a runner's process ended.

The connections of a crashed process are closed and new ones are refused. One
idle connection shows this within a round trip, whereas reports of stalled
requests lag. The runner's streams can then resume elsewhere before the gap
exceeds its objective. A runner that closes an idle connection but accepts the
next one is not considered crashed.

Few routers watch each runner and report a crash to the others. Each of these
confirms it by its own connection, as the report may be a consequence of
the reporter's own network.
"""

import asyncio

from nutmeglift import ids
from nutmeglift_gateway import background_tasks
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import crash_checks
from nutmeglift_gateway import crash_watchers
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import directory
from nutmeglift_gateway import failure_recorder as recorders
from nutmeglift_gateway import http_call
from nutmeglift_gateway import metrics as metric_sets
from nutmeglift_gateway import suspect_servers

REFRESH_INTERVAL_SECONDS = 0.25
"""Interval between reads of the directory for new runners."""
MAX_REFRESH_DELAY_SECONDS = 0.25
"""After a longer delay of this process the peers' reports have not been read
yet, so that all of them would look lost."""
START_DELAY_SECONDS = 1.0
"""The links to the other routers are opened in this time."""
MIN_RECONNECT_INTERVAL_SECONDS = 1.0
"""Limits reconnects to a runner that closes idle connections sooner, or is
reported repeatedly."""
SLICE_RUNNER_COUNT = 32
"""Runners whose watchers are chosen before other work has its turn."""

_Lifetime = tuple[str, int]
_Choice = tuple[dict[str, ids.FailureDomain], set[_Lifetime]]
"""The live routers and the runners for which watchers were chosen."""


class CrashDetector:
    """Keeps an idle connection to each runner that this router watches."""

    def __init__(
        self,
        board: boards.Board,
        failure_recorder: recorders.FailureRecorder,
        vm: str,
        metrics: metric_sets.Metrics,
        log: decision_log.DecisionLog,
    ) -> None:
        """Creates a detector that watches nothing yet.

        Args:
            board: the router's shared state.
            failure_recorder: records the crashes.
            vm: this router's VM.
            metrics: counts the connections.
            log: log of the router's decisions.
        """
        self._board = board
        self._failure_recorder = failure_recorder
        self._vm = vm
        self._metrics = metrics
        self._background_tasks = background_tasks.BackgroundTasks(log)
        self._task_by_lifetime: dict[_Lifetime, asyncio.Task[None]] = {}
        self._watched: dict[_Lifetime, directory.Server] = {}
        self._chosen_for: _Choice | None = None
        self._confirmed_at_by_lifetime: dict[_Lifetime, float] = {}
        board.on_crash_reported = self._confirm_soon

    async def run(self) -> None:
        """Watches runners until cancelled."""
        loop = asyncio.get_running_loop()
        try:
            await asyncio.sleep(START_DELAY_SECONDS)
            due_at = loop.time()
            while True:
                now = loop.time()
                if now - due_at <= MAX_REFRESH_DELAY_SECONDS:
                    await self._choose_runners(now)
                self._update_tasks()
                due_at = loop.time() + REFRESH_INTERVAL_SECONDS
                await asyncio.sleep(REFRESH_INTERVAL_SECONDS)
        finally:
            for task in self._task_by_lifetime.values():
                task.cancel()
            self._task_by_lifetime.clear()

    async def _choose_runners(self, now: float) -> None:
        """Updates the runners to watch if runners or routers have changed."""
        domain_by_router = self._board.live_peers.domain_by_name(now)
        domain_by_router[self._vm] = self._board.home
        runners = {
            server.lifetime: server
            for server in self._board.directory.server_by_id.values()
            if server.layers.count
        }
        chosen_for = (domain_by_router, set(runners))
        if chosen_for == self._chosen_for:
            return
        watched = {}
        for index, (lifetime, server) in enumerate(runners.items()):
            if index % SLICE_RUNNER_COUNT == SLICE_RUNNER_COUNT - 1:
                await asyncio.sleep(0)
            if self._vm in crash_watchers.choose_watchers(
                server.id, domain_by_router
            ):
                watched[lifetime] = server
        self._watched = watched
        self._chosen_for = chosen_for

    def _update_tasks(self) -> None:
        loop = asyncio.get_running_loop()
        for lifetime in list(self._task_by_lifetime):
            if lifetime not in self._watched:
                self._task_by_lifetime.pop(lifetime).cancel()
        for lifetime, server in self._watched.items():
            task = self._task_by_lifetime.get(lifetime)
            if task is None or task.done():
                self._task_by_lifetime[lifetime] = loop.create_task(
                    self._watch(server)
                )

    async def _watch(self, server: directory.Server) -> None:
        loop = asyncio.get_running_loop()
        while True:
            opened_at = loop.time()
            connection = None
            if not self._board.hold_offs.holds_off(server.lifetime):
                connection = await self._connect(server)
            if connection is not None:
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

    def _confirm_soon(self, now: float, server: directory.Server) -> None:
        """Checks a crash that another router reports, once for a while."""
        if crash_checks.has_terminated(self._board, server):
            return
        confirmed_at_by_lifetime = self._confirmed_at_by_lifetime = {
            lifetime: confirmed_at
            for lifetime, confirmed_at in self._confirmed_at_by_lifetime.items()
            if now - confirmed_at < MIN_RECONNECT_INTERVAL_SECONDS
        }
        if server.lifetime in confirmed_at_by_lifetime:
            return
        if self._board.hold_offs.holds_off(server.lifetime):
            return
        confirmed_at_by_lifetime[server.lifetime] = now
        self._background_tasks.start(self._confirm(server))

    async def _confirm(self, server: directory.Server) -> None:
        connection = await self._connect(server)
        if connection is not None:
            connection.abort()

    async def _connect(
        self, server: directory.Server
    ) -> http_call.Connection | None:
        """Opens a connection; records a failure and returns None."""
        self._metrics.connections.labels("crash_watch").inc()
        try:
            return await http_call.connect(server.address)
        except http_call.CallError as error:
            self._record_failure(server, error)
            return None

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
