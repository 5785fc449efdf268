"""The HTTP application of a router."""

from starlette import applications
from starlette import middleware
from starlette import requests
from starlette import responses
from starlette import routing

from nutmeglift import errors
from nutmeglift_router import admin_endpoint
from nutmeglift_router import chat_endpoint
from nutmeglift_router import drain_controller
from nutmeglift_router import error_responses
from nutmeglift_router import login_throttle
from nutmeglift_router import plain_endpoint
from nutmeglift_router import router as routers


class HttpApp:
    """ASGI application of a router."""

    def __init__(self, router: routers.Router) -> None:
        self._router = router
        self._chat = chat_endpoint.ChatEndpoint(router)
        self._plain = plain_endpoint.PlainEndpoint(router)
        admin = admin_endpoint.AdminEndpoint(router)
        methods = plain_endpoint.METHODS
        self.app = applications.Starlette(
            routes=[
                routing.Route(
                    "/v1/chat/completions", self._chat, methods=["POST"]
                ),
                routing.Route(
                    "/services/{service}/{path:path}",
                    self._plain.serve,
                    methods=methods,
                ),
                *admin.routes,
                routing.Route("/health/ready", self._ready),
                routing.Route("/health/live", self._live),
                routing.Route("/{path:path}", self._unknown, methods=methods),
            ],
            middleware=[
                middleware.Middleware(
                    drain_controller.DrainMiddleware, drain_state=router.drain
                )
            ],
            exception_handlers={
                errors.NutmegError: error_responses.make_error_response
            },
        )
        self.app.add_middleware(
            login_throttle.LoginThrottle, router.clock, router.counters
        )

    async def _ready(self, request: requests.Request) -> responses.Response:
        self._router.check_accepts_work()
        return responses.JSONResponse({"ready": True})

    async def _live(self, request: requests.Request) -> responses.Response:
        return responses.JSONResponse({"live": True})

    async def _unknown(self, request: requests.Request) -> responses.Response:
        raise errors.RefusedError(
            f"no endpoint at {request.url.path}",
            kind=errors.ErrorKind.UNKNOWN_ROUTE,
        )
