"""Reads callers' HTTP requests and writes the responses."""

import asyncio
from collections.abc import Callable
import functools
import socket
from typing import cast

from nutmeglift import errors
from nutmeglift_gateway import caller_request
from nutmeglift_gateway import catalog
from nutmeglift_gateway import connection_closing
from nutmeglift_gateway import http_call
from nutmeglift_gateway import metrics
from nutmeglift_gateway import reading_timer
from nutmeglift_gateway import request_memory
from nutmeglift_gateway import responses
from nutmeglift_gateway import unsent_responses

MAX_PIPELINED_REQUEST_COUNT = 16
"""Reading stops once this many requests are queued on one connection."""
WRITE_BUFFER_LIMIT_BYTES = 256 * 1024
"""Unsent bytes for a caller above which reading from its server is paused."""

Handler = Callable[["CallerConnection", caller_request.Request], None]
"""Starts to process a request; processing ends with
CallerConnection.finish."""
UnansweredRecorder = Callable[
    [caller_request.Request, metrics.UnansweredCause], None
]
"""Records a complete request that the router leaves without a response."""


class CallerConnection(
    asyncio.Protocol, caller_request.BaseReceiver, unsent_responses.BaseWriter
):
    """One caller's connection; its requests are processed one after another.

    Attributes:
        closed: whether the caller or the router closed it.
        current: the request that is being processed, if any.
        response_begun: whether a part of its response has been written.
        on_close: called once if it closes while a request is being processed.
        on_writable: called with False when the caller reads too slowly, and
            with True when it has caught up.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], catalog.ClientLimits],
        refuse: Callable[[errors.ErrorKind], bytes],
        connections: "set[CallerConnection]",
        record_unanswered: UnansweredRecorder | None = None,
        memory: request_memory.Budget = request_memory.SHARED_BUDGET,
        unsent: unsent_responses.Budget = unsent_responses.SHARED_BUDGET,
    ) -> None:
        """Initializes a connection.

        Args:
            handler: starts to process a request.
            limits: returns the current limits for requests of callers.
            refuse: formats the error response to a request that cannot be
                read.
            connections: all open connections, to which it adds itself.
            record_unanswered: records requests that are left unanswered.
            memory: limits the memory of all callers' requests.
            unsent: limits the memory of all callers' unsent responses.
        """
        self.closed = False
        self.current: caller_request.Request | None = None
        self.response_begun = False
        self.on_close: Callable[[], None] | None = None
        self.on_writable: Callable[[bool], None] | None = None
        self._handler = handler
        self._limits = limits
        self._refuse = refuse
        self._connections = connections
        self._record_unanswered = record_unanswered
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._memory = memory
        self._unsent = unsent
        self._parser = caller_request.RequestParser(self, limits, memory)
        self._large: tuple[request_memory.Holding, int] | None = None
        self._awaits_memory = False
        self._waiting: list[caller_request.Request] = []
        self._rejection: errors.ErrorKind | None = None
        self._continue_expected = False
        self._has_responded = False
        self._paused = False
        self._timer = reading_timer.ReadingTimer()
        self._idle_since = 0.0
        self._closing: connection_closing.Closing | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or processed."""
        return self.current is None and not self.has_queued

    @property
    def is_settled(self) -> bool:
        """Whether it is idle and its caller has been sent everything."""
        return (
            self.is_idle
            and not self.closed
            and self._transport is not None
            and self._transport.get_write_buffer_size() == 0
        )

    @property
    def has_queued(self) -> bool:
        """Whether anything follows the current request, if only in part."""
        return (
            bool(self._waiting)
            or self._rejection is not None
            or self._parser.started
        )

    def write(self, data: bytes) -> None:
        """Writes a part of a response."""
        if self._transport is not None and not self.closed:
            self.response_begun = True
            self._transport.write(data)
            unsent_bytes = self._transport.get_write_buffer_size()
            if unsent_bytes >= unsent_responses.MIN_COUNTED_BYTES:
                self._unsent.record(self, unsent_bytes)

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that the caller has not been sent yet."""
        assert self._transport is not None
        return self._transport.get_write_buffer_size()

    def cut(self) -> None:
        """Resets the connection once the current event has been handled."""
        assert self._transport is not None
        connection_closing.reset_on_close(self._transport)
        self._loop.call_soon(self._transport.abort)

    def finish(self, *, keep_alive: bool) -> None:
        """Ends the current request.

        Args:
            keep_alive: whether the response leaves the connection open;
                otherwise it is closed once the caller has received it.
        """
        current, self.current = self.current, None
        self._release(current)
        self._has_responded = True
        self.on_close = None
        self.on_writable = None
        if self.closed:
            return
        if not keep_alive or (current is not None and not current.keep_alive):
            self._drop_waiting(metrics.UnansweredCause.CONNECTION_CLOSED)
            self._close_after_response()
            return
        if self._paused:
            self._update_reading()
        self._start_next()
        self._restart_timer()

    def abort(self) -> None:
        """Aborts the connection, so that the response is visibly incomplete."""
        current, self.current = self.current, None
        self._release(current)
        self.on_close = None
        if self._transport is not None and not self.closed:
            self.closed = True
            if current is not None and not current.accepts_chunked:
                connection_closing.reset_on_close(self._transport)
            self._drop_waiting(metrics.UnansweredCause.CONNECTION_ABORTED)
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is being processed."""
        if self.is_idle:
            self._close()

    def close_if_reused(self) -> None:
        """Closes the connection if it is idle after at least one request."""
        if self._has_responded:
            self.close_if_idle()

    # asyncio.Protocol methods.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport, and sets its limits and the idle timer."""
        # Not all event loops derive their transports from asyncio's class.
        self._transport = cast(asyncio.Transport, transport)
        self._connections.add(self)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_LIMIT_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                10 * http_call.TCP_USER_TIMEOUT_MILLISECONDS,
            )
        self._restart_timer()

    def data_received(self, data: bytes) -> None:
        """Passes received bytes to the parser, or discards them."""
        if self._closing is not None:
            self._closing.discard(data)
        if self.closed or self._rejection is not None:
            return
        self._parser.feed(data)

    def eof_received(self) -> bool:
        """Handles a half-close: the caller expects no further response."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the loss of the connection."""
        self.closed = True
        self._connections.discard(self)
        self._unsent.forget(self)
        self._timer.cancel()
        self._parser.close()
        for request in [self.current, *self._waiting]:
            self._release(request)
        self._waiting.clear()
        self.on_writable = None
        on_close, self.on_close = self.on_close, None
        if on_close is not None:
            on_close()

    def pause_writing(self) -> None:
        """Handles a full write buffer: the caller reads too slowly."""
        if self.on_writable is not None:
            self.on_writable(False)

    def resume_writing(self) -> None:
        """Handles a write buffer with space: the caller has caught up."""
        if self.on_writable is not None:
            self.on_writable(True)

    # Events of the parser.

    def on_begin(self) -> None:
        """Limits the time for the request's head."""
        self._restart_timer()

    def on_head_complete(self) -> None:
        """Gives the caller more time to send the body."""
        self._restart_timer()

    def on_continue_expected(self) -> None:
        """Asks the caller to send the body, after the responses before it."""
        self._continue_expected = True
        self._start_next()

    def on_large_body(self, holding: request_memory.Holding, size: int) -> None:
        """Stops reading until memory is reserved for the body."""
        self._large = (holding, size)
        self._awaits_memory = True
        self._update_reading()
        self._start_next()

    def on_request(self, request: caller_request.Request) -> None:
        """Queues a complete request."""
        self._timer.cancel()
        self._continue_expected = False
        self._waiting.append(request)
        if self.closed:
            # The response to a request in the same data closed the connection.
            self._drop_waiting(metrics.UnansweredCause.CONNECTION_CLOSED)
            return
        self._large, self._awaits_memory = None, False
        if self._paused or len(self._waiting) >= MAX_PIPELINED_REQUEST_COUNT:
            self._update_reading()
        self._start_next()

    def on_rejected(self, kind: errors.ErrorKind) -> None:
        """Responds to a request that cannot be read, after those before it."""
        self._rejection = kind
        self._large = None
        self._awaits_memory = False
        self._update_reading()
        self._start_next()

    def _start_next(self) -> None:
        if self.current is not None or self.closed:
            return
        if self._waiting:
            self.current = self._waiting.pop(0)
            self.response_begun = False
            self._handler(self, self.current)
            return
        if self._rejection is not None:
            response = self._refuse(self._rejection)
            is_head = self._parser.is_head
            self.write(responses.drop_body(response) if is_head else response)
            self._close_after_response()
            return
        if self._large is not None:
            self._reserve_memory(*self._large)
        if self._continue_expected and not self._awaits_memory:
            self._continue_expected = False
            self.write(responses.CONTINUE)

    def _reserve_memory(
        self, holding: request_memory.Holding, size: int
    ) -> None:
        self._large = None
        if not self._memory.reserve(holding, size, self._on_reserved):
            self._parser.reject(errors.ErrorKind.OVERLOADED)
            return
        if holding.state is request_memory.State.RESERVED:
            self._on_reserved()
        else:
            self._restart_timer()

    def _on_reserved(self) -> None:
        """Reads the body, within the time for it."""
        self._awaits_memory = False
        self._update_reading()
        self._restart_timer()
        self._start_next()

    def _update_reading(self) -> None:
        paused = (
            self._awaits_memory
            or len(self._waiting) >= MAX_PIPELINED_REQUEST_COUNT
        )
        if paused == self._paused or self.closed:
            return
        self._paused = paused
        assert self._transport is not None
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _release(self, request: caller_request.Request | None) -> None:
        if request is not None and request.holding is not None:
            self._memory.release(request.holding)

    def _drop_waiting(self, cause: metrics.UnansweredCause) -> None:
        waiting, self._waiting = self._waiting, []
        for request in waiting:
            self._release(request)
        if self._record_unanswered is None:
            return
        for request in waiting:
            self._record_unanswered(request, cause)

    def _on_idle(self) -> None:
        # A new configuration may have changed the limit.
        idle_until = self._idle_since + self._limits().idle_timeout
        remaining = idle_until - self._loop.time()
        if remaining > 0:
            self._timer.set(remaining, self._on_idle)
            return
        self.close_if_idle()

    def _restart_timer(self) -> None:
        """Limits the time for the caller's next step, if one is awaited."""
        if self.closed or self.current is not None:
            self._timer.cancel()
            return
        limits = self._limits()
        if not self._parser.started:
            self._idle_since = self._loop.time()
            self._timer.set(limits.idle_timeout, self._on_idle)
            return
        kind, seconds = errors.ErrorKind.HEADER_TIMEOUT, limits.header_timeout
        if self._awaits_memory:
            kind = errors.ErrorKind.OVERLOADED
            seconds = request_memory.MAX_WAIT_SECONDS
        elif self._parser.head_complete:
            seconds = max(limits.header_timeout, limits.idle_timeout)
        self._timer.set(seconds, functools.partial(self._parser.reject, kind))

    def _close(self) -> None:
        if self._transport is not None and not self.closed:
            self.closed = True
            self._transport.close()

    def _close_after_response(self) -> None:
        """Closes the connection once the caller has received the response.

        The end of the data is signalled to the caller, which closes in turn.
        """
        assert self._transport is not None
        self.closed = True
        self._closing = connection_closing.Closing(self._transport)
        if self._closing.begin(paused=self._paused):
            self._linger()

    def _linger(self) -> None:
        self._timer.set(connection_closing.LINGER_SECONDS, self._on_linger_end)

    def _on_linger_end(self) -> None:
        assert self._closing is not None
        if not self._closing.end():
            self._linger()
