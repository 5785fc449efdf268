"""Requests to a model: from admission to the last token."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses
import secrets

from nutmeglift import blackboard
from nutmeglift import codec
from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import routing
from nutmeglift import states
from nutmeglift import streams
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

MAX_ATTEMPTS = 4
CandidateFinder = Callable[[ids.VmId], routing.Candidate | None]
Post = Callable[[ids.VmId, codec.AnyMessage], bool]
REQUEST_ID_BYTES = 12


@dataclasses.dataclass(frozen=True)
class ChatRequest:
    """A checked request.

    Attributes:
        account: the caller's account.
        route: the route.
        prompt: tokens of the prompt.
        max_tokens: how many tokens to generate at most.
    """

    account: declaration.ClientAccount
    route: declaration.Route
    prompt: tuple[int, ...]
    max_tokens: int


@dataclasses.dataclass(frozen=True)
class ChatPart:
    """A part of an answer.

    Attributes:
        texts: texts of its tokens.
        finish: why the answer ended, in its last part.
    """

    texts: tuple[str, ...]
    finish: states.FinishReason | None = None


class Stream:
    """One answer on its way to its caller.

    Attributes:
        request: identifies the request.
        gate: releases each token once.
        pipeline: pipeline of the attempt that counts.
        failed: VMs that failed this request.
        used: VMs that this request was given to.
        on_end: called once, when nothing more will come.
    """

    def __init__(self, request: ids.RequestId, chat: ChatRequest) -> None:
        self.request = request
        self.chat = chat
        self.gate = streams.TokenGate(ids.Attempt(1))
        self.pipeline: messages.Pipeline | None = None
        self.failed: set[ids.VmId] = set()
        self.used: set[ids.VmId] = set()
        self.on_end: Callable[[], None] = lambda: None
        self._parts: asyncio.Queue[ChatPart | errors.NutmegError] = (
            asyncio.Queue()
        )

    def put(self, part: ChatPart | errors.NutmegError) -> None:
        """Queues a part, or the error that ends the stream."""
        self._parts.put_nowait(part)

    async def next(self) -> ChatPart:
        """Returns the next part.

        Raises:
            errors.NutmegError: the stream ended with this error.
        """
        part = await self._parts.get()
        if isinstance(part, errors.NutmegError):
            raise part
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
    ) -> None:
        self._vm = vm
        self._board = board
        self._clock = clock
        self._metrics = metrics
        self._routing = routes
        self._find = find
        self._post = post
        self._stream_by_request: dict[ids.RequestId, Stream] = {}

    @property
    def in_flight(self) -> int:
        """Number of answers on their way."""
        return len(self._stream_by_request)

    def pipelines(self) -> list[messages.Pipeline]:
        """Returns the pipelines of the answers on their way."""
        return [
            stream.pipeline
            for stream in self._stream_by_request.values()
            if stream.pipeline is not None
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

    async def parts(self, stream: Stream) -> AsyncIterator[ChatPart]:
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
            self._end(stream, None)

    def take_frame(self, frame: messages.TokenFrame) -> None:
        """Takes tokens from an agent."""
        for item in frame.items:
            self._take_item(item)

    def take_failure(self, failure: messages.AttemptFailed) -> None:
        """Takes an agent's word that an attempt failed."""
        stream = self._stream_by_request.get(failure.request)
        if stream is None or stream.gate.attempt != failure.attempt:
            return
        self._metrics.count("chat.attempt_failed")
        self._recover(stream, failure.vm, failure.detail)

    def lose_agent(self, vm: ids.VmId) -> None:
        """Recovers the streams that run through a lost agent."""
        for stream in list(self._stream_by_request.values()):
            if stream.pipeline is None:
                continue
            if any(stage.vm == vm for stage in stream.pipeline.stages):
                self._recover(stream, vm, f"{vm} was lost")

    def _take_item(self, item: messages.TokenItem) -> None:
        stream = self._stream_by_request.get(item.request)
        if stream is None:
            self._metrics.count("token.unknown_request")
            return
        released = stream.gate.accept(item)
        match released.arrival:
            case streams.Arrival.NEXT:
                stream.put(ChatPart(released.texts, released.finish))
            case streams.Arrival.GAP:
                self._recover(stream, None, "tokens were lost")
            case arrival:
                self._metrics.count(f"token.{arrival.value}")

    def _recover(
        self, stream: Stream, failed: ids.VmId | None, detail: str
    ) -> None:
        if stream.gate.finished:
            return
        self._cancel(stream, failed)
        if failed is not None:
            stream.failed.add(failed)
        attempt = ids.Attempt(stream.gate.attempt + 1)
        if attempt > MAX_ATTEMPTS:
            stream.put(errors.StageFailedError(detail))
            return
        stream.gate.restart(attempt)
        self._metrics.count("chat.recovered")
        try:
            self._dispatch(stream)
        except errors.NutmegError as error:
            stream.put(errors.StageFailedError(error.detail))

    def _dispatch(self, stream: Stream) -> None:
        chat = stream.chat
        released = tuple(stream.gate.tokens)
        tokens = chat.prompt + released
        now = self._clock.now()
        pipeline = self._routing.choose(
            chat.route.model,
            chat.route.version,
            chat.route.adapter,
            tokens=tokens,
            find=self._find,
            avoid=frozenset(stream.failed),
            now=now,
        )
        start = messages.StartAttempt(
            stream.request,
            stream.gate.attempt,
            self._vm,
            pipeline,
            tokens,
            chat.max_tokens - len(released),
            len(released),
            chat.account.priority,
        )
        if not self._post(pipeline.stages[0].vm, start):
            raise errors.RefusedError(
                "the first stage is not connected",
                kind=errors.ErrorKind.NO_BACKEND,
            )
        stream.pipeline = pipeline
        stream.used |= {stage.vm for stage in pipeline.stages}
        self._routing.started(pipeline, now)

    def _end(self, stream: Stream, failed: ids.VmId | None) -> None:
        if self._stream_by_request.pop(stream.request, None) is None:
            return
        stream.on_end()
        if stream.gate.finished:
            self._metrics.count("chat.finished")
        self._cancel(stream, failed)

    def _cancel(self, stream: Stream, failed: ids.VmId | None) -> None:
        pipeline = stream.pipeline
        if pipeline is None:
            return
        stream.pipeline = None
        self._routing.ended(pipeline, failed, self._clock.now())
        cancel = messages.CancelAttempt(stream.request, stream.gate.attempt)
        for stage in pipeline.stages:
            self._post(stage.vm, cancel)
