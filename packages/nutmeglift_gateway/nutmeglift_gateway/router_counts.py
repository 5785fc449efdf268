"""The greatest number of routers listed within a window.

A store that comes back from an older copy, or whose leases ran out, lists fewer
routers than there are.
"""

import collections


class RouterCounts:
    """Tracks the number of listed routers over a sliding window."""

    def __init__(self) -> None:
        self._counts: collections.deque[tuple[float, int]] = collections.deque()

    def record(self, now: float, count: int, window: float) -> int:
        """Records the number of routers listed now.

        Args:
            now: loop time in seconds.
            count: number of routers, including this one.
            window: length of the window in seconds.

        Returns:
            The greatest number within the window.
        """
        while self._counts and self._counts[0][0] <= now - window:
            self._counts.popleft()
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))
        return self._counts[0][1]
