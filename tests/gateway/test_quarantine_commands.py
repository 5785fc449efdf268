"""What operators can do about quarantines."""

import asyncio
import contextlib
import io
import unittest

from nutmeglift import kv
from nutmeglift_gateway import poison_rows
from nutmeglift_gateway import quarantine
from nutmeglift_gateway import quarantine_commands
from nutmeglift_gateway import quarantine_controller


class QuarantineCommandsTest(unittest.TestCase):
    def setUp(self):
        self.memory = kv.MemoryKv()
        self.commands = quarantine_commands.QuarantineCommands(
            lambda path: None, lambda config: self.memory
        )

    def run_command(self, command, *arguments):
        """Returns the exit code, stdout and stderr of a command."""
        out, err = io.StringIO(), io.StringIO()
        code = 0
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                command(*arguments)
            except SystemExit as error:
                code = error.code
        return code, out.getvalue(), err.getvalue()

    def stored(self, *segments):
        key = quarantine_controller.entry_key(segments)
        row = asyncio.run(self.memory.get(key))
        return poison_rows.decode_entry(row.value) if row else None

    def test_impose_list_and_lift(self):
        code, out, _ = self.run_command(self.commands.impose, "91E07,bad")
        self.assertEqual((code, out), (0, "91e07,bad: active, version 1\n"))
        entry = self.stored("91e07", "bad")
        self.assertIs(entry.cause, quarantine.Cause.OPERATOR)
        code, out, _ = self.run_command(self.commands.list)
        self.assertEqual(code, 0)
        self.assertIn("91e07,bad active operator 1 0 -", out)
        code, out, _ = self.run_command(self.commands.lift, "bad,91e07")
        self.assertEqual((code, out), (0, "91e07,bad: lifted, version 2\n"))
        self.assertIs(
            self.stored("91e07", "bad").state, quarantine.State.LIFTED
        )

    def test_errors_have_their_own_exit_codes(self):
        cases = [
            (self.commands.lift, "unknown", False, 2, "not in quarantine"),
            (self.commands.impose, "a,,b", False, 2, "malformed"),
            (self.commands.impose, "a", True, 4, "not reachable"),
        ]
        for command, argument, down, code, text in cases:
            with self.subTest(argument):
                self.memory.set_down(down)
                found, _, err = self.run_command(command, argument)
                self.assertEqual(found, code)
                self.assertIn(text, err)
                self.assertEqual(len(err.strip().splitlines()), 1)


if __name__ == "__main__":
    unittest.main()
