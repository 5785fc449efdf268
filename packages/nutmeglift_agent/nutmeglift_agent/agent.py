"""One agent: the only party that gives its backend server work."""

import asyncio
from collections.abc import Coroutine
import logging
from typing import Any

import msgspec

from nutmeglift import attempts
from nutmeglift import backend
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
from nutmeglift_agent import orders
from nutmeglift_agent import peers
from nutmeglift_agent import plain_work
from nutmeglift_agent import router_ports
from nutmeglift_agent import stage_work
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import link as links
from nutmeglift_wire import metrics as metric
from nutmeglift_wire import session as sessions

FORGET_SILENCES = 2
"""A router that is away for so many silence bounds is forgotten."""

_logger = logging.getLogger(__name__)


class Agent:
    """Serves routers and other agents.

    Attributes:
        drain: how far it is on its way out.
        incarnation: differs for every start.
    """

    def __init__(
        self,
        own: settings.AgentSettings,
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
        self._own = own
        self._clock = clock
        self._metrics = metrics
        self._engine = engine
        self._key = own.shared_key.get_secret_value().encode()
        self._configuration = configuration_copy.ConfigurationCopy()
        self._load: messages.LoadReport | None = None
        self._ports = router_ports.RouterPorts(metrics)
        self._peers = peers.Peers(dialer, self._open_peer, self._lose_peer)
        self._tasks: set[asyncio.Task[None]] = set()
        self._orders: orders.Orders | None = None
        self._stages: stage_work.StageWork | None = None
        self._plain: plain_work.PlainWork | None = None
        if engine is not None:
            self._orders = orders.Orders(engine, metrics)
            self._stages = stage_work.StageWork(
                own.vm,
                incarnation,
                engine,
                metrics,
                post_to_agent=self._post_to_agent,
                post_to_router=self._ports.post,
                post_tokens=self._ports.post_tokens,
                accepts_work=lambda: self.drain.accepts_work,
                replay_bytes=own.bounds.replay_bytes,
            )
        if service is not None:
            self._plain = plain_work.PlainWork(
                attempts.AttemptTable(incarnation),
                service,
                post=self._ports.post,
                clock=clock,
                metrics=metrics,
            )

    @property
    def in_flight(self) -> int:
        """Stages and calls that are not over."""
        stages = self._stages.in_flight if self._stages is not None else 0
        return stages + self.drain.in_flight

    def start(self) -> None:
        """Starts the loops."""
        self._spawn(self._sweep())
        if self._stages is not None:
            self._spawn(self._stages.run())
        if self._engine is not None:
            self._spawn(self._poll_engine(self._engine))

    async def stop(self) -> None:
        """Ends everything at once."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._peers.stop()

    async def leave(self) -> None:
        """Refuses new work, says so, and waits for the work in flight."""
        self._begin_drain()
        limit = self._own.bounds.drain_seconds
        while not self.drain.settle(
            self._clock.now(), limit, self._count_unsettled()
        ):
            await self._clock.sleep(self._own.bounds.heartbeat_seconds / 10)

    def _begin_drain(self) -> None:
        self.drain.begin(self._clock.now())
        self._ports.broadcast(messages.Leaving())

    async def serve_link(self, link: links.BaseLink) -> None:
        """Serves a connection that a router or another agent opened."""
        try:
            # wait_for can swallow a cancellation.
            async with asyncio.timeout(sessions.HANDSHAKE_TIMEOUT_SECONDS):
                peer = await sessions.shake_hands_as_listener(
                    link, self._key, self._make_answer
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
            self._ports.detach(session, self._clock.now())

    def _count_unsettled(self) -> int:
        stages = self._stages.in_flight if self._stages is not None else 0
        plain = self._plain is not None and self._plain.may_be_asked
        return stages + (not self._ports.all_acknowledged) + plain

    def _hello(self) -> messages.Hello:
        return messages.Hello(
            messages.PROTOCOL_VERSION,
            states.ProcessRole.AGENT,
            self._own.vm,
            self.incarnation,
            self._own.failure_domain,
            self._configuration.generation,
            not self.drain.accepts_work,
            self._fencing_number(),
        )

    def _make_answer(self, peer: messages.Hello) -> messages.Hello:
        made = self._ports.frames_made(peer)
        return msgspec.structs.replace(self._hello(), resume=made)

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
            bounds=self._own.bounds,
            handler=self._handle,
            make_heartbeat=self._make_heartbeat,
        )

    async def _open_peer(self, link: links.BaseLink) -> sessions.Session:
        peer = await sessions.shake_hands_as_dialer(
            link, self._key, self._hello()
        )
        return self._make_session(link, peer)

    def _lose_peer(self, address: str, reason: errors.NutmegError) -> None:
        if self._stages is not None:
            self._stages.lose_peer(address, reason)

    def _attach_router(self, session: sessions.Session) -> None:
        router = session.peer.vm
        held: tuple[messages.HeldAttempt, ...] = ()
        if self._stages is not None:
            if self._ports.is_replaced_by(session.peer):
                self._stages.lose_router(router)
            held = self._stages.resume_router(router)
        self._ports.attach(session, messages.AttemptsHeld(held))

    async def _sweep(self) -> None:
        """Forgets routers and agents that did not come back, for ever."""
        bound = FORGET_SILENCES * self._own.bounds.silence_seconds
        known = self._ports.routers
        while True:
            await self._clock.sleep(bound)
            self._peers.forget_idle()
            gone = self._ports.forget_detached(self._clock.now() - bound)
            before, known = known, self._ports.routers
            if self._stages is None:
                continue
            for router in gone:
                self._stages.lose_router(router)
            self._stages.lose_orphans(before | known)
            # A cancel may have been lost before the attempt was opened.
            for router, idle in self._stages.find_idle().items():
                self._ports.post(router, messages.AttemptsHeld(tuple(idle)))

    def _handle(
        self, session: sessions.Session, message: codec.AnyMessage
    ) -> None:
        match message:
            case messages.Heartbeat(generation=generation):
                self._configuration.note(generation)
                self._learn_fencing_number(message)
            case control_messages.AgentConfiguration():
                self._configuration.take(message)
            case control_messages.DrainOrder():
                self._begin_drain()
            case messages.FrameAcknowledged(sequence):
                self._ports.acknowledge(session.peer.vm, sequence)
            case plain_messages.PlainCall():
                self._spawn(self._call_plain(session, message))
            case plain_messages.AttemptQuery():
                if self._plain is not None:
                    session.post(self._plain.query(session.peer.vm, message))
            case control_messages.Order():
                self._spawn(self._carry_out(session, message))
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
                    self._stages.take_hop(hop)
            case messages.NextTokenFrame(tokens):
                for token in tokens:
                    self._stages.take_token(token)
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
                "refused by the first stage",
                states.Ran.NOT_RUN,
                self._own.vm,
            )
        )

    async def _call_plain(
        self, session: sessions.Session, call: plain_messages.PlainCall
    ) -> None:
        if self._plain is None:
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
            await self._plain.call(
                session.peer.vm, call, accepts_work=accepts_work
            )
        finally:
            self.drain.leave()

    async def _carry_out(
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
            result = await self._orders.carry_out(order)
        finally:
            self.drain.leave()
        self._ports.post(session.peer.vm, result)

    def _fencing_number(self) -> ids.FencingNumber:
        if self._orders is None:
            return ids.FencingNumber(0)
        return self._orders.gate.highest

    def _learn_fencing_number(self, heartbeat: messages.Heartbeat) -> None:
        if self._orders is not None:
            self._orders.observe(
                heartbeat.fencing_number, confirmed=heartbeat.fencing_confirmed
            )

    def _post_to_agent(self, address: str, message: codec.AnyMessage) -> None:
        if address == self._own.listen:
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
                    self._ports.broadcast(events)
            await self._clock.sleep(self._own.bounds.heartbeat_seconds)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
