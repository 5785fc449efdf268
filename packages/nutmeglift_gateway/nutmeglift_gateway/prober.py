"""Detects when suspect servers have recovered."""

import asyncio

from nutmeglift_gateway import background_tasks
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import directory
from nutmeglift_gateway import ended_lifetimes
from nutmeglift_gateway import http_call
from nutmeglift_gateway import ports
from nutmeglift_gateway import suspect_servers

POLL_INTERVAL_SECONDS = 0.1
"""Interval at which due probes are started."""


class Prober:
    """Probes suspect servers until they respond.

    Also expires outdated state of the directory and the board.
    """

    def __init__(
        self,
        board: boards.Board,
        runners: ports.BaseRunners,
        log: decision_log.DecisionLog,
    ) -> None:
        self._board = board
        self._runners = runners
        self._log = log
        self._background_tasks = background_tasks.BackgroundTasks(log)

    async def run(self) -> None:
        """Probes until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            now = loop.time()
            board = self._board
            board.directory.update_claims(now)
            for server_id in board.directory.expire(now):
                self._log.write("server lapsed", server=server_id)
            board.load_tracker.expire(now)
            board.expire_moves(now)
            board.hold_offs.expire(now)
            board.budgets.record_routers(now, board.routers)
            board.suspect_servers.keep_only(
                {s.address for s in board.directory.server_by_id.values()}
            )
            for address in board.suspect_servers.due_probes(now):
                if board.holds_off_at(address):
                    continue
                self._background_tasks.start(self._probe(address))

    def _layers_differ(
        self, server: directory.Server, report: ports.Report | None
    ) -> bool:
        known = self._board.directory.server_by_id.get(server.id)
        return (
            known is not None
            and report is not None
            and known.layers != report.layers
        )

    async def _probe(self, address: str) -> None:
        server = self._board.server_at(address)
        if server is None:
            return
        report = None
        try:
            if server.kind:
                report = await self._runners.report(address)
                if report.born and server.born and report.born != server.born:
                    ended_lifetimes.end_lifetime(
                        self._board, self._log, server, report.born
                    )
                    return
                self._board.directory.update_layers(
                    asyncio.get_running_loop().time(),
                    server,
                    report.layers,
                    report.orders,
                )
            else:
                connection = await http_call.connect(address)
                connection.close()
        except (ports.RunnerUnavailableError, http_call.CallError):
            return
        reason = self._board.suspect_servers.reason(address)
        if (
            reason == suspect_servers.Reason.LAYERS_CHANGED
            and self._layers_differ(server, report)
        ):
            # The entry has just changed, so this report may be older. The next
            # probe decides.
            return
        if self._board.suspect_servers.clear(address):
            self._log.write(
                "server trusted again", address=address, reason=reason
            )
