"""Decides which routers read the store for their failure domain.

Load: each router that reads the store by itself pays for its calls, and all of
them begin at the same time when the planner, the store or a link is lost. The
routers of a failure domain therefore take turns: the first one in the order
begins without delay, the others later, unless they receive its changes and
confirmations. Each decides by the reports that it receives, so that a router
without peers reads the store without delay.

Times are seconds of the event loop's clock.
"""

import dataclasses
import random

from nutmeglift_gateway import board as boards
from nutmeglift_gateway import store_outage

MIN_SHARING_COUNT = 3
"""Routers of a failure domain from which on they take turns."""
TURN_SECONDS = 0.2
"""Time in which a reader's first results reach its peers: a call to the store,
and a report."""
MAX_TURN_COUNT = 2
"""Later turns begin at the same time: all read the store once the first two
readers are lost, within a second with the time after which a lost one is
noticed."""
RETRY_SECONDS = (0.5, 1.2, 10.0)
"""Longest delays of the next call to a store that does not serve this router,
by its turn. The readers of several failure domains notice its return earlier
between them, and the others learn it from their reports."""
UNSHARED_RETRY_SECONDS = 0.3
"""Longest delay without turns. It bounds how long after the last failed call
the store may have returned."""
DOUBT_SECONDS = 0.5
"""Additional delay once two routers of the failure domain were not served: the
store is probably away, which most routers find when they renew their leases."""
DOUBT_CONFIRM_SECONDS = 0.2
"""The same for a confirmation, which has to come, with its response, within the
operators' bound for a change to take effect."""
DOUBT_COUNT = 2
SERVED_RENEWAL_SECONDS = 1.5
"""Shortest delay of the next renewal while the store serves a peer."""
MAX_RENEWAL_DELAY_SECONDS = 1.8
"""Longest delay of the next renewal: those before it in their turn may be cut
off from a store that has returned. With the second after which a call fails it
is within the operators' bound for contact."""
LAST_RENEWAL_SECONDS = 0.2
"""Shortest delay before the lease lapses. A renewal that is sent after half of
its time to live and isn't answered for a second leaves time for another one."""
RENEWALS = 3
"""Renewals of a lease in its time to live, by which a reader notices an outage
early."""
FEW_RENEWALS = 2
"""Renewals of other routers in that time: one of them may be lost."""
FIRST_RETRY_SECONDS = 0.05
"""Longest delay after the first failure of a reader; doubled by each further
one."""
MIN_RETRY_RATIO = 0.5
"""Spreads the delays between this part and the whole."""


@dataclasses.dataclass(frozen=True)
class Turn:
    """A router's turn to read the store.

    Attributes:
        rank: live routers of the failure domain that come before it.
        is_shared: whether there are enough routers to take turns.
        in_doubt: whether the store is probably away, though it has not failed
            to serve this router.
    """

    rank: int
    is_shared: bool = True
    in_doubt: bool = False

    @property
    def is_reader(self) -> bool:
        """Whether this router reads for the others of its failure domain."""
        return self.is_shared and self.rank == 0

    @property
    def delay(self) -> float:
        """Seconds for which to wait for what routers before it read."""
        seconds = TURN_SECONDS * min(self.rank, MAX_TURN_COUNT)
        return seconds + DOUBT_SECONDS if self.in_doubt else seconds

    @property
    def max_retry_delay(self) -> float:
        """Longest delay of the next call after one that failed, in seconds."""
        if not self.is_shared:
            return UNSHARED_RETRY_SECONDS
        return RETRY_SECONDS[min(self.rank, MAX_TURN_COUNT)]

    def jitter(self, longest: float, ratio: float) -> float:
        """Returns the delay of a call after that of a reader, in seconds.

        Args:
            longest: the longest delay.
            ratio: random part of it, from 0 to 1.
        """
        if not self.is_shared:
            return longest * ratio
        if self.is_reader:
            return 0.0
        if self.in_doubt:
            return longest + DOUBT_CONFIRM_SECONDS * ratio
        return longest * (1 + ratio) / 2


UNSHARED = Turn(0, is_shared=False)


class Retries:
    """Delays the calls that follow one that failed."""

    def __init__(self, rng: random.Random) -> None:
        """Initializes without a failure.

        Args:
            rng: random number generator of the spread.
        """
        self._rng = rng
        self._failed_at = float("-inf")
        self._backoff = FIRST_RETRY_SECONDS
        self._ratio = 1.0

    def record_answer(self) -> None:
        """Records a call that was answered."""
        self._failed_at = float("-inf")
        self._backoff = FIRST_RETRY_SECONDS

    def record_failure(self, now: float) -> None:
        """Records a call that failed."""
        if self._failed_at != float("-inf"):
            self._backoff = min(2 * self._backoff, RETRY_SECONDS[0])
        self._failed_at = now
        self._ratio = self._rng.uniform(MIN_RETRY_RATIO, 1.0)

    def may_call(self, now: float, turn: Turn, *, served: bool) -> bool:
        """Returns whether to make the next call.

        Args:
            now: the time.
            turn: this router's turn now.
            served: whether the store has answered since.
        """
        longest = turn.max_retry_delay
        if served or not turn.rank:
            longest = min(longest, self._backoff)
        return now - self._failed_at >= longest * self._ratio


class StoreReaders:
    """Determines the turn of one router in its failure domain."""

    def __init__(
        self, board: boards.Board, vm: str, outage: store_outage.StoreOutage
    ) -> None:
        """Initializes the decision.

        Args:
            board: the router's shared state.
            vm: this router's VM.
            outage: tracks whether the store serves this router.
        """
        self._board = board
        self._vm = vm
        self._outage = outage

    def may_call(self, now: float, retries: "Retries") -> bool:
        """Returns whether to make the next call.

        Args:
            now: the time.
            retries: the calls of the same kind that failed.
        """
        turn = self.turn(now)
        failed_ago_ms = self._outage.failed_ago_ms(now)
        if turn.rank and 0 <= failed_ago_ms < 1000 * turn.max_retry_delay:
            # Another call to the store has just failed, or a peer's.
            return False
        return retries.may_call(now, turn, served=failed_ago_ms < 0)

    def renewals_per_ttl(self, now: float) -> int:
        """Returns how often to renew a lease in its time to live."""
        turn = self.turn(now)
        return FEW_RENEWALS if turn.is_shared and turn.rank else RENEWALS

    def may_renew(self, now: float, failed_at: float, lapses_at: float) -> bool:
        """Returns whether to renew the lease again after a failure.

        A renewal costs a tenth of another call unless it fails. While the store
        serves no peer, only those try it whose turn it is.

        Args:
            now: the time.
            failed_at: time of the failure.
            lapses_at: time at which the lease lapses.
        """
        turn = self.turn(now)
        if turn.rank == 0:
            return True
        peers = self._board.live_peers.in_domain(now, self._board.home)
        delay = min(turn.max_retry_delay, MAX_RENEWAL_DELAY_SECONDS)
        if any(peer.served for peer in peers.values()):
            delay = SERVED_RENEWAL_SECONDS
            if now < lapses_at:
                delay = LAST_RENEWAL_SECONDS
        return now - failed_at >= delay

    def turn(self, now: float) -> Turn:
        """Returns this router's turn.

        Routers that the store serves come before the others. The planner is
        always the first, as it relays to all failure domains.

        Args:
            now: the time.
        """
        peers = self._board.live_peers.in_domain(now, self._board.home)
        if len(peers) + 1 < MIN_SHARING_COUNT:
            return UNSHARED
        if self._board.fence:
            return Turn(0)
        own = (self._outage.is_down, self._vm)
        unserved = sum(not peer.served for peer in peers.values())
        return Turn(
            sum((not peer.served, name) < own for name, peer in peers.items()),
            in_doubt=unserved >= DOUBT_COUNT and not self._outage.is_down,
        )
