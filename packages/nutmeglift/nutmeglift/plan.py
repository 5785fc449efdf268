"""The versioned plan: which backend server runs which layers."""

import dataclasses

import msgspec

from nutmeglift import ids


class Assignment(msgspec.Struct, frozen=True):
    """Layers of a model version on one runner.

    Attributes:
        vm: the runner's VM.
        model: the model.
        version: its version.
        first_layer: first layer.
        end_layer: one past the last layer.
        tokens_per_second: flow that the plan puts on it.
    """

    vm: ids.VmId
    model: ids.ModelId
    version: ids.VersionId
    first_layer: int
    end_layer: int
    tokens_per_second: float


class EdgeFlow(msgspec.Struct, frozen=True):
    """Flow between two runners; None stands for the routers.

    Attributes:
        source: VM that sends hidden states, None at the first stage.
        target: VM that gets them, None at the last stage.
        model: the model.
        version: its version.
        tokens_per_second: flow that the plan puts on it.
    """

    source: ids.VmId | None
    target: ids.VmId | None
    model: ids.ModelId
    version: ids.VersionId
    tokens_per_second: float


class Plan(msgspec.Struct, frozen=True):
    """A whole placement.

    Attributes:
        generation: rises with every plan.
        fencing_number: number of the lease under which it was proposed.
        assignments: what each runner holds.
        edges: the flows.
    """

    generation: int = 0
    fencing_number: ids.FencingNumber = ids.FencingNumber(0)
    assignments: tuple[Assignment, ...] = ()
    edges: tuple[EdgeFlow, ...] = ()


@dataclasses.dataclass(frozen=True)
class VmEntry:
    """A VM of the platform's list.

    Attributes:
        vm: its name.
        address: "ip:port" of the process of ours on it.
        failure_domain: where it runs.
        backend_class: declared class of its backend server; None on an entry
            VM.
        leaving: whether the platform is taking it away.
    """

    vm: ids.VmId
    address: str
    failure_domain: ids.FailureDomain
    backend_class: str | None
    leaving: bool = False
