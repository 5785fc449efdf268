"""Recovers requests whose agents are lost, and only those."""

import asyncio

from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import recovery
from nutmeglift_router import chat_controller
from nutmeglift_router import chat_dispatch
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric


class RecoveryController:
    """Follows the connections to agents on behalf of the requests."""

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
        self._awaited_by_vm: dict[ids.VmId, list[messages.HeldAttempt]] = {}
        self._waits: set[asyncio.Task[None]] = set()

    def agent_up(self, vm: ids.VmId, hello: messages.Hello) -> None:
        """Notes an open connection."""
        if self._reconnects.record_connected(vm, hello.incarnation):
            self._metrics.count("recovery.agent_restarted")
            self._chats.lose_agent(vm)
        self._awaited_by_vm[vm] = self._chats.attempts_on(vm)

    def agent_down(self, vm: ids.VmId) -> None:
        """Notes that a connection broke, and gives it time to come back."""
        self._reconnects.record_disconnected(vm, self._clock.now())
        self._awaited_by_vm.pop(vm, None)
        wait = asyncio.ensure_future(self._await_reopening(vm))
        self._waits.add(wait)
        wait.add_done_callback(self._waits.discard)

    def agent_unreachable(self, vm: ids.VmId) -> None:
        """Notes that a new connection to an agent failed."""
        if self._reconnects.record_unreachable(vm):
            self._lose(vm)

    def take_held(self, vm: ids.VmId, held: messages.AttemptsHeld) -> None:
        """Compares an agent's attempts with the router's."""
        differences = recovery.compare(
            self._awaited_by_vm.pop(vm, []),
            held.attempts,
            self._chats.attempts_on(vm),
        )
        for missing in differences.missing:
            self._metrics.count("recovery.attempt_missing")
            self._chats.lose_attempt(missing)
        for unknown in differences.unknown:
            self._metrics.count("recovery.attempt_unknown")
            self._post(
                vm, messages.CancelAttempt(unknown.request, unknown.attempt)
            )

    async def _await_reopening(self, vm: ids.VmId) -> None:
        await self._clock.sleep(recovery.REOPEN_SECONDS)
        if self._reconnects.lost(vm, self._clock.now()):
            self._lose(vm)

    def _lose(self, vm: ids.VmId) -> None:
        self._metrics.count("recovery.agent_lost")
        self._chats.lose_agent(vm)
