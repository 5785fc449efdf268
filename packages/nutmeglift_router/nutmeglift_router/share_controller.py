"""This router's shares of account limits, and their division as owner."""

import asyncio
from collections.abc import Callable
import logging

from nutmeglift import account_budget
from nutmeglift import blackboard
from nutmeglift import codec
from nutmeglift import control_messages
from nutmeglift import declaration
from nutmeglift import ids
from nutmeglift import limits
from nutmeglift import share_holder
from nutmeglift import shares
from nutmeglift_router import blackboard_entries
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

DEMAND_INTERVAL_SECONDS = 0.5
MIN_PAUSE_SECONDS = 2.5
"""A longer gap between ticks counts as a pause of the process."""
FIRST_FENCING_NUMBER = 1
MILLISECONDS_PER_SECOND = 1000
DEMAND_BATCHING_SECONDS = 0.002
"""Waiting requests of this period are combined into one demand."""
GRANT_TIMEOUT_SECONDS = 1.0

PostToRouter = Callable[[ids.VmId, codec.AnyMessage], bool]
CountRouters = Callable[[], int]

_logger = logging.getLogger(__name__)


def _not_connected(vm: ids.VmId, message: codec.AnyMessage) -> bool:
    return False


def _one_router() -> int:
    return 1


class ShareController:
    """Enforces account limits with this router's shares of them.

    The router that holds the planner's lease is the owner: it divides the
    limits among all routers.

    Attributes:
        count_routers: returns the number of routers, this one included.
    """

    def __init__(
        self,
        vm: ids.VmId,
        *,
        board: blackboard.Blackboard,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
        post_to_router: PostToRouter = _not_connected,
        count_routers: CountRouters = _one_router,
    ) -> None:
        """Creates a controller.

        Args:
            vm: this router's VM.
            board: the blackboard.
            clock: the clock.
            metrics: the metrics.
            post_to_router: sends a message to another router; returns False
                when there is no connection.
            count_routers: returns the number of routers in the VM list, this
                one included.
        """
        self._vm = vm
        self._board = board
        self._clock = clock
        self._metrics = metrics
        self._post = post_to_router
        self.count_routers = count_routers
        self._holder = share_holder.ShareHolder(
            int(clock.utc() * MILLISECONDS_PER_SECOND)
        )
        self._owner: shares.ShareOwner | None = None
        self._ticked_at: float | None = None
        self._granted = asyncio.Event()
        self._demand_task: asyncio.Task[None] | None = None
        board.watch(blackboard_entries.LEADER, lambda _: self._update_owner())
        board.watch(
            blackboard_entries.CONFIGURATION, lambda _: self._update_accounts()
        )

    @property
    def is_owner(self) -> bool:
        """Whether this router divides the limits among the routers."""
        return self._owner is not None

    def take(
        self, account: declaration.ClientAccount, tokens: float
    ) -> limits.LimitDecision:
        """Charges a request to its account's budgets.

        Args:
            account: the account.
            tokens: maximum number of tokens that the request can use.

        Returns:
            Whether the request is allowed, and after which delay.
        """
        return self._holder.take(self._clock.now(), account, tokens)

    async def request_credit(
        self, account: declaration.ClientAccount, tokens: float
    ) -> bool:
        """Requests credit from the owner immediately and waits for it.

        Returns:
            Whether a grant arrived in time, so that another charge may succeed.
        """
        if not self._holder.request_credit(self._clock.now(), account, tokens):
            return False
        self._metrics.count("shares.asked")
        if self._demand_task is None or self._demand_task.done():
            self._demand_task = asyncio.ensure_future(
                self._send_batched_demand()
            )
        try:
            async with asyncio.timeout(GRANT_TIMEOUT_SECONDS):
                while self._holder.is_credit_pending(account.id):
                    await self._granted.wait()
        except TimeoutError:
            return False
        return True

    def settle(self, account: ids.AccountId, taken: float, used: float) -> None:
        """Refunds the tokens that a finished request did not use."""
        self._holder.settle(account, taken, used)

    def refund(self, account: ids.AccountId, tokens: float) -> None:
        """Refunds the whole charge of a request that did not run."""
        self._holder.refund_request(account, tokens)

    def handle_message(self, vm: ids.VmId, message: codec.AnyMessage) -> None:
        """Handles a demand or a grant from another router."""
        match message:
            case control_messages.ShareDemand():
                self._handle_demand(vm, message)
            case control_messages.ShareGrant():
                self._handle_grant(message)

    async def run(self) -> None:
        """Requests shares periodically until cancelled."""
        while True:
            self.tick()
            await self._clock.sleep(DEMAND_INTERVAL_SECONDS)

    def tick(self) -> None:
        """Sends a demand if one is due; drops expired state."""
        now = self._clock.now()
        self._send_demand(now)
        self._holder.remove_idle_accounts(now)
        if self._owner is not None:
            self._owner.expire(now)

    def _send_demand(self, now: float) -> None:
        """Sends a demand to the owner if there is anything to request."""
        self._detect_pause(now)
        self._holder.set_routers(self.count_routers())
        leader = self._board.read(blackboard_entries.LEADER)
        if leader is None:
            return
        demand = self._holder.make_demand(now)
        if demand is None:
            return
        if leader.vm == self._vm:
            self._handle_demand(self._vm, demand)
        elif not self._post(leader.vm, demand):
            self._metrics.count("shares.owner_unreachable")

    async def _send_batched_demand(self) -> None:
        await self._clock.sleep(DEMAND_BATCHING_SECONDS)
        self._send_demand(self._clock.now())
        deadline = self._clock.now() + GRANT_TIMEOUT_SECONDS
        while (
            self._holder.has_unsent_credit_request()
            and self._clock.now() < deadline
        ):
            await self._clock.sleep(account_budget.MIN_CREDIT_INTERVAL_SECONDS)
            self._send_demand(self._clock.now())

    def _handle_demand(
        self, vm: ids.VmId, demand: control_messages.ShareDemand
    ) -> None:
        if self._owner is None:
            self._metrics.count("shares.not_owner")
            return
        grant = self._owner.handle_demand(self._clock.now(), vm, demand)
        if grant is None:
            self._metrics.count("shares.not_granted")
            return
        self._metrics.count("shares.granted")
        if vm == self._vm:
            self._handle_grant(grant)
        else:
            self._post(vm, grant)

    def _handle_grant(self, grant: control_messages.ShareGrant) -> None:
        if not self._holder.apply_grant(self._clock.now(), grant):
            self._metrics.count("shares.old_grant")
            return
        granted, self._granted = self._granted, asyncio.Event()
        granted.set()

    def _update_owner(self) -> None:
        leader = self._board.read(blackboard_entries.LEADER)
        if leader is None:
            self._owner = None
            return
        self._holder.set_owner(leader.fencing_number)
        if leader.vm != self._vm:
            self._owner = None
            return
        if self._owner is None or self._owner.epoch != leader.fencing_number:
            self._become_owner(leader.fencing_number)

    def _become_owner(self, epoch: int) -> None:
        is_first_owner = epoch == FIRST_FENCING_NUMBER and self._owner is None
        self._owner = shares.ShareOwner(
            epoch, self._clock.now(), first=is_first_owner
        )
        self._update_accounts()
        self._metrics.count("shares.became_owner")
        _logger.info("divides the account limits", extra={"epoch": epoch})

    def _update_accounts(self) -> None:
        if self._owner is not None:
            declared = self._board.read(
                blackboard_entries.CONFIGURATION
            ).declared
            self._owner.set_accounts(declared.client_accounts)

    def _detect_pause(self, now: float) -> None:
        last = self._ticked_at
        self._ticked_at = now
        if last is None or now - last < MIN_PAUSE_SECONDS:
            return
        self._metrics.count("shares.paused")
        if self._owner is not None:
            # Another owner may have granted shares during the pause.
            self._become_owner(self._owner.epoch)
