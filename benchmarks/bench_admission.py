"""Admission control under 1.5 times the load that the fleet can serve.

The admission code is the production code; the fleet is simulated.
"""

import collections
import dataclasses
import functools
import random

from benchmarks import figures
from nutmeglift import admission
from nutmeglift import concurrency
from nutmeglift import ids

STEP_SECONDS = 0.05
WARM_UP_SECONDS = 60.0
MEASURED_SECONDS = 120.0
CAPACITY_TOKENS_PER_SECOND = 4000.0
MAX_STREAM_TOKENS_PER_SECOND = 40.0
MAX_PROMPT_TOKENS_PER_SECOND = 400.0
CACHE_STREAM_COUNT = 500
DEADLINE_SECONDS = 20.0
OFFERED_LOAD_RATIO = 1.5
MAX_TOKENS = 512
MAX_WAITING_COUNT = 1024
MAX_IN_FLIGHT_COUNT = 4096
TOP_PRIORITY_ACCOUNT = ids.AccountId("top")
TOP_PRIORITY = 9
TOP_PRIORITY_LOAD_RATIO = 0.1

LOAD_RATIO_BY_ACCOUNT = {
    ids.AccountId("large-1"): 0.5,
    ids.AccountId("large-2"): 0.3,
    ids.AccountId("large-3"): 0.25,
    ids.AccountId("small-1"): 0.1,
    ids.AccountId("small-2"): 0.1,
    ids.AccountId("small-3"): 0.08,
    ids.AccountId("small-4"): 0.07,
    TOP_PRIORITY_ACCOUNT: TOP_PRIORITY_LOAD_RATIO,
}
"""Offered load per account as a ratio of the capacity; 1.5 in total."""


@dataclasses.dataclass(frozen=True)
class RequestLengths:
    """Request lengths, in tokens.

    Attributes:
        prompt: mean length of the prompts.
        generated: mean length of the generated text.
    """

    prompt: int
    generated: int


EVEN_LENGTHS = RequestLengths(150, 150)
LONG_PROMPT_LENGTHS = RequestLengths(400, 80)


@dataclasses.dataclass
class _SimulatedRequest:
    """A request that the simulated fleet runs."""

    arrival: admission.Arrival
    arrived_at: float
    generated: int
    prompt_tokens_left: float
    tokens_left: float

    @property
    def cost(self) -> int:
        """Prompt and generated tokens."""
        return self.arrival.prompt_tokens + self.generated


class _SimulatedFleet:
    """Engines with continuous batching.

    Streams share the capacity equally, each up to a maximum rate. With more
    streams than the cache holds, the throughput falls in proportion.
    """

    def __init__(self) -> None:
        self._running: dict[int, _SimulatedRequest] = {}

    def start(self, request: _SimulatedRequest) -> None:
        self._running[request.arrival.number] = request

    def run(self) -> list[_SimulatedRequest]:
        """Runs one step and returns the requests that finished in it."""
        count = len(self._running)
        if not count:
            return []
        capacity = CAPACITY_TOKENS_PER_SECOND * min(
            1.0, CACHE_STREAM_COUNT / count
        )
        share = capacity * STEP_SECONDS / count
        finished = []
        for number, request in list(self._running.items()):
            self._advance(request, share)
            if request.tokens_left <= 0:
                del self._running[number]
                finished.append(request)
        return finished

    def _advance(self, request: _SimulatedRequest, share: float) -> None:
        if request.prompt_tokens_left > 0:
            max_tokens = MAX_PROMPT_TOKENS_PER_SECOND * STEP_SECONDS
            request.prompt_tokens_left -= min(share, max_tokens)
            return
        request.tokens_left -= min(
            share, MAX_STREAM_TOKENS_PER_SECOND * STEP_SECONDS
        )


@dataclasses.dataclass
class Outcome:
    """Result of a simulation.

    Attributes:
        goodput_by_account: tokens per second of requests that finished within
            their deadline.
        offered_by_account: tokens per second of all arriving requests.
        limit_tokens: limit on the tokens in flight at the end of the run.
    """

    goodput_by_account: collections.defaultdict[ids.AccountId, float]
    offered_by_account: collections.defaultdict[ids.AccountId, float]
    limit_tokens: float

    def goodput(self) -> float:
        """Returns the total goodput as a ratio of the capacity."""
        return (
            sum(self.goodput_by_account.values()) / CAPACITY_TOKENS_PER_SECOND
        )

    def fair_share_error(self) -> float:
        """Returns the largest relative deviation from a fair share."""
        fair = _fair_shares(self.offered_by_account)
        return max(
            abs(self.goodput_by_account[account] - share) / share
            for account, share in fair.items()
        )

    def top_priority_loss(self) -> float:
        """Returns the share of top-priority load not served in time."""
        offered = self.offered_by_account[TOP_PRIORITY_ACCOUNT]
        return max(
            0.0, 1 - self.goodput_by_account[TOP_PRIORITY_ACCOUNT] / offered
        )


def _fair_shares(
    offered_by_account: dict[ids.AccountId, float],
) -> dict[ids.AccountId, float]:
    """Returns max-min fair shares after serving the top priority."""
    fair = {TOP_PRIORITY_ACCOUNT: offered_by_account[TOP_PRIORITY_ACCOUNT]}
    remaining = CAPACITY_TOKENS_PER_SECOND - fair[TOP_PRIORITY_ACCOUNT]
    others = sorted(
        (offered, account)
        for account, offered in offered_by_account.items()
        if account != TOP_PRIORITY_ACCOUNT
    )
    for index, (offered, account) in enumerate(others):
        fair[account] = min(offered, remaining / (len(others) - index))
        remaining -= fair[account]
    return fair


def _make_arrivals(
    rng: random.Random,
    now: float,
    last_number: list[int],
    lengths: RequestLengths,
) -> list[_SimulatedRequest]:
    arrivals = []
    for account, offered in LOAD_RATIO_BY_ACCOUNT.items():
        cost = lengths.prompt + lengths.generated
        mean = offered * CAPACITY_TOKENS_PER_SECOND / cost * STEP_SECONDS
        arrival_time = rng.expovariate(1.0)
        while arrival_time < mean:
            arrivals.append(
                _make_request(rng, now, account, last_number, lengths)
            )
            arrival_time += rng.expovariate(1.0)
    return arrivals


def _make_request(
    rng: random.Random,
    now: float,
    account: ids.AccountId,
    last_number: list[int],
    lengths: RequestLengths,
) -> _SimulatedRequest:
    last_number[0] += 1
    prompt = rng.randint(1, 2 * lengths.prompt)
    length = 1 + int(rng.expovariate(1 / lengths.generated))
    generated = min(MAX_TOKENS, length)
    arrival = admission.Arrival(
        last_number[0],
        account,
        TOP_PRIORITY if account == TOP_PRIORITY_ACCOUNT else 0,
        1.0,
        prompt,
        MAX_TOKENS,
        DEADLINE_SECONDS,
    )
    return _SimulatedRequest(
        arrival, now, generated, float(prompt), float(generated)
    )


class _Fifo:
    """Baseline without admission control: FIFO with a limit on streams."""

    limit_tokens = 0.0

    def __init__(self, in_flight: int) -> None:
        self._in_flight = in_flight
        self._running = 0
        self._waiting: collections.deque[int] = collections.deque()

    def arrive(
        self, now: float, arrival: admission.Arrival
    ) -> list[admission.Action]:
        self._waiting.append(arrival.number)
        return self._fill()

    def release(
        self, now: float, number: int, generated: int
    ) -> list[admission.Action]:
        self._running -= 1
        return self._fill()

    def tick(self, now: float) -> list[admission.Action]:
        return []

    def _fill(self) -> list[admission.Action]:
        actions: list[admission.Action] = []
        while self._waiting and self._running < self._in_flight:
            self._running += 1
            actions.append(admission.Admit(self._waiting.popleft()))
        return actions


_Admission = admission.RequestAdmission | _Fifo


def _simulate(
    controller: _Admission, lengths: RequestLengths = EVEN_LENGTHS
) -> Outcome:
    rng = random.Random(11)
    fleet = _SimulatedFleet()
    goodput: collections.defaultdict[ids.AccountId, float]
    goodput = collections.defaultdict(float)
    offered: collections.defaultdict[ids.AccountId, float]
    offered = collections.defaultdict(float)
    request_by_number: dict[int, _SimulatedRequest] = {}
    last_number = [0]

    def apply_actions(actions: list[admission.Action]) -> None:
        for action in actions:
            request = request_by_number.pop(action.number)
            if isinstance(action, admission.Admit):
                fleet.start(request)

    steps = round((WARM_UP_SECONDS + MEASURED_SECONDS) / STEP_SECONDS)
    for step in range(steps):
        now = step * STEP_SECONDS
        for request in _make_arrivals(rng, now, last_number, lengths):
            request_by_number[request.arrival.number] = request
            if now >= WARM_UP_SECONDS:
                offered[request.arrival.account] += (
                    request.cost / MEASURED_SECONDS
                )
            apply_actions(controller.arrive(now, request.arrival))
        for request in fleet.run():
            number = request.arrival.number
            in_time = now - request.arrived_at <= DEADLINE_SECONDS
            if in_time and now >= WARM_UP_SECONDS:
                goodput[request.arrival.account] += (
                    request.cost / MEASURED_SECONDS
                )
            apply_actions(controller.release(now, number, request.generated))
        apply_actions(controller.tick(now))
    return Outcome(goodput, offered, controller.limit_tokens)


class GradientLimit(concurrency.BaseInFlightLimit):
    """Alternative limit that compares service times with the best seen."""

    def __init__(self) -> None:
        self.tokens = concurrency.INITIAL_LIMIT_TOKENS
        self._best = float("inf")
        self._smoothed = 0.0

    def record_done(
        self,
        cost: float,
        generated: float,
        seconds: float,
        target_seconds: float,
        in_flight: float,
    ) -> None:
        """Updates the limit after a request finished."""
        sample = seconds / cost
        self._best = min(self._best * 1.0005, sample)
        self._smoothed += 0.05 * (sample - self._smoothed)
        gradient = max(0.5, min(1.0, 2.0 * self._best / self._smoothed))
        wanted = self.tokens * gradient + self.tokens**0.5
        self.tokens += 0.05 * (wanted - self.tokens) * cost / self.tokens * 20
        self.tokens = max(concurrency.MIN_LIMIT_TOKENS, self.tokens)


def _make_admission(
    limit: concurrency.BaseInFlightLimit,
) -> admission.RequestAdmission:
    return admission.RequestAdmission(
        max_waiting=MAX_WAITING_COUNT,
        max_in_flight=MAX_IN_FLIGHT_COUNT,
        token_limit=limit,
    )


@functools.cache
def run_admission(lengths: RequestLengths = EVEN_LENGTHS) -> Outcome:
    """Simulates admission control with its adaptive limit."""
    return _simulate(_make_admission(concurrency.AdaptiveLimit()), lengths)


@functools.cache
def run_gradient() -> Outcome:
    """Simulates admission control with a gradient limit."""
    return _simulate(_make_admission(GradientLimit()))


@functools.cache
def run_fifo() -> Outcome:
    """Simulates FIFO order with as many streams as the cache holds."""
    return _simulate(_Fifo(CACHE_STREAM_COUNT))


def _measure(method: str) -> figures.Measurement:
    return figures.Measurement(
        round(getattr(run_admission(), method)(), 4),
        round(getattr(run_fifo(), method)(), 4),
    )


def _measure_long_prompts() -> figures.Measurement:
    fifo = _simulate(_Fifo(CACHE_STREAM_COUNT), LONG_PROMPT_LENGTHS)
    return figures.Measurement(
        round(run_admission(LONG_PROMPT_LENGTHS).goodput(), 4),
        round(fifo.goodput(), 4),
    )


def _measure_gradient() -> figures.Measurement:
    return figures.Measurement(
        round(run_gradient().goodput(), 4), round(run_fifo().goodput(), 4)
    )


FIGURES = [
    figures.Figure(
        "overload_goodput_to_bound",
        "ratio",
        ">= 0.9",
        functools.partial(_measure, "goodput"),
    ),
    figures.Figure(
        "overload_fair_share_error",
        "ratio",
        "<= 0.1",
        functools.partial(_measure, "fair_share_error"),
    ),
    figures.Figure(
        "overload_top_priority_loss",
        "ratio",
        "<= 0.05",
        functools.partial(_measure, "top_priority_loss"),
    ),
    figures.Figure(
        "overload_goodput_gradient_limit", "ratio", "", _measure_gradient
    ),
    figures.Figure(
        "overload_goodput_long_prompts",
        "ratio",
        ">= 0.9",
        _measure_long_prompts,
    ),
]
