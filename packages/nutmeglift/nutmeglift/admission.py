"""Decides which request runs now, which waits, and which is refused."""

import collections
import dataclasses
import heapq

from nutmeglift import concurrency
from nutmeglift import errors
from nutmeglift import fair_queue
from nutmeglift import ids

DEFAULT_TARGET_LATENCY_SECONDS = 30.0
TARGET_DEADLINE_RATIO = 0.5
"""Share of a deadline that a request should spend in flight."""
MAX_RESERVED_DEADLINE_RATIO = 0.92
"""Part of a deadline that is kept for the time in flight at most."""
MAX_ESTIMATED_ACCOUNT_COUNT = 4096
ESTIMATE_SMOOTHING_RATIO = 0.1
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that asks to run.

    Attributes:
        number: identifies it.
        account: the caller's account.
        priority: higher goes first.
        weight: share among accounts of the same priority.
        prompt_tokens: tokens to read.
        max_tokens: tokens to generate at most.
        deadline_seconds: time left to the caller's deadline; 0 for none.
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
    """Let a request run.

    Attributes:
        number: the request.
        deadline_seconds: time left to its deadline; 0 for none.
    """

    number: int
    deadline_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Give a request its final answer: it did not run.

    Attributes:
        number: the request.
        kind: why.
        detail: the same in words.
        retry_after: seconds after which to try again.
    """

    number: int
    kind: errors.ErrorKind
    detail: str
    retry_after: float


Action = Admit | Refuse


class OutputEstimator:
    """Expects what accounts generate, from what they generated before.

    Of an account without an answer yet it expects what all others generate.
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
        """Notes how many of the allowed tokens were generated."""
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
    """A request that waits or runs."""

    arrival: Arrival
    waiting: fair_queue.QueuedRequest
    deadline: float | None
    admitted_at: float = 0.0


class RequestAdmission:
    """Admission to one part of the fleet.

    Every arrival gets exactly one final action, Admit or Refuse, unless its
    caller leaves first; every admitted request is released once.

    Attributes:
        in_flight: requests that run.
        in_flight_tokens: their estimated work.
    """

    def __init__(
        self,
        *,
        max_waiting: int,
        max_in_flight: int,
        token_limit: concurrency.BaseInFlightLimit,
    ) -> None:
        """Makes an admission with nothing waiting.

        Args:
            max_waiting: most requests that wait.
            max_in_flight: most requests that run.
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
        """Number of requests that wait."""
        return len(self._queue)

    @property
    def limit_tokens(self) -> float:
        """Most work in flight now."""
        return self._token_limit.tokens

    def arrive(self, now: float, arrival: Arrival) -> list[Action]:
        """Takes a request; other requests may be answered because of it."""
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
        """Takes out a waiting request whose caller has gone."""
        self._advance(now)
        if self._queue.remove(number) is not None:
            del self._request_by_number[number]
        return []

    def release(self, now: float, number: int, generated: int) -> list[Action]:
        """Takes back an admitted request's place.

        Args:
            now: seconds.
            number: the request; one that does not run changes nothing.
            generated: tokens that were generated.
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
        """Refuses what can't meet its deadline any more."""
        self._advance(now)
        actions: list[Action] = []
        while self._expiries and self._expiries[0][0] <= now:
            _, number = heapq.heappop(self._expiries)
            if number in self._queue:
                self._queue.remove(number)
                actions.append(self._refuse_late(now, number))
        return actions + self._fill(now)

    def next_expiry(self) -> float | None:
        """Returns when tick has to be called next, or None."""
        while self._expiries and self._expiries[0][1] not in self._queue:
            heapq.heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None

    def estimate_wait(
        self, account: ids.AccountId, priority: int, weight: float
    ) -> float:
        """Returns how long a new request would wait, in seconds."""
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
            f"it would take {needed:.1f} s",
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
            f"it waited for {waited:.1f} s and can't end in time",
            _clamp_retry_after(wait),
        )

    def _refuse_overloaded(self, number: int) -> Refuse:
        rate = self._drain_rate.tokens_per_second()
        seconds = self._queue.total_cost() / rate if rate else 0.0
        return Refuse(
            number,
            errors.ErrorKind.OVERLOADED,
            f"{len(self._queue)} requests wait",
            _clamp_retry_after(seconds),
        )

    def _is_late(self, now: float, request: _Request) -> bool:
        if request.deadline is None:
            return False
        return now + self._reserve(request) > request.deadline

    def _reserve(self, request: _Request) -> float:
        """Returns the seconds to keep for a request's time in flight."""
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
