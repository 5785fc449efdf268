"""The retry budget that all routers hold together.

In any window a service may get as many repeats as a ratio of its requests, and
a constant more. Routers tell each other what they counted, so that one whose
streams all lost their runner may spend what the others don't need. What peers
have spent since their last report is taken to be as much as we have.
"""

import collections
import dataclasses
import enum

USABLE_BUDGET_RATIO = 0.75
"""Part of the budget that is spent: what routers that were lost or cut off
had counted is not known."""
NOT_STARTED_BUDGET_RATIO = 0.5
"""Part of it that requests which have not begun may take: their callers come
back at no cost to the budget, while a stream that is not resumed is lost."""
MAX_REPORT_AGE_SECONDS = 0.3
"""A peer's count is at most so old: an interval of reports, and its way."""
PEER_REPORT_TIMEOUT_SECONDS = 1.5
"""A router whose count is older is left its own share of the budget."""


class Purpose(enum.Enum):
    """What a repeat is for."""

    NOT_STARTED = "anew"
    """Nothing of the answer was delivered."""
    RESUME = "resume"
    """The rest of a stream that has begun."""


def purpose(*, started: bool) -> Purpose:
    """Returns what a repeat is for.

    Args:
        started: whether a part of the answer was delivered.
    """
    return Purpose.RESUME if started else Purpose.NOT_STARTED


@dataclasses.dataclass(frozen=True)
class Counts:
    """One router's count within the window.

    Attributes:
        requests: callers' requests for the service.
        repeats: repeats that it sent.
    """

    requests: int
    repeats: int


class RetryBudget:
    """What one router knows of a service's retry budget."""

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
        self._peer_counts: dict[str, tuple[float, Counts]] = {}

    def set_bounds(self, *, ratio: float, slack: float, window: float) -> None:
        """Replaces what the constructor took."""
        self._ratio = ratio
        self._slack = slack
        self._window = window

    def note_request(self, now: float) -> None:
        """Notes a caller's request for the service."""
        self._requests.append(now)

    def counts(self, now: float) -> Counts:
        """Returns our own count, for the other routers."""
        self._expire(now)
        return Counts(len(self._requests), len(self._repeats))

    def set_peer_counts(self, now: float, peer: str, counts: Counts) -> None:
        """Takes another router's count."""
        self._peer_counts[peer] = (now, counts)

    def can_spend(self, now: float, routers: int, purpose: Purpose) -> bool:
        """Tells whether a repeat is left.

        Args:
            now: seconds.
            routers: number of live routers, this one included.
            purpose: what it is for.
        """
        self._expire(now)
        peers = [counts for _, counts in self._peer_counts.values()]
        routers = max(1, routers, len(peers) + 1)
        known = (len(peers) + 1) / routers
        requests = len(self._requests) + sum(c.requests for c in peers)
        allowed = USABLE_BUDGET_RATIO * (
            self._ratio * requests + self._slack * known
        )
        if purpose is Purpose.NOT_STARTED:
            allowed *= NOT_STARTED_BUDGET_RATIO
        recent = sum(
            1 for at in self._repeats if at > now - MAX_REPORT_AGE_SECONDS
        )
        spent = len(self._repeats) + sum(c.repeats for c in peers)
        return spent + recent * len(peers) + 1 <= allowed

    def try_spend(
        self, now: float, routers: int, purpose: Purpose = Purpose.RESUME
    ) -> bool:
        """Takes one repeat out of the budget, if there is one.

        Args:
            now: seconds.
            routers: number of live routers, this one included.
            purpose: what it is for.
        """
        if not self.can_spend(now, routers, purpose):
            return False
        self._repeats.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._window:
                times.popleft()
        for peer, (taken_at, _) in list(self._peer_counts.items()):
            if now - taken_at > PEER_REPORT_TIMEOUT_SECONDS:
                del self._peer_counts[peer]
