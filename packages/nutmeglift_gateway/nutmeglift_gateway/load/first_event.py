"""Forecasts when a request's first event arrives on a path."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """Expected times of a request on a path at the present load.

    Attributes:
        first_event_seconds: from sending the request to its first event.
        event_seconds: between two events.
    """

    first_event_seconds: float
    event_seconds: float
