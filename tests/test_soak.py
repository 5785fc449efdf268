"""A short run of the fault soak test; longer ones are run manually."""

import asyncio
import unittest

from tests.soak import play

SEED = 1
SECONDS = 5.0


class SoakTest(unittest.TestCase):
    def test_guarantees_hold_under_faults(self):
        result = asyncio.run(play.play(SEED, SECONDS))
        self.assertEqual(result.problems, [])
        self.assertGreater(result.served, result.sent * play.MIN_SERVED_SHARE)


if __name__ == "__main__":
    unittest.main()
