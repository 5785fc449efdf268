"""Gradual rollout of a new plan's layer ranges to the runners."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from nutmeglift import control_messages
from nutmeglift import ids
from nutmeglift import placement
from nutmeglift import plan

LOAD_DELAY_AFTER_REMOVAL_SECONDS = 3.0
"""Delay from a runner's removal from the plan to its order to load.

Work already dispatched to the runner can finish in this time.
"""
LOAD_RETRY_DELAY_SECONDS = 5.0
ORDER_TIMEOUT_SECONDS = 300.0
MIN_CONCURRENT_LOAD_COUNT = 2
MAX_CONCURRENT_LOAD_RATIO = 0.1
"""Fraction of the runners that load at a time; the weight store is slow."""

HeldKey = tuple[ids.VmId, ids.ModelId, ids.VersionId]


@dataclasses.dataclass(frozen=True)
class RunnerOrder:
    """An order addressed to the agent of a runner."""

    vm: ids.VmId
    order: control_messages.Order


@dataclasses.dataclass(frozen=True)
class LoadedRange:
    """The layers that an order loads on a runner.

    Attributes:
        held: the layer range.
        incarnation: incarnation of the agent that received the order.
    """

    held: placement.Range
    incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True)
class _Load:
    """Weights to load: a layer range alone, or one of its adapters."""

    key: HeldKey
    adapter: ids.AdapterId | None


@dataclasses.dataclass(frozen=True)
class _Pending:
    vm: ids.VmId
    load: _Load
    loaded: LoadedRange
    sent_at: float


class Rollout:
    """Moves a few runners at a time and keeps every layer available.

    A runner that has to move is first removed from the plan, provided that
    other runners hold its layers. After a delay it is ordered to load its new
    range, and it returns to the plan when the order has completed.

    Attributes:
        held_by_key: the layer ranges that the plan in force may use.
    """

    def __init__(self, fencing_number: ids.FencingNumber) -> None:
        self.held_by_key: dict[HeldKey, placement.Range] = {}
        self._fencing_number = fencing_number
        self._target_by_key: dict[HeldKey, placement.Range] = {}
        self._layers_by_model: Mapping[ids.ModelId, int] = {}
        self._adapters_by_version: Mapping[
            plan.VersionKey, Sequence[ids.AdapterId]
        ] = {}
        self._loaded: dict[_Load, LoadedRange] = {}
        self._pending: dict[ids.RequestId, _Pending] = {}
        self._retry_at: dict[_Load, float] = {}
        self._removed_at: dict[ids.VmId, float] = {}
        # Model versions with a layer that no live runner holds.
        self._uncovered: set[plan.VersionKey] = set()
        self._orders = 0

    @property
    def done(self) -> bool:
        """Whether the ranges in force equal the target."""
        return self.held_by_key == self._target_by_key

    def start_from(self, in_force: plan.Plan) -> None:
        """Initializes the ranges from the plan in force."""
        self.held_by_key = _ranges_of(in_force)

    def set_target(
        self,
        target: plan.Plan,
        adapters_by_version: Mapping[plan.VersionKey, Sequence[ids.AdapterId]],
    ) -> None:
        """Sets the target of the rollout.

        Args:
            target: the plan to put into force.
            adapters_by_version: adapters that the runners of each version
                load.
        """
        self._target_by_key = _ranges_of(target)
        self._layers_by_model = target.layers_by_model
        self._adapters_by_version = adapters_by_version

    def step(
        self, incarnation_by_vm: Mapping[ids.VmId, ids.Incarnation], now: float
    ) -> list[RunnerOrder]:
        """Updates the ranges in force where that is safe.

        Args:
            incarnation_by_vm: the live runners.
            now: clock time in seconds.

        Returns:
            New orders to send.
        """
        self._drop_lost_runners_and_orders(incarnation_by_vm, now)
        self._uncovered = self._find_uncovered(incarnation_by_vm)
        self._remove_from_plan(incarnation_by_vm, now)
        self._return_to_plan(incarnation_by_vm)
        return self._make_orders(incarnation_by_vm, now)

    def cancel_orders(self, orders: Sequence[RunnerOrder]) -> None:
        """Cancels orders that could not be sent."""
        for addressed in orders:
            self._pending.pop(addressed.order.order, None)

    def handle_result(
        self, vm: ids.VmId, result: control_messages.OrderResult, now: float
    ) -> bool:
        """Handles the result of an order.

        A failed load is retried after a delay.

        Args:
            vm: the VM that sent the result.
            result: the result.
            now: clock time in seconds.

        Returns:
            Whether the result belongs to a pending order of this VM.
        """
        pending = self._pending.get(result.order)
        if pending is None or pending.vm != vm:
            return False
        del self._pending[result.order]
        if result.kind is None:
            self._loaded[pending.load] = pending.loaded
        else:
            self._retry_at[pending.load] = now + LOAD_RETRY_DELAY_SECONDS
        return True

    def _drop_lost_runners_and_orders(
        self, live: Mapping[ids.VmId, ids.Incarnation], now: float
    ) -> None:
        """Drops lost runners that are not in the target, and lost orders.

        An order is dropped when its agent was lost or restarted, or when the
        order timed out.
        """
        targeted = {vm for vm, _, _ in self._target_by_key}
        for key in list(self.held_by_key):
            if key[0] not in live and key[0] not in targeted:
                del self.held_by_key[key]
        for order, pending in list(self._pending.items()):
            restarted = live.get(pending.vm) != pending.loaded.incarnation
            late = now - pending.sent_at > ORDER_TIMEOUT_SECONDS
            if restarted or late:
                del self._pending[order]

    def _remove_from_plan(
        self, live: Mapping[ids.VmId, ids.Incarnation], now: float
    ) -> None:
        loading = {
            vm for vm in self._removed_at if self._has_unfinished_move(vm)
        }
        max_loading = self._max_concurrent_loads()
        for key in sorted(self.held_by_key):
            held = self.held_by_key[key]
            if self._target_by_key.get(key) == held:
                continue
            uncovered = key[1:] in self._uncovered
            if (
                not uncovered
                and key[0] not in loading
                and len(loading) >= max_loading
            ):
                continue
            if self._is_sole_holder(key, held, live):
                continue
            del self.held_by_key[key]
            self._removed_at[key[0]] = now
            loading.add(key[0])

    def _return_to_plan(self, live: Mapping[ids.VmId, ids.Incarnation]) -> None:
        for key, wanted in self._target_by_key.items():
            if key in self.held_by_key:
                continue
            loaded = self._loaded.get(_Load(key, None))
            incarnation = live.get(key[0])
            if incarnation and loaded == LoadedRange(wanted, incarnation):
                self.held_by_key[key] = wanted
                self._removed_at.pop(key[0], None)

    def _make_orders(
        self, live: Mapping[ids.VmId, ids.Incarnation], now: float
    ) -> list[RunnerOrder]:
        ordered = {pending.load for pending in self._pending.values()}
        loading = {pending.vm for pending in self._pending.values()}
        orders = []
        for key, wanted in sorted(self._target_by_key.items()):
            vm = key[0]
            if vm not in live or not self._may_load(key, wanted, now):
                continue
            uncovered = key[1:] in self._uncovered
            full = len(loading) >= self._max_concurrent_loads()
            if full and not uncovered and vm not in loading:
                continue
            loaded = LoadedRange(wanted, live[vm])
            for load in self._loads_of(key):
                if load in ordered or self._loaded.get(load) == loaded:
                    continue
                if now < self._retry_at.get(load, now):
                    continue
                loading.add(vm)
                orders.append(self._make_order(load, loaded, now))
        return orders

    def _make_order(
        self, load: _Load, loaded: LoadedRange, now: float
    ) -> RunnerOrder:
        self._orders += 1
        vm, model, version = load.key
        name = ids.RequestId(f"{self._fencing_number}.{self._orders}")
        self._pending[name] = _Pending(vm, load, loaded, now)
        order = control_messages.Order(
            name,
            self._fencing_number,
            model,
            version,
            load.adapter,
            loaded.held.first_layer,
            loaded.held.end_layer,
        )
        return RunnerOrder(vm, order)

    def _loads_of(self, key: HeldKey) -> list[_Load]:
        adapters = self._adapters_by_version.get((key[1], key[2]), ())
        return [_Load(key, None), *(_Load(key, a) for a in adapters)]

    def _may_load(
        self, key: HeldKey, wanted: placement.Range, now: float
    ) -> bool:
        if self.held_by_key.get(key, wanted) != wanted:
            return False
        vm = key[0]
        leaving = (
            other
            for other in self.held_by_key
            if other[0] == vm and other not in self._target_by_key
        )
        if any(leaving):
            return False
        if key[1:] in self._uncovered:
            return True
        removed_at = self._removed_at.get(vm)
        return (
            removed_at is None
            or now - removed_at >= LOAD_DELAY_AFTER_REMOVAL_SECONDS
        )

    def _max_concurrent_loads(self) -> int:
        runners = len({vm for vm, _, _ in self._target_by_key})
        return max(
            MIN_CONCURRENT_LOAD_COUNT,
            int(runners * MAX_CONCURRENT_LOAD_RATIO),
        )

    def _has_unfinished_move(self, vm: ids.VmId) -> bool:
        wanted = [key for key in self._target_by_key if key[0] == vm]
        return any(key not in self.held_by_key for key in wanted)

    def _find_uncovered(
        self, live: Mapping[ids.VmId, ids.Incarnation]
    ) -> set[plan.VersionKey]:
        held_by_version: dict[plan.VersionKey, list[placement.Range]] = {
            (model, version): [] for _, model, version in self._target_by_key
        }
        for (vm, model, version), held in self.held_by_key.items():
            if vm in live and (model, version) in held_by_version:
                held_by_version[model, version].append(held)
        return {
            key
            for key, held in held_by_version.items()
            if not _covers(held, self._layers_by_model.get(key[0], 0))
        }

    def _is_sole_holder(
        self,
        key: HeldKey,
        held: placement.Range,
        live: Mapping[ids.VmId, ids.Incarnation],
    ) -> bool:
        """Returns whether a runner is the only live holder of a layer."""
        _, model, version = key
        if not any(k[1:] == (model, version) for k in self._target_by_key):
            return False
        if key[0] not in live:
            return False
        others = [
            other_held
            for other, other_held in self.held_by_key.items()
            if other != key and other[1:] == key[1:] and other[0] in live
        ]
        return not all(
            any(o.first_layer <= layer < o.end_layer for o in others)
            for layer in range(held.first_layer, held.end_layer)
        )


def _covers(held: Sequence[placement.Range], layers: int) -> bool:
    return all(
        any(h.first_layer <= layer < h.end_layer for h in held)
        for layer in range(layers)
    )


def _ranges_of(of_plan: plan.Plan) -> dict[HeldKey, placement.Range]:
    return {
        (a.vm, a.model, a.version): placement.Range(a.first_layer, a.end_layer)
        for a in of_plan.assignments
    }
