"""Requests to a model: from admission to the last token."""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import Callable
import dataclasses
import secrets
import weakref

from nutmeglift import blackboard
from nutmeglift import codec
from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import recovery
from nutmeglift import routing
from nutmeglift import states
from nutmeglift import streams
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

MAX_DISPATCHES = 4
DEFAULT_TOKEN_BUFFER = 4096
CandidateFinder = Callable[[ids.VmId], routing.Candidate | None]
Post = Callable[[ids.VmId, codec.AnyMessage], bool]
REQUEST_ID_BYTES = 12
SHORTEST_DEADLINE_SECONDS = 0.001
REFUSALS = frozenset({errors.ErrorKind.DRAINING, errors.ErrorKind.NO_BACKEND})


@dataclasses.dataclass(frozen=True)
class ChatRequest:
    """A checked request.

    Attributes:
        account: the caller's account.
        route: the route.
        prompt: tokens of the prompt.
        max_tokens: how many tokens to generate at most.
        ends: clock time of the caller's deadline, or None.
    """

    account: declaration.ClientAccount
    route: declaration.Route
    prompt: tuple[int, ...]
    max_tokens: int
    ends: float | None = None


@dataclasses.dataclass(frozen=True)
class ChatPart:
    """A part of an answer.

    Attributes:
        texts: texts of its tokens.
        finish: why the answer ended, in its last part.
    """

    texts: tuple[str, ...]
    finish: states.FinishReason | None = None


def _do_nothing() -> None:
    """Stands for a listener that there is not."""


class Stream:
    """One answer on its way to its caller.

    Attributes:
        request: identifies the request.
        gate: releases each token once.
        recovery: decides how the request goes on after failures.
        pipeline: pipeline of the attempt that counts.
        used: VMs that this request was given to.
        on_end: called once, when nothing more will be generated.
        waiting: tokens that wait for the caller.
    """

    def __init__(self, request: ids.RequestId, chat: ChatRequest) -> None:
        self.request = request
        self.chat = chat
        self.gate = streams.TokenGate(ids.Attempt(1))
        self.recovery = recovery.RequestRecovery()
        self.pipeline: messages.Pipeline | None = None
        self.used: set[ids.VmId] = set()
        self.on_end: Callable[[], None] = _do_nothing
        self.waiting = 0
        self._parts: asyncio.Queue[ChatPart | errors.NutmegError] = (
            asyncio.Queue()
        )

    @property
    def held(self) -> messages.HeldAttempt:
        """The attempt that counts."""
        return messages.HeldAttempt(self.request, self.gate.attempt)

    def runs_on(self, vm: ids.VmId) -> bool:
        """Tells whether the attempt that counts runs through a VM."""
        if self.pipeline is None:
            return False
        return any(stage.vm == vm for stage in self.pipeline.stages)

    def put(self, part: ChatPart | errors.NutmegError) -> None:
        """Queues a part, or the error that ends the stream."""
        if isinstance(part, ChatPart):
            self.waiting += len(part.texts)
        self._parts.put_nowait(part)

    async def next(self) -> ChatPart:
        """Returns the next part.

        Raises:
            errors.NutmegError: the stream ended with this error.
        """
        part = await self._parts.get()
        if isinstance(part, errors.NutmegError):
            raise part
        self.waiting -= len(part.texts)
        return part


class ChatController:
    """Runs the requests to models."""

    def __init__(
        self,
        vm: ids.VmId,
        *,
        board: blackboard.Blackboard,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
        routes: routing.Routing,
        find: CandidateFinder,
        post: Post,
        token_buffer: int = DEFAULT_TOKEN_BUFFER,
    ) -> None:
        self._vm = vm
        self._board = board
        self._clock = clock
        self._metrics = metrics
        self._routing = routes
        self._find = find
        self._post = post
        self._token_buffer = token_buffer
        self._stream_by_request: dict[ids.RequestId, Stream] = {}
        # Held weakly, so that an answer that nobody reads is forgotten.
        self._unread: weakref.WeakSet[Stream] = weakref.WeakSet()
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

    def start(self, chat: ChatRequest) -> Stream:
        """Starts a request.

        Raises:
            errors.RefusedError: no pipeline can take it.
        """
        request = ids.RequestId(secrets.token_hex(REQUEST_ID_BYTES))
        stream = Stream(request, chat)
        self._dispatch(stream)
        self._stream_by_request[request] = stream
        self._metrics.count("chat.started")
        return stream

    async def parts(self, stream: Stream) -> AsyncGenerator[ChatPart, None]:
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
        match released.arrival:
            case streams.Arrival.NEXT:
                self._release(stream, released)
            case streams.Arrival.GAP:
                self._fail(stream, recovery.Failure("tokens were lost"))
            case arrival:
                self._metrics.count(f"token.{arrival.value}")

    def _release(self, stream: Stream, released: streams.Release) -> None:
        stream.put(ChatPart(released.texts, released.finish))
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

    def _fail(self, stream: Stream, failure: recovery.Failure) -> None:
        self._cancel(stream, failure.vm)
        released = len(stream.gate.tokens)
        self._act(stream, stream.recovery.fail(failure, released))

    def _act(self, stream: Stream, action: recovery.Action) -> None:
        match action:
            case recovery.Restart(attempt):
                self._metrics.count("chat.recovered")
                stream.gate.restart(attempt)
                self._redispatch(stream)
            case recovery.Wait(seconds):
                wait = asyncio.ensure_future(self._wait(stream, seconds))
                self._waits.add(wait)
                wait.add_done_callback(self._waits.discard)
            case recovery.GiveUp(error):
                self._metrics.count("chat.given_up")
                self._give_up(stream, error)

    async def _wait(self, stream: Stream, seconds: float) -> None:
        await self._clock.sleep(seconds)
        if stream.request in self._stream_by_request:
            self._redispatch(stream)

    def _redispatch(self, stream: Stream) -> None:
        try:
            self._dispatch(stream)
        except errors.NutmegError as error:
            released = len(stream.gate.tokens)
            now = self._clock.now()
            self._act(stream, stream.recovery.no_pipeline(now, error, released))

    def _dispatch(self, stream: Stream) -> None:
        unconnected: set[ids.VmId] = set()
        while len(unconnected) < MAX_DISPATCHES:
            pipeline = self._choose(stream, unconnected)
            first = pipeline.stages[0].vm
            if self._post(first, self._make_start(stream, pipeline)):
                stream.pipeline = pipeline
                stream.used |= {stage.vm for stage in pipeline.stages}
                stream.recovery.dispatched()
                self._routing.started(pipeline, self._clock.now())
                return
            if first in unconnected:
                break
            unconnected.add(first)
        raise errors.RefusedError(
            "no first stage is connected",
            kind=errors.ErrorKind.NO_BACKEND,
            retry_after=1.0,
        )

    def _choose(
        self, stream: Stream, unconnected: set[ids.VmId]
    ) -> messages.Pipeline:
        chat = stream.chat
        return self._routing.choose(
            chat.route.model,
            chat.route.version,
            chat.route.adapter,
            tokens=chat.prompt + tuple(stream.gate.tokens),
            find=self._find,
            avoid=frozenset(stream.recovery.failed | unconnected),
            now=self._clock.now(),
        )

    def _make_start(
        self, stream: Stream, pipeline: messages.Pipeline
    ) -> messages.StartAttempt:
        chat = stream.chat
        released = tuple(stream.gate.tokens)
        return messages.StartAttempt(
            stream.request,
            stream.gate.attempt,
            self._vm,
            pipeline,
            chat.prompt + released,
            chat.max_tokens - len(released),
            len(released),
            chat.account.priority,
            self._seconds_left(chat),
        )

    def _seconds_left(self, chat: ChatRequest) -> float:
        if chat.ends is None:
            return 0.0
        return max(chat.ends - self._clock.now(), SHORTEST_DEADLINE_SECONDS)

    def _give_up(self, stream: Stream, error: errors.NutmegError) -> None:
        stream.put(error)
        self._unread.add(stream)
        self._end(stream)

    def _end(self, stream: Stream) -> None:
        if self._stream_by_request.pop(stream.request, None) is None:
            return
        on_end, stream.on_end = stream.on_end, _do_nothing
        on_end()
        self._cancel(stream, None)

    def _cancel(self, stream: Stream, failed: ids.VmId | None) -> None:
        pipeline = stream.pipeline
        if pipeline is None:
            return
        stream.pipeline = None
        self._routing.ended(pipeline, failed, self._clock.now())
        cancel = messages.CancelAttempt(stream.request, stream.gate.attempt)
        for stage in pipeline.stages:
            self._post(stage.vm, cancel)
