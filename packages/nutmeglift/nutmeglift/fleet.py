"""The runners of a fleet and their division among model versions."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from nutmeglift import declaration
from nutmeglift import ids
from nutmeglift import plan

MAX_SURPLUS_RATIO = 0.1
"""Relative surplus of speed up to which a version keeps all its runners."""


@dataclasses.dataclass(frozen=True)
class Runner:
    """A model runner on which layers can be placed.

    Attributes:
        vm: the runner's VM.
        failure_domain: the VM's failure domain.
        layer_positions_per_second: speed, in layers times positions per
            second.
        memory_bytes: memory available for weights.
        backend_class: the runner's backend class.
    """

    vm: ids.VmId
    failure_domain: ids.FailureDomain
    layer_positions_per_second: float
    memory_bytes: int
    backend_class: str = ""


@dataclasses.dataclass(frozen=True)
class ModelVersion:
    """One version of a model, as the unit of placement.

    Attributes:
        model: the model.
        version: name of the version.
        demand: relative share of the fleet's work expected for it.
    """

    model: declaration.Model
    version: ids.VersionId
    demand: float

    @property
    def key(self) -> tuple[ids.ModelId, ids.VersionId]:
        """Identifier of the model version: the names of model and version."""
        return (self.model.id, self.version)


def routed_versions(declared: declaration.Declaration) -> list[ModelVersion]:
    """Returns the model versions that have routes, highest demand first."""
    model_by_id = {model.id: model for model in declared.models}
    demand_by_key: dict[tuple[ids.ModelId, ids.VersionId], float] = {}
    for route in declared.routes:
        key = (route.model, route.version)
        demand_by_key[key] = demand_by_key.get(key, 0.0) + route.demand
    versions = [
        ModelVersion(model_by_id[model], version, demand)
        for (model, version), demand in demand_by_key.items()
    ]
    return sorted(versions, key=lambda v: (-v.demand, v.key))


def divide_runners(
    runners: Sequence[Runner],
    versions: Sequence[ModelVersion],
    previous: plan.Plan,
) -> dict[tuple[ids.ModelId, ids.VersionId], list[Runner]]:
    """Assigns runners to each model version in proportion to its work.

    The work of a version is its demand times its number of layers. Runners
    keep their previous version where possible.

    Args:
        runners: the runners to divide.
        versions: the model versions.
        previous: the plan in force.
    """
    members: dict[tuple[ids.ModelId, ids.VersionId], list[Runner]] = {
        version.key: [] for version in versions
    }
    if not versions:
        return members
    total = sum(r.layer_positions_per_second for r in runners)
    work = [max(v.demand, 1e-9) * v.model.layers for v in versions]
    wanted_by_key = {
        version.key: total * part / sum(work)
        for version, part in zip(versions, work, strict=True)
    }
    old_by_vm = {a.vm: (a.model, a.version) for a in previous.assignments}
    ordered = _sort_by_speed_and_domain(runners)
    free: list[Runner] = []
    for runner in ordered:
        key = old_by_vm.get(runner.vm)
        if key in members:
            members[key].append(runner)
        else:
            free.append(runner)
    for key, held in members.items():
        members[key] = _keep_share(held, wanted_by_key[key])
        kept = {runner.vm for runner in members[key]}
        free += [runner for runner in held if runner.vm not in kept]
    for runner in free:
        key = max(
            members,
            key=lambda k: (
                _missing_speed(members, wanted_by_key, k) / wanted_by_key[k]
            ),
        )
        members[key].append(runner)
    return members


def _keep_share(held: Sequence[Runner], wanted: float) -> list[Runner]:
    """Returns a representative subset with the wanted total speed.

    Runners are skipped evenly, so that every speed and domain stays
    represented.
    """
    total = sum(r.layer_positions_per_second for r in held)
    if total <= wanted * (1 + MAX_SURPLUS_RATIO):
        return list(held)
    kept: list[Runner] = []
    accumulated_speed = 0.0
    for runner in held:
        accumulated_speed += runner.layer_positions_per_second * wanted / total
        if accumulated_speed >= runner.layer_positions_per_second / 2:
            accumulated_speed -= runner.layer_positions_per_second
            kept.append(runner)
    return kept


def _missing_speed(
    members: Mapping[tuple[ids.ModelId, ids.VersionId], Sequence[Runner]],
    wanted_by_key: Mapping[tuple[ids.ModelId, ids.VersionId], float],
    key: tuple[ids.ModelId, ids.VersionId],
) -> float:
    present = sum(r.layer_positions_per_second for r in members[key])
    return wanted_by_key[key] - present


def _sort_by_speed_and_domain(runners: Sequence[Runner]) -> list[Runner]:
    """Sorts by speed, fastest first, alternating the failure domains."""
    ordered: list[tuple[float, int, Runner]] = []
    rank_by_kind: dict[tuple[float, ids.FailureDomain], int] = {}
    for runner in sorted(runners, key=lambda r: r.vm):
        kind = (runner.layer_positions_per_second, runner.failure_domain)
        rank_by_kind[kind] = rank_by_kind.get(kind, 0) + 1
        ordered.append((-kind[0], rank_by_kind[kind], runner))
    ordered.sort(key=lambda o: (o[0], o[1], o[2].failure_domain, o[2].vm))
    return [runner for _, _, runner in ordered]
