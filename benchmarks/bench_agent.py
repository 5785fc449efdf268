"""Processor time of an agent's stage per position in an engine step."""

import asyncio
import time

from benchmarks import figures
from nutmeglift import codec
from nutmeglift import control_messages
from nutmeglift import engine as engines
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift_agent import stage_executor
from nutmeglift_fakes import toy_engine
from nutmeglift_wire import metrics

POSITION_COUNTS = (16, 64, 256)
STEP_COUNT = 200
HIDDEN_VALUE = toy_engine.MODULUS - 1
STAGES = 4
LAYERS = 60
PROMPT_POSITIONS = 1


class _StubEngine(engines.BaseEngine):
    """Returns a fixed result at once.

    The agent's side of encoding and decoding the CBOR bodies is included in
    the measurement.
    """

    def __init__(self, size: int) -> None:
        result = engines.StepResult(hidden=(HIDDEN_VALUE,))
        self._response = codec.encode(engines.StepResponse((result,) * size))

    async def step(
        self, items: tuple[engines.StepItem, ...]
    ) -> tuple[engines.StepResult, ...]:
        """Encodes the request and decodes a response, as over HTTP."""
        codec.encode(engines.StepRequest(items))
        return codec.decode_as(self._response, engines.StepResponse).results

    async def release(self, sequence: str) -> None:
        """Does nothing."""

    async def load(self) -> messages.LoadReport:
        """Returns a report without load."""
        return messages.LoadReport(0, 0, 0.0, 0.0, 0, 0.0)

    async def cache_events(self, after: int) -> control_messages.CacheEvents:
        """Returns no events."""
        return control_messages.CacheEvents(1, ())

    async def order(self, order: control_messages.Order) -> None:
        """Rejects the call: the benchmark sends no orders."""
        raise AssertionError

    async def export_cache(self, sequence: str) -> bytes:
        """Rejects the call: the benchmark exports no cache."""
        raise AssertionError

    async def import_cache(self, sequence: str, body: bytes) -> None:
        """Rejects the call: the benchmark imports no cache."""
        raise AssertionError


def _make_pipeline() -> messages.Pipeline:
    width = LAYERS // STAGES
    stages = tuple(
        messages.Stage(
            ids.VmId(f"runner-{index}"),
            f"10.0.0.{index}:7000",
            ids.Incarnation("1"),
            index * width,
            (index + 1) * width,
        )
        for index in range(STAGES)
    )
    return messages.Pipeline(ids.ModelId("m"), ids.VersionId("v"), None, stages)


def _make_open_stage(
    index: int, pipeline: messages.Pipeline
) -> messages.OpenStage:
    start = messages.StartAttempt(
        ids.RequestId(f"{index:024x}"),
        ids.Attempt(1),
        ids.VmId("entry-1"),
        pipeline,
        (),
        STEP_COUNT + 1,
    )
    return messages.OpenStage(start, 1, PROMPT_POSITIONS)


def _make_hop_frame(size: int, position: int, first_layer: int) -> bytes:
    hops = tuple(
        messages.Hop(
            ids.RequestId(f"{index:024x}"),
            ids.Attempt(1),
            position,
            (HIDDEN_VALUE,),
            first_layer,
        )
        for index in range(size)
    )
    return codec.encode(messages.HopFrame(hops))


async def _seconds_per_step(size: int) -> float:
    """Returns the processor time of one step with `size` positions."""
    sent = asyncio.Event()

    def post(address: str, message: codec.AnyMessage) -> None:
        codec.encode(message)
        if isinstance(message, messages.HopFrame):
            sent.set()

    pipeline = _make_pipeline()
    executor = stage_executor.StageExecutor(
        pipeline.stages[1].vm,
        pipeline.stages[1].incarnation,
        _StubEngine(size),
        metrics.NoMetrics(),
        post_to_agent=post,
        post_to_router=lambda router, message: None,
        post_tokens=lambda router, items: True,
        accepts_work=lambda: True,
    )
    task = asyncio.ensure_future(executor.run())
    for index in range(size):
        executor.open_stage(_make_open_stage(index, pipeline))
    first_layer = pipeline.stages[1].first_layer
    frames = [
        _make_hop_frame(size, step, first_layer) for step in range(STEP_COUNT)
    ]
    started = time.process_time()
    for frame in frames:
        sent.clear()
        message = codec.decode(frame)
        assert isinstance(message, messages.HopFrame)
        for hop in message.hops:
            executor.receive_hop(hop)
        await sent.wait()
    spent = time.process_time() - started
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return spent / STEP_COUNT


def measure_position() -> figures.Measurement:
    """Measures the processor time per additional position in a step."""
    spent = [asyncio.run(_seconds_per_step(size)) for size in POSITION_COUNTS]
    return figures.Measurement(figures.slope(POSITION_COUNTS, spent) * 1e6)


FIGURES = (
    figures.Figure("agent_cpu_per_position", "µs", "", measure_position),
)
