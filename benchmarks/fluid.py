"""Fluid-flow simulation of requests that share runners and links.

Each step of simulated time divides the capacity of every runner and link among
the requests that use it. The allocation is max-min fair, which approximates
engines with continuous batching.
"""

from collections.abc import Callable
import dataclasses
import random

import numpy as np

from benchmarks import fleet
from nutmeglift import control_messages
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import plan
from nutmeglift import planner
from nutmeglift import prefix_index
from nutmeglift import routing

STEP_SECONDS = 0.1
MAX_REQUEST_TOKENS_PER_SECOND = 25.0
"""Maximum token rate of one request, imposed by the delay of its stages."""
BASE_ENGINE_STEP_SECONDS = 0.004

Choose = Callable[[tuple[int, ...], float], messages.Pipeline]


@dataclasses.dataclass
class SimulatedRequest:
    """One request in flight.

    Attributes:
        pipeline: stages on which it runs.
        router: index of the router that dispatched it.
        remaining: positions that are still to run.
        total_positions: positions to run in total.
    """

    pipeline: messages.Pipeline
    router: int
    remaining: float
    total_positions: float


@dataclasses.dataclass(frozen=True)
class Workload:
    """Requests that the callers keep in flight.

    Attributes:
        requests: number of requests in flight over all routers, after the
            ramp-up.
        prompt_tokens: length of a prompt.
        answer_tokens: shortest and longest generated text.
        prefixes: number of distinct prompt prefixes.
        prefix_tokens: length of a prefix.
    """

    requests: int = 800
    prompt_tokens: int = 64
    answer_tokens: tuple[int, int] = (40, 160)
    prefixes: int = 0
    prefix_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class ReportDelivery:
    """Timing and loss of the reports from runners to routers.

    Attributes:
        interval_seconds: time between two reports.
        lag_seconds: age of a report when it arrives.
        event_loss_ratio: share of cache events that are lost.
    """

    interval_seconds: float = 1.0
    lag_seconds: float = 0.0
    event_loss_ratio: float = 0.0


class FluidFleet:
    """Simulates requests on the runners of a plan.

    Attributes:
        positions_by_second: number of positions run, by second.
        cached_block_count: leading prompt blocks that were in the caches of all
            stages of the chosen pipeline.
        repeated_block_count: prompt blocks that some runner had run before.
        speed_by_vm: factor on each runner's speed.
    """

    def __init__(
        self,
        layer_plan: plan.Plan,
        *,
        load: Workload,
        reports: ReportDelivery,
        seed: int = 1,
    ) -> None:
        self.positions_by_second: dict[int, float] = {}
        self.cached_block_count = 0
        self.repeated_block_count = 0
        self.speed_by_vm = {a.vm: 1.0 for a in layer_plan.assignments}
        self._plan = layer_plan
        self._load = load
        self._reports = reports
        self._rng = random.Random(seed)
        self._requests: list[SimulatedRequest] = []
        self._index_by_vm = {
            a.vm: n for n, a in enumerate(layer_plan.assignments)
        }
        rate_by_class = {
            kind.name: kind.layer_positions_per_second
            for kind in fleet.ACCELERATOR_KINDS
        }
        self._rates = np.array(
            [rate_by_class[a.backend_class] for a in layer_plan.assignments]
        )
        self._limit_by_pair = {
            (link.source, link.target): link.tokens_per_second
            for link in layer_plan.links
        }
        self._domain_by_vm = {
            a.vm: a.failure_domain for a in layer_plan.assignments
        }
        self._cached_by_vm: dict[ids.VmId, dict[str, None]] = {
            a.vm: {} for a in layer_plan.assignments
        }
        self._seen_blocks: set[str] = set()
        self._events_by_vm: dict[
            ids.VmId, list[control_messages.CacheEvent | None]
        ] = {a.vm: [] for a in layer_plan.assignments}
        self._sent_by_vm: dict[ids.VmId, int] = {}
        self._snapshots: list[tuple[float, dict[ids.VmId, tuple[int, float]]]]
        self._snapshots = []
        self._prefixes = [
            self._random_tokens(load.prefix_tokens)
            for _ in range(load.prefixes)
        ]

    def run(
        self,
        routers: list["BaseRouter"],
        seconds: float,
        action_by_second: dict[float, Callable[[], None]] | None = None,
    ) -> None:
        """Runs the workload through the given routers.

        Args:
            routers: routers, of which each request goes to a random one.
            seconds: simulated duration.
            action_by_second: actions to run at given times of the simulation.
        """
        pending = sorted(
            (action_by_second or {}).items(), key=lambda item: item[0]
        )
        next_report = self._reports.interval_seconds
        for step in range(int(seconds / STEP_SECONDS)):
            now = step * STEP_SECONDS
            while pending and pending[0][0] <= now:
                pending.pop(0)[1]()
            self._start(routers, now)
            self._advance(routers, now)
            if now >= next_report:
                next_report += self._reports.interval_seconds
                self._report(routers, now)

    def throughput(self, first: int, end: int) -> float:
        """Returns the mean positions per second from `first` up to `end`."""
        run = sum(self.positions_by_second[s] for s in range(first, end))
        return run / (end - first)

    def _random_tokens(self, count: int) -> tuple[int, ...]:
        return tuple(self._rng.randrange(50_000) for _ in range(count))

    def _start(self, routers: list["BaseRouter"], now: float) -> None:
        target_count = int(self._load.requests * min(1.0, (now + 0.1) / 4))
        while len(self._requests) < target_count:
            prefix: tuple[int, ...] = ()
            if self._prefixes:
                # Skewed popularity: some prefixes are far more frequent.
                rank = int(len(self._prefixes) * self._rng.random() ** 2)
                prefix = self._prefixes[rank]
            rest = self._load.prompt_tokens - len(prefix)
            prompt = prefix + self._random_tokens(rest)
            number = self._rng.randrange(len(routers))
            pipeline = routers[number].choose(prompt, now)
            routers[number].request_started(pipeline, now)
            cached = self._cache_prompt(pipeline, prompt)
            answer = self._rng.randint(*self._load.answer_tokens)
            positions = float(len(prompt) - cached + answer)
            self._requests.append(
                SimulatedRequest(pipeline, number, positions, positions)
            )

    def _cache_prompt(
        self, pipeline: messages.Pipeline, prompt: tuple[int, ...]
    ) -> int:
        if not self._prefixes:
            return 0
        blocks = prefix_index.hash_prefix_blocks(prompt)
        shortest = len(blocks)
        for stage in pipeline.stages:
            held = self._cached_by_vm[stage.vm]
            length = 0
            while length < len(blocks) and blocks[length] in held:
                length += 1
            shortest = min(shortest, length)
            for block in blocks:
                if block not in held:
                    self._queue_event(stage.vm, block)
                held[block] = None
        self.cached_block_count += shortest
        self.repeated_block_count += sum(
            block in self._seen_blocks for block in blocks
        )
        self._seen_blocks.update(blocks)
        return shortest * prefix_index.BLOCK_TOKENS

    def _queue_event(self, vm: ids.VmId, block: str) -> None:
        lost = self._rng.random() < self._reports.event_loss_ratio
        event = None if lost else control_messages.CacheEvent(block, True)
        self._events_by_vm[vm].append(event)

    def _advance(self, routers: list["BaseRouter"], now: float) -> None:
        rates = self._allocate_rates()
        second = int(now)
        run = 0.0
        unfinished: list[SimulatedRequest] = []
        for request, rate in zip(self._requests, rates, strict=True):
            done = min(request.remaining, float(rate) * STEP_SECONDS)
            run += done
            request.remaining -= done
            if request.remaining > 1e-9:
                unfinished.append(request)
            else:
                routers[request.router].request_ended(request.pipeline, now)
        self._requests = unfinished
        before = self.positions_by_second.get(second, 0.0)
        self.positions_by_second[second] = before + run

    def _allocate_rates(self) -> np.ndarray:
        """Returns the rates of the requests, in positions per second.

        The array has the shape (requests,).
        """
        users: list[int] = []
        resources: list[int] = []
        weights: list[float] = []
        capacities = list(self._rates * list(self.speed_by_vm.values()))
        number_by_link: dict[tuple[ids.VmId, ids.FailureDomain], int] = {}
        for user, request in enumerate(self._requests):
            sender: ids.VmId | None = None
            for stage in request.pipeline.stages:
                users.append(user)
                resources.append(self._index_by_vm[stage.vm])
                weights.append(float(stage.end_layer - stage.first_layer))
                if sender is not None and self._limit_by_pair:
                    link = (sender, self._domain_by_vm[stage.vm])
                    if link not in number_by_link:
                        number_by_link[link] = len(capacities)
                        pair = (self._domain_by_vm[sender], link[1])
                        capacities.append(self._limit_by_pair[pair])
                    users.append(user)
                    resources.append(number_by_link[link])
                    weights.append(1.0)
                sender = stage.vm
        return _max_min_fair_rates(
            len(self._requests),
            np.array(users, dtype=int),
            np.array(resources, dtype=int),
            np.array(weights),
            np.array(capacities),
        )

    def _report(self, routers: list["BaseRouter"], now: float) -> None:
        running_by_vm = dict.fromkeys(self._index_by_vm, 0)
        for request in self._requests:
            for stage in request.pipeline.stages:
                running_by_vm[stage.vm] += 1
        snapshot = {}
        for assignment in self._plan.assignments:
            vm = assignment.vm
            layers = assignment.end_layer - assignment.first_layer
            rate = self._rates[self._index_by_vm[vm]] * self.speed_by_vm[vm]
            work = running_by_vm[vm] * layers / rate
            step = BASE_ENGINE_STEP_SECONDS / self.speed_by_vm[vm] + work / 10
            snapshot[vm] = (running_by_vm[vm], step)
        self._snapshots.append((now, snapshot))
        visible = self._snapshots[0]
        for taken in self._snapshots:
            if taken[0] <= now - self._reports.lag_seconds:
                visible = taken
        for vm, (running, step) in visible[1].items():
            report = messages.LoadReport(
                running, 0, step, 0.0, 0, now - visible[0]
            )
            for router in routers:
                router.record_load(vm, report, now)
        self._flush_events(routers, now)

    def _flush_events(self, routers: list["BaseRouter"], now: float) -> None:
        for vm, events in self._events_by_vm.items():
            batch: list[control_messages.CacheEvent] = []
            first = self._sent_by_vm.get(vm, 0) + 1
            for number, event in enumerate(events, first):
                if event is not None:
                    batch.append(event)
                    continue
                self._deliver_events(
                    routers, vm, number - len(batch), batch, now
                )
                batch = []
            end = first + len(events)
            self._deliver_events(routers, vm, end - len(batch), batch, now)
            self._sent_by_vm[vm] = end - 1
            events.clear()

    def _deliver_events(
        self,
        routers: list["BaseRouter"],
        vm: ids.VmId,
        first: int,
        batch: list[control_messages.CacheEvent],
        now: float,
    ) -> None:
        if not batch:
            return
        events = control_messages.CacheEvents(first, tuple(batch))
        for router in routers:
            router.record_cache_events(vm, events, now)


def _max_min_fair_rates(
    count: int,
    users: np.ndarray,
    resources: np.ndarray,
    weights: np.ndarray,
    capacities: np.ndarray,
) -> np.ndarray:
    """Returns max-min fair rates, computed by progressive filling.

    All rates rise together; a rate stops when a resource that it uses is
    exhausted.
    """
    rates = np.zeros(count)
    rising = np.ones(count, dtype=bool)
    remaining = capacities.copy()
    while rising.any():
        active = rising[users]
        demand = np.bincount(
            resources[active], weights[active], minlength=len(remaining)
        )
        used = demand > 0
        room = np.full(len(remaining), np.inf)
        room[used] = np.maximum(remaining[used], 0.0) / demand[used]
        rise = min(
            float(room.min()),
            MAX_REQUEST_TOKENS_PER_SECOND - rates[rising].max(),
        )
        rates[rising] += rise
        remaining -= rise * demand
        full = used & (remaining <= 1e-6 * capacities)
        rising[users[full[resources]]] = False
        rising &= rates < MAX_REQUEST_TOKENS_PER_SECOND - 1e-9
    return rates


class BaseRouter:
    """Base class of the routing policies."""

    def choose(self, tokens: tuple[int, ...], now: float) -> messages.Pipeline:
        """Returns the pipeline for a prompt."""
        raise NotImplementedError

    def request_started(self, pipeline: messages.Pipeline, now: float) -> None:
        """Records the start of a request."""

    def request_ended(self, pipeline: messages.Pipeline, now: float) -> None:
        """Records the end of a request."""

    def record_load(
        self, vm: ids.VmId, load: messages.LoadReport, now: float
    ) -> None:
        """Records a load report."""

    def record_cache_events(
        self, vm: ids.VmId, events: control_messages.CacheEvents, now: float
    ) -> None:
        """Records cache events."""


class PlanRouter(BaseRouter):
    """Policy under test: the production pipeline selector."""

    def __init__(self, layer_plan: plan.Plan, seed: int) -> None:
        self.routing = routing.PipelineSelector(random.Random(seed))
        self.routing.set_plan(layer_plan)
        self._candidate_by_vm = {
            a.vm: routing.AvailableRunner(
                a.vm, "10.0.0.1:1", ids.Incarnation("1"), a.failure_domain
            )
            for a in layer_plan.assignments
        }

    def choose(self, tokens: tuple[int, ...], now: float) -> messages.Pipeline:
        """Returns the pipeline for a prompt."""
        return self.routing.choose(
            fleet.MODEL,
            fleet.VERSION,
            None,
            tokens=tokens,
            find=self._candidate_by_vm.get,
            avoid=frozenset(),
            now=now,
        )

    def request_started(self, pipeline: messages.Pipeline, now: float) -> None:
        """Records the start of a request."""
        self.routing.request_started(pipeline, now)

    def request_ended(self, pipeline: messages.Pipeline, now: float) -> None:
        """Records the end of a request."""
        self.routing.request_ended(pipeline, None, now)

    def record_load(
        self, vm: ids.VmId, load: messages.LoadReport, now: float
    ) -> None:
        """Records a load report."""
        self.routing.record_load(vm, load, now)

    def record_cache_events(
        self, vm: ids.VmId, events: control_messages.CacheEvents, now: float
    ) -> None:
        """Records cache events."""
        self.routing.record_cache_events(vm, events, now)


class BaselineRouter(BaseRouter):
    """Baseline policy: round robin, random or least in flight.

    Each stage is chosen among the runners whose range includes its first
    layer.
    """

    def __init__(self, layer_plan: plan.Plan, policy: str, seed: int) -> None:
        self._policy = policy
        self._rng = random.Random(seed)
        self._turn_by_layer: dict[int, int] = {}
        self._in_flight_by_vm = {a.vm: 0 for a in layer_plan.assignments}
        self._holders_by_layer: dict[int, list[plan.Assignment]] = {
            layer: [
                a
                for a in layer_plan.assignments
                if a.first_layer <= layer < a.end_layer
            ]
            for layer in range(fleet.LAYERS)
        }

    def choose(self, tokens: tuple[int, ...], now: float) -> messages.Pipeline:
        """Returns the pipeline for a prompt."""
        layer = 0
        stages = []
        while layer < fleet.LAYERS:
            chosen = self._pick(layer, self._holders_by_layer[layer])
            stages.append(
                messages.Stage(
                    chosen.vm,
                    "10.0.0.1:1",
                    ids.Incarnation("1"),
                    layer,
                    chosen.end_layer,
                )
            )
            layer = chosen.end_layer
        return messages.Pipeline(
            fleet.MODEL, fleet.VERSION, None, tuple(stages)
        )

    def request_started(self, pipeline: messages.Pipeline, now: float) -> None:
        """Records the start of a request."""
        for stage in pipeline.stages:
            self._in_flight_by_vm[stage.vm] += 1

    def request_ended(self, pipeline: messages.Pipeline, now: float) -> None:
        """Records the end of a request."""
        for stage in pipeline.stages:
            self._in_flight_by_vm[stage.vm] -= 1

    def _pick(
        self, layer: int, found: list[plan.Assignment]
    ) -> plan.Assignment:
        match self._policy:
            case "round robin":
                turn = self._turn_by_layer.get(layer, 0)
                self._turn_by_layer[layer] = turn + 1
                return found[turn % len(found)]
            case "random":
                return self._rng.choice(found)
            case _:
                return min(found, key=lambda a: self._in_flight_by_vm[a.vm])


def make_plan(
    runners: list[planner.Runner],
) -> plan.Plan:
    """Returns the plan that the planner computes for a fleet."""
    return planner.make_plan(runners, fleet.make_declaration(), plan.Plan())
