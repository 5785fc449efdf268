"""Tests of the HTTP responses to at-most-once calls."""

import json
import unittest
from unittest import mock

from nutmeglift import backend
from nutmeglift import errors
from nutmeglift import plain_messages
from nutmeglift import states
from nutmeglift_agent import plain_call_executor
from nutmeglift_fakes import plain_service
from nutmeglift_router import error_responses
from nutmeglift_router import http_app
from tests import utils
from tests import virtual_time


class Response:
    """An HTTP response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = {name.decode(): v.decode() for name, v in headers}
        self.body = body

    @property
    def error(self):
        return json.loads(self.body)["error"]


async def post(app, key=None, body=b"{}", path="/releases", method="POST"):
    """Sends one request to the ASGI application and returns the response."""
    headers = [(b"authorization", f"Bearer {utils.TOKEN}".encode())]
    if key is not None:
        headers.append((b"idempotency-key", key.encode()))
    scope = {
        "type": "http",
        "method": method,
        "path": f"/services/{utils.SERVICE}{path}",
        "query_string": b"",
        "headers": headers,
        "client": ("127.0.0.1", 1),
        "server": ("127.0.0.1", 2),
        "scheme": "http",
        "root_path": "",
    }
    sent = []

    async def receive():
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message):
        sent.append(message)

    await app(scope, receive, send)
    start = sent[0]
    content = b"".join(m.get("body", b"") for m in sent[1:])
    return Response(start["status"], start["headers"], content)


class PlainEndpointTest(unittest.TestCase):
    def _run(self, test):
        async def work():
            cluster = utils.Cluster()
            await cluster.start(runners=0, routers=2)
            apps = [
                http_app.HttpApp(process.router).app
                for process in cluster.router_by_vm.values()
            ]
            try:
                await test(cluster, *apps)
            finally:
                await cluster.stop()

        virtual_time.run(work())

    def test_repeat_returns_the_recorded_response_marked_as_replayed(self):
        async def test(cluster, app, other_app):
            first = await post(app, "key")
            repeat = await post(other_app, "key")
            self.assertEqual((first.status, repeat.status), (200, 200))
            self.assertEqual(first.body, repeat.body)
            header = error_responses.REPLAYED_HEADER.lower()
            self.assertNotIn(header, first.headers)
            self.assertEqual(repeat.headers[header], "true")

        self._run(test)

    def test_errors_state_whether_the_call_ran(self):
        async def test(cluster, app, other_app):
            await post(app, "used")
            cluster.services[0].drop_after_execution = 1
            await post(app, "dropped")
            cases = {
                "no key": (None, b"{}", 400, "idempotency_key_missing"),
                "reused": ("used", b"x", 422, "idempotency_key_reused"),
                "dropped": ("dropped", b"{}", 502, "outcome_unknown"),
            }
            for name, (key, body, status, kind) in cases.items():
                with self.subTest(name):
                    response = await post(other_app, key, body)
                    self.assertEqual(response.status, status)
                    self.assertEqual(response.error["kind"], kind)
                    ran = errors.ANSWER_BY_KIND[errors.ErrorKind(kind)].ran
                    self.assertEqual(response.error["ran"], ran.value)
                    replayed = error_responses.REPLAYED_HEADER.lower()
                    self.assertEqual(
                        replayed in response.headers, name == "dropped"
                    )
            cluster.store.set_down(True)
            down = await post(app, "later")
            self.assertEqual((down.status, down.error["ran"]), (503, "not_run"))
            self.assertIn("retry-after", down.headers)

        self._run(test)

    def test_a_status_that_http_does_not_have_is_no_answer(self):
        # 000 of a backend server reached the caller as its status.
        async def respond(service, request, timeout):
            return backend.PlainResponse(0, (), b"spoiled")

        async def execute(executor, call):
            return plain_messages.PlainOutcome(
                call.request, call.attempt, states.Ran.RAN, 600, (), b"spoiled"
            )

        async def test(cluster, app, other_app):
            cases = {
                "of the server": (plain_service.ToyPlainService, "call"),
                "of an earlier agent": (
                    plain_call_executor.PlainCallExecutor,
                    "_execute",
                ),
            }
            for name, (owner, method) in cases.items():
                with self.subTest(name):
                    work = respond if method == "call" else execute
                    with mock.patch.object(owner, method, work):
                        calls = [
                            await post(app, name),
                            await post(app, method="GET", path="/releases/7"),
                        ]
                    # The recorded outcome is replayed by another router.
                    calls.append(await post(other_app, name))
                    for response in calls:
                        self.assertEqual(response.status, 502)
                        self.assertEqual(response.error["ran"], "unknown")

        self._run(test)

    def test_undeclared_calls_are_refused(self):
        async def test(cluster, app, other_app):
            response = await post(app, "key", method="DELETE")
            self.assertEqual(response.error["kind"], "unknown_route")
            self.assertEqual(cluster.executions(), 0)

        self._run(test)


if __name__ == "__main__":
    unittest.main()
