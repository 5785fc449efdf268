"""Assembles the status report of a router."""

from nutmeglift import states
from nutmeglift import status
from nutmeglift_router import blackboard_entries
from nutmeglift_router import router as routers


def make_status(router: routers.Router, operator: str) -> status.RouterStatus:
    """Returns a router's status.

    Args:
        router: the router.
        operator: id of the operator that requested it.
    """
    leader = router.board.read(blackboard_entries.LEADER)
    configuration = router.configuration
    return status.RouterStatus(
        router.own.vm,
        operator,
        router.board.read(blackboard_entries.CONFIGURATION).head,
        configuration.fresh,
        configuration.highest_known,
        router.drain.accepts_work,
        leader.vm if leader is not None else "",
        router.lease.fencing_number,
        router.admission.waiting,
        router.chat.in_flight,
        router.plain.in_flight,
        (_own(router), *_other_routers(router), *_agents(router)),
        tuple(
            status.PipelineStatus(
                assignment.vm,
                assignment.model,
                assignment.first_layer,
                assignment.end_layer,
            )
            for assignment in router.board.read(
                blackboard_entries.PLAN
            ).assignments
        ),
        dict(router.counters.total_by_name),
    )


def _own(router: routers.Router) -> status.ProcessStatus:
    live = router.drain.accepts_work
    return status.ProcessStatus(
        router.own.vm,
        states.ProcessRole.ROUTER,
        states.VmState.LIVE if live else states.VmState.LEAVING,
        router.configuration.generation,
        router.incarnation,
        router.own.failure_domain,
    )


def _other_routers(router: routers.Router) -> list[status.ProcessStatus]:
    processes = []
    for vm in router.routers.connected:
        hello = router.routers.peer(vm)
        if hello is None:
            continue
        leaving = router.routers.is_leaving(vm)
        processes.append(
            status.ProcessStatus(
                vm,
                states.ProcessRole.ROUTER,
                states.VmState.LEAVING if leaving else states.VmState.LIVE,
                router.configuration.generation_of(vm, hello.generation),
                hello.incarnation,
                hello.failure_domain,
            )
        )
    return processes


def _agents(router: routers.Router) -> list[status.ProcessStatus]:
    return [
        status.ProcessStatus(
            vm,
            states.ProcessRole.AGENT,
            member.state,
            member.generation,
            member.incarnation or "",
            member.entry.failure_domain,
        )
        for vm, member in router.membership.member_by_vm.items()
    ]
