"""Routing under load: throughput, slow stages and stale reports."""

from collections.abc import Callable

from benchmarks import figures
from benchmarks import fleet
from benchmarks import fluid
from nutmeglift import plan

RUNNER_COUNT = 40
ROUTER_COUNT = 3
SEEDS = (1, 2, 3)
RUN_SECONDS = 24
SETTLED_AT_SECOND = 10
SLOWDOWN_AT_SECONDS = 12.0
SLOW_SPEED_RATIO = 0.1
REACTION_SECONDS = 5
PREFIX_WORKLOAD = fluid.Workload(
    prompt_tokens=320, prefixes=200, prefix_tokens=256, requests=800
)
FRESH_REPORTS = fluid.ReportDelivery(interval_seconds=0.25)
STALE_REPORTS = fluid.ReportDelivery(
    interval_seconds=2.0, lag_seconds=2.0, event_loss_ratio=0.1
)

MakeRouters = Callable[[plan.Plan], list[fluid.BaseRouter]]


def make_routers(made: plan.Plan) -> list[fluid.BaseRouter]:
    """Returns the routers under test."""
    return [fluid.PlanRouter(made, seed) for seed in range(ROUTER_COUNT)]


def make_baselines(policy: str) -> MakeRouters:
    """Returns a maker of routers with a simple policy."""
    return lambda made: [
        fluid.BaselineRouter(made, policy, seed) for seed in range(ROUTER_COUNT)
    ]


def run(
    made: plan.Plan,
    make: MakeRouters,
    load: fluid.Workload | None = None,
    reports: fluid.ReportDelivery | None = None,
) -> fluid.FluidFleet:
    """Runs a load and returns the fleet as it was left."""
    running = fluid.FluidFleet(
        made,
        load=load or fluid.Workload(),
        reports=reports or fluid.ReportDelivery(),
    )
    running.run(make(made), RUN_SECONDS)
    return running


def measure_flow_bound() -> figures.Measurement:
    """Worst of several fleets; the baseline is least in flight."""
    ratios: list[float] = []
    baselines: list[float] = []
    for seed in SEEDS:
        made = fluid.make_plan(fleet.make_runners(RUNNER_COUNT, seed))
        bound = fleet.max_plan_flow(made, fleet.make_declaration())
        ratios.append(
            run(made, make_routers).throughput(SETTLED_AT_SECOND, RUN_SECONDS)
            / bound
        )
        least = run(made, make_baselines("least in flight"))
        baselines.append(
            least.throughput(SETTLED_AT_SECOND, RUN_SECONDS) / bound
        )
    return figures.Measurement(min(ratios), min(baselines))


def measure_equal_split() -> figures.Measurement:
    """Over equal layer split with round robin; the baseline is at random."""
    runners = fleet.make_runners(RUNNER_COUNT)
    made = fluid.make_plan(runners)
    split = fleet.make_equal_split(runners, fleet.make_declaration())
    own = run(made, make_routers).throughput(SETTLED_AT_SECOND, RUN_SECONDS)
    round_robin = run(split, make_baselines("round robin"))
    base = round_robin.throughput(SETTLED_AT_SECOND, RUN_SECONDS)
    random = run(split, make_baselines("random"))
    return figures.Measurement(
        own / base, random.throughput(SETTLED_AT_SECOND, RUN_SECONDS) / base
    )


def measure_slowdown_loss(make: MakeRouters) -> float:
    """Loss beyond what the slow stage's own speed explains, at worst."""
    made = fluid.make_plan(fleet.make_runners(RUNNER_COUNT))
    declared = fleet.make_declaration()
    bound = fleet.max_plan_flow(made, declared)
    losses = []
    for assignment in made.assignments[:: RUNNER_COUNT // 4]:
        running = fluid.FluidFleet(
            made, load=fluid.Workload(), reports=fluid.ReportDelivery()
        )
        vm = assignment.vm

        def slow(running=running, vm=vm) -> None:
            running.speed_by_vm[vm] = SLOW_SPEED_RATIO

        running.run(make(made), RUN_SECONDS, {SLOWDOWN_AT_SECONDS: slow})
        before = (
            running.throughput(SETTLED_AT_SECOND - 2, int(SLOWDOWN_AT_SECONDS))
            / bound
        )
        after_at = int(SLOWDOWN_AT_SECONDS) + REACTION_SECONDS
        after = running.throughput(after_at, RUN_SECONDS) / bound
        speeds = {vm: SLOW_SPEED_RATIO}
        explained = 1 - fleet.max_plan_flow(made, declared, speeds) / bound
        losses.append(before - after - explained)
    return max(losses)


def measure_slow_stage() -> figures.Measurement:
    """The baseline is least in flight."""
    return figures.Measurement(
        measure_slowdown_loss(make_routers),
        measure_slowdown_loss(make_baselines("least in flight")),
    )


def measure_stale_throughput() -> figures.Measurement:
    """Worst of several fleets; the baseline is least in flight."""
    ratios: list[float] = []
    baselines: list[float] = []
    for seed in SEEDS[:2]:
        made = fluid.make_plan(fleet.make_runners(RUNNER_COUNT, seed))
        for make, found in (
            (make_routers, ratios),
            (make_baselines("least in flight"), baselines),
        ):
            fresh = run(made, make, PREFIX_WORKLOAD, FRESH_REPORTS)
            stale = run(made, make, PREFIX_WORKLOAD, STALE_REPORTS)
            found.append(
                stale.throughput(SETTLED_AT_SECOND, RUN_SECONDS)
                / fresh.throughput(SETTLED_AT_SECOND, RUN_SECONDS)
            )
    return figures.Measurement(min(ratios), min(baselines))


def measure_hit_rate(reports: fluid.ReportDelivery) -> figures.Measurement:
    """Cached over repeated blocks; the baseline is at random."""
    made = fluid.make_plan(fleet.make_runners(RUNNER_COUNT))
    rates = []
    for make in (make_routers, make_baselines("random")):
        running = run(made, make, PREFIX_WORKLOAD, reports)
        rates.append(running.cached_block_count / running.repeated_block_count)
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
        lambda: measure_hit_rate(FRESH_REPORTS),
    ),
    figures.Figure(
        "prefix_hit_rate_to_best_stale",
        "ratio",
        "",
        lambda: measure_hit_rate(STALE_REPORTS),
    ),
]
