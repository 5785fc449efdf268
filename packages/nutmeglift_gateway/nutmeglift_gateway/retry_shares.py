"""The retry budget that all routers hold together.

In any window a service may get as many repeats as a ratio of its requests, and
a constant more. Each router spends its own ratio, and its part of the constant
by the number of live routers.
"""

import collections

SAFETY = 0.6
"""Part of the budget that is spent: callers' requests that other routers
count are seen late, and the number of live routers changes."""


class RetryShares:
    """One router's share of a service's retry budget."""

    def __init__(self, *, ratio: float, slack: float, window: float) -> None:
        """Makes it.

        Args:
            ratio: repeats for each request.
            slack: repeats in a window that are always allowed, over all
                routers.
            window: seconds; any span of that length counts.
        """
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def set_bounds(self, *, ratio: float, slack: float, window: float) -> None:
        """Replaces what the constructor took."""
        self._ratio = ratio
        self._slack = slack
        self._window = window

    def note_request(self, now: float) -> None:
        """Notes a caller's request for the service."""
        self._requests.append(now)

    def try_spend(self, now: float, routers: int) -> bool:
        """Takes one repeat out of the budget, if there is one.

        Args:
            now: seconds.
            routers: number of live routers, this one included.
        """
        self._expire(now)
        allowed = SAFETY * (
            self._ratio * len(self._requests) + self._slack / max(1, routers)
        )
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._window:
                times.popleft()
