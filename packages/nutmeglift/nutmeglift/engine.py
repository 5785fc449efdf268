"""Interface of the model engine beside an agent, and its protocol types."""

import abc

import msgspec

from nutmeglift import control_messages
from nutmeglift import ids
from nutmeglift import messages


class StepItem(msgspec.Struct, frozen=True, array_like=True):
    """Consecutive positions of one sequence to compute in a step.

    Attributes:
        sequence: identifies the KV cache of the sequence.
        model: the model.
        version: version of the model.
        adapter: adapter to apply, if any.
        position: first position.
        values: tokens for the first layer, hidden states otherwise, shape
            (positions,).
        first_layer: first layer to run.
        end_layer: one past the last layer to run.
        sample_from: first position at which to sample a token, if the layers
            include the model's last one; every later position is sampled too.
    """

    sequence: str
    model: ids.ModelId
    version: ids.VersionId
    adapter: ids.AdapterId | None
    position: int
    values: tuple[int, ...]
    first_layer: int
    end_layer: int
    sample_from: int


class StepResult(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of a StepItem.

    Attributes:
        hidden: hidden states, shape (positions,); empty after the last layer.
        tokens: sampled tokens.
        texts: texts of the tokens.
        stop: whether the last token ends the text.
        error: reason for which nothing ran, or empty.
    """

    hidden: tuple[int, ...] = ()
    tokens: tuple[int, ...] = ()
    texts: tuple[str, ...] = ()
    stop: bool = False
    error: str = ""


class StepRequest(msgspec.Struct, frozen=True):
    """Body of a step call, with one batch."""

    items: tuple[StepItem, ...]


class StepResponse(msgspec.Struct, frozen=True):
    """Response to a step call, with one result for each item."""

    results: tuple[StepResult, ...]


class BaseEngine(abc.ABC):
    """The model engine beside an agent.

    Every method raises errors.StageFailedError if the engine does not respond.
    """

    @abc.abstractmethod
    async def step(self, items: tuple[StepItem, ...]) -> tuple[StepResult, ...]:
        """Runs one batch."""

    @abc.abstractmethod
    async def release(self, sequence: str) -> None:
        """Cancels a sequence and frees its KV cache."""

    @abc.abstractmethod
    async def load(self) -> messages.LoadReport:
        """Returns the load that the engine published last."""

    @abc.abstractmethod
    async def cache_events(self, after: int) -> control_messages.CacheEvents:
        """Returns the cache events after a sequence number."""

    @abc.abstractmethod
    async def order(self, order: control_messages.Order) -> None:
        """Executes an order to load weights or an adapter, or to change layers.

        Raises:
            errors.StaleFencingNumberError: the engine has received a higher
                fencing number.
        """

    @abc.abstractmethod
    async def export_cache(self, sequence: str) -> bytes:
        """Returns a sequence's KV cache."""

    @abc.abstractmethod
    async def import_cache(self, sequence: str, body: bytes) -> None:
        """Imports an exported KV cache for a sequence."""
