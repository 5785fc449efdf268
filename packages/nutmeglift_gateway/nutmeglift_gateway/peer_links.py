"""Maintains a websocket connection to every other router."""

import asyncio
from collections.abc import Callable
import functools
import random

from websockets import exceptions
from websockets.asyncio import client
from websockets.asyncio import connection
from websockets.asyncio import server

from nutmeglift import decoding
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import retry
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import early_listeners
from nutmeglift_gateway import freshness
from nutmeglift_gateway import peer_messages
from nutmeglift_gateway import peer_state
from nutmeglift_gateway import relayed_changes
from nutmeglift_gateway import store_reader

MIN_REPORT_INTERVAL_SECONDS = 0.02
"""Shortest interval, for urgent changes; changes within it are combined in one
report."""
SILENCE_TIMEOUT_SECONDS = 1.2
"""A link that has received no message for about five intervals is
re-established."""
SILENCE_TOLERANCE_SECONDS = 0.2
"""The timeout is moved at most this often, because timers cost processor time;
a silent link may be found earlier by as much."""
OPEN_TIMEOUT_SECONDS = 0.5
CLOSE_TIMEOUT_SECONDS = 0.1
"""Longest wait for a peer's closing handshake, as the process is about to
exit."""
DIAL_INTERVAL_SECONDS = 0.2
"""Interval at which the list of routers is checked."""


class PeerLinks:
    """Links to the other routers.

    Each router dials the routers with greater names, and accepts links from the
    others.
    """

    def __init__(
        self,
        board: boards.Board,
        reader: store_reader.StoreReader,
        vm: str,
        log: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        self._board = board
        self._reader = reader
        self._vm = vm
        self._log = log
        self._rng = rng
        self._task_by_peer: dict[str, asyncio.Task[None]] = {}
        self._outboxes: set[_Outbox] = set()
        reader.on_changes = self._forward_changes

    async def serve(self, address: str) -> None:
        """Accepts links until cancelled."""
        async with server.serve(
            self._run_link,
            # With an address, uvloop starts threads that resolve it, and waits
            # for them.
            sock=early_listeners.open_listener(address),
            compression=None,
            max_size=peer_messages.MAX_MESSAGE_BYTES,
            ping_interval=None,
            close_timeout=CLOSE_TIMEOUT_SECONDS,
        ):
            await asyncio.get_running_loop().create_future()

    async def dial(self) -> None:
        """Maintains links to the routers with greater names until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            wanted = {
                name: address
                for name, address in self._board.router_by_name.items()
                if name > self._vm
            }
            live = self._board.live_peers.domain_by_name(loop.time())
            for name in list(self._task_by_peer):
                # A router that the store does not serve loses its entry, but
                # goes on with its peers' confirmations.
                if name not in wanted and name not in live:
                    self._task_by_peer.pop(name).cancel()
            for name, address in wanted.items():
                task = self._task_by_peer.get(name)
                if task is None or task.done():
                    self._task_by_peer[name] = loop.create_task(
                        self._maintain_link(name, address)
                    )
                    self._task_by_peer[name].add_done_callback(
                        functools.partial(self._log_failure, name)
                    )
            await asyncio.sleep(DIAL_INTERVAL_SECONDS)

    def _log_failure(self, name: str, task: "asyncio.Task[None]") -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self._log.write("peer link failed", peer=name, detail=repr(error))

    def _forward_changes(
        self, after: ids.Revision, events: list[kv.WatchEvent]
    ) -> None:
        """Forwards changes of the store that this router's watch returned.

        A planner's changes go to all routers, those of another one to the
        routers of its failure domain.
        """
        messages = relayed_changes.encode(
            after, events, self._reader.view.catalog.key
        )
        plans = bool(self._board.fence)
        for outbox in self._outboxes:
            if not plans and outbox.domain() != self._board.home:
                continue
            for message in messages:
                outbox.put(message)

    async def _maintain_link(self, name: str, address: str) -> None:
        backoff = retry.Backoff(self._rng)
        while True:
            address = self._board.router_by_name.get(name, address)
            try:
                async with client.connect(
                    f"ws://{address}/",
                    compression=None,
                    max_size=peer_messages.MAX_MESSAGE_BYTES,
                    open_timeout=OPEN_TIMEOUT_SECONDS,
                    close_timeout=CLOSE_TIMEOUT_SECONDS,
                    ping_interval=None,
                    proxy=None,
                ) as link:
                    backoff.reset()
                    await self._run_link(link)
            except (
                OSError,
                TimeoutError,
                exceptions.WebSocketException,
            ) as error:
                self._log.write(
                    "peer not reached", peer=name, detail=repr(error)
                )
            await asyncio.sleep(backoff.next_seconds())

    async def _run_link(self, link: connection.Connection) -> None:
        state = peer_state.PeerState(self._board, self._reader, self._vm)
        sender = asyncio.get_running_loop().create_task(
            self._send_reports(link, state)
        )
        try:
            await self._receive(link, state)
        except TimeoutError:
            self._log.write("peer silent", peer=str(link.remote_address))
        except (exceptions.ConnectionClosed, OSError) as error:
            self._log.write(
                "peer link closed",
                peer=str(link.remote_address),
                detail=repr(error),
            )
        except errors.MalformedMessageError as error:
            self._log.write(
                "peer message malformed",
                peer=str(link.remote_address),
                detail=str(error),
            )
        except Exception as error:
            # What the peer sent costs this link alone; it is dialed again.
            self._log.write(
                "peer link failed",
                peer=str(link.remote_address),
                detail=decoding.describe(error),
            )
        finally:
            sender.cancel()
            # The closing handshake waits without limit for a peer that reads
            # nothing, even if this task is cancelled.
            link.transport.abort()

    async def _receive(
        self, link: connection.Connection, state: peer_state.PeerState
    ) -> None:
        loop = asyncio.get_running_loop()
        silent_at = loop.time() + SILENCE_TIMEOUT_SECONDS
        async with asyncio.timeout_at(silent_at) as limit:
            while True:
                raw = await link.recv()
                if isinstance(raw, str):
                    raise errors.MalformedMessageError(
                        "received a text message; expected binary"
                    )
                message = peer_messages.decode(raw)
                now = loop.time()
                responses = state.handle_message(
                    message, now, freshness.boot_clock()
                )
                for response in responses:
                    await link.send(peer_messages.encode(response))
                if now + SILENCE_TIMEOUT_SECONDS - silent_at >= (
                    SILENCE_TOLERANCE_SECONDS
                ):
                    silent_at = now + SILENCE_TIMEOUT_SECONDS
                    limit.reschedule(silent_at)

    async def _send_reports(
        self, link: connection.Connection, state: peer_state.PeerState
    ) -> None:
        loop = asyncio.get_running_loop()
        outbox = _Outbox(lambda: state.domain)
        self._outboxes.add(outbox)
        self._board.listeners.add(outbox.pending.set)
        try:
            while True:
                for message in outbox.drain():
                    await link.send(peer_messages.encode(message))
                report = state.make_report(loop.time(), freshness.boot_clock())
                await link.send(peer_messages.encode(report))
                await asyncio.sleep(MIN_REPORT_INTERVAL_SECONDS)
                await _wait(
                    outbox.pending,
                    state.report_interval - MIN_REPORT_INTERVAL_SECONDS,
                )
        except (exceptions.ConnectionClosed, OSError):
            # The receiving task logs why the link ended.
            return
        finally:
            self._outboxes.discard(outbox)
            self._board.listeners.discard(outbox.pending.set)


class _Outbox:
    """Queues the messages for one peer that are sent besides the reports.

    Attributes:
        domain: returns the peer's failure domain, if it is known.
    """

    def __init__(self, domain: Callable[[], ids.FailureDomain | None]) -> None:
        self.domain = domain
        self.pending = asyncio.Event()
        self._messages: list[peer_messages.Message] = []

    def put(self, message: peer_messages.Message) -> None:
        self._messages.append(message)
        self.pending.set()

    def drain(self) -> list[peer_messages.Message]:
        self.pending.clear()
        messages, self._messages = self._messages, []
        return messages


async def _wait(event: asyncio.Event, seconds: float) -> None:
    """Waits for an event, at most this many seconds; it is set then."""
    # Cheaper than a timeout, whose normal end would be an exception.
    timer = asyncio.get_running_loop().call_later(seconds, event.set)
    try:
        await event.wait()
    finally:
        timer.cancel()
