"""Checks which runners of silent streams accept connections."""

import asyncio

from nutmeglift_gateway import background_tasks
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import failure_recorder as recorders
from nutmeglift_gateway import http_call
from nutmeglift_gateway import silence_detection
from nutmeglift_gateway import suspect_servers

CHECK_TIMEOUT_SECONDS = 0.04
"""Many round trips between failure domains, and several times shorter than the
objective for gaps between events."""
MAX_LOOP_DELAY_SECONDS = 0.015
"""If the event loop runs later than this, it may have missed connections that
were accepted in time."""
SECOND_CONNECTION_DELAY_SECONDS = 0.015
"""Time after which a second connection is opened, many round trips: a link that
loses one packet in 40 loses both SYN packets once in 1,600 checks."""
RECHECK_INTERVAL_SECONDS = 0.3
"""A runner is not checked again sooner, as connections have a cost."""


class ReachabilityChecker:
    """Opens connections to suspected runners and records unreachable ones."""

    def __init__(
        self,
        failure_recorder: recorders.FailureRecorder,
        log: decision_log.DecisionLog,
    ) -> None:
        self._failure_recorder = failure_recorder
        self._log = log
        self._background_tasks = background_tasks.BackgroundTasks(log)
        self._checked_at_by_address: dict[str, float] = {}

    def check(self, now: float, addresses: set[str]) -> None:
        """Starts to check the addresses that were not checked recently.

        Args:
            now: event loop time in seconds.
            addresses: addresses of the suspected runners.
        """
        due = {
            address
            for address in addresses
            if now - self._checked_at_by_address.get(address, float("-inf"))
            >= RECHECK_INTERVAL_SECONDS
        }
        if not due:
            return
        self._checked_at_by_address = {
            address: checked_at
            for address, checked_at in self._checked_at_by_address.items()
            if now - checked_at < RECHECK_INTERVAL_SECONDS
        } | dict.fromkeys(due, now)
        self._background_tasks.start(self._check(sorted(due)))

    async def _check(self, addresses: list[str]) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        answered = await asyncio.gather(
            *(self._is_reachable(address) for address in addresses)
        )
        if (
            loop.time() - started_at
            > CHECK_TIMEOUT_SECONDS + MAX_LOOP_DELAY_SECONDS
        ):
            self._log.write("reach check late", addresses=addresses)
            for address in addresses:
                self._checked_at_by_address.pop(address, None)
            return
        unreachable = silence_detection.unreachable_addresses(
            dict(zip(addresses, answered, strict=True))
        )
        for address in sorted(unreachable):
            self._failure_recorder.record_by_address(
                address,
                suspect_servers.Reason.UNREACHABLE,
                f"unreachable; {sum(answered)} of {len(answered)} responded",
            )

    @staticmethod
    async def _is_reachable(address: str) -> bool:
        first = asyncio.create_task(
            _can_connect(address, CHECK_TIMEOUT_SECONDS)
        )
        await asyncio.wait({first}, timeout=SECOND_CONNECTION_DELAY_SECONDS)
        if first.done() and first.result():
            return True
        second = _can_connect(
            address, CHECK_TIMEOUT_SECONDS - SECOND_CONNECTION_DELAY_SECONDS
        )
        return any(await asyncio.gather(first, second))


async def _can_connect(address: str, timeout: float) -> bool:
    try:
        connection = await http_call.connect(address, timeout)
    except http_call.CallError as error:
        # A refused connection proves that the host is reachable; the crash
        # detector handles a process that ended.
        return error.failure is http_call.CallFailure.REFUSED
    connection.close()
    return True
