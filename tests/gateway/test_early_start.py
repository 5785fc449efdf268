"""What a router's process does before the rest of it is loaded."""

import pathlib
import runpy
import signal
import sys
import tempfile
import unittest
from unittest import mock

from nutmeglift_platform import command
from nutmeglift_platform import environment
from tests.gateway import test_settings
from tests.gateway import test_whole_gateway


class EarlyStartTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = str(pathlib.Path(folder.name) / "router.yaml")
        self.address = f"127.0.0.1:{test_whole_gateway.free_port()}"
        text = test_settings.GOOD.replace("10.0.0.1:80", self.address, 1)
        pathlib.Path(self.path).write_text(text, encoding="utf-8")
        self.addCleanup(
            signal.signal, signal.SIGHUP, signal.getsignal(signal.SIGHUP)
        )

    def run_command(self, arguments, variables):
        """Runs the program up to its command; returns the open addresses."""
        signal.signal(signal.SIGHUP, signal.SIG_DFL)
        with (
            mock.patch.object(sys, "argv", ["nutmeglift_platform", *arguments]),
            mock.patch.dict("os.environ", variables),
            mock.patch.object(command, "main") as main,
        ):
            runpy.run_module("nutmeglift_platform", run_name="__main__")
        _, opened = main.call_args.args
        for listener in opened.values():
            listener.close()
        return list(opened)

    def test_ports_open_and_sighup_is_ignored_while_a_router_is_loaded(self):
        variables = {environment.SETTINGS_VARIABLE: self.path}
        cases = [
            # arguments, variables, whether a router is started
            (["serve"], variables, True),
            (["serve", self.path], {}, True),
            (["check"], variables, False),
            (["check", self.path], {}, False),
            ([], variables, False),
        ]
        for arguments, given, is_router in cases:
            with self.subTest(arguments=arguments, variables=given):
                opened = self.run_command(arguments, given)
                self.assertEqual(self.address in opened, is_router)
                ignored = signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
                self.assertEqual(ignored, is_router)


if __name__ == "__main__":
    unittest.main()
