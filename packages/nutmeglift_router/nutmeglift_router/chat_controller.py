"""Runs chat requests from admission to the last token."""

import asyncio
from collections.abc import AsyncGenerator
import secrets
import weakref

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import recovery
from nutmeglift import routing
from nutmeglift import states
from nutmeglift import streams
from nutmeglift_router import chat
from nutmeglift_router import chat_dispatch
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

DEFAULT_TOKEN_BUFFER_COUNT = 4096
REQUEST_ID_BYTES = 12
REFUSAL_KINDS = frozenset(
    {errors.ErrorKind.DRAINING, errors.ErrorKind.NO_BACKEND}
)


class ChatController:
    """Runs the requests to models and recovers them after failures."""

    def __init__(
        self,
        vm: ids.VmId,
        *,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
        routes: routing.PipelineSelector,
        find: chat_dispatch.CandidateFinder,
        post: chat_dispatch.Post,
        token_buffer: int = DEFAULT_TOKEN_BUFFER_COUNT,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._dispatcher = chat_dispatch.Dispatcher(
            vm, clock=clock, routes=routes, find=find, post=post
        )
        self._token_buffer = token_buffer
        self._stream_by_request: dict[ids.RequestId, chat.Stream] = {}
        # Weak references: a response that nobody reads any more is dropped.
        self._unread: weakref.WeakSet[chat.Stream] = weakref.WeakSet()
        self._redispatch_tasks: set[asyncio.Task[None]] = set()

    @property
    def in_flight(self) -> int:
        """Number of responses being generated or not yet fully read."""
        return len(self._stream_by_request) + len(self._unread)

    def pipelines(self) -> list[messages.Pipeline]:
        """Returns the pipelines of the responses being generated."""
        return [
            stream.pipeline
            for stream in self._stream_by_request.values()
            if stream.pipeline is not None
        ]

    def attempts_on(self, vm: ids.VmId) -> list[messages.HeldAttempt]:
        """Returns the attempts whose pipeline includes a VM."""
        return [
            stream.held_attempt
            for stream in self._stream_by_request.values()
            if stream.runs_on(vm)
        ]

    def start(self, chat_request: chat.ChatRequest) -> chat.Stream:
        """Dispatches a request and returns its response stream.

        Raises:
            errors.RefusedError: no pipeline accepts it.
        """
        request = ids.RequestId(secrets.token_hex(REQUEST_ID_BYTES))
        stream = chat.Stream(request, chat_request)
        self._dispatcher.dispatch(stream)
        self._stream_by_request[request] = stream
        self._metrics.count("chat.started")
        return stream

    async def parts(
        self, stream: chat.Stream
    ) -> AsyncGenerator[chat.ChatPart, None]:
        """Yields the parts of a response, including the last one.

        Closing the generator early cancels the request.

        Raises:
            errors.NutmegError: the response can't be completed.
        """
        try:
            while True:
                part = await stream.next()
                yield part
                if part.finish is not None:
                    return
        finally:
            self._unread.discard(stream)
            if stream.request in self._stream_by_request:
                self._metrics.count("chat.caller_left")
                self._end(stream)

    def handle_token_frame(self, frame: messages.TokenFrame) -> None:
        """Delivers the tokens of an agent's frame to their streams."""
        for item in frame.items:
            self._handle_token(item)

    def handle_attempt_failure(self, failure: messages.AttemptFailed) -> None:
        """Recovers the stream of an attempt that an agent reports as failed."""
        stream = self._stream_by_request.get(failure.request)
        if stream is None or stream.gate.attempt != failure.attempt:
            self._metrics.count("chat.old_failure")
            return
        self._metrics.count("chat.attempt_failed")
        refused = failure.kind in REFUSAL_KINDS
        first = stream.pipeline and stream.pipeline.stages[0].vm
        self._handle_failure(
            stream,
            recovery.Failure(
                failure.detail,
                failure.vm,
                refused=refused,
                not_run=failure.ran is states.Ran.NOT_RUN
                and failure.vm == first,
                kind=failure.kind,
            ),
        )

    def on_agent_lost(self, vm: ids.VmId) -> None:
        """Recovers the streams whose pipeline includes a lost agent."""
        for stream in list(self._stream_by_request.values()):
            must_end = stream.recovery.record_lost(vm)
            if must_end or stream.runs_on(vm):
                self._handle_failure(
                    stream,
                    recovery.Failure(
                        f"the agent on {vm} was lost", vm, lost=True
                    ),
                )

    def on_attempt_lost(self, lost: messages.HeldAttempt) -> None:
        """Recovers the stream of an attempt that an agent no longer holds."""
        stream = self._stream_by_request.get(lost.request)
        if stream is not None and stream.held_attempt == lost:
            self._handle_failure(
                stream, recovery.Failure("an agent no longer holds the attempt")
            )

    def _handle_token(self, item: messages.TokenItem) -> None:
        stream = self._stream_by_request.get(item.request)
        if stream is None:
            self._metrics.count("token.unknown_request")
            return
        released = stream.gate.accept(item)
        match released.status:
            case streams.SequenceStatus.NEXT:
                self._release(stream, released)
            case streams.SequenceStatus.GAP:
                self._handle_failure(
                    stream, recovery.Failure("the token sequence has a gap")
                )
            case arrival:
                self._metrics.count(f"token.{arrival.value}")

    def _release(
        self, stream: chat.Stream, released: streams.ReleasedTokens
    ) -> None:
        stream.put(chat.ChatPart(released.texts, released.finish))
        if released.finish is not None:
            self._metrics.count("chat.finished")
            self._unread.add(stream)
            self._end(stream)
        elif stream.unread_tokens > self._token_buffer:
            self._metrics.count("chat.caller_too_slow")
            self._abort(
                stream,
                errors.LinkClosedError(
                    f"caller too slow: {stream.unread_tokens} tokens unread",
                    ran=states.Ran.RAN,
                ),
            )

    def _handle_failure(
        self, stream: chat.Stream, failure: recovery.Failure
    ) -> None:
        released = len(stream.gate.tokens)
        action = stream.recovery.fail(failure, released)
        if isinstance(action, recovery.Restart) and self._dispatcher.replace(
            stream, failure, action.attempt
        ):
            self._metrics.count("chat.stage_replaced")
            return
        self._dispatcher.cancel(stream, failure.vm)
        self._apply_action(stream, action)

    def _apply_action(
        self, stream: chat.Stream, action: recovery.Action
    ) -> None:
        match action:
            case recovery.Restart(attempt):
                self._metrics.count("chat.recovered")
                stream.gate.restart(attempt)
                self._redispatch(stream)
            case recovery.Wait(seconds):
                task = asyncio.ensure_future(
                    self._redispatch_after(stream, seconds)
                )
                self._redispatch_tasks.add(task)
                task.add_done_callback(self._redispatch_tasks.discard)
            case recovery.Abort(error):
                self._metrics.count("chat.given_up")
                self._abort(stream, error)

    async def _redispatch_after(
        self, stream: chat.Stream, seconds: float
    ) -> None:
        await self._clock.sleep(seconds)
        if stream.request in self._stream_by_request:
            self._redispatch(stream)

    def _redispatch(self, stream: chat.Stream) -> None:
        try:
            self._dispatcher.dispatch(stream)
        except errors.NutmegError as error:
            released = len(stream.gate.tokens)
            now = self._clock.now()
            self._apply_action(
                stream, stream.recovery.handle_no_pipeline(now, error, released)
            )

    def _abort(self, stream: chat.Stream, error: errors.NutmegError) -> None:
        stream.put(error)
        self._unread.add(stream)
        self._end(stream)

    def _end(self, stream: chat.Stream) -> None:
        if self._stream_by_request.pop(stream.request, None) is None:
            return
        stream.end()
        self._dispatcher.cancel(stream, None)
