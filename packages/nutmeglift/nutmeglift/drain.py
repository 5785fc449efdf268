"""A process's way out: it takes no new work and ends what it has."""

import enum

import transitions


class DrainState(enum.Enum):
    """How far a process is on its way out."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"


class Drain:
    """Life cycle of one process.

    Attributes:
        state: how far it is; set by the state machine.
        in_flight: pieces of work that came in and did not end.
        forced: whether work in flight is to be cut.
    """

    state: DrainState

    def __init__(self) -> None:
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
                    "trigger": "_leave",
                    "source": DrainState.SERVING,
                    "dest": DrainState.DRAINING,
                },
                {
                    "trigger": "_empty",
                    "source": DrainState.DRAINING,
                    "dest": DrainState.DRAINED,
                },
            ],
        )

    @property
    def accepts_work(self) -> bool:
        """Whether new work may come in."""
        return self.state is DrainState.SERVING

    def enter(self) -> None:
        """Notes that a piece of work came in."""
        self.in_flight += 1

    def leave(self) -> None:
        """Notes that a piece of work ended."""
        self.in_flight -= 1

    def begin(self, now: float = 0.0) -> None:
        """Refuses new work from now on; calling it again changes nothing."""
        if self.state is not DrainState.SERVING:
            return
        self._since = now
        self.trigger("_leave")  # type: ignore[attr-defined]

    def force(self) -> None:
        """Cuts the work in flight, because the operator wants it.

        Changes nothing before the process was told to leave.
        """
        self.forced = not self.accepts_work

    def settle(self, now: float, limit: float, others: int = 0) -> bool:
        """Tells whether the process may exit.

        Args:
            now: seconds.
            limit: longest wait for work in flight, in seconds; 0 for none.
            others: work in flight that is counted elsewhere.
        """
        if self.state is not DrainState.DRAINING:
            return self.state is DrainState.DRAINED
        late = limit > 0 and now - self._since >= limit
        if self.in_flight + others and not self.forced and not late:
            return False
        self.trigger("_empty")  # type: ignore[attr-defined]
        return True
