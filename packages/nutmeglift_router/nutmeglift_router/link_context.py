"""Shared dependencies of a router's connections to agents and routers."""

import asyncio
from collections.abc import Callable
import dataclasses
import random

from nutmeglift import errors
from nutmeglift import messages
from nutmeglift import settings
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import link as links
from nutmeglift_wire import metrics as metric
from nutmeglift_wire import session as sessions

PeerCheck = Callable[[messages.Hello], None]
"""Raises errors.MalformedMessageError for a peer that is not acceptable."""


def _accept_any_peer(peer: messages.Hello) -> None:
    """Accepts any peer."""


@dataclasses.dataclass(frozen=True)
class LinkContext:
    """Opens connections and creates their sessions.

    Attributes:
        key: the key shared by all processes.
        clock: the clock.
        rng: source of random numbers for jitter.
        dialer: opens connections.
        bounds: limits of time and size.
        metrics: the metrics.
        make_hello: creates this router's Hello.
        make_heartbeat: creates this router's heartbeats.
    """

    key: bytes
    clock: clocks.BaseClock
    rng: random.Random
    dialer: links.BaseDialer
    bounds: settings.Bounds
    metrics: metric.BaseMetrics
    make_hello: sessions.HelloMaker
    make_heartbeat: sessions.HeartbeatMaker

    async def open(
        self,
        address: str,
        hello: messages.Hello,
        handler: sessions.Handler,
        check: PeerCheck = _accept_any_peer,
    ) -> sessions.Session:
        """Opens a connection and exchanges Hellos.

        Raises:
            errors.NutmegError: the connection failed or the peer was rejected.
            TimeoutError: the handshake timed out.
        """
        link = await self.dialer.dial(address)
        try:
            # asyncio.wait_for can swallow a cancellation.
            async with asyncio.timeout(sessions.HANDSHAKE_TIMEOUT_SECONDS):
                peer = await sessions.shake_hands_as_dialer(
                    link, self.key, hello
                )
            check(peer)
        except (errors.NutmegError, TimeoutError):
            await link.close()
            raise
        return self.make_session(link, peer, handler)

    def make_session(
        self,
        link: links.BaseLink,
        peer: messages.Hello,
        handler: sessions.Handler,
    ) -> sessions.Session:
        """Creates a session on a connection after the exchange of Hellos."""
        return sessions.Session(
            link,
            peer,
            clock=self.clock,
            bounds=self.bounds,
            handler=handler,
            make_heartbeat=self.make_heartbeat,
        )
