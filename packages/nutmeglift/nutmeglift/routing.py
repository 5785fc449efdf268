"""Chooses a pipeline for each request."""

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

REFRESH_SECONDS = 0.5
AFFINITY = 0.5
"""Part of the load that a wholly cached prompt is taken to save."""
JOIN_SHARE = 0.1
"""Part of its planned flow that a joining runner gets at first."""
JOIN_SECONDS = 10.0
RETRY_AFTER_SECONDS = 1.0


Candidate = route_search.Candidate
Find = route_search.Find


class Routing:
    """Chooses pipelines by the plan, the load and the prefix caches.

    Attributes:
        outliers: ejects slow and failing runners.
        prefixes: which runners hold which prefixes.
        stale_plans: number of plans refused for being older than the one in
            force.
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
        self._distrusted: set[route_tables.RunnerState] = set()

    def set_plan(self, new_plan: plan.Plan) -> bool:
        """Takes a new plan into force.

        Returns:
            False if it is older than the plan in force.
        """
        if new_plan.order < self._plan.order:
            self.stale_plans += 1
            return False
        old_tables = self._table_by_version
        self._forget_moved(new_plan)
        known = set(self._state_by_vm)
        self._table_by_version = route_tables.make_tables(new_plan, self._state)
        for assignment in new_plan.assignments:
            group = assignment.backend_class
            self.outliers.add(assignment.vm, group)
            state = self._state_by_vm[assignment.vm]
            state.joining = bool(known) and assignment.vm not in known
            self._distrusted.add(state)
        route_tables.carry_over(old_tables, self._table_by_version)
        self._plan = new_plan
        self._refreshed_at = float("-inf")
        return True

    def note_load(
        self, vm: ids.VmId, load: messages.LoadReport, now: float
    ) -> None:
        """Takes a load report that arrived now."""
        state = self._state_by_vm.get(vm)
        if state is None:
            return
        state.load.record_report(load, now)
        state.update_cost()
        self.record_step(vm, load.step_seconds, load.running, now)

    def record_step(
        self, vm: ids.VmId, seconds: float, running: int, now: float
    ) -> None:
        """Takes the duration of a step and the sequences in its batch."""
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
        self._set_trust(state, now)

    def note_cache_events(
        self, vm: ids.VmId, events: control_messages.CacheEvents, now: float
    ) -> None:
        """Takes cache events that arrived now."""
        if vm in self._state_by_vm:
            self.prefixes.note_events(vm, events, now)

    def choose(
        self,
        model: ids.ModelId,
        version: ids.VersionId,
        adapter: ids.AdapterId | None,
        *,
        tokens: tuple[int, ...],
        find: Find,
        avoid: frozenset[ids.VmId],
        now: float,
    ) -> messages.Pipeline:
        """Chooses a whole pipeline.

        Args:
            model: the model.
            version: its version.
            adapter: the adapter.
            tokens: the prompt.
            find: returns a VM's candidate, or None when it can't be used.
            avoid: VMs to use only when there is no other way.
            now: seconds.

        Raises:
            errors.RefusedError: some layer has no usable runner.
        """
        self._refresh(now)
        table = self._table_by_version.get((model, version))
        if table is None:
            raise _refuse(f"no runner holds {model} {version}")
        match = self.prefixes.match(tokens)
        stages = self._follow_plan(table, match, find, avoid)
        if stages is None:
            stages = route_search.search(table, self._find_all(find), avoid)
        if stages is None:
            raise _refuse(f"some layer of {model} {version} has no runner")
        if match.digests:
            self.prefixes.note_dispatch(self._bits_of(stages), match, now)
        return messages.Pipeline(model, version, adapter, tuple(stages))

    def started(self, pipeline: messages.Pipeline, now: float) -> None:
        """Notes that a request was given to a pipeline."""
        self._change_in_flight(pipeline, 1, now)

    def ended(
        self, pipeline: messages.Pipeline, failed: ids.VmId | None, now: float
    ) -> None:
        """Notes that a request left a pipeline.

        Args:
            pipeline: the pipeline.
            failed: the VM at fault, or None.
            now: seconds.
        """
        self._change_in_flight(pipeline, -1, now)
        if failed is None:
            for stage in pipeline.stages:
                self.outliers.record_result(stage.vm, False, now)
            return
        self.outliers.record_result(failed, True, now)
        state = self._state_by_vm.get(failed)
        if state is not None:
            self._set_trust(state, now)

    def _state(self, vm: ids.VmId) -> route_tables.RunnerState:
        state = self._state_by_vm.get(vm)
        if state is None:
            number = self.prefixes.number_of(vm)
            state = route_tables.RunnerState(vm, number)
            self._state_by_vm[vm] = state
        return state

    def _forget_moved(self, new_plan: plan.Plan) -> None:
        """Drops what is known of runners that left or hold other layers."""
        ranges_by_vm = route_tables.ranges_by_vm(new_plan)
        for vm, old in route_tables.ranges_by_vm(self._plan).items():
            if vm not in ranges_by_vm:
                gone = self._state_by_vm.pop(vm, None)
                if gone is not None:
                    self._distrusted.discard(gone)
                self.prefixes.forget(vm)
                self.outliers.forget(vm)
            elif ranges_by_vm[vm] != old:
                self.prefixes.clear(vm)

    def _refresh(self, now: float) -> None:
        if now - self._refreshed_at < REFRESH_SECONDS:
            return
        self._refreshed_at = now
        self.prefixes.expire(now)
        for state in self._unusable:
            state.usable = True
        self._unusable.clear()
        for state in self._state_by_vm.values():
            state.load.refresh(now)
            state.update_cost()
        for state in list(self._distrusted):
            self._set_trust(state, now)

    def _set_trust(self, state: route_tables.RunnerState, now: float) -> None:
        trust = self.outliers.traffic_share_ratio(state.vm, now)
        if state.joining:
            state.joining = False
            state.joined_at = now
        if state.joined_at is not None:
            age = (now - state.joined_at) / JOIN_SECONDS
            trust *= min(1.0, JOIN_SHARE + (1 - JOIN_SHARE) * age)
            if age >= 1:
                state.joined_at = None
        state.set_trust(trust)
        if trust < 1:
            self._distrusted.add(state)
        else:
            self._distrusted.discard(state)

    def _follow_plan(
        self,
        table: route_tables.VersionTable,
        match: prefix_index.Match,
        find: Find,
        avoid: frozenset[ids.VmId],
    ) -> list[messages.Stage] | None:
        stages: list[messages.Stage] = []
        layer = 0
        sender: route_tables.RunnerState | None = None
        while layer < table.layers:
            at_layer = table.table_by_layer.get(layer)
            if at_layer is None:
                return None
            stage = self._choose_stage(at_layer, sender, match, find, avoid)
            if stage is None:
                return None
            stages.append(stage)
            layer = stage.end_layer
            sender = self._state_by_vm[stage.vm]
        return stages

    def _choose_stage(
        self,
        at_layer: route_tables.LayerTable,
        sender: route_tables.RunnerState | None,
        match: prefix_index.Match,
        find: Find,
        avoid: frozenset[ids.VmId],
    ) -> messages.Stage | None:
        candidates = self._sample(at_layer, match)
        chosen = self._find_cheapest(candidates, sender, match, avoid)
        if chosen is None:
            candidates = at_layer.planned
            chosen = self._find_cheapest(candidates, sender, match, avoid)
        while chosen is not None:
            found = self._find(chosen, find)
            if found is not None:
                return route_search.make_stage(chosen, found)
            candidates = at_layer.planned
            chosen = self._find_cheapest(candidates, sender, match, avoid)
        return None

    def _sample(
        self, at_layer: route_tables.LayerTable, match: prefix_index.Match
    ) -> list[route_tables.Candidate]:
        planned = at_layer.planned
        count = len(planned)
        if count <= route_tables.MAX_SAMPLE:
            return planned
        start = int(self._rng.random() * count)
        sample = at_layer.ring[start : start + route_tables.MAX_SAMPLE]
        for level in match.levels:
            holders = level.runners & at_layer.runners
            if holders:
                number = (holders & -holders).bit_length() - 1
                sample.append(at_layer.candidate_by_number[number])
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
        lowest = float("inf")
        link_costs = sender.link_cost_by_domain if sender is not None else None
        levels = match.levels
        selective = bool(avoid or self._unusable)
        for candidate in candidates:
            state = candidate.state
            if selective and (not state.usable or state.vm in avoid):
                continue
            cost = state.cost + candidate.cost * state.distrust
            for level in levels:
                if level.runners >> state.number & 1:
                    cost *= 1.0 - AFFINITY * level.blocks / match.blocks
                    break
            if link_costs:
                link_cost = link_costs.get(state.failure_domain, 0.0)
                cost = max(cost, link_cost)
            if cost < lowest:
                lowest = cost
                best = candidate
        return best

    def _find(
        self, chosen: route_tables.Candidate, find: Find
    ) -> Candidate | None:
        state = chosen.state
        found = find(state.vm)
        if found is None:
            state.usable = False
            self._unusable.append(state)
            return None
        if found.incarnation != state.incarnation:
            if state.incarnation is not None:
                state.joining = True
                self._distrusted.add(state)
                self.prefixes.clear(state.vm)
            state.incarnation = found.incarnation
        return found

    def _bits_of(self, stages: list[messages.Stage]) -> int:
        bits = 0
        for stage in stages:
            bits |= 1 << self._state_by_vm[stage.vm].number
        return bits

    def _find_all(self, find: Find) -> route_search.FindCandidate:
        return lambda chosen: self._find(chosen, find)

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
            if sender is not None and sender.limit_by_domain:
                sender.note_sent(state.failure_domain, by)
            if table is not None:
                entry = (stage.vm, stage.first_layer)
                candidate = table.candidate_by_entry.get(entry)
                if candidate is not None:
                    candidate.change(by)
            sender = state


def _refuse(detail: str) -> errors.RefusedError:
    return errors.RefusedError(
        detail,
        kind=errors.ErrorKind.NO_BACKEND,
        retry_after=RETRY_AFTER_SECONDS,
    )
