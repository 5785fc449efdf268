"""What the routes of a service ask for, and how requests differ in it."""

from collections.abc import Iterable
import dataclasses

from nutmeglift_gateway.load import urgency as urgencies


@dataclasses.dataclass(frozen=True, slots=True)
class Objectives:
    """What the requests of one service ask for.

    Attributes:
        priorities: all priorities, in ascending order.
        shortest: shortest objective, in seconds.
        longest: longest objective, in seconds.
        shortest_gap: shortest gap objective, in seconds.
    """

    priorities: tuple[int, ...]
    shortest: float
    longest: float
    shortest_gap: float

    @property
    def differ(self) -> bool:
        """Whether requests differ in priority or objective."""
        return len(self.priorities) > 1 or self.shortest < self.longest

    def tolerance(self, urgency: urgencies.Urgency) -> float:
        """Returns the lack of urgency: 0 for the most urgent requests, up to 1.

        It grows with the number of priorities before the request's and with its
        objective, whichever is more.

        Args:
            urgency: what the request asks for.
        """
        before = sum(each < urgency.priority for each in self.priorities)
        by_priority = before / len(self.priorities)
        by_objective = 0.0
        if urgency.objective > self.shortest:
            by_objective = 1.0 - self.shortest / urgency.objective
        return min(1.0, max(by_priority, by_objective))


def combine(
    levels: Iterable[tuple[int, float, float]],
) -> Objectives | None:
    """Returns what levels of service ask for, or None without any.

    Args:
        levels: priorities, objectives and gap objectives, in seconds.
    """
    listed = list(levels)
    if not listed:
        return None
    return Objectives(
        tuple(sorted({priority for priority, _, _ in listed})),
        min(objective for _, objective, _ in listed),
        max(objective for _, objective, _ in listed),
        min(gap_objective for _, _, gap_objective in listed),
    )
