"""Dispatches chat requests to pipelines and cancels them there."""

from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from nutmeglift import codec
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import recovery
from nutmeglift import routing
from nutmeglift_router import chat
from nutmeglift_wire import clock as clocks

MAX_DISPATCH_COUNT = 4

CandidateFinder = Callable[[ids.VmId], routing.AvailableRunner | None]
Post = Callable[[ids.VmId, codec.AnyMessage], bool]

MIN_DEADLINE_SECONDS = 0.001


class Dispatcher:
    """Starts, repairs and cancels attempts at the agents."""

    def __init__(
        self,
        vm: ids.VmId,
        *,
        clock: clocks.BaseClock,
        routes: routing.PipelineSelector,
        find: CandidateFinder,
        post: Post,
    ) -> None:
        self._vm = vm
        self._clock = clock
        self._routing = routes
        self._find = find
        self._post = post

    def dispatch(self, stream: chat.Stream) -> None:
        """Dispatches the stream's current attempt to a pipeline.

        Tries pipelines with another first stage while the first stage's agent
        is not connected.

        Raises:
            errors.RefusedError: no pipeline accepts it.
        """
        unconnected: set[ids.VmId] = set()
        while len(unconnected) < MAX_DISPATCH_COUNT:
            pipeline = self._choose(stream, unconnected)
            first = pipeline.stages[0].vm
            if self._post(first, self.make_start(stream, pipeline)):
                stream.pipeline = pipeline
                stream.used_vms |= {stage.vm for stage in pipeline.stages}
                stream.tokens_at_dispatch = len(stream.gate.tokens)
                stream.recovery.record_dispatch()
                self._routing.request_started(pipeline, self._clock.now())
                return
            if first in unconnected:
                break
            unconnected.add(first)
        raise errors.RefusedError(
            "no agent of a first stage is connected",
            kind=errors.ErrorKind.NO_BACKEND,
            retry_after=1.0,
        )

    def replace(
        self,
        stream: chat.Stream,
        failure: recovery.Failure,
        attempt: ids.Attempt,
    ) -> bool:
        """Replaces only the failed stage; the other stages keep their state.

        Args:
            stream: the stream.
            failure: the failure of the current attempt.
            attempt: number of the attempt that continues.

        Returns:
            Whether the stage was replaced.
        """
        old = stream.pipeline
        if old is None or not self._others_available(old, failure.vm):
            return False
        if len(stream.gate.tokens) == stream.tokens_at_dispatch:
            return False  # The stages may not have opened the attempt yet.
        try:
            alternative = self._choose(stream, set())
        except errors.NutmegError:
            return False
        replacement = recovery.replace_stage(old, failure, alternative)
        if replacement is None:
            return False
        replaced = stream.gate.attempt
        now = self._clock.now()
        self._cancel_on(stream, [old.stages[replacement[0]]])
        self._routing.request_ended(old, failure.vm, now)
        if replacement[0] == len(old.stages) - 1:
            stream.gate.restart(attempt)
        else:
            stream.gate.continue_with(attempt)
        stream.pipeline = replacement[1]
        stream.used_vms |= {stage.vm for stage in replacement[1].stages}
        self._routing.request_started(replacement[1], now)
        self._post_replacement(stream, replacement[0], replaced)
        return True

    def cancel(self, stream: chat.Stream, failed: ids.VmId | None) -> None:
        """Cancels the stream's attempt at all its stages.

        Args:
            stream: the stream.
            failed: the VM that failed, or None.
        """
        pipeline = stream.pipeline
        if pipeline is None:
            return
        stream.pipeline = None
        self._routing.request_ended(pipeline, failed, self._clock.now())
        self._cancel_on(stream, pipeline.stages)

    def _others_available(
        self, pipeline: messages.Pipeline, failed: ids.VmId | None
    ) -> bool:
        for stage in pipeline.stages:
            candidate = self._find(stage.vm)
            if stage.vm == failed:
                continue
            if candidate is None or candidate.incarnation != stage.incarnation:
                return False
        return True

    def _post_replacement(
        self, stream: chat.Stream, index: int, replaced: ids.Attempt
    ) -> None:
        assert stream.pipeline is not None
        start = self.make_start(stream, stream.pipeline)
        start_without_tokens = msgspec.structs.replace(start, tokens=())
        for receiver, stage in enumerate(stream.pipeline.stages):
            if receiver == index and index > 0:
                continue  # Opened by the preceding stage.
            payload = start if receiver == 0 else start_without_tokens
            message = messages.ReplaceStage(payload, replaced, index, receiver)
            self._post(stage.vm, message)

    def _choose(
        self, stream: chat.Stream, unconnected: set[ids.VmId]
    ) -> messages.Pipeline:
        chat_request = stream.chat
        return self._routing.choose(
            chat_request.route.model,
            chat_request.route.version,
            chat_request.route.adapter,
            tokens=chat_request.prompt + tuple(stream.gate.tokens),
            find=self._find,
            avoid=frozenset(stream.recovery.failed | unconnected),
            now=self._clock.now(),
        )

    def make_start(
        self, stream: chat.Stream, pipeline: messages.Pipeline
    ) -> messages.StartAttempt:
        """Returns the message that starts an attempt.

        Tokens released so far are appended to the prompt, so that generation
        continues after them.
        """
        chat_request = stream.chat
        released = tuple(stream.gate.tokens)
        return messages.StartAttempt(
            stream.request,
            stream.gate.attempt,
            self._vm,
            pipeline,
            chat_request.prompt + released,
            chat_request.max_tokens - len(released),
            len(released),
            chat_request.account.priority,
            self._seconds_left(chat_request),
        )

    def _seconds_left(self, chat_request: chat.ChatRequest) -> float:
        if chat_request.deadline is None:
            return 0.0
        seconds_left = chat_request.deadline - self._clock.now()
        return max(seconds_left, MIN_DEADLINE_SECONDS)

    def _cancel_on(
        self, stream: chat.Stream, stages: Iterable[messages.Stage]
    ) -> None:
        cancel = messages.CancelAttempt(stream.request, stream.gate.attempt)
        for stage in stages:
            self._post(stage.vm, cancel)
