"""Enumerations of states."""

import enum


class Ran(enum.Enum):
    """Whether an operation was executed, as reported to its caller."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class VmState(enum.Enum):
    """State of a VM as observed by one process."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class AttemptState(enum.Enum):
    """State of an attempt of a plain call at its agent."""

    FENCED = "fenced"
    """Never received; a delayed copy of it is refused."""
    RUNNING = "running"
    DONE = "done"


class ClaimState(enum.Enum):
    """State of a claim of an idempotency key."""

    CLAIMED = "claimed"
    DONE = "done"
    VOID = "void"
    """The attempt was abandoned before its dispatch and never runs."""
    EXPIRED = "expired"
    """The retention period of the outcome is over; the key is refused."""


class ProcessRole(enum.Enum):
    """Role of a process, determined by its binary."""

    ROUTER = "router"
    AGENT = "agent"


class FinishReason(enum.Enum):
    """Why a stream of tokens ended."""

    STOP = "stop"
    LENGTH = "length"
