"""Which orders to a backend server may still be carried out."""

import collections
import dataclasses

from nutmeglift import control_messages
from nutmeglift import errors
from nutmeglift import ids

MAX_COMPLETED_ORDER_COUNT = 1024


@dataclasses.dataclass(frozen=True)
class CarryOut:
    """The order is to be given to the engine."""


@dataclasses.dataclass(frozen=True)
class Answer:
    """The order is answered without the engine."""

    result: control_messages.OrderResult


Decision = CarryOut | Answer


class FencingGate:
    """Refuses orders of a lease that another has replaced.

    Attributes:
        highest: highest fencing number seen.
        confirmed: whether a router that held the lease told its number
            since this process started.
    """

    def __init__(self) -> None:
        self.highest = ids.FencingNumber(0)
        self.confirmed = False
        self._done: collections.OrderedDict[
            ids.RequestId, control_messages.OrderResult
        ] = collections.OrderedDict()

    def learn(self, number: ids.FencingNumber, *, confirmed: bool) -> None:
        """Takes a fencing number that a router knows.

        Args:
            number: the number.
            confirmed: whether that router holds the number's lease.
        """
        self._raise(number)
        self.confirmed = self.confirmed or confirmed

    def judge(self, order: control_messages.Order) -> Decision:
        """Decides about an order; calling it again is harmless."""
        if not self.confirmed:
            return _refuse(
                order,
                errors.ErrorKind.CONFIGURATION_STALE,
                "the current fencing number is not known here yet",
            )
        if order.fencing_number < self.highest:
            return _refuse(
                order,
                errors.ErrorKind.STALE_FENCING_NUMBER,
                f"{order.fencing_number} is older than {self.highest}",
            )
        self._raise(order.fencing_number)
        done = self._done.get(order.order)
        return CarryOut() if done is None else Answer(done)

    def record_done(self, order: control_messages.Order) -> None:
        """Remembers an order that was carried out."""
        if order.fencing_number < self.highest:
            return
        self._done[order.order] = control_messages.OrderResult(
            order.order, order.fencing_number
        )
        if len(self._done) > MAX_COMPLETED_ORDER_COUNT:
            self._done.popitem(last=False)

    def _raise(self, number: ids.FencingNumber) -> None:
        if number <= self.highest:
            return
        self.highest = number
        # Orders of older numbers are refused, so their results can go.
        self._done.clear()


def _refuse(
    order: control_messages.Order, kind: errors.ErrorKind, detail: str
) -> Answer:
    return Answer(
        control_messages.OrderResult(
            order.order, order.fencing_number, kind, detail
        )
    )
