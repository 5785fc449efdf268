"""Bounded queue: by priority, then weighted fairness among accounts."""

import collections
import dataclasses
import heapq

from nutmeglift import ids

FLOOR_SHARE = 0.05
"""Share of the work that lower priorities get while higher ones wait."""
DEBTS_KEPT = 4096
"""Most accounts without waiting requests that are kept track of."""


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A request that waits.

    Attributes:
        number: identifies it.
        account: the caller's account.
        priority: higher goes first.
        weight: share among accounts of the same priority.
        cost: work, in tokens.
        arrived: when it came, in seconds.
    """

    number: int
    account: ids.AccountId
    priority: int
    weight: float
    cost: float
    arrived: float


class _AccountQueue:
    """Requests of one account and priority, and its virtual start time."""

    __slots__ = ("cost", "start", "waiting", "weight")

    def __init__(self, start: float) -> None:
        self.start = start
        self.weight = 1.0
        self.cost = 0.0
        self.waiting: collections.OrderedDict[int, Waiting] = (
            collections.OrderedDict()
        )

    @property
    def backlog(self) -> float:
        """Work that waits, over the weight."""
        return self.cost / self.weight


class _Level:
    """The accounts of one priority: start-time fair queueing."""

    def __init__(self) -> None:
        self.cost = 0.0
        self.weight = 0.0
        self.virtual_time = 0.0
        self.queue_by_account: dict[ids.AccountId, _AccountQueue] = {}
        self._ahead_by_account: dict[ids.AccountId, float] = {}
        self._heap: list[tuple[float, ids.AccountId]] = []

    def push(self, request: Waiting) -> None:
        """Adds a request."""
        queue = self.queue_by_account.get(request.account)
        if queue is None:
            ahead = self._ahead_by_account.pop(request.account, 0.0)
            queue = _AccountQueue(max(ahead, self.virtual_time))
            self.queue_by_account[request.account] = queue
            heapq.heappush(self._heap, (queue.start, request.account))
        if not queue.waiting:
            self.weight += request.weight
        else:
            self.weight += request.weight - queue.weight
        queue.weight = request.weight
        queue.waiting[request.number] = request
        queue.cost += request.cost
        self.cost += request.cost

    def head(self) -> Waiting:
        """Returns the request that is next; the level must not be empty."""
        account = self._first_account()
        return next(iter(self.queue_by_account[account].waiting.values()))

    def pop(self) -> Waiting:
        """Takes out the request that is next and charges its account."""
        account = self._first_account()
        queue = self.queue_by_account[account]
        request = next(iter(queue.waiting.values()))
        self.virtual_time = max(self.virtual_time, queue.start)
        queue.start += request.cost / request.weight
        heapq.heappop(self._heap)
        self.remove(request)
        if queue.waiting:
            heapq.heappush(self._heap, (queue.start, account))
        return request

    def remove(self, request: Waiting) -> None:
        """Takes out a request without charging its account."""
        queue = self.queue_by_account[request.account]
        del queue.waiting[request.number]
        queue.cost -= request.cost
        self.cost -= request.cost
        if queue.waiting:
            return
        self.weight -= queue.weight
        del self.queue_by_account[request.account]
        if queue.start > self.virtual_time:
            self._set_ahead(request.account, queue.start)
        if not self.queue_by_account:
            self.cost = 0.0
            self.weight = 0.0
            self._heap.clear()

    def correct(self, account: ids.AccountId, change: float) -> None:
        """Charges an account for more, or less, than was estimated."""
        queue = self.queue_by_account.get(account)
        if queue is not None:
            queue.start += change
            heapq.heappush(self._heap, (queue.start, account))
            self._prune_heap()
            return
        ahead = self._ahead_by_account.get(account, self.virtual_time) + change
        if ahead > self.virtual_time:
            self._set_ahead(account, ahead)
        else:
            self._ahead_by_account.pop(account, None)

    def heaviest(self) -> ids.AccountId:
        """Returns the account with the most work waiting for its weight."""
        queues = self.queue_by_account
        return max(queues, key=lambda account: queues[account].backlog)

    def _first_account(self) -> ids.AccountId:
        while True:
            start, account = self._heap[0]
            queue = self.queue_by_account.get(account)
            if queue is not None and queue.start == start:
                return account
            heapq.heappop(self._heap)

    def _prune_heap(self) -> None:
        if len(self._heap) <= 2 * len(self.queue_by_account) + DEBTS_KEPT:
            return
        self._heap = [
            (queue.start, account)
            for account, queue in self.queue_by_account.items()
        ]
        heapq.heapify(self._heap)

    def _set_ahead(self, account: ids.AccountId, start: float) -> None:
        self._ahead_by_account[account] = start
        if len(self._ahead_by_account) < DEBTS_KEPT:
            return
        ahead = [
            (start, account)
            for account, start in self._ahead_by_account.items()
            if start > self.virtual_time
        ]
        kept = heapq.nlargest(DEBTS_KEPT // 2, ahead)
        self._ahead_by_account = {account: start for start, account in kept}


class FairQueue:
    """Holds what waits; says what is next and what has to make room."""

    def __init__(
        self, max_waiting: int, floor_share: float = FLOOR_SHARE
    ) -> None:
        """Makes an empty queue.

        Args:
            max_waiting: most requests that wait.
            floor_share: share of the work that priorities below the highest
                get while both wait.
        """
        self._max_waiting = max_waiting
        self._floor_per_served = floor_share / (1 - floor_share)
        self._floor_credit = 0.0
        self._request_by_number: dict[int, Waiting] = {}
        self._level_by_priority: dict[int, _Level] = {}

    def __len__(self) -> int:
        return len(self._request_by_number)

    def __contains__(self, number: int) -> bool:
        return number in self._request_by_number

    def push(self, request: Waiting) -> Waiting | None:
        """Adds a request.

        Returns:
            The request that has to make room, perhaps the new one itself.
        """
        victim = self._find_victim(request)
        if victim is request:
            return request
        if victim is not None:
            self.remove(victim.number)
        level = self._level_by_priority.setdefault(request.priority, _Level())
        level.push(request)
        self._request_by_number[request.number] = request
        return victim

    def pop(self) -> Waiting | None:
        """Takes out the request that is next, or returns None."""
        busy = self._busy_priorities()
        if not busy:
            return None
        priority = self._choose_priority(busy)
        request = self._level_by_priority[priority].pop()
        del self._request_by_number[request.number]
        return request

    def remove(self, number: int) -> Waiting | None:
        """Takes out a request that waits no more, if it is there."""
        request = self._request_by_number.pop(number, None)
        if request is not None:
            self._level_by_priority[request.priority].remove(request)
        return request

    def correct(self, request: Waiting, real_cost: float) -> None:
        """Charges an account what its request really cost."""
        level = self._level_by_priority.setdefault(request.priority, _Level())
        change = (real_cost - request.cost) / request.weight
        level.correct(request.account, change)

    def cost_ahead(
        self, account: ids.AccountId, priority: int, weight: float
    ) -> float:
        """Returns the work that goes before a new request, in tokens."""
        higher = sum(
            level.cost
            for number, level in self._level_by_priority.items()
            if number > priority
        )
        level = self._level_by_priority.get(priority)
        if level is None or not level.queue_by_account:
            return higher
        queue = level.queue_by_account.get(account)
        own = 0.0 if queue is None else queue.cost
        others = level.weight if queue is None else level.weight - queue.weight
        fair = own * (others + weight) / weight
        return higher + min(level.cost, fair)

    def total_cost(self) -> float:
        """Returns all work that waits, in tokens."""
        return sum(level.cost for level in self._level_by_priority.values())

    def _busy_priorities(self) -> list[int]:
        return sorted(
            (
                priority
                for priority, level in self._level_by_priority.items()
                if level.queue_by_account
            ),
            reverse=True,
        )

    def _choose_priority(self, busy: list[int]) -> int:
        highest = busy[0]
        if len(busy) == 1:
            self._floor_credit = 0.0
            return highest
        lower = min(busy[1:], key=self._oldest_arrival)
        lower_cost = self._level_by_priority[lower].head().cost
        if self._floor_credit >= lower_cost:
            self._floor_credit -= lower_cost
            return lower
        cost = self._level_by_priority[highest].head().cost
        self._floor_credit += cost * self._floor_per_served
        return highest

    def _oldest_arrival(self, priority: int) -> float:
        return self._level_by_priority[priority].head().arrived

    def _find_victim(self, request: Waiting) -> Waiting | None:
        if len(self._request_by_number) < self._max_waiting:
            return None
        busy = self._busy_priorities()
        if not busy or busy[-1] > request.priority:
            return request
        level = self._level_by_priority[busy[-1]]
        account = level.heaviest()
        heaviest = level.queue_by_account[account]
        if busy[-1] == request.priority:
            own = level.queue_by_account.get(request.account)
            cost = request.cost + (own.cost if own is not None else 0.0)
            if heaviest.backlog <= cost / request.weight:
                return request
        return next(reversed(heaviest.waiting.values()))
