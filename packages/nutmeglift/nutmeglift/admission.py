"""Admission control: admits, queues or refuses requests."""

import collections
import dataclasses
import heapq

from nutmeglift import concurrency
from nutmeglift import errors
from nutmeglift import fair_queue
from nutmeglift import ids

DEFAULT_TARGET_LATENCY_SECONDS = 30.0
TARGET_DEADLINE_RATIO = 0.5
"""Target latency of a request, as a fraction of its deadline."""
MAX_RESERVED_DEADLINE_RATIO = 0.92
"""Upper bound of the service time reserved, as a fraction of a deadline."""
MAX_ESTIMATED_ACCOUNT_COUNT = 4096
ESTIMATE_SMOOTHING_RATIO = 0.1
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that arrives for admission.

    Attributes:
        number: identifies the request.
        account: the client account of the caller.
        priority: higher values are served first.
        weight: relative share among accounts of the same priority.
        prompt_tokens: number of prompt tokens.
        max_tokens: maximum number of tokens to generate.
        deadline_seconds: time left until the caller's deadline; 0 for none.
    """

    number: int
    account: ids.AccountId
    priority: int = 0
    weight: float = 1.0
    prompt_tokens: int = 0
    max_tokens: int = 0
    deadline_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """Admits a request.

    Attributes:
        number: the request.
        deadline_seconds: time left until its deadline; 0 for none.
    """

    number: int
    deadline_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuses a request, which did not run.

    Attributes:
        number: the request.
        kind: kind of the error returned to the caller.
        detail: description of the reason.
        retry_after: seconds after which the caller may retry.
    """

    number: int
    kind: errors.ErrorKind
    detail: str
    retry_after: float


Action = Admit | Refuse


class OutputEstimator:
    """Estimates the output length of requests from earlier requests.

    An account without a completed request gets the average of all accounts.
    """

    def __init__(self) -> None:
        self._overall_ratio = 1.0
        self._ratio_by_account: collections.OrderedDict[
            ids.AccountId, float
        ] = collections.OrderedDict()

    def estimate(self, account: ids.AccountId, max_tokens: int) -> float:
        """Returns the expected number of generated tokens."""
        share = self._ratio_by_account.get(account, self._overall_ratio)
        return max_tokens * share

    def record(
        self, account: ids.AccountId, max_tokens: int, generated: int
    ) -> None:
        """Records how many of the allowed tokens a request generated."""
        if not max_tokens:
            return
        old = self._ratio_by_account.pop(account, self._overall_ratio)
        sample = min(1.0, generated / max_tokens)
        self._overall_ratio += ESTIMATE_SMOOTHING_RATIO * (
            sample - self._overall_ratio
        )
        new = old + ESTIMATE_SMOOTHING_RATIO * (sample - old)
        self._ratio_by_account[account] = new
        if len(self._ratio_by_account) > MAX_ESTIMATED_ACCOUNT_COUNT:
            self._ratio_by_account.popitem(last=False)


@dataclasses.dataclass(slots=True)
class _Request:
    """A queued or admitted request."""

    arrival: Arrival
    waiting: fair_queue.QueuedRequest
    deadline: float | None
    admitted_at: float = 0.0


class RequestAdmission:
    """Admission control for one part of the fleet.

    Every arrival gets exactly one final action, Admit or Refuse, unless its
    caller disconnects first. Every admitted request is released once.

    Attributes:
        in_flight: number of admitted requests not released yet.
        in_flight_tokens: their estimated work, in tokens.
    """

    def __init__(
        self,
        *,
        max_waiting: int,
        max_in_flight: int,
        token_limit: concurrency.BaseInFlightLimit,
    ) -> None:
        """Initializes the admission control with an empty queue.

        Args:
            max_waiting: maximum number of queued requests.
            max_in_flight: maximum number of requests in flight.
            token_limit: limit of the work in flight, in tokens.
        """
        self.in_flight = 0
        self.in_flight_tokens = 0.0
        self._max_in_flight = max_in_flight
        self._token_limit = token_limit
        self._queue = fair_queue.FairQueue(max_waiting)
        self._request_by_number: dict[int, _Request] = {}
        self._expiries: list[tuple[float, int]] = []
        self._drain_rate = concurrency.DrainRate()
        self._service_time = concurrency.ServiceTimeEstimator()
        self._estimate = OutputEstimator()

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def limit_tokens(self) -> float:
        """Current limit of the work in flight, in tokens."""
        return self._token_limit.tokens

    def arrive(self, now: float, arrival: Arrival) -> list[Action]:
        """Admits, queues or refuses a request; may evict a queued one."""
        self._advance(now)
        request = self._make_request(now, arrival)
        late = self._check_deadline_on_arrival(now, request)
        if late is not None:
            return [late]
        if not self._queue and self._has_room():
            self._request_by_number[arrival.number] = request
            return [self._admit(now, request)]
        return self._enqueue(request)

    def leave(self, now: float, number: int) -> list[Action]:
        """Removes a queued request whose caller has disconnected."""
        self._advance(now)
        if self._queue.remove(number) is not None:
            del self._request_by_number[number]
        return []

    def release(self, now: float, number: int, generated: int) -> list[Action]:
        """Releases an admitted request and admits queued ones in its place.

        Args:
            now: clock time, in seconds.
            number: the request; ignored if it is not in flight.
            generated: number of tokens that it generated.
        """
        self._advance(now)
        if number in self._queue:
            return []
        request = self._request_by_number.pop(number, None)
        if request is None:
            return []
        self._record_done(now, request, generated)
        return self._fill(now)

    def tick(self, now: float) -> list[Action]:
        """Refuses queued requests that can no longer meet their deadline."""
        self._advance(now)
        actions: list[Action] = []
        while self._expiries and self._expiries[0][0] <= now:
            _, number = heapq.heappop(self._expiries)
            if number in self._queue:
                self._queue.remove(number)
                actions.append(self._refuse_late(now, number))
        return actions + self._fill(now)

    def next_expiry(self) -> float | None:
        """Returns the clock time of the next call to tick, or None."""
        while self._expiries and self._expiries[0][1] not in self._queue:
            heapq.heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None

    def estimate_wait(
        self, account: ids.AccountId, priority: int, weight: float
    ) -> float:
        """Returns the estimated queueing time of a new request, in seconds."""
        if not self._queue and self._has_room():
            return 0.0
        rate = self._drain_rate.tokens_per_second()
        if rate is None:
            return 0.0
        return self._queue.cost_ahead(account, priority, weight) / rate

    def _make_request(self, now: float, arrival: Arrival) -> _Request:
        generated = self._estimate.estimate(arrival.account, arrival.max_tokens)
        waiting = fair_queue.QueuedRequest(
            arrival.number,
            arrival.account,
            arrival.priority,
            arrival.weight,
            max(1.0, arrival.prompt_tokens + generated),
            now,
        )
        deadline = None
        if arrival.deadline_seconds > 0:
            deadline = now + arrival.deadline_seconds
        return _Request(arrival, waiting, deadline)

    def _enqueue(self, request: _Request) -> list[Action]:
        number = request.arrival.number
        victim = self._queue.push(request.waiting)
        if victim is request.waiting:
            return [self._refuse_overloaded(number)]
        self._request_by_number[number] = request
        if request.deadline is not None:
            latest = request.deadline - self._reserve(request)
            heapq.heappush(self._expiries, (latest, number))
        if victim is None:
            return []
        del self._request_by_number[victim.number]
        return [self._refuse_overloaded(victim.number)]

    def _fill(self, now: float) -> list[Action]:
        actions: list[Action] = []
        while self._has_room():
            waiting = self._queue.pop()
            if waiting is None:
                break
            request = self._request_by_number[waiting.number]
            if self._is_late(now, request):
                self._queue.adjust_cost(waiting, 0.0)
                actions.append(self._refuse_late(now, waiting.number))
                continue
            actions.append(self._admit(now, request))
        return actions

    def _admit(self, now: float, request: _Request) -> Admit:
        request.admitted_at = now
        self.in_flight += 1
        self.in_flight_tokens += request.waiting.cost
        left = 0.0 if request.deadline is None else request.deadline - now
        return Admit(request.arrival.number, left)

    def _record_done(
        self, now: float, request: _Request, generated: int
    ) -> None:
        arrival = request.arrival
        cost = max(1.0, float(arrival.prompt_tokens + generated))
        seconds = now - request.admitted_at
        self._queue.adjust_cost(request.waiting, cost)
        self._estimate.record(arrival.account, arrival.max_tokens, generated)
        if generated or not arrival.max_tokens:
            self._service_time.record(seconds)
            self._token_limit.record_done(
                cost,
                float(generated),
                seconds,
                _target_latency_seconds(arrival),
                self.in_flight_tokens,
            )
        if self._queue:
            self._drain_rate.record_done(cost)
        self.in_flight -= 1
        self.in_flight_tokens -= request.waiting.cost
        if not self.in_flight:
            self.in_flight_tokens = 0.0

    def _has_room(self) -> bool:
        if not self.in_flight:
            return True
        if self.in_flight >= self._max_in_flight:
            return False
        return self.in_flight_tokens < self._token_limit.tokens

    def _check_deadline_on_arrival(
        self, now: float, request: _Request
    ) -> Refuse | None:
        if request.deadline is None or not self.in_flight:
            return None
        arrival = request.arrival
        wait = self.estimate_wait(
            arrival.account, arrival.priority, arrival.weight
        )
        needed = wait + self._reserve(request)
        if needed <= arrival.deadline_seconds:
            return None
        return Refuse(
            arrival.number,
            errors.ErrorKind.DEADLINE,
            f"estimated completion time is {needed:.1f} s",
            _clamp_retry_after(needed - arrival.deadline_seconds),
        )

    def _refuse_late(self, now: float, number: int) -> Refuse:
        request = self._request_by_number.pop(number)
        arrival = request.arrival
        waited = now - request.waiting.arrived_at
        wait = self.estimate_wait(
            arrival.account, arrival.priority, arrival.weight
        )
        return Refuse(
            number,
            errors.ErrorKind.DEADLINE,
            f"deadline not reachable after {waited:.1f} s in the queue",
            _clamp_retry_after(wait),
        )

    def _refuse_overloaded(self, number: int) -> Refuse:
        rate = self._drain_rate.tokens_per_second()
        seconds = self._queue.total_cost() / rate if rate else 0.0
        return Refuse(
            number,
            errors.ErrorKind.OVERLOADED,
            f"{len(self._queue)} requests are queued",
            _clamp_retry_after(seconds),
        )

    def _is_late(self, now: float, request: _Request) -> bool:
        if request.deadline is None:
            return False
        return now + self._reserve(request) > request.deadline

    def _reserve(self, request: _Request) -> float:
        """Returns the time to reserve before the deadline, in seconds."""
        longest = request.arrival.deadline_seconds * MAX_RESERVED_DEADLINE_RATIO
        return min(self._service_time.estimate(), longest)

    def _advance(self, now: float) -> None:
        self._drain_rate.advance(now, bool(self._queue))


def _target_latency_seconds(arrival: Arrival) -> float:
    if arrival.deadline_seconds <= 0:
        return DEFAULT_TARGET_LATENCY_SECONDS
    return arrival.deadline_seconds * TARGET_DEADLINE_RATIO


def _clamp_retry_after(seconds: float) -> float:
    return max(MIN_RETRY_AFTER_SECONDS, min(seconds, MAX_RETRY_AFTER_SECONDS))
