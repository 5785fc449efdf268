"""The retry budget of a service, shared by all routers.

In any window the retries of a service are limited to a ratio of its requests
plus a constant. Routers report their counts to each other, so that a router
whose streams all lost their runner can use what the others do not need. Peers
are assumed to have sent as many retries since their last report as this router
has.

A peer that is not heard keeps its share, as it may go on, and the retries that
it had sent stay counted until they have left the window. So do those of a
process that has ended. A process that has just started knows neither the other
routers nor what the process before it has sent. It has no share of the constant
until a router that has run for a window reports it, or a window has passed.
"""

import bisect
import collections
import dataclasses
import enum
import math

from nutmeglift_gateway.load import second_attempt_share

USABLE_BUDGET_RATIO = 0.75
"""Usable part of the budget: the counts of lost or unreachable routers are
unknown."""
NOT_STARTED_BUDGET_RATIO = 0.5
"""Part of that for requests without a delivered event: their callers can retry
at no cost to the budget, while a stream that is not resumed is lost."""
PEER_REPORT_TIMEOUT_SECONDS = 1.5
"""A router whose count is older keeps its own share of the budget."""


class Purpose(enum.Enum):
    """Purpose of a retry."""

    NOT_STARTED = "anew"
    """No part of the response was delivered."""
    RESUME = "resume"
    """Resumes a stream of which a part was delivered."""
    SECOND_ATTEMPT = "second"
    """Runs beside a slow attempt of which no part was delivered."""


def purpose(*, started: bool) -> Purpose:
    """Returns the purpose of a retry.

    Args:
        started: whether part of the response was delivered.
    """
    return Purpose.RESUME if started else Purpose.NOT_STARTED


@dataclasses.dataclass(frozen=True)
class Counts:
    """One router's counts within the window.

    Attributes:
        requests: callers' requests for the service.
        retries: retries that it sent.
        process: identifies the router's process; 0 if unknown.
        total: retries that the process has sent since its start.
        overspent: retries that routers that are not heard had sent beyond their
            requests' part.
        complete: whether the process has run for a window.
        second_attempts: those of the retries that ran beside a slow attempt.
    """

    requests: int
    retries: int
    process: int = 0
    total: int = 0
    overspent: int = 0
    complete: bool = False
    second_attempts: int = 0


class _Peer:
    """What one process of another router has reported."""

    def __init__(self) -> None:
        self.received_at = float("-inf")
        self.as_of = float("-inf")
        self.requests = 0
        self.replaced = False
        self.overspent = 0
        self.complete = False
        self.reported = 0
        self._total: int | None = None
        self._second_attempts: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._spent: collections.deque[tuple[float, int]] = collections.deque()

    def record(self, now: float, as_of: float, counts: Counts) -> None:
        """Records a report.

        Retries are dated by the report that first counts them, so that they
        stay counted for a window from then on.
        """
        self.received_at = now
        self.as_of = max(self.as_of, as_of)
        self.requests = counts.requests
        self.overspent = counts.overspent
        self.complete = counts.complete
        self.reported = counts.retries
        new = counts.retries
        if not counts.process:
            # A router of the version before sends no total.
            new -= self.dated_retries()
        elif self._total is not None:
            new = min(new, counts.total - self._total)
        self._total = counts.total
        if new > 0:
            self._spent.append((now, new))
        new = counts.second_attempts - self.second_attempts
        if new > 0:
            self._second_attempts.append((now, new))

    def expire(self, limit: float) -> None:
        """Drops the retries that were counted until then."""
        for dated in (self._spent, self._second_attempts):
            while dated and dated[0][0] <= limit:
                dated.popleft()

    @property
    def second_attempts(self) -> int:
        """Its second attempts that have not been dropped."""
        return sum(count for _, count in self._second_attempts)

    @property
    def has_dated(self) -> bool:
        """Whether any of its retries have not been dropped."""
        return bool(self._spent or self._second_attempts)

    def dated_retries(self) -> int:
        """Returns its retries that have not been dropped."""
        return sum(count for _, count in self._spent)

    def is_live(self, now: float) -> bool:
        """Returns whether its counts are of now."""
        age = now - self.as_of
        return not self.replaced and age <= PEER_REPORT_TIMEOUT_SECONDS


class RetryBudget:
    """One router's view of a service's retry budget."""

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window: float,
        second_ratio: float = 0.0,
        process: int = 0,
        settled_at: float = float("-inf"),
        complete_at: float = float("-inf"),
    ) -> None:
        """Initializes an empty budget.

        Args:
            ratio: allowed retries per request.
            slack: retries that are always allowed in a window, over all
                routers.
            window: length of the sliding window in seconds.
            second_ratio: allowed second attempts per request; part of the
                retries.
            process: identifies this process to the other routers.
            settled_at: loop time from which this router has heard from the
                others; it has no share of the slack before.
            complete_at: loop time from which it knows what was sent in the
                window. Before, a peer that knows it has to report it.
        """
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._second_ratio = second_ratio
        self._process = process
        self._settled_at = settled_at
        self._complete_at = complete_at
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()
        self._total = 0
        self._peer_by_process: dict[tuple[str, int], _Peer] = {}
        self._dated_by_process: dict[tuple[str, int], _Peer] = {}
        self._expires_at = float("-inf")
        self._share = second_attempt_share.SecondAttemptShare()

    def set_bounds(
        self,
        *,
        ratio: float,
        slack: float,
        window: float,
        second_ratio: float = 0.0,
    ) -> None:
        """Replaces the limits; see the constructor."""
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._expires_at = float("-inf")
        self._second_ratio = second_ratio

    def record_request(self, now: float) -> None:
        """Counts a caller's request for the service."""
        self._requests.append(now)

    def counts(self, now: float) -> Counts:
        """Returns this router's counts, for the other routers."""
        self._expire(now)
        self._share.observe(now, self._second_limit, *self._share_counts(now))
        return Counts(
            len(self._requests),
            len(self._retries),
            self._process,
            self._total,
            math.ceil(self._overspent(now)),
            complete=now >= self._complete_at,
            second_attempts=self._share.sent,
        )

    def set_peer_counts(
        self,
        now: float,
        peer: str,
        counts: Counts,
        as_of: float | None = None,
    ) -> None:
        """Replaces the counts of another router.

        Args:
            now: event loop time in seconds.
            peer: name of the router.
            counts: its counts.
            as_of: loop time by which it had not yet taken them; None for now.
        """
        found = self._peer_by_process.get((peer, counts.process))
        if found is None:
            found = self._peer_by_process[peer, counts.process] = _Peer()
            for (name, _), other in self._peer_by_process.items():
                if name == peer and other is not found:
                    other.replaced = True
        found.record(now, now if as_of is None else as_of, counts)
        if found.has_dated:
            self._dated_by_process[peer, counts.process] = found

    def can_spend(self, now: float, routers: int, purpose: Purpose) -> bool:
        """Returns whether the budget allows another retry.

        Args:
            now: event loop time in seconds.
            routers: number of live routers, including this one.
            purpose: purpose of the retry.
        """
        self._expire(now)
        if purpose is Purpose.SECOND_ATTEMPT and not self._has_share(now):
            return False
        usable = USABLE_BUDGET_RATIO
        if purpose is not Purpose.RESUME:
            usable *= NOT_STARTED_BUDGET_RATIO
        own = len(self._retries) + 1
        live = [p for p in self._peer_by_process.values() if p.is_live(now)]
        if not self._is_informed(now, live) and own > (
            usable * self._ratio * len(self._requests)
        ):
            return False
        names = {name for name, _ in self._peer_by_process}
        share = (len(live) + 1) / max(routers, len(names) + 1)
        requests = len(self._requests) + sum(p.requests for p in live)
        allowed = usable * (self._ratio * requests + self._slack * share)
        spent = own + sum(p.reported for p in live) + self._overspent(now)
        if now < self._complete_at:
            # The peers know what the process before this one had sent.
            spent += max([0, *(p.overspent for p in live)])
        return spent + self._unreported(live) <= allowed

    @property
    def _second_limit(self) -> float:
        return USABLE_BUDGET_RATIO * self._second_ratio

    def _has_share(self, now: float) -> bool:
        """Returns whether the share of second attempts has one left.

        None is sent before all that was sent in the window is known.
        """
        if now < self._complete_at or not self._second_ratio:
            return False
        return self._share.allows(
            now, self._second_limit, *self._share_counts(now)
        )

    def _share_counts(
        self, now: float
    ) -> tuple[
        second_attempt_share.RouterCount,
        list[second_attempt_share.RouterCount],
    ]:
        """Returns the second attempts of this router and of its peers."""
        own = second_attempt_share.RouterCount(
            self._process, len(self._requests), self._share.sent
        )
        if not self._second_ratio:
            return own, []
        return own, [
            second_attempt_share.RouterCount(
                process, peer.requests, peer.second_attempts, peer.is_live(now)
            )
            for (_, process), peer in self._peer_by_process.items()
        ]

    def _is_informed(self, now: float, live: list[_Peer]) -> bool:
        """Returns whether all that was sent in the window is known."""
        if now >= self._complete_at:
            return True
        return now >= self._settled_at and any(p.complete for p in live)

    def _overspent(self, now: float) -> float:
        """Returns what silent peers had sent beyond their requests' part."""
        part = USABLE_BUDGET_RATIO * self._ratio
        return sum(
            max(0.0, peer.dated_retries() - part * peer.requests)
            for peer in self._dated_by_process.values()
            if not peer.is_live(now)
        )

    def _unreported(self, live: list[_Peer]) -> int:
        """Returns how many retries live peers may have sent meanwhile."""
        if not live or not self._retries:
            return 0
        own = list(self._retries)
        return sum(
            len(own) - bisect.bisect_right(own, peer.as_of) for peer in live
        )

    def try_spend(
        self, now: float, routers: int, purpose: Purpose = Purpose.RESUME
    ) -> bool:
        """Charges one retry to the budget if it allows one.

        Args:
            now: event loop time in seconds.
            routers: number of live routers, including this one.
            purpose: purpose of the retry.

        Returns:
            Whether the retry may be sent.
        """
        if not self.can_spend(now, routers, purpose):
            return False
        self._retries.append(now)
        self._total += 1
        if purpose is Purpose.SECOND_ATTEMPT:
            self._share.record(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window:
                times.popleft()
        limit = now - self._window
        self._share.expire(limit)
        for key, peer in list(self._dated_by_process.items()):
            peer.expire(limit)
            if not peer.has_dated:
                del self._dated_by_process[key]
        if now < self._expires_at:
            return
        for key, peer in list(self._peer_by_process.items()):
            if peer.received_at <= limit:
                del self._peer_by_process[key]
                self._dated_by_process.pop(key, None)
        # No report that is received meanwhile expires before.
        self._expires_at = self._window + min(
            (peer.received_at for peer in self._peer_by_process.values()),
            default=now,
        )
