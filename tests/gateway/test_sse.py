import tracemalloc
import unittest
from unittest import mock

from nutmeglift_gateway import body_buffer
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

    def test_an_event_is_split_anywhere_between_its_bytes(self):
        cases = [
            # pieces, what is returned with each, whether nothing is left
            ([b"a\n", b"\nb"], [b"", b"a\n\n"], False),
            ([b"a\n", b"\n"], [b"", b"a\n\n"], True),
            ([b"a\n", b"\n\n"], [b"", b"a\n\n\n"], True),
            ([b"a\n", b"b\n", b"\n\n"], [b"", b"", b"a\nb\n\n\n"], True),
            ([b"a\n", b"b\n\nc\n", b"\n"], [b"", b"a\nb\n\n", b"c\n\n"], True),
            ([b"\n", b"\n"], [b"", b"\n\n"], True),
            ([b"\n", b""], [b"", b""], True),
        ]
        for pieces, expected, clean in cases:
            with self.subTest(pieces):
                splitter = sse.EventSplitter()
                received = [splitter.feed(piece) for piece in pieces]
                self.assertEqual(received, expected)
                self.assertEqual(splitter.is_clean, clean)
                splitter.restart()
                self.assertEqual(body_buffer.SHARED_BUDGET.used, 0)

    def test_events_of_all_streams_together_stay_within_the_budget(self):
        budget = body_buffer.Budget(10_000)
        patcher = mock.patch.object(body_buffer, "SHARED_BUDGET", budget)
        patcher.start()
        self.addCleanup(patcher.stop)
        held = [sse.EventSplitter() for _ in range(10)]
        for splitter in held:
            splitter.feed(b"id: 1\n\n" + b"x" * 900)
        sound = sse.EventSplitter()
        sound.feed(b"id: 1\ndata: " + b"x" * 800)
        held[0].feed(b"x" * 150)
        sound.feed(b"x" * 100)
        with self.assertRaisesRegex(
            sse.BrokenStreamError, "10000 bytes for all bodies are in use"
        ):
            held[0].feed(b"\n\n")
        self.assertFalse(held[0].is_clean)
        self.assertTrue(sound.feed(b"\n\n").endswith(b"x\n\n"))
        self.assertLessEqual(budget.used, 10_000)
        for splitter in held:
            splitter.restart()
        self.assertEqual(budget.used, 0)

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
