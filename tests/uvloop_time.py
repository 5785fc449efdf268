"""An event loop of uvloop whose time is counted in turns.

A turn takes a millisecond of real time or more, and always counts as one. A
process that has no processor for a while therefore sees no time pass.
"""

import asyncio
import heapq
import itertools

import uvloop

TURN_SECONDS = 0.001


class TurnTimeLoop(uvloop.Loop):
    """Counts turns as time; timers run before sockets are read."""

    def __init__(self):
        super().__init__()
        self._now = 0.0
        self._timers = []
        self._order = itertools.count()
        super().call_later(TURN_SECONDS, self._tick)

    def time(self):
        return self._now

    def advance(self, seconds):
        """Lets time pass in which no event is processed."""
        self._now += seconds

    def call_later(self, delay, callback, *args, context=None):
        return self.call_at(self._now + delay, callback, *args, context=context)

    def call_at(self, when, callback, *args, context=None):
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        heapq.heappush(self._timers, (when, next(self._order), handle))
        return handle

    def _timer_handle_cancelled(self, handle):
        """Leaves a cancelled timer in the queue, where it is passed over."""

    def _tick(self):
        if self.is_closed():
            return
        self._now += TURN_SECONDS
        while self._timers and self._timers[0][0] <= self._now:
            _, _, handle = heapq.heappop(self._timers)
            if not handle.cancelled():
                handle._run()
        super().call_later(TURN_SECONDS, self._tick)
