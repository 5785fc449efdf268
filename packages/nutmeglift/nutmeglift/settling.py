"""Finds out what became of a dispatched attempt."""

import dataclasses

from nutmeglift import ledger
from nutmeglift import plain_messages
from nutmeglift import states

REOPEN_SECONDS = 6.0
"""Longest wait for a new connection to the agent."""
QUERY_INTERVAL_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class Finished:
    """The agent told the outcome."""

    outcome: plain_messages.PlainOutcome


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The attempt did not run and never will."""

    detail: str


@dataclasses.dataclass(frozen=True)
class Unknown:
    """Nobody who can be reached knows."""

    detail: str


@dataclasses.dataclass(frozen=True)
class StillRunning:
    """The attempt was running when last heard of."""


Verdict = Finished | NotRun | Unknown | StillRunning


@dataclasses.dataclass(frozen=True)
class Ask:
    """The agent is to be asked now."""

    query: plain_messages.AttemptQuery


@dataclasses.dataclass(frozen=True)
class Wait:
    """Nothing is to be done until an event or this clock time."""

    until: float


Step = Ask | Wait | Verdict


class AttemptWatch:
    """Follows one attempt to its verdict, across connections.

    Attributes:
        claim: the claim that names the attempt, agent and incarnation.
        running: whether the agent said that it runs.
    """

    def __init__(
        self,
        claim: ledger.Claim,
        *,
        connected: bool,
        now: float,
        ask_at: float,
        give_up_at: float,
    ) -> None:
        self.claim = claim
        self.running = False
        self._connected = connected
        self._ask_at = ask_at
        self._give_up_at = give_up_at
        self._reopen_by = now + REOPEN_SECONDS
        self._verdict: Verdict | None = None

    def link_up(self, now: float) -> None:
        """Notes a new connection to the agent's VM."""
        self._connected = True
        self._ask_at = now

    def link_down(self, now: float) -> None:
        """Notes that the connection to the agent's VM ended."""
        self._connected = False
        self._reopen_by = now + REOPEN_SECONDS

    def take_outcome(self, outcome: plain_messages.PlainOutcome) -> None:
        """Takes the agent's outcome of the attempt."""
        if self._verdict is not None:
            return
        if outcome.ran is states.Ran.NOT_RUN:
            self._verdict = NotRun(outcome.detail)
        else:
            self._verdict = Finished(outcome)

    def take_status(self, status: plain_messages.AttemptStatus) -> None:
        """Takes the agent's answer to a query."""
        if self._verdict is not None:
            return
        match status.state:
            case None:
                self._verdict = Unknown("the agent that took it is gone")
            case states.AttemptState.FENCED:
                self._verdict = NotRun("the attempt never reached its agent")
            case states.AttemptState.RUNNING:
                self.running = True
            case states.AttemptState.DONE:
                if status.outcome is not None:
                    self.take_outcome(status.outcome)

    def next_step(self, now: float) -> Step:
        """Returns what to do now."""
        if self._verdict is not None:
            return self._verdict
        if now >= self._give_up_at or self._is_lost(now):
            return self._give_up()
        if self._connected and now >= self._ask_at:
            self._ask_at = now + QUERY_INTERVAL_SECONDS
            claim = self.claim
            return Ask(
                plain_messages.AttemptQuery(
                    claim.request, claim.attempt, claim.incarnation
                )
            )
        until = self._ask_at if self._connected else self._reopen_by
        return Wait(min(until, self._give_up_at))

    def _is_lost(self, now: float) -> bool:
        return not self._connected and now >= self._reopen_by

    def _give_up(self) -> Verdict:
        if self.running and self._connected:
            return StillRunning()
        return Unknown("the agent that took it did not answer")
