"""Membership of the backend servers' VMs, as seen by one router."""

import dataclasses
import enum

import transitions

from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import plan
from nutmeglift import states

GONE_RETENTION_SECONDS = 60.0


class Event(enum.Enum):
    """Events that change the state of a VM."""

    CONNECTED = "connected"
    LOST = "lost"
    LEAVING = "leaving"
    RETURNED = "returned"
    """The platform no longer plans to remove the VM."""
    REMOVED = "removed"
    """The VM is neither listed nor connected."""


_LIVE = states.VmState.LIVE
_SUSPECT = states.VmState.SUSPECT
_LEAVING = states.VmState.LEAVING
_GONE = states.VmState.GONE

TRANSITIONS: tuple[tuple[Event, states.VmState, states.VmState], ...] = (
    (Event.CONNECTED, _SUSPECT, _LIVE),
    (Event.CONNECTED, _GONE, _LIVE),
    (Event.CONNECTED, _LIVE, _LIVE),
    (Event.LOST, _LIVE, _SUSPECT),
    (Event.LEAVING, _LIVE, _LEAVING),
    (Event.LEAVING, _SUSPECT, _LEAVING),
    (Event.RETURNED, _LEAVING, _SUSPECT),
    (Event.RETURNED, _GONE, _SUSPECT),
    (Event.REMOVED, _SUSPECT, _GONE),
    (Event.REMOVED, _LEAVING, _GONE),
)


class _MachineModel:
    """Model of the state machine; its state is set before each event."""

    state: states.VmState


class VmLifecycle:
    """Life cycle of a VM; one state machine is shared by all members."""

    def __init__(self) -> None:
        self._model = _MachineModel()
        self._machine = transitions.Machine(
            self._model,
            states=states.VmState,
            initial=_SUSPECT,
            auto_transitions=False,
            ignore_invalid_triggers=True,
            transitions=[
                {"trigger": event.value, "source": source, "dest": target}
                for event, source, target in TRANSITIONS
            ],
        )

    def next(self, state: states.VmState, event: Event) -> states.VmState:
        """Returns the state after an event; an invalid event is ignored."""
        self._machine.set_state(state, self._model)
        self._model.trigger(event.value)  # type: ignore[attr-defined]
        return self._model.state


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One backend server's VM.

    Attributes:
        entry: the VM's entry in the VM list.
        state: the VM's state.
        incarnation: the agent's incarnation; None before the first connection.
        generation: generation of the configuration in force on the agent.
    """

    entry: plan.VmEntry
    state: states.VmState
    incarnation: ids.Incarnation | None = None
    generation: ids.Generation = ids.Generation(0)


class Membership:
    """Tracks the members from the VM list and the agents' connections.

    The VM list adds a member as suspect; a connection to its agent makes it
    live. Every record_ method returns whether a member changed in anything
    other than its generation.

    Attributes:
        member_by_vm: the members, including those that are gone.
        router_by_vm: the listed entry VMs.
    """

    def __init__(self) -> None:
        self.member_by_vm: dict[ids.VmId, Member] = {}
        self.router_by_vm: dict[ids.VmId, plan.VmEntry] = {}
        self._lifecycle = VmLifecycle()
        self._connected: set[ids.VmId] = set()
        self._leaving_incarnation_by_vm: dict[ids.VmId, ids.Incarnation] = {}
        self._gone_at_by_vm: dict[ids.VmId, float] = {}

    def record_list(self, entries: list[plan.VmEntry], now: float) -> bool:
        """Applies the current content of the VM list."""
        self.router_by_vm = {
            e.vm: e for e in entries if e.backend_class is None
        }
        listed = {e.vm: e for e in entries if e.backend_class is not None}
        changed = [self._update_listed(entry) for entry in listed.values()] + [
            self._update_unlisted(vm, now)
            for vm in list(self.member_by_vm)
            if vm not in listed
        ]
        return any(changed)

    def record_hello(
        self, vm: ids.VmId, hello: messages.Hello, now: float
    ) -> bool:
        """Handles an agent's Hello on a new connection."""
        member = self.member_by_vm.get(vm)
        if member is None or hello.vm != vm:
            # Another VM has taken over the address; the list is out of date.
            return False
        self._connected.add(vm)
        state = member.state
        if self._leaving_incarnation_by_vm.get(vm) not in (
            None,
            hello.incarnation,
        ):
            # A new process: the Leaving of the previous one no longer applies.
            del self._leaving_incarnation_by_vm[vm]
            if not member.entry.leaving:
                state = self._lifecycle.next(state, Event.RETURNED)
        state = self._lifecycle.next(state, Event.CONNECTED)
        if hello.leaving:
            self._leaving_incarnation_by_vm[vm] = hello.incarnation
        if hello.leaving or member.entry.leaving:
            state = self._lifecycle.next(state, Event.LEAVING)
        return self._replace(
            vm,
            dataclasses.replace(
                member,
                state=state,
                incarnation=hello.incarnation,
                generation=hello.generation,
            ),
        )

    def record_heartbeat(
        self, vm: ids.VmId, heartbeat: messages.Heartbeat, now: float
    ) -> bool:
        """Handles an agent's heartbeat."""
        member = self.member_by_vm.get(vm)
        if member is None or vm not in self._connected:
            return False
        if heartbeat.generation != member.generation:
            self.member_by_vm[vm] = dataclasses.replace(
                member, generation=heartbeat.generation
            )
        if heartbeat.leaving:
            return self.record_leaving(vm, now)
        return False

    def record_leaving(self, vm: ids.VmId, now: float) -> bool:
        """Records that an agent reported that it accepts no new work."""
        member = self.member_by_vm.get(vm)
        if member is None:
            return False
        if member.incarnation is not None:
            self._leaving_incarnation_by_vm[vm] = member.incarnation
        return self._apply_event(vm, Event.LEAVING)

    def record_lost(self, vm: ids.VmId, now: float) -> bool:
        """Records that the connection to an agent was lost."""
        self._connected.discard(vm)
        return self._apply_event(vm, Event.LOST)

    def find_usable(self, vm: ids.VmId) -> Member | None:
        """Returns the member if it may receive new work, else None."""
        member = self.member_by_vm.get(vm)
        if member is None or member.state is not _LIVE:
            return None
        return member

    def agent_addresses(self) -> dict[ids.VmId, str]:
        """Returns the addresses of the agents to connect to."""
        return {
            vm: member.entry.address
            for vm, member in self.member_by_vm.items()
            if member.state is not _GONE
        }

    def _update_listed(self, entry: plan.VmEntry) -> bool:
        vm = entry.vm
        self._gone_at_by_vm.pop(vm, None)
        old = self.member_by_vm.get(vm)
        if old is not None and old.entry == entry and old.state is not _GONE:
            return False
        if old is not None and old.entry.address != entry.address:
            # Another VM of the same name: the recorded state does not apply.
            self._forget(vm)
            old = None
        if old is None:
            old = Member(entry, _SUSPECT)
            self._connected.discard(vm)
        state = old.state
        if entry.leaving:
            state = self._lifecycle.next(state, Event.LEAVING)
        elif old.entry.leaving and vm not in self._leaving_incarnation_by_vm:
            state = self._state_after_return(vm, state)
        elif state is _GONE:
            state = self._lifecycle.next(state, Event.RETURNED)
        return self._replace(
            vm, dataclasses.replace(old, entry=entry, state=state)
        )

    def _state_after_return(
        self, vm: ids.VmId, state: states.VmState
    ) -> states.VmState:
        state = self._lifecycle.next(state, Event.RETURNED)
        if vm in self._connected:
            state = self._lifecycle.next(state, Event.CONNECTED)
        return state

    def _update_unlisted(self, vm: ids.VmId, now: float) -> bool:
        """Handles a VM that the list does not show, or no longer shows."""
        if vm in self._connected:
            return False
        gone_at = self._gone_at_by_vm.setdefault(vm, now)
        if now - gone_at >= GONE_RETENTION_SECONDS:
            self._forget(vm)
            return True
        return self._apply_event(vm, Event.REMOVED)

    def _apply_event(self, vm: ids.VmId, event: Event) -> bool:
        member = self.member_by_vm.get(vm)
        if member is None:
            return False
        state = self._lifecycle.next(member.state, event)
        return self._replace(vm, dataclasses.replace(member, state=state))

    def _replace(self, vm: ids.VmId, new: Member) -> bool:
        old = self.member_by_vm.get(vm)
        self.member_by_vm[vm] = new
        if old is None:
            return True
        same = dataclasses.replace(old, generation=new.generation)
        return same != new

    def _forget(self, vm: ids.VmId) -> None:
        self.member_by_vm.pop(vm, None)
        self._leaving_incarnation_by_vm.pop(vm, None)
        self._gone_at_by_vm.pop(vm, None)
        self._connected.discard(vm)
