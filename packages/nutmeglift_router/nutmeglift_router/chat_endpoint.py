"""HTTP endpoint for chat completions: JSON or server-sent events."""

from collections.abc import AsyncIterator

import msgspec
from starlette import requests
from starlette import responses
from starlette import types

from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import tokenizer
from nutmeglift_router import admission_controller
from nutmeglift_router import blackboard_entries
from nutmeglift_router import cancel_on_disconnect
from nutmeglift_router import chat
from nutmeglift_router import request_bodies
from nutmeglift_router import router as routers
from nutmeglift_router import server_sent_events

DEFAULT_MAX_TOKENS = 256
TIMEOUT_HEADER = "X-Request-Timeout"
"""Seconds within which the caller needs the whole response."""


class ChatBody(msgspec.Struct, frozen=True):
    """Body of a chat completion request.

    Attributes:
        model: id of the route.
        messages: the messages of the chat.
        max_tokens: maximum number of tokens to generate.
        stream: whether to respond with server-sent events.
    """

    model: str
    messages: tuple[tokenizer.ChatMessage, ...]
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False


class ChatEndpoint:
    """Serves chat completions."""

    def __init__(self, router: routers.Router) -> None:
        self._router = router
        self._tokenizer = tokenizer.ByteTokenizer()

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serves one request; cancels it if the caller disconnects."""
        router = self._router
        request = requests.Request(scope, receive)
        router.check_accepts_work()
        header = request.headers.get("authorization")
        account = router.authenticator.account(header)
        bound = router.own.bounds.body_bytes
        body = _parse_chat(await request_bodies.read(request, bound))
        route = self._find_route(body.model, account)
        deadline = _find_deadline(request, route)
        async with cancel_on_disconnect.CancelOnDisconnect(receive):
            stream = await self._start(account, route, body, deadline)
            parts = router.chat.parts(stream)
            try:
                if body.stream:
                    writer = server_sent_events.ServerSentEventWriter(
                        stream, body.model, router.clock, scope, send
                    )
                    await writer.write(parts)
                else:
                    response = await _collect_response(
                        stream, parts, body.model
                    )
                    await response(scope, receive, send)
            finally:
                await parts.aclose()

    async def _start(
        self,
        account: declaration.ClientAccount,
        route: declaration.Route,
        body: ChatBody,
        deadline: float,
    ) -> chat.Stream:
        """Waits for admission and starts the request."""
        router = self._router
        prompt = self._tokenizer.encode(body.messages)
        ticket = await router.admission.admit(
            admission_controller.Demand(
                account, route.id, len(prompt), body.max_tokens, deadline
            )
        )
        seconds_left = ticket.deadline_seconds
        deadline_at = (
            router.clock.now() + seconds_left if seconds_left else None
        )
        try:
            stream = router.chat.start(
                chat.ChatRequest(
                    account, route, prompt, body.max_tokens, deadline_at
                )
            )
        except errors.NutmegError:
            router.admission.release(ticket, 0)
            raise
        stream.on_end = lambda: router.admission.release(
            ticket, len(stream.gate.tokens)
        )
        return stream

    def _find_route(
        self, name: str, account: declaration.ClientAccount
    ) -> declaration.Route:
        declared = self._router.board.read(
            blackboard_entries.CONFIGURATION
        ).declared
        for route in declared.routes:
            if route.id != name:
                continue
            if account.routes and route.id not in account.routes:
                raise errors.RefusedError(
                    f"{account.id} may not use {name}",
                    kind=errors.ErrorKind.FORBIDDEN,
                )
            return route
        raise errors.RefusedError(
            f"unknown route {name!r}", kind=errors.ErrorKind.UNKNOWN_ROUTE
        )


def _parse_chat(body: bytes) -> ChatBody:
    try:
        parsed = msgspec.json.decode(body, type=ChatBody)
    except (msgspec.DecodeError, ValueError) as error:
        raise errors.RefusedError(f"body: {error}") from error
    if parsed.max_tokens < 1:
        raise errors.RefusedError("max_tokens: must be at least 1")
    if not parsed.messages:
        raise errors.RefusedError("messages: must not be empty")
    return parsed


def _find_deadline(
    request: requests.Request, route: declaration.Route
) -> float:
    """Returns the smaller of the caller's and the route's deadline.

    In seconds from now; 0 for none.
    """
    header = request.headers.get(TIMEOUT_HEADER)
    if header is None:
        return route.deadline_seconds
    try:
        seconds = float(header)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < float("inf"):
        raise errors.RefusedError(
            f"{TIMEOUT_HEADER}: must be a number of seconds above 0"
        )
    return min(seconds, route.deadline_seconds or seconds)


async def _collect_response(
    stream: chat.Stream, parts: AsyncIterator[chat.ChatPart], model: str
) -> responses.Response:
    texts: list[str] = []
    finish = ""
    async for part in parts:
        texts += part.texts
        if part.finish is not None:
            finish = part.finish.value
    prompt_tokens = len(stream.chat.prompt)
    choice = {
        "index": 0,
        "message": {"role": "assistant", "content": "".join(texts)},
        "finish_reason": finish,
    }
    usage = {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": len(texts),
        "total_tokens": prompt_tokens + len(texts),
    }
    response = {
        "id": stream.request,
        "object": "chat.completion",
        "model": model,
        "choices": [choice],
        "usage": usage,
    }
    return responses.Response(
        msgspec.json.encode(response), media_type="application/json"
    )
