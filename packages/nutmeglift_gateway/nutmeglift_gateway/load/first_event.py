"""Forecasts when a request's first event arrives on a path."""

import dataclasses
import math

from nutmeglift_gateway import catalog
from nutmeglift_gateway import path_costs
from nutmeglift_gateway import paths
from nutmeglift_gateway import stalls

FIRST_STEP_RATIO = 1.5
"""Token steps until the first event: one, and on average half of the steps that
the runners have begun when the prompt arrives."""
MIN_PASSAGE_SECONDS = 1e-9
"""Greater than zero, for engines whose steps are configured to take no time."""


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

    The parts of a path process successive chunks of a prompt, and successive
    prompts, at the same time. So all chunks but the last are counted at the
    slowest part, the last one at each. A prompt that waits for a path is at
    one of its runners, at each with a probability in proportion to its time
    there; a request meets the prompts that count at a runner times that
    probability.

    Args:
        engine: performance model of the runners.
        costs: costs of the runners at their current load.
        path: the path.
        prompt_tokens: tokens of the request's prompt.
    """
    chunk_tokens = min(
        engine.prompt_chunk_tokens or prompt_tokens, prompt_tokens
    )
    chunk_count = math.ceil(prompt_tokens / chunk_tokens) if chunk_tokens else 0
    last_tokens = prompt_tokens - (chunk_count - 1) * chunk_tokens
    passage = 0.0
    slowest = 0.0
    weighted_wait = 0.0
    weighted_chunk = 0.0
    for part in path.parts:
        layers = part.end - part.start
        step = costs.layer_seconds(part.server) * layers
        # A runner goes on with the other requests' steps, one with each chunk.
        chunk = (
            costs.prompt_seconds(part.server, chunk_tokens)
            * layers
            / engine.layers
        )
        last = step
        if chunk_tokens:
            last += chunk * last_tokens / chunk_tokens
        passage += last
        slowest = max(slowest, chunk + step)
        wait = costs.prompt_wait_seconds(part.server)
        if wait > 0:
            weighted_chunk += min(chunk, wait) * last
            weighted_wait += costs.prompt_pass_seconds(part.server) * last
    chunks_seconds = passage + max(0, chunk_count - 1) * slowest
    passage = max(passage, MIN_PASSAGE_SECONDS)
    wait_seconds = weighted_wait / passage
    crossing_seconds = path.crossings * costs.crossing_seconds(prompt_tokens)
    return Forecast(
        first_event_seconds=(
            wait_seconds
            + chunks_seconds
            + crossing_seconds
            + path.step_seconds * FIRST_STEP_RATIO
        ),
        event_seconds=stalls.STEPS_PER_EVENT
        * (path.step_seconds + weighted_chunk / passage),
    )
