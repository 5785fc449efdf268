"""Orders to runners that are not completed."""

import dataclasses

from nutmeglift_gateway import directory

LOAD_OVERDUE_RATIO = 1.5
"""A load is overdue at this multiple of its expected time, because concurrent
loads slow each other down. The runner's report is then read."""
LOAD_OVERDUE_GRACE_SECONDS = 0.8
"""Longest delay between the end of a load and the heartbeat that updates the
runner's entry."""


@dataclasses.dataclass
class PendingOrder:
    """An order that a runner has not completed; times are loop times.

    Attributes:
        target: the layers that the runner is to hold.
        retained: the layers that it continues to serve meanwhile.
        lifetime: instance id and start time of the runner.
        load_seconds: expected time of its load.
        eta: expected end of the load.
        due: when the load is overdue.
        checking: whether the runner's report is being read.
    """

    target: directory.LayerRange
    retained: directory.LayerRange
    lifetime: tuple[str, int]
    load_seconds: float
    eta: float
    due: float = float("inf")
    checking: bool = False

    def record_sent(self, now: float) -> None:
        """Records that the order was sent, and answered or not."""
        self.due = (
            now
            + self.load_seconds * LOAD_OVERDUE_RATIO
            + LOAD_OVERDUE_GRACE_SECONDS
        )

    def check_again(self, now: float) -> None:
        """Has the report read again later, as it did not show the outcome."""
        self.due = now + LOAD_OVERDUE_GRACE_SECONDS
        self.checking = False
