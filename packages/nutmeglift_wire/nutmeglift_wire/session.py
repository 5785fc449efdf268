"""An authenticated connection with heartbeats in both directions."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import enum
import hmac
import logging
import secrets

import msgspec

from nutmeglift import cancellation
from nutmeglift import codec
from nutmeglift import errors
from nutmeglift import messages
from nutmeglift import settings
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import link as links

NONCE_BYTES = 16
HEARTBEAT_SLOTS_PER_INTERVAL = 8
"""Heartbeats are aligned to slots so that one wake-up serves many sessions."""
MAX_QUEUED_MESSAGES = 16384
HANDSHAKE_TIMEOUT_SECONDS = 2.0

_logger = logging.getLogger(__name__)

HelloMaker = Callable[[], messages.Hello]
HeartbeatMaker = Callable[[int], messages.Heartbeat]
Handler = Callable[["Session", codec.AnyMessage], None]


class LinkEnd(enum.Enum):
    """The role of a process in establishing a connection."""

    DIALER = "dialer"
    LISTENER = "listener"


def make_proof(
    key: bytes, end: LinkEnd, sender: messages.Hello, receiver: messages.Hello
) -> bytes:
    """Returns the proof that the sender of a Hello knows the shared key.

    It covers both nonces, both identities and the sender's end, so that no
    process can be made to produce a proof that is valid for another process or
    for the other end.
    """
    parts = [end.value.encode()]
    for hello in (sender, receiver):
        identity = f"{hello.role.value}/{hello.vm}/{hello.incarnation}"
        parts += [hello.nonce, identity.encode()]
    sized = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.digest(key, sized, "sha256")


async def shake_hands_as_dialer(
    link: links.BaseLink, key: bytes, own: messages.Hello
) -> messages.Hello:
    """Exchanges Hellos and proofs as the end that opened the connection.

    Returns:
        The peer's Hello.

    Raises:
        errors.MalformedMessageError: the peer's protocol or proof is wrong.
        errors.LinkClosedError: the connection closed.
    """
    own = _with_nonce(own)
    await link.send(own)
    peer = _expect_hello(await link.receive())
    _check_not_self(own, peer)
    _check_proof(peer.proof, make_proof(key, LinkEnd.LISTENER, peer, own))
    proof = make_proof(key, LinkEnd.DIALER, own, peer)
    await link.send(msgspec.structs.replace(own, proof=proof))
    return peer


async def shake_hands_as_listener(
    link: links.BaseLink,
    key: bytes,
    make_own: Callable[[messages.Hello], messages.Hello],
) -> messages.Hello:
    """Exchanges Hellos and proofs as the end that accepted the connection.

    Args:
        link: the connection.
        key: the key shared between processes.
        make_own: returns this end's Hello for the peer's Hello.

    Returns:
        The peer's Hello, proven.

    Raises:
        errors.MalformedMessageError: the peer's protocol or proof is wrong.
        errors.LinkClosedError: the connection closed.
    """
    first = _expect_hello(await link.receive())
    own = _with_nonce(make_own(first))
    _check_not_self(own, first)
    proof = make_proof(key, LinkEnd.LISTENER, own, first)
    await link.send(msgspec.structs.replace(own, proof=proof))
    last = _expect_hello(await link.receive())
    _check_proof(last.proof, make_proof(key, LinkEnd.DIALER, first, own))
    return first


def _expect_hello(message: codec.AnyMessage) -> messages.Hello:
    if not isinstance(message, messages.Hello):
        raise errors.MalformedMessageError("the first message must be Hello")
    if message.protocol != messages.PROTOCOL_VERSION:
        raise errors.MalformedMessageError(
            f"protocol version {message.protocol} is not supported"
        )
    return message


def _with_nonce(hello: messages.Hello) -> messages.Hello:
    nonce = secrets.token_bytes(NONCE_BYTES)
    return msgspec.structs.replace(hello, nonce=nonce)


def _check_not_self(own: messages.Hello, peer: messages.Hello) -> None:
    if (own.role, own.vm, own.incarnation) == (
        peer.role,
        peer.vm,
        peer.incarnation,
    ):
        raise errors.MalformedMessageError(
            "the peer claims to be this process",
            kind=errors.ErrorKind.UNAUTHENTICATED,
        )


def _check_proof(proof: bytes, expected: bytes) -> None:
    if not hmac.compare_digest(expected, proof):
        raise errors.MalformedMessageError(
            "the peer's proof does not match the shared key",
            kind=errors.ErrorKind.UNAUTHENTICATED,
        )


class Session:
    """Sends and receives messages until the connection ends.

    Attributes:
        peer: the peer's Hello.
        last_received_at: clock time of the last received message.
    """

    def __init__(
        self,
        link: links.BaseLink,
        peer: messages.Hello,
        *,
        clock: clocks.BaseClock,
        bounds: settings.Bounds,
        handler: Handler,
        make_heartbeat: HeartbeatMaker,
    ) -> None:
        self.peer = peer
        self.last_received_at = clock.now()
        self._link = link
        self._clock = clock
        self._bounds = bounds
        self._handler = handler
        self._make_heartbeat = make_heartbeat
        self._outgoing: collections.deque[codec.AnyMessage] = (
            collections.deque()
        )
        self._posted = asyncio.Event()
        self._queue_overflowed = False
        self._closed = False

    @property
    def closed(self) -> bool:
        """Whether the session can no longer send."""
        return self._closed

    def post(self, message: codec.AnyMessage) -> bool:
        """Queues a message for sending, without waiting.

        Returns:
            False if the session is closed or its send queue is full; the
            message is not sent.
        """
        if self._closed:
            return False
        if len(self._outgoing) >= MAX_QUEUED_MESSAGES:
            self._queue_overflowed = True
        else:
            self._outgoing.append(message)
        self._posted.set()
        return not self._queue_overflowed

    async def run(self) -> errors.NutmegError:
        """Runs the session.

        Returns:
            The error that ended it.
        """
        tasks = [
            asyncio.create_task(self._write()),
            asyncio.create_task(self._read()),
            asyncio.create_task(self._send_heartbeats()),
        ]
        try:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            # A dead peer would never complete a closing handshake.
            self._link.abort()
            return _end_reason(done)
        finally:
            self._closed = True
            await cancellation.cancel_and_wait(tasks)
            with contextlib.suppress(errors.NutmegError, TimeoutError):
                await self._link.close()

    async def flush(self) -> None:
        """Waits until all posted messages are sent or the session closes."""
        while self._outgoing and not self._closed:
            await self._clock.sleep(0)

    async def _write(self) -> None:
        while True:
            await self._posted.wait()
            self._posted.clear()
            while self._outgoing:
                await self._link.send(self._outgoing[0])
                self._outgoing.popleft()

    async def _read(self) -> None:
        while True:
            message = await self._link.receive()
            self.last_received_at = self._clock.now()
            self._handler(self, message)

    async def _send_heartbeats(self) -> None:
        sequence = 0
        while True:
            before = self._clock.now()
            await self._clock.sleep(self._seconds_until_heartbeat(before))
            self._check_liveness(before)
            sequence += 1
            self.post(self._make_heartbeat(sequence))

    def _seconds_until_heartbeat(self, now: float) -> float:
        # Sessions with heartbeats in the same slot cause one wake-up.
        interval = self._bounds.heartbeat_seconds
        slot = interval / HEARTBEAT_SLOTS_PER_INTERVAL
        wake = (now + interval) // slot * slot
        return wake - now

    def _check_liveness(self, before: float) -> None:
        if self._queue_overflowed:
            raise errors.LinkClosedError("the peer reads too slowly")
        now = self._clock.now()
        bound = self._bounds.silence_seconds
        if now - before > bound:
            # This process was paused, so the elapsed time says nothing about
            # the peer.
            self.last_received_at = now
            return
        if now - self.last_received_at > bound:
            raise errors.LinkClosedError(
                f"no byte from {self.peer.vm} for {bound} s"
            )


def _end_reason(done: set[asyncio.Task[None]]) -> errors.NutmegError:
    for task in done:
        error = task.exception()
        if isinstance(error, errors.NutmegError):
            return error
        if error is not None:
            _logger.error("a message was not handled", exc_info=error)
            return errors.NutmegError(f"message not handled: {error!r}")
    return errors.LinkClosedError("the session ended")
