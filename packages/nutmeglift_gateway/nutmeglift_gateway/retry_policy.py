"""Decides whether a request is retried after a failed attempt.

A request that is not repeatable is retried only if no byte of it was written
or the backend server reported that it did not run. An error response states
"not run" only if that is certain.
"""

import dataclasses
import enum

from nutmeglift import errors
from nutmeglift_gateway import catalog

MIN_ATTEMPT_SECONDS = 0.03
"""Below the time that a backend server needs for the shortest response."""
MAX_ENDED_SERVER_COUNT = 2
"""Servers that a request may end before it counts as the cause."""
MAX_SEND_COUNT = 4
"""Times that one request is sent, including to servers that reject it: each
rejection costs a round trip, which counts toward the caller's latency."""


class Failure(enum.Enum):
    """Why an attempt ended without a successful response."""

    NOT_SENT = "not_sent"
    """The connection failed before the first byte was written."""
    REJECTED = "rejected"
    """The backend server reported that it did not run the request."""
    LOST = "lost"
    """The connection closed or went silent after the request was sent."""
    INVALID = "spoiled"
    """The response was malformed or did not belong to this request."""
    SERVER_ERROR = "server_error"
    """A complete response that reports a failure of the backend server."""
    TIMEOUT = "timeout"
    """The request's deadline passed."""
    QUARANTINED = "quarantined"
    """Requests like it were found to end servers while it ran."""


@dataclasses.dataclass
class Progress:
    """Attempts made so far for a request.

    Attributes:
        sent: number of times that it was written to a backend server.
        runs: number of times that it may have run.
        terminated_runs: number of those runs whose backend server process has
            terminated since; they do not count toward the route's limit.
        started: whether part of the response was delivered to the caller.
        survived: whether a run of it survived its beginning.
        ended_servers: number of servers that ended when it was about to begin.
    """

    sent: int = 0
    runs: int = 0
    terminated_runs: int = 0
    started: bool = False
    survived: bool = False
    ended_servers: int = 0

    @property
    def counted_runs(self) -> int:
        """Runs that count toward the route's limit on attempts."""
        return self.runs - self.terminated_runs

    def discount(self, failure: Failure | None) -> None:
        """Takes back the counts of an attempt that was not run, or not sent."""
        if failure in (Failure.REJECTED, Failure.NOT_SENT):
            self.runs -= 1
        if failure is Failure.NOT_SENT:
            self.sent -= 1

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run."""
        return self.runs > 0


@dataclasses.dataclass(frozen=True)
class Retry:
    """Send the request to another backend server.

    Attributes:
        charged: whether the retry is charged to the retry budget.
    """

    charged: bool


@dataclasses.dataclass(frozen=True)
class Refuse:
    """Respond that the request did not run and will not run."""

    kind: errors.ErrorKind


@dataclasses.dataclass(frozen=True)
class Fail:
    """Respond that it is unknown whether the request ran."""

    kind: errors.ErrorKind


@dataclasses.dataclass(frozen=True)
class Deliver:
    """Deliver the backend server's own error response."""


Decision = Retry | Refuse | Fail | Deliver


def has_attempts_left(
    route: catalog.Route, progress: Progress, *, server_lost: bool = False
) -> bool:
    """Returns whether the limits on attempts allow another one.

    Args:
        route: the request's route.
        progress: attempts made so far.
        server_lost: whether the backend server of the current run is known to
            be lost.
    """
    runs = progress.counted_runs - server_lost
    return (
        runs < route.max_attempts
        and progress.sent < MAX_SEND_COUNT
        and progress.ended_servers < MAX_ENDED_SERVER_COUNT
    )


def decide(
    route: catalog.Route,
    progress: Progress,
    failure: Failure,
    remaining: float,
) -> Decision:
    """Returns how to proceed after a failed attempt.

    Args:
        route: the request's route.
        progress: attempts made so far, including the failed one.
        failure: why the attempt failed.
        remaining: seconds until the request's deadline.
    """
    if failure is Failure.QUARANTINED:
        return _refuse_or_fail(progress, errors.ErrorKind.QUARANTINED)
    if progress.ended_servers >= MAX_ENDED_SERVER_COUNT:
        return _refuse_or_fail(progress, errors.ErrorKind.OUTCOME_UNKNOWN)
    if remaining < MIN_ATTEMPT_SECONDS or failure is Failure.TIMEOUT:
        return _refuse_or_fail(progress, errors.ErrorKind.DEADLINE)
    if failure is Failure.NOT_SENT:
        return Retry(charged=False)
    if not has_attempts_left(route, progress):
        if failure is Failure.SERVER_ERROR:
            return Deliver()
        return _refuse_or_fail(progress, errors.ErrorKind.OVERLOADED)
    if failure is Failure.REJECTED:
        return Retry(charged=True)
    if route.repeatable:
        return Retry(charged=True)
    if failure is Failure.SERVER_ERROR:
        return Deliver()
    return _refuse_or_fail(progress, errors.ErrorKind.OUTCOME_UNKNOWN)


def decide_without_server(progress: Progress) -> Refuse | Fail:
    """Returns how to end a request for which no backend server is available."""
    return _refuse_or_fail(progress, errors.ErrorKind.NO_BACKEND)


def decide_interrupted(
    progress: Progress, kind: errors.ErrorKind
) -> Refuse | Fail:
    """Returns how to end a request that the router stops processing.

    Args:
        progress: attempts made so far.
        kind: error kind if the request has not run.
    """
    return _refuse_or_fail(progress, kind)


def _refuse_or_fail(
    progress: Progress, kind: errors.ErrorKind
) -> Refuse | Fail:
    if not progress.may_have_run:
        return Refuse(
            errors.ErrorKind.OVERLOADED
            if kind is errors.ErrorKind.OUTCOME_UNKNOWN
            else kind
        )
    if kind is errors.ErrorKind.DEADLINE:
        return Fail(errors.ErrorKind.TIMEOUT)
    return Fail(errors.ErrorKind.OUTCOME_UNKNOWN)
