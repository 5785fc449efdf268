"""Recovery of responses in progress, in virtual time."""

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

STAGE_COUNT = 3
RUNNER_COUNT = 2 * STAGE_COUNT
INTER_TOKEN_SECONDS = 0.052
FIRST_TOKEN_SECONDS = 0.47
PROMPT_TOKENS = 512
LONG_PROMPT_TOKENS = 3000
ANSWER_TOKENS = 240
FAILURE_POINT_RATIO = 2 / 3
LINK_DELAY_SECONDS = 0.0005
POLL_INTERVAL_SECONDS = 0.001


@dataclasses.dataclass(frozen=True)
class RecoveryCase:
    """One request whose pipeline loses a stage.

    Attributes:
        prompt_tokens: length of the prompt.
        answer_tokens: length of the generated text.
        stage: index of the stage that fails.
        silent: whether its connections stay open without traffic instead of
            closing.
        replays: whether agents keep hidden states, so that only the failed
            stage runs positions again.
    """

    prompt_tokens: int = PROMPT_TOKENS
    answer_tokens: int = ANSWER_TOKENS
    stage: int = 1
    silent: bool = False
    replays: bool = True


@dataclasses.dataclass(frozen=True)
class RecoveryTimes:
    """Durations and repeated work of one case.

    Attributes:
        to_next_token_seconds: from the failure to the next token at the caller.
        past_detection_seconds: from its detection by the router to that token.
        restart_seconds: from the start of the request to the same token, which
            is the time that a restarted request would need.
        layer_positions: number of layers run again times positions.
    """

    to_next_token_seconds: float
    past_detection_seconds: float
    restart_seconds: float
    layer_positions: int


class RecoveryBench:
    """A deployment whose runners have the target's token rate."""

    def __init__(self, *, replays: bool = True) -> None:
        positions = PROMPT_TOKENS * utils.LAYERS
        rate = positions / (FIRST_TOKEN_SECONDS - INTER_TOKEN_SECONDS)
        layer_seconds = utils.LAYERS / rate
        self._rate = rate
        self._overhead = (INTER_TOKEN_SECONDS - layer_seconds) / STAGE_COUNT
        self._overhead -= LINK_DELAY_SECONDS
        self.cluster = utils.Cluster(bounds=_make_bounds(replays))

    async def start(self) -> None:
        """Starts the deployment and sets the delay of every connection."""
        cluster = self.cluster
        await cluster.start(runners=RUNNER_COUNT, services=0, rate=self._rate)
        for engine in cluster.engines:
            engine.step_overhead = self._overhead
        addresses = [a.address for a in cluster.agent_by_vm.values()]
        addresses += [r.address for r in cluster.router_by_vm.values()]
        for index, one in enumerate(addresses):
            for other in addresses[index + 1 :]:
                cluster.network.degrade(one, other, LINK_DELAY_SECONDS)

    async def measure(self, case: RecoveryCase) -> RecoveryTimes:
        """Stops a stage when two thirds of the tokens have been generated."""
        done = round(case.answer_tokens * FAILURE_POINT_RATIO)
        prompt = utils.PROMPT * (case.prompt_tokens // len(utils.PROMPT) + 1)
        prompt = prompt[: case.prompt_tokens]
        started_at = _now()
        stream = self.cluster.start_chat(case.answer_tokens, prompt=prompt)
        reading = asyncio.ensure_future(self.cluster.read(stream))
        await _wait_for_tokens(stream, done + 1)
        restart_seconds = _now() - started_at
        attempt = stream.gate.attempt
        runs_before = self._count_runs()
        failed_at = _now()
        await self._fail_stage(stream, case)
        await _wait_until(lambda: stream.gate.attempt > attempt)
        detected_at = _now()
        await _wait_for_tokens(stream, len(stream.gate.tokens) + 1)
        repeated_positions = self._count_runs() - runs_before
        times = RecoveryTimes(
            _now() - failed_at,
            _now() - detected_at,
            restart_seconds,
            repeated_positions,
        )
        text = await reading
        if text != utils.reference_text(prompt, case.answer_tokens):
            raise AssertionError("response differs from the reference text")
        return times

    def _count_runs(self) -> int:
        return sum(len(engine.runs) for engine in self.cluster.engines)

    async def _fail_stage(
        self, stream: chat.Stream, case: RecoveryCase
    ) -> None:
        assert stream.pipeline is not None
        vm = stream.pipeline.stages[case.stage].vm
        if case.silent:
            self.cluster.agent_by_vm[vm].clock.pause()
            return
        await self.cluster.kill(vm)


@dataclasses.dataclass(frozen=True)
class _LostLinkCountAbove:
    """Condition that the router has counted more lost agent links."""

    total_by_name: collections.Counter[str]
    lost: int

    def __call__(self) -> bool:
        return self.total_by_name["agent_link.lost"] > self.lost


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _wait_for_tokens(stream: chat.Stream, count: int) -> None:
    await _wait_until(lambda: len(stream.gate.tokens) >= count)


async def _wait_until(condition: Callable[[], bool]) -> None:
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


def measure(case: RecoveryCase) -> RecoveryTimes:
    """Measures one case in virtual time."""

    async def work() -> RecoveryTimes:
        bench = RecoveryBench(replays=case.replays)
        await bench.start()
        times = await bench.measure(case)
        await bench.cluster.stop()
        return times

    return virtual_time.run(work())


def _make_bounds(replays: bool) -> settings.Bounds:
    return settings.Bounds() if replays else settings.Bounds(replay_bytes=0)


def measure_worst(
    prompt_tokens: int, *, silent: bool = False, replays: bool = True
) -> RecoveryTimes:
    """Measures the failure of each stage and returns the slowest recovery."""
    cases = [
        RecoveryCase(prompt_tokens, stage=stage, silent=silent, replays=replays)
        for stage in range(STAGE_COUNT)
    ]
    return max(
        map(measure, cases), key=lambda times: times.to_next_token_seconds
    )


def _measure_restart_ratio() -> figures.Measurement:
    times = measure_worst(PROMPT_TOKENS)
    return figures.Measurement(
        times.to_next_token_seconds / times.restart_seconds, 1.0
    )


def _measure_past_detection() -> figures.Measurement:
    times = measure_worst(PROMPT_TOKENS)
    return figures.Measurement(
        times.past_detection_seconds, times.restart_seconds
    )


def _measure_long_prompt() -> figures.Measurement:
    times = measure_worst(LONG_PROMPT_TOKENS)
    return figures.Measurement(
        times.past_detection_seconds, times.restart_seconds
    )


def _measure_fresh_attempt() -> figures.Measurement:
    times = measure_worst(LONG_PROMPT_TOKENS, replays=False)
    return figures.Measurement(
        times.past_detection_seconds, times.restart_seconds
    )


def _measure_layer_positions() -> figures.Measurement:
    replayed = measure_worst(LONG_PROMPT_TOKENS)
    fresh = measure_worst(LONG_PROMPT_TOKENS, replays=False)
    return figures.Measurement(replayed.layer_positions, fresh.layer_positions)


def _measure_heartbeats() -> figures.Measurement:
    times = measure_worst(PROMPT_TOKENS, silent=True)
    heartbeat = settings.Bounds().heartbeat_seconds
    return figures.Measurement(
        times.to_next_token_seconds / heartbeat,
        times.restart_seconds / heartbeat,
    )


def _measure_reopening_gap() -> figures.Measurement:
    resumed = virtual_time.run(_cut_last_stage())
    with mock.patch.object(recovery, "REOPEN_SECONDS", 0.0):
        recovered = virtual_time.run(_cut_last_stage())
    return figures.Measurement(resumed, recovered)


async def _cut_last_stage() -> float:
    """Returns the longest time between tokens after a connection was cut."""
    bench = RecoveryBench()
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
        started_at = _now()
        await _wait_for_tokens(stream, count)
        longest = max(longest, _now() - started_at)
    await reading
    await cluster.stop()
    return longest


def _measure_silence_detection() -> figures.Measurement:
    async def work() -> float:
        bench = RecoveryBench()
        await bench.start()
        cluster = bench.cluster
        router = next(iter(cluster.router_by_vm.values()))
        total_by_name = router.metrics.total_by_name
        runner = cluster.agent_by_vm[ids.VmId("runner-1")]
        worst = 0.0
        for _ in range(20):
            lost = total_by_name["agent_link.lost"]
            started_at = _now()
            cluster.network.silence(router.address, runner.address)
            await _wait_until(_LostLinkCountAbove(total_by_name, lost))
            worst = max(worst, _now() - started_at)
            await asyncio.sleep(1.037)
        await cluster.stop()
        return worst

    return figures.Measurement(virtual_time.run(work()))


FIGURES = [
    figures.Figure(
        "recovery_time_to_restart_ratio",
        "ratio",
        "<= 0.33",
        _measure_restart_ratio,
    ),
    figures.Figure(
        "recovery_time_past_detection", "s", "<= 1", _measure_past_detection
    ),
    figures.Figure(
        "recovery_time_past_detection_3000", "s", "<= 1", _measure_long_prompt
    ),
    figures.Figure(
        "recovery_time_past_detection_3000_fresh",
        "s",
        "",
        _measure_fresh_attempt,
    ),
    figures.Figure(
        "recovery_layer_positions_3000",
        "positions",
        "",
        _measure_layer_positions,
    ),
    figures.Figure("reopened_connection_gap", "s", "", _measure_reopening_gap),
    figures.Figure(
        "recovery_heartbeats", "heartbeats", "", _measure_heartbeats
    ),
    figures.Figure(
        "silent_connection_detection", "s", "<= 3", _measure_silence_detection
    ),
]
