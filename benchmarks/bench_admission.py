"""One and a half times too much work, through the admission's own code."""

import collections
import dataclasses
import functools
import random

from benchmarks import figures
from nutmeglift import admission
from nutmeglift import concurrency
from nutmeglift import ids

STEP_SECONDS = 0.05
WARM_SECONDS = 60.0
MEASURED_SECONDS = 120.0
CAPACITY = 4000.0
STREAM_TOKENS_PER_SECOND = 40.0
PROMPT_TOKENS_PER_SECOND = 400.0
CACHE_STREAMS = 500
DEADLINE_SECONDS = 20.0
OVERLOAD = 1.5
MAX_TOKENS = 512
QUEUE = 1024
IN_FLIGHT = 4096
TOP = ids.AccountId("top")
TOP_PRIORITY = 9
TOP_SHARE = 0.1

OFFERED_BY_ACCOUNT = {
    ids.AccountId("large-1"): 0.5,
    ids.AccountId("large-2"): 0.3,
    ids.AccountId("large-3"): 0.25,
    ids.AccountId("small-1"): 0.1,
    ids.AccountId("small-2"): 0.1,
    ids.AccountId("small-3"): 0.08,
    ids.AccountId("small-4"): 0.07,
    TOP: TOP_SHARE,
}
"""What accounts ask for, as a part of the capacity; 1.5 in all."""


@dataclasses.dataclass(frozen=True)
class Lengths:
    """How long requests are, in tokens.

    Attributes:
        prompt: mean length of the prompts.
        generated: mean length of the answers.
    """

    prompt: int
    generated: int


EVEN = Lengths(150, 150)
LONG_PROMPTS = Lengths(400, 80)


@dataclasses.dataclass
class _Work:
    """A request in the fleet."""

    arrival: admission.Arrival
    arrived: float
    generated: int
    prompt_left: float
    left: float

    @property
    def cost(self) -> int:
        """All of its tokens."""
        return self.arrival.prompt_tokens + self.generated


class _Fleet:
    """Engines that batch: each stream has a top speed, all share the rest.

    More streams than the cache holds cost throughput.
    """

    def __init__(self) -> None:
        self._running: dict[int, _Work] = {}

    def start(self, work: _Work) -> None:
        self._running[work.arrival.number] = work

    def run(self) -> list[_Work]:
        """Runs a step; returns what ended."""
        count = len(self._running)
        if not count:
            return []
        capacity = CAPACITY * min(1.0, CACHE_STREAMS / count)
        share = capacity * STEP_SECONDS / count
        ended = []
        for number, work in list(self._running.items()):
            self._advance(work, share)
            if work.left <= 0:
                del self._running[number]
                ended.append(work)
        return ended

    def _advance(self, work: _Work, share: float) -> None:
        if work.prompt_left > 0:
            top = PROMPT_TOKENS_PER_SECOND * STEP_SECONDS
            work.prompt_left -= min(share, top)
            return
        work.left -= min(share, STREAM_TOKENS_PER_SECOND * STEP_SECONDS)


@dataclasses.dataclass
class Outcome:
    """What a run gave.

    Attributes:
        good_by_account: tokens a second of answers within their deadline.
        offered_by_account: tokens a second asked for.
        limit_tokens: work limit at the end.
    """

    good_by_account: collections.defaultdict[ids.AccountId, float]
    offered_by_account: collections.defaultdict[ids.AccountId, float]
    limit_tokens: float

    def goodput(self) -> float:
        """Returns all good work over the capacity."""
        return sum(self.good_by_account.values()) / CAPACITY

    def fair_share_error(self) -> float:
        """Returns the worst distance of an account from its fair share."""
        fair = _fair_shares(self.offered_by_account)
        return max(
            abs(self.good_by_account[account] - share) / share
            for account, share in fair.items()
        )

    def top_priority_loss(self) -> float:
        """Returns what the top priority lacks of what it asked for."""
        offered = self.offered_by_account[TOP]
        return max(0.0, 1 - self.good_by_account[TOP] / offered)


def _fair_shares(
    offered_by_account: dict[ids.AccountId, float],
) -> dict[ids.AccountId, float]:
    """Returns max-min fair shares, the top priority served first."""
    fair = {TOP: offered_by_account[TOP]}
    left = CAPACITY - fair[TOP]
    others = sorted(
        (offered, account)
        for account, offered in offered_by_account.items()
        if account != TOP
    )
    for index, (offered, account) in enumerate(others):
        fair[account] = min(offered, left / (len(others) - index))
        left -= fair[account]
    return fair


def _arrivals(
    rng: random.Random, now: float, numbers: list[int], lengths: Lengths
) -> list[_Work]:
    arriving = []
    for account, offered in OFFERED_BY_ACCOUNT.items():
        cost = lengths.prompt + lengths.generated
        mean = offered * CAPACITY / cost * STEP_SECONDS
        left = rng.expovariate(1.0)
        while left < mean:
            arriving.append(_make_work(rng, now, account, numbers, lengths))
            left += rng.expovariate(1.0)
    return arriving


def _make_work(
    rng: random.Random,
    now: float,
    account: ids.AccountId,
    numbers: list[int],
    lengths: Lengths,
) -> _Work:
    numbers[0] += 1
    prompt = rng.randint(1, 2 * lengths.prompt)
    length = 1 + int(rng.expovariate(1 / lengths.generated))
    generated = min(MAX_TOKENS, length)
    arrival = admission.Arrival(
        numbers[0],
        account,
        TOP_PRIORITY if account == TOP else 0,
        1.0,
        prompt,
        MAX_TOKENS,
        DEADLINE_SECONDS,
    )
    return _Work(arrival, now, generated, float(prompt), float(generated))


class _Fifo:
    """No admission: requests queue in order, so many run at a time."""

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


def _simulate(deciding: _Admission, lengths: Lengths = EVEN) -> Outcome:
    rng = random.Random(11)
    fleet = _Fleet()
    good: collections.defaultdict[ids.AccountId, float]
    good = collections.defaultdict(float)
    offered: collections.defaultdict[ids.AccountId, float]
    offered = collections.defaultdict(float)
    work_by_number: dict[int, _Work] = {}
    numbers = [0]

    def carry_out(actions: list[admission.Action]) -> None:
        for action in actions:
            work = work_by_number.pop(action.number)
            if isinstance(action, admission.Admit):
                fleet.start(work)

    steps = round((WARM_SECONDS + MEASURED_SECONDS) / STEP_SECONDS)
    for step in range(steps):
        now = step * STEP_SECONDS
        for work in _arrivals(rng, now, numbers, lengths):
            work_by_number[work.arrival.number] = work
            if now >= WARM_SECONDS:
                offered[work.arrival.account] += work.cost / MEASURED_SECONDS
            carry_out(deciding.arrive(now, work.arrival))
        for work in fleet.run():
            number = work.arrival.number
            in_time = now - work.arrived <= DEADLINE_SECONDS
            if in_time and now >= WARM_SECONDS:
                good[work.arrival.account] += work.cost / MEASURED_SECONDS
            carry_out(deciding.release(now, number, work.generated))
        carry_out(deciding.tick(now))
    return Outcome(good, offered, deciding.limit_tokens)


class GradientLimit(concurrency.BaseInFlightLimit):
    """The other way: compares service times with the best ones seen."""

    def __init__(self) -> None:
        self.tokens = concurrency.INITIAL_LIMIT_TOKENS
        self._best = float("inf")
        self._recent = 0.0

    def record_done(
        self,
        cost: float,
        generated: float,
        seconds: float,
        target_seconds: float,
        in_flight: float,
    ) -> None:
        """Notes that a request ended."""
        sample = seconds / cost
        self._best = min(self._best * 1.0005, sample)
        self._recent += 0.05 * (sample - self._recent)
        gradient = max(0.5, min(1.0, 2.0 * self._best / self._recent))
        wanted = self.tokens * gradient + self.tokens**0.5
        self.tokens += 0.05 * (wanted - self.tokens) * cost / self.tokens * 20
        self.tokens = max(concurrency.MIN_LIMIT_TOKENS, self.tokens)


def _make(limit: concurrency.BaseInFlightLimit) -> admission.RequestAdmission:
    return admission.RequestAdmission(
        max_waiting=QUEUE, max_in_flight=IN_FLIGHT, token_limit=limit
    )


@functools.cache
def run_admission(lengths: Lengths = EVEN) -> Outcome:
    """Runs the admission with its own limit."""
    return _simulate(_make(concurrency.AdaptiveLimit()), lengths)


@functools.cache
def run_gradient() -> Outcome:
    """Runs the admission with a gradient limit."""
    return _simulate(_make(GradientLimit()))


@functools.cache
def run_fifo() -> Outcome:
    """Runs without admission, with as many streams as the cache holds."""
    return _simulate(_Fifo(CACHE_STREAMS))


def _measure(value: str) -> figures.Measurement:
    return figures.Measurement(
        round(getattr(run_admission(), value)(), 4),
        round(getattr(run_fifo(), value)(), 4),
    )


def _measure_long_prompts() -> figures.Measurement:
    fifo = _simulate(_Fifo(CACHE_STREAMS), LONG_PROMPTS)
    return figures.Measurement(
        round(run_admission(LONG_PROMPTS).goodput(), 4),
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
