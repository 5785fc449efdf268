"""Decides when a silent stream stalls, and when it is given up."""

import dataclasses
import enum

STALL_GAP_RATIO = 0.5
"""Part of the longest pause on time after which the runner is asked."""
STALL_FIRST_EVENT_RATIO = 0.5
"""The same of the objective for the first event."""
SILENCE_TIMEOUT_SECONDS = 1.6
"""Callers leave a silent stream after two seconds; another pipeline gives its
first event in well under the rest."""
STEPS_PER_EVENT = 4
"""Tokens that an event holds."""
MIN_STALL_SLOWDOWN_RATIO = 4.0
"""Pauses under so many expected events are no stall on a loaded pipeline."""


class Action(enum.Enum):
    """What to do about a stream."""

    WAIT = "wait"
    REQUEST_REPORT = "ask"
    """Ask its first runner which runner it waits for."""
    ABANDON = "give_up"
    """Break it off and go on at another pipeline."""


@dataclasses.dataclass(frozen=True)
class StreamState:
    """What decides.

    Attributes:
        silent: seconds since the last event, or since it was sent.
        settled: the same, or since it was moved, if that was later.
        begun: whether an event arrived.
        objective: seconds to the first event.
        gap_objective: longest pause on time, in seconds.
        step_seconds: expected time of a token step.
        prompt_tokens: tokens that are read before the first event.
    """

    silent: float
    idle_seconds: float
    begun: bool
    objective: float
    gap_objective: float
    step_seconds: float
    prompt_tokens: int


def judge(state: StreamState) -> Action:
    """Decides what to do about a stream."""
    if state.silent >= SILENCE_TIMEOUT_SECONDS:
        return Action.ABANDON
    expected = state.step_seconds * STEPS_PER_EVENT * MIN_STALL_SLOWDOWN_RATIO
    if state.begun:
        limit = max(state.gap_objective * STALL_GAP_RATIO, expected)
    else:
        limit = max(state.objective * STALL_FIRST_EVENT_RATIO, expected)
    return Action.REQUEST_REPORT if state.idle_seconds >= limit else Action.WAIT
