"""Keeps this router's shares of account limits; grants them as the owner."""

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
from nutmeglift_router import entries
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

TICK_SECONDS = 0.5
PAUSE_SECONDS = 2.5
FIRST_FENCING_NUMBER = 1
MILLISECONDS = 1000
ASK_DELAY_SECONDS = 0.002
"""Time in which requests that wait are gathered into one demand."""
MAX_ASK_SECONDS = 1.0

PostToRouter = Callable[[ids.VmId, codec.AnyMessage], bool]
CountRouters = Callable[[], int]

_logger = logging.getLogger(__name__)


def _not_connected(vm: ids.VmId, message: codec.AnyMessage) -> bool:
    return False


def _one_router() -> int:
    return 1


class ShareController:
    """Checks account limits; owns their division on the lease's holder.

    Attributes:
        count_routers: returns how many routers there are.
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
        """Makes a controller.

        Args:
            vm: this router's VM.
            board: the blackboard.
            clock: the clock.
            metrics: the metrics.
            post_to_router: sends a message to another router; returns False
                when there is no connection.
            count_routers: returns how many routers the VM list names, this
                one included.
        """
        self._vm = vm
        self._board = board
        self._clock = clock
        self._metrics = metrics
        self._post = post_to_router
        self.count_routers = count_routers
        self._holder = share_holder.ShareHolder(int(clock.utc() * MILLISECONDS))
        self._owner: shares.ShareOwner | None = None
        self._ticked_at: float | None = None
        self._answered = asyncio.Event()
        self._asking: asyncio.Task[None] | None = None
        board.watch(entries.LEADER, lambda _: self._take_leader())
        board.watch(entries.CONFIGURATION, lambda _: self._take_accounts())

    @property
    def owns(self) -> bool:
        """Whether this router divides the limits."""
        return self._owner is not None

    def take(
        self, account: declaration.ClientAccount, tokens: float
    ) -> limits.LimitDecision:
        """Takes a request out of its account's budgets."""
        return self._holder.take(self._clock.now(), account, tokens)

    async def ask(
        self, account: declaration.ClientAccount, tokens: float
    ) -> bool:
        """Asks the owner for credit at once.

        Returns:
            Whether it answered, so that taking again may succeed.
        """
        if not self._holder.request_credit(self._clock.now(), account, tokens):
            return False
        self._metrics.count("shares.asked")
        if self._asking is None or self._asking.done():
            self._asking = asyncio.ensure_future(self._ask_soon())
        try:
            async with asyncio.timeout(MAX_ASK_SECONDS):
                while self._holder.is_credit_pending(account.id):
                    await self._answered.wait()
        except TimeoutError:
            return False
        return True

    def settle(self, account: ids.AccountId, taken: float, used: float) -> None:
        """Gives back the tokens that an ended request did not use."""
        self._holder.settle(account, taken, used)

    def refund_request(self, account: ids.AccountId, tokens: float) -> None:
        """Gives back all that was taken for a request that did not run."""
        self._holder.refund_request(account, tokens)

    def take_message(self, vm: ids.VmId, message: codec.AnyMessage) -> None:
        """Takes a message from another router."""
        match message:
            case control_messages.ShareDemand():
                self._take_demand(vm, message)
            case control_messages.ShareGrant():
                self._take_grant(message)

    async def run(self) -> None:
        """Asks for shares, for ever."""
        while True:
            self.tick()
            await self._clock.sleep(TICK_SECONDS)

    def tick(self) -> None:
        """Asks for shares, and forgets what has lapsed."""
        now = self._clock.now()
        self._send_demand(now)
        self._holder.remove_idle_accounts(now)
        if self._owner is not None:
            self._owner.expire(now)

    def _send_demand(self, now: float) -> None:
        """Asks for shares now, if there is something to ask for."""
        self._check_pause(now)
        self._holder.set_routers(self.count_routers())
        leader = self._board.read(entries.LEADER)
        if leader is None:
            return
        demand = self._holder.make_demand(now)
        if demand is None:
            return
        if leader.vm == self._vm:
            self._take_demand(self._vm, demand)
        elif not self._post(leader.vm, demand):
            self._metrics.count("shares.owner_unreachable")

    async def _ask_soon(self) -> None:
        await self._clock.sleep(ASK_DELAY_SECONDS)
        self._send_demand(self._clock.now())
        asked_until = self._clock.now() + MAX_ASK_SECONDS
        while (
            self._holder.has_unsent_credit_request()
            and self._clock.now() < asked_until
        ):
            await self._clock.sleep(account_budget.MIN_CREDIT_INTERVAL_SECONDS)
            self._send_demand(self._clock.now())

    def _take_demand(
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
            self._take_grant(grant)
        else:
            self._post(vm, grant)

    def _take_grant(self, grant: control_messages.ShareGrant) -> None:
        if not self._holder.apply_grant(self._clock.now(), grant):
            self._metrics.count("shares.old_grant")
            return
        answered, self._answered = self._answered, asyncio.Event()
        answered.set()

    def _take_leader(self) -> None:
        leader = self._board.read(entries.LEADER)
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
        first = epoch == FIRST_FENCING_NUMBER and self._owner is None
        self._owner = shares.ShareOwner(epoch, self._clock.now(), first=first)
        self._take_accounts()
        self._metrics.count("shares.became_owner")
        _logger.info("divides the account limits", extra={"epoch": epoch})

    def _take_accounts(self) -> None:
        if self._owner is not None:
            declared = self._board.read(entries.CONFIGURATION).declared
            self._owner.set_accounts(declared.client_accounts)

    def _check_pause(self, now: float) -> None:
        last = self._ticked_at
        self._ticked_at = now
        if last is None or now - last < PAUSE_SECONDS:
            return
        self._metrics.count("shares.paused")
        if self._owner is not None:
            # Another owner may have granted shares meanwhile.
            self._become_owner(self._owner.epoch)
