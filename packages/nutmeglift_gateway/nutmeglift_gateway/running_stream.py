"""State of one running attempt at a streaming request."""

from collections.abc import Callable
import dataclasses

from nutmeglift_gateway import admission
from nutmeglift_gateway import attempt
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import loads
from nutmeglift_gateway import paths
from nutmeglift_gateway import retry_policy
from nutmeglift_gateway import silence_detection
from nutmeglift_gateway import stalls


@dataclasses.dataclass(eq=False)
class Stream:
    """One running attempt at a streaming request.

    Attributes:
        admitted: the request.
        path: the path that it runs on.
        receiver: receives its events.
        sent_at: loop time at which the attempt started.
        tokens: tokens that it is expected to hold in the KV cache.
        progress: attempts made so far for the request.
        moving: whether an order to move it is in progress.
        moved_at: loop time of its last move.
        moves: number of orders to move it.
        move_not_before: loop time of the earliest next attempt to move it.
        refused_runner_ids: ids of runners that had no room to take it over.
        excluded_ids: ids of servers that failed the request; shared with its
            failure handler.
        on_successor: starts a successor on a path whose capacity is reserved
            and whose retry is charged.
        paired: whether a successor is about to run, or runs, beside it.
        paused: whether its caller reads too slowly, so that events wait at the
            runner.
        resume_not_before: loop time of the earliest next attempt to resume it
            elsewhere.
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
    excluded_ids: set[str] = dataclasses.field(default_factory=set)
    on_successor: Callable[[paths.Path], None] = lambda path: None
    paired: bool = False
    paused: bool = False
    resume_not_before: float = 0.0
    _reserved: tuple[loads.Reservation, ...] = ()
    _resume_reserved: tuple[loads.Reservation, ...] = ()
    _prompt_reserved: tuple[loads.Reservation, ...] = ()

    @property
    def request_id(self) -> str:
        """The id that the caller gave the request."""
        return self.admitted.request_id.decode("latin-1")

    @property
    def is_busy(self) -> bool:
        """Whether the attempt has ended or is being moved."""
        return self.moving or self.receiver.done.done()

    def set_paused(self, paused: bool, now: float) -> None:
        """Records whether its caller reads too slowly.

        The time in which nothing was read counts as no silence of the runner.
        """
        if self.paused and not paused:
            self.receiver.last_byte_at = now
        self.paused = paused

    def reserve(self, board: boards.Board) -> tuple[loads.Reservation, ...]:
        """Reserves capacity on its path; returns the reservations."""
        self.release(board)
        self._reserved = self.path.reservations(
            self.tokens, self.admitted.prompt_tokens
        )
        board.load_tracker.reserve(self._reserved)
        return self._reserved

    def begin_prompt(self, board: boards.Board) -> None:
        """Counts its prompt as waiting at the runners of its path."""
        self._prompt_reserved = self._reserved
        board.load_tracker.begin_prompts(self._prompt_reserved)

    def end_prompt(self, board: boards.Board) -> None:
        """Counts its prompt as processed."""
        board.load_tracker.end_prompts(self._prompt_reserved)
        self._prompt_reserved = ()

    def release(self, board: boards.Board) -> None:
        """Releases its reservations."""
        self.end_prompt(board)
        if self._reserved:
            board.load_tracker.release(self._reserved)
            self._reserved = ()

    def reserve_resume_path(
        self, board: boards.Board, path: paths.Path
    ) -> None:
        """Reserves capacity on a path until the stream is resumed there."""
        self.release_resume_path(board)
        self._resume_reserved = path.reservations(self.tokens)
        board.load_tracker.reserve(self._resume_reserved)

    def release_resume_path(self, board: boards.Board) -> None:
        """Releases the capacity reserved for resuming."""
        board.load_tracker.release(self._resume_reserved)
        self._resume_reserved = ()

    def idle_seconds(self, now: float) -> float:
        """Returns the seconds since its last event or its last move."""
        return now - max(self.receiver.last_byte_at, self.moved_at)

    def state(self, now: float) -> stalls.StreamState:
        """Returns the inputs to stall detection."""
        return stalls.StreamState(
            silent=now - self.receiver.last_byte_at,
            idle_seconds=self.idle_seconds(now),
            begun=self.receiver.events_seen,
            objective=self.admitted.route.objective,
            gap_objective=self.admitted.route.gap_objective,
            step_seconds=self.path.step_seconds,
            prompt_tokens=self.admitted.prompt_tokens,
        )

    def silence(self, now: float) -> silence_detection.StreamSilence:
        """Returns the inputs to silence detection."""
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
