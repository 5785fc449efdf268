"""Refuses requests from sources with too many failed logins."""

from starlette import requests
from starlette import types

from nutmeglift import auth
from nutmeglift import errors
from nutmeglift_router import error_responses
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric


class LoginThrottle:
    """ASGI middleware that limits failed logins by source address.

    Counts the responses with the status of "unauthenticated".
    """

    def __init__(
        self,
        app: types.ASGIApp,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
    ) -> None:
        self._app = app
        self._clock = clock
        self._metrics = metrics
        self._limiter = auth.LoginLimiter()

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serves one request, or refuses it if its source is blocked."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        client = scope.get("client")
        source = client[0] if client else ""
        try:
            self._limiter.check(source, self._clock.now())
        except errors.RefusedError as error:
            self._metrics.count("login.refused")
            request = requests.Request(scope, receive)
            response = await error_responses.make_error_response(request, error)
            await response(scope, receive, send)
            return

        async def send_and_count(message: types.Message) -> None:
            if message.get("status") == _UNAUTHENTICATED_HTTP_STATUS:
                self._metrics.count("login.failed")
                self._limiter.record_failure(source, self._clock.now())
            await send(message)

        await self._app(scope, receive, send_and_count)


_UNAUTHENTICATED_HTTP_STATUS = errors.ANSWER_BY_KIND[
    errors.ErrorKind.UNAUTHENTICATED
].status
