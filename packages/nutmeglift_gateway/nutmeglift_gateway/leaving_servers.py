"""Backend servers that said in a response that they leave.

A server that has said so leaves for good, also while its entry has not changed
yet because the store is down. A restarted server is another lifetime.
"""

import collections

MAX_COUNT = 1024
"""Lifetimes that are remembered; their servers exit within seconds."""

Lifetime = tuple[str, int]
"""Instance id and start time of a server."""


class LeavingServers:
    """Remembers the lifetimes of servers that leave."""

    def __init__(self) -> None:
        self._lifetimes: collections.OrderedDict[Lifetime, None] = (
            collections.OrderedDict()
        )

    def record(self, lifetime: Lifetime) -> bool:
        """Records a server that leaves; returns whether that is new."""
        is_new = lifetime not in self._lifetimes
        self._lifetimes[lifetime] = None
        self._lifetimes.move_to_end(lifetime)
        if len(self._lifetimes) > MAX_COUNT:
            self._lifetimes.popitem(last=False)
        return is_new

    def __contains__(self, lifetime: Lifetime) -> bool:
        """Returns whether a server has said that it leaves."""
        return lifetime in self._lifetimes
