"""HTTP endpoints of a router for operators."""

import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift_router import request_bodies
from nutmeglift_router import router as routers
from nutmeglift_router import router_status

MAX_BODY_BYTES = 4096


class DrainBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a drain request.

    Attributes:
        vm: the VM to drain.
    """

    vm: ids.VmId


class AdminEndpoint:
    """Serves operators, who authenticate with their tokens.

    Attributes:
        routes: the HTTP routes of the endpoint.
    """

    def __init__(self, router: routers.Router) -> None:
        self._router = router
        self.routes = [
            routing.Route("/admin/v1/status", self._status),
            routing.Route("/admin/v1/drain", self._drain, methods=["POST"]),
        ]

    async def _status(self, request: requests.Request) -> responses.Response:
        operator = self._authenticate(request)
        status = router_status.make_status(self._router, operator)
        return responses.Response(
            msgspec.json.encode(status), media_type="application/json"
        )

    async def _drain(self, request: requests.Request) -> responses.Response:
        operator = self._authenticate(request)
        body = await request_bodies.read(request, MAX_BODY_BYTES)
        try:
            order = msgspec.json.decode(body, type=DrainBody)
        except (msgspec.DecodeError, ValueError) as error:
            raise errors.RefusedError(f"body: {error}") from error
        if not self._router.drain_vm(order.vm, operator):
            raise errors.RefusedError(
                f"{self._router.own.vm} has no connection to {order.vm}",
                kind=errors.ErrorKind.NO_BACKEND,
            )
        return responses.JSONResponse({"draining": order.vm})

    def _authenticate(self, request: requests.Request) -> str:
        header = request.headers.get("authorization")
        return self._router.authenticator.operator(header).id
