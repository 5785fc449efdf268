"""Tests of the scenario files and the scenario language."""

import pathlib
import unittest

from tests import scenario
from tests import scenario_steps

DIRECTORY = pathlib.Path(__file__).parent / "scenarios"


class ScenarioFilesTest(unittest.TestCase):
    def test_every_scenario_passes(self):
        for path in sorted(DIRECTORY.glob("*.yaml")):
            with self.subTest(path.stem):
                scenario.run(scenario_steps.load(path))


class LanguageTest(unittest.TestCase):
    INVALID = {
        "unknown step": ("- kil: x", "step 1: unknown step 'kil'"),
        "unknown key": ("- wait: {second: 1}", "step 1 (wait): second"),
        "two steps": ("- {kill: a, wait: 1}", "step 1: must be one step"),
        "no mapping": ("- call: draft", "step 1 (call): must be a mapping"),
        "missing key": ("- kill: {}", "step 1 (kill): vm: Field required"),
        "wrong type": ("- wait: soon", "step 1 (wait): seconds"),
    }
    FAILING = {
        "unknown VM": ("- kill: runner-99", "no VM is named 'runner-99'"),
        "unknown call": ("- abandon: x", "no call is named 'x'"),
        "wrong count": ("- expect: {executions: 1}", "executions is 0, not 1"),
        "no error": (
            "- call: {name: a}\n  - wait: {call: a}\n"
            "  - expect: {call: a, outcome: error}",
            "step 3 (expect): a: outcome is 'answer', not 'error'",
        ),
        "too few tokens": (
            "- call: {name: a, max_tokens: 4}\n"
            "  - wait: {call: a}\n  - expect: {call: a, within: 0.001}",
            "a: seconds is",
        ),
    }

    def test_error_for_an_invalid_file_names_step_and_key(self):
        for name, (step, message) in self.INVALID.items():
            with self.subTest(name):
                with self.assertRaises(scenario_steps.ScenarioError) as caught:
                    scenario_steps.parse(f"name: x\nsteps:\n  {step}", "f.yaml")
                self.assertIn(f"f.yaml: {message}", str(caught.exception))

    def test_failed_expectation_is_reported(self):
        for name, (step, message) in self.FAILING.items():
            with self.subTest(name):
                parsed = scenario_steps.parse(
                    f"name: x\nsteps:\n  {step}", "f.yaml"
                )
                with self.assertRaises(scenario_steps.ScenarioError) as caught:
                    scenario.run(parsed)
                self.assertIn(message, str(caught.exception))


if __name__ == "__main__":
    unittest.main()
