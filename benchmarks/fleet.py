"""Fleets for the benchmarks, with reference plans and flow bounds."""

from collections.abc import Mapping
import dataclasses
import random
from types import MappingProxyType

from nutmeglift import declaration
from nutmeglift import flow
from nutmeglift import ids
from nutmeglift import plan
from nutmeglift import plan_assembly
from nutmeglift import planner

LAYERS = 60
MODEL = ids.ModelId("drafts")
VERSION = ids.VersionId("v1")
LAYER_BYTES = 1_000_000_000
HIDDEN_BYTES = 16_384
DOMAINS = tuple(ids.FailureDomain(f"domain-{n}") for n in (1, 2, 3))


@dataclasses.dataclass(frozen=True)
class AcceleratorKind:
    """A type of accelerator.

    Attributes:
        name: backend class of its runners.
        layer_positions_per_second: layers times positions per second.
        max_layers: number of layers of `LAYER_BYTES` whose weights fit its
            memory.
    """

    name: str
    layer_positions_per_second: float
    max_layers: int


ACCELERATOR_KINDS = (
    AcceleratorKind("a", 25_000, 23),
    AcceleratorKind("b", 13_000, 14),
    AcceleratorKind("c", 7_500, 11),
    AcceleratorKind("d", 4_200, 8),
    AcceleratorKind("e", 1_900, 5),
)
ACCELERATOR_KIND_WEIGHTS = (3, 5, 4, 4, 4)


def make_runners(count: int, seed: int = 1) -> list[planner.Runner]:
    """Returns runners of random kinds, spread evenly over failure domains."""
    rng = random.Random(seed)
    runners = []
    for index in range(count):
        kind = rng.choices(ACCELERATOR_KINDS, ACCELERATOR_KIND_WEIGHTS)[0]
        domain = DOMAINS[index % len(DOMAINS)]
        runners.append(
            planner.Runner(
                ids.VmId(f"runner-{index:05d}"),
                domain,
                kind.layer_positions_per_second,
                int(kind.max_layers * LAYER_BYTES / 0.4) + 1,
                kind.name,
            )
        )
    return runners


def make_declaration(
    slow_bytes_per_second: float = 12_500_000,
) -> declaration.Declaration:
    """Returns one model and links with bandwidths up to 100 times apart."""
    links = [
        declaration.DomainLink(
            between=(first, second),
            bytes_per_second=(
                100 * slow_bytes_per_second
                if first == second
                else slow_bytes_per_second * (10 if second == DOMAINS[1] else 1)
            ),
            latency_seconds=0.0001 if first == second else 0.0005,
        )
        for index, first in enumerate(DOMAINS)
        for second in DOMAINS[index:]
    ]
    return declaration.Declaration(
        models=(
            declaration.Model(
                id=MODEL,
                layers=LAYERS,
                layer_bytes=LAYER_BYTES,
                hidden_bytes=HIDDEN_BYTES,
                versions=(declaration.Version(id=VERSION),),
            ),
        ),
        routes=(
            declaration.Route(
                id=ids.RouteId("drafts"), model=MODEL, version=VERSION
            ),
        ),
        links=tuple(links),
    )


def throughput_upper_bound(
    runners: list[planner.Runner], declared: declaration.Declaration
) -> float:
    """Returns an upper bound on any placement's flow, in tokens per second."""
    model = declared.models[0]
    share = planner.WEIGHT_MEMORY_RATIOS[0]
    best_link = max(plan_assembly.link_limits(declared, model).values())
    return flow.throughput_upper_bound(
        [r.layer_positions_per_second for r in runners],
        [int(r.memory_bytes * share) // model.layer_bytes for r in runners],
        model.layers,
        best_link,
    )


def make_equal_split(
    runners: list[planner.Runner], declared: declaration.Declaration
) -> plan.Plan:
    """Returns a plan of equal layer ranges, assigned to runners in rotation.

    The ranges fit the runner with the least memory.
    """
    model = declared.models[0]
    share = planner.WEIGHT_MEMORY_RATIOS[0]
    layers_per_stage = min(
        int(r.memory_bytes * share) // model.layer_bytes for r in runners
    )
    stages = -(-model.layers // layers_per_stage)
    bounds = [model.layers * index // stages for index in range(stages + 1)]
    assignments = []
    for index, runner in enumerate(runners):
        first, end = bounds[index % stages], bounds[index % stages + 1]
        rate = runner.layer_positions_per_second / (end - first)
        assignments.append(
            plan.Assignment(
                runner.vm,
                model.id,
                VERSION,
                first,
                end,
                rate,
                (plan.Entry(first, rate),),
                runner.failure_domain,
                runner.backend_class,
            )
        )
    links = planner.make_plan(runners[:0], declared, plan.Plan()).links
    return plan.Plan(1, ids.FencingNumber(0), tuple(assignments), links)


def max_plan_flow(
    layer_plan: plan.Plan,
    declared: declaration.Declaration,
    speed_by_vm: Mapping[ids.VmId, float] = MappingProxyType({}),
) -> float:
    """Returns the maximum flow through a plan, in tokens per second.

    Args:
        layer_plan: the plan.
        declared: the model and its links.
        speed_by_vm: factors on the speeds of runners; 1.0 if absent.
    """
    model = declared.models[0]
    rate_by_class = {
        kind.name: kind.layer_positions_per_second for kind in ACCELERATOR_KINDS
    }
    holders = [
        flow.RangeHolder(
            a.vm,
            a.failure_domain,
            rate_by_class[a.backend_class] * speed_by_vm.get(a.vm, 1.0),
            a.first_layer,
            a.end_layer,
        )
        for a in layer_plan.assignments
    ]
    limits = plan_assembly.link_limits(declared, model)
    return flow.max_flow(holders, model.layers, limits).tokens_per_second
