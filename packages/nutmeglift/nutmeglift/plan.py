"""The versioned plan, which assigns layers to backend servers."""

import dataclasses

import msgspec

from nutmeglift import ids

VersionKey = tuple[ids.ModelId, ids.VersionId]


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Planned flow that enters a runner at a layer of its range.

    Attributes:
        layer: first layer that the runner executes for this flow.
        tokens_per_second: planned flow.
    """

    layer: int
    tokens_per_second: float


class Assignment(msgspec.Struct, frozen=True):
    """Layers of a model version on one runner.

    Attributes:
        vm: the runner's VM.
        model: the model.
        version: the model's version.
        first_layer: first layer.
        end_layer: one past the last layer.
        tokens_per_second: planned flow through the runner.
        entries: the layers at which the flow enters; empty when all of it
            enters at the first layer.
        failure_domain: the runner's failure domain.
        backend_class: the runner's backend class; outlier detection compares
            runners of the same class.
    """

    vm: ids.VmId
    model: ids.ModelId
    version: ids.VersionId
    first_layer: int
    end_layer: int
    tokens_per_second: float
    entries: tuple[Entry, ...] = ()
    failure_domain: ids.FailureDomain = ids.FailureDomain("")
    backend_class: str = ""


class LinkLimit(msgspec.Struct, frozen=True):
    """Capacity of one runner's link from one failure domain to another.

    Attributes:
        model: the model whose hidden states are sent.
        source: failure domain of the sender.
        target: failure domain of the receiver.
        tokens_per_second: maximum number of positions per second from one
            runner.
        latency_seconds: one-way delay.
    """

    model: ids.ModelId
    source: ids.FailureDomain
    target: ids.FailureDomain
    tokens_per_second: float
    latency_seconds: float


class Plan(msgspec.Struct, frozen=True):
    """A placement of all routed model versions.

    Attributes:
        generation: increases with every plan.
        fencing_number: fencing number of the lease under which the plan was
            proposed.
        assignments: the layers that each runner holds.
        links: capacity of the links between failure domains.
        layers_by_model: number of layers of each placed model.
    """

    generation: int = 0
    fencing_number: ids.FencingNumber = ids.FencingNumber(0)
    assignments: tuple[Assignment, ...] = ()
    links: tuple[LinkLimit, ...] = ()
    layers_by_model: dict[ids.ModelId, int] = {}

    @property
    def order(self) -> tuple[ids.FencingNumber, int]:
        """Sort key of plans; a plan replaces those with a lower key."""
        return (self.fencing_number, self.generation)


@dataclasses.dataclass(frozen=True)
class VmEntry:
    """An entry of the platform's VM list.

    Attributes:
        vm: name of the VM.
        address: "ip:port" of the router or agent on the VM.
        failure_domain: the VM's failure domain.
        backend_class: declared class of its backend server; None on an entry
            VM.
        leaving: whether the platform is about to remove the VM.
    """

    vm: ids.VmId
    address: str
    failure_domain: ids.FailureDomain
    backend_class: str | None
    leaving: bool = False
