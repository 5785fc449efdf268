"""What a model engine does for its agent, and the types of its protocol."""

import abc

import msgspec

from nutmeglift import control_messages
from nutmeglift import ids
from nutmeglift import messages


class StepItem(msgspec.Struct, frozen=True, array_like=True):
    """Consecutive positions of one sequence to run in a step.

    Attributes:
        sequence: names the sequence's KV cache.
        model: the model.
        version: its version.
        adapter: adapter to apply.
        position: first position.
        values: tokens for the first layer, hidden states otherwise, shape
            (positions,).
        first_layer: first layer to run.
        end_layer: one past the last layer to run.
        sample_from: after the model's last layer, sample a token at this
            position and each later one.
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
        texts: their texts.
        stop: whether the last token ends the text.
        error: why nothing ran, or empty.
    """

    hidden: tuple[int, ...] = ()
    tokens: tuple[int, ...] = ()
    texts: tuple[str, ...] = ()
    stop: bool = False
    error: str = ""


class StepRequest(msgspec.Struct, frozen=True):
    """Body of a step call: one batch."""

    items: tuple[StepItem, ...]


class StepResponse(msgspec.Struct, frozen=True):
    """Answer to a step call, one result for each item."""

    results: tuple[StepResult, ...]


class BaseEngine(abc.ABC):
    """The model engine beside an agent.

    Every method raises errors.StageFailedError when the engine gives no
    answer.
    """

    @abc.abstractmethod
    async def step(self, items: tuple[StepItem, ...]) -> tuple[StepResult, ...]:
        """Runs one batch."""

    @abc.abstractmethod
    async def release(self, sequence: str) -> None:
        """Cancels a sequence and frees its KV cache."""

    @abc.abstractmethod
    async def load(self) -> messages.LoadReport:
        """Returns the engine's last published load."""

    @abc.abstractmethod
    async def cache_events(self, after: int) -> control_messages.CacheEvents:
        """Returns the cache events after a sequence number."""

    @abc.abstractmethod
    async def order(self, order: control_messages.Order) -> None:
        """Loads weights or an adapter, or changes the layer range.

        Raises:
            errors.StaleFencingNumberError: the engine has seen a higher
                fencing number.
        """

    @abc.abstractmethod
    async def export_cache(self, sequence: str) -> bytes:
        """Returns a sequence's KV cache."""

    @abc.abstractmethod
    async def import_cache(self, sequence: str, body: bytes) -> None:
        """Installs an exported KV cache under a sequence's name."""
