"""Runs all tests and ends with a line that counts them."""

import logging
import pathlib
import sys
import unittest

import hypothesis


def main() -> int:
    """Runs the tests; returns the exit code."""
    hypothesis.settings.register_profile(
        "repeatable", derandomize=True, deadline=None, database=None
    )
    hypothesis.settings.load_profile("repeatable")
    logging.disable(logging.CRITICAL)
    root = pathlib.Path(__file__).parent
    loader = unittest.TestLoader()
    suite = loader.discover(
        str(root), pattern="test_*.py", top_level_dir=str(root.parent)
    )
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = len(result.failures) + len(result.errors)
    failed += len(result.unexpectedSuccesses)
    skipped = len(result.skipped)
    passed = result.testsRun - failed - skipped
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
