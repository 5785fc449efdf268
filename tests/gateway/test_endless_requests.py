"""Callers whose requests go on without end in the framing of a body."""

import asyncio
import tracemalloc
import unittest

from nutmeglift import errors
from nutmeglift_gateway import caller_request
from nutmeglift_gateway import catalog
from nutmeglift_gateway import request_memory

PIECE_BYTES = 64 * 1024
MAX_FED_BYTES = 4 * 1024 * 1024
MAX_PEAK_BYTES = 8 * 1024 * 1024
HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
CASES = {
    "chunk extension": (b"1;", b"a"),
    "chunk size": (b"", b"0"),
    "trailers": (b"0\r\n", b"a: b\r\n"),
    "trailer line": (b"0\r\na: ", b"b"),
}
"""First bytes after the head, and those that are repeated."""


class Recorder(caller_request.BaseReceiver):
    """Receiver that records how a request was rejected."""

    def __init__(self):
        self.rejected = None

    def on_begin(self):
        pass

    def on_head_complete(self):
        pass

    def on_continue_expected(self):
        pass

    def on_large_body(self, holding, expected):
        pass

    def on_request(self, request):
        raise AssertionError("the request has no end")

    def on_rejected(self, kind):
        self.rejected = kind


class EndlessRequestTest(unittest.IsolatedAsyncioTestCase):
    async def test_framing_of_a_body_without_end_is_rejected(self):
        for name, (first, repeated) in CASES.items():
            with self.subTest(name):
                recorder = Recorder()
                parser = caller_request.RequestParser(
                    recorder,
                    catalog.ClientLimits,
                    request_memory.Budget(MAX_PEAK_BYTES),
                )
                parser.feed(HEAD + first)
                piece = repeated * (PIECE_BYTES // len(repeated))
                fed_bytes = 0
                tracemalloc.start()
                self.addCleanup(tracemalloc.stop)
                while recorder.rejected is None and fed_bytes < MAX_FED_BYTES:
                    parser.feed(piece)
                    fed_bytes += len(piece)
                    await asyncio.sleep(0)
                _, peak = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertIs(
                    recorder.rejected, errors.ErrorKind.HEADER_TOO_LARGE
                )
                self.assertLess(peak, MAX_PEAK_BYTES)


if __name__ == "__main__":
    unittest.main()
