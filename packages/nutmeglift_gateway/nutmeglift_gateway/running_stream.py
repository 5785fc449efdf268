"""One attempt at a stream that is running."""

import dataclasses

from nutmeglift_gateway import admission
from nutmeglift_gateway import attempt
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import loads
from nutmeglift_gateway import paths
from nutmeglift_gateway import retry_policy
from nutmeglift_gateway import silence_detection
from nutmeglift_gateway import stall_detection


@dataclasses.dataclass(eq=False)
class Stream:
    """One attempt at a stream that is running.

    Attributes:
        admitted: the request.
        path: where it runs.
        receiver: takes its events.
        sent_at: loop time at which the attempt began.
        tokens: what it is expected to hold.
        progress: what has been done for the request.
        moving: whether an order to move it is under way.
        moved_at: loop time at which it was moved last.
        moves: how often it was moved.
        next_move_at: loop time before which no move is tried again.
        refused_by: ids of runners that had no room to take it over.
    """

    admitted: admission.Admitted
    path: paths.Path
    receiver: attempt.ResponseReceiver
    sent_at: float
    tokens: float
    progress: retry_policy.Progress
    moving: bool = False
    moved_at: float = 0.0
    moves: int = 0
    move_not_before: float = 0.0
    refused_runner_ids: set[str] = dataclasses.field(default_factory=set)
    _reserved: tuple[loads.Reservation, ...] = ()
    _resume_reserved: tuple[loads.Reservation, ...] = ()

    @property
    def request_id(self) -> str:
        """The caller's id."""
        return self.admitted.request_id.decode("latin-1")

    @property
    def is_busy(self) -> bool:
        """Whether it has ended, or is being moved."""
        return self.moving or self.receiver.done.done()

    def reserve(self, board: boards.Board) -> tuple[loads.Reservation, ...]:
        """Notes what it holds on its path's runners."""
        self.release(board)
        self._reserved = self.path.reservations(self.tokens)
        board.book.reserve(self._reserved)
        return self._reserved

    def release(self, board: boards.Board) -> None:
        """Frees what it held."""
        if self._reserved:
            board.book.release(self._reserved)
            self._reserved = ()

    def reserve_resume_path(
        self, board: boards.Board, path: paths.Path
    ) -> None:
        """Keeps room on a path until the stream is sent again."""
        self.release_resume_path(board)
        self._resume_reserved = path.reservations(self.tokens)
        board.book.reserve(self._resume_reserved)

    def release_resume_path(self, board: boards.Board) -> None:
        """Frees what was promised."""
        board.book.release(self._resume_reserved)
        self._resume_reserved = ()

    def idle_seconds(self, now: float) -> float:
        """Returns the seconds since its last event or its last move."""
        return now - max(self.receiver.last_byte_at, self.moved_at)

    def state(self, now: float) -> stall_detection.StreamState:
        """Returns what decides whether it stalls."""
        return stall_detection.StreamState(
            silent=now - self.receiver.last_byte_at,
            idle_seconds=self.idle_seconds(now),
            begun=self.receiver.events_seen,
            objective=self.admitted.route.objective,
            gap_objective=self.admitted.route.gap_objective,
            step_seconds=self.path.step_seconds,
            prompt_tokens=self.admitted.prompt_tokens,
        )

    def silence(self, now: float) -> silence_detection.StreamSilence:
        """Returns what tells which runners it proves to be alive."""
        begun = (
            self.receiver.events_seen
            and self.receiver.last_byte_at >= self.moved_at
        )
        return silence_detection.StreamSilence(
            tuple(part.server.address for part in self.path.parts),
            silent=self.idle_seconds(now),
            limit=silence_detection.silence_timeout(
                step_seconds=self.path.step_seconds,
                begun=begun,
                objective=self.admitted.route.objective,
            ),
            begun=begun,
        )
