"""One router: its controllers and their blackboard."""

import asyncio
from collections.abc import Coroutine
import logging
import random
from typing import Any

from nutmeglift import auth
from nutmeglift import blackboard
from nutmeglift import configuration
from nutmeglift import drain
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import membership
from nutmeglift import messages
from nutmeglift import planner
from nutmeglift import routing
from nutmeglift import settings
from nutmeglift import states
from nutmeglift_router import agent_links
from nutmeglift_router import chat
from nutmeglift_router import entries
from nutmeglift_router import plain
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import link as links
from nutmeglift_wire import metrics as metric
from nutmeglift_wire import vm_list

LIST_INTERVAL_SECONDS = 1.0
CONFIGURATION_INTERVAL_SECONDS = 0.5

_logger = logging.getLogger(__name__)


class Router:
    """Takes requests and runs them on backend servers.

    Attributes:
        board: the blackboard.
        drain: how far it is on its way out.
        chat: requests to models.
        plain: calls to plain services.
        incarnation: differs for every start.
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
        self.board = blackboard.Blackboard()
        self.drain = drain.Drain()
        self.incarnation = incarnation
        self.own = own
        self._clock = clock
        self._rng = rng
        self._store = store
        self._vms = vms
        self._metrics = metrics
        self._membership = membership.Membership()
        self._authenticator = auth.Authenticator(
            self.board.read(entries.CONFIGURATION).declared
        )
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
        self.chat = chat.ChatController(
            own.vm,
            board=self.board,
            clock=clock,
            metrics=metrics,
            routes=self._routing,
            find=self._find_candidate,
            post=self._links.post,
        )
        self.plain = plain.PlainController(
            store=store,
            clock=clock,
            metrics=metrics,
            choose=self._choose_server,
            post=self._links.post,
        )
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def authenticator(self) -> auth.Authenticator:
        """Knows the tokens of the configuration in force."""
        return self._authenticator

    def start(self) -> None:
        """Starts the loops."""
        self._spawn(self._follow_list())
        self._spawn(self._follow_configuration())

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
        await self._links.stop()

    def check_accepts_work(self) -> None:
        """Checks that new work may come in.

        Raises:
            errors.RefusedError: this router is draining or has no
                configuration.
        """
        if not self.drain.accepts_work:
            raise errors.RefusedError(
                "this router is shutting down",
                kind=errors.ErrorKind.DRAINING,
                retry_after=1.0,
            )
        if self._generation() == 0:
            raise errors.RefusedError(
                "no configuration is in force yet",
                kind=errors.ErrorKind.CONFIGURATION_STALE,
                retry_after=1.0,
            )

    def live_members(self) -> int:
        """Returns how many backend servers take work."""
        members = self._membership.member_by_vm
        return sum(self._membership.usable(vm) is not None for vm in members)

    def _generation(self) -> ids.Generation:
        return self.board.read(entries.CONFIGURATION).head.generation

    def _make_hello(self) -> messages.Hello:
        return messages.Hello(
            messages.PROTOCOL_VERSION,
            states.ProcessRole.ROUTER,
            self.own.vm,
            self.incarnation,
            self.own.failure_domain,
            self._generation(),
        )

    def _make_heartbeat(self, sequence: int) -> messages.Heartbeat:
        return messages.Heartbeat(sequence, self._generation())

    def _agent_up(self, vm: ids.VmId, hello: messages.Hello) -> None:
        self._membership.note_hello(vm, hello, self._clock.now())
        self._publish_members()

    def _agent_down(self, vm: ids.VmId, reason: errors.NutmegError) -> None:
        self._membership.note_lost(vm, self._clock.now())
        self._publish_members()
        self.chat.lose_agent(vm)

    def _take_message(self, vm: ids.VmId, message: messages.AnyMessage) -> None:
        now = self._clock.now()
        match message:
            case messages.TokenFrame():
                self.chat.take_frame(message)
            case messages.AttemptFailed():
                self.chat.take_failure(message)
            case messages.PlainOutcome():
                self.plain.take_outcome(message)
            case messages.Heartbeat(load=load):
                self._membership.note_heartbeat(vm, message, now)
                self._publish_members()
                if load is not None:
                    self._routing.note_load(vm, load, now)
            case messages.Leaving():
                self._membership.note_leaving(vm, now)
                self._publish_members()
            case messages.CacheEvents():
                self._routing.note_cache_events(vm, message, now)
            case _:
                self._metrics.count("message.unexpected")

    def _publish_members(self) -> None:
        self.board.write(
            entries.MEMBERS,
            dict(self._membership.member_by_vm),
            blackboard.Controller.MEMBERSHIP,
        )
        self._make_plan()

    def _find_candidate(self, vm: ids.VmId) -> routing.Candidate | None:
        member = self._membership.usable(vm)
        if member is None or member.incarnation is None:
            return None
        return routing.Candidate(
            vm,
            member.entry.address,
            member.incarnation,
            member.entry.failure_domain,
        )

    def _choose_server(
        self, service: ids.ServiceId
    ) -> routing.Candidate | None:
        declared = self.board.read(entries.CONFIGURATION).declared
        classes = {
            c.id for c in declared.backend_classes if c.service == service
        }
        found = [
            candidate
            for vm, member in self._membership.member_by_vm.items()
            if member.entry.backend_class in classes
            and (candidate := self._find_candidate(vm)) is not None
        ]
        return self._rng.choice(found) if found else None

    def _make_plan(self) -> None:
        declared = self.board.read(entries.CONFIGURATION).declared
        class_by_id = {c.id: c for c in declared.backend_classes}
        runners = []
        for vm, member in self._membership.member_by_vm.items():
            found = class_by_id.get(member.entry.backend_class or "")
            if found is None or found.service is not None:
                continue
            runners.append(
                planner.Runner(
                    vm,
                    member.entry.failure_domain,
                    found.layer_positions_per_second,
                    found.memory_bytes,
                )
            )
        old = self.board.read(entries.PLAN)
        new = planner.make_plan(runners, declared, old)
        if new.assignments == old.assignments:
            return
        self.board.write(entries.PLAN, new, blackboard.Controller.PLAN)
        self._routing.set_plan(new)

    async def _follow_list(self) -> None:
        while True:
            try:
                listed = await self._vms.read()
            except errors.PlatformError:
                self._metrics.count("vm_list.failed")
            else:
                self._membership.note_list(listed, self._clock.now())
                self._publish_members()
                self._links.set_targets(
                    {
                        vm: member.entry.address
                        for vm, member in self._membership.member_by_vm.items()
                    }
                )
            await self._clock.sleep(LIST_INTERVAL_SECONDS)

    async def _follow_configuration(self) -> None:
        while True:
            try:
                head, declared = await configuration.read(self._store)
            except errors.NutmegError:
                self._metrics.count("configuration.read_failed")
            else:
                if head.generation > self._generation():
                    self._take_configuration(
                        entries.ConfigurationInForce(head, declared)
                    )
            await self._clock.sleep(CONFIGURATION_INTERVAL_SECONDS)

    def _take_configuration(self, new: entries.ConfigurationInForce) -> None:
        self.board.write(
            entries.CONFIGURATION, new, blackboard.Controller.CONFIGURATION
        )
        self._authenticator = auth.Authenticator(new.declared)
        self._make_plan()
        self._metrics.gauge("configuration.generation", new.head.generation)
        _logger.info(
            "configuration in force",
            extra={"generation": new.head.generation},
        )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
