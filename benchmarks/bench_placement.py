"""Layer placement: flow against its bound, planning time, moved layers."""

import time

from benchmarks import figures
from benchmarks import fleet
from nutmeglift import codec
from nutmeglift import plan
from nutmeglift import planner

SEEDS = range(1, 6)
RUNNER_COUNTS = (40, 400, 1200)


def measure_flow_to_bound() -> figures.Measurement:
    """Measures the smallest ratio of flow to its upper bound over the fleets.

    The baseline splits the layers equally.
    """
    declared = fleet.make_declaration()
    ratios: list[float] = []
    baselines: list[float] = []
    for seed in SEEDS:
        runners = fleet.make_runners(40, seed)
        bound = fleet.throughput_upper_bound(runners, declared)
        layer_plan = planner.make_plan(runners, declared, plan.Plan())
        ratios.append(fleet.max_plan_flow(layer_plan, declared) / bound)
        split = fleet.make_equal_split(runners, declared)
        baselines.append(fleet.max_plan_flow(split, declared) / bound)
    return figures.Measurement(min(ratios), min(baselines))


def measure_plan_time(count: int) -> figures.Measurement:
    """Measures the time to compute a first plan.

    The baseline is the time to compute the equal split.
    """
    declared = fleet.make_declaration()
    runners = fleet.make_runners(count)
    started = time.perf_counter()
    planner.make_plan(runners, declared, plan.Plan())
    planned = time.perf_counter()
    fleet.make_equal_split(runners, declared)
    split = time.perf_counter()
    return figures.Measurement(planned - started, split - planned)


def measure_moved_layers() -> figures.Measurement:
    """Measures the share of layers reloaded when one of 40 runners is lost.

    The value is the maximum over the fleets. The baseline ignores the previous
    plan.
    """
    declared = fleet.make_declaration()
    shares, baselines = [], []
    for seed in SEEDS:
        runners = fleet.make_runners(40, seed)
        old = planner.make_plan(runners, declared, plan.Plan())
        held_layers = sum(a.end_layer - a.first_layer for a in old.assignments)
        new = planner.make_plan(runners[1:], declared, old)
        shares.append(planner.count_moved_layers(old, new) / held_layers)
        fresh = planner.make_plan(runners[1:], declared, plan.Plan())
        baselines.append(planner.count_moved_layers(old, fresh) / held_layers)
    return figures.Measurement(max(shares), max(baselines))


def measure_plan_bytes() -> figures.Measurement:
    """Measures the size of a stored plan per runner, as a slope."""
    declared = fleet.make_declaration()
    sizes = [
        len(
            codec.encode(
                planner.make_plan(
                    fleet.make_runners(count), declared, plan.Plan()
                )
            )
        )
        for count in RUNNER_COUNTS
    ]
    return figures.Measurement(figures.slope(RUNNER_COUNTS, sizes))


FIGURES = [
    figures.Figure("plan_bytes_per_runner", "bytes", "", measure_plan_bytes),
    figures.Figure(
        "placement_flow_to_fluid_bound",
        "ratio",
        ">= 0.9",
        measure_flow_to_bound,
    ),
    figures.Figure(
        "placement_moved_layers_one_lost", "ratio", "", measure_moved_layers
    ),
    figures.Figure("plan_time_40", "s", "", lambda: measure_plan_time(40)),
    figures.Figure("plan_time_400", "s", "", lambda: measure_plan_time(400)),
    figures.Figure("plan_time_1200", "s", "", lambda: measure_plan_time(1200)),
]
