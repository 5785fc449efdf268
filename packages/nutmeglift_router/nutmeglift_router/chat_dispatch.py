"""Gives requests to pipelines, and takes them away again."""

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

MAX_DISPATCHES = 4

CandidateFinder = Callable[[ids.VmId], routing.Candidate | None]
Post = Callable[[ids.VmId, codec.AnyMessage], bool]

SHORTEST_DEADLINE_SECONDS = 0.001


class Dispatcher:
    """Sends the router's orders about streams to the agents."""

    def __init__(
        self,
        vm: ids.VmId,
        *,
        clock: clocks.BaseClock,
        routes: routing.Routing,
        find: CandidateFinder,
        post: Post,
    ) -> None:
        self._vm = vm
        self._clock = clock
        self._routing = routes
        self._find = find
        self._post = post

    def dispatch(self, stream: chat.Stream) -> None:
        """Gives the stream's attempt to a pipeline.

        Raises:
            errors.RefusedError: no pipeline can take it.
        """
        unconnected: set[ids.VmId] = set()
        while len(unconnected) < MAX_DISPATCHES:
            pipeline = self._choose(stream, unconnected)
            first = pipeline.stages[0].vm
            if self._post(first, self.make_start(stream, pipeline)):
                stream.pipeline = pipeline
                stream.used |= {stage.vm for stage in pipeline.stages}
                stream.tokens_before = len(stream.gate.tokens)
                stream.recovery.record_dispatch()
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

    def replace(
        self,
        stream: chat.Stream,
        failure: recovery.Failure,
        attempt: ids.Attempt,
    ) -> bool:
        """Replaces only the stage at fault; returns whether it could."""
        old = stream.pipeline
        if old is None or not self._survive(old, failure.vm):
            return False
        if len(stream.gate.tokens) == stream.tokens_before:
            return False  # The stages may know nothing of it yet.
        try:
            fresh = self._choose(stream, set())
        except errors.NutmegError:
            return False
        found = recovery.replace_stage(old, failure, fresh)
        if found is None:
            return False
        replaced = stream.gate.attempt
        now = self._clock.now()
        self._cancel_on(stream, [old.stages[found[0]]])
        self._routing.ended(old, failure.vm, now)
        if found[0] == len(old.stages) - 1:
            stream.gate.restart(attempt)
        else:
            stream.gate.continue_with(attempt)
        stream.pipeline = found[1]
        stream.used |= {stage.vm for stage in found[1].stages}
        self._routing.started(found[1], now)
        self._post_replacement(stream, found[0], replaced)
        return True

    def cancel(self, stream: chat.Stream, failed: ids.VmId | None) -> None:
        """Ends the stream's attempt at all its stages.

        Args:
            stream: the stream.
            failed: the VM at fault, or None.
        """
        pipeline = stream.pipeline
        if pipeline is None:
            return
        stream.pipeline = None
        self._routing.ended(pipeline, failed, self._clock.now())
        self._cancel_on(stream, pipeline.stages)

    def _survive(
        self, pipeline: messages.Pipeline, failed: ids.VmId | None
    ) -> bool:
        for stage in pipeline.stages:
            found = self._find(stage.vm)
            if stage.vm == failed:
                continue
            if found is None or found.incarnation != stage.incarnation:
                return False
        return True

    def _post_replacement(
        self, stream: chat.Stream, index: int, replaced: ids.Attempt
    ) -> None:
        assert stream.pipeline is not None
        start = self.make_start(stream, stream.pipeline)
        bare = msgspec.structs.replace(start, tokens=())
        for receiver, stage in enumerate(stream.pipeline.stages):
            if receiver == index and index > 0:
                continue  # The stage before it opens it.
            sent = start if receiver == 0 else bare
            message = messages.ReplaceStage(sent, replaced, index, receiver)
            self._post(stage.vm, message)

    def _choose(
        self, stream: chat.Stream, unconnected: set[ids.VmId]
    ) -> messages.Pipeline:
        asked = stream.chat
        return self._routing.choose(
            asked.route.model,
            asked.route.version,
            asked.route.adapter,
            tokens=asked.prompt + tuple(stream.gate.tokens),
            find=self._find,
            avoid=frozenset(stream.recovery.failed | unconnected),
            now=self._clock.now(),
        )

    def make_start(
        self, stream: chat.Stream, pipeline: messages.Pipeline
    ) -> messages.StartAttempt:
        """Returns the order to go on after the tokens released so far."""
        asked = stream.chat
        released = tuple(stream.gate.tokens)
        return messages.StartAttempt(
            stream.request,
            stream.gate.attempt,
            self._vm,
            pipeline,
            asked.prompt + released,
            asked.max_tokens - len(released),
            len(released),
            asked.account.priority,
            self._seconds_left(asked),
        )

    def _seconds_left(self, asked: chat.ChatRequest) -> float:
        if asked.ends is None:
            return 0.0
        left = asked.ends - self._clock.now()
        return max(left, SHORTEST_DEADLINE_SECONDS)

    def _cancel_on(
        self, stream: chat.Stream, stages: Iterable[messages.Stage]
    ) -> None:
        cancel = messages.CancelAttempt(stream.request, stream.gate.attempt)
        for stage in stages:
            self._post(stage.vm, cancel)
