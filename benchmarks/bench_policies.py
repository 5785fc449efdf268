"""Routing policies under load: throughput, slow stages, stale reports."""

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

RouterFactory = Callable[[plan.Plan], list[fluid.BaseRouter]]


def make_routers(layer_plan: plan.Plan) -> list[fluid.BaseRouter]:
    """Returns the routers under test."""
    return [fluid.PlanRouter(layer_plan, seed) for seed in range(ROUTER_COUNT)]


def make_baselines(policy: str) -> RouterFactory:
    """Returns a factory of routers with a baseline policy."""
    return lambda layer_plan: [
        fluid.BaselineRouter(layer_plan, policy, seed)
        for seed in range(ROUTER_COUNT)
    ]


def run(
    layer_plan: plan.Plan,
    router_factory: RouterFactory,
    load: fluid.Workload | None = None,
    reports: fluid.ReportDelivery | None = None,
) -> fluid.FluidFleet:
    """Runs a workload and returns the simulated fleet."""
    simulation = fluid.FluidFleet(
        layer_plan,
        load=load or fluid.Workload(),
        reports=reports or fluid.ReportDelivery(),
    )
    simulation.run(router_factory(layer_plan), RUN_SECONDS)
    return simulation


def measure_flow_bound() -> figures.Measurement:
    """Measures the smallest ratio of throughput to flow bound over the fleets.

    The baseline is the least-in-flight policy.
    """
    ratios: list[float] = []
    baselines: list[float] = []
    for seed in SEEDS:
        layer_plan = fluid.make_plan(fleet.make_runners(RUNNER_COUNT, seed))
        bound = fleet.max_plan_flow(layer_plan, fleet.make_declaration())
        ratios.append(
            run(layer_plan, make_routers).throughput(
                SETTLED_AT_SECOND, RUN_SECONDS
            )
            / bound
        )
        least = run(layer_plan, make_baselines("least in flight"))
        baselines.append(
            least.throughput(SETTLED_AT_SECOND, RUN_SECONDS) / bound
        )
    return figures.Measurement(min(ratios), min(baselines))


def measure_equal_split() -> figures.Measurement:
    """Measures the throughput relative to round robin over an equal split.

    The baseline is random choice over the equal split, relative to the same.
    """
    runners = fleet.make_runners(RUNNER_COUNT)
    layer_plan = fluid.make_plan(runners)
    split = fleet.make_equal_split(runners, fleet.make_declaration())
    own = run(layer_plan, make_routers).throughput(
        SETTLED_AT_SECOND, RUN_SECONDS
    )
    round_robin = run(split, make_baselines("round robin"))
    base = round_robin.throughput(SETTLED_AT_SECOND, RUN_SECONDS)
    random = run(split, make_baselines("random"))
    return figures.Measurement(
        own / base, random.throughput(SETTLED_AT_SECOND, RUN_SECONDS) / base
    )


def measure_slowdown_loss(router_factory: RouterFactory) -> float:
    """Returns the largest throughput loss that the slowdown does not explain.

    One stage slows down; the loss of the maximum flow is subtracted from the
    loss of throughput. Both are ratios of the original maximum flow.
    """
    layer_plan = fluid.make_plan(fleet.make_runners(RUNNER_COUNT))
    declared = fleet.make_declaration()
    bound = fleet.max_plan_flow(layer_plan, declared)
    losses = []
    for assignment in layer_plan.assignments[:: RUNNER_COUNT // 4]:
        simulation = fluid.FluidFleet(
            layer_plan, load=fluid.Workload(), reports=fluid.ReportDelivery()
        )
        vm = assignment.vm

        def slow(simulation=simulation, vm=vm) -> None:
            simulation.speed_by_vm[vm] = SLOW_SPEED_RATIO

        simulation.run(
            router_factory(layer_plan), RUN_SECONDS, {SLOWDOWN_AT_SECONDS: slow}
        )
        before = (
            simulation.throughput(
                SETTLED_AT_SECOND - 2, int(SLOWDOWN_AT_SECONDS)
            )
            / bound
        )
        after_at = int(SLOWDOWN_AT_SECONDS) + REACTION_SECONDS
        after = simulation.throughput(after_at, RUN_SECONDS) / bound
        speeds = {vm: SLOW_SPEED_RATIO}
        explained = (
            1 - fleet.max_plan_flow(layer_plan, declared, speeds) / bound
        )
        losses.append(before - after - explained)
    return max(losses)


def measure_slow_stage() -> figures.Measurement:
    """Measures the excess loss caused by a slow stage.

    The baseline is the least-in-flight policy.
    """
    return figures.Measurement(
        measure_slowdown_loss(make_routers),
        measure_slowdown_loss(make_baselines("least in flight")),
    )


def measure_stale_throughput() -> figures.Measurement:
    """Measures the smallest ratio of throughput with stale to fresh reports.

    The ratio is the minimum over the fleets; the baseline is the
    least-in-flight policy.
    """
    ratios: list[float] = []
    baselines: list[float] = []
    for seed in SEEDS[:2]:
        layer_plan = fluid.make_plan(fleet.make_runners(RUNNER_COUNT, seed))
        for router_factory, results in (
            (make_routers, ratios),
            (make_baselines("least in flight"), baselines),
        ):
            fresh = run(
                layer_plan, router_factory, PREFIX_WORKLOAD, FRESH_REPORTS
            )
            stale = run(
                layer_plan, router_factory, PREFIX_WORKLOAD, STALE_REPORTS
            )
            results.append(
                stale.throughput(SETTLED_AT_SECOND, RUN_SECONDS)
                / fresh.throughput(SETTLED_AT_SECOND, RUN_SECONDS)
            )
    return figures.Measurement(min(ratios), min(baselines))


def measure_hit_rate(reports: fluid.ReportDelivery) -> figures.Measurement:
    """Measures the ratio of cached to repeated prompt blocks.

    The baseline is random choice.
    """
    layer_plan = fluid.make_plan(fleet.make_runners(RUNNER_COUNT))
    rates = []
    for router_factory in (make_routers, make_baselines("random")):
        simulation = run(layer_plan, router_factory, PREFIX_WORKLOAD, reports)
        rates.append(
            simulation.cached_block_count / simulation.repeated_block_count
        )
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
