"""Decides when a slow request gets a second attempt beside its first one.

The first attempt gets the time that all but the slowest requests of its service
and failure domain took recently. How slow these are follows from the limit: a
limit of 2 second attempts in 100 requests is spent on the slowest 2 in 100. If
a second attempt could then no longer meet the objective, more count as slow.

A second attempt pays if half of the requests that are as slow would take longer
still than it usually takes. Otherwise the first attempt gets more time, up to
that of the slowest request: one that is slower than all is stuck.

Latencies are kept as multiples of the time that a request can expect on its
path, so that long prompts don't count as slow.
"""

from collections.abc import Callable
import dataclasses
import enum
from typing import TYPE_CHECKING

from nutmeglift import ids

if TYPE_CHECKING:
    from nutmeglift_gateway.load import latency_sketches

USUAL_QUANTILE = 0.5
MAX_SLOW_RATIO = 0.1
"""Greatest part of the requests that counts as slow, also if the objective is
missed by that."""
MIN_SLOW_RATIO = 1e-3
"""Smallest part; sketches of a minute resolve no smaller one."""

MIN_EXPECTED_SECONDS = 1e-9
"""Greater than zero, for engines whose steps are configured to take no time."""


class Denial(enum.Enum):
    """Why a slow request gets no second attempt."""

    DRAINING = "draining"
    """This router is leaving."""
    NO_ATTEMPT_LEFT = "attempts"
    """The route allows no other attempt."""
    SUSPECT = "suspect"
    """A request like it may have ended a server."""
    URGENT_WAITING = "urgent"
    """A more urgent request waits for room at the service."""
    LIMIT = "limit"
    """The operators' limit, or the retry budget, is spent."""
    NO_SERVER = "no_server"
    """No sound server is left that the first attempt doesn't use."""
    NO_ROOM = "no_room"
    """The service is short of room."""
    SLOW_SERVER = "slow_server"
    """The other server usually takes longer than was waited so far."""
    TIME_UP = "time"
    """It could not answer before the deadline."""


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Servers whose latencies are compared.

    Attributes:
        service: their service.
        domain: their failure domain; None for all.
        streaming: whether the latency is that of a first event.
    """

    service: ids.ServiceId
    domain: ids.FailureDomain | None
    streaming: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """The first attempt at a request that may be repeated was sent.

    Attributes:
        group: the server's group.
        expected_seconds: time that it can expect on its path.
        ratio: the limit, in second attempts per request.
        objective_at: loop time of its objective.
    """

    group: Group
    expected_seconds: float
    ratio: float
    objective_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """An attempt has answered, or was ended after a time.

    Attributes:
        group: the server's group.
        expected_seconds: time that it could expect on its path.
        seconds: time that it took.
    """

    group: Group
    expected_seconds: float
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Due:
    """The time of a WakeAt has come, and nothing was answered.

    Attributes:
        service: the service.
        rank: the order in which it gets room; 0 comes first.
        draining: whether this router is leaving.
        has_attempts_left: whether its route allows another attempt.
        suspected: whether requests like it may have ended a server.
        within_limit: whether the limit and the retry budget allow one.
    """

    service: ids.ServiceId
    rank: int
    draining: bool
    has_attempts_left: bool
    suspected: bool
    within_limit: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """Another server, or none, was found for a second attempt.

    Attributes:
        group: its group; None without a server.
        expected_seconds: time that the request can expect there.
        has_room: whether the server has room to spare.
        waited: seconds since the first attempt was sent.
        deadline: loop time by which the response has to end.
    """

    group: Group | None
    expected_seconds: float
    has_room: bool
    waited: float
    deadline: float


Event = Sent | Answered | Due | Found


@dataclasses.dataclass(frozen=True, slots=True)
class WakeAt:
    """Report Due at a loop time unless the request was answered before."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Seek:
    """Find another server, and report Found."""


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Charge the second attempt to the budget and send it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Deny:
    """Leave the request to its first attempt."""

    reason: Denial


Action = WakeAt | Seek | Start | Deny


class Hedging:
    """Decides on second attempts for one router.

    Attributes:
        is_urgent_waiting: returns whether a request of a service that is more
            urgent than a rank waits for room.
    """

    def __init__(self) -> None:
        self.is_urgent_waiting: Callable[[ids.ServiceId, int], bool] = (
            lambda service, rank: False
        )
        self._sketches: latency_sketches.LatencySketches | None = None

    def handle(self, now: float, event: Event) -> tuple[Action, ...]:
        """Returns what to do after an event.

        Args:
            now: loop time in seconds.
            event: the event.
        """
        match event:
            case Sent():
                return self._handle_sent(now, event)
            case Answered():
                self._record(now, event)
                return ()
            case Due():
                denial = self._denial_when_due(event)
                return (Seek(),) if denial is None else (Deny(denial),)
            case Found():
                denial = self._denial_of(now, event)
                return (Start(),) if denial is None else (Deny(denial),)

    def _handle_sent(self, now: float, sent: Sent) -> tuple[Action, ...]:
        usual = self._seconds(now, sent.group, USUAL_QUANTILE, sent)
        wait = self._seconds(now, sent.group, 1.0 - sent.ratio, sent)
        if usual is None or wait is None:
            return ()
        ratio = sent.ratio
        if now + wait + usual > sent.objective_at:
            ratio = max(ratio, MAX_SLOW_RATIO)
        while ratio >= MIN_SLOW_RATIO:
            wait = self._seconds(now, sent.group, 1.0 - ratio, sent)
            ratio /= 2
            later = self._seconds(now, sent.group, 1.0 - ratio, sent)
            if wait is not None and later is not None and later > wait + usual:
                return (WakeAt(now + wait),)
        slowest = self._seconds(now, sent.group, 1.0, sent)
        return () if slowest is None else (WakeAt(now + slowest),)

    def _denial_when_due(self, due: Due) -> Denial | None:
        if due.draining:
            return Denial.DRAINING
        if not due.has_attempts_left:
            return Denial.NO_ATTEMPT_LEFT
        if due.suspected:
            return Denial.SUSPECT
        if self.is_urgent_waiting(due.service, due.rank):
            return Denial.URGENT_WAITING
        if not due.within_limit:
            return Denial.LIMIT
        return None

    def _denial_of(self, now: float, found: Found) -> Denial | None:
        if found.group is None:
            return Denial.NO_SERVER
        if not found.has_room:
            return Denial.NO_ROOM
        usual = self._seconds(now, found.group, USUAL_QUANTILE, found) or 0.0
        if now + usual >= found.deadline:
            return Denial.TIME_UP
        if usual > found.waited:
            return Denial.SLOW_SERVER
        return None

    def _seconds(
        self, now: float, group: Group, quantile: float, event: Sent | Found
    ) -> float | None:
        """Returns a quantile of the group, or of its service, in seconds."""
        if self._sketches is None:
            return None
        value = self._sketches.quantile(now, group, quantile)
        if value is None:
            whole = dataclasses.replace(group, domain=None)
            value = self._sketches.quantile(now, whole, quantile)
        return None if value is None else value * event.expected_seconds

    def _record(self, now: float, answered: Answered) -> None:
        if self._sketches is None:
            # Not needed by routers without second attempts.
            from nutmeglift_gateway.load import latency_sketches  # noqa: PLC0415

            self._sketches = latency_sketches.LatencySketches()
        value = answered.seconds / max(
            answered.expected_seconds, MIN_EXPECTED_SECONDS
        )
        group = answered.group
        self._sketches.record(now, group, value)
        whole = dataclasses.replace(group, domain=None)
        self._sketches.record(now, whole, value)
