"""The costs by which paths are compared.

Load: a fast pipeline attracts the requests of all failure domains. Its token
steps stay short while the prompts that wait for it add up, so that the cost
includes the time in which the prompts ahead are processed.
"""

from collections.abc import Callable
from typing import NamedTuple

from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory
from nutmeglift_gateway import loads

CROSSING_COST_RATIO = 4.0
"""Multiple of its delay that a crossing between failure domains costs: it
delays every token and shares the link with all other crossings."""
CROWDING_THRESHOLD_RATIO = 0.5
"""Part of a runner's memory or slots whose use does not affect the cost: the
memory that a request will need is known only within a factor of two."""
CROWDING_COST_RATIO = 6.0
"""Increase of a runner's cost with the use beyond that threshold: a full
runner costs four times as much, as preempted requests wait for memory."""
PROMPT_WAIT_COST_RATIO = 0.05
"""Part of the wait for the prompts ahead that is added to the cost of a token
step: the wait comes once, and a response has many steps."""


class Shape(NamedTuple):
    """What doesn't change with a runner's load.

    Attributes:
        step_ratio: part of a token step's time at pace 1 that one layer takes.
        prompt_ratio: seconds to process one prompt token in one layer.
        held: layers that it holds; at least 1.
        room: KV cache, in tokens times layers.
        slots: requests that it accepts as the first runner.
    """

    step_ratio: float
    prompt_ratio: float
    held: int
    room: float
    slots: int


def make_shape(engine: catalog.Engine, server: directory.Server) -> Shape:
    """Returns the shape of a runner.

    Args:
        engine: performance model of the runners.
        server: the runner.
    """
    kind = engine.kind(server.kind)
    layers = server.layers.count
    return Shape(
        kind.pace / engine.layers,
        kind.prompt_time_factor
        / engine.layers
        / engine.prompt_tokens_per_second,
        max(1, layers),
        engine.token_layer_capacity(kind, layers),
        server.slots or max(1, engine.slots),
    )


class PathCosts:
    """Costs of the runners of one service at their current load."""

    def __init__(
        self,
        engine: catalog.Engine,
        load_tracker: loads.LoadTracker,
        pace_of: Callable[[str], float],
    ) -> None:
        """Initializes the costs.

        Args:
            engine: performance model and limits of the runners.
            load_tracker: load of the runners.
            pace_of: returns the pace of the runner at an address.
        """
        self._engine = engine
        self._load_tracker = load_tracker
        self._pace_of = pace_of
        self._shape_by_key: dict[tuple[str, int, int], Shape] = {}

    def shape(self, server: directory.Server) -> Shape:
        """Returns what doesn't change with a runner's load."""
        key = (server.kind, server.layers.count, server.slots)
        found = self._shape_by_key.get(key)
        if found is None:
            found = self._shape_by_key[key] = make_shape(self._engine, server)
        return found

    def layer_seconds(self, server: directory.Server) -> float:
        """Returns a runner's expected seconds for one layer of a token step."""
        load = self._load_tracker.at(server.address)
        shape = self.shape(server)
        return self._step_seconds(load, shape) * (
            shape.step_ratio * self._pace_of(server.address)
        )

    def _step_seconds(self, load: loads.Load, shape: Shape) -> float:
        """Returns the time of a token step over all layers at pace 1."""
        engine = self._engine
        return (
            engine.step_seconds
            + load.requests * engine.sequence_seconds
            + load.token_layers / shape.held * engine.context_seconds
        )

    def layer_cost(self, server: directory.Server) -> float:
        """Returns the cost of one layer on a runner, with crowding."""
        return self.loaded_layer_cost(
            self._load_tracker.at(server.address),
            self.shape(server),
            self._pace_of(server.address),
        )

    def loaded_layer_cost(
        self, load: loads.Load, shape: Shape, pace: float
    ) -> float:
        """Returns the cost of one layer, with crowding.

        Args:
            load: load of the runner.
            shape: the runner's memory and speed.
            pace: its pace.
        """
        share = load.token_layers / shape.room if shape.room else 1.0
        slot_share = load.requests_as_first / shape.slots
        share = max(share, slot_share)
        seconds = self._step_seconds(load, shape) * shape.step_ratio * pace
        if share > CROWDING_THRESHOLD_RATIO:
            seconds *= 1.0 + CROWDING_COST_RATIO * (
                share - CROWDING_THRESHOLD_RATIO
            )
        # All layers together cost the mean wait of the pipeline's runners, as
        # these process successive prompts at the same time.
        wait = load.prompt_token_layers * shape.prompt_ratio * pace
        return seconds + PROMPT_WAIT_COST_RATIO * wait / self._engine.layers

    def first_event_layer_cost(
        self, server: directory.Server, prompt_tokens: int
    ) -> float:
        """Returns what one layer on a runner adds to the first event.

        Args:
            server: the runner.
            prompt_tokens: tokens of the request's prompt.
        """
        reading = self.prompt_seconds(server, prompt_tokens)
        waiting = self.prompt_pass_seconds(server)
        # One step with the prompt's last chunk and one for the first token.
        return 2 * self.layer_seconds(server) + (
            (reading + waiting) / self._engine.layers
        )

    def prompt_wait_seconds(self, server: directory.Server) -> float:
        """Returns the time in which a runner processes its waiting prompts."""
        return (
            self._load_tracker.at(server.address).prompt_token_layers
            * self.shape(server).prompt_ratio
            * self._pace_of(server.address)
        )

    def prompt_pass_seconds(self, server: directory.Server) -> float:
        """Returns the time until a runner's waiting prompts are processed.

        With each chunk of a prompt it also runs a step of other requests.
        """
        reading = self.prompt_wait_seconds(server)
        chunk_tokens = self._engine.prompt_chunk_tokens
        if not chunk_tokens or reading <= 0:
            return reading
        step = self.layer_seconds(server) * self._engine.layers
        chunk = self.prompt_seconds(server, chunk_tokens)
        return reading * (1 + step / chunk)

    def prompt_seconds(
        self, server: directory.Server, prompt_tokens: int
    ) -> float:
        """Returns the time in which a runner processes a prompt in all layers.

        Args:
            server: the runner.
            prompt_tokens: tokens of the prompt.
        """
        engine = self._engine
        kind = engine.kind(server.kind)
        seconds = (
            prompt_tokens / engine.prompt_tokens_per_second
            + prompt_tokens**2 / 2 * engine.prompt_pair_seconds
        )
        return seconds * kind.prompt_time_factor * self._pace_of(server.address)

    def crossing_seconds(self, tokens: int = 1) -> float:
        """Returns the time of a crossing between failure domains.

        Args:
            tokens: tokens whose activations cross.
        """
        engine = self._engine
        transfer = (
            tokens * engine.activation_bytes * 8 / (engine.pipe_mbps * 1e6)
        )
        return engine.domain_delay + transfer
