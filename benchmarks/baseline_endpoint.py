"""Chat endpoint of the first, minimal version: the processor time baseline."""

from collections.abc import AsyncIterator
import json
from typing import Any

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from nutmeglift import tokenizer
from nutmeglift_router import admission_controller
from nutmeglift_router import blackboard_entries
from nutmeglift_router import chat
from nutmeglift_router import chat_endpoint
from nutmeglift_router import request_bodies
from nutmeglift_router import router as routers


class BaselineChatEndpoint:
    """Serves chat completions through Starlette's streaming response."""

    def __init__(self, router: routers.Router) -> None:
        self._router = router
        self._tokenizer = tokenizer.ByteTokenizer()

    async def serve(self, request: requests.Request) -> responses.Response:
        """Handles one request."""
        router = self._router
        router.check_accepts_work()
        header = request.headers.get("authorization")
        account = router.authenticator.account(header)
        text = await request_bodies.read(request, router.own.bounds.body_bytes)
        body = msgspec.json.decode(text, type=chat_endpoint.ChatBody)
        declared = router.board.read(blackboard_entries.CONFIGURATION).declared
        route = next(r for r in declared.routes if r.id == body.model)
        prompt = self._tokenizer.encode(body.messages)
        ticket = await router.admission.admit(
            admission_controller.Demand(
                account, route.id, len(prompt), body.max_tokens
            )
        )
        stream = router.chat.start(
            chat.ChatRequest(account, route, prompt, body.max_tokens)
        )
        stream.on_end = lambda: router.admission.release(
            ticket, len(stream.gate.tokens)
        )
        if body.stream:
            return responses.StreamingResponse(
                self._events(stream, body.model),
                media_type="text/event-stream",
            )
        texts: list[str] = []
        async for part in router.chat.parts(stream):
            texts += part.texts
        message = {"role": "assistant", "content": "".join(texts)}
        return responses.JSONResponse(
            {
                "id": stream.request,
                "object": "chat.completion",
                "model": body.model,
                "choices": [{"index": 0, "message": message}],
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
        async for part in self._router.chat.parts(stream):
            yield _encode_part(head, part)
        yield b"data: [DONE]\n\n"


def _encode_part(head: bytes, part: chat.ChatPart) -> bytes:
    chunks = [
        b'%s%s},"finish_reason":null}]}\n\n' % (head, json.dumps(text).encode())
        for text in part.texts
    ]
    if part.finish is not None:
        reason = part.finish.value.encode()
        chunks.append(b'%s""},"finish_reason":"%s"}]}\n\n' % (head, reason))
    return b"".join(chunks)


def make_app(router: routers.Router) -> Any:
    """Returns an application that serves only this endpoint."""
    endpoint = BaselineChatEndpoint(router)
    return applications.Starlette(
        routes=[
            routing.Route(
                "/v1/chat/completions", endpoint.serve, methods=["POST"]
            )
        ]
    )
