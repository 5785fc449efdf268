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
    """

    state: DrainState

    def __init__(self) -> None:
        self.in_flight = 0
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
        self._settle()

    def begin(self) -> None:
        """Refuses new work from now on; calling it again changes nothing."""
        if self.state is DrainState.SERVING:
            self.trigger("_leave")  # type: ignore[attr-defined]
        self._settle()

    def _settle(self) -> None:
        if self.state is DrainState.DRAINING and self.in_flight == 0:
            self.trigger("_empty")  # type: ignore[attr-defined]
