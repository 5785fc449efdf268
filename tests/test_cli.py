"""Tests of the command line.

Each problem is reported in one line, and nothing is done.
"""

import contextlib
import io
import pathlib
import sys
import tempfile
import unittest
from unittest import mock

from nutmeglift_agent import cli as agent_cli
from nutmeglift_router import cli as router_cli

ROUTER_SETTINGS = """\
vm: entry-1
listen: 127.0.0.1:7000
http: 127.0.0.1:8080
failure_domain: luzon-1
platform: {key_value: "127.0.0.1:2379", vm_list: "127.0.0.1:2380"}
shared_key: a-key-of-the-tests-only
"""

DECLARATION = """\
models:
  - {id: drafts, layers: 4, versions: [{id: v1, adapters: [a1]}]}
routes:
  - {id: letters, model: drafts, version: v1}
client_accounts:
  - {id: bank-a}
services:
  - id: core
    calls: [{method: POST, path: /releases, idempotent: false}]
backend_classes:
  - {id: large}
"""

# name: (text replaced, replacement, words that the line must contain)
BAD_SETTINGS = {
    "unknown key": (
        "vm: entry-1",
        "vm: entry-1\nfailure_domian: luzon-1",
        ("failure_domian", "known:", "failure_domain,"),
    ),
    "unknown key of a section": (
        "vm: entry-1",
        "vm: entry-1\nbounds: {heartbeat: 1}",
        ("bounds.heartbeat", "known:", "heartbeat_seconds,"),
    ),
    "missing key": ("vm: entry-1\n", "", ("vm",)),
    "host name": ("127.0.0.1:7000", "localhost:7000", ("listen",)),
    "port": ("127.0.0.1:8080", "127.0.0.1:808080", ("http", "65535")),
    "short key": ("a-key-of-the-tests-only", "short", ("shared_key", "16")),
    "no YAML": ("vm: entry-1", "vm: [entry-1", ("line",)),
    "negative bound": (
        "vm: entry-1",
        "vm: entry-1\nbounds: {heartbeat_seconds: -1}",
        ("bounds.heartbeat_seconds", "greater than 0"),
    ),
    "no number": (
        "vm: entry-1",
        "vm: entry-1\nbounds: {in_flight: many}",
        ("bounds.in_flight", "integer"),
    ),
    "no platform": (
        'platform: {key_value: "127.0.0.1:2379", vm_list: "127.0.0.1:2380"}',
        "platform: none",
        ("platform",),
    ),
    "no mapping": (ROUTER_SETTINGS, "[1, 2]", ("file",)),
}

BAD_DECLARATIONS = {
    "unknown section": ("models:", "modules:", (":1:", "modules")),
    "unknown key": (
        "layers: 4",
        "layers: 4, colour: red",
        (":2:", "models.0.colour", "known:", "layer_bytes,"),
    ),
    "no model": ("model: drafts", "model: draft", (":4:", "draft")),
    "no version": ("version: v1}", "version: v2}", (":4:", "v2")),
    "no adapter": (
        "version: v1}",
        "version: v1, adapter: a2}",
        (":4:", "a2"),
    ),
    "twice": (
        "  - {id: bank-a}",
        "  - {id: bank-a}\n  - {id: bank-a}",
        (":7:", "bank-a"),
    ),
    "a section twice": (
        "client_accounts:",
        "routes: []\nclient_accounts:",
        ("duplicate key 'routes'",),
    ),
    "a key twice": (
        "{id: bank-a}",
        "{id: bank-a, id: bank-b}",
        (":6:", "duplicate key 'id'"),
    ),
    "priority": (
        "{id: bank-a}",
        "{id: bank-a, priority: 12}",
        (":6:", "priority", "9"),
    ),
    "method": ("method: POST", "method: SEND", (":8:", "method")),
    "no service": (
        "{id: large}",
        "{id: large, service: register}",
        (":11:", "register"),
    ),
    "unknown route of an account": (
        "{id: bank-a}",
        "{id: bank-a, routes: [letter]}",
        (":6:", "letter"),
    ),
    "no YAML": ("layers: 4", "layers: [4", ("line",)),
    "no list": (
        "  - {id: large}",
        "  {id: large}",
        (":10:", "backend_classes"),
    ),
}


def run(main, *arguments):
    """Runs a command; returns its exit code, standard output and error."""
    out, err = io.StringIO(), io.StringIO()
    code = 0
    with (
        mock.patch.object(sys, "argv", ["command", *arguments]),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            main()
        except SystemExit as end:
            code = int(end.code or 0)
    return code, out.getvalue(), err.getvalue()


class FileTest(unittest.TestCase):
    def setUp(self):
        self._directory = tempfile.TemporaryDirectory()
        self.addCleanup(self._directory.cleanup)
        self.directory = pathlib.Path(self._directory.name)
        self.path = self.directory / "set.yaml"

    def assert_one_line(self, text, *words):
        lines = text.strip().splitlines()
        self.assertEqual(len(lines), 1, text)
        self.assertIn(str(self.path), lines[0])
        for word in words:
            self.assertIn(word, lines[0])


class SettingsTest(FileTest):
    def test_bad_settings_give_one_line_and_exit_code_2(self):
        for name, (old, new, words) in BAD_SETTINGS.items():
            with self.subTest(name):
                self.assertIn(old, ROUTER_SETTINGS)
                text = ROUTER_SETTINGS.replace(old, new, 1)
                self.path.write_text(text, encoding="utf-8")
                code, _, err = run(router_cli.main, "serve", str(self.path))
                self.assertEqual(code, 2)
                self.assert_one_line(err, *words)

    def test_missing_file_is_named(self):
        for main in (router_cli.main, agent_cli.main):
            code, _, err = run(main, "serve", str(self.path))
            self.assertEqual(code, 2)
            self.assert_one_line(err, "No such file")


class DeclarationTest(FileTest):
    def test_bad_declarations_give_file_and_line_and_exit_code_2(self):
        for name, (old, new, words) in BAD_DECLARATIONS.items():
            with self.subTest(name):
                self.assertIn(old, DECLARATION)
                text = DECLARATION.replace(old, new, 1)
                self.path.write_text(text, encoding="utf-8")
                code, _, err = run(
                    router_cli.main, "check", str(self.directory)
                )
                self.assertEqual(code, 2)
                lines = err.strip().splitlines()
                self.assertIn(str(self.path), lines[0])
                for word in words:
                    self.assertIn(word, lines[0])
                self.assertNotIn("Traceback", err)

    def test_all_problems_are_reported_together(self):
        text = DECLARATION.replace("model: drafts", "model: draft")
        text = text.replace("{id: large}", "{id: large, service: register}")
        self.path.write_text(text, encoding="utf-8")
        code, _, err = run(router_cli.main, "check", str(self.directory))
        self.assertEqual(code, 2)
        self.assertEqual(len(err.strip().splitlines()), 2, err)

    def test_correct_declaration_passes(self):
        self.path.write_text(DECLARATION, encoding="utf-8")
        code, out, err = run(router_cli.main, "check", str(self.directory))
        self.assertEqual((code, err), (0, ""))
        self.assertIn("correct", out)

    def test_bad_declaration_is_not_applied(self):
        self.path.write_text("modules: []\n", encoding="utf-8")
        with mock.patch("nutmeglift_wire.etcd_kv.EtcdKv") as client:
            code, _, _ = run(
                router_cli.main,
                "apply",
                str(self.directory),
                "--key-value=127.0.0.1:1",
            )
        self.assertEqual(code, 2)
        client.assert_not_called()


class UsageTest(unittest.TestCase):
    def test_version_and_help(self):
        for main in (router_cli.main, agent_cli.main):
            with self.subTest(main.__module__):
                code, out, _ = run(main, "--version")
                self.assertEqual(code, 0)
                self.assertRegex(out, r"^nutmeglift\S* \d+\.\d+\.\d+$")
                code, out, err = run(main, "--help")
                self.assertEqual(code, 0)
                self.assertIn("serve", out + err)

    def test_wrong_usage_gives_exit_code_2(self):
        for arguments in (
            ("serve",),
            ("launch",),
            ("check",),
            ("check", "a", "--colour=red"),
        ):
            with self.subTest(arguments):
                code, _, err = run(router_cli.main, *arguments)
                self.assertEqual(code, 2)
                self.assertNotIn("Traceback", err)

    def test_unreachable_platform_gives_exit_code_4(self):
        code, _, err = run(
            router_cli.main, "history", "--key-value=127.0.0.1:9"
        )
        self.assertEqual(code, 4, err)
        self.assertEqual(len(err.strip().splitlines()), 1, err)


if __name__ == "__main__":
    unittest.main()
