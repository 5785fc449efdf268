"""Admits requests, or refuses them before they run."""

import asyncio
import dataclasses
import itertools

from nutmeglift import admission
from nutmeglift import blackboard
from nutmeglift import concurrency
from nutmeglift import declaration
from nutmeglift import drain
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import settings
from nutmeglift_router import blackboard_entries
from nutmeglift_router import share_controller
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

PLAIN_POOL = ""
MIN_RETRY_AFTER_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class Demand:
    """The resources that a request needs.

    Attributes:
        account: the caller's account.
        route: the route; None for a plain call.
        prompt_tokens: number of prompt tokens.
        max_tokens: maximum number of tokens to generate.
        deadline_seconds: time left until the caller's deadline; 0 for none.
    """

    account: declaration.ClientAccount
    route: ids.RouteId | None
    prompt_tokens: int = 0
    max_tokens: int = 0
    deadline_seconds: float = 0.0


@dataclasses.dataclass(frozen=True)
class Ticket:
    """The right to run one request; released when the request ends.

    Attributes:
        demand: the request's demand.
        admitted_at: time of admission, in seconds.
        number: identifies the ticket.
        pool: the backend pool that the request runs on.
        deadline_seconds: time left until the deadline at admission; 0 for none.
    """

    demand: Demand
    admitted_at: float
    number: int = 0
    pool: str = PLAIN_POOL
    deadline_seconds: float = 0.0


class _Pool:
    """Admission to one pool of backend servers, and its waiting requests."""

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
    """Decides when each request runs: limits, queue and deadline."""

    def __init__(
        self,
        *,
        board: blackboard.Blackboard,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
        bounds: settings.Bounds | None = None,
        shares: share_controller.ShareController | None = None,
        drain_state: drain.Drain | None = None,
    ) -> None:
        """Creates a controller.

        Args:
            board: the blackboard.
            clock: the clock.
            metrics: the metrics.
            bounds: limits of the queue and of the requests in flight.
            shares: enforces the account limits; None for no limits.
            drain_state: progress of the shutdown; None for none.
        """
        self._drain = drain_state or drain.Drain()
        self._board = board
        self._clock = clock
        self._metrics = metrics
        self._bounds = bounds or settings.Bounds()
        self._shares = shares
        self._ticket_numbers = itertools.count(1)
        self._waiting = 0
        self._pool_by_name: dict[str, _Pool] = {}
        self._ticket_by_number: dict[int, Ticket] = {}

    @property
    def waiting(self) -> int:
        """Number of requests waiting in a queue or for an account's budget."""
        return self._waiting

    @property
    def in_flight(self) -> int:
        """Number of admitted requests that have not been released."""
        return len(self._ticket_by_number)

    async def admit(self, demand: Demand) -> Ticket:
        """Waits until the request is admitted.

        Raises:
            errors.RefusedError: it can't run within its account's limits, the
                queue's limits or its deadline.
        """
        self._waiting += 1
        try:
            return await self._charge_and_queue(demand)
        finally:
            self._waiting -= 1

    async def _charge_and_queue(self, demand: Demand) -> Ticket:
        arrived = self._clock.now()
        await self._charge_account(demand)
        try:
            return await self._wait_in_queue(demand, arrived)
        except (errors.RefusedError, asyncio.CancelledError):
            if self._shares is not None:
                self._shares.refund(
                    demand.account.id, _max_total_tokens(demand)
                )
            raise

    def release(self, ticket: Ticket, tokens: int) -> None:
        """Releases a ticket and admits waiting requests.

        Args:
            ticket: the ticket; releasing it again has no effect.
            tokens: number of tokens generated.
        """
        if self._ticket_by_number.pop(ticket.number, None) is None:
            return
        demand = ticket.demand
        if self._shares is not None:
            used = demand.prompt_tokens + tokens
            self._shares.settle(
                demand.account.id, _max_total_tokens(demand), float(used)
            )
        pool = self._pool_by_name[ticket.pool]
        now = self._clock.now()
        self._apply_actions(
            pool, pool.admission.release(now, ticket.number, tokens)
        )

    async def _charge_account(self, demand: Demand) -> None:
        if self._shares is None:
            return
        tokens = _max_total_tokens(demand)
        decision = self._shares.take(demand.account, tokens)
        if not decision.allowed and await self._shares.request_credit(
            demand.account, tokens
        ):
            decision = self._shares.take(demand.account, tokens)
        if not decision.allowed:
            raise self._refuse(
                errors.ErrorKind.LIMIT_EXCEEDED,
                f"{demand.account.id} has exceeded its limit",
                max(decision.seconds, MIN_RETRY_AFTER_SECONDS),
            )
        if not decision.seconds:
            return
        self._metrics.count("admission.paced")
        try:
            await self._clock.sleep(decision.seconds)
        except asyncio.CancelledError:
            self._shares.refund(demand.account.id, tokens)
            raise

    async def _wait_in_queue(self, demand: Demand, arrived: float) -> Ticket:
        now = self._clock.now()
        name = self._pool_name(demand)
        pool = self._find_pool(name)
        number = next(self._ticket_numbers)
        seconds_left = demand.deadline_seconds
        if seconds_left > 0:
            seconds_left = max(seconds_left - (now - arrived), 1e-9)
        arrival = admission.Arrival(
            number,
            demand.account.id,
            demand.account.priority,
            demand.account.weight,
            demand.prompt_tokens,
            demand.max_tokens,
            seconds_left,
        )
        future: asyncio.Future[admission.Admit] = (
            asyncio.get_running_loop().create_future()
        )
        pool.future_by_number[number] = future
        self._apply_actions(pool, pool.admission.arrive(now, arrival))
        if not future.done():
            self._metrics.count("admission.queued")
            self._set_timer(pool)
        admitted = await self._wait(pool, number, future)
        if not self._drain.may_begin(
            self._clock.now(), admitted.deadline_seconds
        ):
            self._withdraw(pool, number)
            raise self._refuse(
                errors.ErrorKind.DRAINING,
                "this router shuts down before the request would end",
                MIN_RETRY_AFTER_SECONDS,
            )
        ticket = Ticket(
            demand, self._clock.now(), number, name, admitted.deadline_seconds
        )
        self._ticket_by_number[number] = ticket
        self._metrics.count("admission.admitted")
        return ticket

    async def _wait(
        self,
        pool: _Pool,
        number: int,
        future: asyncio.Future[admission.Admit],
    ) -> admission.Admit:
        if future.done():
            return future.result()
        try:
            return await future
        except asyncio.CancelledError:
            self._metrics.count("admission.caller_left")
            self._withdraw(pool, number)
            raise

    def _withdraw(self, pool: _Pool, number: int) -> None:
        now = self._clock.now()
        if pool.future_by_number.pop(number, None) is not None:
            self._apply_actions(pool, pool.admission.leave(now, number))
        else:
            self._apply_actions(pool, pool.admission.release(now, number, 0))

    def _apply_actions(
        self, pool: _Pool, actions: list[admission.Action]
    ) -> None:
        for action in actions:
            future = pool.future_by_number.pop(action.number, None)
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

    def _set_timer(self, pool: _Pool) -> None:
        expiry = pool.admission.next_expiry()
        if pool.timer is not None:
            pool.timer.cancel()
            pool.timer = None
        if expiry is None:
            return
        seconds = max(0.0, expiry - self._clock.now())
        loop = asyncio.get_running_loop()
        pool.timer = loop.call_later(seconds, self._tick, pool)

    def _tick(self, pool: _Pool) -> None:
        self._apply_actions(pool, pool.admission.tick(self._clock.now()))
        self._metrics.gauge("admission.waiting", self.waiting)
        self._set_timer(pool)

    def _pool_name(self, demand: Demand) -> str:
        if demand.route is None:
            return PLAIN_POOL
        declared = self._board.read(blackboard_entries.CONFIGURATION).declared
        for route in declared.routes:
            if route.id == demand.route:
                return f"{route.model}/{route.version}"
        return demand.route

    def _find_pool(self, name: str) -> _Pool:
        pool = self._pool_by_name.get(name)
        if pool is None:
            pool = _Pool(self._bounds, self._make_in_flight_limit(name))
            self._pool_by_name[name] = pool
        return pool

    def _make_in_flight_limit(self, name: str) -> concurrency.BaseInFlightLimit:
        if name == PLAIN_POOL:
            return concurrency.FixedLimit(concurrency.MAX_LIMIT_TOKENS)
        tokens_per_second = sum(
            assignment.tokens_per_second
            for assignment in self._board.read(
                blackboard_entries.PLAN
            ).assignments
            if assignment.first_layer == 0
            and f"{assignment.model}/{assignment.version}" == name
        )
        if not tokens_per_second:
            return concurrency.AdaptiveLimit()
        routers = self._shares.count_routers() if self._shares else 1
        target = admission.DEFAULT_TARGET_LATENCY_SECONDS
        return concurrency.AdaptiveLimit(tokens_per_second * target / routers)


def _max_total_tokens(demand: Demand) -> float:
    return float(demand.prompt_tokens + demand.max_tokens)
