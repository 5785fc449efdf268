"""Placement of one model version's layers on runners by local search."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import functools

import numpy as np

from nutmeglift import ids

MAX_PASS_COUNT = 4
WANTED_REPLICA_DOMAIN_COUNT = 2
"""Number of failure domains in which every layer should have a runner."""
REPLICA_SCORE_WEIGHT = 2.0
RANGE_LENGTH_SCORE_WEIGHT = 0.02
"""Favours long ranges, which need fewer hops."""
RANGE_CHANGE_COST_RATIO = 0.15
"""Gain, relative to a runner's rate, required to replace its whole range."""


@dataclasses.dataclass(frozen=True)
class Range:
    """A half-open range of layers; the end layer is excluded."""

    first_layer: int
    end_layer: int

    @property
    def layers(self) -> int:
        """Number of layers in the range."""
        return self.end_layer - self.first_layer

    def count_missing_from(self, held: "Range | None") -> int:
        """Returns how many of its layers are missing from another range."""
        if held is None:
            return self.layers
        shared = min(self.end_layer, held.end_layer) - max(
            self.first_layer, held.first_layer
        )
        return self.layers - max(0, shared)


@dataclasses.dataclass(frozen=True)
class RunnerCapacity:
    """Capacity of one runner for layers.

    Attributes:
        vm: the runner's VM.
        failure_domain: the VM's failure domain.
        rate: speed, in layers times positions per second.
        max_layers: maximum number of layers that fit in its memory.
    """

    vm: ids.VmId
    failure_domain: ids.FailureDomain
    rate: float
    max_layers: int


@dataclasses.dataclass(frozen=True)
class _Options:
    """The layer ranges that fit on a runner.

    Attributes:
        ranges: the ranges.
        mask: 1 for each cell in a range, shape (ranges, cells).
        layers: number of layers of each range, shape (ranges,).
    """

    ranges: tuple[Range, ...]
    mask: np.ndarray
    layers: np.ndarray


class Grid:
    """Layer boundaries at which ranges may start and end.

    Two neighbouring boundaries enclose a cell.

    Attributes:
        bounds: the boundaries, from 0 to the number of layers.
    """

    def __init__(self, bounds: Sequence[int]) -> None:
        self.bounds = tuple(bounds)
        self.widths = np.diff(np.array(self.bounds)).astype(float)
        self.options = functools.lru_cache(maxsize=64)(self._make_options)

    @property
    def cells(self) -> int:
        """Number of cells between the boundaries."""
        return len(self.bounds) - 1

    def find_range(self, held: Range) -> int | None:
        """Returns the index of the first cell, or None if off the grid."""
        inside = held.first_layer in self.bounds
        if not inside or held.end_layer not in self.bounds:
            return None
        return self.bounds.index(held.first_layer)

    def _make_options(self, max_layers: int) -> _Options:
        ranges = [
            Range(first, end)
            for index, first in enumerate(self.bounds)
            for end in self.bounds[index + 1 :]
            if end - first <= max_layers
        ]
        starts = np.array(self.bounds[:-1])
        first = np.array([r.first_layer for r in ranges], dtype=float)
        end = np.array([r.end_layer for r in ranges], dtype=float)
        mask = (starts >= first[:, None]) & (starts < end[:, None])
        return _Options(tuple(ranges), mask.astype(float), end - first)


def make_even_grid(layers: int, cells: int) -> Grid:
    """Returns a grid with cells of nearly equal size."""
    return Grid([layers * index // cells for index in range(cells + 1)])


def place(
    capacities: Sequence[RunnerCapacity],
    grid: Grid,
    held_by_vm: Mapping[ids.VmId, Range],
) -> dict[ids.VmId, Range]:
    """Returns a layer range for each runner that can hold at least one cell.

    Args:
        capacities: the runners' capacities.
        grid: the boundaries.
        held_by_vm: ranges that are loaded now; they are kept unless a change
            gains more than RANGE_CHANGE_COST_RATIO.
    """
    return _LocalSearch(capacities, grid, held_by_vm).run()


class _LocalSearch:
    def __init__(
        self,
        capacities: Sequence[RunnerCapacity],
        grid: Grid,
        held_by_vm: Mapping[ids.VmId, Range],
    ) -> None:
        self._capacities = sorted(capacities, key=lambda c: (-c.rate, c.vm))
        self._grid = grid
        self._held_by_vm = held_by_vm
        domains = sorted({c.failure_domain for c in capacities})
        self._row_by_domain = {d: i for i, d in enumerate(domains)}
        self._rates = np.zeros(grid.cells)
        self._runners = np.zeros((len(domains), grid.cells))
        self._range_by_vm: dict[ids.VmId, Range] = {}
        total = sum(c.rate for c in capacities)
        self._target_rate = total / float(grid.bounds[-1])

    def run(self) -> dict[ids.VmId, Range]:
        for capacity in self._capacities:
            held = self._held_by_vm.get(capacity.vm)
            if held is not None and self._fits(capacity, held):
                self._add(capacity, held)
        for capacity in self._capacities:
            if capacity.vm not in self._range_by_vm:
                self._reassign(capacity)
        for _ in range(MAX_PASS_COUNT):
            changes = [
                self._reassign(capacity) for capacity in self._capacities
            ]
            if not any(changes):
                break
        return self._range_by_vm

    def _fits(self, capacity: RunnerCapacity, held: Range) -> bool:
        return (
            held.layers <= capacity.max_layers
            and self._grid.find_range(held) is not None
        )

    def _reassign(self, capacity: RunnerCapacity) -> bool:
        options = self._grid.options(capacity.max_layers)
        if not options.ranges:
            return False
        old = self._range_by_vm.get(capacity.vm)
        if old is not None:
            self._remove(capacity, old)
        best = self._find_best(capacity, options, old)
        self._add(capacity, best)
        return best != old

    def _find_best(
        self, capacity: RunnerCapacity, options: _Options, old: Range | None
    ) -> Range:
        share = capacity.rate / options.layers
        deficit = np.maximum(self._target_rate - self._rates, 0.0)
        useful = np.minimum(deficit, share[:, None]) * options.mask
        gain = useful @ self._grid.widths / capacity.rate
        gain += self._replica_gain(capacity, options)
        gain += (
            RANGE_LENGTH_SCORE_WEIGHT * options.layers / self._grid.bounds[-1]
        )
        held = self._held_by_vm.get(capacity.vm)
        if held is not None:
            gain -= RANGE_CHANGE_COST_RATIO * self._missing_layer_ratio(
                options, held
            )
        best = int(np.argmax(gain))
        if old is not None:
            index = options.ranges.index(old)
            if gain[index] >= gain[best] - 1e-9:
                best = index
        return options.ranges[best]

    def _replica_gain(
        self, capacity: RunnerCapacity, options: _Options
    ) -> np.ndarray:
        row = self._row_by_domain[capacity.failure_domain]
        present = self._runners > 0
        lacking = (
            present.sum(axis=0) < WANTED_REPLICA_DOMAIN_COUNT
        ) & ~present[row]
        weighted = lacking * self._grid.widths
        weight = REPLICA_SCORE_WEIGHT / self._grid.bounds[-1]
        return np.asarray(options.mask @ weighted * weight)

    def _missing_layer_ratio(
        self, options: _Options, held: Range
    ) -> np.ndarray:
        missing = [r.count_missing_from(held) for r in options.ranges]
        return np.asarray(np.array(missing) / options.layers)

    def _add(self, capacity: RunnerCapacity, new: Range) -> None:
        self._range_by_vm[capacity.vm] = new
        self._add_to_totals(capacity, new, 1)

    def _remove(self, capacity: RunnerCapacity, old: Range) -> None:
        del self._range_by_vm[capacity.vm]
        self._add_to_totals(capacity, old, -1)

    def _add_to_totals(
        self, capacity: RunnerCapacity, changed: Range, sign: int
    ) -> None:
        first = self._grid.bounds.index(changed.first_layer)
        end = self._grid.bounds.index(changed.end_layer)
        self._rates[first:end] += sign * capacity.rate / changed.layers
        row = self._row_by_domain[capacity.failure_domain]
        self._runners[row, first:end] += sign
