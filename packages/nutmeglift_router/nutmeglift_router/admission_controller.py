"""Lets requests in, or refuses them before anything ran."""

import dataclasses

from nutmeglift import blackboard
from nutmeglift import declaration
from nutmeglift import ids
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric


@dataclasses.dataclass(frozen=True)
class Demand:
    """What a request asks for.

    Attributes:
        account: the caller's account.
        route: the route; None for a plain call.
        prompt_tokens: tokens to read.
        max_tokens: tokens to generate at most.
        deadline_seconds: time left to the caller's deadline; 0 for none.
    """

    account: declaration.ClientAccount
    route: ids.RouteId | None
    prompt_tokens: int = 0
    max_tokens: int = 0
    deadline_seconds: float = 0.0


@dataclasses.dataclass(frozen=True)
class Ticket:
    """The right to run one request, given back when it ends."""

    demand: Demand
    admitted_at: float


class AdmissionController:
    """Decides which request runs when."""

    def __init__(
        self,
        *,
        board: blackboard.Blackboard,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
    ) -> None:
        self._board = board
        self._clock = clock
        self._metrics = metrics

    async def admit(self, demand: Demand) -> Ticket:
        """Waits for the request's turn.

        Raises:
            errors.RefusedError: it can't run within its limits or deadline.
        """
        return Ticket(demand, self._clock.now())

    def release(self, ticket: Ticket, tokens: int) -> None:
        """Takes a ticket back.

        Args:
            ticket: the ticket.
            tokens: tokens that were generated.
        """
