"""An agent's table of attempts, which ensures at-most-once execution."""

import collections
import dataclasses
import enum

from nutmeglift import ids
from nutmeglift import plain_messages
from nutmeglift import states

MAX_SETTLED_ATTEMPT_COUNT = 20_000
MAX_OUTCOME_BYTES = 8 * 1024 * 1024
MAX_EPOCH_COUNT = 16_384

AttemptKey = tuple[ids.RequestId, ids.Attempt]


class StartDecision(enum.Enum):
    """Whether a call may start, or why not."""

    RUN = "run"
    RUNNING = "running"
    SETTLED = "settled"
    """The outcome is known, or the attempt was fenced."""
    OTHER_INCARNATION = "other_incarnation"
    EVICTED = "forgotten"
    """It may have run: its entry may have been evicted."""


def make_request_id(epoch: str, number: int) -> ids.RequestId:
    """Returns the ID of a router's request.

    Args:
        epoch: unique for every start of a router.
        number: increases with every request of that epoch.
    """
    return ids.RequestId(f"{epoch}-{number}")


def split_request_id(request: ids.RequestId) -> tuple[str, int]:
    """Returns the epoch and number of a request.

    An ID in any other format counts as request 0 of an epoch of its own.
    """
    epoch, _, number = request.rpartition("-")
    if not epoch or not number.isdecimal():
        return request, 0
    return epoch, int(number)


@dataclasses.dataclass
class _Attempt:
    state: states.AttemptState
    outcome: plain_messages.PlainOutcome | None = None


class AttemptTable:
    """Table of running and settled attempts.

    The oldest settled attempts are evicted when the table is full. The highest
    evicted request number of each epoch is kept: an attempt up to that number
    without an entry may have run, so it never starts and is never reported as
    not run.

    Attributes:
        incarnation: incarnation of the agent that runs the attempts.
    """

    def __init__(
        self,
        incarnation: ids.Incarnation,
        *,
        max_settled: int = MAX_SETTLED_ATTEMPT_COUNT,
        max_outcome_bytes: int = MAX_OUTCOME_BYTES,
        max_epochs: int = MAX_EPOCH_COUNT,
    ) -> None:
        self.incarnation = incarnation
        self._max_settled = max_settled
        self._max_outcome_bytes = max_outcome_bytes
        self._max_epochs = max_epochs
        self._by_attempt: dict[AttemptKey, _Attempt] = {}
        self._settled: collections.deque[AttemptKey] = collections.deque()
        self._outcome_bytes = 0
        self._highest_evicted_by_epoch: dict[str, int] = {}

    def __len__(self) -> int:
        """Returns the number of attempts in the table."""
        return len(self._by_attempt)

    def begin(self, call: plain_messages.PlainCall) -> StartDecision:
        """Returns whether the call may run now, and records that it runs."""
        key = (call.request, call.attempt)
        if call.incarnation != self.incarnation:
            return StartDecision.OTHER_INCARNATION
        found = self._by_attempt.get(key)
        if found is not None:
            running = found.state is states.AttemptState.RUNNING
            return StartDecision.RUNNING if running else StartDecision.SETTLED
        if self._may_have_been_evicted(call.request):
            return StartDecision.EVICTED
        self._by_attempt[key] = _Attempt(states.AttemptState.RUNNING)
        return StartDecision.RUN

    def finish(self, outcome: plain_messages.PlainOutcome) -> None:
        """Records the outcome of a running attempt."""
        key = (outcome.request, outcome.attempt)
        self._by_attempt[key] = _Attempt(states.AttemptState.DONE, outcome)
        self._outcome_bytes += len(outcome.body)
        self._settled.append(key)
        self._evict_oldest()

    def query(
        self, query: plain_messages.AttemptQuery
    ) -> plain_messages.AttemptStatus:
        """Returns an attempt's state; fences it if it was never received."""
        key = (query.request, query.attempt)
        found = self._by_attempt.get(key)
        if query.incarnation != self.incarnation:
            return plain_messages.AttemptStatus(*key, self.incarnation, None)
        if found is None and self._may_have_been_evicted(query.request):
            return plain_messages.AttemptStatus(*key, self.incarnation, None)
        if found is None:
            found = self._fence(key)
        return plain_messages.AttemptStatus(
            *key, self.incarnation, found.state, found.outcome
        )

    def _fence(self, key: AttemptKey) -> _Attempt:
        fenced = _Attempt(states.AttemptState.FENCED)
        self._by_attempt[key] = fenced
        self._settled.append(key)
        self._evict_oldest()
        return fenced

    def _may_have_been_evicted(self, request: ids.RequestId) -> bool:
        epoch, number = split_request_id(request)
        highest_evicted = self._highest_evicted_by_epoch.get(epoch)
        if highest_evicted is None:
            return len(self._highest_evicted_by_epoch) >= self._max_epochs
        return number <= highest_evicted

    def _evict_oldest(self) -> None:
        while (
            len(self._settled) > self._max_settled
            or self._outcome_bytes > self._max_outcome_bytes
        ):
            key = self._settled.popleft()
            found = self._by_attempt.pop(key)
            if found.outcome is not None:
                self._outcome_bytes -= len(found.outcome.body)
            epoch, number = split_request_id(key[0])
            before = self._highest_evicted_by_epoch.get(epoch, number)
            self._highest_evicted_by_epoch[epoch] = max(before, number)
