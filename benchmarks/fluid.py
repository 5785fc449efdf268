"""A small fluid model: requests share runners and links while they run.

Each step of simulated time divides every runner and link among the requests
that run through it, max-min fairly, as engines do that batch continuously.
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
REQUEST_TOKENS_PER_SECOND = 25.0
"""Most tokens a second of one request, by the delay of its stages."""
ENGINE_STEP_SECONDS = 0.004

Choose = Callable[[tuple[int, ...], float], messages.Pipeline]


@dataclasses.dataclass
class Request:
    """One request in flight.

    Attributes:
        pipeline: where it runs.
        router: index of the router that sent it.
        left: positions that are still to run.
        positions: positions to run in all.
    """

    pipeline: messages.Pipeline
    router: int
    left: float
    positions: float


@dataclasses.dataclass(frozen=True)
class Load:
    """What the callers do.

    Attributes:
        requests: requests in flight at any time, over all routers.
        prompt_tokens: length of a prompt.
        answer_tokens: shortest and longest answer.
        prefixes: number of different prompt prefixes.
        prefix_tokens: length of a prefix.
    """

    requests: int = 800
    prompt_tokens: int = 64
    answer_tokens: tuple[int, int] = (40, 160)
    prefixes: int = 0
    prefix_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class Reports:
    """How the routers hear of the runners.

    Attributes:
        interval: seconds between two reports.
        lag: age of a report when it arrives.
        event_loss: share of cache events that are lost.
    """

    interval: float = 1.0
    lag: float = 0.0
    event_loss: float = 0.0


class FluidFleet:
    """Runs requests over the runners of a plan.

    Attributes:
        positions_by_second: positions that were run, by second.
        hits: blocks of prompts that were found in a cache, at first stages.
        repeats: blocks that some runner had run before.
        speed_by_vm: factor on each runner's speed.
    """

    def __init__(
        self,
        made: plan.Plan,
        *,
        load: Load,
        reports: Reports,
        seed: int = 1,
    ) -> None:
        self.positions_by_second: dict[int, float] = {}
        self.hits = 0
        self.repeats = 0
        self.speed_by_vm = {a.vm: 1.0 for a in made.assignments}
        self._plan = made
        self._load = load
        self._reports = reports
        self._rng = random.Random(seed)
        self._requests: list[Request] = []
        self._index_by_vm = {a.vm: n for n, a in enumerate(made.assignments)}
        rate_by_class = {kind.name: kind.rate for kind in fleet.KINDS}
        self._rates = np.array(
            [rate_by_class[a.backend_class] for a in made.assignments]
        )
        self._limit_by_pair = {
            (link.source, link.target): link.tokens_per_second
            for link in made.links
        }
        self._domain_by_vm = {a.vm: a.failure_domain for a in made.assignments}
        self._cached_by_vm: dict[ids.VmId, dict[str, None]] = {
            a.vm: {} for a in made.assignments
        }
        self._seen: set[str] = set()
        self._events_by_vm: dict[
            ids.VmId, list[control_messages.CacheEvent | None]
        ] = {a.vm: [] for a in made.assignments}
        self._sent_by_vm: dict[ids.VmId, int] = {}
        self._reported: list[tuple[float, dict[ids.VmId, tuple[int, float]]]]
        self._reported = []
        self._prefixes = [
            self._tokens(load.prefix_tokens) for _ in range(load.prefixes)
        ]

    def run(
        self,
        routers: list["BaseRouter"],
        seconds: float,
        at: dict[float, Callable[[], None]] | None = None,
    ) -> None:
        """Runs the load through some routers.

        Args:
            routers: they get requests by turns.
            seconds: how long.
            at: what to do at certain times.
        """
        pending = sorted((at or {}).items(), key=lambda item: item[0])
        next_report = self._reports.interval
        for step in range(int(seconds / STEP_SECONDS)):
            now = step * STEP_SECONDS
            while pending and pending[0][0] <= now:
                pending.pop(0)[1]()
            self._start(routers, now)
            self._advance(routers, now)
            if now >= next_report:
                next_report += self._reports.interval
                self._report(routers, now)

    def throughput(self, first: int, end: int) -> float:
        """Returns the positions a second between two seconds."""
        run = sum(self.positions_by_second[s] for s in range(first, end))
        return run / (end - first)

    def _tokens(self, count: int) -> tuple[int, ...]:
        return tuple(self._rng.randrange(50_000) for _ in range(count))

    def _start(self, routers: list["BaseRouter"], now: float) -> None:
        ramp = int(self._load.requests * min(1.0, (now + 0.1) / 4))
        while len(self._requests) < ramp:
            prefix: tuple[int, ...] = ()
            if self._prefixes:
                # Some documents are asked about far more than others.
                rank = int(len(self._prefixes) * self._rng.random() ** 2)
                prefix = self._prefixes[rank]
            rest = self._load.prompt_tokens - len(prefix)
            prompt = prefix + self._tokens(rest)
            number = self._rng.randrange(len(routers))
            pipeline = routers[number].choose(prompt, now)
            routers[number].request_started(pipeline, now)
            cached = self._note_prefixes(pipeline, prompt)
            answer = self._rng.randint(*self._load.answer_tokens)
            positions = float(len(prompt) - cached + answer)
            self._requests.append(
                Request(pipeline, number, positions, positions)
            )

    def _note_prefixes(
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
                    self._publish(stage.vm, block)
                held[block] = None
        self.hits += shortest
        self.repeats += sum(block in self._seen for block in blocks)
        self._seen.update(blocks)
        return shortest * prefix_index.BLOCK_TOKENS

    def _publish(self, vm: ids.VmId, block: str) -> None:
        lost = self._rng.random() < self._reports.event_loss
        event = None if lost else control_messages.CacheEvent(block, True)
        self._events_by_vm[vm].append(event)

    def _advance(self, routers: list["BaseRouter"], now: float) -> None:
        rates = self._share()
        second = int(now)
        run = 0.0
        left: list[Request] = []
        for request, rate in zip(self._requests, rates, strict=True):
            done = min(request.left, float(rate) * STEP_SECONDS)
            run += done
            request.left -= done
            if request.left > 1e-9:
                left.append(request)
            else:
                routers[request.router].request_ended(request.pipeline, now)
        self._requests = left
        before = self.positions_by_second.get(second, 0.0)
        self.positions_by_second[second] = before + run

    def _share(self) -> np.ndarray:
        """Returns the requests' rates, shape (requests,)."""
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
        return _fill(
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
            step = ENGINE_STEP_SECONDS / self.speed_by_vm[vm] + work / 10
            snapshot[vm] = (running_by_vm[vm], step)
        self._reported.append((now, snapshot))
        shown = self._reported[0]
        for taken in self._reported:
            if taken[0] <= now - self._reports.lag:
                shown = taken
        for vm, (running, step) in shown[1].items():
            report = messages.LoadReport(
                running, 0, step, 0.0, 0, now - shown[0]
            )
            for router in routers:
                router.record_load(vm, report, now)
        self._send_events(routers, now)

    def _send_events(self, routers: list["BaseRouter"], now: float) -> None:
        for vm, events in self._events_by_vm.items():
            batch: list[control_messages.CacheEvent] = []
            first = self._sent_by_vm.get(vm, 0) + 1
            for number, event in enumerate(events, first):
                if event is not None:
                    batch.append(event)
                    continue
                self._send(routers, vm, number - len(batch), batch, now)
                batch = []
            end = first + len(events)
            self._send(routers, vm, end - len(batch), batch, now)
            self._sent_by_vm[vm] = end - 1
            events.clear()

    def _send(
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


def _fill(
    count: int,
    users: np.ndarray,
    resources: np.ndarray,
    weights: np.ndarray,
    capacities: np.ndarray,
) -> np.ndarray:
    """Raises all rates together; each stops when a resource is used up."""
    rates = np.zeros(count)
    rising = np.ones(count, dtype=bool)
    left = capacities.copy()
    while rising.any():
        active = rising[users]
        demand = np.bincount(
            resources[active], weights[active], minlength=len(left)
        )
        used = demand > 0
        room = np.full(len(left), np.inf)
        room[used] = np.maximum(left[used], 0.0) / demand[used]
        rise = min(
            float(room.min()), REQUEST_TOKENS_PER_SECOND - rates[rising].max()
        )
        rates[rising] += rise
        left -= rise * demand
        full = used & (left <= 1e-6 * capacities)
        rising[users[full[resources]]] = False
        rising &= rates < REQUEST_TOKENS_PER_SECOND - 1e-9
    return rates


class BaseRouter:
    """Something that chooses pipelines: a policy under test."""

    def choose(self, tokens: tuple[int, ...], now: float) -> messages.Pipeline:
        """Returns a pipeline."""
        raise NotImplementedError

    def request_started(self, pipeline: messages.Pipeline, now: float) -> None:
        """Notes a request that started."""

    def request_ended(self, pipeline: messages.Pipeline, now: float) -> None:
        """Notes a request that ended."""

    def record_load(
        self, vm: ids.VmId, load: messages.LoadReport, now: float
    ) -> None:
        """Takes a load report."""

    def record_cache_events(
        self, vm: ids.VmId, events: control_messages.CacheEvents, now: float
    ) -> None:
        """Takes cache events."""


class PlanRouter(BaseRouter):
    """The router under test."""

    def __init__(self, made: plan.Plan, seed: int) -> None:
        self.routing = routing.PipelineSelector(random.Random(seed))
        self.routing.set_plan(made)
        self._candidate_by_vm = {
            a.vm: routing.AvailableRunner(
                a.vm, "10.0.0.1:1", ids.Incarnation("1"), a.failure_domain
            )
            for a in made.assignments
        }

    def choose(self, tokens: tuple[int, ...], now: float) -> messages.Pipeline:
        """Returns a pipeline."""
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
        """Notes a request that started."""
        self.routing.request_started(pipeline, now)

    def request_ended(self, pipeline: messages.Pipeline, now: float) -> None:
        """Notes a request that ended."""
        self.routing.request_ended(pipeline, None, now)

    def record_load(
        self, vm: ids.VmId, load: messages.LoadReport, now: float
    ) -> None:
        """Takes a load report."""
        self.routing.record_load(vm, load, now)

    def record_cache_events(
        self, vm: ids.VmId, events: control_messages.CacheEvents, now: float
    ) -> None:
        """Takes cache events."""
        self.routing.record_cache_events(vm, events, now)


class BaselineRouter(BaseRouter):
    """Round robin, random or least in flight over the ranges of a plan."""

    def __init__(self, made: plan.Plan, policy: str, seed: int) -> None:
        self._policy = policy
        self._rng = random.Random(seed)
        self._turn_by_layer: dict[int, int] = {}
        self._in_flight_by_vm = {a.vm: 0 for a in made.assignments}
        self._holders_by_layer: dict[int, list[plan.Assignment]] = {
            layer: [
                a
                for a in made.assignments
                if a.first_layer <= layer < a.end_layer
            ]
            for layer in range(fleet.LAYERS)
        }

    def choose(self, tokens: tuple[int, ...], now: float) -> messages.Pipeline:
        """Returns a pipeline."""
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
        """Notes a request that started."""
        for stage in pipeline.stages:
            self._in_flight_by_vm[stage.vm] += 1

    def request_ended(self, pipeline: messages.Pipeline, now: float) -> None:
        """Notes a request that ended."""
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
    """Returns the planner's plan for a fleet."""
    return planner.make_plan(runners, fleet.make_declaration(), plan.Plan())
