"""What follows from the outcome of one attempt at a request.

A request that may not be repeated is sent once. It is sent again only where
nothing of it was written, or the backend server said that it had not run. A
refusal that promises "not run" is given only where that is certain.
"""

import dataclasses
import enum

from nutmeglift import errors
from nutmeglift_gateway import catalog

MIN_ATTEMPT_SECONDS = 0.03
"""Less time than a backend server needs for the shortest answer."""
MAX_SEND_COUNT = 4
"""Servers that one request is offered to, those that rejected it included:
a rejection costs a round trip, and callers count the time."""


class Failure(enum.Enum):
    """How an attempt ended without an answer to deliver."""

    NOT_SENT = "not_sent"
    """The connection failed before the first byte was written."""
    REJECTED = "rejected"
    """The backend server said that it did not run the request."""
    LOST = "lost"
    """The connection ended, or fell silent, after the request was sent."""
    INVALID = "spoiled"
    """The answer was not the whole answer to this request."""
    SERVER_ERROR = "server_error"
    """A whole answer that says the backend server failed."""
    TIMEOUT = "timeout"
    """The request's time was over."""


@dataclasses.dataclass
class Progress:
    """What has been done for a request.

    Attributes:
        sent: times that it was written to a backend server.
        runs: times that it may have run; the route bounds these.
        ended_runs: those of them at backend servers that have ended since,
            which the route's bound leaves out.
        started: whether a part of the answer was delivered.
    """

    sent: int = 0
    runs: int = 0
    terminated_runs: int = 0
    started: bool = False

    @property
    def counted_runs(self) -> int:
        """What the route's bound counts."""
        return self.runs - self.terminated_runs

    @property
    def may_have_run(self) -> bool:
        """Whether any of what was sent may have run."""
        return self.runs > 0


@dataclasses.dataclass(frozen=True)
class Retry:
    """Send it to another backend server.

    Attributes:
        repeat: whether this draws on the retry budget.
    """

    repeat: bool


@dataclasses.dataclass(frozen=True)
class Refuse:
    """Answer that nothing ran and nothing will."""

    kind: errors.ErrorKind


@dataclasses.dataclass(frozen=True)
class Fail:
    """Answer that nobody can know whether it ran."""

    kind: errors.ErrorKind


@dataclasses.dataclass(frozen=True)
class Deliver:
    """Deliver the backend server's own answer, though it is a failure."""


Decision = Retry | Refuse | Fail | Deliver


def has_attempts_left(
    route: catalog.Route, progress: Progress, *, ending: bool = False
) -> bool:
    """Tells whether the bounds on attempts leave another one.

    Args:
        route: the request's route.
        progress: what has been done.
        ending: whether the present run's backend server is known to be lost.
    """
    runs = progress.counted_runs - ending
    return runs < route.max_attempts and progress.sent < MAX_SEND_COUNT


def decide(
    route: catalog.Route,
    progress: Progress,
    failure: Failure,
    remaining: float,
) -> Decision:
    """Decides what follows from a failed attempt.

    Args:
        route: the request's route.
        progress: what has been done, this attempt included.
        failure: how the attempt ended.
        remaining: seconds that the request has left.
    """
    if remaining < MIN_ATTEMPT_SECONDS or failure is Failure.TIMEOUT:
        return _refuse_or_fail(progress, errors.ErrorKind.DEADLINE)
    if failure is Failure.NOT_SENT:
        return Retry(repeat=False)
    if not has_attempts_left(route, progress):
        if failure is Failure.SERVER_ERROR:
            return Deliver()
        return _refuse_or_fail(progress, errors.ErrorKind.OVERLOADED)
    if failure is Failure.REJECTED:
        return Retry(repeat=True)
    if route.repeatable:
        return Retry(repeat=True)
    if failure is Failure.SERVER_ERROR:
        return Deliver()
    return _refuse_or_fail(progress, errors.ErrorKind.OUTCOME_UNKNOWN)


def decide_without_server(progress: Progress) -> Refuse | Fail:
    """Decides when there is no backend server to send it to."""
    return _refuse_or_fail(progress, errors.ErrorKind.NO_BACKEND)


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
