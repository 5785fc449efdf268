"""Finds sound runs of streams that a router ended without a successor.

A stream goes on as long as its server sends, whatever the store says of the
server: an attempt may only end once another one has sent an event.
"""

from tests.soak import backend

CLOSE_SECONDS = 0.2
"""Longest time from the end of a request to that of its last run."""


def find(sent, runs, due_at):
    """Returns the runs of a stream that were abandoned.

    Args:
        sent: the request.
        runs: its runs.
        due_at: when its deadline or its shortest time-out passes, in seconds of
            the event loop's clock.
    """
    if sent.kind != "stream":
        return []
    return [
        run
        for run in runs
        if run.ended_at < due_at and _is_abandoned(sent, run, runs)
    ]


def _is_abandoned(sent, run, runs):
    if run.is_complete or run.has_broken_off:
        return False
    if run.fault is not backend.Fault.NONE:
        return False
    if sent.ended_at <= run.ended_at + CLOSE_SECONDS:
        return False
    return not any(
        other.began_at < run.ended_at
        and (other.is_complete or run.ended_at <= other.ended_at)
        for other in runs
        if other is not run
    )
