"""An agent's connections to the agents of other stages."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable

from nutmeglift import cancellation
from nutmeglift import codec
from nutmeglift import errors
from nutmeglift_wire import link as links
from nutmeglift_wire import session as sessions

MAX_QUEUED_MESSAGES = 4096

Opener = Callable[[links.BaseLink], Awaitable[sessions.Session]]
LostListener = Callable[[str, errors.NutmegError], None]


class Peer:
    """A connection to another agent, opened on demand."""

    def __init__(
        self,
        address: str,
        dialer: links.BaseDialer,
        open_session: Opener,
        on_lost: LostListener,
    ) -> None:
        self._address = address
        self._dialer = dialer
        self._open_session = open_session
        self._on_lost = on_lost
        self._queued: collections.deque[codec.AnyMessage] = collections.deque()
        self._session: sessions.Session | None = None
        self._task: asyncio.Task[None] | None = None

    def post(self, message: codec.AnyMessage) -> None:
        """Sends a message, opening the connection if needed."""
        if self._session is not None and self._session.post(message):
            return
        if len(self._queued) >= MAX_QUEUED_MESSAGES:
            self._on_lost(
                self._address,
                errors.LinkClosedError("too many queued messages"),
            )
            return
        self._queued.append(message)
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Closes the connection."""
        if self._task is None:
            return
        await cancellation.cancel_and_wait([self._task])

    async def _run(self) -> None:
        try:
            # asyncio.wait_for can swallow a cancellation.
            async with asyncio.timeout(sessions.HANDSHAKE_TIMEOUT_SECONDS):
                session = await self._open()
        except errors.NutmegError as error:
            self._handle_lost(error)
            return
        except TimeoutError:
            self._handle_lost(errors.LinkClosedError("the handshake timed out"))
            return
        self._session = session
        while self._queued:
            session.post(self._queued.popleft())
        reason = await session.run()
        self._handle_lost(reason)

    async def _open(self) -> sessions.Session:
        link = await self._dialer.dial(self._address)
        try:
            return await self._open_session(link)
        except (errors.NutmegError, asyncio.CancelledError):
            await link.close()
            raise

    @property
    def is_idle(self) -> bool:
        """Whether there is neither a connection nor a message to send."""
        return self._task is None or self._task.done()

    def _handle_lost(self, reason: errors.NutmegError) -> None:
        self._session = None
        self._queued.clear()
        self._on_lost(self._address, reason)


class Peers:
    """The connections to all peers, by address."""

    def __init__(
        self,
        dialer: links.BaseDialer,
        open_session: Opener,
        on_lost: LostListener,
    ) -> None:
        self._dialer = dialer
        self._open_session = open_session
        self._on_lost = on_lost
        self._peer_by_address: dict[str, Peer] = {}

    def post(self, address: str, message: codec.AnyMessage) -> None:
        """Sends a message to the agent at an address."""
        peer = self._peer_by_address.get(address)
        if peer is None:
            peer = Peer(
                address, self._dialer, self._open_session, self._on_lost
            )
            self._peer_by_address[address] = peer
        peer.post(message)

    def forget_idle(self) -> None:
        """Forgets the peers without a connection."""
        for address, peer in list(self._peer_by_address.items()):
            if peer.is_idle:
                del self._peer_by_address[address]

    async def stop(self) -> None:
        """Closes all connections."""
        for peer in self._peer_by_address.values():
            await peer.stop()
