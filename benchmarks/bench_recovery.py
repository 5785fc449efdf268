"""Recovery of answers in flight, in virtual time."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
from unittest import mock

from benchmarks import figures
from nutmeglift import ids
from nutmeglift import recovery
from nutmeglift import settings
from nutmeglift_router import chat
from tests import utils
from tests import virtual_time

STAGES = 3
RUNNERS = 2 * STAGES
TOKEN_GAP_SECONDS = 0.052
FIRST_TOKEN_SECONDS = 0.47
PROMPT_TOKENS = 512
LONG_PROMPT_TOKENS = 3000
ANSWER_TOKENS = 240
DONE_SHARE = 2 / 3
DOMAIN_DELAY_SECONDS = 0.0005
POLL_SECONDS = 0.001


@dataclasses.dataclass(frozen=True)
class Case:
    """One request that loses a stage.

    Attributes:
        prompt_tokens: length of the prompt.
        answer_tokens: length of the answer.
        stage: index of the stage that dies.
        silent: whether its connections fall silent instead of breaking.
        replays: whether agents keep hidden states, so that only the stage
            that died runs positions again.
    """

    prompt_tokens: int = PROMPT_TOKENS
    answer_tokens: int = ANSWER_TOKENS
    stage: int = 1
    silent: bool = False
    replays: bool = True


@dataclasses.dataclass(frozen=True)
class Times:
    """Seconds measured in one case.

    Attributes:
        to_next_token: from the death to the next token at the caller.
        past_detection: from its detection by the router to that token.
        restart: from a request's start to the same token.
        layer_positions: layers run again, times positions.
    """

    to_next_token: float
    past_detection: float
    restart: float
    layer_positions: int


class Bench:
    """A deployment whose runners keep the target's pace."""

    def __init__(self, *, replays: bool = True) -> None:
        positions = PROMPT_TOKENS * utils.LAYERS
        rate = positions / (FIRST_TOKEN_SECONDS - TOKEN_GAP_SECONDS)
        layer_seconds = utils.LAYERS / rate
        self._rate = rate
        self._overhead = (TOKEN_GAP_SECONDS - layer_seconds) / STAGES
        self._overhead -= DOMAIN_DELAY_SECONDS
        self.cluster = utils.Cluster(bounds=_bounds(replays))

    async def start(self) -> None:
        """Starts the deployment; every connection has its delay."""
        cluster = self.cluster
        await cluster.start(runners=RUNNERS, services=0, rate=self._rate)
        for engine in cluster.engines:
            engine.step_overhead = self._overhead
        addresses = [a.address for a in cluster.agent_by_vm.values()]
        addresses += [r.address for r in cluster.router_by_vm.values()]
        for index, one in enumerate(addresses):
            for other in addresses[index + 1 :]:
                cluster.network.degrade(one, other, DOMAIN_DELAY_SECONDS)

    async def measure(self, case: Case) -> Times:
        """Kills a stage when two thirds of an answer are done."""
        done = round(case.answer_tokens * DONE_SHARE)
        prompt = utils.PROMPT * (case.prompt_tokens // len(utils.PROMPT) + 1)
        prompt = prompt[: case.prompt_tokens]
        began = _now()
        stream = self.cluster.start_chat(case.answer_tokens, prompt=prompt)
        reading = asyncio.ensure_future(self.cluster.read(stream))
        await _wait_for_tokens(stream, done + 1)
        restart = _now() - began
        attempt = stream.gate.attempt
        ran = self._count_runs()
        died = _now()
        await self._strike(stream, case)
        await _wait_until(lambda: stream.gate.attempt > attempt)
        detected = _now()
        await _wait_for_tokens(stream, len(stream.gate.tokens) + 1)
        again = self._count_runs() - ran
        times = Times(_now() - died, _now() - detected, restart, again)
        text = await reading
        if text != utils.reference_text(prompt, case.answer_tokens):
            raise AssertionError("the answer is not the reference's")
        return times

    def _count_runs(self) -> int:
        return sum(len(engine.runs) for engine in self.cluster.engines)

    async def _strike(self, stream: chat.Stream, case: Case) -> None:
        assert stream.pipeline is not None
        vm = stream.pipeline.stages[case.stage].vm
        if case.silent:
            self.cluster.agent_by_vm[vm].clock.pause()
            return
        await self.cluster.kill(vm)


@dataclasses.dataclass(frozen=True)
class _Above:
    total_by_name: collections.Counter[str]
    lost: int

    def __call__(self) -> bool:
        return self.total_by_name["agent_link.lost"] > self.lost


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _wait_for_tokens(stream: chat.Stream, count: int) -> None:
    await _wait_until(lambda: len(stream.gate.tokens) >= count)


async def _wait_until(come_true: Callable[[], bool]) -> None:
    while not come_true():  # noqa: ASYNC110
        await asyncio.sleep(POLL_SECONDS)


def measure(case: Case) -> Times:
    """Measures one case in virtual time."""

    async def work() -> Times:
        bench = Bench(replays=case.replays)
        await bench.start()
        times = await bench.measure(case)
        await bench.cluster.stop()
        return times

    return virtual_time.run(work())


def _bounds(replays: bool) -> settings.Bounds:
    return settings.Bounds() if replays else settings.Bounds(replay_bytes=0)


def measure_worst(
    prompt_tokens: int, *, silent: bool = False, replays: bool = True
) -> Times:
    """Measures the death of each stage; returns the slowest recovery."""
    cases = [
        Case(prompt_tokens, stage=stage, silent=silent, replays=replays)
        for stage in range(STAGES)
    ]
    return max(map(measure, cases), key=lambda times: times.to_next_token)


def _ratio() -> figures.Measured:
    times = measure_worst(PROMPT_TOKENS)
    return figures.Measured(times.to_next_token / times.restart, 1.0)


def _past_detection() -> figures.Measured:
    times = measure_worst(PROMPT_TOKENS)
    return figures.Measured(times.past_detection, times.restart)


def _long_prompt() -> figures.Measured:
    times = measure_worst(LONG_PROMPT_TOKENS)
    return figures.Measured(times.past_detection, times.restart)


def _fresh_attempt() -> figures.Measured:
    times = measure_worst(LONG_PROMPT_TOKENS, replays=False)
    return figures.Measured(times.past_detection, times.restart)


def _layer_positions() -> figures.Measured:
    replayed = measure_worst(LONG_PROMPT_TOKENS)
    fresh = measure_worst(LONG_PROMPT_TOKENS, replays=False)
    return figures.Measured(replayed.layer_positions, fresh.layer_positions)


def _heartbeats() -> figures.Measured:
    times = measure_worst(PROMPT_TOKENS, silent=True)
    heartbeat = settings.Bounds().heartbeat_seconds
    return figures.Measured(
        times.to_next_token / heartbeat, times.restart / heartbeat
    )


def _reopening_gap() -> figures.Measured:
    resumed = virtual_time.run(_cut_last_stage())
    with mock.patch.object(recovery, "REOPEN_SECONDS", 0.0):
        recovered = virtual_time.run(_cut_last_stage())
    return figures.Measured(resumed, recovered)


async def _cut_last_stage() -> float:
    """Returns the longest time between tokens around a cut connection."""
    bench = Bench()
    await bench.start()
    cluster = bench.cluster
    prompt = (utils.PROMPT * PROMPT_TOKENS)[:PROMPT_TOKENS]
    stream = cluster.start_chat(60, prompt=prompt)
    reading = asyncio.ensure_future(cluster.read(stream))
    await _wait_for_tokens(stream, 20)
    assert stream.pipeline is not None
    last = cluster.agent_by_vm[stream.pipeline.stages[-1].vm]
    router = next(iter(cluster.router_by_vm.values()))
    cluster.network.cut(router.address, last.address)
    longest = 0.0
    for count in range(21, 30):
        began = _now()
        await _wait_for_tokens(stream, count)
        longest = max(longest, _now() - began)
    await reading
    await cluster.stop()
    return longest


def _silence() -> figures.Measured:
    async def work() -> float:
        bench = Bench()
        await bench.start()
        cluster = bench.cluster
        router = next(iter(cluster.router_by_vm.values()))
        total_by_name = router.metrics.total_by_name
        runner = cluster.agent_by_vm[ids.VmId("runner-1")]
        worst = 0.0
        for _ in range(20):
            lost = total_by_name["agent_link.lost"]
            began = _now()
            cluster.network.silence(router.address, runner.address)
            await _wait_until(_Above(total_by_name, lost))
            worst = max(worst, _now() - began)
            await asyncio.sleep(1.037)
        await cluster.stop()
        return worst

    return figures.Measured(virtual_time.run(work()))


FIGURES = [
    figures.Figure(
        "recovery_time_to_restart_ratio", "ratio", "<= 0.33", _ratio
    ),
    figures.Figure(
        "recovery_time_past_detection", "s", "<= 1", _past_detection
    ),
    figures.Figure(
        "recovery_time_past_detection_3000", "s", "<= 1", _long_prompt
    ),
    figures.Figure(
        "recovery_time_past_detection_3000_fresh", "s", "", _fresh_attempt
    ),
    figures.Figure(
        "recovery_layer_positions_3000", "positions", "", _layer_positions
    ),
    figures.Figure("reopened_connection_gap", "s", "", _reopening_gap),
    figures.Figure("recovery_heartbeats", "heartbeats", "", _heartbeats),
    figures.Figure("silent_connection_detection", "s", "<= 3", _silence),
]
