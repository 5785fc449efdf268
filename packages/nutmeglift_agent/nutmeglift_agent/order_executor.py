"""Executes orders to the engine of this agent."""

import asyncio

from nutmeglift import control_messages
from nutmeglift import engine as engines
from nutmeglift import errors
from nutmeglift import fencing
from nutmeglift import ids
from nutmeglift_wire import metrics as metric


class OrderExecutor:
    """Executes one order at a time, and none from an older lease.

    Attributes:
        gate: decides which orders may be executed.
    """

    def __init__(
        self, engine: engines.BaseEngine, metrics: metric.BaseMetrics
    ) -> None:
        self.gate = fencing.FencingGate()
        self._engine = engine
        self._metrics = metrics
        self._lock = asyncio.Lock()

    def observe(self, number: ids.FencingNumber, *, confirmed: bool) -> None:
        """Records a fencing number that a router reported."""
        self.gate.observe(number, confirmed=confirmed)

    async def execute(
        self, order: control_messages.Order
    ) -> control_messages.OrderResult:
        """Executes an order unless the fencing gate refuses it.

        Returns:
            The result for the router that sent it.
        """
        # Decided before the lock is acquired: a refusal does not wait for the
        # running order, and a newer lease's order raises the fencing number
        # immediately, also for the orders that are waiting.
        early_decision = self.gate.decide(order)
        if isinstance(early_decision, fencing.Reply):
            return self._count_result(early_decision.result)
        async with self._lock:
            match self.gate.decide(order):
                case fencing.Reply(result):
                    return self._count_result(result)
                case fencing.Execute():
                    return self._count_result(await self._send_to_engine(order))

    async def _send_to_engine(
        self, order: control_messages.Order
    ) -> control_messages.OrderResult:
        try:
            await self._engine.order(order)
        except errors.NutmegError as error:
            return control_messages.OrderResult(
                order.order, order.fencing_number, error.kind, error.detail
            )
        self.gate.record_done(order)
        return control_messages.OrderResult(order.order, order.fencing_number)

    def _count_result(
        self, result: control_messages.OrderResult
    ) -> control_messages.OrderResult:
        kind = "done" if result.kind is None else result.kind.value
        self._metrics.count(f"order.{kind}")
        return result
