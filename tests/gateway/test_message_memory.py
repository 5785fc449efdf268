"""The memory that a peer's message takes while it is decoded."""

import tracemalloc
import unittest
from unittest import mock

import cbor2

from nutmeglift import errors
from nutmeglift_gateway import cbor_items
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

    def test_which_large_messages_are_decoded(self):
        row = peer_messages.EntryRow("servers/a", b"x" * 300, 5)
        value = peer_messages.EntryRow("op/config", b"\x80" * 3_000_000, 5)
        cases = [
            ("servers", peer_messages.ServersCopy(0.1, [row] * 12_000)),
            ("configuration", peer_messages.CatalogCopy(value)),
        ]
        for name, message in cases:
            with self.subTest(name):
                raw = peer_messages.encode(message)
                self.assertGreater(len(raw), cbor_items.MIN_COUNTED_BYTES)
                self.assertEqual(peer_messages.decode(raw), message)

    def test_items_are_counted_as_the_decoder_finds_them(self):
        text = b"x" * cbor_items.MIN_COUNTED_BYTES
        values = [
            [text, 1, -1, 300, 70_000, 2**40, 1.5, None, True],
            {"a": [text], "b": {"c": text.decode()}},
            ["y" * 30, "z" * 300, text, b""],
        ]
        for value in values:
            with self.subTest(type(value)):
                raw = cbor2.dumps(value)
                expected = count_items(value)
                with mock.patch.object(cbor_items, "MAX_ITEMS", expected):
                    cbor_items.check(raw)
                with (
                    mock.patch.object(cbor_items, "MAX_ITEMS", expected - 1),
                    self.assertRaises(errors.MalformedMessageError),
                ):
                    cbor_items.check(raw)


def count_items(value):
    """Returns the number of items that encode a value."""
    if isinstance(value, list):
        return 1 + sum(count_items(each) for each in value)
    if isinstance(value, dict):
        return 1 + sum(
            count_items(each) for pair in value.items() for each in pair
        )
    return 1


if __name__ == "__main__":
    unittest.main()
