import contextlib
import io
import pathlib
import socket
import tempfile
import unittest
from unittest import mock

from nutmeglift_gateway import cli
from nutmeglift_gateway import stop_signal
from nutmeglift_platform import command as platform_command
from tests.gateway import test_settings


def run(*arguments, path=""):
    """Runs a command; returns its exit code, stdout and stderr."""
    out, err = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
        mock.patch("sys.argv", ["router", *arguments]),
    ):
        try:
            cli.main(
                platform_command.make_run({}, stop_signal.StopSignal()),
                path,
                platform_command.open_store,
                platform_command.configuration_format,
            )
        except SystemExit as error:
            return error.code or 0, out.getvalue(), err.getvalue()
    return 0, out.getvalue(), err.getvalue()


class CliTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "router.yaml"
        self.path.write_text(test_settings.GOOD, encoding="utf-8")

    def test_valid_settings(self):
        code, out, _ = run("check", str(self.path))
        self.assertEqual((code, out), (0, "front-1: the settings are valid\n"))

    def test_the_platforms_path_is_the_default(self):
        code, out, _ = run("check", path=str(self.path))
        self.assertEqual(code, 0)
        self.assertIn("front-1", out)

    def test_invalid_settings_print_one_line_and_exit_with_2(self):
        self.path.write_text("vm: x", encoding="utf-8")
        for command in ("check", "serve"):
            with self.subTest(command):
                code, _, err = run(command, str(self.path))
                self.assertEqual(code, 2)
                self.assertEqual(len(err.strip().splitlines()), 1)
                self.assertIn(str(self.path), err)

    def test_an_address_in_use_prints_one_line_and_exits_with_1(self):
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            text = test_settings.GOOD.replace("10.0.0.1:80", address)
            self.path.write_text(text, encoding="utf-8")
            with mock.patch("nutmeglift_gateway.decision_log.set_up"):
                code, _, err = run("serve", str(self.path))
        self.assertEqual(code, 1)
        self.assertEqual(len(err.strip().splitlines()), 1, err)
        self.assertNotIn("Traceback", err)


if __name__ == "__main__":
    unittest.main()
