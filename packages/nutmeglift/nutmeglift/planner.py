"""Places layer ranges on runners."""

import dataclasses

from nutmeglift import declaration
from nutmeglift import ids
from nutmeglift import plan


@dataclasses.dataclass(frozen=True)
class Runner:
    """A model runner that can be given layers.

    Attributes:
        vm: its VM.
        failure_domain: where it runs.
        layer_positions_per_second: speed: layers times positions a second.
        memory_bytes: memory for weights.
    """

    vm: ids.VmId
    failure_domain: ids.FailureDomain
    layer_positions_per_second: float
    memory_bytes: int


def make_plan(
    runners: list[Runner],
    declared: declaration.Declaration,
    previous: plan.Plan,
) -> plan.Plan:
    """Returns a placement of the routed model versions on the runners.

    Args:
        runners: the runners that may be used.
        declared: the configuration in force.
        previous: the plan in force, from which few runners should move.
    """
    versions = sorted({(r.model, r.version) for r in declared.routes})
    layers_by_model = {model.id: model.layers for model in declared.models}
    assignments: list[plan.Assignment] = []
    ordered = sorted(runners, key=lambda runner: runner.vm)
    for index, (model, version) in enumerate(versions):
        share = ordered[index :: len(versions)]
        layers = layers_by_model[model]
        assignments += _split_equally(share, model, version, layers)
    return plan.Plan(
        previous.generation + 1, previous.fencing_number, tuple(assignments)
    )


def _split_equally(
    runners: list[Runner],
    model: ids.ModelId,
    version: ids.VersionId,
    layers: int,
) -> list[plan.Assignment]:
    replicas = 2
    stages = max(1, min(layers, len(runners) // replicas))
    bounds = [layers * stage // stages for stage in range(stages + 1)]
    return [
        plan.Assignment(
            runner.vm,
            model,
            version,
            bounds[index % stages],
            bounds[index % stages + 1],
            runner.layer_positions_per_second
            / (bounds[index % stages + 1] - bounds[index % stages]),
        )
        for index, runner in enumerate(runners)
    ]
