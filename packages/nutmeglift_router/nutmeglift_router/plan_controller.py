"""Keeps the router's plan in force."""

from nutmeglift import blackboard
from nutmeglift import kv
from nutmeglift import planner
from nutmeglift import routing
from nutmeglift_router import entries
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric


class PlanController:
    """Plans anew when members or configuration change."""

    def __init__(
        self,
        *,
        board: blackboard.Blackboard,
        store: kv.BaseKv,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
        routes: routing.Routing,
    ) -> None:
        self._board = board
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._routing = routes
        board.watch(entries.MEMBERS, lambda _: self._make_plan())
        board.watch(entries.CONFIGURATION, lambda _: self._make_plan())

    def _make_plan(self) -> None:
        old = self._board.read(entries.PLAN)
        declared = self._board.read(entries.CONFIGURATION).declared
        new = planner.make_plan(self._runners(), declared, old)
        if new.assignments == old.assignments:
            return
        self._board.write(entries.PLAN, new, blackboard.Controller.PLAN)
        self._routing.set_plan(new)
        self._metrics.count("plan.changed")

    def _runners(self) -> list[planner.Runner]:
        declared = self._board.read(entries.CONFIGURATION).declared
        class_by_id = {c.id: c for c in declared.backend_classes}
        runners = []
        for vm, member in self._board.read(entries.MEMBERS).items():
            found = class_by_id.get(member.entry.backend_class or "")
            if found is None or found.service is not None:
                continue
            runners.append(
                planner.Runner(
                    vm,
                    member.entry.failure_domain,
                    found.layer_positions_per_second,
                    found.memory_bytes,
                )
            )
        return runners
