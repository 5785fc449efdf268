"""Maintains the router's view of the VMs."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import random

from nutmeglift import blackboard
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import membership
from nutmeglift import messages
from nutmeglift import plan
from nutmeglift import routing
from nutmeglift_router import blackboard_entries
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric
from nutmeglift_wire import vm_list

MIN_LIST_INTERVAL_SECONDS = 1.0
MAX_LIST_ENTRIES_PER_SECOND = 4000

SetTargets = Callable[[dict[ids.VmId, str]], None]
SetRouters = Callable[[list[plan.VmEntry]], None]


class MembershipController:
    """Combines the VM list with the state of the connections to agents."""

    def __init__(
        self,
        *,
        board: blackboard.Blackboard,
        vms: vm_list.BaseVmList,
        clock: clocks.BaseClock,
        rng: random.Random,
        metrics: metric.BaseMetrics,
        set_targets: SetTargets,
        set_routers: SetRouters,
    ) -> None:
        self._board = board
        self._vms = vms
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._set_targets = set_targets
        self._set_routers = set_routers
        self._publish_scheduled = False
        self._membership = membership.Membership()

    @property
    def usable_count(self) -> int:
        """Number of backend servers that accept work."""
        members = self._membership.member_by_vm
        return sum(
            self._membership.find_usable(vm) is not None for vm in members
        )

    @property
    def member_by_vm(self) -> Mapping[ids.VmId, membership.Member]:
        """The current members, with the data of their latest heartbeats."""
        return self._membership.member_by_vm

    async def run(self) -> None:
        """Polls the VM list until cancelled.

        Larger lists are polled less often, so that the entries read per second
        stay bounded.
        """
        while True:
            await self._read_list()
            members = len(self._membership.member_by_vm)
            interval = max(
                MIN_LIST_INTERVAL_SECONDS, members / MAX_LIST_ENTRIES_PER_SECOND
            )
            await self._clock.sleep(interval * self._rng.uniform(0.75, 1.0))

    def agent_up(self, vm: ids.VmId, hello: messages.Hello) -> None:
        """Records a new connection to an agent."""
        self._publish_if_changed(
            self._membership.record_hello(vm, hello, self._clock.now())
        )

    def agent_down(self, vm: ids.VmId) -> None:
        """Records that the connection to an agent ended."""
        self._publish_if_changed(
            self._membership.record_lost(vm, self._clock.now())
        )

    def handle_heartbeat(
        self, vm: ids.VmId, heartbeat: messages.Heartbeat
    ) -> None:
        """Records an agent's heartbeat."""
        self._publish_if_changed(
            self._membership.record_heartbeat(vm, heartbeat, self._clock.now())
        )

    def handle_leaving(self, vm: ids.VmId) -> None:
        """Records that an agent announced that it accepts no new work."""
        self._publish_if_changed(
            self._membership.record_leaving(vm, self._clock.now())
        )

    def find_candidate(self, vm: ids.VmId) -> routing.AvailableRunner | None:
        """Returns a VM as a routing candidate; None if it accepts no work."""
        member = self._membership.find_usable(vm)
        if member is None or member.incarnation is None:
            return None
        return routing.AvailableRunner(
            vm,
            member.entry.address,
            member.incarnation,
            member.entry.failure_domain,
        )

    def choose_server(
        self, service: ids.ServiceId
    ) -> routing.AvailableRunner | None:
        """Returns a random usable backend server of a plain service."""
        declared = self._board.read(blackboard_entries.CONFIGURATION).declared
        classes = {
            c.id for c in declared.backend_classes if c.service == service
        }
        candidates = [
            candidate
            for vm, member in self._membership.member_by_vm.items()
            if member.entry.backend_class in classes
            and (candidate := self.find_candidate(vm)) is not None
        ]
        return self._rng.choice(candidates) if candidates else None

    async def _read_list(self) -> None:
        try:
            listed = await self._vms.read()
        except errors.PlatformError:
            self._metrics.count("vm_list.failed")
            return
        self._publish_if_changed(
            self._membership.record_list(listed, self._clock.now())
        )
        self._set_targets(self._membership.agent_addresses())
        self._set_routers(list(self._membership.router_by_vm.values()))

    def _publish_if_changed(self, changed: bool) -> None:
        """Schedules one publication for all changes of one loop iteration."""
        if not changed or self._publish_scheduled:
            return
        self._publish_scheduled = True
        asyncio.get_running_loop().call_soon(self._publish)

    def _publish(self) -> None:
        self._publish_scheduled = False
        self._board.write(
            blackboard_entries.MEMBERS,
            dict(self._membership.member_by_vm),
            blackboard.Controller.MEMBERSHIP,
        )
