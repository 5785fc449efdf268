"""The memory that a peer's message takes while it is decoded."""

import tracemalloc
import unittest

from nutmeglift import errors
from nutmeglift_gateway import peer_messages

MAX_PEAK_BYTES = 32 * 1024 * 1024


class MessageMemoryTest(unittest.TestCase):
    def test_a_message_of_empty_lists_does_not_fill_the_memory(self):
        count = peer_messages.MAX_MESSAGE_BYTES - 5
        raw = b"\x9a" + count.to_bytes(4, "big") + b"\x80" * count
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with self.assertRaises(errors.MalformedMessageError):
            peer_messages.decode(raw)
        _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak, MAX_PEAK_BYTES)


if __name__ == "__main__":
    unittest.main()
