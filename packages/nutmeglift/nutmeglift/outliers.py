"""Takes share from runners that are slow or fail, and gives it back slowly."""

import collections
import dataclasses
import statistics

from nutmeglift import ids

SLOW_STEP_RATIO = 3.0
"""Step time over that of the peers from which a runner counts as slow."""
VERY_SLOW_STEP_RATIO = 5.0
SLOW_REPORT_COUNT = 3
VERY_SLOW_REPORT_COUNT = 2
EJECTION_FAILURE_COUNT = 3
"""Failures in a row after which a runner is ejected."""
MAX_EJECTED_RATIO = 0.34
"""Share of the peers that may be ejected at the same time; at least one."""
MIN_GROUP_RUNNER_COUNT = 2
EJECTED_SHARE_RATIO = 0.02
"""Share that an ejected runner keeps, so that its return can be seen."""
EJECTION_SECONDS = 10.0
MAX_EJECTION_SECONDS = 120.0
INITIAL_RETURN_SHARE_RATIO = 0.1
RETURN_RAMP_SECONDS = 20.0
EJECTION_MEMORY_SECONDS = 300.0
"""Time without ejection after which earlier ones are forgotten."""
MAX_STEP_REPORT_AGE_SECONDS = 10.0
"""Age up to which a step report counts."""


@dataclasses.dataclass
class _Record:
    """What is known about one runner.

    Attributes:
        group: its peers have the same group.
        cost: seconds of a step for one layer.
        running: sequences in its batch.
        reported_at: time of the last step report.
        slow_reports: reports in a row that were slow.
        very_slow_reports: reports in a row that were very slow.
        failures: failures in a row.
        ejected_until: end of the last ejection.
        ejections: number of ejections that are not forgotten.
    """

    group: str
    cost: float = 0.0
    running: int = 0
    reported_at: float = float("-inf")
    slow_reports: int = 0
    very_slow_reports: int = 0
    failures: int = 0
    ejected_until: float = float("-inf")
    ejections: int = 0


class OutlierDetector:
    """Compares each runner with its peers.

    Attributes:
        ejections: number of ejections.
        withheld: number of ejections that the bound on their share withheld.
    """

    def __init__(self) -> None:
        self.ejections = 0
        self.withheld = 0
        self._record_by_vm: dict[ids.VmId, _Record] = {}
        self._vms_by_group: dict[str, set[ids.VmId]] = collections.defaultdict(
            set
        )

    def add(self, vm: ids.VmId, group: str) -> None:
        """Adds a runner, or changes its group."""
        record = self._record_by_vm.get(vm)
        if record is not None:
            if record.group == group:
                return
            self._vms_by_group[record.group].discard(vm)
            record.group = group
        else:
            self._record_by_vm[vm] = _Record(group)
        self._vms_by_group[group].add(vm)

    def forget(self, vm: ids.VmId) -> None:
        """Drops a runner that is gone."""
        record = self._record_by_vm.pop(vm, None)
        if record is not None:
            self._vms_by_group[record.group].discard(vm)

    def note_step(
        self,
        vm: ids.VmId,
        *,
        seconds: float,
        layers: int,
        running: int,
        now: float,
    ) -> None:
        """Takes a runner's report of its steps.

        Args:
            vm: the runner.
            seconds: duration of a step.
            layers: layers that it holds.
            running: sequences in its batch.
            now: seconds.
        """
        record = self._record_by_vm.get(vm)
        if record is None or seconds <= 0 or layers <= 0 or running <= 0:
            return
        record.cost = seconds / layers
        record.running = running
        record.reported_at = now
        ratio = self._ratio_to_peers(vm, record, now)
        record.slow_reports += 1
        record.very_slow_reports += 1
        if ratio < SLOW_STEP_RATIO:
            record.slow_reports = 0
        if ratio < VERY_SLOW_STEP_RATIO:
            record.very_slow_reports = 0
        if (
            record.slow_reports >= SLOW_REPORT_COUNT
            or record.very_slow_reports >= VERY_SLOW_REPORT_COUNT
        ):
            self._eject(vm, record, now)

    def note_result(self, vm: ids.VmId, failed: bool, now: float) -> None:
        """Takes the end of a request that ran through a runner."""
        record = self._record_by_vm.get(vm)
        if record is None:
            return
        if not failed:
            record.failures = 0
            return
        record.failures += 1
        if record.failures >= EJECTION_FAILURE_COUNT:
            self._eject(vm, record, now)

    def trust(self, vm: ids.VmId, now: float) -> float:
        """Returns the part of its planned share that a runner should get."""
        record = self._record_by_vm.get(vm)
        if record is None or record.ejections == 0:
            return 1.0
        since = now - record.ejected_until
        if since < 0:
            return EJECTED_SHARE_RATIO
        if since > EJECTION_MEMORY_SECONDS:
            record.ejections = 0
        risen = (
            INITIAL_RETURN_SHARE_RATIO
            + (1 - INITIAL_RETURN_SHARE_RATIO) * since / RETURN_RAMP_SECONDS
        )
        return min(1.0, risen)

    def _ratio_to_peers(
        self, vm: ids.VmId, record: _Record, now: float
    ) -> float:
        """Returns the step time over that of peers with the same batch."""
        peers = [
            self._record_by_vm[peer]
            for peer in self._vms_by_group[record.group]
            if peer != vm
        ]
        fresh = [
            p
            for p in peers
            if now - p.reported_at <= MAX_STEP_REPORT_AGE_SECONDS
        ]
        if len(fresh) + 1 < MIN_GROUP_RUNNER_COUNT:
            return 0.0
        cost = statistics.median_low(p.cost for p in fresh)
        running = statistics.median_low(p.running for p in fresh)
        return record.cost / (cost * max(1.0, record.running / running))

    def _eject(self, vm: ids.VmId, record: _Record, now: float) -> None:
        if now < record.ejected_until:
            return
        peers = self._vms_by_group[record.group]
        ejected = sum(
            now < self._record_by_vm[peer].ejected_until for peer in peers
        )
        if len(peers) < MIN_GROUP_RUNNER_COUNT or ejected >= max(
            1, int(len(peers) * MAX_EJECTED_RATIO)
        ):
            self.withheld += 1
            return
        seconds = EJECTION_SECONDS * 2**record.ejections
        record.ejected_until = now + min(MAX_EJECTION_SECONDS, seconds)
        record.ejections += 1
        record.failures = 0
        record.slow_reports = 0
        record.very_slow_reports = 0
        self.ejections += 1
