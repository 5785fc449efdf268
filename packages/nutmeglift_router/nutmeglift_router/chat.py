"""A chat request and the stream of its response."""

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
    """A validated chat request.

    Attributes:
        account: the caller's account.
        route: the route.
        prompt: tokens of the prompt.
        max_tokens: maximum number of tokens to generate.
        deadline: the caller's deadline on the router's clock, in seconds, or
            None.
    """

    account: declaration.ClientAccount
    route: declaration.Route
    prompt: tuple[int, ...]
    max_tokens: int
    deadline: float | None = None


@dataclasses.dataclass(frozen=True)
class ChatPart:
    """A part of a response.

    Attributes:
        texts: texts of its tokens.
        finish: why the response ended; None except in the last part.
    """

    texts: tuple[str, ...]
    finish: states.FinishReason | None = None


def _ignore_end() -> None:
    """Default for a stream without an end listener."""


class Stream:
    """The response to one request, buffered until its caller reads it.

    Attributes:
        request: identifies the request.
        chat: the request's content.
        gate: releases each token exactly once.
        recovery: decides how to continue after failures.
        pipeline: pipeline of the current attempt, or None between attempts.
        used_vms: VMs that any attempt of this request was dispatched to.
        tokens_at_dispatch: number of tokens released before the last dispatch.
        on_end: called once, when no more tokens will be generated.
        sink: accepts a part synchronously, or returns False to have it queued.
        unread_tokens: number of queued tokens that the caller has not read.
    """

    def __init__(self, request: ids.RequestId, chat: ChatRequest) -> None:
        self.request = request
        self.chat = chat
        self.gate = streams.TokenFilter(ids.Attempt(1))
        self.recovery = recovery.RequestRecovery()
        self.pipeline: messages.Pipeline | None = None
        self.used_vms: set[ids.VmId] = set()
        self.tokens_at_dispatch = 0
        self.on_end: Callable[[], None] = _ignore_end
        self.sink: Callable[[ChatPart], bool] | None = None
        self.unread_tokens = 0
        self._parts: asyncio.Queue[ChatPart | errors.NutmegError] = (
            asyncio.Queue()
        )

    @property
    def held_attempt(self) -> messages.HeldAttempt:
        """The current attempt."""
        return messages.HeldAttempt(self.request, self.gate.attempt)

    def runs_on(self, vm: ids.VmId) -> bool:
        """Returns whether the current attempt's pipeline includes a VM."""
        if self.pipeline is None:
            return False
        return any(stage.vm == vm for stage in self.pipeline.stages)

    def put(self, part: ChatPart | errors.NutmegError) -> None:
        """Delivers a part to the sink, or queues it.

        An error is queued and ends the stream.
        """
        if isinstance(part, ChatPart):
            if self._try_sink(part):
                return
            self.unread_tokens += len(part.texts)
        else:
            self.sink = None
        self._parts.put_nowait(part)

    def _try_sink(self, part: ChatPart) -> bool:
        if self.sink is None or part.finish is not None:
            return False
        return self._parts.empty() and self.sink(part)

    def end(self) -> None:
        """Calls the listener for the end of generation, at most once."""
        # Breaks a reference cycle: the listener often refers to the stream.
        on_end, self.on_end = self.on_end, _ignore_end
        on_end()

    async def next(self) -> ChatPart:
        """Returns the next part.

        Raises:
            errors.NutmegError: the stream ended with this error.
        """
        part = await self._parts.get()
        if isinstance(part, errors.NutmegError):
            raise part
        self.unread_tokens -= len(part.texts)
        return part
