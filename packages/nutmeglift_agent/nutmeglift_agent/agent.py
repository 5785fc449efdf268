"""The agent: sole dispatcher of work to its backend server."""

import asyncio
from collections.abc import Coroutine
import logging
from typing import Any

import msgspec

from nutmeglift import attempts
from nutmeglift import backend
from nutmeglift import cancellation
from nutmeglift import codec
from nutmeglift import control_messages
from nutmeglift import drain
from nutmeglift import engine as engines
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import plain_messages
from nutmeglift import settings
from nutmeglift import states
from nutmeglift_agent import configuration_copy
from nutmeglift_agent import order_executor
from nutmeglift_agent import peers
from nutmeglift_agent import plain_call_executor
from nutmeglift_agent import router_connections
from nutmeglift_agent import stage_executor
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import link as links
from nutmeglift_wire import metrics as metric
from nutmeglift_wire import session as sessions

FORGET_AFTER_SILENCE_PERIODS = 2
"""Silence bounds after which a disconnected router is forgotten."""

_logger = logging.getLogger(__name__)


class Agent:
    """Serves routers and other agents.

    Attributes:
        drain: progress of the agent's shutdown.
        incarnation: unique for each start of the process.
    """

    def __init__(
        self,
        agent_settings: settings.AgentSettings,
        *,
        incarnation: ids.Incarnation,
        clock: clocks.BaseClock,
        dialer: links.BaseDialer,
        metrics: metric.BaseMetrics,
        engine: engines.BaseEngine | None = None,
        service: backend.BasePlainBackend | None = None,
    ) -> None:
        self.drain = drain.Drain()
        self.incarnation = incarnation
        self._settings = agent_settings
        self._clock = clock
        self._metrics = metrics
        self._engine = engine
        self._key = agent_settings.shared_key.get_secret_value().encode()
        self._configuration = configuration_copy.ConfigurationCopy()
        self._load: messages.LoadReport | None = None
        self._routers = router_connections.RouterConnections(metrics)
        self._peers = peers.Peers(dialer, self._open_peer, self._on_peer_lost)
        self._tasks: set[asyncio.Task[None]] = set()
        self._orders: order_executor.OrderExecutor | None = None
        self._stages: stage_executor.StageExecutor | None = None
        self._plain_calls: plain_call_executor.PlainCallExecutor | None = None
        if engine is not None:
            self._orders = order_executor.OrderExecutor(engine, metrics)
            self._stages = stage_executor.StageExecutor(
                agent_settings.vm,
                incarnation,
                engine,
                metrics,
                post_to_agent=self._post_to_agent,
                post_to_router=self._routers.post,
                post_tokens=self._routers.post_tokens,
                accepts_work=lambda: self.drain.accepts_work,
                replay_bytes=agent_settings.bounds.replay_bytes,
            )
        if service is not None:
            self._plain_calls = plain_call_executor.PlainCallExecutor(
                attempts.AttemptTable(incarnation),
                service,
                post=self._routers.post,
                clock=clock,
                metrics=metrics,
            )

    @property
    def in_flight(self) -> int:
        """Number of stages, calls and orders in progress."""
        stages = self._stages.in_flight if self._stages is not None else 0
        return stages + self.drain.in_flight

    def start(self) -> None:
        """Starts the background tasks."""
        self._spawn(self._clean_up_periodically())
        if self._stages is not None:
            self._spawn(self._stages.run())
        if self._engine is not None:
            self._spawn(self._poll_engine(self._engine))

    async def stop(self) -> None:
        """Stops immediately, without waiting for work in flight."""
        await cancellation.cancel_and_wait(self._tasks)
        await self._peers.stop()

    async def leave(self) -> None:
        """Refuses new work, notifies the routers and drains.

        Returns when the drain has settled or its time limit has passed.
        """
        self._begin_drain()
        limit = self._settings.bounds.drain_seconds
        while not self.drain.settle(
            self._clock.now(), limit, self._count_unsettled()
        ):
            await self._clock.sleep(
                self._settings.bounds.heartbeat_seconds / 10
            )

    def _begin_drain(self) -> None:
        self.drain.begin(self._clock.now())
        self._routers.broadcast(messages.Leaving())

    async def serve_link(self, link: links.BaseLink) -> None:
        """Serves a connection that a router or another agent opened."""
        try:
            # asyncio.wait_for can swallow a cancellation.
            async with asyncio.timeout(sessions.HANDSHAKE_TIMEOUT_SECONDS):
                peer = await sessions.shake_hands_as_listener(
                    link, self._key, self._make_hello_reply
                )
        except (errors.NutmegError, TimeoutError) as error:
            self._metrics.count("link.refused")
            _logger.warning("connection refused", extra={"reason": str(error)})
            await link.close()
            return
        session = self._make_session(link, peer)
        if peer.role is states.ProcessRole.ROUTER:
            self._attach_router(session)
        reason = await session.run()
        self._metrics.count("link.closed")
        _logger.info(
            "connection ended",
            extra={"peer": peer.vm, "reason": reason.detail},
        )
        if peer.role is states.ProcessRole.ROUTER:
            self._routers.detach(session, self._clock.now())

    def _count_unsettled(self) -> int:
        stages = self._stages.in_flight if self._stages is not None else 0
        plain = (
            self._plain_calls is not None and self._plain_calls.may_be_queried
        )
        return stages + (not self._routers.all_acknowledged) + plain

    def _make_hello(self) -> messages.Hello:
        return messages.Hello(
            messages.PROTOCOL_VERSION,
            states.ProcessRole.AGENT,
            self._settings.vm,
            self.incarnation,
            self._settings.failure_domain,
            self._configuration.generation,
            not self.drain.accepts_work,
            self._fencing_number(),
        )

    def _make_hello_reply(self, peer: messages.Hello) -> messages.Hello:
        last_sequence = self._routers.last_frame_sequence(peer)
        return msgspec.structs.replace(self._make_hello(), resume=last_sequence)

    def _make_heartbeat(self, sequence: int) -> messages.Heartbeat:
        return messages.Heartbeat(
            sequence,
            self._configuration.generation,
            not self.drain.accepts_work,
            self._fencing_number(),
            load=self._load,
        )

    def _make_session(
        self, link: links.BaseLink, peer: messages.Hello
    ) -> sessions.Session:
        return sessions.Session(
            link,
            peer,
            clock=self._clock,
            bounds=self._settings.bounds,
            handler=self._handle,
            make_heartbeat=self._make_heartbeat,
        )

    async def _open_peer(self, link: links.BaseLink) -> sessions.Session:
        peer = await sessions.shake_hands_as_dialer(
            link, self._key, self._make_hello()
        )
        return self._make_session(link, peer)

    def _on_peer_lost(self, address: str, reason: errors.NutmegError) -> None:
        if self._stages is not None:
            self._stages.on_peer_lost(address, reason)

    def _attach_router(self, session: sessions.Session) -> None:
        router = session.peer.vm
        held: tuple[messages.HeldAttempt, ...] = ()
        if self._stages is not None:
            if self._routers.is_restarted(session.peer):
                self._stages.end_router_attempts(router)
            held = self._stages.on_router_reconnected(router)
        self._routers.attach(session, messages.AttemptsHeld(held))

    async def _clean_up_periodically(self) -> None:
        """Periodically forgets routers and agents that did not reconnect."""
        bound = (
            FORGET_AFTER_SILENCE_PERIODS * self._settings.bounds.silence_seconds
        )
        tracked = self._routers.routers
        while True:
            await self._clock.sleep(bound)
            self._peers.forget_idle()
            forgotten_routers = self._routers.forget_disconnected(
                self._clock.now() - bound
            )
            previous, tracked = tracked, self._routers.routers
            if self._stages is None:
                continue
            for router in forgotten_routers:
                self._stages.end_router_attempts(router)
            self._stages.end_orphaned_attempts(previous | tracked)
            # A cancel may have been lost before the attempt was opened.
            for router, idle in self._stages.find_idle().items():
                self._routers.post(router, messages.AttemptsHeld(tuple(idle)))

    def _handle(
        self, session: sessions.Session, message: codec.AnyMessage
    ) -> None:
        match message:
            case messages.Heartbeat(generation=generation):
                self._configuration.observe_generation(generation)
                self._observe_fencing_number(message)
            case control_messages.AgentConfiguration():
                self._configuration.update(message)
            case control_messages.DrainOrder():
                self._begin_drain()
            case messages.FrameAcknowledged(sequence):
                self._routers.acknowledge(session.peer.vm, sequence)
            case plain_messages.PlainCall():
                self._spawn(self._call_plain(session, message))
            case plain_messages.AttemptQuery():
                if self._plain_calls is not None:
                    session.post(
                        self._plain_calls.query(session.peer.vm, message)
                    )
            case control_messages.Order():
                self._spawn(self._execute_order(session, message))
            case messages.StartAttempt():
                self._start_attempt(session, message)
            case _:
                self._handle_stage(message)

    def _handle_stage(self, message: codec.AnyMessage) -> None:
        if self._stages is None:
            return
        match message:
            case messages.OpenStage():
                self._stages.open_stage(message)
            case messages.ReplaceStage():
                self._stages.replace(message)
            case messages.HopFrame(hops):
                for hop in hops:
                    self._stages.receive_hop(hop)
            case messages.NextTokenFrame(tokens):
                for token in tokens:
                    self._stages.receive_token(token)
            case messages.CancelAttempt(request, attempt):
                self._stages.cancel(request, attempt)
            case _:
                self._metrics.count("message.unexpected")

    def _start_attempt(
        self, session: sessions.Session, start: messages.StartAttempt
    ) -> None:
        if self._stages is not None:
            self._stages.start(start)
            return
        session.post(
            messages.AttemptFailed(
                start.request,
                start.attempt,
                errors.ErrorKind.NO_BACKEND,
                "refused by stage 0: no engine runs here",
                states.Ran.NOT_RUN,
                self._settings.vm,
            )
        )

    async def _call_plain(
        self, session: sessions.Session, call: plain_messages.PlainCall
    ) -> None:
        if self._plain_calls is None:
            session.post(
                plain_messages.PlainOutcome(
                    call.request,
                    call.attempt,
                    states.Ran.NOT_RUN,
                    kind=errors.ErrorKind.NO_BACKEND,
                    detail="no plain service runs here",
                )
            )
            return
        accepts_work = self.drain.accepts_work
        self.drain.enter()
        try:
            await self._plain_calls.call(
                session.peer.vm, call, accepts_work=accepts_work
            )
        finally:
            self.drain.leave()

    async def _execute_order(
        self, session: sessions.Session, order: control_messages.Order
    ) -> None:
        if self._orders is None:
            session.post(
                control_messages.OrderResult(
                    order.order,
                    order.fencing_number,
                    errors.ErrorKind.NO_BACKEND,
                    "no engine runs here",
                )
            )
            return
        self.drain.enter()
        try:
            result = await self._orders.execute(order)
        finally:
            self.drain.leave()
        self._routers.post(session.peer.vm, result)

    def _fencing_number(self) -> ids.FencingNumber:
        if self._orders is None:
            return ids.FencingNumber(0)
        return self._orders.gate.highest

    def _observe_fencing_number(self, heartbeat: messages.Heartbeat) -> None:
        if self._orders is not None:
            self._orders.observe(
                heartbeat.fencing_number, confirmed=heartbeat.fencing_confirmed
            )

    def _post_to_agent(self, address: str, message: codec.AnyMessage) -> None:
        if address == self._settings.listen:
            self._handle_stage(message)
            return
        self._peers.post(address, message)

    async def _poll_engine(self, engine: engines.BaseEngine) -> None:
        cache_sequence = 0
        while True:
            try:
                self._load = await engine.load()
                events = await engine.cache_events(cache_sequence)
            except errors.NutmegError:
                self._metrics.count("engine.poll_failed")
                self._load = None
            else:
                if events.events:
                    cache_sequence = events.first + len(events.events) - 1
                    self._routers.broadcast(events)
            await self._clock.sleep(self._settings.bounds.heartbeat_seconds)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
