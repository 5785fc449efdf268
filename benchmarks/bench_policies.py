"""Routing under load: throughput, slow stages and stale reports."""

from collections.abc import Callable

from benchmarks import figures
from benchmarks import fleet
from benchmarks import fluid
from nutmeglift import plan

RUNNERS = 40
ROUTERS = 3
SEEDS = (1, 2, 3)
SECONDS = 24
SETTLED = 10
SLOW_AT = 12.0
SLOW_SPEED = 0.1
REACTION = 5
PREFIX_LOAD = fluid.Load(
    prompt_tokens=320, prefixes=200, prefix_tokens=256, requests=800
)
FRESH = fluid.Reports(interval=0.25)
STALE = fluid.Reports(interval=2.0, lag=2.0, event_loss=0.1)

MakeRouters = Callable[[plan.Plan], list[fluid.BaseRouter]]


def make_routers(made: plan.Plan) -> list[fluid.BaseRouter]:
    """Returns the routers under test."""
    return [fluid.PlanRouter(made, seed) for seed in range(ROUTERS)]


def make_baselines(policy: str) -> MakeRouters:
    """Returns a maker of routers with a simple policy."""
    return lambda made: [
        fluid.BaselineRouter(made, policy, seed) for seed in range(ROUTERS)
    ]


def run(
    made: plan.Plan,
    make: MakeRouters,
    load: fluid.Load | None = None,
    reports: fluid.Reports | None = None,
) -> fluid.FluidFleet:
    """Runs a load and returns the fleet as it was left."""
    running = fluid.FluidFleet(
        made, load=load or fluid.Load(), reports=reports or fluid.Reports()
    )
    running.run(make(made), SECONDS)
    return running


def measure_flow_bound() -> figures.Measurement:
    """Worst of several fleets; the baseline is least in flight."""
    ratios: list[float] = []
    baselines: list[float] = []
    for seed in SEEDS:
        made = fluid.make_plan(fleet.make_runners(RUNNERS, seed))
        bound = fleet.flow_of(made, fleet.make_declaration())
        ratios.append(
            run(made, make_routers).throughput(SETTLED, SECONDS) / bound
        )
        least = run(made, make_baselines("least in flight"))
        baselines.append(least.throughput(SETTLED, SECONDS) / bound)
    return figures.Measurement(min(ratios), min(baselines))


def measure_equal_split() -> figures.Measurement:
    """Over equal layer split with round robin; the baseline is at random."""
    runners = fleet.make_runners(RUNNERS)
    made = fluid.make_plan(runners)
    split = fleet.make_equal_split(runners, fleet.make_declaration())
    own = run(made, make_routers).throughput(SETTLED, SECONDS)
    turns = run(split, make_baselines("round robin"))
    base = turns.throughput(SETTLED, SECONDS)
    random = run(split, make_baselines("random"))
    return figures.Measurement(
        own / base, random.throughput(SETTLED, SECONDS) / base
    )


def measure_slow_loss(make: MakeRouters) -> float:
    """Loss beyond what the slow stage's own speed explains, at worst."""
    made = fluid.make_plan(fleet.make_runners(RUNNERS))
    declared = fleet.make_declaration()
    bound = fleet.flow_of(made, declared)
    losses = []
    for assignment in made.assignments[:: RUNNERS // 4]:
        running = fluid.FluidFleet(
            made, load=fluid.Load(), reports=fluid.Reports()
        )
        vm = assignment.vm

        def slow(running=running, vm=vm) -> None:
            running.speed_by_vm[vm] = SLOW_SPEED

        running.run(make(made), SECONDS, {SLOW_AT: slow})
        before = running.throughput(SETTLED - 2, int(SLOW_AT)) / bound
        after_at = int(SLOW_AT) + REACTION
        after = running.throughput(after_at, SECONDS) / bound
        speeds = {vm: SLOW_SPEED}
        explained = 1 - fleet.flow_of(made, declared, speeds) / bound
        losses.append(before - after - explained)
    return max(losses)


def measure_slow_stage() -> figures.Measurement:
    """The baseline is least in flight."""
    return figures.Measurement(
        measure_slow_loss(make_routers),
        measure_slow_loss(make_baselines("least in flight")),
    )


def measure_stale_throughput() -> figures.Measurement:
    """Worst of several fleets; the baseline is least in flight."""
    ratios: list[float] = []
    baselines: list[float] = []
    for seed in SEEDS[:2]:
        made = fluid.make_plan(fleet.make_runners(RUNNERS, seed))
        for make, found in (
            (make_routers, ratios),
            (make_baselines("least in flight"), baselines),
        ):
            fresh = run(made, make, PREFIX_LOAD, FRESH)
            stale = run(made, make, PREFIX_LOAD, STALE)
            found.append(
                stale.throughput(SETTLED, SECONDS)
                / fresh.throughput(SETTLED, SECONDS)
            )
    return figures.Measurement(min(ratios), min(baselines))


def measure_hit_rate(reports: fluid.Reports) -> figures.Measurement:
    """Cached over repeated blocks; the baseline is at random."""
    made = fluid.make_plan(fleet.make_runners(RUNNERS))
    rates = []
    for make in (make_routers, make_baselines("random")):
        running = run(made, make, PREFIX_LOAD, reports)
        rates.append(running.hits / running.repeats)
    return figures.Measurement(*rates)


FIGURES = [
    figures.Figure(
        "throughput_to_flow_bound", "ratio", ">= 0.92", measure_flow_bound
    ),
    figures.Figure(
        "throughput_to_equal_split_round_robin",
        "ratio",
        ">= 1.5",
        measure_equal_split,
    ),
    figures.Figure(
        "slow_stage_excess_loss", "ratio", "<= 0.1", measure_slow_stage
    ),
    figures.Figure(
        "stale_reports_throughput_ratio",
        "ratio",
        ">= 0.95",
        measure_stale_throughput,
    ),
    figures.Figure(
        "prefix_hit_rate_to_best",
        "ratio",
        "",
        lambda: measure_hit_rate(FRESH),
    ),
    figures.Figure(
        "prefix_hit_rate_to_best_stale",
        "ratio",
        "",
        lambda: measure_hit_rate(STALE),
    ),
]
