"""Bounded queue with priorities and weighted fair queueing of accounts."""

import collections
import dataclasses
import heapq
import math

from nutmeglift import ids

LOWER_PRIORITY_MIN_RATIO = 0.05
"""Minimum fraction of the work that lower priorities receive under load."""
MAX_IDLE_ACCOUNT_COUNT = 4096
"""Maximum number of accounts without queued requests that are tracked."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A queued request.

    Attributes:
        number: identifies the request.
        account: the client account of the caller.
        priority: higher values are served first.
        weight: relative share among accounts of the same priority.
        cost: estimated work, in tokens.
        arrived_at: clock time of its arrival, in seconds.
        due_at: clock time by which it should begin, in seconds; an account's
            requests with a sooner one go first. None: in order of arrival.
    """

    number: int
    account: ids.AccountId
    priority: int
    weight: float
    cost: float
    arrived_at: float
    due_at: float | None = None


class _AccountQueue:
    """Requests of one account and priority, with their virtual start time."""

    __slots__ = ("cost", "has_due_times", "start", "waiting", "weight")

    def __init__(self, start: float) -> None:
        self.start = start
        self.weight = 1.0
        self.cost = 0.0
        self.has_due_times = False
        self.waiting: collections.OrderedDict[int, QueuedRequest] = (
            collections.OrderedDict()
        )

    def head(self) -> QueuedRequest:
        """Returns the next request; the queue must not be empty."""
        if not self.has_due_times:
            return next(iter(self.waiting.values()))
        return min(
            self.waiting.values(),
            key=lambda request: (
                math.inf if request.due_at is None else request.due_at
            ),
        )

    @property
    def backlog(self) -> float:
        """Queued work divided by the weight, in tokens."""
        return self.cost / self.weight


class _PriorityLevel:
    """Start-time fair queueing of the accounts of one priority."""

    def __init__(self) -> None:
        self.cost = 0.0
        self.weight = 0.0
        self.virtual_time = 0.0
        self.queue_by_account: dict[ids.AccountId, _AccountQueue] = {}
        self._start_by_idle_account: dict[ids.AccountId, float] = {}
        self._heap: list[tuple[float, ids.AccountId]] = []

    def push(self, request: QueuedRequest) -> None:
        """Adds a request."""
        queue = self.queue_by_account.get(request.account)
        if queue is None:
            ahead = self._start_by_idle_account.pop(request.account, 0.0)
            queue = _AccountQueue(max(ahead, self.virtual_time))
            self.queue_by_account[request.account] = queue
            heapq.heappush(self._heap, (queue.start, request.account))
        if not queue.waiting:
            self.weight += request.weight
        else:
            self.weight += request.weight - queue.weight
        queue.weight = request.weight
        queue.waiting[request.number] = request
        queue.has_due_times |= request.due_at is not None
        queue.cost += request.cost
        self.cost += request.cost

    def head(self) -> QueuedRequest:
        """Returns the next request; the level must not be empty."""
        return self.queue_by_account[self._next_account()].head()

    def pop(self) -> QueuedRequest:
        """Removes the next request and charges its account."""
        account = self._next_account()
        queue = self.queue_by_account[account]
        request = queue.head()
        self.virtual_time = max(self.virtual_time, queue.start)
        queue.start += request.cost / request.weight
        heapq.heappop(self._heap)
        self.remove(request)
        if queue.waiting:
            heapq.heappush(self._heap, (queue.start, account))
        return request

    def remove(self, request: QueuedRequest) -> None:
        """Removes a request without charging its account."""
        queue = self.queue_by_account[request.account]
        del queue.waiting[request.number]
        queue.cost -= request.cost
        self.cost -= request.cost
        if queue.waiting:
            return
        self.weight -= queue.weight
        del self.queue_by_account[request.account]
        if queue.start > self.virtual_time:
            self._set_idle_start(request.account, queue.start)
        if not self.queue_by_account:
            self.cost = 0.0
            self.weight = 0.0
            self._heap.clear()

    def adjust_cost(self, account: ids.AccountId, change: float) -> None:
        """Adjusts an account's virtual start time by a change of cost."""
        queue = self.queue_by_account.get(account)
        if queue is not None:
            queue.start += change
            heapq.heappush(self._heap, (queue.start, account))
            self._prune_heap()
            return
        ahead = (
            self._start_by_idle_account.get(account, self.virtual_time) + change
        )
        if ahead > self.virtual_time:
            self._set_idle_start(account, ahead)
        else:
            self._start_by_idle_account.pop(account, None)

    def largest_backlog(self) -> ids.AccountId:
        """Returns the account with the most queued work for its weight."""
        queues = self.queue_by_account
        return max(queues, key=lambda account: queues[account].backlog)

    def _next_account(self) -> ids.AccountId:
        while True:
            start, account = self._heap[0]
            queue = self.queue_by_account.get(account)
            if queue is not None and queue.start == start:
                return account
            heapq.heappop(self._heap)

    def _prune_heap(self) -> None:
        if (
            len(self._heap)
            <= 2 * len(self.queue_by_account) + MAX_IDLE_ACCOUNT_COUNT
        ):
            return
        self._heap = [
            (queue.start, account)
            for account, queue in self.queue_by_account.items()
        ]
        heapq.heapify(self._heap)

    def _set_idle_start(self, account: ids.AccountId, start: float) -> None:
        self._start_by_idle_account[account] = start
        if len(self._start_by_idle_account) < MAX_IDLE_ACCOUNT_COUNT:
            return
        ahead = [
            (start, account)
            for account, start in self._start_by_idle_account.items()
            if start > self.virtual_time
        ]
        kept = heapq.nlargest(MAX_IDLE_ACCOUNT_COUNT // 2, ahead)
        self._start_by_idle_account = {
            account: start for start, account in kept
        }


class FairQueue:
    """Orders queued requests and selects which one to evict when full."""

    def __init__(
        self,
        max_waiting: int,
        lower_priority_ratio: float = LOWER_PRIORITY_MIN_RATIO,
    ) -> None:
        """Initializes an empty queue.

        Args:
            max_waiting: maximum number of queued requests.
            lower_priority_ratio: fraction of the dequeued work that priorities
                below the highest receive while both have requests queued.
        """
        self._max_waiting = max_waiting
        self._credit_per_served_token = lower_priority_ratio / (
            1 - lower_priority_ratio
        )
        self._lower_priority_credit = 0.0
        self._request_by_number: dict[int, QueuedRequest] = {}
        self._level_by_priority: dict[int, _PriorityLevel] = {}

    def __len__(self) -> int:
        return len(self._request_by_number)

    def __contains__(self, number: int) -> bool:
        return number in self._request_by_number

    def push(self, request: QueuedRequest) -> QueuedRequest | None:
        """Adds a request.

        Returns:
            The evicted request, possibly the new one, or None.
        """
        victim = self._find_victim(request)
        if victim is request:
            return request
        if victim is not None:
            self.remove(victim.number)
        level = self._level_by_priority.setdefault(
            request.priority, _PriorityLevel()
        )
        level.push(request)
        self._request_by_number[request.number] = request
        return victim

    def pop(self) -> QueuedRequest | None:
        """Removes and returns the next request; None if the queue is empty."""
        priorities = self._nonempty_priorities()
        if not priorities:
            return None
        priority, self._lower_priority_credit = self._choose_priority(
            priorities
        )
        request = self._level_by_priority[priority].pop()
        del self._request_by_number[request.number]
        return request

    def peek(self) -> QueuedRequest | None:
        """Returns what pop() would return, without removing it."""
        priorities = self._nonempty_priorities()
        if not priorities:
            return None
        return self._level_by_priority[
            self._choose_priority(priorities)[0]
        ].head()

    def remove(self, number: int) -> QueuedRequest | None:
        """Removes and returns a request; None if it is not queued."""
        request = self._request_by_number.pop(number, None)
        if request is not None:
            self._level_by_priority[request.priority].remove(request)
        return request

    def adjust_cost(self, request: QueuedRequest, actual_cost: float) -> None:
        """Replaces a request's estimated cost by its actual cost."""
        level = self._level_by_priority.setdefault(
            request.priority, _PriorityLevel()
        )
        change = (actual_cost - request.cost) / request.weight
        level.adjust_cost(request.account, change)

    def cost_ahead(
        self, account: ids.AccountId, priority: int, weight: float
    ) -> float:
        """Returns the work queued ahead of a new request, in tokens."""
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
        """Returns the total queued work, in tokens."""
        return sum(level.cost for level in self._level_by_priority.values())

    def _nonempty_priorities(self) -> list[int]:
        return sorted(
            (
                priority
                for priority, level in self._level_by_priority.items()
                if level.queue_by_account
            ),
            reverse=True,
        )

    def _choose_priority(self, priorities: list[int]) -> tuple[int, float]:
        """Returns the priority to serve, and the lower ones' credit then."""
        highest = priorities[0]
        if len(priorities) == 1:
            return highest, 0.0
        lower = min(priorities[1:], key=self._oldest_arrival)
        lower_cost = self._level_by_priority[lower].head().cost
        if self._lower_priority_credit >= lower_cost:
            return lower, self._lower_priority_credit - lower_cost
        cost = self._level_by_priority[highest].head().cost
        earned = cost * self._credit_per_served_token
        return highest, self._lower_priority_credit + earned

    def _oldest_arrival(self, priority: int) -> float:
        return self._level_by_priority[priority].head().arrived_at

    def _find_victim(self, request: QueuedRequest) -> QueuedRequest | None:
        if len(self._request_by_number) < self._max_waiting:
            return None
        priorities = self._nonempty_priorities()
        if not priorities or priorities[-1] > request.priority:
            return request
        level = self._level_by_priority[priorities[-1]]
        account = level.largest_backlog()
        queue = level.queue_by_account[account]
        if priorities[-1] == request.priority:
            own = level.queue_by_account.get(request.account)
            cost = request.cost + (own.cost if own is not None else 0.0)
            if queue.backlog <= cost / request.weight:
                return request
        return next(reversed(queue.waiting.values()))
