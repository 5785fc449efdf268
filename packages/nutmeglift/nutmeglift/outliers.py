"""Outlier detection: reduces the share of slow or failing runners."""

import collections
import dataclasses
import statistics

from nutmeglift import ids

SLOW_STEP_RATIO = 3.0
"""Step time relative to that of the peers from which a runner is slow."""
VERY_SLOW_STEP_RATIO = 5.0
SLOW_REPORT_COUNT = 3
VERY_SLOW_REPORT_COUNT = 2
EJECTION_FAILURE_COUNT = 3
"""Consecutive failures after which a runner is ejected."""
MAX_EJECTED_RATIO = 0.34
"""Maximum fraction of a group that is ejected at a time; at least one."""
MIN_GROUP_RUNNER_COUNT = 2
EJECTED_SHARE_RATIO = 0.02
"""Share that an ejected runner keeps, so that its recovery is detected."""
EJECTION_SECONDS = 10.0
MAX_EJECTION_SECONDS = 120.0
INITIAL_RETURN_SHARE_RATIO = 0.1
RETURN_RAMP_SECONDS = 20.0
EJECTION_MEMORY_SECONDS = 300.0
"""Time without an ejection after which earlier ones are disregarded."""
MAX_STEP_REPORT_AGE_SECONDS = 10.0
"""Maximum age at which a step report is used."""


@dataclasses.dataclass
class _Record:
    """State of one runner.

    Attributes:
        group: name of the group of peers that it is compared with.
        cost: step time per layer, in seconds.
        running: number of sequences in its batch.
        reported_at: clock time of the last step report.
        slow_reports: number of consecutive slow reports.
        very_slow_reports: number of consecutive very slow reports.
        failures: number of consecutive failures.
        ejected_until: clock time at which the last ejection ends.
        ejections: number of ejections that are still taken into account.
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
        withheld: number of ejections that were suppressed, because the
            maximum number of ejected runners was reached or the group was
            too small.
    """

    def __init__(self) -> None:
        self.ejections = 0
        self.withheld = 0
        self._record_by_vm: dict[ids.VmId, _Record] = {}
        self._vms_by_group: dict[str, set[ids.VmId]] = collections.defaultdict(
            set
        )

    def add(self, vm: ids.VmId, group: str) -> None:
        """Adds a runner or changes its group."""
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
        """Removes a runner."""
        record = self._record_by_vm.pop(vm, None)
        if record is not None:
            self._vms_by_group[record.group].discard(vm)

    def record_step(
        self,
        vm: ids.VmId,
        *,
        seconds: float,
        layers: int,
        running: int,
        now: float,
    ) -> None:
        """Records a step report of a runner and ejects it if it is slow.

        Args:
            vm: VM of the runner.
            seconds: duration of a step.
            layers: number of layers that the runner holds.
            running: number of sequences in its batch.
            now: clock time, in seconds.
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

    def record_result(self, vm: ids.VmId, failed: bool, now: float) -> None:
        """Records the result of a request that ran on a runner."""
        record = self._record_by_vm.get(vm)
        if record is None:
            return
        if not failed:
            record.failures = 0
            return
        record.failures += 1
        if record.failures >= EJECTION_FAILURE_COUNT:
            self._eject(vm, record, now)

    def traffic_share_ratio(self, vm: ids.VmId, now: float) -> float:
        """Returns the fraction of the planned share that a runner gets."""
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
        """Returns the step time relative to peers, scaled to the batch size."""
        peers = [
            self._record_by_vm[peer]
            for peer in self._vms_by_group[record.group]
            if peer != vm
        ]
        recent = [
            p
            for p in peers
            if now - p.reported_at <= MAX_STEP_REPORT_AGE_SECONDS
        ]
        if len(recent) + 1 < MIN_GROUP_RUNNER_COUNT:
            return 0.0
        cost = statistics.median_low(p.cost for p in recent)
        running = statistics.median_low(p.running for p in recent)
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
