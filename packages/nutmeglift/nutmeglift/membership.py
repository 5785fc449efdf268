"""Which VMs take work, as one router sees it."""

import dataclasses

from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import plan
from nutmeglift import states


@dataclasses.dataclass(frozen=True)
class Member:
    """One backend server's VM.

    Attributes:
        entry: its entry in the VM list.
        state: its state.
        incarnation: the agent's incarnation; None before it was heard.
        generation: generation of the configuration in force there.
    """

    entry: plan.VmEntry
    state: states.VmState
    incarnation: ids.Incarnation | None = None
    generation: ids.Generation = ids.Generation(0)


class Membership:
    """Keeps the members: the list proposes, connections prove."""

    def __init__(self) -> None:
        self.member_by_vm: dict[ids.VmId, Member] = {}

    def note_list(self, entries: list[plan.VmEntry], now: float) -> None:
        """Takes a reading of the VM list."""
        listed = {e.vm: e for e in entries if e.backend_class is not None}
        for vm, entry in listed.items():
            member = self.member_by_vm.get(vm)
            if member is None:
                member = Member(entry, states.VmState.SUSPECT)
            state = states.VmState.LEAVING if entry.leaving else member.state
            self.member_by_vm[vm] = dataclasses.replace(
                member, entry=entry, state=state
            )
        for vm in set(self.member_by_vm) - set(listed):
            if self.member_by_vm[vm].state is not states.VmState.LIVE:
                del self.member_by_vm[vm]

    def note_hello(
        self, vm: ids.VmId, hello: messages.Hello, now: float
    ) -> None:
        """Takes an agent's Hello on a new connection."""
        member = self.member_by_vm.get(vm)
        if member is None:
            return
        state = states.VmState.LIVE
        if hello.leaving or member.entry.leaving:
            state = states.VmState.LEAVING
        self.member_by_vm[vm] = dataclasses.replace(
            member,
            state=state,
            incarnation=hello.incarnation,
            generation=hello.generation,
        )

    def note_heartbeat(
        self, vm: ids.VmId, heartbeat: messages.Heartbeat, now: float
    ) -> None:
        """Takes an agent's heartbeat."""
        member = self.member_by_vm.get(vm)
        if member is None:
            return
        state = states.VmState.LEAVING if heartbeat.leaving else member.state
        self.member_by_vm[vm] = dataclasses.replace(
            member, state=state, generation=heartbeat.generation
        )

    def note_leaving(self, vm: ids.VmId, now: float) -> None:
        """Takes an agent's word that it takes no new work."""
        member = self.member_by_vm.get(vm)
        if member is not None:
            self.member_by_vm[vm] = dataclasses.replace(
                member, state=states.VmState.LEAVING
            )

    def note_lost(self, vm: ids.VmId, now: float) -> None:
        """Notes that the connection to an agent ended."""
        member = self.member_by_vm.get(vm)
        if member is not None and member.state is states.VmState.LIVE:
            self.member_by_vm[vm] = dataclasses.replace(
                member, state=states.VmState.SUSPECT
            )

    def usable(self, vm: ids.VmId) -> Member | None:
        """Returns the member if it may get new work."""
        member = self.member_by_vm.get(vm)
        if member is None or member.state is not states.VmState.LIVE:
            return None
        return member
