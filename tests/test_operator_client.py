"""Tests of the operator commands over real sockets."""

import asyncio
import contextlib
import io
import json
import os
import pathlib
import sys
import tempfile
import threading
import time
import unittest
from unittest import mock

from nutmeglift import auth
from nutmeglift import errors
from nutmeglift_fakes import deployment
from nutmeglift_fakes import kv_server
from nutmeglift_router import cli
from nutmeglift_router import http_app
from nutmeglift_router import operator_client
from nutmeglift_wire import http_server
from tests import utils

TOKEN = "operator-token"
DECLARATION = """
operators:
  - id: ana
    token_sha256: [{token}]
client_accounts:
{accounts}
"""


class Platform:
    """Runs a key-value service and one router in a background thread."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()
        self.cluster = None

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(
            20
        )

    def start(self):
        self.run(self._start())

    def stop(self):
        self.run(self._stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _start(self):
        self.cluster = utils.Cluster()
        self._kv = http_server.HttpServer(
            kv_server.KvServer(self.cluster.store).app
        )
        self.key_value = await self._kv.start(deployment.ANY_PORT)
        self.cluster.add_router("entry-1")
        self._http = http_server.HttpServer(
            http_app.HttpApp(self.cluster.router).app
        )
        self.router = await self._http.start(deployment.ANY_PORT)

    async def _stop(self):
        await self._http.stop()
        await self.cluster.stop()
        self.cluster.store.set_down(True)
        await self._kv.stop()


def run(*arguments):
    """Runs a command and returns its exit code, output and error output."""
    out, err = io.StringIO(), io.StringIO()
    code = 0
    with (
        mock.patch.object(sys, "argv", ["nutmeglift", *arguments]),
        mock.patch.dict(os.environ, {"NUTMEGLIFT_TOKEN": TOKEN}),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            cli.main()
        except SystemExit as error:
            code = error.code or 0
    return code, out.getvalue(), err.getvalue()


class CommandTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.platform = Platform()
        cls.platform.start()
        cls.addClassCleanup(cls.platform.stop)

    def _write(self, directory, accounts):
        lines = "\n".join(f"  - id: bank-{n}" for n in range(accounts))
        text = DECLARATION.format(token=auth.hash_token(TOKEN), accounts=lines)
        pathlib.Path(directory, "all.yaml").write_text(text)

    def test_operator_workflow(self):
        """Runs the commands in their usual order against one deployment."""
        service = f"--key-value={self.platform.key_value}"
        router = f"--router={self.platform.router}"
        with tempfile.TemporaryDirectory() as directory:
            self._write(directory, 1)
            code, out, _ = run("apply", directory, service)
            self.assertEqual(code, 0)
            self.assertIn("generation 1 accepted", out)
            digest = out.split()[-1]
            self.assertIn(digest, run("check", directory)[1])

            self._write(directory, 2)
            code, out, _ = run("apply", directory, service, "--dry-run")
            self.assertEqual(code, 0)
            self.assertIn("+ client_accounts bank-1", out)

            stale = "--expect-generation=7"
            code, _, err = run("apply", directory, service, stale)
            self.assertEqual(code, 3)
            self.assertIn("generation 1", err)

            self._wait_until_in_force(1)
            code, out, err = run(
                "apply", directory, service, router, "--wait=10"
            )
            self.assertEqual((code, err), (0, ""))
            self.assertIn("generation 2 accepted", out)
            self.assertIn("acknowledged", out)

            code, out, _ = run("rollback", service, "--to-generation=1")
            self.assertEqual(code, 0)
            self.assertIn(f"generation 3 accepted, digest {digest}", out)
            self._wait_until_in_force(3)

        code, out, _ = run("history", service)
        self.assertEqual(code, 0)
        self.assertIn("2 ", out)
        self.assertIn(" ana (after 1", out)
        self.assertIn("- client_accounts bank-1", out)

        code, out, _ = run("status", router, "--json")
        self.assertEqual(code, 0)
        (status,) = json.loads(out)
        self.assertEqual(status["head"]["generation"], 3)
        code, out, _ = run("status", router)
        self.assertEqual(code, 0)
        self.assertIn("router entry-1: generation 3", out)
        self.assertIn("0 queued", out)

        code, out, err = run("drain", "nobody", router)
        self.assertEqual(code, 1)
        self.assertIn("no connection to nobody", err)
        for text in (out, err):
            self.assertNotIn(TOKEN, text)

    def _wait_until_in_force(self, generation):
        configuration = self.platform.cluster.router.configuration
        ends_at = time.monotonic() + 10
        while configuration.generation < generation:
            self.assertLess(time.monotonic(), ends_at)
            time.sleep(0.02)

    def test_unreachable_server_exits_with_code_4(self):
        unreachable = "127.0.0.1:1"
        for arguments in (
            ("status", f"--router={unreachable}"),
            ("history", f"--key-value={unreachable}"),
            ("drain", "entry-1", f"--router={unreachable}"),
            ("rollback", f"--key-value={unreachable}", "--to-generation=1"),
        ):
            with self.subTest(arguments[0]):
                self.assertEqual(run(*arguments)[0], 4)

    def test_wait_requires_a_router(self):
        with tempfile.TemporaryDirectory() as directory:
            self._write(directory, 1)
            code, _, err = run(
                "apply", directory, "--key-value=127.0.0.1:1", "--wait=1"
            )
        self.assertEqual(code, 2)
        self.assertIn("--router", err)


class TokenTest(unittest.TestCase):
    def test_token_file_takes_precedence_over_the_environment(self):
        with (
            tempfile.TemporaryDirectory() as directory,
            mock.patch.dict(os.environ, {"NUTMEGLIFT_TOKEN": "one"}),
        ):
            path = pathlib.Path(directory, "token")
            path.write_text("two\n")
            self.assertEqual(operator_client.read_token(None), "one")
            self.assertEqual(operator_client.read_token(str(path)), "two")
            with self.assertRaises(errors.UsageError):
                operator_client.read_token(str(path) + "x")

    def test_repr_omits_the_token(self):
        routers = operator_client.RouterAccess(("a:1",), "secret")
        self.assertNotIn("secret", repr(routers))


if __name__ == "__main__":
    unittest.main()
