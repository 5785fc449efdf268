"""Tests of a router's HTTP interface for operators."""

import asyncio
import json
import logging
import unittest

from nutmeglift import auth
from nutmeglift import ids
from nutmeglift import states
from nutmeglift_router import blackboard_entries
from nutmeglift_router import http_app
from tests import utils
from tests import virtual_time

TOKEN = "operator-token"


async def call(app, method, path, token=TOKEN, body=None, client="10.7.0.1"):
    """Sends one request; returns status, headers and decoded JSON body."""
    sent = []
    content = json.dumps(body).encode() if body is not None else b""
    requests = [{"type": "http.request", "body": content, "more_body": False}]

    async def receive():
        return requests.pop()

    async def send(message):
        sent.append(message)

    headers = [(b"authorization", f"Bearer {token}".encode())]
    scope = {
        "type": "http",
        "http_version": "1.1",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "root_path": "",
        "scheme": "http",
        "headers": headers if token is not None else [],
        "client": (client, 1),
        "server": ("10.1.0.1", 80),
    }
    await app(scope, receive, send)
    found = {k.decode(): v.decode() for k, v in sent[0]["headers"]}
    answer = b"".join(m.get("body", b"") for m in sent[1:])
    return sent[0]["status"], found, json.loads(answer)


def make_distinct_declaration():
    """Returns a declaration with different tokens for operator and account."""
    account = utils.make_account("bank-a")
    operator = utils.make_declaration().operators[0]
    return utils.make_declaration(
        client_accounts=(account,),
        operators=(
            operator.model_copy(
                update={"token_sha256": (auth.hash_token(TOKEN),)}
            ),
        ),
    )


class AdminEndpointTest(unittest.TestCase):
    def _run(self, scenario, routers=2):
        async def run():
            cluster = utils.Cluster(make_distinct_declaration())
            await cluster.start(runners=3, routers=routers)
            app = http_app.HttpApp(cluster.router).app
            try:
                return await scenario(cluster, app)
            finally:
                await cluster.stop()

        return virtual_time.run(run())

    def test_requests_without_an_operator_token_are_refused(self):
        async def scenario(cluster, app):
            return [
                (await call(app, method, path, token, body={}))[0]
                for method, path in (
                    ("GET", "/admin/v1/status"),
                    ("POST", "/admin/v1/drain"),
                )
                for token in (None, "", "guess", utils.TOKEN)
            ]

        self.assertEqual(set(self._run(scenario)), {401})

    def test_status_shows_every_process_and_no_secret(self):
        async def scenario(cluster, app):
            await cluster.release("key-1")
            status, _, body = await call(app, "GET", "/admin/v1/status")
            leader = cluster.router.board.read(blackboard_entries.LEADER)
            return status, body, leader

        status, body, leader = self._run(scenario)
        self.assertEqual(status, 200)
        self.assertEqual(body["operator"], "ana")
        self.assertEqual(body["head"]["generation"], 1)
        self.assertTrue(body["fresh"])
        self.assertEqual(body["leader"], leader.vm)
        process_by_vm = {p["vm"]: p for p in body["processes"]}
        self.assertEqual(
            set(process_by_vm),
            {f"entry-{n}" for n in (1, 2)}
            | {f"runner-{n}" for n in (1, 2, 3)}
            | {"core-1"},
        )
        for process in process_by_vm.values():
            self.assertEqual(process["generation"], 1, process)
            self.assertEqual(process["state"], "live")
        self.assertTrue(body["pipelines"])
        text = json.dumps(body)
        for secret in (TOKEN, utils.TOKEN):
            self.assertNotIn(secret, text)
            self.assertNotIn(auth.hash_token(secret), text)
        self.assertNotIn(utils.SHARED_KEY.get_secret_value(), text)

    def test_logs_hold_no_secret(self):
        records = []
        handler = logging.Handler()
        handler.emit = lambda record: records.append(str(vars(record)))
        root = logging.getLogger()
        level, disabled = root.level, root.manager.disable

        async def scenario(cluster, app):
            for token in (TOKEN, "wrong-token", utils.TOKEN):
                await call(app, "GET", "/admin/v1/status", token)
            body = {"vm": "runner-1"}
            await call(app, "POST", "/admin/v1/drain", body=body)
            await cluster.apply(utils.make_declaration())
            await asyncio.sleep(2.0)

        try:
            logging.disable(logging.NOTSET)
            root.setLevel(logging.DEBUG)
            root.addHandler(handler)
            self._run(scenario)
        finally:
            root.removeHandler(handler)
            root.setLevel(level)
            logging.disable(disabled)
        text = "\n".join(records)
        for line in ("configuration in force", "drain ordered"):
            self.assertIn(line, text)
        for secret in (TOKEN, utils.TOKEN, "wrong-token"):
            self.assertNotIn(secret, text)
            self.assertNotIn(auth.hash_token(secret), text)
        self.assertNotIn(utils.SHARED_KEY.get_secret_value(), text)

    def test_drained_agent_gets_no_new_work(self):
        async def scenario(cluster, app):
            vm = ids.VmId("runner-1")
            status, _, _ = await call(
                app, "POST", "/admin/v1/drain", body={"vm": vm}
            )
            await asyncio.sleep(1.0)
            found = [
                process.router.membership.member_by_vm[vm].state
                for process in cluster.router_by_vm.values()
            ]
            accepts = cluster.agent_by_vm[vm].agent.drain.accepts_work
            return status, found, accepts

        status, found, accepts = self._run(scenario)
        self.assertEqual(status, 200)
        self.assertEqual(set(found), {states.VmState.LEAVING})
        self.assertFalse(accepts)

    def test_drain_reaches_the_local_and_another_router(self):
        async def scenario(cluster, app):
            drained = []
            for vm in ("entry-2", "entry-1"):
                await call(app, "POST", "/admin/v1/drain", body={"vm": vm})
                await asyncio.sleep(1.0)
                drained.append(
                    [
                        process.router.drain.accepts_work
                        for process in cluster.router_by_vm.values()
                    ]
                )
            _, _, body = await call(app, "GET", "/admin/v1/status")
            return drained, body

        drained, body = self._run(scenario)
        self.assertEqual(drained, [[True, False], [False, False]])
        state_by_vm = {p["vm"]: p["state"] for p in body["processes"]}
        self.assertEqual(state_by_vm["entry-2"], "leaving")
        self.assertEqual(state_by_vm["entry-1"], "leaving")

    def test_invalid_drain_requests_are_refused(self):
        async def scenario(cluster, app):
            return [
                (await call(app, "POST", "/admin/v1/drain", body=body))[0]
                for body in (
                    {"vm": "nobody"},
                    {},
                    {"vm": 3},
                    {"vm": "entry-1", "x": 1},
                    {"vm": "x" * 5000},
                )
            ]

        self.assertEqual(self._run(scenario), [503, 400, 400, 400, 413])

    def test_failed_logins_are_limited_by_source(self):
        async def scenario(cluster, app):
            path = "/admin/v1/status"
            found = []
            for _ in range(auth.MAX_FAILED_LOGINS + 2):
                status, headers, body = await call(app, "GET", path, "guess")
                found.append(status)
            other, _, _ = await call(app, "GET", path, client="10.7.0.2")
            same, _, _ = await call(app, "GET", path)
            await asyncio.sleep(auth.FAILED_LOGIN_WINDOW_SECONDS + 1)
            later, _, _ = await call(app, "GET", path)
            return found, headers, body, other, same, later

        found, headers, body, other, same, later = self._run(scenario)
        self.assertEqual(found, [401] * auth.MAX_FAILED_LOGINS + [429, 429])
        self.assertEqual(body["error"]["kind"], "too_many_logins")
        self.assertEqual(body["error"]["ran"], "not_run")
        self.assertGreater(int(headers["retry-after"]), 0)
        self.assertEqual((other, same, later), (200, 429, 200))


if __name__ == "__main__":
    unittest.main()
