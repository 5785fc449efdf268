"""Closed lists of states."""

import enum


class Ran(enum.Enum):
    """Whether an operation was executed, as told to its caller."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class VmState(enum.Enum):
    """State of a VM as one process sees it."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class AttemptState(enum.Enum):
    """State of an attempt of a plain call at its agent."""

    FENCED = "fenced"
    """Never seen; a late copy of it will be refused."""
    RUNNING = "running"
    DONE = "done"


class ClaimState(enum.Enum):
    """State of a claim of an idempotency key."""

    CLAIMED = "claimed"
    DONE = "done"
    VOID = "void"
    """The attempt was given up before its dispatch and never runs."""
    EXPIRED = "expired"
    """The outcome is past its retention; the key is refused."""


class ProcessRole(enum.Enum):
    """Which of the two binaries a process runs."""

    ROUTER = "router"
    AGENT = "agent"


class FinishReason(enum.Enum):
    """Why a stream of tokens ended."""

    STOP = "stop"
    LENGTH = "length"
