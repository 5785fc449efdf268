"""Figures that the benchmarks report, and their results."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import json

import numpy


@dataclasses.dataclass(frozen=True)
class Measurement:
    """Result of measuring one figure.

    Attributes:
        value: the measured value, in the unit of the figure.
        baseline: the value measured for the baseline, or None.
    """

    value: float
    baseline: float | None = None


@dataclasses.dataclass(frozen=True)
class Figure:
    """Named quantity that a benchmark measures.

    Attributes:
        name: unique name, as used in the design documents.
        unit: unit of the value and the baseline.
        goal: target as text, such as "<= 3", or "" if there is none.
        run: function that measures the figure.
    """

    name: str
    unit: str
    goal: str
    run: Callable[[], Measurement]

    def to_json_line(self, measurement: Measurement) -> str:
        """Returns the JSON line that reports a measurement."""
        return json.dumps(
            {
                "name": self.name,
                "value": measurement.value,
                "unit": self.unit,
                "goal": self.goal,
                "baseline": measurement.baseline,
                "command": f"make bench ONLY={self.name}",
            }
        )


def slope(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Returns the slope of the least-squares line through the values."""
    return float(numpy.polyfit(sizes, values, 1)[0])
