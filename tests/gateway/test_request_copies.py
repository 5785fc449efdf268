"""Copies of requests' bodies on their way to a server."""

import random
import types
import unittest

from nutmeglift_gateway import retry_policy
from nutmeglift_gateway import sender
from nutmeglift_platform import names
from tests.gateway import rig
from tests.gateway import test_http_call


class RequestCopiesTest(unittest.TestCase):
    def test_a_large_body_is_copied_for_each_attempt(self):
        cases = [
            # length of the body, whether it is written without a copy
            (100, False),
            (4_000_000, True),
        ]
        for size, is_shared in cases:
            with self.subTest(size):
                body = random.Random(size).randbytes(size)
                request = rig.make_request(body=body)
                written = self._send(request)
                self.assertTrue(b"".join(written).endswith(b"\r\n\r\n" + body))
                self.assertEqual(
                    any(data is body for data in written), is_shared
                )

    def _send(self, request):
        connection, transport = test_http_call.open_connection()
        context = types.SimpleNamespace(names=names.HEADERS)
        admitted = types.SimpleNamespace(account=None)
        sender.Sender(context, request, retry_policy.Progress()).send(
            connection,
            admitted,
            types.SimpleNamespace(id="i-1"),
            test_http_call.Recorder(),
            remaining=1.0,
        )
        return transport.written


if __name__ == "__main__":
    unittest.main()
