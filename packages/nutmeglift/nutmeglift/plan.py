"""The versioned plan: which backend server runs which layers."""

import dataclasses

import msgspec

from nutmeglift import ids

VersionKey = tuple[ids.ModelId, ids.VersionId]


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Flow that comes into a runner at a layer of its range.

    Attributes:
        layer: first layer that the runner runs on it.
        tokens_per_second: flow that the plan puts there.
    """

    layer: int
    tokens_per_second: float


class Assignment(msgspec.Struct, frozen=True):
    """Layers of a model version on one runner.

    Attributes:
        vm: the runner's VM.
        model: the model.
        version: its version.
        first_layer: first layer.
        end_layer: one past the last layer.
        tokens_per_second: flow that the plan puts on it.
        entries: the layers at which the flow comes in; empty when all of it
            comes in at the first layer.
        failure_domain: where the runner is.
        backend_class: its backend class; runners of one class are peers.
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
    """What one runner can send from one failure domain to another.

    Attributes:
        model: the model whose hidden states are sent.
        source: failure domain of the sender.
        target: failure domain of the receiver.
        tokens_per_second: most positions a second from one runner.
        latency_seconds: one-way delay.
    """

    model: ids.ModelId
    source: ids.FailureDomain
    target: ids.FailureDomain
    tokens_per_second: float
    latency_seconds: float


class Plan(msgspec.Struct, frozen=True):
    """A whole placement.

    Attributes:
        generation: rises with every plan.
        fencing_number: number of the lease under which it was proposed.
        assignments: what each runner holds.
        links: what the links between failure domains carry.
        layers_by_model: number of layers of each placed model.
    """

    generation: int = 0
    fencing_number: ids.FencingNumber = ids.FencingNumber(0)
    assignments: tuple[Assignment, ...] = ()
    links: tuple[LinkLimit, ...] = ()
    layers_by_model: dict[ids.ModelId, int] = {}

    @property
    def order(self) -> tuple[ids.FencingNumber, int]:
        """What a plan must exceed to replace this one."""
        return (self.fencing_number, self.generation)


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
