"""Routing: processor time and memory of its decisions."""

import random
import time
import tracemalloc

from benchmarks import figures
from benchmarks import fleet
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import plan
from nutmeglift import planner
from nutmeglift import routing

DECISIONS = 4000
PROMPT_TOKENS = 512
PROMPTS = 50
IN_FLIGHT = 400


def make_prompts(rng: random.Random) -> list[tuple[int, ...]]:
    """Returns prompts of random tokens."""
    return [
        tuple(rng.randrange(50_000) for _ in range(PROMPT_TOKENS))
        for _ in range(PROMPTS)
    ]


def make_plan(count: int) -> plan.Plan:
    """Returns a plan for a fleet, of the runners that a router reaches."""
    runners = fleet.make_runners(count)
    return planner.make_plan(runners, fleet.make_declaration(), plan.Plan())


def make_finder(made: plan.Plan) -> routing.Find:
    """Returns a function that finds every runner of a plan."""
    candidate_by_vm = {
        a.vm: routing.Candidate(
            a.vm, "10.0.0.1:1", ids.Incarnation("1"), a.failure_domain
        )
        for a in made.assignments
    }
    return candidate_by_vm.get


def measure_decision_time(count: int) -> figures.Measured:
    """Microseconds of one choice; the baseline adds started and ended."""
    rng = random.Random(1)
    made = make_plan(count)
    find = make_finder(made)
    routes = routing.Routing(rng)
    routes.set_plan(made)
    prompts = make_prompts(rng)
    in_flight: list[messages.Pipeline] = []
    chosen = 0.0
    begun = time.process_time()
    for index in range(DECISIONS):
        now = index / 150
        choice_begun = time.process_time()
        pipeline = routes.choose(
            fleet.MODEL,
            fleet.VERSION,
            None,
            tokens=prompts[index % PROMPTS],
            find=find,
            avoid=frozenset(),
            now=now,
        )
        chosen += time.process_time() - choice_begun
        routes.started(pipeline, now)
        in_flight.append(pipeline)
        if len(in_flight) > IN_FLIGHT:
            routes.ended(in_flight.pop(0), None, now)
    whole = time.process_time() - begun
    return figures.Measured(chosen / DECISIONS * 1e6, whole / DECISIONS * 1e6)


def measure_memory() -> figures.Measured:
    """Bytes for each runner, its prefix index full."""
    made = make_plan(400)
    rng = random.Random(1)
    tracemalloc.start()
    routes = routing.Routing(rng)
    routes.set_plan(made)
    find = make_finder(made)
    for index in range(6000):
        tokens = tuple(rng.randrange(50_000) for _ in range(PROMPT_TOKENS))
        routes.choose(
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
    return figures.Measured(size / len(made.assignments))


def make_decision_figure(count: int) -> figures.Figure:
    """Returns the figure for a fleet of some size."""
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
