"""Lets requests in, or refuses them before anything ran."""

import asyncio
import dataclasses
import itertools

from nutmeglift import admission
from nutmeglift import blackboard
from nutmeglift import concurrency
from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import settings
from nutmeglift_router import entries
from nutmeglift_router import share_controller
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

PLAIN_LANE = ""
SHORTEST_RETRY_SECONDS = 1.0


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
    """The right to run one request, given back when it ends.

    Attributes:
        demand: what was asked for.
        admitted_at: when it was let in, in seconds.
        number: identifies it.
        lane: the part of the fleet that it runs on.
        deadline_seconds: time left to the deadline at that time; 0 for none.
    """

    demand: Demand
    admitted_at: float
    number: int = 0
    lane: str = PLAIN_LANE
    deadline_seconds: float = 0.0


class _Lane:
    """Admission to one part of the fleet, and who waits for it."""

    def __init__(
        self, bounds: settings.Bounds, limit: concurrency.BaseInFlightLimit
    ) -> None:
        self.admission = admission.RequestAdmission(
            max_waiting=bounds.queue,
            max_in_flight=bounds.in_flight,
            token_limit=limit,
        )
        self.future_by_number: dict[int, asyncio.Future[admission.Admit]] = {}
        self.timer: asyncio.TimerHandle | None = None


class AdmissionController:
    """Decides which request runs when."""

    def __init__(
        self,
        *,
        board: blackboard.Blackboard,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
        bounds: settings.Bounds | None = None,
        shares: share_controller.ShareController | None = None,
    ) -> None:
        """Makes a controller.

        Args:
            board: the blackboard.
            clock: the clock.
            metrics: the metrics.
            bounds: bounds of what waits and what runs.
            shares: the account limits; None for no limits.
        """
        self._board = board
        self._clock = clock
        self._metrics = metrics
        self._bounds = bounds or settings.Bounds()
        self._shares = shares
        self._numbers = itertools.count(1)
        self._waiting = 0
        self._lane_by_name: dict[str, _Lane] = {}
        self._ticket_by_number: dict[int, Ticket] = {}

    @property
    def waiting(self) -> int:
        """Number of requests that wait, in a queue or for their budget."""
        return self._waiting

    @property
    def in_flight(self) -> int:
        """Number of requests that run."""
        return len(self._ticket_by_number)

    async def admit(self, demand: Demand) -> Ticket:
        """Waits for the request's turn.

        Raises:
            errors.RefusedError: it can't run within its limits or deadline.
        """
        self._waiting += 1
        try:
            return await self._pass(demand)
        finally:
            self._waiting -= 1

    async def _pass(self, demand: Demand) -> Ticket:
        arrived = self._clock.now()
        await self._pass_limits(demand)
        try:
            return await self._pass_queue(demand, arrived)
        except (errors.RefusedError, asyncio.CancelledError):
            if self._shares is not None:
                self._shares.refund_request(
                    demand.account.id, _most_tokens(demand)
                )
            raise

    def release(self, ticket: Ticket, tokens: int) -> None:
        """Takes a ticket back.

        Args:
            ticket: the ticket; one that was given back changes nothing.
            tokens: tokens that were generated.
        """
        if self._ticket_by_number.pop(ticket.number, None) is None:
            return
        demand = ticket.demand
        if self._shares is not None:
            used = demand.prompt_tokens + tokens
            self._shares.settle(
                demand.account.id, _most_tokens(demand), float(used)
            )
        lane = self._lane_by_name[ticket.lane]
        now = self._clock.now()
        self._carry_out(
            lane, lane.admission.release(now, ticket.number, tokens)
        )

    async def _pass_limits(self, demand: Demand) -> None:
        if self._shares is None:
            return
        tokens = _most_tokens(demand)
        verdict = self._shares.take(demand.account, tokens)
        if not verdict.allowed and await self._shares.ask(
            demand.account, tokens
        ):
            verdict = self._shares.take(demand.account, tokens)
        if not verdict.allowed:
            raise self._refuse(
                errors.ErrorKind.LIMIT_EXCEEDED,
                f"{demand.account.id} is over its limit",
                max(verdict.seconds, SHORTEST_RETRY_SECONDS),
            )
        if not verdict.seconds:
            return
        self._metrics.count("admission.paced")
        try:
            await self._clock.sleep(verdict.seconds)
        except asyncio.CancelledError:
            self._shares.refund_request(demand.account.id, tokens)
            raise

    async def _pass_queue(self, demand: Demand, arrived: float) -> Ticket:
        now = self._clock.now()
        name = self._lane_name(demand)
        lane = self._find_lane(name)
        number = next(self._numbers)
        left = demand.deadline_seconds
        if left > 0:
            left = max(left - (now - arrived), 1e-9)
        arrival = admission.Arrival(
            number,
            demand.account.id,
            demand.account.priority,
            demand.account.weight,
            demand.prompt_tokens,
            demand.max_tokens,
            left,
        )
        future: asyncio.Future[admission.Admit] = (
            asyncio.get_running_loop().create_future()
        )
        lane.future_by_number[number] = future
        self._carry_out(lane, lane.admission.arrive(now, arrival))
        if not future.done():
            self._metrics.count("admission.queued")
            self._set_timer(lane)
        admitted = await self._wait(lane, number, future)
        ticket = Ticket(
            demand, self._clock.now(), number, name, admitted.deadline_seconds
        )
        self._ticket_by_number[number] = ticket
        self._metrics.count("admission.admitted")
        return ticket

    async def _wait(
        self,
        lane: _Lane,
        number: int,
        future: asyncio.Future[admission.Admit],
    ) -> admission.Admit:
        if future.done():
            return future.result()
        try:
            return await future
        except asyncio.CancelledError:
            self._metrics.count("admission.caller_left")
            self._abandon(lane, number)
            raise

    def _abandon(self, lane: _Lane, number: int) -> None:
        now = self._clock.now()
        if lane.future_by_number.pop(number, None) is not None:
            self._carry_out(lane, lane.admission.leave(now, number))
        else:
            self._carry_out(lane, lane.admission.release(now, number, 0))

    def _carry_out(self, lane: _Lane, actions: list[admission.Action]) -> None:
        for action in actions:
            future = lane.future_by_number.pop(action.number, None)
            if future is None or future.done():
                continue
            match action:
                case admission.Admit():
                    future.set_result(action)
                case admission.Refuse():
                    error = self._refuse(
                        action.kind, action.detail, action.retry_after
                    )
                    future.set_exception(error)

    def _refuse(
        self, kind: errors.ErrorKind, detail: str, retry_after: float
    ) -> errors.RefusedError:
        self._metrics.count(f"admission.refused.{kind.value}")
        return errors.RefusedError(detail, kind=kind, retry_after=retry_after)

    def _set_timer(self, lane: _Lane) -> None:
        expiry = lane.admission.next_expiry()
        if lane.timer is not None:
            lane.timer.cancel()
            lane.timer = None
        if expiry is None:
            return
        seconds = max(0.0, expiry - self._clock.now())
        loop = asyncio.get_running_loop()
        lane.timer = loop.call_later(seconds, self._tick, lane)

    def _tick(self, lane: _Lane) -> None:
        self._carry_out(lane, lane.admission.tick(self._clock.now()))
        self._metrics.gauge("admission.waiting", self.waiting)
        self._set_timer(lane)

    def _lane_name(self, demand: Demand) -> str:
        if demand.route is None:
            return PLAIN_LANE
        declared = self._board.read(entries.CONFIGURATION).declared
        for route in declared.routes:
            if route.id == demand.route:
                return f"{route.model}/{route.version}"
        return demand.route

    def _find_lane(self, name: str) -> _Lane:
        lane = self._lane_by_name.get(name)
        if lane is None:
            lane = _Lane(self._bounds, self._make_limit(name))
            self._lane_by_name[name] = lane
        return lane

    def _make_limit(self, name: str) -> concurrency.BaseInFlightLimit:
        if name == PLAIN_LANE:
            return concurrency.FixedLimit(concurrency.MAX_LIMIT_TOKENS)
        flow = sum(
            assignment.tokens_per_second
            for assignment in self._board.read(entries.PLAN).assignments
            if assignment.first_layer == 0
            and f"{assignment.model}/{assignment.version}" == name
        )
        if not flow:
            return concurrency.AdaptiveLimit()
        routers = self._shares.count_routers() if self._shares else 1
        target = admission.DEFAULT_TARGET_LATENCY_SECONDS
        return concurrency.AdaptiveLimit(flow * target / routers)


def _most_tokens(demand: Demand) -> float:
    return float(demand.prompt_tokens + demand.max_tokens)
