"""How urgent a request is, and until when its response is on time."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Urgency:
    """What a request's route and account ask for.

    Attributes:
        priority: 0 is served first.
        objective: seconds from the request to its first event that meet the
            route's objective.
        gap_objective: longest pause between two events that meets the
            objective, in seconds.
        received_at: loop time at which the request was received.
    """

    priority: int
    objective: float
    gap_objective: float
    received_at: float

    def remaining(self, now: float) -> float:
        """Returns the seconds left to the objective; negative once missed."""
        return self.received_at + self.objective - now
