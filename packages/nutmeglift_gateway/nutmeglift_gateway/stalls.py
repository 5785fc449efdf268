"""Decides when a silent stream is stalled, and when to resume it elsewhere."""

import dataclasses
import enum

STALL_GAP_RATIO = 0.5
"""Part of the gap objective after which the runner's report is requested."""
STALL_FIRST_EVENT_RATIO = 0.5
"""Part of the objective for the first event after which the report is
requested."""
SILENCE_TIMEOUT_SECONDS = 1.6
"""Callers abandon a silent stream after 2 s; another pipeline produces its
first event in far less than the remaining time."""
STEPS_PER_EVENT = 4
"""Tokens in one event; each takes one token step."""
MIN_STALL_SLOWDOWN_RATIO = 4.0
"""Gaps below this multiple of the expected event interval are normal on a
loaded pipeline."""


class Action(enum.Enum):
    """What to do with a silent stream."""

    WAIT = "wait"
    REQUEST_REPORT = "ask"
    """Request the report of its first runner, which names the runner that the
    stream waits for."""
    RESUME = "resume"
    """Start another attempt that resumes the stream on another pipeline."""


@dataclasses.dataclass(frozen=True)
class StreamState:
    """Inputs to the decision on a stream.

    Attributes:
        silent: seconds since the last event, or since the request was sent.
        idle_seconds: seconds since the last event, since the request was sent
            or since the stream was moved, whichever was last.
        begun: whether an event arrived.
        objective: target for the time to the first event, in seconds.
        gap_objective: longest gap between events that meets the objective, in
            seconds.
        step_seconds: expected duration of a token step.
        prompt_tokens: tokens that are processed before the first event.
    """

    silent: float
    idle_seconds: float
    begun: bool
    objective: float
    gap_objective: float
    step_seconds: float
    prompt_tokens: int


def judge(state: StreamState) -> Action:
    """Returns what to do with a stream."""
    if state.silent >= SILENCE_TIMEOUT_SECONDS:
        return Action.RESUME
    expected = state.step_seconds * STEPS_PER_EVENT * MIN_STALL_SLOWDOWN_RATIO
    if state.begun:
        limit = max(state.gap_objective * STALL_GAP_RATIO, expected)
    else:
        limit = max(state.objective * STALL_FIRST_EVENT_RATIO, expected)
    return Action.REQUEST_REPORT if state.idle_seconds >= limit else Action.WAIT
