"""Orders to the engine beside this agent."""

import asyncio

from nutmeglift import control_messages
from nutmeglift import engine as engines
from nutmeglift import errors
from nutmeglift import fencing
from nutmeglift import ids
from nutmeglift_wire import metrics as metric


class Orders:
    """Gives the engine one order at a time, none of an older lease.

    Attributes:
        gate: decides which orders may be carried out.
    """

    def __init__(
        self, engine: engines.BaseEngine, metrics: metric.BaseMetrics
    ) -> None:
        self.gate = fencing.FencingGate()
        self._engine = engine
        self._metrics = metrics
        self._lock = asyncio.Lock()

    def observe(self, number: ids.FencingNumber, *, confirmed: bool) -> None:
        """Takes a fencing number that a router knows."""
        self.gate.observe(number, confirmed=confirmed)

    async def carry_out(
        self, order: control_messages.Order
    ) -> control_messages.OrderResult:
        """Carries out an order, if it still may be.

        Returns:
            The result for the router that gave it.
        """
        # A refusal need not wait for the order before; a newer lease's order
        # raises the number at once, also for those that wait.
        first = self.gate.decide(order)
        if isinstance(first, fencing.Reply):
            return self._answer(first.result)
        async with self._lock:
            match self.gate.decide(order):
                case fencing.Reply(result):
                    return self._answer(result)
                case fencing.Execute():
                    return self._answer(await self._give(order))

    async def _give(
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

    def _answer(
        self, result: control_messages.OrderResult
    ) -> control_messages.OrderResult:
        kind = "done" if result.kind is None else result.kind.value
        self._metrics.count(f"order.{kind}")
        return result
