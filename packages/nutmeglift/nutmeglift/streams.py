"""Order of positions, tokens and frames: each once, none left out."""

import collections
import dataclasses
import enum

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import states


class Arrival(enum.Enum):
    """How an arrival fits what came before."""

    NEXT = "next"
    DUPLICATE = "duplicate"
    GAP = "gap"
    OLD_ATTEMPT = "old_attempt"


@dataclasses.dataclass(frozen=True)
class Accepted:
    """Verdict on consecutive positions.

    Attributes:
        arrival: how they fit.
        skip: how many of the first ones were seen before.
    """

    arrival: Arrival
    skip: int = 0


class PositionGate:
    """Lets each position of one stage of one attempt through once, in order.

    Attributes:
        next_position: the only position that may come next.
    """

    def __init__(self, next_position: int = 0) -> None:
        self.next_position = next_position

    def accept(self, position: int, count: int) -> Accepted:
        """Judges `count` positions from `position` on."""
        if position > self.next_position:
            return Accepted(Arrival.GAP)
        skip = self.next_position - position
        if skip >= count:
            return Accepted(Arrival.DUPLICATE, count)
        self.next_position = position + count
        return Accepted(Arrival.NEXT, skip)


@dataclasses.dataclass(frozen=True)
class Release:
    """What a caller gets next.

    Attributes:
        arrival: how the tokens fit.
        texts: texts to pass on, in order.
        finish: why the stream ended, if it did.
    """

    arrival: Arrival
    texts: tuple[str, ...] = ()
    finish: states.FinishReason | None = None


class TokenGate:
    """Releases each token of a request to its caller once, in order.

    Attributes:
        attempt: the attempt that counts.
        oldest: the first attempt that it goes on with; tokens from it on
            count.
        tokens: tokens released so far.
        finished: whether the stream has ended.
    """

    def __init__(self, attempt: ids.Attempt) -> None:
        self.attempt = attempt
        self.oldest = attempt
        self.tokens: list[int] = []
        self.finished = False

    def accept(self, item: messages.TokenItem) -> Release:
        """Judges tokens from an agent."""
        if self.finished or not self.oldest <= item.attempt <= self.attempt:
            return Release(Arrival.OLD_ATTEMPT)
        count = len(item.tokens)
        if item.sequence > len(self.tokens):
            return Release(Arrival.GAP)
        skip = len(self.tokens) - item.sequence
        if skip >= count and item.finish is None:
            return Release(Arrival.DUPLICATE)
        self.tokens.extend(item.tokens[skip:])
        self.finished = item.finish is not None
        return Release(Arrival.NEXT, item.texts[skip:], item.finish)

    def restart(self, attempt: ids.Attempt) -> None:
        """Makes a higher attempt the one that counts."""
        if attempt <= self.attempt:
            raise ValueError(f"attempt {attempt} is not after {self.attempt}")
        self.attempt = attempt
        self.oldest = attempt

    def go_on(self, attempt: ids.Attempt) -> None:
        """Lets a higher attempt count besides those that it goes on with.

        Not where the last stage is replaced: it may sample other tokens.
        """
        oldest = self.oldest
        self.restart(attempt)
        self.oldest = oldest


class FrameOutbox:
    """Numbers token frames and keeps those not acknowledged.

    Attributes:
        sequence: sequence of the last frame made.
    """

    def __init__(self, max_frames: int) -> None:
        self.sequence = 0
        self._max_frames = max_frames
        self._kept: collections.deque[messages.TokenFrame] = collections.deque()

    def add(self, items: tuple[messages.TokenItem, ...]) -> messages.TokenFrame:
        """Makes the next frame.

        Raises:
            errors.LinkClosedError: too many frames wait for the peer.
        """
        if len(self._kept) >= self._max_frames:
            raise errors.LinkClosedError("too many frames not acknowledged")
        self.sequence += 1
        frame = messages.TokenFrame(self.sequence, items)
        self._kept.append(frame)
        return frame

    def acknowledge(self, sequence: int) -> None:
        """Forgets the frames up to a sequence."""
        while self._kept and self._kept[0].sequence <= sequence:
            self._kept.popleft()

    @property
    def is_empty(self) -> bool:
        """Whether every frame was acknowledged."""
        return not self._kept

    def resume(self, sequence: int) -> list[messages.TokenFrame]:
        """Returns the frames after the last one that the peer has."""
        self.acknowledge(sequence)
        return list(self._kept)


class FrameInbox:
    """Lets each token frame of one agent incarnation through once.

    Attributes:
        sequence: sequence of the last frame let through.
    """

    def __init__(self) -> None:
        self.sequence = 0

    def accept(self, sequence: int) -> Arrival:
        """Judges a frame."""
        if sequence <= self.sequence:
            return Arrival.DUPLICATE
        if sequence > self.sequence + 1:
            return Arrival.GAP
        self.sequence = sequence
        return Arrival.NEXT

    def meet(self, made: int) -> None:
        """Takes the sender's word on how many frames it has made.

        A sender that made fewer than were seen forgot this end and counts
        from 1 again.
        """
        if made < self.sequence:
            self.sequence = 0
