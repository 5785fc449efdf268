"""An attempt at a stream that was sent and has not ended."""

import dataclasses

from nutmeglift_gateway import attempt
from nutmeglift_gateway import directory
from nutmeglift_gateway import http_call
from nutmeglift_gateway import retry_policy
from nutmeglift_gateway import running_stream
from nutmeglift_gateway import runs
from nutmeglift_gateway import sse


@dataclasses.dataclass(eq=False)
class Running:
    """An attempt that was sent and has not ended.

    Attributes:
        stream: its path and reservations.
        events: splits its stream into events.
        run: the record of its run.
        upstream: its connection; None until it is open.
    """

    stream: running_stream.Stream
    events: sse.EventSplitter
    run: runs.Run
    upstream: http_call.Connection | None = None

    @property
    def receiver(self) -> attempt.ResponseReceiver:
        """Receives its response."""
        return self.stream.receiver

    @property
    def server(self) -> directory.Server:
        """The first runner of its path."""
        return self.stream.path.first

    def has_gone_on(self, silent_since: float) -> bool:
        """Returns whether an event or a valid end ended its silence."""
        done = self.receiver.done
        return self.receiver.last_byte_at != silent_since or (
            done.done() and done.result().failure is None
        )


def checked_outcome(
    receiver: attempt.ResponseReceiver, progress: retry_policy.Progress
) -> attempt.Outcome:
    """Returns an attempt's outcome, given the events so far.

    A complete response other than a stream can't follow events. A stream
    without events ends the response, which is empty if it is the first.

    Args:
        receiver: receiver of the attempt, which has ended.
        progress: attempts made so far for the request.
    """
    outcome = receiver.done.result()
    response = outcome.response
    if outcome.failure is not None:
        return outcome
    if not progress.started:
        if response is None and receiver.head is not None:
            response = http_call.Response(receiver.head, b"")
        return attempt.Outcome(None, response)
    if response is None:
        return outcome
    return attempt.Outcome(
        retry_policy.Failure.INVALID,
        detail=f"status {response.status} without the rest of the stream",
    )
