"""Graceful shutdown: refuses new work and completes the work in flight."""

import enum

import transitions

COMPLETION_SECONDS = 3.0
"""Time that a request needs at most, as a rule."""


class DrainState(enum.Enum):
    """Stage of the graceful shutdown of a process."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"


class Drain:
    """Life cycle of one process.

    Attributes:
        state: current state; set by the state machine.
        in_flight: number of accepted work items that have not completed.
        forced: whether to abort the work in flight.
    """

    state: DrainState

    def __init__(self, limit_seconds: float = 0.0) -> None:
        """Starts to serve.

        Args:
            limit_seconds: maximum wait for work in flight; 0 for no limit.
        """
        self._limit_seconds = limit_seconds
        self.in_flight = 0
        self.forced = False
        self._since = 0.0
        self._machine = transitions.Machine(
            self,
            states=DrainState,
            initial=DrainState.SERVING,
            auto_transitions=False,
            transitions=[
                {
                    "trigger": "_start_draining",
                    "source": DrainState.SERVING,
                    "dest": DrainState.DRAINING,
                },
                {
                    "trigger": "_finish_draining",
                    "source": DrainState.DRAINING,
                    "dest": DrainState.DRAINED,
                },
            ],
        )

    @property
    def accepts_work(self) -> bool:
        """Whether new work is accepted."""
        return self.state is DrainState.SERVING

    def may_begin(self, now: float, deadline_seconds: float) -> bool:
        """Returns whether work that was accepted before may still begin.

        Load: a planned stop while requests wait in a queue. What would be cut
        off at the drain limit is refused, so that its caller can go elsewhere.

        Args:
            now: clock time, in seconds.
            deadline_seconds: time left until the deadline; 0 for none.
        """
        if self.accepts_work or not self._limit_seconds:
            return True
        needed = min(deadline_seconds or COMPLETION_SECONDS, COMPLETION_SECONDS)
        return now + needed <= self._since + self._limit_seconds

    def enter(self) -> None:
        """Records an accepted work item."""
        self.in_flight += 1

    def leave(self) -> None:
        """Records a completed work item."""
        self.in_flight -= 1

    def begin(self, now: float = 0.0) -> None:
        """Starts the drain: refuses new work. Repeated calls have no effect."""
        if self.state is not DrainState.SERVING:
            return
        self._since = now
        self.trigger("_start_draining")  # type: ignore[attr-defined]

    def force(self) -> None:
        """Aborts the work in flight at the request of the operator.

        Has no effect before the drain has started.
        """
        self.forced = not self.accepts_work

    def settle(self, now: float, limit: float, others: int = 0) -> bool:
        """Returns whether the process may exit.

        Args:
            now: clock time, in seconds.
            limit: maximum wait for work in flight, in seconds; 0 for no limit.
            others: number of work items in flight that are counted elsewhere.
        """
        if self.state is not DrainState.DRAINING:
            return self.state is DrainState.DRAINED
        late = limit > 0 and now - self._since >= limit
        if self.in_flight + others and not self.forced and not late:
            return False
        self.trigger("_finish_draining")  # type: ignore[attr-defined]
        return True
