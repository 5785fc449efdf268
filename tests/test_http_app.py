"""Tests of the HTTP interface over real loopback sockets."""

import asyncio
import json
import random
import unittest

from nutmeglift import auth
from nutmeglift import configuration_apply
from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import plan
from nutmeglift import settings
from nutmeglift_fakes import deployment
from nutmeglift_router import http_app
from nutmeglift_router import router as routers
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import http_server
from nutmeglift_wire import metrics
from nutmeglift_wire import vm_list
from nutmeglift_wire import websocket_link
from tests import utils

MAX_BODY_BYTES = 4096
PATH = "/v1/chat/completions"
LIMITED_TOKEN = "limited-token"
SLOW_LAYER_POSITIONS_PER_SECOND = 1500.0
FAST_LAYER_POSITIONS_PER_SECOND = 240000.0


def make_server_declaration():
    limited = utils.make_account("limited", requests_per_second=0.001)
    limited = limited.model_copy(
        update={"token_sha256": (auth.hash_token(LIMITED_TOKEN),)}
    )
    route_with_deadline = declaration.Route(
        id=ids.RouteId("in-time"),
        model=utils.MODEL,
        version=utils.VERSION,
        deadline_seconds=30.0,
    )
    base = utils.make_declaration()
    return utils.make_declaration(
        client_accounts=(utils.make_account("bank-a"), limited),
        routes=(*base.routes, route_with_deadline),
    )


class RouterServer:
    """A router with its HTTP server, and an agent over real sockets."""

    def __init__(self, rate=FAST_LAYER_POSITIONS_PER_SECOND, **bounds):
        self.rate = rate
        self.bounds = settings.Bounds(body_bytes=MAX_BODY_BYTES, **bounds)
        self.deployment = deployment.Deployment()

    async def __aenter__(self):
        platform = await self.deployment.start()
        applier = configuration_apply.Applier(
            self.deployment.store, asyncio.sleep
        )
        await applier.apply(
            make_server_declaration(),
            configuration_apply.ApplyRequest(ids.ApplyId("1"), "ana", 0.0),
        )
        await self.deployment.add_runner(
            ids.VmId("runner-1"),
            utils.DOMAINS[0],
            utils.RUNNER_CLASS,
            layers=utils.LAYERS,
            layer_positions_per_second=self.rate,
        )
        vms = vm_list.MemoryVmList()
        for vm, running in self.deployment.agent_by_vm.items():
            vms.put(
                plan.VmEntry(
                    vm, running.address, utils.DOMAINS[0], utils.RUNNER_CLASS
                )
            )
        self.metrics = metrics.MemoryMetrics()
        self.router = routers.Router(
            settings.RouterSettings(
                vm=ids.VmId("entry-1"),
                listen="127.0.0.1:1",
                http="127.0.0.1:2",
                failure_domain=utils.DOMAINS[0],
                platform=platform,
                shared_key=deployment.SHARED_KEY,
                bounds=self.bounds,
            ),
            incarnation=ids.Incarnation("1"),
            clock=clocks.LoopClock(),
            rng=random.Random(1),
            store=self.deployment.store,
            vms=vms,
            dialer=websocket_link.WebsocketDialer(),
            metrics=self.metrics,
        )
        self.router.start()
        self.server = http_server.HttpServer(http_app.HttpApp(self.router).app)
        self.address = await self.server.start("127.0.0.1:0")
        await self.wait_until(self._is_ready)
        return self

    async def __aexit__(self, *_):
        await self.router.stop()
        await self.server.stop()
        await self.deployment.stop()

    async def wait_until(self, condition):
        for _ in range(2000):
            if condition():
                return
            await asyncio.sleep(0.005)
        raise AssertionError("the condition did not hold within 10 s")

    def _is_ready(self):
        try:
            stream = self.router.chat.start(self._probe())
        except errors.NutmegError:
            return False
        asyncio.ensure_future(read_answer(self.router, stream))
        return True

    def _probe(self):
        account = utils.make_account("probe")
        route = make_server_declaration().routes[0]
        return http_app.chat_endpoint.chat.ChatRequest(account, route, (1,), 1)

    async def open(self, body, *, path=PATH, method="POST", **headers):
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        headers = {"Authorization": f"Bearer {utils.TOKEN}"} | {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        lines = [f"{method} {path} HTTP/1.1", "Host: nutmeg"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        return reader, writer

    async def call(self, body, **options):
        """Returns status, headers and body of one call."""
        reader, writer = await self.open(body, Connection="close", **options)
        answer = await asyncio.wait_for(reader.read(), 20)
        writer.close()
        head, _, rest = answer.partition(b"\r\n\r\n")
        status, *lines = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines)
        if headers.get("transfer-encoding") == "chunked":
            rest = join_chunks(rest)
        return int(status.split()[1]), headers, rest


async def read_answer(router, stream):
    async for _ in router.chat.parts(stream):
        pass


def join_chunks(body):
    joined = b""
    while True:
        size, _, body = body.partition(b"\r\n")
        length = int(size, 16)
        if not length:
            assert body == b"\r\n", body
            return joined
        joined += body[:length]
        assert body[length : length + 2] == b"\r\n"
        body = body[length + 2 :]


def chat_body(**changes):
    values = {
        "model": utils.ROUTE,
        "messages": [{"role": "user", "content": "check the amendment"}],
        "max_tokens": 8,
    }
    return json.dumps(values | changes).encode()


def event_texts(body):
    events = body.decode().split("\n\n")
    assert events[-2:] == ["data: [DONE]", ""], events[-3:]
    choices = [
        json.loads(event.removeprefix("data: "))["choices"][0]
        for event in events[:-2]
    ]
    text = "".join(choice["delta"]["content"] for choice in choices)
    return text, [choice["finish_reason"] for choice in choices]


class HttpAppTest(unittest.IsolatedAsyncioTestCase):
    REFUSED = {
        "oversized body": (
            {"body": b"x" * (MAX_BODY_BYTES + 1)},
            errors.ErrorKind.BODY_TOO_LARGE,
        ),
        "bad JSON": ({"body": b"{"}, errors.ErrorKind.BAD_REQUEST),
        "wrong type": (
            {"body": chat_body(max_tokens="many")},
            errors.ErrorKind.BAD_REQUEST,
        ),
        "no tokens": (
            {"body": chat_body(max_tokens=0)},
            errors.ErrorKind.BAD_REQUEST,
        ),
        "no messages": (
            {"body": chat_body(messages=[])},
            errors.ErrorKind.BAD_REQUEST,
        ),
        "unknown route": (
            {"body": chat_body(model="nothing")},
            errors.ErrorKind.UNKNOWN_ROUTE,
        ),
        "unknown path": (
            {"body": b"", "path": "/v2/other"},
            errors.ErrorKind.UNKNOWN_ROUTE,
        ),
        "undeclared call": (
            {"body": b"", "path": "/services/core-application/x"},
            errors.ErrorKind.UNKNOWN_ROUTE,
        ),
        "wrong token": (
            {"body": chat_body(), "Authorization": "Bearer other"},
            errors.ErrorKind.UNAUTHENTICATED,
        ),
        "no bearer": (
            {"body": chat_body(), "Authorization": "Basic eDp5"},
            errors.ErrorKind.UNAUTHENTICATED,
        ),
        "limit": (
            {"body": chat_body(), "Authorization": f"Bearer {LIMITED_TOKEN}"},
            errors.ErrorKind.LIMIT_EXCEEDED,
        ),
        "timeout is no number": (
            {"body": chat_body(), "X_Request_Timeout": "soon"},
            errors.ErrorKind.BAD_REQUEST,
        ),
        "timeout below 0": (
            {"body": chat_body(), "X_Request_Timeout": "-1"},
            errors.ErrorKind.BAD_REQUEST,
        ),
        "timeout is nan": (
            {"body": chat_body(), "X_Request_Timeout": "nan"},
            errors.ErrorKind.BAD_REQUEST,
        ),
    }

    async def test_refusals(self):
        async with RouterServer() as server:
            for _ in range(4):
                token = f"Bearer {LIMITED_TOKEN}"
                await server.call(chat_body(max_tokens=1), Authorization=token)
            for name, (options, kind) in self.REFUSED.items():
                with self.subTest(name):
                    status, headers, body = await server.call(**options)
                    wanted = errors.ANSWER_BY_KIND[kind]
                    error = json.loads(body)["error"]
                    self.assertEqual(status, wanted.status, error)
                    self.assertEqual(error["kind"], kind.value)
                    self.assertEqual(error["ran"], "not_run")
                    self.assertEqual(error["retryable"], wanted.retryable)
                    self.assertEqual(
                        set(error),
                        {"kind", "ran", "message", "retryable", "request_id"},
                    )
                    if kind is errors.ErrorKind.LIMIT_EXCEEDED:
                        self.assertGreaterEqual(int(headers["retry-after"]), 1)
            self.assertEqual(server.router.admission.in_flight, 0)

    async def test_answers(self):
        prompt = utils.chat_prompt("check the amendment")
        text = utils.reference_text(prompt, 8)
        async with RouterServer() as server:
            status, _, body = await server.call(chat_body())
            answer = json.loads(body)
            self.assertEqual(status, 200)
            self.assertEqual(answer["choices"][0]["message"]["content"], text)
            self.assertEqual(answer["usage"]["completion_tokens"], 8)
            _, headers, body = await server.call(chat_body(stream=True))
            self.assertIn("text/event-stream", headers["content-type"])
            found, reasons = event_texts(body)
            self.assertEqual(found, text)
            self.assertEqual(reasons[-1], "length")
            self.assertEqual(set(reasons[:-1]), {None})
            self.assertEqual(server.router.admission.in_flight, 0)

    async def test_http_1_0_gets_no_chunks(self):
        async with RouterServer() as server:
            host, _, port = server.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            body = chat_body(stream=True)
            writer.write(
                f"POST {PATH} HTTP/1.0\r\nContent-Length: {len(body)}\r\n"
                f"Authorization: Bearer {utils.TOKEN}\r\n\r\n".encode()
                + body
            )
            answer = await asyncio.wait_for(reader.read(), 20)
            writer.close()
        head, _, rest = answer.partition(b"\r\n\r\n")
        self.assertNotIn(b"chunked", head)
        prompt = utils.chat_prompt("check the amendment")
        self.assertEqual(event_texts(rest)[0], utils.reference_text(prompt, 8))

    async def test_disconnect_frees_the_request(self):
        async with RouterServer(
            rate=SLOW_LAYER_POSITIONS_PER_SECOND, in_flight=1
        ) as server:
            for stream in (True, False):
                with self.subTest(stream=stream):
                    body = chat_body(max_tokens=2000, stream=stream)
                    _, running = await server.open(body)
                    await server.wait_until(
                        lambda: (
                            server.router.chat.in_flight
                            and server.router.admission.in_flight
                        )
                    )
                    _, waiting = await server.open(body)
                    await server.wait_until(
                        lambda: server.router.admission.waiting
                    )
                    waiting.close()
                    await server.wait_until(
                        lambda: not server.router.admission.waiting
                    )
                    self.assertEqual(server.router.admission.in_flight, 1)
                    running.close()
                    await server.wait_until(
                        lambda: (
                            not server.router.admission.in_flight
                            and not server.router.chat.in_flight
                        )
                    )
            self.assertEqual(server.router.drain.in_flight, 0)

    async def test_overload_and_deadline(self):
        async with RouterServer(
            rate=SLOW_LAYER_POSITIONS_PER_SECOND, in_flight=1, queue=1
        ) as server:
            body = chat_body(max_tokens=2000)
            _, running = await server.open(body)
            await server.wait_until(lambda: server.router.admission.in_flight)
            status, headers, answer = await server.call(
                body, X_Request_Timeout="0.2"
            )
            error = json.loads(answer)["error"]
            self.assertEqual((status, error["ran"]), (503, "not_run"))
            self.assertEqual(error["kind"], "deadline_not_reachable")
            _, waiting = await server.open(body)
            await server.wait_until(lambda: server.router.admission.waiting)
            status, headers, answer = await server.call(body)
            self.assertEqual(json.loads(answer)["error"]["kind"], "overloaded")
            self.assertGreaterEqual(int(headers["retry-after"]), 1)
            for writer in (running, waiting):
                writer.close()

    async def test_draining_router(self):
        async with RouterServer(
            rate=SLOW_LAYER_POSITIONS_PER_SECOND, in_flight=1
        ) as server:
            _, running = await server.open(chat_body(max_tokens=2000))
            await server.wait_until(lambda: server.router.admission.in_flight)
            waiting = asyncio.ensure_future(
                server.call(chat_body(max_tokens=1))
            )
            await server.wait_until(lambda: server.router.admission.waiting)
            server.router.begin_drain()
            status, headers, body = await server.call(chat_body())
            error = json.loads(body)["error"]
            self.assertEqual((status, error["kind"]), (503, "draining"))
            self.assertEqual(error["ran"], "not_run")
            self.assertEqual(headers["retry-after"], "1")
            status, _, _ = await server.call(b"", path="/health/ready")
            self.assertNotEqual(status, 200)
            self.assertFalse(waiting.done())
            running.close()
            status, _, body = await waiting
            self.assertEqual(status, 200)
            self.assertIn(b'"finish_reason"', body)


if __name__ == "__main__":
    unittest.main()
