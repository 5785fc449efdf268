"""HTTP endpoint for calls to plain services."""

from starlette import requests
from starlette import responses

from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift_router import admission_controller
from nutmeglift_router import blackboard_entries
from nutmeglift_router import error_responses
from nutmeglift_router import plain_call_request
from nutmeglift_router import plain_controller
from nutmeglift_router import request_bodies
from nutmeglift_router import router as routers

METHODS = ["GET", "HEAD", "PUT", "POST", "PATCH", "DELETE"]
PASSED_HEADERS = frozenset({"content-type", "accept"})


class PlainEndpoint:
    """Serves declared calls to plain services."""

    def __init__(self, router: routers.Router) -> None:
        self._router = router

    async def serve(self, request: requests.Request) -> responses.Response:
        """Authenticates, admits and runs one call, and returns its response."""
        router = self._router
        router.check_accepts_work()
        header = request.headers.get("authorization")
        account = router.authenticator.account(header)
        body = await request_bodies.read(request, router.own.bounds.body_bytes)
        call = self._make_call(request, account, body)
        ticket = await router.admission.admit(
            admission_controller.Demand(account, None)
        )
        try:
            result = await router.plain.run(call)
        finally:
            router.admission.release(ticket, 0)
        headers = dict(result.outcome.headers)
        if result.replayed:
            headers[error_responses.REPLAYED_HEADER] = "true"
        return responses.Response(
            result.outcome.body,
            status_code=result.outcome.status,
            headers=headers,
        )

    def _make_call(
        self,
        request: requests.Request,
        account: declaration.ClientAccount,
        body: bytes,
    ) -> plain_call_request.PlainCallRequest:
        declared = self._router.board.read(
            blackboard_entries.CONFIGURATION
        ).declared
        name = request.path_params["service"]
        path = "/" + request.path_params["path"]
        service = next((s for s in declared.services if s.id == name), None)
        call = None
        if service is not None:
            call = plain_controller.find_call(service, request.method, path)
        if service is None or call is None:
            raise errors.RefusedError(
                f"no call {request.method} {path} is declared by {name}",
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
        return plain_call_request.PlainCallRequest(
            account,
            service,
            call,
            request.method,
            path + query,
            headers,
            body,
            ids.IdempotencyKey(key) if key else None,
        )
