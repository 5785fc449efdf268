"""What a benchmark reports."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import json

import numpy


@dataclasses.dataclass(frozen=True)
class Measurement:
    """Outcome of a run.

    Attributes:
        value: the figure.
        baseline: the same of the baseline, or None.
    """

    value: float
    baseline: float | None = None


@dataclasses.dataclass(frozen=True)
class Figure:
    """One named figure.

    Attributes:
        name: its name, as in the design.
        unit: its unit.
        goal: the goal in words, such as "<= 3", or "" for none.
        run: measures it.
    """

    name: str
    unit: str
    goal: str
    run: Callable[[], Measurement]

    def to_json_line(self, measured: Measurement) -> str:
        """Returns the JSON line for an outcome."""
        return json.dumps(
            {
                "name": self.name,
                "value": measured.value,
                "unit": self.unit,
                "goal": self.goal,
                "baseline": measured.baseline,
                "command": f"make bench ONLY={self.name}",
            }
        )


def slope(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Returns the slope of the least-squares line through measurements."""
    return float(numpy.polyfit(sizes, values, 1)[0])
