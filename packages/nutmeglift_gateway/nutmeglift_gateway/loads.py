"""Load of each backend server, summed over all routers."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import dataclasses
import itertools

PEER_REPORT_TIMEOUT_SECONDS = 1.5
"""Reservations of a router expire once five of its reports are missing."""

FULL_SERVER_BACKOFF_SECONDS = 0.25
"""Time without new requests for a server that rejected one as full. Capacity on
it becomes free, and peers report their load, about this often."""

ROUNDING_TOKEN_LAYERS = 1e-3
"""Larger than the rounding error left once all reservations have ended."""


@dataclasses.dataclass(slots=True)
class Load:
    """Work in flight on one backend server.

    Attributes:
        requests: requests whose path includes it.
        requests_as_first: requests for which it is the first runner.
        token_layers: reserved KV cache, in tokens times layers.
        prompt_token_layers: prompts that it has not yet processed, in tokens
            times layers.
        version: differs after each change, also from those of other servers.
    """

    requests: int = 0
    requests_as_first: int = 0
    token_layers: float = 0.0
    prompt_token_layers: float = 0.0
    version: int = dataclasses.field(default=0, compare=False, repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Capacity that one request reserves on one backend server.

    Attributes:
        address: address of the server.
        first: whether the request is sent to it.
        token_layers: KV cache, in tokens times layers.
        prompt_token_layers: its part of the prompt, in tokens times layers.
    """

    address: str
    first: bool
    token_layers: float
    prompt_token_layers: float = 0.0


NO_LOAD = Load()

_versions = itertools.count(1)


class LoadTracker:
    """Sums this router's reservations and those that other routers report.

    Attributes:
        on_freed: called when capacity may have become free.
    """

    def __init__(self) -> None:
        self.on_freed: Callable[[], None] = lambda: None
        self._own_by_address: dict[str, Load] = {}
        self._peer_loads: dict[str, tuple[float, Mapping[str, Load]]] = {}
        self._total_by_address: dict[str, Load] = {}
        self._full_until_by_address: dict[str, float] = {}

    def record_full(self, now: float, address: str) -> None:
        """Records that a server rejected a request because it is full."""
        self._full_until_by_address[address] = now + FULL_SERVER_BACKOFF_SECONDS

    def full(self, now: float) -> set[str]:
        """Returns the addresses of servers that recently rejected a request."""
        if self._full_until_by_address:
            self._full_until_by_address = {
                address: until
                for address, until in self._full_until_by_address.items()
                if until > now
            }
        return set(self._full_until_by_address)

    def reserve(self, reservations: tuple[Reservation, ...]) -> None:
        """Adds the reservations of a request that starts."""
        for reservation in reservations:
            _add(self._own_by_address, reservation, 1)
            _add(self._total_by_address, reservation, 1)

    def release(self, reservations: tuple[Reservation, ...]) -> None:
        """Removes the reservations of a request that ended."""
        for reservation in reservations:
            _add(self._own_by_address, reservation, -1)
            _add(self._total_by_address, reservation, -1)
        if reservations:
            self.on_freed()

    @contextlib.contextmanager
    def trial(self, reservations: tuple[Reservation, ...]) -> Iterator[None]:
        """Counts a request and its prompt while the context lasts.

        The context must not be left before it ends, as by `await`.
        """
        known = {
            each.address: self._total_by_address.get(each.address)
            for each in reservations
        }
        for address, load in known.items():
            if load is not None:
                self._total_by_address[address] = dataclasses.replace(load)
        for reservation in reservations:
            _add(self._total_by_address, reservation, 1)
        self._change_prompts(self._total_by_address, reservations, 1)
        try:
            yield
        finally:
            # The loads as they were, with the same versions.
            for address, load in known.items():
                if load is not None:
                    self._total_by_address[address] = load
                else:
                    self._total_by_address.pop(address, None)

    def begin_prompts(self, reservations: tuple[Reservation, ...]) -> None:
        """Adds the prompt of a request that was sent."""
        self._add_prompts(reservations, 1)

    def end_prompts(self, reservations: tuple[Reservation, ...]) -> None:
        """Removes the prompt of a request whose first event has arrived."""
        self._add_prompts(reservations, -1)

    def _add_prompts(
        self, reservations: tuple[Reservation, ...], sign: int
    ) -> None:
        for load_by_address in (self._own_by_address, self._total_by_address):
            self._change_prompts(load_by_address, reservations, sign)

    @staticmethod
    def _change_prompts(
        load_by_address: dict[str, Load],
        reservations: tuple[Reservation, ...],
        sign: int,
    ) -> None:
        for reservation in reservations:
            change = Load(prompt_token_layers=reservation.prompt_token_layers)
            _accumulate(load_by_address, reservation.address, change, sign)

    def record_report(
        self, now: float, peer: str, loads: Mapping[str, Load]
    ) -> None:
        """Replaces the loads that a peer reported before."""
        _, known = self._peer_loads.get(peer, (0.0, {}))
        self._peer_loads[peer] = (now, loads)
        totals = self._total_by_address
        for address, load in loads.items():
            old = known.get(address)
            if old is load:
                continue
            if old is not None:
                _accumulate(totals, address, old, -1)
            _accumulate(totals, address, load, 1)
        for address in known.keys() - loads.keys():
            _accumulate(totals, address, known[address], -1)
        self.on_freed()

    def report_age(self, now: float) -> float:
        """Returns the seconds since the oldest of the peers' last reports."""
        return max(
            (now - received_at for received_at, _ in self._peer_loads.values()),
            default=0.0,
        )

    def expire(self, now: float) -> None:
        """Drops the reports of peers that no longer send any."""
        silent = [
            peer
            for peer, (received_at, _) in self._peer_loads.items()
            if now - received_at > PEER_REPORT_TIMEOUT_SECONDS
        ]
        for peer in silent:
            self._subtract_report(peer)

    def own(self) -> dict[str, Load]:
        """Returns this router's own load by address, without idle servers."""
        return dict(self._own_by_address)

    def at(self, address: str) -> Load:
        """Returns the load of a backend server over all routers."""
        return self._total_by_address.get(address, NO_LOAD)

    def versions(self, addresses: Sequence[str]) -> tuple[int, ...]:
        """Returns the versions of the loads of several backend servers."""
        get = self._total_by_address.get
        return tuple([get(each, NO_LOAD).version for each in addresses])

    def _subtract_report(self, peer: str) -> None:
        _, loads = self._peer_loads.pop(peer, (0.0, {}))
        for address, load in loads.items():
            _accumulate(self._total_by_address, address, load, -1)


def _add(loads: dict[str, Load], reservation: Reservation, sign: int) -> None:
    change = Load(1, int(reservation.first), reservation.token_layers)
    _accumulate(loads, reservation.address, change, sign)


def _accumulate(
    loads: dict[str, Load], address: str, change: Load, sign: int
) -> None:
    """Adds a change to a server's load; an idle server has no entry."""
    load = loads.get(address)
    if load is None:
        load = loads[address] = Load()
    load.version = next(_versions)
    load.requests += sign * change.requests
    load.requests_as_first += sign * change.requests_as_first
    load.token_layers += sign * change.token_layers
    load.prompt_token_layers += sign * change.prompt_token_layers
    if not load.requests and abs(load.token_layers) < ROUNDING_TOKEN_LAYERS:
        del loads[address]
