"""Limits the memory that the requests of all callers hold together.

A small request is charged for what has been received of it. A large body is
read only once its whole size has been reserved, in the order in which the
bodies were announced: a body that is being read never waits for memory that
another such body holds. A quarter of the memory is left to small requests,
which therefore don't wait for large ones.
"""

from collections.abc import Callable
import enum

from nutmeglift_gateway import http_call

BYTES_PER_MEGABYTE = 1_000_000
DEFAULT_PROCESS_MEGABYTES = 300.0
"""Memory of a process whose settings don't limit it: the smallest VMs'."""
REQUESTS_RATIO = 0.25
"""Share of a process's memory for requests. The rest is for responses, the
buffers of connections, the state of the router and unused parts of the heap."""
LARGE_RATIO = 0.75
"""Largest share of the memory for requests that large bodies use."""
LARGE_BODY_BYTES = 64 * 1024
"""A body beyond this size needs a reservation."""
MAX_WAIT_SECONDS = 0.5
"""Longest wait for a reservation. Callers leave, or try elsewhere, after
a second in which nothing of their request was read."""
CHECKS_BYTES = 1_000_000
"""Memory for the platform's checks, which have no body."""
HEADER_OVERHEAD_BYTES = 160
"""Memory of a header's objects, beside its text."""


class State(enum.Enum):
    """How a request's memory is counted."""

    RECEIVED = "received"
    """By what has been received."""
    WAITING = "waiting"
    """By what has been received; it waits for a reservation."""
    RESERVED = "reserved"
    """By its largest size."""
    RELEASED = "released"


class Holding:
    """Memory that one request holds.

    Attributes:
        size: number of bytes that are counted for it.
        state: how they are counted.
        wanted: number of bytes that it waits for.
        on_reserved: called once they are reserved, after a wait.
    """

    __slots__ = ("on_reserved", "size", "state", "wanted")

    def __init__(self) -> None:
        self.size = 0
        self.state = State.RECEIVED
        self.wanted = 0
        self.on_reserved: Callable[[], None] | None = None


class Budget:
    """Memory for the requests of all callers.

    Attributes:
        limit: most bytes that all requests hold.
        used: number of bytes that are counted for them.
        reserved: number of these that are reserved for large bodies.
        reservation_limit: most bytes that are reserved for large bodies.
    """

    def __init__(self, limit: int) -> None:
        """Creates a budget of this many bytes."""
        self.limit = limit
        self.used = 0
        self.reserved = 0
        self.reservation_limit = int(limit * LARGE_RATIO)
        self._waiting: dict[Holding, None] = {}

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a reservation."""
        return len(self._waiting)

    def resize(self, holding: Holding, size: int) -> bool:
        """Counts what has been received of a request.

        Args:
            holding: memory of the request.
            size: all bytes received of it.

        Returns:
            Whether there is room for it; if not, nothing changes.
        """
        if holding.state is State.RELEASED:
            return False
        growth = size - holding.size
        if holding.state is State.RESERVED and growth <= 0:
            return True
        if growth > 0 and self.used + growth > self.limit:
            return False
        self._count(holding, size)
        return True

    def complete(self, holding: Holding, size: int) -> bool:
        """Counts a request that has been received; it needs no further memory.

        Args:
            holding: memory of the request.
            size: number of bytes that it holds.

        Returns:
            Whether there is room for it; if not, its size doesn't change.
        """
        growth = size - holding.size
        if (
            holding.state is State.RECEIVED
            and growth >= 0
            and self.used + growth <= self.limit
        ):
            # Most requests: nothing else changes.
            holding.size = size
            self.used += growth
            return True
        if holding.state is State.WAITING:
            del self._waiting[holding]
            holding.state = State.RECEIVED
            holding.on_reserved = None
        if not self.resize(holding, size):
            return False
        if holding.size > size:
            self._count(holding, size)
        self._reserve_next()
        return True

    def reserve(
        self, holding: Holding, size: int, on_reserved: Callable[[], None]
    ) -> bool:
        """Reserves memory now, or in turn.

        Args:
            holding: memory of the request.
            size: largest number of bytes that the request will hold.
            on_reserved: called once they are reserved, unless that is now.

        Returns:
            Whether the request may wait: False if so much is never reserved.
        """
        if size > self.reservation_limit:
            return False
        holding.wanted = size
        if not self._waiting and self._has_room(holding):
            self._grant(holding)
            return True
        holding.state = State.WAITING
        holding.on_reserved = on_reserved
        self._waiting[holding] = None
        return True

    def release(self, holding: Holding) -> None:
        """Returns the memory of a request that has ended."""
        if holding.state is State.RELEASED:
            return
        self.used -= holding.size
        if holding.state is State.RESERVED:
            self.reserved -= holding.size
        elif holding.state is State.WAITING:
            del self._waiting[holding]
            holding.on_reserved = None
        holding.size = 0
        holding.state = State.RELEASED
        if self._waiting:
            self._reserve_next()

    def _reserve_next(self) -> None:
        while self._waiting:
            holding = next(iter(self._waiting))
            if not self._has_room(holding):
                return
            del self._waiting[holding]
            on_reserved, holding.on_reserved = holding.on_reserved, None
            self._grant(holding)
            assert on_reserved is not None
            on_reserved()

    def _has_room(self, holding: Holding) -> bool:
        return (
            self.reserved + holding.wanted <= self.reservation_limit
            and self.used - holding.size + holding.wanted <= self.limit
        )

    def _grant(self, holding: Holding) -> None:
        self._count(holding, 0)
        holding.state = State.RESERVED
        self._count(holding, holding.wanted)

    def _count(self, holding: Holding, size: int) -> None:
        growth = size - holding.size
        holding.size = size
        self.used += growth
        if holding.state is State.RESERVED:
            self.reserved += growth


def for_process(megabytes: float | None) -> Budget:
    """Returns the budget of a process.

    Args:
        megabytes: memory beyond which the process is killed; None if it is not
            known.
    """
    return Budget(share(megabytes, REQUESTS_RATIO))


def share(megabytes: float | None, ratio: float) -> int:
    """Returns a share of a process's memory in bytes.

    Args:
        megabytes: memory beyond which the process is killed; None if it is not
            known.
        ratio: the share.
    """
    limit = (megabytes or DEFAULT_PROCESS_MEGABYTES) * BYTES_PER_MEGABYTE
    return int(limit * ratio)


def head_bytes(text_bytes: int, headers: http_call.Headers) -> int:
    """Returns the memory of a request's head.

    Args:
        text_bytes: number of bytes of the head, as received.
        headers: the headers received.
    """
    return text_bytes + HEADER_OVERHEAD_BYTES * len(headers)


SHARED_BUDGET = for_process(None)
"""The budget of connections that aren't given another."""
