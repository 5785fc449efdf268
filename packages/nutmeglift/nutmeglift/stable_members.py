"""Selects stable VMs for plans, so that flapping VMs move no weights."""

from collections.abc import Iterable

from nutmeglift import ids

MIN_LIVE_SECONDS = 3.0
"""Time for which a VM has to be live before a plan uses it."""
LOSS_GRACE_SECONDS = 20.0
"""Time for which a plan still uses a VM that is no longer live."""


class StableMembers:
    """Tracks the VMs to use in a plan, with hysteresis."""

    def __init__(self) -> None:
        self._live_since: dict[ids.VmId, float] = {}
        self._lost_at: dict[ids.VmId, float] = {}
        self._stable: set[ids.VmId] = set()

    def update(
        self,
        live: Iterable[ids.VmId],
        leaving: Iterable[ids.VmId],
        now: float,
    ) -> None:
        """Updates the observed state of the VMs.

        Args:
            live: VMs that accept work.
            leaving: VMs that the platform is removing.
            now: clock time, in seconds.
        """
        present = set(live)
        for vm in present:
            self._live_since.setdefault(vm, now)
            self._lost_at.pop(vm, None)
        for vm in set(self._live_since) - present:
            del self._live_since[vm]
            self._lost_at[vm] = now
        for vm in leaving:
            self._stable.discard(vm)
            self._live_since.pop(vm, None)
            self._lost_at.pop(vm, None)

    def stable(self, now: float) -> frozenset[ids.VmId]:
        """Returns the VMs that a plan may use."""
        for vm, since in self._live_since.items():
            if now - since >= MIN_LIVE_SECONDS:
                self._stable.add(vm)
        for vm, lost_at in list(self._lost_at.items()):
            if now - lost_at >= LOSS_GRACE_SECONDS:
                del self._lost_at[vm]
                self._stable.discard(vm)
        return frozenset(self._stable)

    def adopt(self, vms: Iterable[ids.VmId], now: float) -> None:
        """Treats the VMs that a plan in force already uses as stable."""
        for vm in vms:
            self._stable.add(vm)
            if vm not in self._live_since:
                self._lost_at.setdefault(vm, now)
