"""A request to a model, and its answer on the way to the caller."""

import asyncio
from collections.abc import Callable
import dataclasses

from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import recovery
from nutmeglift import states
from nutmeglift import streams


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
        tokens_before: tokens released when it was last dispatched.
        on_end: called once, when nothing more will be generated.
        sink: takes a part at once, or returns False to have it queued.
        waiting: tokens that wait for the caller.
    """

    def __init__(self, request: ids.RequestId, chat: ChatRequest) -> None:
        self.request = request
        self.chat = chat
        self.gate = streams.TokenFilter(ids.Attempt(1))
        self.recovery = recovery.RequestRecovery()
        self.pipeline: messages.Pipeline | None = None
        self.used: set[ids.VmId] = set()
        self.tokens_before = 0
        self.on_end: Callable[[], None] = _do_nothing
        self.sink: Callable[[ChatPart], bool] | None = None
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
        """Passes a part on, or queues it or the error that ends the stream."""
        if isinstance(part, ChatPart):
            if self._pass_on(part):
                return
            self.waiting += len(part.texts)
        else:
            self.sink = None
        self._parts.put_nowait(part)

    def _pass_on(self, part: ChatPart) -> bool:
        if self.sink is None or part.finish is not None:
            return False
        return self._parts.empty() and self.sink(part)

    def end(self) -> None:
        """Tells the listener that nothing more will be generated."""
        # The listener often refers to the stream.
        on_end, self.on_end = self.on_end, _do_nothing
        on_end()

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
