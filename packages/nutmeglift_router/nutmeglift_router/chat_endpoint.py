"""Chat completions over HTTP: JSON, or server-sent events."""

from collections.abc import AsyncIterator
import json

import msgspec
from starlette import requests
from starlette import responses

from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import tokenizer
from nutmeglift_router import admission_controller
from nutmeglift_router import answers
from nutmeglift_router import bodies
from nutmeglift_router import caller_watch
from nutmeglift_router import chat
from nutmeglift_router import entries
from nutmeglift_router import router as routers

DEFAULT_MAX_TOKENS = 256


class ChatBody(msgspec.Struct, frozen=True):
    """Body of a chat completion request.

    Attributes:
        model: the route.
        messages: the chat.
        max_tokens: how many tokens to generate at most.
        stream: whether to answer with server-sent events.
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

    async def serve(self, request: requests.Request) -> responses.Response:
        """Answers one request."""
        router = self._router
        router.check_accepts_work()
        header = request.headers.get("authorization")
        account = router.authenticator.account(header)
        bound = router.own.bounds.body_bytes
        body = _parse_chat(await bodies.read(request, bound))
        route = self._find_route(body.model, account)
        prompt = self._tokenizer.encode(body.messages)
        ticket = await router.admission.admit(
            admission_controller.Demand(
                account,
                route.id,
                len(prompt),
                body.max_tokens,
                route.deadline_seconds,
            )
        )
        try:
            stream = router.chat.start(
                chat.ChatRequest(account, route, prompt, body.max_tokens)
            )
        except errors.NutmegError:
            router.admission.release(ticket, 0)
            raise
        stream.on_end = lambda: router.admission.release(
            ticket, len(stream.gate.tokens)
        )
        if body.stream:
            return responses.StreamingResponse(
                self._events(stream, body.model),
                media_type="text/event-stream",
            )
        return await caller_watch.answer_unless_gone(
            request, self._whole_answer(stream, body.model)
        )

    async def _whole_answer(
        self, stream: chat.Stream, model: str
    ) -> responses.Response:
        texts: list[str] = []
        finish = ""
        async for part in self._router.chat.parts(stream):
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
        return responses.JSONResponse(
            {
                "id": stream.request,
                "object": "chat.completion",
                "model": model,
                "choices": [choice],
                "usage": usage,
            }
        )

    async def _events(
        self, stream: chat.Stream, model: str
    ) -> AsyncIterator[bytes]:
        head = (
            f'data: {{"id":{json.dumps(stream.request)},'
            f'"object":"chat.completion.chunk","model":{json.dumps(model)},'
            '"choices":[{"index":0,"delta":{"content":'
        ).encode()
        try:
            async for part in self._router.chat.parts(stream):
                yield _encode_part(head, part)
            yield b"data: [DONE]\n\n"
        except errors.NutmegError as error:
            body = json.dumps(
                {"error": answers.error_body(error, stream.request)}
            )
            yield f"event: error\ndata: {body}\n\n".encode()

    def _find_route(
        self, name: str, account: declaration.ClientAccount
    ) -> declaration.Route:
        declared = self._router.board.read(entries.CONFIGURATION).declared
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
            f"no route is named {name!r}", kind=errors.ErrorKind.UNKNOWN_ROUTE
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


def _encode_part(head: bytes, part: chat.ChatPart) -> bytes:
    chunks = [
        b'%s%s},"finish_reason":null}]}\n\n' % (head, json.dumps(text).encode())
        for text in part.texts
    ]
    if part.finish is not None:
        reason = part.finish.value.encode()
        chunks.append(b'%s""},"finish_reason":"%s"}]}\n\n' % (head, reason))
    return b"".join(chunks)
