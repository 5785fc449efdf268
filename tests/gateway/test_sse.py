import tracemalloc
import unittest

from nutmeglift_gateway import sse

EVENTS = b"".join(b"id: %d\ndata: t\n\n" % i for i in range(1, 8))


class EventSplitterTest(unittest.TestCase):
    def test_only_complete_events_are_returned(self):
        for size in range(1, len(EVENTS) + 1):
            with self.subTest(size):
                splitter = sse.EventSplitter()
                received = b""
                for start in range(0, len(EVENTS), size):
                    part = splitter.feed(EVENTS[start : start + size])
                    self.assertTrue(not part or part.endswith(b"\n\n"))
                    received += part
                self.assertEqual(received, EVENTS)
                self.assertEqual(splitter.last_id, 7)
                self.assertTrue(splitter.is_clean)

    def test_event_order(self):
        cases = [
            (None, [1, 2, 3], True),
            (None, [5, 6], True),
            (4, [5, 6], True),
            (4, [6], False),
            (4, [4], False),
            (None, [1, 1], False),
            (None, [2, 1], False),
        ]
        for last, numbers, valid in cases:
            with self.subTest(last=last, numbers=numbers):
                splitter = sse.EventSplitter(last)
                data = b"".join(b"id: %d\n\n" % n for n in numbers)
                if valid:
                    self.assertEqual(splitter.feed(data), data)
                    continue
                with self.assertRaises(sse.BrokenStreamError):
                    splitter.feed(data)

    def test_a_partial_event_is_discarded_when_a_stream_is_resumed(self):
        splitter = sse.EventSplitter()
        splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        self.assertFalse(splitter.is_clean)
        splitter.restart()
        self.assertEqual(
            splitter.feed(b"id: 2\ndata: b\n\n"), b"id: 2\ndata: b\n\n"
        )

    def test_valid_events_read_with_an_invalid_one_are_not_lost(self):
        valid = b"id: 2\ndata: a\n\n:comment\n\nid: 3\n\n"
        for invalid in (b"id: 2\n\n", b"id: 3\n\n", b"data: a\nid: 5\n\n"):
            for after in (b"", b"id: 6\n\n", b"id: 6\nda"):
                with self.subTest(invalid, after=after):
                    splitter = sse.EventSplitter(0)
                    splitter.feed(b"id: 1\n\n")
                    with self.assertRaises(sse.BrokenStreamError) as raised:
                        splitter.feed(valid + invalid + after)
                    self.assertEqual(raised.exception.valid_events, valid)
                    self.assertEqual(splitter.last_id, 3)

    def test_an_oversized_event_is_rejected(self):
        splitter = sse.EventSplitter()
        with self.assertRaises(sse.BrokenStreamError):
            splitter.feed(b"x" * (sse.MAX_EVENT_BYTES + 1))

    def test_an_endless_event_is_not_copied_with_each_piece(self):
        cases = [
            # size of a piece, pieces
            (64, 2 * sse.MAX_EVENT_BYTES // 64),
            (16384, 2 * sse.MAX_EVENT_BYTES // 16384),
        ]
        for size, count in cases:
            with self.subTest(size):
                splitter = sse.EventSplitter()
                fed_bytes = 0
                tracemalloc.start()
                self.addCleanup(tracemalloc.stop)
                with self.assertRaises(sse.BrokenStreamError) as raised:
                    for _ in range(count):
                        fed_bytes += size
                        splitter.feed(b"x" * size)
                _, peak = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertLessEqual(fed_bytes, sse.MAX_EVENT_BYTES + size)
                self.assertLess(peak, 1.5 * sse.MAX_EVENT_BYTES)
                self.assertIn(f"received {fed_bytes}", str(raised.exception))


if __name__ == "__main__":
    unittest.main()
