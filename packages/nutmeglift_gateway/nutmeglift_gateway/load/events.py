"""Events and actions of the admission queue."""

import dataclasses
import enum

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift_gateway.load import room


class Reason(enum.Enum):
    """Why a request was refused."""

    NOT_IN_TIME = "not_in_time"
    """No room is expected before its objective."""
    QUEUE_FULL = "queue_full"
    """Nothing more may wait, and there is no room."""
    DRAINING = "draining"
    """The router is leaving."""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """A request was admitted and needs room.

    Attributes:
        number: identifies the request at this router.
        account: its client account; empty without one.
        needs: what it needs.
        deadline: loop time by which its response has to end.
        body_bytes: bytes that it holds while it waits.
    """

    number: int
    account: ids.AccountId
    needs: room.RoomRequest
    deadline: float
    body_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Left:
    """A request no longer waits, because its caller left."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoomChanged:
    """Room may have become free, or the time of an earlier WakeAt has come."""


Event = Arrived | Left | RoomChanged


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Send a request now.

    Attributes:
        number: the request.
        detail: why it waited; empty if it did not.
    """

    number: int
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a request, which has not run.

    Attributes:
        number: the request.
        kind: the error kind.
        reason: why.
        retry_after: seconds after which its caller may return.
        detail: the inputs of the decision, for the log.
    """

    number: int
    kind: errors.ErrorKind
    reason: Reason
    retry_after: float
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class WakeAt:
    """Handle RoomChanged at a loop time at the latest."""

    at: float


Action = Dispatch | Refuse | WakeAt
