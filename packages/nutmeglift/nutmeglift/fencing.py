"""Fencing of orders to a backend server."""

import collections
import dataclasses

from nutmeglift import control_messages
from nutmeglift import errors
from nutmeglift import ids

MAX_COMPLETED_ORDER_COUNT = 1024


@dataclasses.dataclass(frozen=True)
class Execute:
    """The order is to be executed by the engine."""


@dataclasses.dataclass(frozen=True)
class Reply:
    """The order is answered without involving the engine."""

    result: control_messages.OrderResult


Decision = Execute | Reply


class FencingGate:
    """Refuses orders of a superseded lease.

    Attributes:
        highest: highest fencing number observed.
        confirmed: whether a router that held the lease reported its fencing
            number since this process started.
    """

    def __init__(self) -> None:
        self.highest = ids.FencingNumber(0)
        self.confirmed = False
        self._done: collections.OrderedDict[
            ids.RequestId, control_messages.OrderResult
        ] = collections.OrderedDict()

    def observe(self, number: ids.FencingNumber, *, confirmed: bool) -> None:
        """Records a fencing number reported by a router.

        Args:
            number: the fencing number.
            confirmed: whether that router holds the lease of the number.
        """
        self._advance(number)
        self.confirmed = self.confirmed or confirmed

    def decide(self, order: control_messages.Order) -> Decision:
        """Decides whether to execute an order; repeated calls are harmless."""
        if not self.confirmed:
            return _refuse(
                order,
                errors.ErrorKind.CONFIGURATION_STALE,
                "the current fencing number is not confirmed yet",
            )
        if order.fencing_number < self.highest:
            return _refuse(
                order,
                errors.ErrorKind.STALE_FENCING_NUMBER,
                f"fencing number {order.fencing_number} is older than"
                f" {self.highest}",
            )
        self._advance(order.fencing_number)
        done = self._done.get(order.order)
        return Execute() if done is None else Reply(done)

    def record_done(self, order: control_messages.Order) -> None:
        """Records an executed order."""
        if order.fencing_number < self.highest:
            return
        self._done[order.order] = control_messages.OrderResult(
            order.order, order.fencing_number
        )
        if len(self._done) > MAX_COMPLETED_ORDER_COUNT:
            self._done.popitem(last=False)

    def _advance(self, number: ids.FencingNumber) -> None:
        if number <= self.highest:
            return
        self.highest = number
        # Orders with older numbers are refused, so their results are dropped.
        self._done.clear()


def _refuse(
    order: control_messages.Order, kind: errors.ErrorKind, detail: str
) -> Reply:
    return Reply(
        control_messages.OrderResult(
            order.order, order.fencing_number, kind, detail
        )
    )
