"""One attempt at a request: the headers sent and the response received."""

import asyncio
from collections.abc import Callable
import dataclasses

from nutmeglift_gateway import admission
from nutmeglift_gateway import announcements
from nutmeglift_gateway import caller_request
from nutmeglift_gateway import directory
from nutmeglift_gateway import http_call
from nutmeglift_gateway import ports
from nutmeglift_gateway import responses
from nutmeglift_gateway import retry_policy
from nutmeglift_gateway import runs
from nutmeglift_gateway import sse

EVENT_STREAM_TYPE = b"text/event-stream"
INTERVAL_SMOOTHING_RATIO = 0.3
"""Weight of the newest interval in the exponential moving average, which spans
the last few events."""
MAX_LOGGED_VALUE_LENGTH = 32


@dataclasses.dataclass(frozen=True)
class Outcome:
    """How an attempt ended.

    Attributes:
        failure: why it failed; None if the complete response arrived.
        response: the complete response, unless it was streamed.
        fault: address of the runner that was reported as the cause, if any.
        detail: explanation for the log.
    """

    failure: retry_policy.Failure | None
    response: http_call.Response | None = None
    fault: str = ""
    detail: str = ""


_FAILURE_BY_VERDICT = {
    responses.Verdict.VALID: None,
    responses.Verdict.NOT_RUN: retry_policy.Failure.REJECTED,
    responses.Verdict.SERVER_ERROR: retry_policy.Failure.SERVER_ERROR,
    responses.Verdict.INVALID: retry_policy.Failure.INVALID,
}
_VERDICTS_WITHOUT_BODY = frozenset(
    {responses.Verdict.INVALID, responses.Verdict.NOT_RUN}
)


def forwarded_headers(
    names: ports.HeaderNames, request: caller_request.Request
) -> http_call.Headers:
    """Returns the caller's headers that are forwarded to a server."""
    dropped = set(responses.HOP_BY_HOP_HEADERS)
    dropped |= {
        b"content-length",
        b"expect",
        names.key,
        names.account,
        names.deadline,
        names.expected_instance,
        names.expected_version,
        names.path,
        names.priority,
        names.last_event_id,
    }
    for name, value in request.headers:
        if name == b"connection":
            dropped.update(p.strip().lower() for p in value.split(b","))
    return [
        (name, value) for name, value in request.headers if name not in dropped
    ]


def router_headers(
    names: ports.HeaderNames,
    admitted: admission.Admitted,
    *,
    instance: str,
    remaining: float,
    path: bytes | None,
    last_event_id: bytes | None,
) -> http_call.Headers:
    """Returns the headers that the router adds."""
    headers = [
        (names.deadline, b"%d" % max(1, int(remaining * 1000))),
        (names.expected_instance, instance.encode()),
    ]
    if admitted.account is not None:
        headers.append((names.account, admitted.account.id.encode()))
    if path is not None:
        headers.append((names.path, path))
        headers.append((names.priority, b"%d" % admitted.priority))
    if last_event_id is not None:
        headers.append((names.last_event_id, last_event_id))
    return headers


class ResponseReceiver(http_call.BaseReceiver):
    """Receives one response; passes on events as they arrive, buffers the rest.

    Attributes:
        done: set to the outcome once.
        head: status and headers of the response; None before they arrive.
        last_byte_at: loop time at which the last events arrived.
        events_seen: whether an event arrived.
        event_interval: moving average of the seconds between events; None
            before the second event.
    """

    def __init__(
        self,
        names: ports.HeaderNames,
        request_id: bytes,
        *,
        events: sse.EventSplitter | None,
        on_events: Callable[[http_call.Head, bytes], None] | None,
        on_announcement: Callable[[announcements.Announcement], None]
        | None = None,
    ) -> None:
        """Initializes a receiver for one response.

        Args:
            names: names of the headers.
            request_id: the id that the response has to echo.
            events: splits the stream into events; None if no stream is
                expected.
            on_events: called with the response head and complete events.
            on_announcement: called with what the server says of itself.
        """
        loop = asyncio.get_running_loop()
        self.done: asyncio.Future[Outcome] = loop.create_future()
        self.head: http_call.Head | None = None
        self.last_byte_at = loop.time()
        self.events_seen = False
        self.event_interval: float | None = None
        self._loop = loop
        self._names = names
        self._request_id = request_id
        self._events = events
        self._on_events = on_events
        self._on_announcement = on_announcement
        self._streaming = False
        self._verdict = responses.Verdict.INVALID

    def on_head(self, head: http_call.Head) -> bool:
        """Handles status and headers.

        The body is buffered unless it is a stream or will not be used: that of
        an invalid response or a rejection may never end.
        """
        self.head = head
        self._verdict = responses.judge(self._names, head, self._request_id)
        self._report_announcement(head)
        if self._verdict in _VERDICTS_WITHOUT_BODY:
            self._finish_response(b"")
            return False
        kind = head.get(b"content-type") or b""
        self._streaming = (
            self._events is not None
            and self._verdict is responses.Verdict.VALID
            and kind.startswith(EVENT_STREAM_TYPE)
        )
        return not self._streaming

    def _report_announcement(self, head: http_call.Head) -> None:
        """Reports it immediately: the attempt itself may be cancelled."""
        found = announcements.read(self._names, head, self._verdict)
        if found is not None and self._on_announcement is not None:
            self._on_announcement(found)

    def on_body(self, data: bytes) -> None:
        """Handles a part of a stream."""
        if self.done.done() or self._on_events is None:
            return
        assert self._events is not None
        assert self.head is not None
        before = self._events.last_id
        broken = ""
        try:
            complete = self._events.feed(data)
        except sse.BrokenStreamError as error:
            complete, broken = error.valid_events, str(error)
        if complete:
            count = max(1, (self._events.last_id or 0) - (before or 0))
            now = self._loop.time()
            if self.events_seen:
                self._update_interval((now - self.last_byte_at) / count)
            self.last_byte_at = now
            self.events_seen = True
            self._on_events(self.head, complete)
        if broken:
            self._finish(Outcome(retry_policy.Failure.INVALID, detail=broken))

    def _update_interval(self, seconds: float) -> None:
        if self.event_interval is None:
            self.event_interval = seconds
        self.event_interval += INTERVAL_SMOOTHING_RATIO * (
            seconds - self.event_interval
        )

    def on_complete(self, body: bytes) -> None:
        """Handles the end of the response."""
        assert self.head is not None
        if self._streaming:
            assert self._events is not None
            if not self.events_seen and not self.head.is_framed:
                self._finish(
                    Outcome(
                        retry_policy.Failure.LOST,
                        detail="closed before the first event",
                    )
                )
            elif self._events.is_clean:
                self._finish(Outcome(None))
            else:
                self._finish(
                    Outcome(
                        retry_policy.Failure.LOST,
                        detail="stream ended within an event",
                    )
                )
            return
        self._finish_response(body)

    def _finish_response(self, body: bytes) -> None:
        assert self.head is not None
        fault = self.head.get(self._names.fault) or b""
        detail = f"status {self.head.status}"
        retry_after = self.head.get(self._names.retry_after)
        if retry_after is not None:
            value = retry_after[:MAX_LOGGED_VALUE_LENGTH].decode("latin-1")
            detail += f", retry after {value}"
        self._finish(
            Outcome(
                _FAILURE_BY_VERDICT[self._verdict],
                http_call.Response(self.head, body),
                fault.decode("latin-1"),
                detail,
            )
        )

    def on_failure(self, error: http_call.CallError) -> None:
        """Handles a connection that failed during the response."""
        failure = retry_policy.Failure.LOST
        if not error.sent:
            failure = retry_policy.Failure.NOT_SENT
        elif error.failure is http_call.CallFailure.MALFORMED:
            failure = retry_policy.Failure.INVALID
        self._finish(Outcome(failure, detail=str(error)))

    def abandon(self, detail: str) -> None:
        """Ends the attempt because its server has ended."""
        self._finish(Outcome(retry_policy.Failure.LOST, detail=detail))

    def release(self) -> None:
        """Drops the callbacks and ignores further events.

        The callbacks may refer to this receiver. A reference cycle would keep
        the request until the garbage collector runs.
        """
        self._on_events = None
        self._on_announcement = None

    def _finish(self, outcome: Outcome) -> None:
        if not self.done.done():
            self.done.set_result(outcome)


def new_run(
    admitted: admission.Admitted,
    server: directory.Server,
    now: float,
    *,
    survived: bool = False,
) -> runs.Run:
    """Returns the record of a run that is about to be sent.

    Args:
        admitted: the request.
        server: the server that it is sent to.
        now: loop time in seconds.
        survived: whether an earlier run of the request survived its beginning.
    """
    return runs.Run(
        admitted.request_id.decode("latin-1"),
        admitted.service.id,
        admitted.segments,
        server.lifetime,
        server.address,
        now,
        survived=survived,
    )


_RUN_END_BY_FAILURE = {
    None: runs.End.COMPLETE,
    retry_policy.Failure.LOST: runs.End.LOST,
    retry_policy.Failure.INVALID: runs.End.LOST,
    retry_policy.Failure.NOT_SENT: runs.End.NOT_RUN,
    retry_policy.Failure.REJECTED: runs.End.NOT_RUN,
    retry_policy.Failure.SERVER_ERROR: runs.End.NOT_RUN,
    retry_policy.Failure.TIMEOUT: runs.End.ABORTED,
    retry_policy.Failure.QUARANTINED: runs.End.ABORTED,
}


def run_end(receiver: ResponseReceiver) -> runs.End:
    """Returns how the run of a response ended, once its connection is closed.

    A complete error response shows neither a crash nor a sound prompt.
    """
    if not receiver.done.done() or receiver.done.cancelled():
        return runs.End.ABORTED
    return _RUN_END_BY_FAILURE[receiver.done.result().failure]
