"""Places layers on runners while this router is the elected planner."""

import asyncio
import random

from nutmeglift import decoding
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import background_tasks
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import catalog
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import directory
from nutmeglift_gateway import election
from nutmeglift_gateway import ended_lifetimes
from nutmeglift_gateway import failure_recorder as recorders
from nutmeglift_gateway import layer_planner
from nutmeglift_gateway import metrics as metric_sets
from nutmeglift_gateway import pending_orders
from nutmeglift_gateway import ports
from nutmeglift_gateway import registration
from nutmeglift_gateway import runner_group
from nutmeglift_gateway import store_reader
from nutmeglift_gateway import suspect_servers

POLL_INTERVAL_SECONDS = 0.15
"""Bounds the time to detect a lost layer; a tenth of the time to load a layer
range."""
REPLAN_INTERVAL_SECONDS = 1.0
"""Interval of planning while the runners are unchanged. Only their load can
change the plan then, and it does so within seconds, so that more frequent plans
would waste processor time."""
INITIAL_SETTLE_SECONDS = 0.6
"""The first plan is delayed until no new runner has registered for this time,
half a heartbeat interval."""
BUSY_RECHECK_SECONDS = 0.3
"""Interval at which the report of a runner that carries out another planner's
order is read; it gets no order until then."""
MAX_CONCURRENT_CALLS = 32
"""Calls to runners at the same time. More of them keep a router with a part of
a core busy until those that were sent first time out."""
_State = list[tuple[tuple[str, int], directory.LayerRange, bool, bool]]
"""Each runner's lifetime, layers, and whether it is usable and takes orders."""


class PlannerController:
    """Sends placement orders to runners while this router is the planner."""

    def __init__(
        self,
        store: kv.BaseKv,
        reader: store_reader.StoreReader,
        registered: registration.Registration,
        board: boards.Board,
        runners: ports.BaseRunners,
        vm: str,
        log: decision_log.DecisionLog,
        metrics: metric_sets.Metrics,
        failure_recorder: recorders.FailureRecorder,
        rng: random.Random,
    ) -> None:
        self._reader = reader
        self._board = board
        self._runners = runners
        self._log = log
        self._metrics = metrics
        self._failure_recorder = failure_recorder
        self._election = election.Election(
            store, reader, registered, board, vm, log, rng
        )
        self._pending_by_id: dict[str, pending_orders.PendingOrder] = {}
        self._calls = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self._background_tasks = background_tasks.BackgroundTasks(log)
        self._busy_until_by_id: dict[str, float] = {}
        self._planned_by_service: dict[ids.ServiceId, tuple[float, _State]] = {}
        self._planner_by_service: dict[
            ids.ServiceId, tuple[catalog.Engine, layer_planner.LayerPlanner]
        ] = {}
        self._count_since_by_id: dict[ids.ServiceId, tuple[int, float]] = {}
        self._had_planner = False
        self._gaps: list[str] = []
        self._failure_by_service: dict[ids.ServiceId, str] = {}

    async def run(self) -> None:
        """Runs for election, and plans while elected, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            self._had_planner |= self._reader.view.planner is not None
            await self._run_for_election()
            if not self._election.is_held:
                self._board.fence = boards.NOT_PLANNING
                continue
            self._board.fence = self._election.fence
            self._board.record_planner(self._election.fence)
            self._plan(loop.time())

    async def _run_for_election(self) -> None:
        fence = await self._election.run_once(asyncio.get_running_loop().time())
        if fence is None:
            return
        self._pending_by_id.clear()
        self._planned_by_service.clear()
        self._busy_until_by_id.clear()
        await self._read_all_reports()
        self._election.take_office(fence)

    async def _read_all_reports(self) -> None:
        """Reads the reports of runners that may have earlier orders."""
        found = self._board.catalog
        if found is None:
            return
        holders = [
            server
            for service in found.service_by_id.values()
            if service.engine is not None
            for server in self._board.usable(service.id)
            if server.layers.count or self._had_planner
        ]
        await asyncio.gather(*(self._read_report(server) for server in holders))

    async def _read_report(
        self, server: directory.Server
    ) -> ports.Report | None:
        now = asyncio.get_running_loop().time
        if self._board.hold_offs.holds_off(server.lifetime):
            return None
        try:
            async with self._calls:
                report = await self._runners.report(server.address)
        except ports.RunnerUnavailableError as error:
            self._failure_recorder.record(
                server, suspect_servers.Reason.NO_REPORT, str(error)
            )
            return None
        if report.born and report.born != server.born:
            ended_lifetimes.end_lifetime(
                self._board, self._log, server, report.born
            )
            return None
        self._board.directory.update_layers(
            now(), server, report.layers, report.orders
        )
        if report.busy:
            self._busy_until_by_id[server.id] = now() + BUSY_RECHECK_SECONDS
        return report

    def _plan(self, now: float) -> None:
        found = self._board.catalog
        if found is None:
            return
        eta = 0.0
        for service in found.service_by_id.values():
            if service.engine is None:
                continue
            try:
                eta = max(eta, self._plan_service(service, now))
            except Exception as error:
                # One service that can't be planned costs no other its planner.
                self._log_failure(service.id, decoding.describe(error))
        self._board.coverage_eta = eta
        self._board.set_moves(
            now,
            {
                server_id: boards.PendingMove(
                    pending.lifetime, pending.retained
                )
                for server_id, pending in self._pending_by_id.items()
            },
        )

    def _plan_service(self, service: catalog.Service, now: float) -> float:
        engine = service.engine
        assert engine is not None
        directory_ = self._board.directory
        # A runner of an unknown kind may have less memory than any known one.
        servers = [
            server
            for server in directory_.of_service(service.id)
            if directory_.is_recognized(server)
        ]
        starting = not any(server.layers.count for server in servers)
        if starting and not self._has_settled(service.id, len(servers), now):
            return 0.0
        usable = {s.id for s in servers if self._is_usable(s, now)}
        holdings = [self._holding(s, usable, now) for s in servers]
        if self._was_planned_recently(service.id, holdings, now):
            return self._latest_eta()
        planner = self._planner_for(service.id, engine)
        moves = planner.plan(holdings, starting=starting)
        busy = len(self._pending_by_id) + len(moves)
        for move in moves:
            self._start_order(engine, move, now, busy, starting=starting)
        self._log_gaps([] if moves else planner.describe_gaps(holdings))
        return self._latest_eta()

    def _planner_for(
        self, service: ids.ServiceId, engine: catalog.Engine
    ) -> layer_planner.LayerPlanner:
        known = self._planner_by_service.get(service)
        if known is None or known[0] != engine:
            known = (engine, layer_planner.LayerPlanner(engine))
            self._planner_by_service[service] = known
        return known[1]

    def _latest_eta(self) -> float:
        return max(
            (pending.eta for pending in self._pending_by_id.values()),
            default=0.0,
        )

    def _was_planned_recently(
        self,
        service: ids.ServiceId,
        holdings: list[runner_group.Holding],
        now: float,
    ) -> bool:
        """Returns whether unchanged runners were planned recently.

        Records this plan when they were not.
        """
        state = [
            (h.server.lifetime, h.layers, h.usable, h.takes_orders)
            for h in holdings
        ]
        known = self._planned_by_service.get(service)
        if (
            known is not None
            and known[1] == state
            and now - known[0] < REPLAN_INTERVAL_SECONDS
        ):
            return True
        self._planned_by_service[service] = (now, state)
        return False

    def _is_usable(self, server: directory.Server, now: float) -> bool:
        return (
            server.state is directory.ServerState.READY
            and not self._board.suspect_servers.needs_replacement(
                now, server.address, server.lifetime
            )
        )

    def _log_failure(self, service: ids.ServiceId, detail: str) -> None:
        if self._failure_by_service.get(service) != detail:
            self._log.write("planning failed", service=service, detail=detail)
        self._failure_by_service[service] = detail

    def _log_gaps(self, gaps: list[str]) -> None:
        if gaps and gaps != self._gaps:
            self._log.write("layers missing", groups=gaps)
        self._gaps = gaps

    def _has_settled(
        self, service: ids.ServiceId, count: int, now: float
    ) -> bool:
        known = self._count_since_by_id.get(service)
        if known is None or known[0] != count:
            known = self._count_since_by_id[service] = (count, now)
        return count > 0 and now - known[1] >= INITIAL_SETTLE_SECONDS

    def _holding(
        self, server: directory.Server, usable: set[str], now: float
    ) -> runner_group.Holding:
        pending = self._pending_by_id.get(server.id)
        if pending is not None and (
            pending.lifetime != server.lifetime
            or pending.target == server.layers
        ):
            del self._pending_by_id[server.id]
            pending = None
        requests = self._board.load_tracker.at(server.address).requests
        holds_off = self._board.hold_offs.holds_off(server.lifetime)
        if pending is None:
            return runner_group.Holding(
                server,
                server.layers,
                server.id in usable,
                self._is_busy(server, now),
                requests,
                holds_off
                or self._board.suspect_servers.may_go_on(
                    now, server.address, server.lifetime
                ),
            )
        if now > pending.due and not pending.checking and not holds_off:
            pending.checking = True
            self._background_tasks.start(self._check_overdue(server, pending))
        return runner_group.Holding(
            server, pending.target, server.id in usable, True, requests
        )

    def _is_busy(self, server: directory.Server, now: float) -> bool:
        """Returns whether a runner carries out another planner's order."""
        if (busy_until := self._busy_until_by_id.get(server.id)) is None:
            return False
        if now >= busy_until:
            self._busy_until_by_id[server.id] = float("inf")
            self._background_tasks.start(self._recheck_busy(server))
        return True

    async def _recheck_busy(self, server: directory.Server) -> None:
        report = await self._read_report(server)
        if report is None or not report.busy:
            self._busy_until_by_id.pop(server.id, None)

    def _start_order(
        self,
        engine: catalog.Engine,
        move: layer_planner.Move,
        now: float,
        busy: int,
        *,
        starting: bool,
    ) -> None:
        """Orders a runner to hold other layers; see pending_orders.expect()."""
        held = move.server.layers
        pending = pending_orders.expect(
            engine, move, now, busy, starting=starting
        )
        self._pending_by_id[move.server.id] = pending
        self._log.write(
            "layers placed",
            server=move.server.id,
            address=move.server.address,
            held=f"{held.start}-{held.end}",
            target=f"{move.layers.start}-{move.layers.end}",
            reason=move.reason,
            fence=self._election.fence,
            eta_in=round(pending.eta - now, 2),
        )
        self._background_tasks.start(self._send_order(move, pending))

    async def _send_order(
        self, move: layer_planner.Move, pending: pending_orders.PendingOrder
    ) -> None:
        async with self._calls:
            if not (
                self._is_current(move.server, pending)
                and self._election.is_held
            ):
                return
            outcome = await self._runners.place(
                move.server, move.layers, self._election.fence
            )
        pending.record_sent(asyncio.get_running_loop().time())
        self._metrics.orders.labels("place", outcome.value).inc()
        if outcome is ports.OrderOutcome.BEGUN:
            self._board.directory.record_order(move.server)
            return
        if outcome is ports.OrderOutcome.DONE:
            return
        self._log.write(
            "order failed", server=move.server.id, outcome=outcome.value
        )
        if outcome is ports.OrderOutcome.STALE_FENCE:
            self._election.resign()
            return
        if outcome is ports.OrderOutcome.MISDIRECTED:
            self._drop_pending(move.server, pending)
            ended_lifetimes.end_lifetime(self._board, self._log, move.server)
            return
        if outcome is not ports.OrderOutcome.UNKNOWN:
            await self._read_report(move.server)
            self._drop_pending(move.server, pending)
            return
        await self._check_overdue(move.server, pending)

    async def _check_overdue(
        self, server: directory.Server, pending: pending_orders.PendingOrder
    ) -> None:
        """Reads an overdue runner's report before any further order to it."""
        report = await self._read_report(server)
        if report is None or report.busy:
            # A runner without a report may carry out the order; if it is lost,
            # it is replaced as a suspect.
            pending.check_again(asyncio.get_running_loop().time())
            return
        self._drop_pending(server, pending)

    def _is_current(
        self, server: directory.Server, pending: pending_orders.PendingOrder
    ) -> bool:
        """Returns whether an order was neither dropped nor replaced."""
        return self._pending_by_id.get(server.id) is pending

    def _drop_pending(
        self, server: directory.Server, pending: pending_orders.PendingOrder
    ) -> None:
        if self._is_current(server, pending):
            del self._pending_by_id[server.id]
            # Plans the unchanged runners again without delay.
            self._planned_by_service.clear()
