"""In-order, exactly-once delivery of positions, tokens and frames."""

import collections
import dataclasses
import enum

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import states


class SequenceStatus(enum.Enum):
    """Relation of received data to the expected sequence."""

    NEXT = "next"
    DUPLICATE = "duplicate"
    GAP = "gap"
    OLD_ATTEMPT = "old_attempt"


@dataclasses.dataclass(frozen=True)
class AcceptedPositions:
    """Result of checking consecutive positions.

    Attributes:
        status: their relation to the expected position.
        skip: number of leading positions that were received before.
    """

    status: SequenceStatus
    skip: int = 0


class PositionFilter:
    """Accepts each position of one stage of one attempt once, in order.

    Attributes:
        next_position: the next expected position.
    """

    def __init__(self, next_position: int = 0) -> None:
        self.next_position = next_position

    def accept(self, position: int, count: int) -> AcceptedPositions:
        """Checks `count` positions from `position` on."""
        if position > self.next_position:
            return AcceptedPositions(SequenceStatus.GAP)
        skip = self.next_position - position
        if skip >= count:
            return AcceptedPositions(SequenceStatus.DUPLICATE, count)
        self.next_position = position + count
        return AcceptedPositions(SequenceStatus.NEXT, skip)


@dataclasses.dataclass(frozen=True)
class ReleasedTokens:
    """Tokens to release to the caller.

    Attributes:
        status: relation of the tokens to the expected sequence.
        texts: texts to release, in order.
        finish: reason for which the stream ended, if it did.
    """

    status: SequenceStatus
    texts: tuple[str, ...] = ()
    finish: states.FinishReason | None = None


class TokenFilter:
    """Releases each token of a request to its caller once, in order.

    Attributes:
        attempt: the current attempt.
        oldest_attempt: the first attempt that the current one continues;
            tokens from it on are accepted.
        tokens: tokens released so far.
        finished: whether the stream has ended.
    """

    def __init__(self, attempt: ids.Attempt) -> None:
        self.attempt = attempt
        self.oldest_attempt = attempt
        self.tokens: list[int] = []
        self.finished = False

    def accept(self, item: messages.TokenItem) -> ReleasedTokens:
        """Checks tokens from an agent and returns those to release."""
        if (
            self.finished
            or not self.oldest_attempt <= item.attempt <= self.attempt
        ):
            return ReleasedTokens(SequenceStatus.OLD_ATTEMPT)
        count = len(item.tokens)
        if item.sequence > len(self.tokens):
            return ReleasedTokens(SequenceStatus.GAP)
        skip = len(self.tokens) - item.sequence
        if skip >= count and item.finish is None:
            return ReleasedTokens(SequenceStatus.DUPLICATE)
        self.tokens.extend(item.tokens[skip:])
        self.finished = item.finish is not None
        return ReleasedTokens(
            SequenceStatus.NEXT, item.texts[skip:], item.finish
        )

    def restart(self, attempt: ids.Attempt) -> None:
        """Replaces the current attempt by a later one."""
        if attempt <= self.attempt:
            raise ValueError(f"attempt {attempt} is not after {self.attempt}")
        self.attempt = attempt
        self.oldest_attempt = attempt

    def continue_with(self, attempt: ids.Attempt) -> None:
        """Accepts a later attempt in addition to those that it continues.

        Must not be used when the last stage is replaced, since the replacement
        may sample different tokens.
        """
        oldest_attempt = self.oldest_attempt
        self.restart(attempt)
        self.oldest_attempt = oldest_attempt


class FrameOutbox:
    """Numbers token frames and keeps them until they are acknowledged.

    Attributes:
        sequence: sequence number of the last frame created.
    """

    def __init__(self, max_frames: int) -> None:
        self.sequence = 0
        self._max_frames = max_frames
        self._kept: collections.deque[messages.TokenFrame] = collections.deque()

    def add(self, items: tuple[messages.TokenItem, ...]) -> messages.TokenFrame:
        """Creates the next frame.

        Raises:
            errors.LinkClosedError: too many frames are not acknowledged.
        """
        if len(self._kept) >= self._max_frames:
            raise errors.LinkClosedError("too many unacknowledged frames")
        self.sequence += 1
        frame = messages.TokenFrame(self.sequence, items)
        self._kept.append(frame)
        return frame

    def acknowledge(self, sequence: int) -> None:
        """Drops the frames up to a sequence number."""
        while self._kept and self._kept[0].sequence <= sequence:
            self._kept.popleft()

    @property
    def is_empty(self) -> bool:
        """Whether all frames are acknowledged."""
        return not self._kept

    def resume(self, sequence: int) -> list[messages.TokenFrame]:
        """Returns the frames after the last one that the peer received."""
        self.acknowledge(sequence)
        return list(self._kept)


class FrameInbox:
    """Accepts each token frame of one agent incarnation once.

    Attributes:
        sequence: sequence number of the last accepted frame.
    """

    def __init__(self) -> None:
        self.sequence = 0

    def accept(self, sequence: int) -> SequenceStatus:
        """Checks the sequence number of a frame."""
        if sequence <= self.sequence:
            return SequenceStatus.DUPLICATE
        if sequence > self.sequence + 1:
            return SequenceStatus.GAP
        self.sequence = sequence
        return SequenceStatus.NEXT

    def resynchronize(self, created_count: int) -> None:
        """Synchronizes with the number of frames that the sender created.

        A sender that created fewer frames than were received has dropped its
        state for this receiver and numbers its frames from 1 again.
        """
        if created_count < self.sequence:
            self.sequence = 0
