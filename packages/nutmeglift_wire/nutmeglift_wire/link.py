"""Connections between nutmeglift processes, and an in-memory fake."""

import abc
import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from nutmeglift import codec
from nutmeglift import errors
from nutmeglift_wire import clock as clocks


class BaseLink(abc.ABC):
    """A connection that carries messages in order."""

    @abc.abstractmethod
    async def send(self, message: codec.AnyMessage) -> None:
        """Sends a message.

        Raises:
            errors.LinkClosedError: the connection is closed.
        """

    @abc.abstractmethod
    async def receive(self) -> codec.AnyMessage:
        """Waits for the next message.

        Raises:
            errors.LinkClosedError: the connection is closed.
            errors.MalformedMessageError: the peer sent no valid message.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes the connection after everything sent is flushed."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Closes the connection immediately, without waiting for the peer."""


class BaseDialer(abc.ABC):
    """Opens connections."""

    @abc.abstractmethod
    async def dial(self, address: str) -> BaseLink:
        """Opens a connection to "ip:port".

        Raises:
            errors.LinkClosedError: no process accepts connections there.
        """


Acceptor = Callable[[BaseLink], Awaitable[None]]
"""Serves an accepted connection until it ends."""


@dataclasses.dataclass
class _Direction:
    """One direction of a connection.

    Attributes:
        queue: frames delivered to the receiver; None marks the end.
        silent: whether frames sent are dropped without an error.
        delay: seconds from sending to arrival.
        last_arrival: loop time at which the last frame sent arrives.
        in_transit: frames sent that have not arrived yet.
    """

    queue: asyncio.Queue[bytes | None]
    silent: bool = False
    delay: float = 0.0
    last_arrival: float = 0.0
    in_transit: collections.deque[bytes | None] = dataclasses.field(
        default_factory=collections.deque
    )

    def deliver(self) -> None:
        """Delivers the oldest frame in transit."""
        self.queue.put_nowait(self.in_transit.popleft())


class MemoryLink(BaseLink):
    """One end of an in-memory connection."""

    def __init__(
        self,
        source: str,
        target: str,
        outgoing: _Direction,
        incoming: _Direction,
        clock: clocks.BaseClock,
    ) -> None:
        self.source = source
        self.target = target
        self.outgoing = outgoing
        self._incoming = incoming
        self._clock = clock
        self.closed = False

    async def send(self, message: codec.AnyMessage) -> None:
        """Sends the encoded message; an injected fault may drop it."""
        await self.send_frame(codec.encode(message))

    async def send_frame(self, frame: bytes) -> None:
        """Sends raw bytes as one frame."""
        await self._wait_until_running()
        if self.closed:
            raise errors.LinkClosedError("the connection is closed")
        self._put(frame)

    async def receive(self) -> codec.AnyMessage:
        """Waits for the next message."""
        frame = await self._incoming.queue.get()
        await self._wait_until_running()
        if frame is None or self.closed:
            self.closed = True
            raise errors.LinkClosedError("the connection is closed")
        return codec.decode(frame)

    async def close(self) -> None:
        """Closes both directions."""
        self.abort()

    def abort(self) -> None:
        """Closes both directions."""
        if self.closed:
            return
        self.closed = True
        self._put(None)
        self._incoming.queue.put_nowait(None)

    def _put(self, frame: bytes | None) -> None:
        direction = self.outgoing
        if direction.silent:
            return
        loop = asyncio.get_running_loop()
        arrival = max(loop.time() + direction.delay, direction.last_arrival)
        direction.last_arrival = arrival
        waits = bool(direction.in_transit) or arrival > loop.time()
        if not waits:
            direction.queue.put_nowait(frame)
            return
        # Timers due at the same time fire in any order, so each one delivers
        # the oldest frame, not one bound to it.
        direction.in_transit.append(frame)
        loop.call_at(arrival, direction.deliver)

    async def _wait_until_running(self) -> None:
        if isinstance(self._clock, clocks.PausableClock):
            await self._clock.wait_until_running()


class MemoryNetwork:
    """Connects in-memory processes and injects network faults."""

    def __init__(self) -> None:
        self._acceptor_by_address: dict[str, Acceptor] = {}
        self._clock_by_address: dict[str, clocks.BaseClock] = {}
        self._links: list[MemoryLink] = []
        self._partitioned: set[frozenset[str]] = set()
        self._delay_by_pair: dict[frozenset[str], float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def listen(
        self, address: str, acceptor: Acceptor, clock: clocks.BaseClock
    ) -> None:
        """Registers the acceptor of connections to an address."""
        self._acceptor_by_address[address] = acceptor
        self._clock_by_address[address] = clock

    def dialer(self, source: str, clock: clocks.BaseClock) -> "MemoryDialer":
        """Returns a dialer for the process at an address."""
        return MemoryDialer(self, source, clock)

    def kill(self, address: str) -> None:
        """Kills a process: its connections break immediately."""
        self._acceptor_by_address.pop(address, None)
        for link in self._links_of(address):
            link.outgoing.queue.put_nowait(None)

    def silence(self, one: str, other: str) -> None:
        """Drops, permanently, all frames on open connections between two."""
        for link in self._links:
            if {link.source, link.target} == {one, other}:
                link.outgoing.silent = True

    def cut(self, one: str, other: str) -> None:
        """Closes open connections between two addresses; new ones work."""
        for link in self._links:
            if {link.source, link.target} == {one, other}:
                link.outgoing.queue.put_nowait(None)

    def partition(self, one: str, other: str) -> None:
        """Partitions two addresses.

        Open connections drop all frames, new ones fail.
        """
        self._partitioned.add(frozenset({one, other}))
        self.silence(one, other)

    def join(self, one: str, other: str) -> None:
        """Ends a partition: the two addresses can connect again."""
        self._partitioned.discard(frozenset({one, other}))

    def degrade(self, one: str, other: str, delay: float) -> None:
        """Sets the one-way delay between two addresses, in seconds."""
        self._delay_by_pair[frozenset({one, other})] = delay
        for link in self._links:
            if {link.source, link.target} == {one, other}:
                link.outgoing.delay = delay

    async def connect(
        self, source: str, target: str, clock: clocks.BaseClock
    ) -> MemoryLink:
        """Opens a connection."""
        pair = frozenset({source, target})
        delay = self._delay_by_pair.get(pair, 0.0)
        await asyncio.sleep(delay)
        acceptor = self._acceptor_by_address.get(target)
        if acceptor is None or pair in self._partitioned:
            raise errors.LinkClosedError(f"no listener at {target}")
        there = _Direction(asyncio.Queue(), delay=delay)
        back = _Direction(asyncio.Queue(), delay=delay)
        near = MemoryLink(source, target, there, back, clock)
        target_clock = self._clock_by_address[target]
        far = MemoryLink(target, source, back, there, target_clock)
        self._links = [link for link in self._links if not link.closed]
        self._links += [near, far]
        task = asyncio.ensure_future(acceptor(far))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return near

    def _links_of(self, address: str) -> list[MemoryLink]:
        return [
            link
            for link in self._links
            if address in {link.source, link.target}
        ]


class MemoryDialer(BaseDialer):
    """Opens in-memory connections."""

    def __init__(
        self, network: MemoryNetwork, source: str, clock: clocks.BaseClock
    ) -> None:
        self._network = network
        self._source = source
        self._clock = clock

    async def dial(self, address: str) -> BaseLink:
        """Opens a connection."""
        return await self._network.connect(self._source, address, self._clock)
