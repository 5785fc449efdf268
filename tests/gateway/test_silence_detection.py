import unittest

from nutmeglift_gateway import silence_detection


def make_stream(addresses, silent, *, begun=True, limit=0.1):
    return silence_detection.StreamSilence(
        tuple(addresses), silent, limit, begun
    )


class SuspectedAddressesTest(unittest.TestCase):
    def test_which_addresses_are_suspected(self):
        cases = [
            ("no silent stream", [make_stream("abc", 0.05)], ""),
            ("one path", [make_stream("abc", 0.2)], "abc"),
            (
                "active streams clear shared runners",
                [make_stream("abc", 0.2), make_stream("abd", 0.05)],
                "c",
            ),
            (
                "two domains, one of them silent",
                [make_stream("abc", 0.2), make_stream("xyz", 0.01)],
                "abc",
            ),
            (
                "a stream that has not begun clears no runner",
                [
                    make_stream("abc", 0.2),
                    make_stream("abd", 0.05, begun=False),
                ],
                "abc",
            ),
            (
                "a silent stream clears no runner",
                [make_stream("abc", 0.2), make_stream("abd", 0.11)],
                "abcd",
            ),
        ]
        for name, streams, expected in cases:
            with self.subTest(name):
                self.assertEqual(
                    silence_detection.suspected_addresses(streams),
                    set(expected),
                )

    def test_silence_timeouts(self):
        cases = [
            # step s, begun, time-out s
            (0.001, True, silence_detection.MIN_SILENCE_SECONDS),
            (0.02, True, 0.16),
            (0.001, False, 0.15),
            (0.05, False, 0.4),
        ]
        for step, begun, expected in cases:
            with self.subTest(step=step, begun=begun):
                timeout = silence_detection.silence_timeout(
                    step_seconds=step, begun=begun, objective=0.5
                )
                self.assertAlmostEqual(timeout, expected)


class UnreachableAddressesTest(unittest.TestCase):
    def test_which_addresses_are_unreachable(self):
        cases = [
            ("all answer", {"a": True, "b": True}, ""),
            ("one does not", {"a": True, "b": True, "c": False}, "c"),
            ("half do not", {"a": True, "b": False}, "b"),
            (
                "most do not: our own link",
                {"a": True, "b": False, "c": False},
                "",
            ),
            ("none does", {"a": False}, ""),
        ]
        for name, answered, expected in cases:
            with self.subTest(name):
                self.assertEqual(
                    silence_detection.unreachable_addresses(answered),
                    set(expected),
                )


if __name__ == "__main__":
    unittest.main()
