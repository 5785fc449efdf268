"""Estimates the requests at each runner from dispatches and load reports."""

import collections
import dataclasses

from nutmeglift import messages

SAMPLE_INTERVAL_SECONDS = 0.25
MAX_SAMPLE_COUNT = 24
"""Samples of the router's requests in flight; they cover six seconds."""
REPORT_SMOOTHING_RATIO = 0.5
"""Weight of a new report in the estimate of other routers' requests."""
MAX_REPORT_AGE_SECONDS = 10.0
"""Age at which a report is disregarded."""


@dataclasses.dataclass
class _Sample:
    time: float
    own: int


class RunnerLoad:
    """Estimate of the requests at one runner.

    Attributes:
        own: number of this router's requests in flight at the runner.
        others: estimated number of other routers' requests at the runner,
            reduced by the age of the report at the last refresh.
        layers: number of layers that the runner holds.
    """

    __slots__ = (
        "_others",
        "_reported_at",
        "_sampled_at",
        "_samples",
        "layers",
        "others",
        "own",
    )

    def __init__(self) -> None:
        self.own = 0
        self.others = 0.0
        self.layers = 0
        self._others = 0.0
        self._reported_at = float("-inf")
        self._sampled_at = float("-inf")
        self._samples: collections.deque[_Sample] = collections.deque(
            maxlen=MAX_SAMPLE_COUNT
        )

    def record_report(self, report: messages.LoadReport, now: float) -> None:
        """Processes a report, after subtracting this router's own requests."""
        measured_at = now - report.age_seconds
        total = report.running + report.waiting
        others = max(0.0, float(total - self._own_at(measured_at)))
        self._others += REPORT_SMOOTHING_RATIO * (others - self._others)
        self._reported_at = now
        self.refresh(now)

    def change(self, by: int, now: float) -> None:
        """Records own requests that were dispatched to the runner or ended."""
        if now - self._sampled_at >= SAMPLE_INTERVAL_SECONDS:
            self._samples.append(_Sample(now, self.own))
            self._sampled_at = now
        self.own = max(0, self.own + by)

    def refresh(self, now: float) -> None:
        """Updates the estimate of other requests for the age of the report."""
        age = now - self._reported_at
        self.others = self._others * max(
            0.0, 1.0 - age / MAX_REPORT_AGE_SECONDS
        )

    def _own_at(self, time: float) -> int:
        """Returns the own requests before the first change after a time."""
        for sample in self._samples:
            if sample.time > time:
                return sample.own
        return self.own
