"""Determines the outcome of a dispatched attempt."""

import dataclasses

from nutmeglift import ledger
from nutmeglift import plain_messages
from nutmeglift import states

REOPEN_SECONDS = 6.0
"""Maximum wait for the connection to the agent to be re-established."""
QUERY_INTERVAL_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class Finished:
    """The agent reported the outcome."""

    outcome: plain_messages.PlainOutcome


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The attempt did not run and never will."""

    detail: str


@dataclasses.dataclass(frozen=True)
class Unknown:
    """No reachable process can report whether the attempt ran."""

    detail: str


@dataclasses.dataclass(frozen=True)
class StillRunning:
    """The attempt was running according to the last report."""


Resolution = Finished | NotRun | Unknown | StillRunning


@dataclasses.dataclass(frozen=True)
class QueryAgent:
    """The query is to be sent to the agent now."""

    query: plain_messages.AttemptQuery


@dataclasses.dataclass(frozen=True)
class Wait:
    """No action is needed until an event or this clock time."""

    until: float


Step = QueryAgent | Wait | Resolution


class AttemptWatch:
    """Monitors one attempt across connections until its resolution.

    Attributes:
        claim: the claim with the attempt, agent and incarnation.
        running: whether the agent reported that the attempt is running.
    """

    def __init__(
        self,
        claim: ledger.Claim,
        *,
        connected: bool,
        now: float,
        query_at: float,
        deadline: float,
    ) -> None:
        self.claim = claim
        self.running = False
        self._connected = connected
        self._query_at = query_at
        self._deadline = deadline
        self._reconnect_deadline = now + REOPEN_SECONDS
        self._resolution: Resolution | None = None

    def link_up(self, now: float) -> None:
        """Records a new connection to the agent's VM."""
        self._connected = True
        self._query_at = now

    def link_down(self, now: float) -> None:
        """Records that the connection to the agent's VM ended."""
        self._connected = False
        self._reconnect_deadline = now + REOPEN_SECONDS

    def record_outcome(self, outcome: plain_messages.PlainOutcome) -> None:
        """Records the outcome that the agent reported."""
        if self._resolution is not None:
            return
        if outcome.ran is states.Ran.NOT_RUN:
            self._resolution = NotRun(outcome.detail)
        else:
            self._resolution = Finished(outcome)

    def record_status(self, status: plain_messages.AttemptStatus) -> None:
        """Records the agent's response to a query."""
        if self._resolution is not None:
            return
        match status.state:
            case None:
                self._resolution = Unknown(
                    "the agent that accepted the attempt is gone"
                )
            case states.AttemptState.FENCED:
                self._resolution = NotRun("the attempt never reached its agent")
            case states.AttemptState.RUNNING:
                self.running = True
            case states.AttemptState.DONE:
                if status.outcome is not None:
                    self.record_outcome(status.outcome)

    def next_step(self, now: float) -> Step:
        """Returns the next step."""
        if self._resolution is not None:
            return self._resolution
        if now >= self._deadline or self._is_lost(now):
            return self._resolve_at_deadline()
        if self._connected and now >= self._query_at:
            self._query_at = now + QUERY_INTERVAL_SECONDS
            claim = self.claim
            return QueryAgent(
                plain_messages.AttemptQuery(
                    claim.request, claim.attempt, claim.incarnation
                )
            )
        until = self._query_at if self._connected else self._reconnect_deadline
        return Wait(min(until, self._deadline))

    def _is_lost(self, now: float) -> bool:
        return not self._connected and now >= self._reconnect_deadline

    def _resolve_at_deadline(self) -> Resolution:
        if self.running and self._connected:
            return StillRunning()
        return Unknown("the agent that accepted the attempt did not answer")
