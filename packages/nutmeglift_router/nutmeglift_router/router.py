"""Assembles a router from its controllers and their blackboard."""

import asyncio
from collections.abc import Coroutine
import logging
import random
from typing import Any

from nutmeglift import auth
from nutmeglift import blackboard
from nutmeglift import cancellation
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
from nutmeglift_router import blackboard_entries as entries
from nutmeglift_router import chat_controller
from nutmeglift_router import configuration_controller
from nutmeglift_router import counting_metrics
from nutmeglift_router import drain_controller
from nutmeglift_router import lease_controller
from nutmeglift_router import link_context
from nutmeglift_router import membership_controller
from nutmeglift_router import plain_controller
from nutmeglift_router import plan_controller
from nutmeglift_router import recovery_controller
from nutmeglift_router import router_links
from nutmeglift_router import share_controller
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import link as links
from nutmeglift_wire import metrics as metric
from nutmeglift_wire import vm_list

_logger = logging.getLogger(__name__)


class Router:
    """Accepts requests and runs them on backend servers.

    Attributes:
        own: this router's settings.
        incarnation: identifies this run of the process.
        board: the blackboard, through which controllers share state.
        drain: progress of the shutdown.
        clock: the clock.
        counters: the metrics, with counter totals since the start.
        configuration: tracks the configuration in force.
        lease: tracks and acquires the planner's role.
        routers: the connections to other routers.
        membership: tracks the VMs.
        shares: enforces this router's shares of account limits.
        admission: decides when each request runs.
        chat: runs requests to models.
        plain: runs calls to plain services.
        authenticator: checks tokens against the configuration in force.
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
        self.drain = drain.Drain(own.bounds.drain_seconds)
        self.clock = self._clock = clock
        self.counters = metrics = counting_metrics.CountingMetrics(metrics)
        self._metrics = metrics
        self._tasks: set[asyncio.Task[None]] = set()
        self._routing = routing.PipelineSelector(rng)
        context = link_context.LinkContext(
            key=own.shared_key.get_secret_value().encode(),
            clock=clock,
            rng=rng,
            dialer=dialer,
            bounds=own.bounds,
            metrics=metrics,
            make_hello=self._make_hello,
            make_heartbeat=self._make_heartbeat,
        )
        self._agent_links = agent_links.AgentLinks(
            context,
            on_connected=self._agent_up,
            on_disconnected=self._agent_down,
            on_unreachable=self._agent_unreachable,
            is_busy=lambda vm: bool(self.chat.attempts_on(vm)),
            on_message=self._handle_agent_message,
        )
        self.routers = router_links.RouterLinks(
            own.vm,
            context,
            on_connected=self._router_up,
            on_disconnected=self._router_down,
            on_message=self._handle_router_message,
        )
        self.configuration = configuration_controller.ConfigurationController(
            board=self.board,
            store=store,
            clock=clock,
            rng=rng,
            metrics=metrics,
            bounds=own.bounds,
            post=self.routers.post,
            broadcast=self.routers.broadcast,
            count_routers=lambda: self.routers.listed,
            count_agents=lambda: self.membership.usable_count,
        )
        self.lease = lease_controller.LeaseController(
            own.vm,
            incarnation,
            board=self.board,
            store=store,
            clock=clock,
            rng=rng,
            metrics=metrics,
            count_routers=lambda: self.routers.listed,
            may_become_planner=lambda: self.drain.accepts_work,
        )
        self.membership = membership_controller.MembershipController(
            board=self.board,
            vms=vms,
            clock=clock,
            rng=rng,
            metrics=metrics,
            set_targets=self._agent_links.set_targets,
            set_routers=self.routers.set_listed,
        )
        self._plan = plan_controller.PlanController(
            own.vm,
            board=self.board,
            store=store,
            clock=clock,
            metrics=metrics,
            routes=self._routing,
            post=self._agent_links.post,
        )
        self.shares = share_controller.ShareController(
            own.vm,
            board=self.board,
            clock=clock,
            metrics=metrics,
            post_to_router=self.routers.post,
            count_routers=self._count_routers,
        )
        self.admission = admission_controller.AdmissionController(
            board=self.board,
            clock=clock,
            metrics=metrics,
            bounds=own.bounds,
            shares=self.shares,
            drain_state=self.drain,
        )
        self.chat = chat_controller.ChatController(
            own.vm,
            clock=clock,
            metrics=metrics,
            routes=self._routing,
            find=self.membership.find_candidate,
            post=self._agent_links.post,
            token_buffer=own.bounds.token_buffer,
        )
        self._recovery = recovery_controller.RecoveryController(
            chats=self.chat,
            clock=clock,
            metrics=metrics,
            post=self._agent_links.post,
        )
        self._drain_controller = drain_controller.DrainController(
            self.drain,
            board=self.board,
            clock=clock,
            metrics=metrics,
            limit_seconds=own.bounds.drain_seconds,
            count_other_work=self._count_in_flight,
        )
        self.plain = plain_controller.PlainController(
            store=store,
            clock=clock,
            metrics=metrics,
            choose=self.membership.choose_server,
            agents=self._agent_links,
            count_routers=self._count_routers,
        )
        self.authenticator = auth.Authenticator(
            self.board.read(entries.CONFIGURATION).declared
        )
        self.board.watch(entries.CONFIGURATION, self._replace_authenticator)
        self.board.watch(entries.CONFIGURATION, self._configure_agents)
        self.board.watch(entries.LEADER, self._pin_leader)

    def start(self) -> None:
        """Starts the background tasks."""
        self._spawn(self.membership.run())
        self._spawn(self.configuration.run())
        self._spawn(self._plan.run())
        sweep_rng = random.Random(self.incarnation)
        self._spawn(self.plain.ledger.sweep(sweep_rng))
        self._spawn(self.shares.run())
        self._spawn(self.lease.run())

    async def leave(self) -> None:
        """Drains the router: refuses new work, waits for the work in flight."""
        self.begin_drain()
        await self.lease.release_role()
        await self._drain_controller.run()

    async def stop(self) -> None:
        """Cancels all work and closes all connections at once."""
        await cancellation.cancel_and_wait(self._tasks)
        await self.plain.stop()
        await self._agent_links.stop()
        await self.routers.stop()

    async def serve_link(self, link: links.BaseLink) -> None:
        """Serves a connection that another router opened."""
        await self.routers.serve_link(link)

    def begin_drain(self) -> None:
        """Refuses new work from now on and announces it to other routers."""
        self.drain.begin(self._clock.now())
        self.routers.broadcast(messages.Leaving())

    def drain_vm(self, vm: ids.VmId, operator: str) -> bool:
        """Drains a VM, this one or another.

        Args:
            vm: the VM.
            operator: id of the operator that ordered it, for the log.

        Returns:
            False if there is no connection to the VM.
        """
        self._metrics.count("drain.ordered")
        _logger.info("drain ordered", extra={"vm": vm, "operator": operator})
        if vm == self.own.vm:
            self.begin_drain()
            return True
        order = control_messages.DrainOrder()
        return self._agent_links.post(vm, order) or self.routers.post(vm, order)

    def check_accepts_work(self) -> None:
        """Checks that new work may be accepted.

        Raises:
            errors.RefusedError: this router is draining or has no usable
                configuration.
        """
        if not self.drain.accepts_work:
            raise errors.RefusedError(
                "this router is shutting down",
                kind=errors.ErrorKind.DRAINING,
                retry_after=1.0,
            )
        self.configuration.check_usable()

    def _replace_authenticator(self, new: entries.ConfigurationInForce) -> None:
        self.authenticator = auth.Authenticator(new.declared)

    def _count_routers(self) -> int:
        return self.routers.listed + 1

    def _count_in_flight(self) -> int:
        running = self.chat.in_flight + self.plain.in_flight
        return running + self.admission.waiting

    def _make_hello(self) -> messages.Hello:
        return messages.Hello(
            messages.PROTOCOL_VERSION,
            states.ProcessRole.ROUTER,
            self.own.vm,
            self.incarnation,
            self.own.failure_domain,
            self.configuration.generation,
            not self.drain.accepts_work,
            self.lease.fencing_number,
        )

    def _make_heartbeat(self, sequence: int) -> messages.Heartbeat:
        return messages.Heartbeat(
            sequence,
            self.configuration.generation,
            not self.drain.accepts_work,
            self.lease.fencing_number,
            fencing_confirmed=self.lease.held_fencing_number() is not None,
        )

    def _router_up(self, vm: ids.VmId, hello: messages.Hello) -> None:
        self.lease.record_fencing_number(hello.fencing_number)
        self.configuration.router_up(vm, hello)

    def _router_down(self, vm: ids.VmId) -> None:
        self.configuration.router_down(vm)

    def _handle_router_message(
        self, vm: ids.VmId, message: codec.AnyMessage
    ) -> None:
        match message:
            case messages.Heartbeat():
                self.lease.record_fencing_number(message.fencing_number)
                self.configuration.record_router(vm, message.generation)
            case control_messages.DrainOrder():
                self.begin_drain()
            case messages.Leaving():
                self.routers.record_leaving(vm)
            case control_messages.ShareDemand() | control_messages.ShareGrant():
                self.shares.handle_message(vm, message)
            case _:
                if not self.configuration.handle_message(vm, message):
                    self._metrics.count("message.unexpected")

    def _configure_agents(self, new: entries.ConfigurationInForce) -> None:
        for vm in self.membership.member_by_vm:
            self._send_configuration(vm)

    def _send_configuration(self, vm: ids.VmId) -> None:
        extract = self.configuration.agent_configuration_for(
            self.membership.member_by_vm.get(vm)
        )
        if extract is not None:
            self._agent_links.post(vm, extract)

    def _pin_leader(self, leader: entries.Leader | None) -> None:
        self.routers.pin(leader.vm if leader is not None else None)

    def _agent_up(self, vm: ids.VmId, hello: messages.Hello) -> None:
        self.membership.agent_up(vm, hello)
        self.plain.agent_up(vm)
        self._recovery.agent_up(vm, hello)
        self.lease.record_fencing_number(hello.fencing_number)
        self.configuration.record_agent(vm, hello.generation)
        self._send_configuration(vm)

    def _agent_down(self, vm: ids.VmId, reason: errors.NutmegError) -> None:
        self.membership.agent_down(vm)
        self.plain.agent_down(vm)
        self._recovery.agent_down(vm)

    def _agent_unreachable(self, vm: ids.VmId) -> None:
        self._recovery.agent_unreachable(vm)

    def _handle_agent_message(
        self, vm: ids.VmId, message: codec.AnyMessage
    ) -> None:
        match message:
            case messages.TokenFrame():
                self.chat.handle_token_frame(message)
            case messages.AttemptFailed():
                self.chat.handle_attempt_failure(message)
            case messages.AttemptsHeld():
                self._recovery.reconcile_attempts(vm, message)
            case plain_messages.PlainOutcome():
                self.plain.record_outcome(message)
            case plain_messages.AttemptStatus():
                self.plain.record_status(message)
            case messages.Heartbeat():
                self._handle_agent_heartbeat(vm, message)
            case messages.Leaving():
                self.membership.handle_leaving(vm)
            case control_messages.OrderResult():
                self._plan.record_order_result(vm, message)
            case control_messages.CacheEvents():
                self._routing.record_cache_events(
                    vm, message, self._clock.now()
                )
            case _:
                self._metrics.count("message.unexpected")

    def _handle_agent_heartbeat(
        self, vm: ids.VmId, heartbeat: messages.Heartbeat
    ) -> None:
        self.membership.handle_heartbeat(vm, heartbeat)
        self.lease.record_fencing_number(heartbeat.fencing_number)
        self.configuration.record_agent(vm, heartbeat.generation)
        if heartbeat.load is not None:
            self._routing.record_load(vm, heartbeat.load, self._clock.now())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
