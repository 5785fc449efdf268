"""Forecasts when a request's first event arrives on a path."""

import dataclasses
import math

from nutmeglift_gateway import catalog
from nutmeglift_gateway import path_costs
from nutmeglift_gateway import paths
from nutmeglift_gateway import stalls


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """Expected times of a request on a path at the present load.

    Attributes:
        first_event_seconds: from sending the request to its first event.
        event_seconds: between two events.
    """

    first_event_seconds: float
    event_seconds: float


def forecast(
    engine: catalog.Engine,
    costs: path_costs.PathCosts,
    path: paths.Path,
    prompt_tokens: int,
) -> Forecast:
    """Returns what a request can expect on a path.

    A prompt that waits for a path is at one of its runners at a time, at each
    with a probability in proportion to its time there. So a request meets, at
    each runner, the prompts that count there times that probability.

    Args:
        engine: performance model of the runners.
        costs: costs of the runners at their current load.
        path: the path.
        prompt_tokens: tokens of the request's prompt.
    """
    chunk_tokens = engine.prompt_chunk_tokens or max(1, prompt_tokens)
    chunk_count = math.ceil(prompt_tokens / chunk_tokens)
    own_seconds = 0.0
    weighted_wait = 0.0
    weighted_chunk = 0.0
    for part in path.parts:
        share = (part.end - part.start) / engine.layers
        step = costs.layer_seconds(part.server) * (part.end - part.start)
        reading = costs.prompt_seconds(part.server, prompt_tokens) * share
        # A runner that processes a prompt goes on with the other requests'
        # steps, one with each chunk.
        own = reading + chunk_count * step
        wait = costs.prompt_wait_seconds(part.server)
        if reading > 0:
            wait *= own / reading
        own_seconds += own
        weighted_wait += wait * own
        chunk = reading / max(1, chunk_count)
        weighted_chunk += min(chunk, wait) * own
    wait_seconds = weighted_wait / own_seconds if own_seconds else 0.0
    chunk_seconds = weighted_chunk / own_seconds if own_seconds else 0.0
    crossing_seconds = path.crossings * costs.crossing_seconds(prompt_tokens)
    return Forecast(
        first_event_seconds=(
            wait_seconds + own_seconds + crossing_seconds + path.step_seconds
        ),
        event_seconds=stalls.STEPS_PER_EVENT
        * (path.step_seconds + chunk_seconds),
    )
