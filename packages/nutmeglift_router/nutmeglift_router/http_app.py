"""The HTTP interface to callers: chat completions and plain services."""

from collections.abc import AsyncIterator
import json
from typing import Any

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import tokenizer
from nutmeglift_router import chat
from nutmeglift_router import entries
from nutmeglift_router import plain
from nutmeglift_router import router as routers

DEFAULT_MAX_TOKENS = 256
PLAIN_METHODS = ["GET", "HEAD", "PUT", "POST", "PATCH", "DELETE"]
PASSED_HEADERS = frozenset({"content-type", "accept"})


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


class HttpApp:
    """ASGI application of a router."""

    def __init__(self, router: routers.Router) -> None:
        self._router = router
        self._tokenizer = tokenizer.ByteTokenizer()
        self.app = applications.Starlette(
            routes=[
                routing.Route(
                    "/v1/chat/completions", self._chat, methods=["POST"]
                ),
                routing.Route(
                    "/services/{service}/{path:path}",
                    self._plain,
                    methods=PLAIN_METHODS,
                ),
                routing.Route("/health/ready", self._ready),
                routing.Route("/health/live", self._live),
                routing.Route(
                    "/{path:path}", self._unknown, methods=PLAIN_METHODS
                ),
            ],
            exception_handlers={errors.NutmegError: answer_error},
        )

    async def _ready(self, request: requests.Request) -> responses.Response:
        self._router.check_accepts_work()
        return responses.JSONResponse({"ready": True})

    async def _live(self, request: requests.Request) -> responses.Response:
        return responses.JSONResponse({"live": True})

    async def _unknown(self, request: requests.Request) -> responses.Response:
        raise errors.RefusedError(
            f"nothing is served at {request.url.path}",
            kind=errors.ErrorKind.UNKNOWN_ROUTE,
        )

    async def _chat(self, request: requests.Request) -> responses.Response:
        self._router.check_accepts_work()
        account = self._authenticate(request)
        body = _parse_chat(await self._read_body(request))
        route = self._find_route(body.model, account)
        prompt = self._tokenizer.encode(body.messages)
        stream = self._router.chat.start(
            chat.ChatRequest(account, route, prompt, body.max_tokens)
        )
        if body.stream:
            return responses.StreamingResponse(
                self._events(stream, body.model),
                media_type="text/event-stream",
            )
        return await self._whole_answer(stream, body.model)

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
            body = json.dumps({"error": error_body(error, stream.request)})
            yield f"event: error\ndata: {body}\n\n".encode()

    async def _plain(self, request: requests.Request) -> responses.Response:
        self._router.check_accepts_work()
        account = self._authenticate(request)
        body = await self._read_body(request)
        call = self._make_plain_call(request, account, body)
        outcome = await self._router.plain.call(call)
        return responses.Response(
            outcome.body,
            status_code=outcome.status,
            headers=dict(outcome.headers),
        )

    def _make_plain_call(
        self,
        request: requests.Request,
        account: declaration.ClientAccount,
        body: bytes,
    ) -> plain.PlainCallRequest:
        declared = self._router.board.read(entries.CONFIGURATION).declared
        name = request.path_params["service"]
        path = "/" + request.path_params["path"]
        service = next((s for s in declared.services if s.id == name), None)
        call = None
        if service is not None:
            call = plain.find_call(service, request.method, path)
        if service is None or call is None:
            raise errors.RefusedError(
                f"no declared call is {request.method} {path} of {name}",
                kind=errors.ErrorKind.UNKNOWN_ROUTE,
            )
        if account.services and service.id not in account.services:
            raise errors.RefusedError(
                f"{account.id} may not use {service.id}",
                kind=errors.ErrorKind.FORBIDDEN,
            )
        query = f"?{request.url.query}" if request.url.query else ""
        key = request.headers.get("idempotency-key")
        headers = tuple(
            (name, value)
            for name, value in request.headers.items()
            if name in PASSED_HEADERS
        )
        return plain.PlainCallRequest(
            account,
            service,
            call,
            request.method,
            path + query,
            headers,
            body,
            ids.IdempotencyKey(key) if key else None,
        )

    def _authenticate(
        self, request: requests.Request
    ) -> declaration.ClientAccount:
        header = request.headers.get("authorization")
        return self._router.authenticator.account(header)

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

    async def _read_body(self, request: requests.Request) -> bytes:
        bound = self._router.own.bounds.body_bytes
        parts = []
        size = 0
        async for part in request.stream():
            size += len(part)
            if size > bound:
                raise errors.RefusedError(
                    f"the body exceeds {bound} bytes",
                    kind=errors.ErrorKind.BODY_TOO_LARGE,
                )
            parts.append(part)
        return b"".join(parts)


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


def error_body(error: errors.NutmegError, request: str) -> dict[str, Any]:
    """Returns what a caller is told about an error."""
    return {
        "kind": error.kind.value,
        "ran": error.ran.value,
        "message": error.detail,
        "retryable": error.answer.retryable,
        "request_id": request,
    }


async def answer_error(
    request: requests.Request, error: Exception
) -> responses.Response:
    """Answers a request that failed."""
    if not isinstance(error, errors.NutmegError):
        raise error
    headers = {}
    if error.retry_after is not None:
        headers["Retry-After"] = str(max(1, round(error.retry_after)))
    return responses.JSONResponse(
        {"error": error_body(error, request.headers.get("x-request-id", ""))},
        status_code=error.answer.status,
        headers=headers,
    )
