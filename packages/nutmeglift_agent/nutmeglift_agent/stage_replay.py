"""Buffers for replaying to replaced stages and for early messages."""

import collections

from nutmeglift import ids
from nutmeglift import messages
from nutmeglift_agent import stage_attempt

BYTES_PER_HIDDEN_STATE = 8
POSITIONS_PER_HOP = 1024
MAX_EARLY_REQUESTS = 256
MAX_EARLY_MESSAGES_PER_REQUEST = 64

EarlyMessage = messages.Hop | messages.NextToken


class ReplayBuffer:
    """Buffers the hidden states sent to the next stages, within a byte limit.

    A request whose states do not fit, or are not consecutive, is dropped
    entirely; its next stage can then no longer catch up by a replay.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_positions = max_bytes // BYTES_PER_HIDDEN_STATE
        self._positions = 0
        self._states_by_request: dict[ids.RequestId, list[int]] = {}
        self._dropped_requests: set[ids.RequestId] = set()

    def add(
        self, request: ids.RequestId, position: int, hidden: tuple[int, ...]
    ) -> None:
        """Appends the states of the next positions, if they fit."""
        if request in self._dropped_requests:
            return
        states = self._states_by_request.setdefault(request, [])
        if position != len(states):
            self._drop(request)
            return
        if self._positions + len(hidden) > self._max_positions:
            self._drop(request)
            return
        states.extend(hidden)
        self._positions += len(hidden)

    def hops(
        self, attempt: stage_attempt.StageAttempt
    ) -> list[messages.Hop] | None:
        """Returns all hops sent to the next stage, or None if dropped."""
        request = attempt.start.request
        if request in self._dropped_requests:
            return None
        states = self._states_by_request.get(request, [])
        return [
            stage_attempt.make_hop(
                attempt, first, tuple(states[first : first + POSITIONS_PER_HOP])
            )
            for first in range(0, len(states), POSITIONS_PER_HOP)
        ]

    def forget(self, request: ids.RequestId) -> None:
        """Frees the states of an ended attempt."""
        self._positions -= len(self._states_by_request.pop(request, ()))
        self._dropped_requests.discard(request)

    def _drop(self, request: ids.RequestId) -> None:
        self.forget(request)
        self._dropped_requests.add(request)


class EarlyMessages:
    """Buffers messages that arrive before their attempt is opened."""

    def __init__(self) -> None:
        self._by_request: collections.OrderedDict[
            ids.RequestId, list[EarlyMessage]
        ] = collections.OrderedDict()

    def add(self, message: EarlyMessage) -> None:
        """Buffers a message.

        Drops it when its request has `MAX_EARLY_MESSAGES_PER_REQUEST` already.
        With more than `MAX_EARLY_REQUESTS` requests, drops those of the
        oldest request.
        """
        buffered = self._by_request.setdefault(message.request, [])
        if len(buffered) < MAX_EARLY_MESSAGES_PER_REQUEST:
            buffered.append(message)
        if len(self._by_request) > MAX_EARLY_REQUESTS:
            self._by_request.popitem(last=False)

    def take(self, request: ids.RequestId) -> list[EarlyMessage]:
        """Removes and returns a request's messages, in order of arrival."""
        return self._by_request.pop(request, [])
