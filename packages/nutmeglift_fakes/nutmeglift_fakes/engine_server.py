"""HTTP server of the toy engine."""

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from nutmeglift import codec
from nutmeglift import control_messages
from nutmeglift import engine
from nutmeglift import errors
from nutmeglift_fakes import toy_engine


class EngineServer:
    """ASGI application that serves a toy engine."""

    def __init__(self, toy: toy_engine.ToyEngine) -> None:
        self._toy = toy
        self.app = applications.Starlette(
            routes=[
                _post("/v1/step", self._step),
                _post("/v1/load", self._load),
                _post("/v1/order", self._order),
                _post("/v1/release/{sequence}", self._release),
                _post("/v1/cache-events/{after:int}", self._cache_events),
                _post("/v1/cache/export/{sequence}", self._export),
                _post("/v1/cache/import/{sequence}", self._import),
            ],
            exception_handlers={
                errors.StaleFencingNumberError: _answer_conflict,
                errors.NutmegError: _answer_failure,
            },
        )

    async def _step(self, request: requests.Request) -> responses.Response:
        body = await request.body()
        items = codec.decode_as(body, engine.StepRequest).items
        results = await self._toy.step(items)
        return _cbor(codec.encode(engine.StepResponse(results)))

    async def _load(self, request: requests.Request) -> responses.Response:
        return _cbor(codec.encode(await self._toy.load()))

    async def _order(self, request: requests.Request) -> responses.Response:
        body = await request.body()
        await self._toy.order(codec.decode_as(body, control_messages.Order))
        return _cbor(b"")

    async def _release(self, request: requests.Request) -> responses.Response:
        await self._toy.release(request.path_params["sequence"])
        return _cbor(b"")

    async def _cache_events(
        self, request: requests.Request
    ) -> responses.Response:
        events = await self._toy.cache_events(request.path_params["after"])
        return _cbor(codec.encode(events))

    async def _export(self, request: requests.Request) -> responses.Response:
        return _cbor(
            await self._toy.export_cache(request.path_params["sequence"])
        )

    async def _import(self, request: requests.Request) -> responses.Response:
        sequence = request.path_params["sequence"]
        await self._toy.import_cache(sequence, await request.body())
        return _cbor(b"")


def _post(path: str, endpoint: object) -> routing.Route:
    return routing.Route(path, endpoint, methods=["POST"])  # type: ignore[arg-type]


def _cbor(body: bytes) -> responses.Response:
    return responses.Response(body, media_type="application/cbor")


async def _answer_conflict(
    request: requests.Request, error: Exception
) -> responses.Response:
    return responses.PlainTextResponse(str(error), status_code=409)


async def _answer_failure(
    request: requests.Request, error: Exception
) -> responses.Response:
    return responses.PlainTextResponse(str(error), status_code=500)
