"""Decides the steps of leaving after SIGTERM."""

import enum

ACCEPT_SECONDS = 3.2
"""The platform takes a VM out after two missed checks, one a second; until
then new connections arrive, and a second more while they are on their way."""
REFUSE_SECONDS = 2.9
"""What comes later than three seconds after SIGTERM may not be cut off, and a
stream may last longer than the process: it is refused as not run."""
CLOSE_IDLE_SECONDS = 2.1
"""From then on the platform sends new connections elsewhere: kept ones are
closed when idle, so that their callers' next requests go there, too, in place
of being refused."""
EXIT_MARGIN_SECONDS = 0.8
"""Before the process is killed; what is then still at work was sent late."""
TICK_SECONDS = 0.05
"""How often the step is judged."""


class Step(enum.Enum):
    """What to do while leaving."""

    ACCEPT = "accept"
    """Not ready any more, but all that arrives is served."""
    REFUSE = "refuse"
    """New requests are refused; what is in flight is ended."""
    EXIT = "exit"


def closes_idle_connections(elapsed: float) -> bool:
    """Tells whether kept connections without a request are closed.

    Args:
        elapsed: seconds since SIGTERM.
    """
    return elapsed >= CLOSE_IDLE_SECONDS


def judge(*, elapsed: float, in_flight: int, shutdown_seconds: float) -> Step:
    """Decides on the step.

    Args:
        elapsed: seconds since SIGTERM.
        in_flight: requests that are not answered yet.
        shutdown_seconds: the process is killed so long after SIGTERM.
    """
    if elapsed >= shutdown_seconds - EXIT_MARGIN_SECONDS:
        return Step.EXIT
    if elapsed < REFUSE_SECONDS:
        return Step.ACCEPT
    if elapsed < ACCEPT_SECONDS or in_flight:
        return Step.REFUSE
    return Step.EXIT
