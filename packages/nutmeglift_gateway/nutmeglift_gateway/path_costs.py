"""The costs by which paths are compared.

Load: a fast pipeline attracts the requests of all failure domains. Its token
steps stay short while the prompts that wait for it add up, so that the cost
includes the time in which the prompts ahead are processed.
"""

from collections.abc import Callable

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

    def layer_seconds(self, server: directory.Server) -> float:
        """Returns a runner's expected seconds for one layer of a token step."""
        engine = self._engine
        kind = engine.kind(server.kind)
        load = self._load_tracker.at(server.address)
        held = max(1, server.layers.count)
        tokens = load.token_layers / held
        step = (
            engine.step_seconds
            + load.requests * engine.sequence_seconds
            + tokens * engine.context_seconds
        )
        pace = kind.pace * self._pace_of(server.address)
        return step * pace / engine.layers

    def layer_cost(self, server: directory.Server) -> float:
        """Returns the cost of one layer on a runner, with crowding."""
        load = self._load_tracker.at(server.address)
        kind = self._engine.kind(server.kind)
        room = self._engine.token_layer_capacity(kind, server.layers.count)
        share = load.token_layers / room if room else 1.0
        slots = server.slots or self._engine.slots
        share = max(share, load.requests_as_first / slots)
        crowding = 1.0 + CROWDING_COST_RATIO * max(
            0.0, share - CROWDING_THRESHOLD_RATIO
        )
        # All layers together cost the mean wait of the pipeline's runners, as
        # these process successive prompts at the same time.
        wait = self.prompt_wait_seconds(server) / self._engine.layers
        return (
            self.layer_seconds(server) * crowding
            + PROMPT_WAIT_COST_RATIO * wait
        )

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
        engine = self._engine
        kind = engine.kind(server.kind)
        waiting = self._load_tracker.at(server.address).prompt_token_layers
        factor = kind.prompt_time_factor * self._pace_of(server.address)
        return (
            waiting / engine.layers / engine.prompt_tokens_per_second * factor
        )

    def prompt_pass_seconds(self, server: directory.Server) -> float:
        """Returns the time until a runner's waiting prompts are processed.

        With each chunk of a prompt it also runs a step of other requests.
        """
        reading = self.prompt_wait_seconds(server)
        chunk_tokens = self._engine.prompt_chunk_tokens
        if not chunk_tokens:
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
