"""Status of a router and its connected processes, as shown to operators."""

from collections.abc import Iterable

import msgspec

from nutmeglift import control_messages
from nutmeglift import ids
from nutmeglift import states


class ProcessStatus(msgspec.Struct, frozen=True):
    """Status of one process, as seen by a router.

    Attributes:
        vm: the process's VM.
        role: role of the process: router or agent.
        state: state of the VM.
        generation: generation of the configuration in force in the process.
        incarnation: the process's incarnation; empty before the first
            connection.
        failure_domain: the VM's failure domain.
    """

    vm: ids.VmId
    role: states.ProcessRole
    state: states.VmState
    generation: ids.Generation
    incarnation: str = ""
    failure_domain: str = ""


class PipelineStatus(msgspec.Struct, frozen=True):
    """A backend server's assignment in the plan."""

    vm: ids.VmId
    model: ids.ModelId
    first_layer: int
    end_layer: int


class RouterStatus(msgspec.Struct, frozen=True):
    """A router's status.

    Attributes:
        vm: the router's VM.
        operator: id of the operator who requested the status.
        head: head of the configuration in force.
        fresh: whether the configuration was confirmed since the last pause.
        highest_known: highest generation reported by any process.
        accepts_work: whether the router accepts new work.
        leader: VM that holds the planner's role; empty for none.
        fencing_number: highest fencing number known.
        waiting: number of queued requests.
        chats_in_flight: number of chat requests in progress.
        calls_in_flight: number of calls of plain services in progress.
        processes: this process and those connected to it.
        pipelines: the assignments of the plan.
        total_by_counter: counter values since the process started.
    """

    vm: ids.VmId
    operator: str
    head: control_messages.ConfigurationHead
    fresh: bool
    highest_known: ids.Generation
    accepts_work: bool
    leader: str
    fencing_number: ids.FencingNumber
    waiting: int
    chats_in_flight: int
    calls_in_flight: int
    processes: tuple[ProcessStatus, ...]
    pipelines: tuple[PipelineStatus, ...]
    total_by_counter: dict[str, int]


def merge_processes(
    found: Iterable[RouterStatus],
) -> dict[ids.VmId, ProcessStatus]:
    """Merges the statuses of several routers by VM.

    The status with the highest generation is used for each process.
    """
    process_by_vm: dict[ids.VmId, ProcessStatus] = {}
    for router in found:
        for process in router.processes:
            old = process_by_vm.get(process.vm)
            if old is None or process.generation >= old.generation:
                process_by_vm[process.vm] = process
    return process_by_vm


def find_lagging(
    found: Iterable[RouterStatus], wanted: ids.Generation
) -> list[ids.VmId]:
    """Returns the VMs of processes that have not reached a generation."""
    return sorted(
        vm
        for vm, process in merge_processes(found).items()
        if process.generation < wanted
        and process.state is not states.VmState.GONE
    )


def render(found: list[RouterStatus]) -> list[str]:
    """Returns the status as human-readable lines."""
    if not found:
        return ["no router answered"]
    newest = max(router.highest_known for router in found)
    lines = [f"newest generation known: {newest}"]
    for router in found:
        head = router.head
        lines.append(
            f"router {router.vm}: generation {head.generation} by"
            f" {head.author or 'nobody'}, fresh {_format_bool(router.fresh)},"
            f" accepts work {_format_bool(router.accepts_work)},"
            f" leader {router.leader or '-'}"
            f" (fencing number {router.fencing_number}),"
            f" {router.waiting} queued, {router.chats_in_flight} chats and"
            f" {router.calls_in_flight} calls in flight"
        )
    lines.append(f"{'VM':24} {'role':7} {'state':8} {'generation':>10}  domain")
    for vm, process in sorted(merge_processes(found).items()):
        behind = " (behind)" if process.generation < newest else ""
        lines.append(
            f"{vm:24} {process.role.value:7} {process.state.value:8}"
            f" {process.generation:>10}  {process.failure_domain}{behind}"
        )
    for pipeline in found[0].pipelines:
        lines.append(
            f"layers {pipeline.first_layer}-{pipeline.end_layer - 1} of"
            f" {pipeline.model} on {pipeline.vm}"
        )
    for router in found:
        lines += [
            f"{router.vm} {name} {total}"
            for name, total in sorted(router.total_by_counter.items())
        ]
    return lines


def _format_bool(value: bool) -> str:
    return "yes" if value else "no"
