"""What a router's connections to agents and to other routers share."""

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
"""Raises errors.MalformedMessageError for a peer that is not wanted."""


def _accept_any_peer(peer: messages.Hello) -> None:
    """Takes any peer."""


@dataclasses.dataclass(frozen=True)
class LinkContext:
    """Opens connections and makes sessions of them.

    Attributes:
        key: the key shared between processes.
        clock: the clock.
        rng: random numbers, for jitter.
        dialer: opens connections.
        bounds: bounds of time and size.
        metrics: the metrics.
        make_hello: makes this router's Hello.
        make_heartbeat: makes its heartbeats.
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
            errors.NutmegError: nobody answers, or the peer is not wanted.
            TimeoutError: the peer does not answer in time.
        """
        link = await self.dialer.dial(address)
        try:
            # wait_for can swallow a cancellation.
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
        """Makes a session of a connection whose Hellos were exchanged."""
        return sessions.Session(
            link,
            peer,
            clock=self.clock,
            bounds=self.bounds,
            handler=handler,
            make_heartbeat=self.make_heartbeat,
        )
