"""Processor time and memory of routing decisions."""

import collections
import random
import statistics
import time
import tracemalloc

from benchmarks import figures
from benchmarks import fleet
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import plan
from nutmeglift import planner
from nutmeglift import routing
from nutmeglift import subsetting

DECISIONS_PER_BATCH = 1000
BATCH_COUNT = 9
REQUESTS_PER_SECOND = 150
PROMPT_TOKENS = 512
PROMPT_COUNT = 50
IN_FLIGHT_COUNT = 400
MAX_CONNECTION_COUNT = 64


def make_prompts(rng: random.Random) -> list[tuple[int, ...]]:
    """Returns prompts that consist of random tokens."""
    return [
        tuple(rng.randrange(50_000) for _ in range(PROMPT_TOKENS))
        for _ in range(PROMPT_COUNT)
    ]


def make_plan(count: int) -> plan.Plan:
    """Returns a fleet's plan, restricted to the runners of one router."""
    runners = fleet.make_runners(count)
    full_plan = planner.make_plan(
        runners, fleet.make_declaration(), plan.Plan()
    )
    router = ids.VmId("entry-1")
    chosen = subsetting.choose_runners(router, full_plan, MAX_CONNECTION_COUNT)
    return subsetting.restrict_plan(full_plan, chosen)


def make_finder(layer_plan: plan.Plan) -> routing.FindAvailableRunner:
    """Returns a lookup function for which every runner is available."""
    candidate_by_vm = {
        a.vm: routing.AvailableRunner(
            a.vm, "10.0.0.1:1", ids.Incarnation("1"), a.failure_domain
        )
        for a in layer_plan.assignments
    }
    return candidate_by_vm.get


class DecisionLoad:
    """Makes routing decisions with a constant number of requests in flight."""

    def __init__(self, count: int) -> None:
        rng = random.Random(1)
        layer_plan = make_plan(count)
        self._find = make_finder(layer_plan)
        self._selector = routing.PipelineSelector(rng)
        self._selector.set_plan(layer_plan)
        self._prompts = make_prompts(rng)
        self._in_flight: collections.deque[messages.Pipeline] = (
            collections.deque()
        )
        self._decision_count = 0

    def run(self, decisions: int) -> float:
        """Makes decisions and returns the processor seconds of the choices."""
        choice_seconds = 0.0
        for _ in range(decisions):
            self._decision_count += 1
            now = self._decision_count / REQUESTS_PER_SECOND
            tokens = self._prompts[self._decision_count % PROMPT_COUNT]
            started = time.process_time()
            pipeline = self._selector.choose(
                fleet.MODEL,
                fleet.VERSION,
                None,
                tokens=tokens,
                find=self._find,
                avoid=frozenset(),
                now=now,
            )
            choice_seconds += time.process_time() - started
            self._selector.request_started(pipeline, now)
            self._in_flight.append(pipeline)
            if len(self._in_flight) > IN_FLIGHT_COUNT:
                self._selector.request_ended(
                    self._in_flight.popleft(), None, now
                )
        return choice_seconds


def measure_decision_time(count: int) -> figures.Measurement:
    """Measures the processor time of one choice, in microseconds.

    The value is the median over the batches. The baseline is the time of a
    choice including the start and the end of its request.
    """
    load = DecisionLoad(count)
    load.run(DECISIONS_PER_BATCH)
    choice_times: list[float] = []
    cycle_times: list[float] = []
    for _ in range(BATCH_COUNT):
        started = time.process_time()
        choice_times.append(
            load.run(DECISIONS_PER_BATCH) / DECISIONS_PER_BATCH * 1e6
        )
        cycle_times.append(
            (time.process_time() - started) / DECISIONS_PER_BATCH * 1e6
        )
    return figures.Measurement(
        statistics.median(choice_times), statistics.median(cycle_times)
    )


def measure_memory() -> figures.Measurement:
    """Measures the bytes per runner with a full prefix index."""
    layer_plan = make_plan(40)
    rng = random.Random(1)
    tracemalloc.start()
    selector = routing.PipelineSelector(rng)
    selector.set_plan(layer_plan)
    find = make_finder(layer_plan)
    for index in range(6000):
        tokens = tuple(rng.randrange(50_000) for _ in range(PROMPT_TOKENS))
        selector.choose(
            fleet.MODEL,
            fleet.VERSION,
            None,
            tokens=tokens,
            find=find,
            avoid=frozenset(),
            now=index / 150,
        )
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return figures.Measurement(size / len(layer_plan.assignments))


def make_decision_figure(count: int) -> figures.Figure:
    """Returns the figure for a fleet of a given size."""
    return figures.Figure(
        f"routing_decision_time_{count}",
        "µs",
        "<= 60",
        lambda: measure_decision_time(count),
    )


FIGURES = [
    make_decision_figure(40),
    make_decision_figure(400),
    make_decision_figure(4000),
    figures.Figure("routing_memory_per_runner", "bytes", "", measure_memory),
]
