import unittest

from nutmeglift_gateway import silence_detection


def passing(addresses, silent, *, begun=True, limit=0.1):
    return silence_detection.StreamSilence(
        tuple(addresses), silent, limit, begun
    )


class SuspectedAddressesTest(unittest.TestCase):
    def test_who_is_doubtful(self):
        cases = [
            ("nobody is silent", [passing("abc", 0.05)], ""),
            ("one path", [passing("abc", 0.2)], "abc"),
            (
                "others prove a part",
                [passing("abc", 0.2), passing("abd", 0.05)],
                "c",
            ),
            (
                "two domains, one of them silent",
                [passing("abc", 0.2), passing("xyz", 0.01)],
                "abc",
            ),
            (
                "a stream that has not begun proves nothing",
                [passing("abc", 0.2), passing("abd", 0.05, begun=False)],
                "abc",
            ),
            (
                "a silent stream proves nothing",
                [passing("abc", 0.2), passing("abd", 0.11)],
                "abcd",
            ),
        ]
        for name, streams, expected in cases:
            with self.subTest(name):
                self.assertEqual(
                    silence_detection.suspected_addresses(streams),
                    set(expected),
                )

    def test_limits(self):
        cases = [
            # step, begun, seconds
            (0.001, True, silence_detection.MIN_SILENCE_SECONDS),
            (0.02, True, 0.16),
            (0.001, False, 0.15),
            (0.05, False, 0.4),
        ]
        for step, begun, expected in cases:
            with self.subTest(step=step, begun=begun):
                found = silence_detection.silence_timeout(
                    step_seconds=step, begun=begun, objective=0.5
                )
                self.assertAlmostEqual(found, expected)


class UnreachableAddressesTest(unittest.TestCase):
    def test_who_is_lost(self):
        cases = [
            ("all answer", {"a": True, "b": True}, ""),
            ("one does not", {"a": True, "b": True, "c": False}, "c"),
            ("half do not", {"a": True, "b": False}, "b"),
            ("most do not: our link", {"a": True, "b": False, "c": False}, ""),
            ("nobody does", {"a": False}, ""),
        ]
        for name, answered, expected in cases:
            with self.subTest(name):
                self.assertEqual(
                    silence_detection.unreachable_addresses(answered),
                    set(expected),
                )


if __name__ == "__main__":
    unittest.main()
