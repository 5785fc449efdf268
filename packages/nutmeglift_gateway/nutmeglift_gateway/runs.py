"""Tracks the runs of requests at backend servers, and those that a crash ends.

A request may be the cause of a crash only if its run had just begun to deliver,
or had not begun yet. One that has delivered for a while is not.
"""

import dataclasses
import enum

from nutmeglift import ids

Lifetime = tuple[str, int]
"""Instance id and start time of a backend server."""

BEGIN_SECONDS = 0.05
"""A run that delivers for this long after its first event has survived its
beginning: a crash closes the connection within a round trip."""
BEGIN_EVENT_COUNT = 1
"""So does one that delivers more events than this."""
LOST_RUN_SECONDS = 5.0
"""Time for which a run that ended early is kept: a crash is known by then, at
the latest because the server's next lifetime is listed."""
ABORTED_RUN_SECONDS = 0.25
"""The same for a run that this router ended itself, as its caller left: the
server may have begun to answer just before it noticed."""
MAX_ENDED_RUN_COUNT = 512
"""Limits the ended runs that are kept."""


class End(enum.Enum):
    """How a run ended."""

    COMPLETE = "complete"
    LOST = "lost"
    """Its connection was closed by the server."""
    ABORTED = "aborted"
    """This router closed its connection."""
    NOT_RUN = "not_run"
    """The server did not run it."""


@dataclasses.dataclass(eq=False)
class Run:
    """One attempt at a request, at one lifetime of a server.

    Attributes:
        request_id: the id that the caller gave the request.
        service: its service.
        segments: segments of its prompt.
        lifetime: the lifetime of the server that it was sent to.
        address: the server's address.
        sent_at: loop time at which it was sent.
        first_event_at: loop time of its first event; None before.
        event_count: number of events that it has delivered.
        survived: whether the request has outlived the beginning of a run.
        ended_at: loop time of its end; None while it runs.
        keep_seconds: time for which it is kept after its end.
    """

    request_id: str
    service: ids.ServiceId
    segments: tuple[ids.SegmentId, ...]
    lifetime: Lifetime
    address: str
    sent_at: float
    first_event_at: float | None = None
    event_count: int = 0
    survived: bool = False
    ended_at: float | None = None
    keep_seconds: float = LOST_RUN_SECONDS

    def is_old(self, now: float) -> bool:
        """Returns whether it ended too long ago to have caused a crash now."""
        return (
            self.ended_at is not None
            and now - self.ended_at > self.keep_seconds
        )


@dataclasses.dataclass(frozen=True)
class Crash:
    """A lifetime of a server that ended while requests ran on it.

    Attributes:
        lifetime: the lifetime.
        at: loop time at which it was noticed, or at which its last run ended.
        suspects: the runs that may have caused it.
        other_count: number of the other runs that it ended.
    """

    lifetime: Lifetime
    at: float
    suspects: tuple[Run, ...]
    other_count: int


class RunTracker:
    """The runs of one router's requests, by the server's lifetime."""

    def __init__(self) -> None:
        self._runs_by_lifetime: dict[Lifetime, list[Run]] = {}

    def begin(self, run: Run) -> None:
        """Records that a run was sent."""
        self._runs_by_lifetime.setdefault(run.lifetime, []).append(run)

    def record_events(self, now: float, run: Run, count: int) -> bool:
        """Records that a run has delivered events.

        Args:
            now: loop time in seconds.
            run: the run.
            count: number of events.

        Returns:
            Whether this shows for the first time that it survived its
            beginning.
        """
        if run.first_event_at is None:
            run.first_event_at = now
        run.event_count += count
        if run.survived or (
            run.event_count <= BEGIN_EVENT_COUNT
            and now - run.first_event_at < BEGIN_SECONDS
        ):
            return False
        run.survived = True
        return True

    def end(self, now: float, run: Run, how: End) -> bool:
        """Records how a run ended; only the first call counts.

        Returns:
            Whether this shows for the first time that it survived its
            beginning.
        """
        if run.ended_at is not None:
            return False
        run.ended_at = now
        newly_survived = how is End.COMPLETE and not run.survived
        run.survived = run.survived or newly_survived
        if how is End.ABORTED:
            run.keep_seconds = ABORTED_RUN_SECONDS
        if how in (End.COMPLETE, End.NOT_RUN) or self._ended_count() > (
            MAX_ENDED_RUN_COUNT
        ):
            self._remove(run)
        return newly_survived

    def take_ended(self, now: float, lifetime: Lifetime) -> Crash | None:
        """Returns what the end of a lifetime ended; None if nothing.

        The runs are returned once.
        """
        found = [
            run
            for run in self._runs_by_lifetime.pop(lifetime, [])
            if not run.is_old(now)
        ]
        if not found:
            return None
        suspects = tuple(run for run in found if not run.survived)
        return Crash(
            lifetime,
            max(now if r.ended_at is None else r.ended_at for r in found),
            suspects,
            len(found) - len(suspects),
        )

    def lifetimes_with_lost_runs(
        self, now: float
    ) -> list[tuple[Lifetime, str]]:
        """Returns the lifetimes at which runs ended early; drops old runs.

        Returns:
            The lifetimes with the addresses of their servers.
        """
        found = []
        for lifetime, tracked in list(self._runs_by_lifetime.items()):
            for run in [run for run in tracked if run.is_old(now)]:
                self._remove(run)
            if any(run.ended_at is not None for run in tracked):
                found.append((lifetime, tracked[0].address))
        return found

    def _ended_count(self) -> int:
        return sum(
            run.ended_at is not None
            for tracked in self._runs_by_lifetime.values()
            for run in tracked
        )

    def _remove(self, run: Run) -> None:
        tracked = self._runs_by_lifetime.get(run.lifetime, [])
        if run in tracked:
            tracked.remove(run)
        if not tracked:
            self._runs_by_lifetime.pop(run.lifetime, None)
