"""Adopts the stored placement plan; writes new ones as the planner."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import logging

from nutmeglift import blackboard
from nutmeglift import codec
from nutmeglift import control_messages
from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import membership
from nutmeglift import placement
from nutmeglift import plan
from nutmeglift import plan_assembly
from nutmeglift import plan_store
from nutmeglift import planner
from nutmeglift import rollout
from nutmeglift import routing
from nutmeglift import stable_members
from nutmeglift import states
from nutmeglift_router import blackboard_entries
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

PLANNING_INTERVAL_SECONDS = 1.0
REREAD_INTERVAL_SECONDS = 5.0
MAX_WATCH_SECONDS = 120.0
"""The plan is read again after this time: a watch can stop delivering events
without an error."""
MIN_VISIBLE_RUNNER_RATIO = 0.34
"""With a smaller part of the planned runners visible, the planner waits: this
router itself may be partitioned."""
MAX_IN_LOOP_RUNNER_COUNT = 200
"""Plans for more runners are computed in a thread, not in the event loop."""

Post = Callable[[ids.VmId, codec.AnyMessage], bool]

_logger = logging.getLogger(__name__)


class PlanController:
    """Adopts the stored plan; proposes new plans while this router is planner.

    Until the first plan is stored, each router computes a local plan, and the
    planner starts from its own local plan.
    """

    def __init__(
        self,
        vm: ids.VmId,
        *,
        board: blackboard.Blackboard,
        store: kv.BaseKv,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
        routes: routing.PipelineSelector,
        post: Post,
    ) -> None:
        self._vm = vm
        self._board = board
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._routing = routes
        self._post = post
        self._members = stable_members.StableMembers()
        self._stored: plan_store.StoredPlan | None = None
        self._plan_was_read = False
        self._tick_requested = asyncio.Event()
        self._rollout: rollout.Rollout | None = None
        self._fencing_number = ids.FencingNumber(0)
        self._target = plan.Plan()
        self._target_input: object = None
        self._local_plan_input: object = None
        self._published_ranges: (
            Mapping[rollout.HeldKey, placement.Range] | None
        ) = None
        board.watch(
            blackboard_entries.MEMBERS, lambda _: self._members_changed()
        )
        board.watch(
            blackboard_entries.CONFIGURATION, lambda _: self._members_changed()
        )

    async def run(self) -> None:
        """Watches the stored plan and proposes new ones until cancelled."""
        await asyncio.gather(self._run_watch(), self._run_ticks())

    async def tick(self) -> None:
        """Proposes a plan, if this router is the planner and one is due."""
        now = self._clock.now()
        self._record_members(now)
        leader = self._board.read(blackboard_entries.LEADER)
        self._plan_locally(self._choose_runners(now))
        if leader is None or leader.vm != self._vm:
            self._rollout = None
            return
        try:
            await self._run_planner(leader.fencing_number, now)
        except errors.ConflictError as error:
            self._metrics.count("plan.conflict")
            _logger.warning("plan not written", extra={"reason": error.detail})
            self._rollout = None
        except (errors.PlatformError, errors.MalformedMessageError):
            self._metrics.count("plan.frozen")

    def record_order_result(
        self, vm: ids.VmId, result: control_messages.OrderResult
    ) -> None:
        """Records an agent's response to an order of this router."""
        kind = "done" if result.kind is None else result.kind.value
        self._metrics.count(f"plan.order_{kind}")
        if self._rollout is not None:
            self._rollout.handle_result(vm, result, self._clock.now())
            self._tick_requested.set()

    async def _run_ticks(self) -> None:
        while True:
            sleeping = asyncio.ensure_future(
                self._clock.sleep(PLANNING_INTERVAL_SECONDS)
            )
            waking = asyncio.ensure_future(self._tick_requested.wait())
            tasks = (sleeping, waking)
            try:
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in tasks:
                    task.cancel()
            self._tick_requested.clear()
            await self.tick()

    async def _run_watch(self) -> None:
        while True:
            try:
                stored = await plan_store.read(self._store)
                self._accept_stored_plan(stored)
                async with asyncio.timeout(MAX_WATCH_SECONDS):
                    await self._follow(stored.revision)
            except (errors.NutmegError, TimeoutError):
                self._metrics.count("plan.read_failed")
            self._plan_was_read = True
            await self._clock.sleep(REREAD_INTERVAL_SECONDS)

    async def _follow(self, revision: ids.Revision) -> None:
        start = ids.Revision(revision + 1)
        changes = self._store.watch(plan_store.PLAN_KEY, start=start)
        async for batch in changes:
            for event in batch:
                if event.kind is kv.WatchKind.PUT:
                    new = plan_store.decode(event.entry.value)
                    mod_revision = event.entry.mod_revision
                    self._accept_stored_plan(
                        plan_store.StoredPlan(new, mod_revision)
                    )

    def _accept_stored_plan(self, stored: plan_store.StoredPlan) -> None:
        self._plan_was_read = True
        current = self._board.read(blackboard_entries.PLAN)
        if stored.plan.order < current.order and current.fencing_number > 0:
            # The service was restored with an older plan.
            self._metrics.count("plan.stale")
            self._rollout = None
            return
        if stored.revision != kv.NEVER_WRITTEN:
            self._adopt(stored.plan)

    def _adopt(self, new: plan.Plan) -> None:
        if new.order <= self._board.read(blackboard_entries.PLAN).order:
            return
        self._board.write(
            blackboard_entries.PLAN, new, blackboard.Controller.PLAN
        )
        self._routing.set_plan(new)
        self._metrics.count("plan.changed")
        self._metrics.gauge("plan.generation", new.generation)
        _logger.info(
            "plan in force",
            extra={
                "generation": new.generation,
                "fencing_number": new.fencing_number,
                "runners": len(new.assignments),
            },
        )

    def _members_changed(self) -> None:
        """Plans at once if there is no plan or the plan lacks live layers."""
        self._record_members(self._clock.now())
        if not self._board.read(blackboard_entries.PLAN).assignments:
            self._plan_locally(self._runners_on(self._listed_vms()))
        if self._lacks_layers():
            self._tick_requested.set()

    def _plan_locally(self, runners: list[planner.Runner]) -> None:
        current = self._board.read(blackboard_entries.PLAN)
        if current.fencing_number > 0 or not self._plan_was_read:
            return
        declared = self._declared()
        if not runners or self._local_plan_input == (runners, declared):
            return
        self._local_plan_input = (runners, declared)
        new = planner.make_plan(runners, declared, current)
        if new.assignments != current.assignments:
            self._adopt(new)

    async def _run_planner(self, number: ids.FencingNumber, now: float) -> None:
        if self._board.read(blackboard_entries.PLAN).fencing_number > number:
            self._metrics.count("plan.planner_stale")
            self._rollout = None
            return
        if self._rollout is None or number != self._fencing_number:
            await self._start_rollout(number, now)
        if self._rollout is None or not self._sees_enough_runners():
            return
        runners = self._choose_runners(now)
        await self._update_target(self._rollout, runners)
        orders = self._rollout.step(self._incarnations(), now)
        # The plan is written before the orders are sent, so that a planner that
        # was superseded sends none.
        running = self._rollout
        try:
            await self._publish(running, runners)
        except errors.NutmegError:
            running.cancel_orders(orders)
            raise
        for vm_order in orders:
            self._metrics.count("plan.orders")
            self._post(vm_order.vm, vm_order.order)

    async def _start_rollout(
        self, number: ids.FencingNumber, now: float
    ) -> None:
        """Starts a rollout from the newest known plan, if there is one."""
        self._rollout = None
        stored = await plan_store.read(self._store)
        if stored.plan.fencing_number > number:
            self._metrics.count("plan.planner_stale")
            return
        self._adopt(stored.plan)
        newest = self._board.read(blackboard_entries.PLAN)
        if not newest.assignments:
            return
        self._stored = stored
        self._fencing_number = number
        self._target = newest
        self._target_input = None
        self._published_ranges = None
        self._rollout = rollout.Rollout(number)
        self._rollout.start_from(newest)
        self._members.adopt({a.vm for a in newest.assignments}, now)

    async def _update_target(
        self, running: rollout.Rollout, runners: list[planner.Runner]
    ) -> None:
        declared = self._declared()
        if self._target_input == (runners, declared):
            return
        if len(runners) > MAX_IN_LOOP_RUNNER_COUNT:
            target = await asyncio.to_thread(
                planner.make_plan, runners, declared, self._target
            )
        else:
            target = planner.make_plan(runners, declared, self._target)
        self._target_input = (runners, declared)
        moved = planner.count_moved_layers(self._target, target)
        self._metrics.count("plan.layers_moved", moved)
        self._target = target
        self._published_ranges = None
        adapters_by_version = {
            (model.id, version.id): version.adapters
            for model in declared.models
            for version in model.versions
        }
        running.set_target(target, adapters_by_version)

    async def _publish(
        self, running: rollout.Rollout, runners: list[planner.Runner]
    ) -> None:
        held_by_key = dict(running.held_by_key)
        if self._stored is None or held_by_key == self._published_ranges:
            return
        ranges_by_version: dict[
            plan.VersionKey, dict[ids.VmId, placement.Range]
        ] = {}
        for (vm, model, version), held in held_by_key.items():
            ranges_by_version.setdefault((model, version), {})[vm] = held
        current = self._board.read(blackboard_entries.PLAN)
        new = plan_assembly.assemble(
            runners,
            self._declared(),
            ranges_by_version,
            max(current.generation, self._stored.plan.generation) + 1,
            self._fencing_number,
        )
        if new.assignments != self._stored.plan.assignments:
            self._stored = await plan_store.write(
                self._store, new, self._stored
            )
            self._adopt(new)
        self._published_ranges = held_by_key

    def _declared(self) -> declaration.Declaration:
        return self._board.read(blackboard_entries.CONFIGURATION).declared

    def _record_members(self, now: float) -> None:
        members = self._board.read(blackboard_entries.MEMBERS)
        live = [v for v, m in members.items() if _is_live(m)]
        leaving = [
            vm
            for vm, member in members.items()
            if member.state is states.VmState.LEAVING
        ]
        self._members.update(live, leaving, now)

    def _choose_runners(self, now: float) -> list[planner.Runner]:
        """Returns the stable runners; all live ones if layers are missing."""
        if self._lacks_layers():
            return self._runners_on(set(self._incarnations()))
        return self._runners_on(set(self._members.stable(now)))

    def _sees_enough_runners(self) -> bool:
        """Returns whether enough of the planned runners are visible.

        If not, this router is more likely partitioned than the runners lost.
        """
        current = self._board.read(blackboard_entries.PLAN)
        planned = {a.vm for a in current.assignments}
        live = len(planned & set(self._incarnations()))
        if live >= MIN_VISIBLE_RUNNER_RATIO * len(planned):
            return True
        self._metrics.count("plan.too_few_visible")
        return False

    def _lacks_layers(self) -> bool:
        current = self._board.read(blackboard_entries.PLAN)
        live = self._incarnations()
        held: dict[plan.VersionKey, set[int]] = {}
        for a in current.assignments:
            layers = held.setdefault((a.model, a.version), set())
            if a.vm in live:
                layers.update(range(a.first_layer, a.end_layer))
        return not held or any(
            len(layers) < current.layers_by_model.get(model, 0)
            for (model, _), layers in held.items()
        )

    def _listed_vms(self) -> set[ids.VmId]:
        members = self._board.read(blackboard_entries.MEMBERS)
        leaving = states.VmState.LEAVING
        return {vm for vm, m in members.items() if m.state is not leaving}

    def _incarnations(self) -> dict[ids.VmId, ids.Incarnation]:
        members = self._board.read(blackboard_entries.MEMBERS)
        return {
            vm: member.incarnation
            for vm, member in members.items()
            if _is_live(member) and member.incarnation is not None
        }

    def _runners_on(self, vms: set[ids.VmId]) -> list[planner.Runner]:
        class_by_id = {c.id: c for c in self._declared().backend_classes}
        runners = []
        members = self._board.read(blackboard_entries.MEMBERS)
        for vm in sorted(vms & set(members)):
            entry = members[vm].entry
            backend_class = class_by_id.get(entry.backend_class or "")
            if backend_class is None or backend_class.service is not None:
                continue
            runners.append(
                planner.Runner(
                    vm,
                    entry.failure_domain,
                    backend_class.layer_positions_per_second,
                    backend_class.memory_bytes,
                    backend_class.id,
                )
            )
        return runners


def _is_live(member: membership.Member) -> bool:
    return member.state is states.VmState.LIVE
