"""Requests that wait for room: events and actions of the decision."""

import dataclasses

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift_gateway.load import room


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """A request was admitted and needs room.

    Attributes:
        number: identifies the request at this router.
        account: its client account; empty without one.
        needs: what it needs.
        deadline: loop time by which its response has to end.
    """

    number: int
    account: ids.AccountId
    needs: room.RoomRequest
    deadline: float


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
    """Send a request now."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a request, which has not run.

    Attributes:
        number: the request.
        kind: the error kind.
        retry_after: seconds after which its caller may return.
        detail: the inputs of the decision and their age, for the log.
    """

    number: int
    kind: errors.ErrorKind
    retry_after: float
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class WakeAt:
    """Handle RoomChanged at a loop time at the latest."""

    at: float


Action = Dispatch | Refuse | WakeAt
