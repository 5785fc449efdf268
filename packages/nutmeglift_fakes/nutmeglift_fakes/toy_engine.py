"""A deterministic toy engine that can run any range of a model's layers."""

import collections
from collections.abc import Iterable
import dataclasses
import random

import cbor2
import xxhash

from nutmeglift import control_messages
from nutmeglift import engine
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import prefix_index
from nutmeglift_wire import clock as clocks

MODULUS = (1 << 61) - 1
TOKEN_FACTOR = 6364136223846793005 % MODULUS
CACHE_FACTOR = 1442695040888963407 % MODULUS
STOP_MODULUS = 4096
VOCABULARY = (
    "the credit terms match invoice value shipment date port Manila bill of"
    " lading amendment clause notice copra mango board lot road number name"
    " council survey insurance draft sight bank presents document clean full"
    " set original weight list origin certificate discrepancy none found"
)
WORDS = tuple(VOCABULARY.split())


@dataclasses.dataclass(frozen=True)
class LayerRun:
    """One run of one layer on one position of a sequence."""

    sequence: str
    layer: int
    position: int


@dataclasses.dataclass
class EngineFaults:
    """Injected faults of the engine.

    Attributes:
        dead: every call fails.
        slowdown: factor that multiplies the duration of every step.
        load_lag: age of the reported load, in seconds.
        event_loss: fraction of cache events that are lost.
    """

    dead: bool = False
    slowdown: float = 1.0
    load_lag: float = 0.0
    event_loss: float = 0.0


def _salt(item: engine.StepItem) -> int:
    text = f"{item.model}/{item.version}/{item.adapter or ''}"
    return xxhash.xxh64_intdigest(text.encode())


def _embed(token: int) -> int:
    return (token + 1) * TOKEN_FACTOR % MODULUS


def _run_layer(layer: int, salt: int, hidden: int, cache: int) -> int:
    return (hidden * (2 * layer + 3) + cache + salt + layer) % MODULUS


def _update_cache(cache: int, hidden: int) -> int:
    return (cache * CACHE_FACTOR + hidden) % MODULUS


def _sample(hidden: int) -> int:
    return hidden % len(WORDS)


class ToyEngine(engine.BaseEngine):
    """Computes deterministic results and takes simulated time.

    Attributes:
        runs: every layer run, in order, if `record` is set.
        orders: the executed orders.
        faults: the injected faults.
        step_overhead: constant seconds added to the duration of every step.
        sample_salt: engines with different salts sample different tokens.
    """

    def __init__(
        self,
        *,
        clock: clocks.BaseClock,
        layers: int,
        layer_positions_per_second: float,
        rng: random.Random,
        step_overhead: float = 0.0,
        checks_fencing_number: bool = False,
        record: bool = True,
        max_prefix_blocks: int = 4096,
    ) -> None:
        self.runs: list[LayerRun] = []
        self.orders: list[control_messages.Order] = []
        self.faults = EngineFaults()
        self.sample_salt = 0
        self._clock = clock
        self._layers = layers
        self._rate = layer_positions_per_second
        self._rng = rng
        self.step_overhead = step_overhead
        self._checks_fencing_number = checks_fencing_number
        self._record = record
        self._max_prefix_blocks = max_prefix_blocks
        self._cache_by_sequence: dict[str, dict[int, list[int]]] = {}
        self._fencing_number = ids.FencingNumber(0)
        self._running = 0
        self._step_seconds = 0.0
        self._prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: list[control_messages.CacheEvent | None] = []
        self._load_history: collections.deque[
            tuple[float, messages.LoadReport]
        ] = collections.deque(maxlen=1024)

    async def step(
        self, items: tuple[engine.StepItem, ...]
    ) -> tuple[engine.StepResult, ...]:
        """Runs one batch of steps."""
        self._check_alive()
        self._running += len(items)
        seconds = self._duration(items)
        if seconds > 0:
            await self._clock.sleep(seconds)
        self._running -= len(items)
        self._step_seconds = seconds
        self._check_alive()
        return tuple(self._run(item) for item in items)

    async def release(self, sequence: str) -> None:
        """Cancels a sequence."""
        self._check_alive()
        self._cache_by_sequence.pop(sequence, None)

    async def load(self) -> messages.LoadReport:
        """Returns the load as of `load_lag` seconds ago."""
        self._check_alive()
        now = self._clock.now()
        current = messages.LoadReport(
            self._running, 0, self._step_seconds, self._rate, 1 << 20, 0.0
        )
        self._load_history.append((now, current))
        cutoff = now - self.faults.load_lag
        reported_at, reported = self._load_history[0]
        for at, report in self._load_history:
            if at <= cutoff:
                reported_at, reported = at, report
        return messages.LoadReport(
            reported.running,
            reported.waiting,
            reported.step_seconds,
            reported.tokens_per_second,
            reported.free_cache_tokens,
            now - reported_at,
        )

    async def cache_events(self, after: int) -> control_messages.CacheEvents:
        """Returns the events after a sequence number, up to the first lost one.

        Lost events directly after the sequence number are skipped.
        """
        self._check_alive()
        start = after
        while start < len(self._events) and self._events[start] is None:
            start += 1
        found: list[control_messages.CacheEvent] = []
        for event in self._events[start:]:
            if event is None:
                break
            found.append(event)
        return control_messages.CacheEvents(start + 1, tuple(found))

    async def order(self, order: control_messages.Order) -> None:
        """Records an order as executed."""
        self._check_alive()
        if (
            self._checks_fencing_number
            and order.fencing_number < self._fencing_number
        ):
            raise errors.StaleFencingNumberError(
                f"{order.fencing_number} is older than {self._fencing_number}"
            )
        self._fencing_number = max(self._fencing_number, order.fencing_number)
        self.orders.append(order)

    async def export_cache(self, sequence: str) -> bytes:
        """Returns a sequence's KV cache."""
        self._check_alive()
        found = self._cache_by_sequence.get(sequence)
        if found is None:
            raise errors.StageFailedError(f"no sequence {sequence}")
        return cbor2.dumps(found)

    async def import_cache(self, sequence: str, body: bytes) -> None:
        """Installs an exported KV cache."""
        self._check_alive()
        self._cache_by_sequence[sequence] = cbor2.loads(body)

    def _check_alive(self) -> None:
        if self.faults.dead:
            raise errors.StageFailedError("the engine is dead")

    def _duration(self, items: Iterable[engine.StepItem]) -> float:
        work = sum(
            (item.end_layer - item.first_layer)
            * max(1, len(item.values) - self._cached_positions(item))
            for item in items
        )
        seconds = self.step_overhead + work / self._rate
        return seconds * self.faults.slowdown

    def _cached_positions(self, item: engine.StepItem) -> int:
        if item.first_layer > 0 or item.position > 0:
            return 0
        cached = 0
        for prefix in prefix_index.hash_prefix_blocks(item.values):
            if prefix not in self._prefixes:
                break
            cached += prefix_index.BLOCK_TOKENS
        return cached

    def _run(self, item: engine.StepItem) -> engine.StepResult:
        # Maps each layer to [next position, cache value].
        cache_by_layer = self._cache_by_sequence.setdefault(item.sequence, {})
        for layer in range(item.first_layer, item.end_layer):
            position = cache_by_layer.setdefault(layer, [0, 0])[0]
            if position != item.position:
                return engine.StepResult(
                    error=f"layer {layer} is at position {position},"
                    f" not {item.position}"
                )
        if item.first_layer == 0 and item.position == 0:
            self._record_prefixes(item.values)
        outputs = [
            self._run_position(item, cache_by_layer, offset)
            for offset in range(len(item.values))
        ]
        if item.end_layer < self._layers:
            return engine.StepResult(hidden=tuple(outputs))
        return _sample_all(item, outputs, self.sample_salt)

    def _run_position(
        self,
        item: engine.StepItem,
        cache_by_layer: dict[int, list[int]],
        offset: int,
    ) -> int:
        salt = _salt(item)
        hidden = item.values[offset]
        if item.first_layer == 0:
            hidden = _embed(hidden)
        for layer in range(item.first_layer, item.end_layer):
            state = cache_by_layer[layer]
            cache = _update_cache(state[1], hidden)
            hidden = _run_layer(layer, salt, hidden, cache)
            state[0] += 1
            state[1] = cache
            if self._record:
                position = item.position + offset
                self.runs.append(LayerRun(item.sequence, layer, position))
        return hidden

    def _record_prefixes(self, tokens: tuple[int, ...]) -> None:
        for prefix in prefix_index.hash_prefix_blocks(tokens):
            if prefix in self._prefixes:
                self._prefixes.move_to_end(prefix)
                continue
            self._prefixes[prefix] = None
            self._publish(control_messages.CacheEvent(prefix, True))
        while len(self._prefixes) > self._max_prefix_blocks:
            evicted, _ = self._prefixes.popitem(last=False)
            self._publish(control_messages.CacheEvent(evicted, False))

    def _publish(self, event: control_messages.CacheEvent) -> None:
        lost = self._rng.random() < self.faults.event_loss
        self._events.append(None if lost else event)


def _sample_all(
    item: engine.StepItem, outputs: list[int], salt: int
) -> engine.StepResult:
    first = max(0, item.sample_from - item.position)
    sampled = outputs[first:]
    tokens = tuple(_sample(hidden + salt) for hidden in sampled)
    stop = bool(sampled) and sampled[-1] % STOP_MODULUS == 0
    texts = tuple(f" {WORDS[token]}" for token in tokens)
    return engine.StepResult(tokens=tokens, texts=texts, stop=stop)


def reference_tokens(
    model: ids.ModelId,
    version: ids.VersionId,
    adapter: ids.AdapterId | None,
    *,
    layers: int,
    prompt: tuple[int, ...],
    max_tokens: int,
) -> list[int]:
    """Returns the tokens that the unsplit model samples."""
    item = engine.StepItem("", model, version, adapter, 0, (), 0, layers, 0)
    salt = _salt(item)
    caches = [0] * layers
    tokens: list[int] = []
    pending = list(prompt)
    while len(tokens) < max_tokens:
        hidden = 0
        for token in pending:
            hidden = _embed(token)
            for layer in range(layers):
                caches[layer] = _update_cache(caches[layer], hidden)
                hidden = _run_layer(layer, salt, hidden, caches[layer])
        tokens.append(_sample(hidden))
        pending = [tokens[-1]]
        if hidden % STOP_MODULUS == 0:
            break
    return tokens
