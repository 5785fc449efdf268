"""One router: its controllers and their blackboard."""

import asyncio
from collections.abc import Coroutine
import random
from typing import Any

from nutmeglift import auth
from nutmeglift import blackboard
from nutmeglift import codec
from nutmeglift import control_messages
from nutmeglift import drain
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import messages
from nutmeglift import plain_messages
from nutmeglift import routing
from nutmeglift import settings
from nutmeglift import states
from nutmeglift_router import admission_controller
from nutmeglift_router import agent_links
from nutmeglift_router import chat
from nutmeglift_router import configuration_controller
from nutmeglift_router import entries
from nutmeglift_router import membership_controller
from nutmeglift_router import plain
from nutmeglift_router import plan_controller
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import link as links
from nutmeglift_wire import metrics as metric
from nutmeglift_wire import vm_list


class Router:
    """Takes requests and runs them on backend servers.

    Attributes:
        own: its settings.
        incarnation: differs for every start.
        board: the blackboard.
        drain: how far it is on its way out.
        configuration: the configuration in force.
        membership: the VMs.
        admission: which request runs when.
        chat: requests to models.
        plain: calls to plain services.
        authenticator: the tokens of the configuration in force.
    """

    def __init__(
        self,
        own: settings.RouterSettings,
        *,
        incarnation: ids.Incarnation,
        clock: clocks.BaseClock,
        rng: random.Random,
        store: kv.BaseKv,
        vms: vm_list.BaseVmList,
        dialer: links.BaseDialer,
        metrics: metric.BaseMetrics,
    ) -> None:
        self.own = own
        self.incarnation = incarnation
        self.board = blackboard.Blackboard()
        self.drain = drain.Drain()
        self._clock = clock
        self._metrics = metrics
        self._tasks: set[asyncio.Task[None]] = set()
        self._routing = routing.Routing(rng)
        self._links = agent_links.AgentLinks(
            key=own.shared_key.get_secret_value().encode(),
            clock=clock,
            rng=rng,
            dialer=dialer,
            bounds=own.bounds,
            metrics=metrics,
            make_hello=self._make_hello,
            make_heartbeat=self._make_heartbeat,
            on_up=self._agent_up,
            on_down=self._agent_down,
            on_message=self._take_message,
        )
        self.configuration = configuration_controller.ConfigurationController(
            board=self.board, store=store, clock=clock, metrics=metrics
        )
        self.membership = membership_controller.MembershipController(
            board=self.board,
            vms=vms,
            clock=clock,
            rng=rng,
            metrics=metrics,
            set_targets=self._links.set_targets,
        )
        self._plan = plan_controller.PlanController(
            board=self.board,
            store=store,
            clock=clock,
            metrics=metrics,
            routes=self._routing,
        )
        self.admission = admission_controller.AdmissionController(
            board=self.board, clock=clock, metrics=metrics
        )
        self.chat = chat.ChatController(
            own.vm,
            board=self.board,
            clock=clock,
            metrics=metrics,
            routes=self._routing,
            find=self.membership.find_candidate,
            post=self._links.post,
        )
        self.plain = plain.PlainController(
            store=store,
            clock=clock,
            metrics=metrics,
            choose=self.membership.choose_server,
            agents=self._links,
        )
        self.authenticator = auth.Authenticator(
            self.board.read(entries.CONFIGURATION).declared
        )
        self.board.watch(entries.CONFIGURATION, self._renew_authenticator)

    def start(self) -> None:
        """Starts the loops."""
        self._spawn(self.membership.run())
        self._spawn(self.configuration.run())
        sweep_rng = random.Random(self.incarnation)
        self._spawn(self.plain.ledger.sweep(sweep_rng))

    async def leave(self) -> None:
        """Refuses new work and waits for the work in flight."""
        self.drain.begin()
        while self.chat.in_flight or self.plain.in_flight:
            await self._clock.sleep(self.own.bounds.heartbeat_seconds / 10)

    async def stop(self) -> None:
        """Ends everything at once."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.plain.stop()
        await self._links.stop()

    def check_accepts_work(self) -> None:
        """Checks that new work may come in.

        Raises:
            errors.RefusedError: this router is draining or has no
                configuration that it may work by.
        """
        if not self.drain.accepts_work:
            raise errors.RefusedError(
                "this router is shutting down",
                kind=errors.ErrorKind.DRAINING,
                retry_after=1.0,
            )
        self.configuration.check_in_force()

    def _renew_authenticator(self, new: entries.ConfigurationInForce) -> None:
        self.authenticator = auth.Authenticator(new.declared)

    def _make_hello(self) -> messages.Hello:
        return messages.Hello(
            messages.PROTOCOL_VERSION,
            states.ProcessRole.ROUTER,
            self.own.vm,
            self.incarnation,
            self.own.failure_domain,
            self.configuration.generation,
        )

    def _make_heartbeat(self, sequence: int) -> messages.Heartbeat:
        return messages.Heartbeat(sequence, self.configuration.generation)

    def _agent_up(self, vm: ids.VmId, hello: messages.Hello) -> None:
        self.membership.agent_up(vm, hello)
        self.plain.agent_up(vm)

    def _agent_down(self, vm: ids.VmId, reason: errors.NutmegError) -> None:
        self.membership.agent_down(vm)
        self.chat.lose_agent(vm)
        self.plain.agent_down(vm)

    def _take_message(self, vm: ids.VmId, message: codec.AnyMessage) -> None:
        match message:
            case messages.TokenFrame():
                self.chat.take_frame(message)
            case messages.AttemptFailed():
                self.chat.take_failure(message)
            case plain_messages.PlainOutcome():
                self.plain.take_outcome(message)
            case plain_messages.AttemptStatus():
                self.plain.take_status(message)
            case messages.Heartbeat():
                self._take_heartbeat(vm, message)
            case messages.Leaving():
                self.membership.take_leaving(vm)
            case control_messages.CacheEvents():
                self._routing.note_cache_events(vm, message, self._clock.now())
            case _:
                self._metrics.count("message.unexpected")

    def _take_heartbeat(
        self, vm: ids.VmId, heartbeat: messages.Heartbeat
    ) -> None:
        self.membership.take_heartbeat(vm, heartbeat)
        if heartbeat.load is not None:
            self._routing.note_load(vm, heartbeat.load, self._clock.now())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
