"""What a router's process does before the rest of it is loaded."""

import os
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
        for number in (signal.SIGHUP, signal.SIGTERM):
            self.addCleanup(signal.signal, number, signal.getsignal(number))

    def run_command(self, arguments, variables):
        """Runs the program up to its command.

        Returns:
            The open addresses, and the signal that ends a router.
        """
        signal.signal(signal.SIGHUP, signal.SIG_DFL)
        signal.signal(signal.SIGTERM, signal.SIG_DFL)
        with (
            mock.patch.object(sys, "argv", ["nutmeglift_platform", *arguments]),
            mock.patch.dict("os.environ", variables),
            mock.patch.object(command, "main") as main,
        ):
            runpy.run_module("nutmeglift_platform", run_name="__main__")
        _, opened, stop = main.call_args.args
        for listener in opened.values():
            listener.close()
        return list(opened), stop

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
                opened, _ = self.run_command(arguments, given)
                self.assertEqual(self.address in opened, is_router)
                ignored = signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
                self.assertEqual(ignored, is_router)

    def test_a_sigterm_is_received_while_a_router_is_loaded(self):
        # The signal was held back, and counted from the end of the loading.
        variables = {environment.SETTINGS_VARIABLE: self.path}
        _, stop = self.run_command(["check"], variables)
        self.assertIs(signal.getsignal(signal.SIGTERM), signal.SIG_DFL)
        _, stop = self.run_command(["serve"], variables)
        self.assertEqual(stop.age(), 0.0)
        os.kill(os.getpid(), signal.SIGTERM)
        self.assertGreater(stop.age(), 0.0)
        received = []
        stop.watch(lambda: received.append(True))
        self.assertEqual(received, [True])


if __name__ == "__main__":
    unittest.main()
