"""Selection of a pipeline for each request."""

import random

from nutmeglift import control_messages
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import outliers
from nutmeglift import plan
from nutmeglift import prefix_index
from nutmeglift import route_search
from nutmeglift import route_tables

REFRESH_INTERVAL_SECONDS = 0.5
CACHE_DISCOUNT_RATIO = 0.5
"""Reduction of a runner's cost when it has the whole prompt in its cache."""
SLOW_START_INITIAL_RATIO = 0.1
"""Fraction of its planned flow that a new runner receives at first."""
SLOW_START_SECONDS = 10.0
RETRY_AFTER_SECONDS = 1.0


AvailableRunner = route_search.AvailableRunner
FindAvailableRunner = route_search.FindAvailableRunner


class PipelineSelector:
    """Selects pipelines by the plan, the runners' load and prefix caches.

    Attributes:
        outliers: detects slow and failing runners and reduces their weight.
        prefixes: index of the prompt prefixes that each runner has cached.
        stale_plans: number of plans rejected because they were older than
            the plan in force.
    """

    def __init__(self, rng: random.Random) -> None:
        self.outliers = outliers.OutlierDetector()
        self.prefixes = prefix_index.PrefixIndex()
        self.stale_plans = 0
        self._rng = rng
        self._plan = plan.Plan()
        self._state_by_vm: dict[ids.VmId, route_tables.RunnerState] = {}
        self._table_by_version: dict[
            plan.VersionKey, route_tables.VersionTable
        ] = {}
        self._refreshed_at = float("-inf")
        self._unusable: list[route_tables.RunnerState] = []
        self._underweighted: set[route_tables.RunnerState] = set()

    def set_plan(self, new_plan: plan.Plan) -> bool:
        """Puts a plan into force unless it is older than the current one.

        Returns:
            False if the plan was rejected as older than the one in force.
        """
        if new_plan.order < self._plan.order:
            self.stale_plans += 1
            return False
        old_tables = self._table_by_version
        self._drop_moved_runners(new_plan)
        known = set(self._state_by_vm)
        self._table_by_version = route_tables.make_tables(
            new_plan, self._get_or_create_state
        )
        for assignment in new_plan.assignments:
            group = assignment.backend_class
            self.outliers.add(assignment.vm, group)
            state = self._state_by_vm[assignment.vm]
            state.awaits_slow_start = bool(known) and assignment.vm not in known
            self._underweighted.add(state)
        route_tables.carry_over_in_flight(old_tables, self._table_by_version)
        self._plan = new_plan
        self._refreshed_at = float("-inf")
        return True

    def record_load(
        self, vm: ids.VmId, load: messages.LoadReport, now: float
    ) -> None:
        """Records a load report that has just arrived."""
        state = self._state_by_vm.get(vm)
        if state is None:
            return
        state.load.record_report(load, now)
        state.update_cost()
        self.record_step(vm, load.step_seconds, load.running, now)

    def record_step(
        self, vm: ids.VmId, seconds: float, running: int, now: float
    ) -> None:
        """Records the duration of an engine step and its batch size.

        Args:
            vm: the runner's VM.
            seconds: duration of the step.
            running: number of sequences in the batch.
            now: clock time in seconds.
        """
        state = self._state_by_vm.get(vm)
        if state is None:
            return
        self.outliers.record_step(
            vm,
            seconds=seconds,
            layers=state.load.layers,
            running=running,
            now=now,
        )
        self._update_weight(state, now)

    def record_cache_events(
        self, vm: ids.VmId, events: control_messages.CacheEvents, now: float
    ) -> None:
        """Records cache events that have just arrived."""
        if vm in self._state_by_vm:
            self.prefixes.record_events(vm, events, now)

    def choose(
        self,
        model: ids.ModelId,
        version: ids.VersionId,
        adapter: ids.AdapterId | None,
        *,
        tokens: tuple[int, ...],
        find: FindAvailableRunner,
        avoid: frozenset[ids.VmId],
        now: float,
    ) -> messages.Pipeline:
        """Chooses a pipeline that covers all layers of a model.

        Follows the plan where possible; otherwise searches all runners.

        Args:
            model: the model.
            version: the model's version.
            adapter: the adapter to apply, if any.
            tokens: the prompt.
            find: returns the available runner on a VM, or None when it
                cannot be used.
            avoid: VMs to use only when there is no alternative.
            now: clock time in seconds.

        Raises:
            errors.RefusedError: a layer has no usable runner.
        """
        self._refresh(now)
        table = self._table_by_version.get((model, version))
        if table is None:
            raise _refuse(f"no runner holds {model} {version}")
        match = self.prefixes.match(tokens)
        stages = self._follow_plan(table, match, find, avoid)
        if stages is None:
            stages = route_search.search(table, self._make_finder(find), avoid)
        if stages is None:
            raise _refuse(f"a layer of {model} {version} has no usable runner")
        if match.digests:
            self.prefixes.record_dispatch(self._runner_bits(stages), match, now)
        return messages.Pipeline(model, version, adapter, tuple(stages))

    def request_started(self, pipeline: messages.Pipeline, now: float) -> None:
        """Records that a request was dispatched to a pipeline."""
        self._change_in_flight(pipeline, 1, now)

    def request_ended(
        self, pipeline: messages.Pipeline, failed: ids.VmId | None, now: float
    ) -> None:
        """Records that a request has finished on a pipeline.

        Args:
            pipeline: the pipeline.
            failed: the VM that caused a failure, or None on success.
            now: clock time in seconds.
        """
        self._change_in_flight(pipeline, -1, now)
        if failed is None:
            for stage in pipeline.stages:
                self.outliers.record_result(stage.vm, False, now)
            return
        self.outliers.record_result(failed, True, now)
        state = self._state_by_vm.get(failed)
        if state is not None:
            self._update_weight(state, now)

    def _get_or_create_state(self, vm: ids.VmId) -> route_tables.RunnerState:
        state = self._state_by_vm.get(vm)
        if state is None:
            number = self.prefixes.number_of(vm)
            state = route_tables.RunnerState(vm, number)
            self._state_by_vm[vm] = state
        return state

    def _drop_moved_runners(self, new_plan: plan.Plan) -> None:
        """Drops the state of runners that were removed or hold other layers."""
        ranges_by_vm = route_tables.ranges_by_vm(new_plan)
        for vm, old in route_tables.ranges_by_vm(self._plan).items():
            if vm not in ranges_by_vm:
                gone = self._state_by_vm.pop(vm, None)
                if gone is not None:
                    self._underweighted.discard(gone)
                self.prefixes.forget(vm)
                self.outliers.forget(vm)
            elif ranges_by_vm[vm] != old:
                self.prefixes.clear(vm)

    def _refresh(self, now: float) -> None:
        if now - self._refreshed_at < REFRESH_INTERVAL_SECONDS:
            return
        self._refreshed_at = now
        self.prefixes.expire(now)
        for state in self._unusable:
            state.usable = True
        self._unusable.clear()
        for state in self._state_by_vm.values():
            state.load.refresh(now)
            state.update_cost()
        for state in list(self._underweighted):
            self._update_weight(state, now)

    def _update_weight(
        self, state: route_tables.RunnerState, now: float
    ) -> None:
        weight = self.outliers.traffic_share_ratio(state.vm, now)
        if state.awaits_slow_start:
            state.awaits_slow_start = False
            state.slow_start_began_at = now
        if state.slow_start_began_at is not None:
            age = (now - state.slow_start_began_at) / SLOW_START_SECONDS
            weight *= min(
                1.0,
                SLOW_START_INITIAL_RATIO + (1 - SLOW_START_INITIAL_RATIO) * age,
            )
            if age >= 1:
                state.slow_start_began_at = None
        state.set_weight(weight)
        if weight < 1:
            self._underweighted.add(state)
        else:
            self._underweighted.discard(state)

    def _follow_plan(
        self,
        table: route_tables.VersionTable,
        match: prefix_index.Match,
        find: FindAvailableRunner,
        avoid: frozenset[ids.VmId],
    ) -> list[messages.Stage] | None:
        stages: list[messages.Stage] = []
        layer = 0
        sender: route_tables.RunnerState | None = None
        while layer < table.layers:
            layer_table = table.table_by_layer.get(layer)
            if layer_table is None:
                return None
            stage = self._choose_planned_stage(
                layer_table, sender, match, find, avoid
            )
            if stage is None:
                return None
            stages.append(stage)
            layer = stage.end_layer
            sender = self._state_by_vm[stage.vm]
        return stages

    def _choose_planned_stage(
        self,
        layer_table: route_tables.LayerTable,
        sender: route_tables.RunnerState | None,
        match: prefix_index.Match,
        find: FindAvailableRunner,
        avoid: frozenset[ids.VmId],
    ) -> messages.Stage | None:
        candidates = self._sample(layer_table, match)
        chosen = self._find_cheapest(candidates, sender, match, avoid)
        if chosen is None:
            candidates = layer_table.planned
            chosen = self._find_cheapest(candidates, sender, match, avoid)
        while chosen is not None:
            found = self._look_up(chosen, find)
            if found is not None:
                return route_search.make_stage(chosen, found)
            candidates = layer_table.planned
            chosen = self._find_cheapest(candidates, sender, match, avoid)
        return None

    def _sample(
        self, layer_table: route_tables.LayerTable, match: prefix_index.Match
    ) -> list[route_tables.Candidate]:
        planned = layer_table.planned
        count = len(planned)
        if count <= route_tables.MAX_SAMPLED_RUNNER_COUNT:
            return planned
        start = int(self._rng.random() * count)
        sample = layer_table.ring[
            start : start + route_tables.MAX_SAMPLED_RUNNER_COUNT
        ]
        for level in match.levels:
            holders = level.runner_bits & layer_table.runner_bits
            if holders:
                number = (holders & -holders).bit_length() - 1
                sample.append(layer_table.candidate_by_number[number])
                break
        return sample

    def _find_cheapest(
        self,
        candidates: list[route_tables.Candidate],
        sender: route_tables.RunnerState | None,
        match: prefix_index.Match,
        avoid: frozenset[ids.VmId],
    ) -> route_tables.Candidate | None:
        best = None
        lowest_cost = float("inf")
        link_costs = sender.link_cost_by_domain if sender is not None else None
        levels = match.levels
        selective = bool(avoid or self._unusable)
        for candidate in candidates:
            state = candidate.state
            if selective and (not state.usable or state.vm in avoid):
                continue
            cost = state.cost + candidate.cost * state.inverse_weight
            for level in levels:
                if level.runner_bits >> state.number & 1:
                    cost *= (
                        1.0 - CACHE_DISCOUNT_RATIO * level.blocks / match.blocks
                    )
                    break
            if link_costs:
                link_cost = link_costs.get(state.failure_domain, 0.0)
                cost = max(cost, link_cost)
            if cost < lowest_cost:
                lowest_cost = cost
                best = candidate
        return best

    def _look_up(
        self, chosen: route_tables.Candidate, find: FindAvailableRunner
    ) -> AvailableRunner | None:
        state = chosen.state
        found = find(state.vm)
        if found is None:
            state.usable = False
            self._unusable.append(state)
            return None
        if found.incarnation != state.incarnation:
            if state.incarnation is not None:
                state.awaits_slow_start = True
                self._underweighted.add(state)
                self.prefixes.clear(state.vm)
            state.incarnation = found.incarnation
        return found

    def _runner_bits(self, stages: list[messages.Stage]) -> int:
        bits = 0
        for stage in stages:
            bits |= 1 << self._state_by_vm[stage.vm].number
        return bits

    def _make_finder(
        self, find: FindAvailableRunner
    ) -> route_search.FindForCandidate:
        return lambda chosen: self._look_up(chosen, find)

    def _change_in_flight(
        self, pipeline: messages.Pipeline, by: int, now: float
    ) -> None:
        table = self._table_by_version.get((pipeline.model, pipeline.version))
        sender: route_tables.RunnerState | None = None
        for stage in pipeline.stages:
            state = self._state_by_vm.get(stage.vm)
            if state is None:
                sender = None
                continue
            state.load.change(by, now)
            state.update_cost()
            if sender is not None and sender.link_limit_by_domain:
                sender.record_forwarded(state.failure_domain, by)
            if table is not None:
                entry = (stage.vm, stage.first_layer)
                candidate = table.candidate_by_entry.get(entry)
                if candidate is not None:
                    candidate.change_in_flight(by)
            sender = state


def _refuse(detail: str) -> errors.RefusedError:
    return errors.RefusedError(
        detail,
        kind=errors.ErrorKind.NO_BACKEND,
        retry_after=RETRY_AFTER_SECONDS,
    )
