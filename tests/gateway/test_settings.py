import pathlib
import tempfile
import unittest

from nutmeglift import errors
from nutmeglift_gateway import settings

GOOD = """
vm: "front-1"
failure_domain: "a"
listen:
  callers: "10.0.0.1:80"
  readiness: "10.0.0.1:81"
  peers: "10.0.0.1:82"
  metrics: "10.0.0.1:83"
store:
  address: "10.0.0.9:90"
bounds:
  revocation_seconds: 5000e-3
  shutdown_seconds: 8
"""


def load(text):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.yaml"
        path.write_text(text, encoding="utf-8")
        return settings.load(path)


class SettingsTest(unittest.TestCase):
    def test_valid_settings_are_loaded(self):
        loaded = load(GOOD)
        self.assertEqual(loaded.listen.callers, "10.0.0.1:80")
        self.assertEqual(loaded.bounds.revocation_seconds, 5.0)
        self.assertEqual(loaded.bounds.retry_ratio, 0.2)
        self.assertEqual(loaded.bounds.second_attempt_ratio, 0.0)
        loaded = load(GOOD + "  second_attempt_ratio: 0.05")
        self.assertEqual(loaded.bounds.second_attempt_ratio, 0.05)
        loaded = load(GOOD)
        self.assertEqual(loaded.room, settings.Room())

    def test_the_room_settings_are_loaded(self):
        loaded = load(GOOD + "room: {by_priority: false, max_waiting: 9}")
        self.assertEqual(
            loaded.room, settings.Room(by_priority=False, max_waiting=9)
        )

    def test_invalid_settings(self):
        cases = [
            "",
            "[",
            "- a list",
            GOOD.replace('vm: "front-1"', ""),
            GOOD.replace("10.0.0.1:80", "front.example:80"),
            GOOD.replace("shutdown_seconds: 8", "shutdown_seconds: 0"),
            GOOD.replace("shutdown_seconds: 8", "shutdown_secs: 8"),
            GOOD.replace("shutdown_seconds: 8", "shutdown_seconds: soon"),
            GOOD + "room: 1",
            GOOD + "room: {by_priority: perhaps}",
            GOOD + "room: {urgent_ratio: 0}",
            GOOD + "room: {urgent_ratio: 1.1}",
            GOOD + "room: {max_wait_seconds: 0}",
            GOOD + "room: {max_waiting: 0}",
            GOOD + "room: {max_waiting: 2.5}",
            GOOD + "room: {max_waiting_mb: -1}",
            GOOD + "room: {max_queue: 1}",
            GOOD + "memory_mb: 8",
            GOOD + "memory_mb: 100\nroom: {max_waiting_mb: 100}",
            GOOD + "  second_attempt_ratio: -0.01",
            GOOD + "  second_attempt_ratio: .nan",
            GOOD + "  second_attempt_ratio: often",
            GOOD + "  second_attempt_ratio: 0.21",
        ]
        for text in cases:
            with (
                self.subTest(text[:40]),
                self.assertRaises(errors.SettingsError),
            ):
                load(text)

    def test_a_file_that_is_no_text(self):
        cases = [b"\xff\xfe", b"vm: caf\xc3", b"vm: 2026-13-45"]
        for data in cases:
            with (
                self.subTest(data),
                tempfile.TemporaryDirectory() as folder,
                self.assertRaises(errors.SettingsError),
            ):
                path = pathlib.Path(folder) / "settings.yaml"
                path.write_bytes(data)
                settings.load(path)

    def test_missing_file(self):
        with self.assertRaises(errors.SettingsError):
            settings.load(pathlib.Path("none.yaml"))


if __name__ == "__main__":
    unittest.main()
