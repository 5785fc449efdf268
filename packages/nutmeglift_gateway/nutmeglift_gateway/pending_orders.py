"""Orders to runners that are not completed."""

import dataclasses

from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory
from nutmeglift_gateway import layer_planner

INITIAL_LOAD_TIME_RATIO = 0.1
"""Before the first request, loads take a tenth of the usual time."""
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


def expect(
    engine: catalog.Engine,
    move: layer_planner.Move,
    now: float,
    busy: int,
    *,
    starting: bool,
) -> PendingOrder:
    """Returns the order for a move, with the expected end of its load.

    Args:
        engine: the model's engine.
        move: the move.
        now: loop time in seconds.
        busy: runners that load at the same time, including this one.
        starting: whether no request was served yet.
    """
    held = move.server.layers
    start = max(held.start, move.layers.start)
    end = max(start, min(held.end, move.layers.end))
    retained = directory.LayerRange(start, end)
    new = move.layers.count - retained.count
    seconds = engine.load_seconds * new / engine.layers
    if starting:
        seconds *= INITIAL_LOAD_TIME_RATIO
    seconds *= max(1.0, busy / max(1, engine.loads_at_once))
    return PendingOrder(
        move.layers, retained, move.server.lifetime, seconds, now + seconds
    )
