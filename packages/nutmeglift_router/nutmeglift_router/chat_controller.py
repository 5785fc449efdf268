"""Requests to a model: from admission to the last token."""

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

DEFAULT_TOKEN_BUFFER = 4096
REQUEST_ID_BYTES = 12
REFUSALS = frozenset({errors.ErrorKind.DRAINING, errors.ErrorKind.NO_BACKEND})


class ChatController:
    """Runs the requests to models."""

    def __init__(
        self,
        vm: ids.VmId,
        *,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
        routes: routing.Routing,
        find: chat_dispatch.CandidateFinder,
        post: chat_dispatch.Post,
        token_buffer: int = DEFAULT_TOKEN_BUFFER,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._dispatcher = chat_dispatch.Dispatcher(
            vm, clock=clock, routes=routes, find=find, post=post
        )
        self._token_buffer = token_buffer
        self._stream_by_request: dict[ids.RequestId, chat.Stream] = {}
        # Held weakly, so that an answer that nobody reads is forgotten.
        self._unread: weakref.WeakSet[chat.Stream] = weakref.WeakSet()
        self._waits: set[asyncio.Task[None]] = set()

    @property
    def in_flight(self) -> int:
        """Number of answers generated, or not yet read to their end."""
        return len(self._stream_by_request) + len(self._unread)

    def pipelines(self) -> list[messages.Pipeline]:
        """Returns the pipelines of the answers on their way."""
        return [
            stream.pipeline
            for stream in self._stream_by_request.values()
            if stream.pipeline is not None
        ]

    def attempts_on(self, vm: ids.VmId) -> list[messages.HeldAttempt]:
        """Returns the attempts that run through a VM."""
        return [
            stream.held
            for stream in self._stream_by_request.values()
            if stream.runs_on(vm)
        ]

    def start(self, asked: chat.ChatRequest) -> chat.Stream:
        """Starts a request.

        Raises:
            errors.RefusedError: no pipeline can take it.
        """
        request = ids.RequestId(secrets.token_hex(REQUEST_ID_BYTES))
        stream = chat.Stream(request, asked)
        self._dispatcher.dispatch(stream)
        self._stream_by_request[request] = stream
        self._metrics.count("chat.started")
        return stream

    async def parts(
        self, stream: chat.Stream
    ) -> AsyncGenerator[chat.ChatPart, None]:
        """Yields the parts of an answer to the last one.

        Raises:
            errors.NutmegError: the answer can't be completed.
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

    def take_frame(self, frame: messages.TokenFrame) -> None:
        """Takes tokens from an agent."""
        for item in frame.items:
            self._take_item(item)

    def take_failure(self, failure: messages.AttemptFailed) -> None:
        """Takes an agent's word that an attempt failed."""
        stream = self._stream_by_request.get(failure.request)
        if stream is None or stream.gate.attempt != failure.attempt:
            self._metrics.count("chat.old_failure")
            return
        self._metrics.count("chat.attempt_failed")
        refused = failure.kind in REFUSALS
        first = stream.pipeline and stream.pipeline.stages[0].vm
        self._fail(
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

    def lose_agent(self, vm: ids.VmId) -> None:
        """Recovers the streams that run through a lost agent."""
        for stream in list(self._stream_by_request.values()):
            if stream.runs_on(vm):
                self._fail(stream, recovery.Failure(f"{vm} was lost", vm))

    def lose_attempt(self, lost: messages.HeldAttempt) -> None:
        """Recovers the stream of an attempt that an agent forgot."""
        stream = self._stream_by_request.get(lost.request)
        if stream is not None and stream.held == lost:
            self._fail(stream, recovery.Failure("an agent forgot the attempt"))

    def _take_item(self, item: messages.TokenItem) -> None:
        stream = self._stream_by_request.get(item.request)
        if stream is None:
            self._metrics.count("token.unknown_request")
            return
        released = stream.gate.accept(item)
        match released.status:
            case streams.SequenceStatus.NEXT:
                self._release(stream, released)
            case streams.SequenceStatus.GAP:
                self._fail(stream, recovery.Failure("tokens were lost"))
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
        elif stream.waiting > self._token_buffer:
            self._metrics.count("chat.caller_too_slow")
            self._give_up(
                stream,
                errors.LinkClosedError(
                    f"{stream.waiting} tokens wait for the caller",
                    ran=states.Ran.RAN,
                ),
            )

    def _fail(self, stream: chat.Stream, failure: recovery.Failure) -> None:
        released = len(stream.gate.tokens)
        action = stream.recovery.fail(failure, released)
        if isinstance(action, recovery.Restart) and self._dispatcher.replace(
            stream, failure, action.attempt
        ):
            self._metrics.count("chat.stage_replaced")
            return
        self._dispatcher.cancel(stream, failure.vm)
        self._act(stream, action)

    def _act(self, stream: chat.Stream, action: recovery.Action) -> None:
        match action:
            case recovery.Restart(attempt):
                self._metrics.count("chat.recovered")
                stream.gate.restart(attempt)
                self._redispatch(stream)
            case recovery.Wait(seconds):
                wait = asyncio.ensure_future(self._wait(stream, seconds))
                self._waits.add(wait)
                wait.add_done_callback(self._waits.discard)
            case recovery.Abort(error):
                self._metrics.count("chat.given_up")
                self._give_up(stream, error)

    async def _wait(self, stream: chat.Stream, seconds: float) -> None:
        await self._clock.sleep(seconds)
        if stream.request in self._stream_by_request:
            self._redispatch(stream)

    def _redispatch(self, stream: chat.Stream) -> None:
        try:
            self._dispatcher.dispatch(stream)
        except errors.NutmegError as error:
            released = len(stream.gate.tokens)
            now = self._clock.now()
            self._act(
                stream, stream.recovery.handle_no_pipeline(now, error, released)
            )

    def _give_up(self, stream: chat.Stream, error: errors.NutmegError) -> None:
        stream.put(error)
        self._unread.add(stream)
        self._end(stream)

    def _end(self, stream: chat.Stream) -> None:
        if self._stream_by_request.pop(stream.request, None) is None:
            return
        stream.end()
        self._dispatcher.cancel(stream, None)
