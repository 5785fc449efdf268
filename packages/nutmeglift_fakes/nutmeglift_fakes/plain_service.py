"""A fake plain service that records each executed call."""

import dataclasses

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from nutmeglift import backend
from nutmeglift import errors
from nutmeglift_wire import clock as clocks


@dataclasses.dataclass(frozen=True)
class Execution:
    """An executed call."""

    method: str
    path: str
    body: bytes


class ToyPlainService(backend.BasePlainBackend):
    """Plain service, callable in memory or over HTTP through `app`.

    Attributes:
        executions: every call executed, in order.
        delay: seconds that each call takes before it is executed.
        drop_after_execution: number of next calls whose response is lost; only
            for in-memory calls.
        refuse: whether in-memory calls fail as a refused connection would.
        padding: bytes appended to each in-memory response.
        app: ASGI application that executes calls over HTTP.
    """

    def __init__(self, clock: clocks.BaseClock) -> None:
        self.executions: list[Execution] = []
        self.delay = 0.0
        self.drop_after_execution = 0
        self.refuse = False
        self.padding = b""
        self._clock = clock
        self.app = applications.Starlette(
            routes=[
                routing.Route(
                    "/{path:path}",
                    self._serve,
                    methods=["GET", "PUT", "POST", "PATCH", "DELETE"],
                )
            ]
        )

    async def call(
        self, request: backend.PlainRequest, timeout: float
    ) -> backend.PlainResponse:
        """Executes a call in memory."""
        if self.refuse:
            raise errors.RefusedError(
                "connection refused", kind=errors.ErrorKind.NO_BACKEND
            )
        if self.delay > timeout:
            await self._clock.sleep(timeout)
            self._execute(request.method, request.path, request.body)
            raise errors.OutcomeUnknownError("no response within the timeout")
        if self.delay:
            await self._clock.sleep(self.delay)
        text = self._execute(request.method, request.path, request.body)
        if self.drop_after_execution > 0:
            self.drop_after_execution -= 1
            raise errors.OutcomeUnknownError("the connection dropped")
        return backend.PlainResponse(
            200,
            (("content-type", "text/plain"),),
            text.encode() + self.padding,
        )

    def _execute(self, method: str, path: str, body: bytes) -> str:
        self.executions.append(Execution(method, path, body))
        return f"execution {len(self.executions)} of {method} {path}"

    async def _serve(self, request: requests.Request) -> responses.Response:
        body = await request.body()
        if self.delay:
            await self._clock.sleep(self.delay)
        text = self._execute(request.method, request.url.path, body)
        return responses.PlainTextResponse(text)
