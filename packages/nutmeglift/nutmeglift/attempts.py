"""An agent's memory of attempts: each runs at most once."""

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


class Admission(enum.Enum):
    """Whether a call may run now, and why not."""

    RUN = "run"
    RUNNING = "running"
    SETTLED = "settled"
    """Its outcome is known, or it was fenced."""
    OTHER_INCARNATION = "other_incarnation"
    FORGOTTEN = "forgotten"
    """It may have run, but the agent had to forget it."""


def make_request_id(epoch: str, number: int) -> ids.RequestId:
    """Returns the id of a router's request.

    Args:
        epoch: differs for every start of a router.
        number: rises with every request of that epoch.
    """
    return ids.RequestId(f"{epoch}-{number}")


def split_request_id(request: ids.RequestId) -> tuple[str, int]:
    """Returns the epoch and number of a request.

    Any other id is taken as the first request of an epoch of its own.
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
    """Keeps attempts, running and settled.

    The oldest settled attempts are forgotten when memory runs out. Of each
    epoch the highest number forgotten is kept: an attempt up to there that is
    not in memory may have run, so it never starts, and nobody is told that it
    did not run.

    Attributes:
        incarnation: the incarnation whose attempts these are.
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
        self._forgotten_by_epoch: dict[str, int] = {}

    def __len__(self) -> int:
        """Returns the number of attempts in memory."""
        return len(self._by_attempt)

    def begin(self, call: plain_messages.PlainCall) -> Admission:
        """Tells whether the call may run now, and notes that it does."""
        key = (call.request, call.attempt)
        if call.incarnation != self.incarnation:
            return Admission.OTHER_INCARNATION
        found = self._by_attempt.get(key)
        if found is not None:
            running = found.state is states.AttemptState.RUNNING
            return Admission.RUNNING if running else Admission.SETTLED
        if self._may_be_forgotten(call.request):
            return Admission.FORGOTTEN
        self._by_attempt[key] = _Attempt(states.AttemptState.RUNNING)
        return Admission.RUN

    def finish(self, outcome: plain_messages.PlainOutcome) -> None:
        """Keeps the outcome of an attempt that began."""
        key = (outcome.request, outcome.attempt)
        self._by_attempt[key] = _Attempt(states.AttemptState.DONE, outcome)
        self._outcome_bytes += len(outcome.body)
        self._settled.append(key)
        self._forget_oldest()

    def query(
        self, query: plain_messages.AttemptQuery
    ) -> plain_messages.AttemptStatus:
        """Tells an attempt's state, and fences it if it was never seen."""
        key = (query.request, query.attempt)
        found = self._by_attempt.get(key)
        if query.incarnation != self.incarnation:
            return plain_messages.AttemptStatus(*key, self.incarnation, None)
        if found is None and self._may_be_forgotten(query.request):
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
        self._forget_oldest()
        return fenced

    def _may_be_forgotten(self, request: ids.RequestId) -> bool:
        epoch, number = split_request_id(request)
        forgotten = self._forgotten_by_epoch.get(epoch)
        if forgotten is None:
            return len(self._forgotten_by_epoch) >= self._max_epochs
        return number <= forgotten

    def _forget_oldest(self) -> None:
        while (
            len(self._settled) > self._max_settled
            or self._outcome_bytes > self._max_outcome_bytes
        ):
            key = self._settled.popleft()
            found = self._by_attempt.pop(key)
            if found.outcome is not None:
                self._outcome_bytes -= len(found.outcome.body)
            epoch, number = split_request_id(key[0])
            before = self._forgotten_by_epoch.get(epoch, number)
            self._forgotten_by_epoch[epoch] = max(before, number)
