"""Decides the steps of a graceful shutdown after SIGTERM."""

import enum

ACCEPT_SECONDS = 3.2
"""The platform removes a VM after two failed checks, one per second. New
connections arrive until then, and those in transit for another second."""
REFUSE_SECONDS = 2.9
"""A request that arrives later than three seconds after SIGTERM must not be cut
off, and a stream may outlast the process. Such requests are refused as not
run. With less time from SIGTERM to the exit, `may_begin` refuses sooner."""
CLOSE_IDLE_SECONDS = 2.1
"""From then on, the platform sends new connections to other routers. Idle
keep-alive connections are closed, so that their callers' next requests go to
other routers, too, instead of being refused."""
EXIT_MARGIN_SECONDS = 0.8
"""Time between the exit and the moment at which the process would be killed.
Requests that are still running then were sent late."""
FLUSH_SECONDS = 0.4
"""Time after the exit was decided to send the last responses; the rest of the
exit margin is for the end of the process."""
COMPLETION_SECONDS = 3.0
"""Time that a request needs at most, as a rule, if its deadline is not sooner.
What is cut off after it can be sent again, or resumed elsewhere."""
TICK_SECONDS = 0.05
"""Interval at which the step is determined."""


class Step(enum.Enum):
    """A step of the shutdown."""

    ACCEPT = "accept"
    """The readiness check fails, but all requests are served."""
    REFUSE = "refuse"
    """New requests are refused; requests in flight are completed."""
    EXIT = "exit"


def closes_idle_connections(elapsed: float) -> bool:
    """Returns whether to close idle keep-alive connections.

    Args:
        elapsed: seconds since SIGTERM.
    """
    return elapsed >= CLOSE_IDLE_SECONDS


def judge(
    *, elapsed: float, in_flight: int, unsettled: int, shutdown_seconds: float
) -> Step:
    """Returns the current step.

    Args:
        elapsed: seconds since SIGTERM.
        in_flight: number of requests without a complete response.
        unsettled: number of connections on which a request is being read, or
            whose caller has not been sent all of a response.
        shutdown_seconds: time from SIGTERM until the process is killed.
    """
    if elapsed >= shutdown_seconds - EXIT_MARGIN_SECONDS:
        return Step.EXIT
    if elapsed < REFUSE_SECONDS:
        return Step.ACCEPT
    if elapsed < ACCEPT_SECONDS or in_flight or unsettled:
        return Step.REFUSE
    return Step.EXIT


def may_begin(
    *, now: float, exit_at: float, deadline: float, must_complete: bool
) -> bool:
    """Returns whether a request that has not run may be sent to a server.

    Load: a planned stop while requests wait for a retry, a trial or the first
    configuration, or with little time. What would be cut off when the process
    exits is refused, so that its caller can go to another router.

    Args:
        now: loop time in seconds.
        exit_at: time at which the process exits at the latest.
        deadline: time by which the response has to end.
        must_complete: whether its caller could not learn whether it ran.
    """
    if must_complete:
        return deadline <= exit_at
    return min(deadline, now + COMPLETION_SECONDS) <= exit_at


def keeps_open(*, requested: bool, draining: bool, has_queued: bool) -> bool:
    """Returns whether a response leaves its connection open.

    While draining, only the response to the last request on a connection closes
    it: callers expect no response after one with `Connection: close`.

    Args:
        requested: whether the caller asked to keep the connection open.
        draining: whether the process is shutting down.
        has_queued: whether another request has been received on the
            connection, if only in part.
    """
    return requested and (has_queued or not draining)
