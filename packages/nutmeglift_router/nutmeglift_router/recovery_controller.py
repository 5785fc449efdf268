"""Starts recovery of the requests that run on lost agents."""

import asyncio

from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import recovery
from nutmeglift_router import chat_controller
from nutmeglift_router import chat_dispatch
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric


class RecoveryController:
    """Detects lost agents and attempts from the connections to agents."""

    def __init__(
        self,
        *,
        chats: chat_controller.ChatController,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
        post: chat_dispatch.Post,
    ) -> None:
        self._chats = chats
        self._clock = clock
        self._metrics = metrics
        self._post = post
        self._reconnects = recovery.ReconnectTracker()
        self._expected_attempts_by_vm: dict[
            ids.VmId, list[messages.HeldAttempt]
        ] = {}
        self._reconnect_timers: set[asyncio.Task[None]] = set()

    def agent_up(self, vm: ids.VmId, hello: messages.Hello) -> None:
        """Records a new connection and detects a restart of the agent."""
        if self._reconnects.record_connected(vm, hello.incarnation):
            self._metrics.count("recovery.agent_restarted")
            self._chats.on_agent_lost(vm)
        self._expected_attempts_by_vm[vm] = self._chats.attempts_on(vm)

    def agent_down(self, vm: ids.VmId) -> None:
        """Records a broken connection and starts the reconnect grace period."""
        self._reconnects.record_disconnected(vm, self._clock.now())
        self._expected_attempts_by_vm.pop(vm, None)
        timer = asyncio.ensure_future(self._await_reconnect(vm))
        self._reconnect_timers.add(timer)
        timer.add_done_callback(self._reconnect_timers.discard)

    def agent_unreachable(self, vm: ids.VmId) -> None:
        """Records that connecting to an agent failed."""
        if self._reconnects.record_unreachable(vm):
            self._declare_lost(vm)

    def reconcile_attempts(
        self, vm: ids.VmId, held: messages.AttemptsHeld
    ) -> None:
        """Reconciles the attempts that an agent reports with the router's.

        Attempts missing at the agent are recovered; attempts unknown to the
        router are cancelled at the agent.
        """
        differences = recovery.compare(
            self._expected_attempts_by_vm.pop(vm, []),
            held.attempts,
            self._chats.attempts_on(vm),
        )
        for missing in differences.missing:
            self._metrics.count("recovery.attempt_missing")
            self._chats.on_attempt_lost(missing)
        for unknown in differences.unknown:
            self._metrics.count("recovery.attempt_unknown")
            self._post(
                vm, messages.CancelAttempt(unknown.request, unknown.attempt)
            )

    async def _await_reconnect(self, vm: ids.VmId) -> None:
        await self._clock.sleep(recovery.REOPEN_SECONDS)
        if self._reconnects.lost(vm, self._clock.now()):
            self._declare_lost(vm)

    def _declare_lost(self, vm: ids.VmId) -> None:
        self._metrics.count("recovery.agent_lost")
        self._chats.on_agent_lost(vm)
